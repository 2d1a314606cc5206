package members

import "testing"

// Of two incarnations the later one owns the name, in any order of their events, and the safe count includes the
// earlier one until it has failed.
func TestLaterIncarnationOwnsName(t *testing.T) {
	m := completeMachine(t, 3)
	m.handle(Alive{Name: "g1", Incarnation: 200, Epoch: 1, Sum: m.roster.Sum()})
	view := m.View(m.now)
	if v := view.Members[1]; v.Incarnation != 200 || v.EarlierIncarnations != 1 || view.SafeCount != 4 {
		t.Errorf("%+v, safe count %d: want incarnation 200, one earlier incarnation and safe count 4", v, view.SafeCount)
	}
	m.handle(Answered{"g1", 100}, Alive{Name: "g1", Incarnation: 100, Epoch: 1, Sum: m.roster.Sum()})
	if v := m.View(m.now).Members[1]; v.Incarnation != 200 {
		t.Errorf("incarnation %d owns the name, want 200", v.Incarnation)
	}
	m.handle(Failed{"g1", 100})
	if view := m.View(m.now); view.Members[1].EarlierIncarnations != 0 || view.SafeCount != 3 || !view.Members[1].State.Alive() {
		t.Errorf("%+v, safe count %d after the earlier incarnation failed, want 3", view.Members[1], view.SafeCount)
	}
}

// Once an earlier incarnation learns that it is superseded, it may use no lease and no quota.
func TestEarlierIncarnationIsSuperseded(t *testing.T) {
	for _, ev := range []Event{Alive{Name: "g0", Incarnation: 101, Epoch: 1}, IncarnationLearned{"g0", 101}} {
		m := completeMachine(t, 3)
		m.handle(ev)
		m.wantVerdict(Unsure)
		m.advance(seconds(100), "g1", "g2")
		m.wantVerdict(Unsure)
		if allowed, _ := m.Allows(m.now, ExerciseLease); allowed {
			t.Errorf("after %T a superseded process may exercise a lease", ev)
		}
		if m.QuotaDivisor() != NoQuota {
			t.Errorf("after %T the quota divisor of a superseded process is %d, want NoQuota", ev, m.QuotaDivisor())
		}
	}
	m := completeMachine(t, 3)
	m.handle(IncarnationLearned{"g0", 99}, IncarnationLearned{"g0", 100})
	m.advance(seconds(1), "g1", "g2")
	m.wantVerdict(Complete)
}

// A later incarnation has no quota while the earlier one is alive: otherwise both would use it.
func TestLaterIncarnationWaitsForEarlier(t *testing.T) {
	m := completeMachine(t, 3)
	m.handle(Alive{Name: "g0", Incarnation: 99, Epoch: 1})
	m.wantVerdict(Unsure)
	if m.QuotaDivisor() != NoQuota {
		t.Errorf("quota divisor %d while an earlier incarnation is alive, want NoQuota", m.QuotaDivisor())
	}
	m.handle(Failed{"g0", 99})
	m.advance(seconds(5), "g1", "g2")
	m.wantVerdict(Complete)
	if m.QuotaDivisor() != 3 {
		t.Errorf("quota divisor %d, want 3", m.QuotaDivisor())
	}
}

// Delayed messages do not bring an incarnation back that has left; the next incarnation is alive.
func TestLeftIncarnationStaysLeft(t *testing.T) {
	m := completeMachine(t, 3)
	m.handle(Left{"g1", 100})
	m.handle(Alive{Name: "g1", Incarnation: 100, Epoch: 1}, Answered{"g1", 100})
	if v := m.View(m.now).Members[1]; v.State != StateLeft {
		t.Errorf("state of an incarnation that has left: %v", v.State)
	}
	m.handle(Alive{Name: "g1", Incarnation: 101, Epoch: 1})
	if v := m.View(m.now).Members[1]; v.State != StateAlive {
		t.Errorf("state of the next incarnation: %v", v.State)
	}
}
