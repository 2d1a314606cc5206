package members

import "testing"

// A member is removed by a newer roster, and counts on while it is alive.
func TestSafeCountIncludesRemovedMemberWhileAlive(t *testing.T) {
	m := completeMachine(t, 3)
	m.handle(RosterReceived{m.roster.Next([]string{"g0", "g1"}), "g1"})
	if p := m.View(m.now); p.SafeCount != 3 {
		t.Errorf("safe %d while the removed member is alive, want 3", p.SafeCount)
	}
	m.handle(Failed{"g2", 100})
	m.advance(seconds(3), "g1")
	if p := m.View(m.now); p.SafeCount != 2 || p.QuotaDivisor != 2 {
		t.Errorf("safe %d, quota divisor %d once it has failed, want 2", p.SafeCount, p.QuotaDivisor)
	}
}

// A smaller divisor waits for a verdict that allows it; a larger one is adopted at once.
func TestQuotaDivisorShrinksOnlyWithMajority(t *testing.T) {
	m := completeMachine(t, 5)
	m.fail("g2", "g3", "g4")
	m.wantVerdict(Minority)
	m.handle(RosterReceived{m.roster.Next([]string{"g0", "g1", "g2", "g3"}), "file"})
	if p := m.View(m.now); p.SafeCount != 4 || p.QuotaDivisor != 5 {
		t.Errorf("safe %d, quota divisor %d, want 4 and 5: a minority raises no quota", p.SafeCount, p.QuotaDivisor)
	}
	m.handle(RosterReceived{m.roster.Next(memberNames(8)), "file"})
	if p := m.View(m.now); p.QuotaDivisor != 8 {
		t.Errorf("quota divisor %d, want 8 at once", p.QuotaDivisor)
	}
}

// A new member has no quota until all members know of it.
func TestNewMemberHasNoQuotaUntilAllKnow(t *testing.T) {
	grown := rosterOf(3).Next([]string{"g0", "g1", "g2", "g3"})
	m, err := New(testSettings("g3", 100), grown, 0)
	if err != nil {
		t.Fatal(err)
	}
	d := &testMachine{m, t}
	for _, name := range []string{"g0", "g1"} {
		d.handle(Alive{Name: name, Incarnation: 100, Epoch: 2, Sum: grown.Sum()}, Answered{name, 100})
	}
	d.handle(Alive{Name: "g2", Incarnation: 100, Epoch: 1}, Answered{"g2", 100})
	d.advance(seconds(5), "g0", "g1", "g2")
	if p := d.View(d.now); p.UnawareMember != "g2" || p.QuotaDivisor != NoQuota {
		t.Errorf("unaware member %q, quota divisor %d: g2 does not know of it yet", p.UnawareMember, p.QuotaDivisor)
	}
	d.handle(Alive{Name: "g2", Incarnation: 100, Epoch: 2, Sum: grown.Sum()})
	d.advance(seconds(1), "g0", "g1", "g2")
	if p := d.View(d.now); p.UnawareMember != "" || p.QuotaDivisor != 4 {
		t.Errorf("unaware member %q, quota divisor %d, want 4", p.UnawareMember, p.QuotaDivisor)
	}
	d.fail("g2")
	d.handle(Alive{Name: "g2", Incarnation: 101, Epoch: 1}) // it restarts with an old roster file
	if p := d.View(d.now); p.UnawareMember != "" {
		t.Error("it counts as unknown again")
	}
}
