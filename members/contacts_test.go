package members

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Whoever belongs and is not heard is asked, each address once, few at a time, with
// pauses that grow, and that begin anew when nobody is missed.
func TestContactsAsk(t *testing.T) {
	m := whole(t, 9)
	c := NewContacts(time.Second, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	at := func(name string) string { return "at-" + name }
	ask := func(seeds ...string) []string {
		p := m.View(m.now)
		return c.JoinTargets(m.now, &p, at, seeds, rng)
	}
	if got := ask("seed"); len(got) != 0 {
		t.Errorf("%v are asked, and all are heard", got)
	}
	m.lose("g1", "g2")
	m.pass(s(4))
	if got := slices.Sorted(slices.Values(ask("seed"))); !slices.Equal(got, []string{"at-g1", "at-g2"}) {
		t.Errorf("%v are asked", got)
	}
	if got := ask("seed"); got != nil {
		t.Errorf("%v are asked again at once", got)
	}
	var pauses []time.Duration
	for last := m.now; len(pauses) < 6; m.now += s(0.1) {
		if ask() != nil {
			pauses = append(pauses, m.now-last)
			last = m.now
		}
	}
	if !slices.IsSorted(pauses[:3]) || pauses[5] > 30*time.Second || pauses[5] < 20*time.Second {
		t.Errorf("pauses %v", pauses)
	}
	m.lose("g3", "g4", "g5", "g6", "g7", "g8")
	m.pass(s(40))
	got := ask("at-g1", "seed")
	if len(got) != maxJoinTargets || len(slices.Compact(slices.Sorted(slices.Values(got)))) != maxJoinTargets {
		t.Errorf("%v are asked, want %d different ones", got, maxJoinTargets)
	}
}

func TestContactsTell(t *testing.T) {
	c, mine := NewContacts(time.Second, 0), roster(3).Next(names(4))
	same := Alive{Name: "g1", Epoch: mine.Epoch, Sum: mine.Sum()}
	newer := Alive{Name: "g1", Epoch: mine.Epoch + 1}
	older := Alive{Name: "g1", Epoch: mine.Epoch - 1}
	rival := Alive{Name: "g2", Epoch: mine.Epoch, Sum: mine.Sum() + 1}
	for _, step := range []struct {
		at   time.Duration
		a    Alive
		want bool
	}{{0, same, false}, {0, newer, false}, {0, older, true}, {s(1), older, false}, {s(1), rival, true}, {s(6), older, true}} {
		if got := c.ShouldSendRoster(step.at, mine, step.a); got != step.want {
			t.Errorf("at %v %+v: %v, want %v", step.at, step.a, got, step.want)
		}
	}
}

func TestCompare(t *testing.T) {
	m := whole(t, 4)
	sum := m.roster.Sum()
	alive := func(name string, incarnation Incarnation) Alive {
		return Alive{Name: name, Incarnation: incarnation, Epoch: 1, Sum: sum}
	}
	list := []Alive{alive("g1", 100), alive("g2", 100), alive("g3", 100)}
	if got := m.Reconcile(list, true); len(got) != 0 {
		t.Errorf("of the same list: %+v", got)
	}
	if got := m.Reconcile(list[:2], false); len(got) != 0 {
		t.Errorf("of a list without one whose end may be on its way: %+v", got)
	}
	if got := m.Reconcile(list[:2], true); len(got) != 1 || got[0] != Event(Failed{"g3", 100}) {
		t.Errorf("after an event was lost: %+v", got)
	}
	if got := m.Reconcile(append([]Alive{alive("g3", 101)}, list...), false); len(got) != 1 || got[0] != Event(alive("g3", 101)) {
		t.Errorf("of two lives: %+v", got)
	}
}
