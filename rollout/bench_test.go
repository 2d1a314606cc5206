package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRollout runs a complete rollout to 1,000 instances that update instantly and report one by one.
func BenchmarkRollout(b *testing.B) {
	const n = 1000
	for b.Loop() {
		policy := testPolicy()
		policy.SoakDuration, policy.MaxUnavailable = 0, n/10
		machine, err := New(policy)
		if err != nil {
			b.Fatal(err)
		}
		now := time.Unix(1_800_000_000, 0)
		initial := map[string]InitialInstance{}
		running := map[string]Revision{}
		for i := range n {
			name := fmt.Sprintf("g%04d", i)
			running[name] = 1
			initial[name] = InitialInstance{Observed: Observed{Revision: 1, Ready: true}}
		}
		if _, err := machine.Handle(now, Start{New: 2, Previous: 1, Instances: initial}); err != nil {
			b.Fatal(err)
		}
		events := 0
		for machine.Status().State == Advancing {
			for name := range running {
				now = now.Add(time.Millisecond)
				running[name] = machine.InstanceRevision(name)
				events++
				if _, err := machine.Handle(now, InstanceReported{name, Observed{Revision: running[name], Ready: true}}); err != nil {
					b.Fatal(err)
				}
			}
		}
		if status := machine.Status(); status.State != Applied {
			b.Fatal(status.State, status.Reason)
		}
		b.ReportMetric(float64(events), "reports/op")
	}
}
