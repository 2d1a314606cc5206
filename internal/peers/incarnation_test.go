package peers

import (
	"strings"
	"testing"
	"time"

	"elderyard/internal/testwait"
	"elderyard/members"
)

// Of two processes with one name, from two folders, the later start owns the name and the earlier one resigns.
func TestLaterStartOwnsName(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 3)
	other := t.TempDir()
	a := s.run(s.settings("g0"))
	b := s.run(s.settings("g1", "g0"))
	c := s.run(s.settings("g2", "g0"))
	a.waitForVerdict(t, members.Complete)
	s.hosts["g2"] = ""
	set := s.settings("g2", "g0")
	set.Dir = other
	d := s.run(set)
	testwait.UntilEvery(t, waitTimeout, pollInterval, "the first g2 is superseded", func() bool { return c.View().SupersededBy != 0 })
	if allowed, _ := c.Allows(members.ExerciseLease); allowed || c.View().QuotaDivisor != members.NoQuota {
		t.Error("the first g2 still has a lease or a quota")
	}
	for _, r := range []*runningPeers{a, b, d} {
		r.waitForVerdict(t, members.Complete)
		testwait.UntilEvery(t, waitTimeout, pollInterval, "all members know the second g2", func() bool { return r.View().Members[2].Incarnation == d.View().Incarnation })
	}
}

// A process whose clock is an hour behind raises its incarnation above the one that others know.
func TestClockSetBackRaisesIncarnation(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 2)
	first := s.settings("g0")
	set := s.settings("g1", "g0")
	if err := set.store(savedState{Incarnation: members.Incarnation(time.Now().Add(time.Hour).UnixMilli()) * members.IncarnationRandomValues}); err != nil {
		t.Fatal(err)
	}
	a, b := s.run(first), s.run(set)
	a.waitForVerdict(t, members.Complete)
	ahead := b.View().Incarnation
	b.stop()
	set.Dir = t.TempDir() // as on another machine with another clock
	c := s.run(set)
	testwait.UntilEvery(t, waitTimeout, pollInterval, "the new g1 has the higher incarnation", func() bool { return c.View().Incarnation > ahead })
	a.waitForVerdict(t, members.Complete)
	c.waitForVerdict(t, members.Complete)
	if c.View().SupersededBy != 0 {
		t.Error("it counts as superseded")
	}
}

// A process that can't restart its failure detector resigns; Run goes on with the stopped one until it ends.
func TestResignWhenTheDetectorCannotRestart(t *testing.T) {
	t.Parallel()
	s := newSite(t, "north", 1)
	p, err := Open(s.settings("g0"))
	if err != nil {
		t.Fatal(err)
	}
	p.settings.Site = strings.Repeat("x", 300) // longer than the library's label may be
	p.resign(members.IncarnationAbove(p.saved.Incarnation))
	if !p.resigned {
		t.Fatal("it did not resign")
	}
	if p.detector == nil {
		t.Fatal("there is no detector whose events Run could receive")
	}
	p.stopDetector(false)
}
