package peers

import (
	"strings"
	"testing"
	"time"

	"elderyard/internal/testwait"
	"elderyard/members"
)

// Of two processes with the same name and different directories, the later one supersedes the earlier one, which
// resigns.
func TestLaterProcessSupersedesEarlier(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 3)
	other := t.TempDir()
	a := s.run(s.settings("g0"))
	b := s.run(s.settings("g1", "g0"))
	c := s.run(s.settings("g2", "g0"))
	a.waitForVerdict(t, members.Complete)
	s.addresses["g2"] = ""
	settings := s.settings("g2", "g0")
	settings.Dir = other
	d := s.run(settings)
	testwait.UntilEvery(t, waitTimeout, pollInterval, "the first g2 is superseded", func() bool { return c.View().SupersededBy != 0 })
	if allowed, _ := c.Allows(members.ExerciseLease); allowed || c.View().QuotaDivisor != members.NoQuota {
		t.Error("the first g2 still has a lease or a quota")
	}
	for _, r := range []*runningPeers{a, b, d} {
		r.waitForVerdict(t, members.Complete)
		testwait.UntilEvery(t, waitTimeout, pollInterval, "all members know the second g2", func() bool { return r.View().Members[2].Incarnation == d.View().Incarnation })
	}
}

// A process that restarts without its saved state and with a clock that is an hour behind raises its incarnation above
// the one that others know.
func TestClockSetBackRaisesIncarnation(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 2)
	first := s.settings("g0")
	settings := s.settings("g1", "g0")
	if err := settings.store(savedState{Incarnation: members.Incarnation(time.Now().Add(time.Hour).UnixMilli()) * members.IncarnationRandomValues}); err != nil {
		t.Fatal(err)
	}
	a, b := s.run(first), s.run(settings)
	a.waitForVerdict(t, members.Complete)
	ahead := b.View().Incarnation
	b.stop()
	settings.Dir = t.TempDir() // as on another machine with another clock
	c := s.run(settings)
	testwait.UntilEvery(t, waitTimeout, pollInterval, "the new g1 has the higher incarnation", func() bool { return c.View().Incarnation > ahead })
	a.waitForVerdict(t, members.Complete)
	c.waitForVerdict(t, members.Complete)
	if c.View().SupersededBy != 0 {
		t.Error("the new g1 is superseded")
	}
}

// A process that can't restart its failure detector resigns. It must retain the stopped detector, whose events Run
// receives.
func TestResignWhenTheDetectorCannotRestart(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 1)
	p, err := Open(s.settings("g0"))
	if err != nil {
		t.Fatal(err)
	}
	p.settings.Site = strings.Repeat("x", 300) // exceeds the maximum length of a label
	p.resign(members.IncarnationAbove(p.saved.Incarnation))
	if !p.resigned {
		t.Fatal("the process did not resign")
	}
	if p.detector == nil {
		t.Fatal("there is no detector from which Run could receive events")
	}
	p.stopDetector(false)
}
