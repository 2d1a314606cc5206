package fleet

import (
	"strings"
	"testing"
)

func TestAgentsAndDrains(t *testing.T) {
	var s State
	enroll := func(name string, instances ...string) Outcome {
		return apply(t, &s, Entry{Enroll: &Enroll{Agent{name, "127.0.0.1:1", instances}, at}})
	}
	drain := func(name string, on bool) Outcome {
		return apply(t, &s, Entry{Drain: &Drain{name, on, "ann", at}})
	}
	enroll("a1", "g0", "g1")
	if out := enroll("a2", "g1", "g2"); !strings.Contains(out.Rejected, "instance g1 is agent a1's") {
		t.Fatalf("%+v", out)
	}
	if out := drain("g2", true); !strings.Contains(out.Rejected, "there is no instance g2") {
		t.Fatalf("%+v", out)
	}
	drain("g1", true)
	if !s.Drained("g1") {
		t.Fatal("not drained")
	}
	before := len(s.Events())
	drain("g1", true)
	if len(s.Events()) != before {
		t.Fatal("a drain that changes nothing was logged")
	}
	enroll("a1", "g0") // g1 has left
	if s.Drained("g1") {
		t.Fatal("a removed instance is still drained")
	}
	if out := apply(t, &s, Entry{Remove: &Remove{"a3", "ann", at}}); out.Rejected == "" {
		t.Fatal("an unknown agent was removed")
	}
	apply(t, &s, Entry{Remove: &Remove{"a1", "ann", at}})
	if len(s.Agents()) != 0 {
		t.Fatal(s.Agents())
	}
	for range MaxEvents {
		apply(t, &s, Entry{Audit: &Event{at, "ann", "something"}})
	}
	if len(s.Events()) != MaxEvents {
		t.Fatal(len(s.Events()))
	}
}
