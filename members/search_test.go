package members

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"
)

var searchDepth = flag.Int("depth", 4, "events of the exhaustive search of three members")

// A small world of three names, walked through every interleaving to a depth. Ways
// between processes are up or cut, in one direction or both; a process stalls and
// wakes, ends and starts again, or is started a second time while the first goes
// on; the roster loses a member whose process has ended and takes it back. Times are
// whole seconds, so that states meet again.

// soul is one process.
type soul struct {
	name    string
	machine *Machine
	running bool
	stalled bool

	// What the world knows of it, whatever its machine makes of that.
	answered bool // somebody has answered it since it last woke
	later    bool // it was told of a later life of its name
}

type world struct {
	souls    []*soul
	cut      map[[2]string]bool // from, to
	roster   Roster             // agreed
	lives    Incarnation
	restarts int
	trail    []string
}

var worldNames = []string{"a", "b", "c"}

func worldSettings(name string, life Incarnation) Settings {
	return Settings{Self: name, Incarnation: life, TickInterval: time.Second, StallThreshold: 2 * time.Second, MinSettleTime: time.Second, MaxSettleTime: 2 * time.Second, SilenceTimeout: 3 * time.Second}
}

func newWorld() *world {
	w := &world{cut: map[[2]string]bool{}, roster: Roster{}.Next(worldNames)}
	for _, name := range worldNames {
		w.start(name, w.roster)
	}
	return w
}

func (w *world) start(name string, r Roster) *soul {
	w.lives++
	m, err := New(worldSettings(name, w.lives), r, 0)
	if err != nil {
		panic(err)
	}
	s := &soul{name: name, machine: m, running: true}
	w.souls = append(w.souls, s)
	return s
}

func (w *world) clone() *world {
	c := &world{cut: maps.Clone(w.cut), roster: w.roster, lives: w.lives, restarts: w.restarts, trail: slices.Clone(w.trail)}
	for _, s := range w.souls {
		t := *s
		t.machine = s.machine.clone()
		c.souls = append(c.souls, &t)
	}
	return c
}

func (m *Machine) clone() *Machine {
	c := *m
	c.evidence = nil
	c.probes = slices.Clone(m.probes)
	c.conflictingRosters = maps.Clone(m.conflictingRosters)
	c.peers = map[string]*peer{}
	for name, f := range m.peers {
		g := *f
		g.earlierIncarnations = slices.Clone(f.earlierIncarnations)
		c.peers[name] = &g
	}
	return &c
}

// key is the same for states from which the same can follow.
func (w *world) key() string {
	var b strings.Builder
	age := func(m *Machine, t Time) int { return int(min(m.now-t, 4*time.Second) / time.Second) }
	fmt.Fprint(&b, w.roster.Epoch, w.restarts, w.cut)
	for _, s := range w.souls {
		m := s.machine
		fmt.Fprint(&b, "|", s.name, s.running, s.stalled, m.settings.Incarnation, m.roster.Epoch, m.superseded, m.joined, m.divisor, m.verdict, m.recentFalls,
			age(m, m.lastTick), age(m, m.awakeSince), m.lastAnswer > m.awakeSince, age(m, m.changedAt), m.probes, s.answered, s.later)
		for _, t := range m.allowedSince {
			fmt.Fprint(&b, ",", age(m, t))
		}
		for _, name := range worldNames {
			if f := m.peers[name]; f != nil {
				fmt.Fprint(&b, ";", name, f.incarnation, f.state, f.highestEpoch, f.epoch, f.earlierIncarnations, f.state == StateSuspect && age(m, f.since) > 2)
			}
		}
	}
	return b.String()
}

// up tells whether a process hears another.
func (w *world) up(from, to *soul) bool {
	return from.running && to.running && !from.stalled && !to.stalled && !w.cut[[2]string{from.name, to.name}]
}

func (w *world) both(a, b *soul) bool { return w.up(a, b) && w.up(b, a) }

// gossip gives what one knows to another, as an exchange of states does.
func (w *world) gossip(from, to *soul) {
	m, at := to.machine, to.machine.now
	r := from.machine.roster
	for _, l := range from.machine.Incarnations() {
		to.later = to.later || l.Name == to.name && l.Incarnation > m.settings.Incarnation
		m.Handle(at, l)
	}
	m.Handle(at, RosterReceived{r, from.name})
	m.Handle(at, Alive{Name: from.name, Incarnation: from.machine.settings.Incarnation, Epoch: r.Epoch, Sum: r.Sum()})
	for _, f := range from.machine.peers {
		for _, o := range f.earlierIncarnations {
			if o.alive {
				m.Handle(at, Alive{Name: f.name, Incarnation: o.incarnation, Epoch: f.epoch, Sum: f.sum})
			}
		}
		if f.state.Alive() && f.incarnation != 0 {
			m.Handle(at, Alive{Name: f.name, Incarnation: f.incarnation, Epoch: f.epoch, Sum: f.sum})
		}
	}
}

