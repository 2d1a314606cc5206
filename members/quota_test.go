package members

import "testing"

// A member that a newer roster removes is included in the safe count while it is alive.
func TestSafeCountIncludesRemovedMemberWhileAlive(t *testing.T) {
	m := completeMachine(t, 3)
	m.handle(RosterReceived{m.roster.Next([]string{"g0", "g1"}), "g1"})
	if view := m.View(m.now); view.SafeCount != 3 {
		t.Errorf("safe count %d while the removed member is alive, want 3", view.SafeCount)
	}
	m.handle(Failed{"g2", 100})
	m.advance(seconds(3), "g1")
	if view := m.View(m.now); view.SafeCount != 2 || view.QuotaDivisor != 2 {
		t.Errorf("safe count %d, quota divisor %d after it failed, want 2", view.SafeCount, view.QuotaDivisor)
	}
}

// A smaller divisor is adopted only with a verdict that allows it, a larger one at once.
func TestQuotaDivisorShrinksOnlyWithMajority(t *testing.T) {
	m := completeMachine(t, 5)
	m.fail("g2", "g3", "g4")
	m.wantVerdict(Minority)
	m.handle(RosterReceived{m.roster.Next([]string{"g0", "g1", "g2", "g3"}), "file"})
	if view := m.View(m.now); view.SafeCount != 4 || view.QuotaDivisor != 5 {
		t.Errorf("safe count %d, quota divisor %d, want 4 and 5: a minority must not raise its quota", view.SafeCount, view.QuotaDivisor)
	}
	m.handle(RosterReceived{m.roster.Next(memberNames(8)), "file"})
	if view := m.View(m.now); view.QuotaDivisor != 8 {
		t.Errorf("quota divisor %d, want 8 at once", view.QuotaDivisor)
	}
}

// A new member has no quota until all members know of it: until then, the others may use the complete quota.
func TestNewMemberHasNoQuotaUntilAllKnow(t *testing.T) {
	grown := rosterOf(3).Next([]string{"g0", "g1", "g2", "g3"})
	machine, err := New(testSettings("g3", 100), grown, 0)
	if err != nil {
		t.Fatal(err)
	}
	m := &testMachine{machine, t}
	for _, name := range []string{"g0", "g1"} {
		m.handle(Alive{Name: name, Incarnation: 100, Epoch: 2, Sum: grown.Sum()}, Answered{name, 100})
	}
	m.handle(Alive{Name: "g2", Incarnation: 100, Epoch: 1}, Answered{"g2", 100})
	m.advance(seconds(5), "g0", "g1", "g2")
	if view := m.View(m.now); view.UnawareMember != "g2" || view.QuotaDivisor != NoQuota {
		t.Errorf("unaware member %q, quota divisor %d, want g2 and NoQuota", view.UnawareMember, view.QuotaDivisor)
	}
	m.handle(Alive{Name: "g2", Incarnation: 100, Epoch: 2, Sum: grown.Sum()})
	m.advance(seconds(1), "g0", "g1", "g2")
	if view := m.View(m.now); view.UnawareMember != "" || view.QuotaDivisor != 4 {
		t.Errorf("unaware member %q, quota divisor %d, want none and 4", view.UnawareMember, view.QuotaDivisor)
	}
	m.fail("g2")
	m.handle(Alive{Name: "g2", Incarnation: 101, Epoch: 1}) // it restarts with an old roster file
	if view := m.View(m.now); view.UnawareMember != "" {
		t.Error("an older roster of a restarted member made it unaware again")
	}
}
