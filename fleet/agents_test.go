package fleet

import (
	"strings"
	"testing"
)

// TestAgentsAndDrains checks that an instance has one agent only, that a removed instance is no longer drained, and
// that the audit log is bounded.
func TestAgentsAndDrains(t *testing.T) {
	var s State
	enroll := func(name string, instances ...string) Outcome {
		return apply(t, &s, Entry{Enroll: &Enroll{Agent{name, "127.0.0.1:1", instances}, at}})
	}
	drain := func(name string, drained bool) Outcome {
		return apply(t, &s, Entry{Drain: &Drain{name, drained, "ann", at}})
	}
	enroll("a1", "g0", "g1")
	if outcome := enroll("a2", "g1", "g2"); !strings.Contains(outcome.Rejected, "instance g1 is agent a1's") {
		t.Fatalf("enrolling an instance of another agent: %+v", outcome)
	}
	if outcome := drain("g2", true); !strings.Contains(outcome.Rejected, "there is no instance g2") {
		t.Fatalf("draining an unknown instance: %+v", outcome)
	}
	drain("g1", true)
	if !s.Drained("g1") {
		t.Fatal("g1 is not drained")
	}
	before := len(s.Events())
	drain("g1", true)
	if len(s.Events()) != before {
		t.Fatal("a drain that changes nothing was logged")
	}
	enroll("a1", "g0") // without g1
	if s.Drained("g1") {
		t.Fatal("a removed instance is still drained")
	}
	if outcome := apply(t, &s, Entry{Remove: &Remove{"a3", "ann", at}}); outcome.Rejected == "" {
		t.Fatal("an unknown agent was removed")
	}
	apply(t, &s, Entry{Remove: &Remove{"a1", "ann", at}})
	if len(s.Agents()) != 0 {
		t.Fatalf("after the last agent was removed the state has %v", s.Agents())
	}
	for range MaxEvents {
		apply(t, &s, Entry{Audit: &Event{at, "ann", "something"}})
	}
	if len(s.Events()) != MaxEvents {
		t.Fatalf("the audit log has %d events, want %d", len(s.Events()), MaxEvents)
	}
}