type step struct {
	what string
	do   func(*world)
}

// steps are all that can happen next.
func (w *world) steps() (list []step) {
	add := func(do func(*world), format string, a ...any) {
		list = append(list, step{fmt.Sprintf(format, a...), do})
	}
	add(func(w *world) {
		for _, s := range w.souls {
			switch {
			case s.stalled:
				s.machine.now += 3 * time.Second // no tick: it sleeps
			case s.running:
				s.machine.Handle(s.machine.now+time.Second, Tick{})
			}
		}
	}, "time")
	for i, s := range w.souls {
		if !s.running {
			continue
		}
		if s.stalled {
			add(func(w *world) { w.souls[i].stalled = false }, "wake %s%d", s.name, s.machine.settings.Incarnation)
			continue
		}
		add(func(w *world) {
			w.souls[i].stalled, w.souls[i].answered = true, false
			w.souls[i].machine.now += 3 * time.Second
		}, "stall %s%d", s.name, s.machine.settings.Incarnation)
		if w.restarts < 2 {
			add(func(w *world) { w.souls[i].running = false }, "kill %s%d", s.name, s.machine.settings.Incarnation)
		}
		if s.machine.roster.Epoch < w.roster.Epoch {
			add(func(w *world) { w.souls[i].machine.Handle(w.souls[i].machine.now, RosterReceived{w.roster, "file"}) }, "%s%d reads epoch %d", s.name, s.machine.settings.Incarnation, w.roster.Epoch)
		}
		for k, o := range w.souls {
			if i == k || o.name == s.name && o.machine.settings.Incarnation == s.machine.settings.Incarnation {
				continue
			}
			life, name := o.machine.settings.Incarnation, o.name
			f := s.machine.peers[name]
			known := f != nil && f.incarnation == life && f.state.Alive()
			if w.both(s, o) {
				add(func(w *world) { w.gossip(w.souls[k], w.souls[i]); w.gossip(w.souls[i], w.souls[k]) }, "%s%d and %s%d exchange", s.name, s.machine.settings.Incarnation, name, life)
				if known {
					add(func(w *world) {
						w.souls[i].answered = true
						w.souls[i].machine.Handle(w.souls[i].machine.now, Answered{name, life})
					}, "%s%d hears %s%d", s.name, s.machine.settings.Incarnation, name, life)
				}
			} else if known {
				add(func(w *world) {
					w.souls[i].machine.Handle(w.souls[i].machine.now, Suspected{name, life, w.souls[i].name})
				}, "%s%d suspects %s%d", s.name, s.machine.settings.Incarnation, name, life)
				add(func(w *world) { w.souls[i].machine.Handle(w.souls[i].machine.now, Failed{name, life}) }, "%s%d gives %s%d up", s.name, s.machine.settings.Incarnation, name, life)
			}
		}
	}
	for i, a := range worldNames {
		for _, b := range worldNames[i+1:] {
			for _, way := range [][2]string{{a, b}, {b, a}} {
				if w.cut[way] {
					add(func(w *world) { delete(w.cut, way) }, "heal %s to %s", way[0], way[1])
				} else {
					add(func(w *world) { w.cut[way] = true }, "cut %s to %s", way[0], way[1])
				}
			}
		}
	}
	for _, name := range worldNames {
		last, runs := w.last(name)
		if w.restarts < 2 && w.roster.Has(name) {
			// Beside one that runs, too: somebody starts the name a second time.
			add(func(w *world) { w.restarts++; w.start(name, last.machine.roster) }, "start %s beside %d", name, runs)
		}
		switch {
		case runs == 0 && w.roster.Has(name) && len(w.roster.Members) == 3:
			add(func(w *world) {
				w.roster = w.roster.Next(slices.DeleteFunc(slices.Clone(worldNames), func(n string) bool { return n == name }))
			}, "agree that %s has gone", name)
		case !w.roster.Has(name) && w.restarts < 2:
			add(func(w *world) {
				w.roster = w.roster.Next(worldNames)
				w.restarts++
				w.start(name, w.roster)
			}, "agree that %s belongs, and start it", name)
		}
	}
	return list
}

// last is the latest process of a name, and how many of it run.
func (w *world) last(name string) (s *soul, runs int) {
	for _, o := range w.souls {
		if o.name == name {
			s = o
			if o.running {
				runs++
			}
		}
	}
	return s, runs
}

