package members

import "testing"

func TestReconcile(t *testing.T) {
	m := completeMachine(t, 4)
	sum := m.roster.Sum()
	alive := func(name string, incarnation Incarnation) Alive {
		return Alive{Name: name, Incarnation: incarnation, Epoch: 1, Sum: sum}
	}
	list := []Alive{alive("g1", 100), alive("g2", 100), alive("g3", 100)}
	if got := m.Reconcile(list, true); len(got) != 0 {
		t.Errorf("of the same list: %+v", got)
	}
	if got := m.Reconcile(list[:2], false); len(got) != 0 {
		t.Errorf("of a list without a member whose Failed event may be queued: %+v", got)
	}
	if got := m.Reconcile(list[:2], true); len(got) != 1 || got[0] != Event(Failed{"g3", 100}) {
		t.Errorf("after an event was dropped: %+v", got)
	}
	if got := m.Reconcile(append([]Alive{alive("g3", 101)}, list...), false); len(got) != 1 || got[0] != Event(alive("g3", 101)) {
		t.Errorf("of two incarnations: %+v", got)
	}
}
