package members

import "testing"

// Reconcile reports members that the detector lists with another incarnation, and missing ones only after events were
// dropped.
func TestReconcile(t *testing.T) {
	m := completeMachine(t, 4)
	sum := m.roster.Sum()
	alive := func(name string, incarnation Incarnation) Alive {
		return Alive{Name: name, Incarnation: incarnation, Epoch: 1, Sum: sum}
	}
	list := []Alive{alive("g1", 100), alive("g2", 100), alive("g3", 100)}
	if got := m.Reconcile(list, true); len(got) != 0 {
		t.Errorf("events for an identical list: %+v", got)
	}
	if got := m.Reconcile(list[:2], false); len(got) != 0 {
		t.Errorf("events for a missing member whose Failed event may still be queued: %+v", got)
	}
	if got := m.Reconcile(list[:2], true); len(got) != 1 || got[0] != Event(Failed{"g3", 100}) {
		t.Errorf("events for a missing member after events were dropped: %+v", got)
	}
	if got := m.Reconcile(append([]Alive{alive("g3", 101)}, list...), false); len(got) != 1 || got[0] != Event(alive("g3", 101)) {
		t.Errorf("events for two incarnations of one name: %+v", got)
	}
}