// broken is the promise that does not hold here; "": all do.
func (w *world) broken() string {
	parts := 0.0
	for _, name := range worldNames {
		share := 0.0
		for _, s := range w.souls {
			if s.name != name || !s.running {
				continue
			}
			m := s.machine
			share = max(share, 1/float64(m.QuotaDivisor()))
			// It acts by its own clock, which went on while it slept.
			if may, _ := m.Allows(m.now, ExerciseLease); may {
				if s.stalled {
					return fmt.Sprintf("%s%d sleeps and would find on waking that it may hold a duty", s.name, m.settings.Incarnation)
				}
				if !s.answered {
					return fmt.Sprintf("%s%d may hold a duty and has heard nobody since it woke", s.name, m.settings.Incarnation)
				}
				if m.verdict < Majority {
					return fmt.Sprintf("%s%d may hold a duty while %v", s.name, m.settings.Incarnation, m.verdict)
				}
			}
			if may, _ := m.Allows(m.now, ExerciseLease); may && s.later {
				return fmt.Sprintf("%s%d may hold a duty and was told of a later life", s.name, m.settings.Incarnation)
			}
			if m.safeCount() < len(m.roster.Members) {
				return fmt.Sprintf("%s%d counts %d, and %d belong", s.name, m.settings.Incarnation, m.safeCount(), len(m.roster.Members))
			}
		}
		parts += share
	}
	if parts > 1+1e-9 {
		return fmt.Sprintf("what all may spend together is %.2f of the quota", parts)
	}
	return ""
}

// search walks all worlds to a depth and returns how many there are, and the first
// that breaks a promise. Flaw spoils a machine after each step.
func search(from *world, depth int, flaw func(*Machine)) (states int, broke string) {
	seen := map[string]bool{}
	layer := []*world{from}
	seen[from.key()] = true
	for range depth {
		var next []*world
		for _, w := range layer {
			for _, st := range w.steps() {
				c := w.clone()
				st.do(c)
				if flaw != nil {
					for _, s := range c.souls {
						flaw(s.machine)
					}
				}
				c.trail = append(c.trail, st.what)
				if why := c.broken(); why != "" {
					return len(seen), why + " after: " + strings.Join(c.trail, "; ")
				}
				if k := c.key(); !seen[k] {
					seen[k] = true
					next = append(next, c)
				}
			}
		}
		layer = next
	}
	return len(seen), ""
}

// settledWorld is one in which all hear each other and are sure of it.
func settledWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld()
	w.play(t, "time", "a1 and b2 exchange", "b2 and c3 exchange", "a1 and c3 exchange", "a1 hears b2", "b2 hears c3", "c3 hears a1", "time", "time")
	for _, s := range w.souls {
		if s.machine.verdict != Complete {
			t.Fatalf("%s is %v: %s", s.name, s.machine.verdict, s.machine.reason)
		}
	}
	w.trail = nil
	return w
}

// play takes steps by their names.
func (w *world) play(t *testing.T, steps ...string) {
	t.Helper()
	for _, what := range steps {
		list := w.steps()
		i := slices.IndexFunc(list, func(s step) bool { return s.what == what })
		if i < 0 {
			var can []string
			for _, s := range list {
				can = append(can, s.what)
			}
			t.Fatalf("%q can't happen after %v; what can: %v", what, w.trail, can)
		}
		list[i].do(w)
		w.trail = append(w.trail, what)
	}
}

func TestSearchThreeMembers(t *testing.T) {
	for _, from := range []*world{newWorld(), settledWorld(t)} {
		states, broke := search(from, *searchDepth, nil)
		t.Logf("%d states to depth %d", states, *searchDepth)
		if broke != "" {
			t.Error(broke)
		}
	}
}

// Guards that the search shows to be needed: without each, it finds what breaks.
func TestSearchFindsEachMissingGuard(t *testing.T) {
	for _, c := range []struct {
		guard string
		near  []string // steps that lead near to what breaks
		flaw  func(*Machine)
	}{
		{"a newcomer waits until all know of it", []string{"kill c3", "a1 gives c3 up", "b2 gives c3 up", "agree that c has gone", "a1 reads epoch 2",
			"agree that c belongs, and start it", "b2 and c4 exchange", "time", "c4 hears b2"}, func(m *Machine) { m.joined = true }},
		{"a later life is heeded", []string{"start c beside 1"}, func(m *Machine) { m.superseded = 0 }},
		{"who was given up goes on counting", []string{"cut a to c", "cut b to c"}, func(m *Machine) {
			for name, f := range m.peers {
				if f.state == StateFailed {
					m.roster.Members = slices.DeleteFunc(slices.Clone(m.roster.Members), func(o Member) bool { return o.Name == name })
				}
			}
			m.updateVerdict()
		}},
		{"a sleeper finds out by its clock", nil, func(m *Machine) { m.lastTick = m.now }},
		{"a sleeper trusts nothing until it is answered", []string{"stall a1", "wake a1"}, func(m *Machine) { m.lastAnswer = max(m.lastAnswer, m.awakeSince+1) }},
	} {
		t.Run(c.guard, func(t *testing.T) {
			w := settledWorld(t)
			w.play(t, c.near...)
			if states, broke := search(w, 3, c.flaw); broke == "" {
				t.Errorf("nothing breaks without it, in %d states", states)
			} else {
				t.Logf("after %d states: %s", states, broke)
			}
		})
	}
}
