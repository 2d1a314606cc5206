package members

import "testing"

// Of two incarnations the later one owns the name, in whatever order they are learned of.
func TestLaterIncarnationOwnsName(t *testing.T) {
	m := completeMachine(t, 3)
	m.handle(Alive{Name: "g1", Incarnation: 200, Epoch: 1, Sum: m.roster.Sum()})
	p := m.View(m.now)
	if v := p.Members[1]; v.Incarnation != 200 || v.EarlierIncarnations != 1 || p.SafeCount != 4 {
		t.Errorf("%+v, safe %d: want incarnation 200 and the earlier one beside it until that has failed", v, p.SafeCount)
	}
	m.handle(Answered{"g1", 100}, Alive{Name: "g1", Incarnation: 100, Epoch: 1, Sum: m.roster.Sum()})
	if v := m.View(m.now).Members[1]; v.Incarnation != 200 {
		t.Errorf("incarnation %d owns the name again", v.Incarnation)
	}
	m.handle(Failed{"g1", 100})
	if p := m.View(m.now); p.Members[1].EarlierIncarnations != 0 || p.SafeCount != 3 || !p.Members[1].State.Alive() {
		t.Errorf("%+v, safe %d after the earlier incarnation failed", p.Members[1], p.SafeCount)
	}
}

// An earlier incarnation learns that it is superseded, and has no lease and no quota from then on.
func TestEarlierIncarnationIsSuperseded(t *testing.T) {
	for _, ev := range []Event{Alive{Name: "g0", Incarnation: 101, Epoch: 1}, IncarnationLearned{"g0", 101}} {
		m := completeMachine(t, 3)
		m.handle(ev)
		m.wantVerdict(Unsure)
		m.advance(seconds(100), "g1", "g2")
		m.wantVerdict(Unsure)
		if allowed, _ := m.Allows(m.now, ExerciseLease); allowed {
			t.Errorf("after %T it may still exercise a lease", ev)
		}
		if m.QuotaDivisor() != NoQuota {
			t.Errorf("after %T its quota divisor is %d", ev, m.QuotaDivisor())
		}
	}
	m := completeMachine(t, 3)
	m.handle(IncarnationLearned{"g0", 99}, IncarnationLearned{"g0", 100})
	m.advance(seconds(1), "g1", "g2")
	m.wantVerdict(Complete)
}

// A later incarnation has no quota until the earlier one has failed.
func TestLaterIncarnationWaitsForEarlier(t *testing.T) {
	m := completeMachine(t, 3)
	m.handle(Alive{Name: "g0", Incarnation: 99, Epoch: 1})
	m.wantVerdict(Unsure)
	if m.QuotaDivisor() != NoQuota {
		t.Errorf("quota divisor %d beside an earlier incarnation that is alive", m.QuotaDivisor())
	}
	m.handle(Failed{"g0", 99})
	m.advance(seconds(5), "g1", "g2")
	m.wantVerdict(Complete)
	if m.QuotaDivisor() != 3 {
		t.Errorf("quota divisor %d, want 3", m.QuotaDivisor())
	}
}

func TestLeftIncarnationStaysLeft(t *testing.T) {
	m := completeMachine(t, 3)
	m.handle(Left{"g1", 100})
	m.handle(Alive{Name: "g1", Incarnation: 100, Epoch: 1}, Answered{"g1", 100})
	if v := m.View(m.now).Members[1]; v.State != StateLeft {
		t.Errorf("an incarnation that left is %v", v.State)
	}
	m.handle(Alive{Name: "g1", Incarnation: 101, Epoch: 1})
	if v := m.View(m.now).Members[1]; v.State != StateAlive {
		t.Errorf("the next incarnation is %v", v.State)
	}
}
