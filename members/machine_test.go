package members

import (
	"fmt"
	"testing"
)

// Guards against memory exhaustion by peers: the state that their messages can create is limited.
func TestStateIsBounded(t *testing.T) {
	m := completeMachine(t, 3)
	for i := range 10000 {
		m.handle(Alive{Name: fmt.Sprintf("x%d", i), Incarnation: 1, Epoch: 1}, IncarnationLearned{fmt.Sprintf("y%d", i), 1}, Suspected{"g1", 100, "g2"})
		m.handle(Alive{Name: "g1", Incarnation: Incarnation(1000 + i), Epoch: 1})
	}
	if n := len(m.peers); n > 3+maxNonMembers {
		t.Errorf("%d names are tracked, want at most %d", n, 3+maxNonMembers)
	}
	if n := len(m.peers["g1"].earlierIncarnations); n > maxEarlierIncarnations {
		t.Errorf("%d earlier incarnations are tracked, want at most %d", n, maxEarlierIncarnations)
	}
	if n := len(m.evidence); n > maxEvidence {
		t.Errorf("%d entries of evidence are stored, want at most %d", n, maxEvidence)
	}
	if view := m.View(m.now); view.Dropped == 0 {
		t.Error("dropped events are not counted")
	}
}

// Invalid settings are rejected.
func TestSettingsCheck(t *testing.T) {
	good := testSettings("g0", 1)
	for _, c := range []struct {
		name   string
		change func(*Settings)
	}{
		{"no name", func(s *Settings) { s.Self = "" }},
		{"no incarnation", func(s *Settings) { s.Incarnation = 0 }},
		{"no tick interval", func(s *Settings) { s.TickInterval = 0 }},
		{"stall threshold below two ticks", func(s *Settings) { s.StallThreshold = s.TickInterval }},
		{"settle times not in order", func(s *Settings) { s.MaxSettleTime = s.MinSettleTime - 1 }},
		{"no silence timeout", func(s *Settings) { s.SilenceTimeout = 0 }},
	} {
		bad := good
		c.change(&bad)
		if _, err := New(bad, rosterOf(1), 0); err == nil {
			t.Errorf("%s: accepted: %+v", c.name, bad)
		}
	}
}
