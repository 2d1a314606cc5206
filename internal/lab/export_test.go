package lab

import (
	"testing"
	"time"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"

	"elderyard/internal/lab/audit"
)

// What the gateways export is what the auditor counts from the sockets, also when the
// collector was away meanwhile; all of it keeps to the specification.
func TestExportsAreTheAuditorsCounts(t *testing.T) {
	l := Start(t, Site{Gateways: 2, Nodes: 4, Rate: 40, Busy: 0.3, For: 5 * time.Second, Export: true,
		Faults: []Fault{{Kind: "collector-gone", At: time.Second, For: 2 * time.Second}}})
	if err := l.Play(t.Context()); err != nil {
		t.Fatal(err)
	}
	v, c := l.Verdict(), l.Collector()
	want := map[string]int{"served": v.Counts.Outcomes[audit.Served],
		"refused": v.Counts.Outcomes[audit.Refused], "tries": v.Counts.Tries - v.Counts.Outcomes[audit.NotTaken], "attempts": v.Counts.Attempts}
	got := func() map[string]int {
		attempts := 0.0
		for _, name := range []string{"served", "error", "turned away", "no answer in time", "connection ended", "called off"} {
			attempts += c.Sum("elderyard.attempts", "elderyard.outcome="+name)
		}
		refused := 0.0
		for _, why := range []string{"no quota", "no place", "no attempt succeeded"} {
			refused += c.Sum("elderyard.request.ends", "elderyard.outcome=refused: "+why)
		}
		return map[string]int{"served": int(c.Sum("elderyard.request.ends", "elderyard.outcome=served")), "refused": int(refused),
			"tries": int(c.Sum("elderyard.requests")), "attempts": int(attempts)}
	}
	same := func() bool {
		now := got()
		for k, n := range want {
			if now[k] != n {
				return false
			}
		}
		return true
	}
	for end := time.Now().Add(20 * time.Second); !same(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("exported %v, counted %v", got(), want)
		}
	}
	dropped := c.Sum("elderyard.telemetry.items", "elderyard.signal=traces", "elderyard.state=dropped")
	missed := c.Sum("elderyard.telemetry.missed")
	roots := func() (n float64) {
		for _, s := range c.Spans() {
			if s.Kind == trace.Span_SPAN_KIND_SERVER {
				n++
			}
		}
		return n
	}
	for end := time.Now().Add(20 * time.Second); roots() != float64(want["tries"]) && dropped == 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%g stories of %d requests, %g spans dropped, %g events missed", roots(), want["tries"], dropped, missed)
		}
	}
	for _, f := range c.Flaws() {
		t.Errorf("the specification is broken: %s", f)
	}
	t.Logf("%v, %g stories, %g spans dropped, %g events missed", want, roots(), dropped, missed)
}
