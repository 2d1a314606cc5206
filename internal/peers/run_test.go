package peers

import (
	"strings"
	"testing"

	"elderyard/internal/testwait"
	"elderyard/members"
)

// The verdict follows a graceful shutdown, a rejoin and a new roster. The quota divisor follows the roster alone: a
// member that has left still counts.
func TestVerdictFollowsLeaveAndRoster(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 3)
	a, b, c := s.runThree()
	if allowed, reason := a.Allows(members.ExerciseLease); !allowed {
		t.Errorf("the verdict is complete, but a lease is denied: %s", reason)
	}
	c.stop() // a graceful shutdown
	for _, r := range []*runningPeers{a, b} {
		r.waitForVerdict(t, members.Majority)
		testwait.UntilEvery(t, waitTimeout, pollInterval, "g2 counts as left", func() bool { return r.View().Members[2].State == members.StateLeft })
		if p := r.View(); p.SafeCount != 3 || p.QuotaDivisor != 3 {
			t.Errorf("safe %d, quota divisor %d, want 3: g2 is still in the roster", p.SafeCount, p.QuotaDivisor)
		}
	}
	c = s.run(s.settings("g2", "g0"))
	for _, r := range []*runningPeers{a, b, c} {
		r.waitForVerdict(t, members.Complete)
	}
	s.writeRoster(2, "g0", "g1", "g2", "g3")
	for _, r := range []*runningPeers{a, b, c} {
		r.waitForVerdict(t, members.Majority)
		if p := r.View(); p.Epoch != 2 || p.QuotaDivisor != 4 {
			t.Errorf("epoch %d, quota divisor %d, want 2 and 4", p.Epoch, p.QuotaDivisor)
		}
	}
	if line := a.Summary(); !strings.Contains(line, "majority") || !strings.Contains(line, "epoch 2") {
		t.Errorf("summary %q", line)
	}
}

// During an upgrade, members of the next version run side by side with members of this one.
func TestAdjacentVersionsRunSideBySide(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 3)
	first := s.settings("g0")
	next := s.settings("g1", "g0")
	next.protocolVersion = protocolVersion + 1
	a, b := s.run(first), s.run(next)
	c := s.run(s.settings("g2", "g1"))
	for _, r := range []*runningPeers{a, b, c} {
		r.waitForVerdict(t, members.Complete)
	}
	s.writeRoster(2, "g0", "g1", "g2", "g3")
	for _, r := range []*runningPeers{a, b, c} {
		testwait.UntilEvery(t, waitTimeout, pollInterval, r.settings.Self+" has epoch 2", func() bool { return r.View().Epoch == 2 })
	}
}

// Members whose seeds are all down rejoin at the addresses that they saved before their restart.
func TestRejoinWithoutSeeds(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 3)
	a, b, c := s.runThree()
	for _, r := range []*runningPeers{a, b, c} {
		r.stop()
	}
	b = s.run(s.settings("g1", "g0"))
	c = s.run(s.settings("g2", "g0"))
	b.waitForVerdict(t, members.Majority)
	c.waitForVerdict(t, members.Majority)
}
