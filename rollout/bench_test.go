package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRollout is a complete rollout over 1,000 instances that update at once and report one by one.
func BenchmarkRollout(b *testing.B) {
	const n = 1000
	for b.Loop() {
		p := policy()
		p.SoakDuration, p.MaxUnavailable = 0, n/10
		m, err := New(p)
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
		if _, err := m.Handle(now, Start{New: 2, Previous: 1, Instances: initial}); err != nil {
			b.Fatal(err)
		}
		events := 0
		for m.Status().State == Advancing {
			for name := range running {
				now = now.Add(time.Millisecond)
				running[name] = m.InstanceRevision(name)
				events++
				if _, err := m.Handle(now, InstanceReported{name, Observed{Revision: running[name], Ready: true}}); err != nil {
					b.Fatal(err)
				}
			}
		}
		if s := m.Status(); s.State != Applied {
			b.Fatal(s.State, s.Reason)
		}
		b.ReportMetric(float64(events), "reports/op")
	}
}
