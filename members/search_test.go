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

var searchDepth = flag.Int("depth", 4, "steps of the exhaustive search of three members")

// The search visits every interleaving of three names' steps to a depth. Links between processes are up or cut, in one
// direction or both; a process stalls and wakes, ends and restarts, or is started a second time while the first one runs;
// the roster removes a member whose process has ended and adds it again. Times are full seconds, so that equal states
// recur.

// process is one process of the searched world.
type process struct {
	name    string
	machine *Machine
	running bool
	stalled bool

	// Facts, independent of what its machine concluded.
	answered       bool // by any process since it last woke
	learnedOfLater bool // it learned of a later incarnation of its name
}

type world struct {
	processes       []*process
	cut             map[[2]string]bool // from, to
	roster          Roster             // agreed
	lastIncarnation Incarnation
	restarts        int
	trace           []string
}

var worldNames = []string{"a", "b", "c"}

func worldSettings(name string, incarnation Incarnation) Settings {
	return Settings{Self: name, Incarnation: incarnation, TickInterval: time.Second, StallThreshold: 2 * time.Second, MinSettleTime: time.Second, MaxSettleTime: 2 * time.Second, SilenceTimeout: 3 * time.Second}
}

func newWorld() *world {
	w := &world{cut: map[[2]string]bool{}, roster: Roster{}.Next(worldNames)}
	for _, name := range worldNames {
		w.start(name, w.roster)
	}
	return w
}

func (w *world) start(name string, r Roster) *process {
	w.lastIncarnation++
	m, err := New(worldSettings(name, w.lastIncarnation), r, 0)
	if err != nil {
		panic(err)
	}
	s := &process{name: name, machine: m, running: true}
	w.processes = append(w.processes, s)
	return s
}

func (w *world) clone() *world {
	c := &world{cut: maps.Clone(w.cut), roster: w.roster, lastIncarnation: w.lastIncarnation, restarts: w.restarts, trace: slices.Clone(w.trace)}
	for _, s := range w.processes {
		t := *s
		t.machine = s.machine.clone()
		c.processes = append(c.processes, &t)
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

// key returns the same text for worlds from which the same steps can follow.
func (w *world) key() string {
	var b strings.Builder
	age := func(m *Machine, t Time) int { return int(min(m.now-t, 4*time.Second) / time.Second) }
	fmt.Fprint(&b, w.roster.Epoch, w.restarts, w.cut)
	for _, s := range w.processes {
		m := s.machine
		fmt.Fprint(&b, "|", s.name, s.running, s.stalled, m.settings.Incarnation, m.roster.Epoch, m.superseded, m.joined, m.divisor, m.verdict, m.recentFalls,
			age(m, m.lastTick), age(m, m.awakeSince), m.lastAnswer > m.awakeSince, age(m, m.changedAt), m.probes, s.answered, s.learnedOfLater)
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

// reaches reports whether messages of one process reach another.
func (w *world) reaches(from, to *process) bool {
	return from.running && to.running && !from.stalled && !to.stalled && !w.cut[[2]string{from.name, to.name}]
}

func (w *world) connected(a, b *process) bool { return w.reaches(a, b) && w.reaches(b, a) }

// gossip sends what one process knows to another, as an exchange of states does.
func (w *world) gossip(from, to *process) {
	m, at := to.machine, to.machine.now
	r := from.machine.roster
	for _, l := range from.machine.Incarnations() {
		to.learnedOfLater = to.learnedOfLater || l.Name == to.name && l.Incarnation > m.settings.Incarnation
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

// steps returns all steps that can happen next.
func (w *world) steps() (list []step) {
	add := func(do func(*world), format string, a ...any) {
		list = append(list, step{fmt.Sprintf(format, a...), do})
	}
	add(func(w *world) {
		for _, s := range w.processes {
			switch {
			case s.stalled:
				s.machine.now += 3 * time.Second // no tick: it is suspended
			case s.running:
				s.machine.Handle(s.machine.now+time.Second, Tick{})
			}
		}
	}, "time")
	for i, s := range w.processes {
		if !s.running {
			continue
		}
		if s.stalled {
			add(func(w *world) { w.processes[i].stalled = false }, "wake %s%d", s.name, s.machine.settings.Incarnation)
			continue
		}
		add(func(w *world) {
			w.processes[i].stalled, w.processes[i].answered = true, false
			w.processes[i].machine.now += 3 * time.Second
		}, "stall %s%d", s.name, s.machine.settings.Incarnation)
		if w.restarts < 2 {
			add(func(w *world) { w.processes[i].running = false }, "kill %s%d", s.name, s.machine.settings.Incarnation)
		}
		if s.machine.roster.Epoch < w.roster.Epoch {
			add(func(w *world) {
				w.processes[i].machine.Handle(w.processes[i].machine.now, RosterReceived{w.roster, "file"})
			}, "%s%d reads epoch %d", s.name, s.machine.settings.Incarnation, w.roster.Epoch)
		}
		for k, o := range w.processes {
			if i == k || o.name == s.name && o.machine.settings.Incarnation == s.machine.settings.Incarnation {
				continue
			}
			incarnation, name := o.machine.settings.Incarnation, o.name
			f := s.machine.peers[name]
			known := f != nil && f.incarnation == incarnation && f.state.Alive()
			if w.connected(s, o) {
				add(func(w *world) { w.gossip(w.processes[k], w.processes[i]); w.gossip(w.processes[i], w.processes[k]) }, "%s%d and %s%d exchange", s.name, s.machine.settings.Incarnation, name, incarnation)
				if known {
					add(func(w *world) {
						w.processes[i].answered = true
						w.processes[i].machine.Handle(w.processes[i].machine.now, Answered{name, incarnation})
					}, "%s%d is answered by %s%d", s.name, s.machine.settings.Incarnation, name, incarnation)
				}
			} else if known {
				add(func(w *world) {
					w.processes[i].machine.Handle(w.processes[i].machine.now, Suspected{name, incarnation, w.processes[i].name})
				}, "%s%d suspects %s%d", s.name, s.machine.settings.Incarnation, name, incarnation)
				add(func(w *world) { w.processes[i].machine.Handle(w.processes[i].machine.now, Failed{name, incarnation}) }, "%s%d counts %s%d as failed", s.name, s.machine.settings.Incarnation, name, incarnation)
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
		last, runs := w.latest(name)
		if w.restarts < 2 && w.roster.Has(name) {
			// Also beside one that runs: an operator may start a name twice.
			add(func(w *world) { w.restarts++; w.start(name, last.machine.roster) }, "start %s beside %d", name, runs)
		}
		switch {
		case runs == 0 && w.roster.Has(name) && len(w.roster.Members) == 3:
			add(func(w *world) {
				w.roster = w.roster.Next(slices.DeleteFunc(slices.Clone(worldNames), func(n string) bool { return n == name }))
			}, "remove %s", name)
		case !w.roster.Has(name) && w.restarts < 2:
			add(func(w *world) {
				w.roster = w.roster.Next(worldNames)
				w.restarts++
				w.start(name, w.roster)
			}, "add %s and start it", name)
		}
	}
	return list
}

// latest returns the latest process of a name, and how many of its processes run.
func (w *world) latest(name string) (s *process, runs int) {
	for _, o := range w.processes {
		if o.name == name {
			s = o
			if o.running {
				runs++
			}
		}
	}
	return s, runs
}

// violation returns the invariant that this world violates, "" if none.
func (w *world) violation() string {
	used := 0.0
	for _, name := range worldNames {
		share := 0.0
		for _, s := range w.processes {
			if s.name != name || !s.running {
				continue
			}
			m := s.machine
			share = max(share, 1/float64(m.QuotaDivisor()))
			// It acts by its own clock, which ran on while it was suspended.
			if allowed, _ := m.Allows(m.now, ExerciseLease); allowed {
				if s.stalled {
					return fmt.Sprintf("%s%d is suspended and may exercise a lease on waking", s.name, m.settings.Incarnation)
				}
				if !s.answered {
					return fmt.Sprintf("%s%d may exercise a lease and nobody has answered it since it woke", s.name, m.settings.Incarnation)
				}
				if m.verdict < Majority {
					return fmt.Sprintf("%s%d may exercise a lease while %v", s.name, m.settings.Incarnation, m.verdict)
				}
			}
			if allowed, _ := m.Allows(m.now, ExerciseLease); allowed && s.learnedOfLater {
				return fmt.Sprintf("%s%d may exercise a lease and learned of a later incarnation", s.name, m.settings.Incarnation)
			}
			if m.safeCount() < len(m.roster.Members) {
				return fmt.Sprintf("%s%d counts %d of %d members", s.name, m.settings.Incarnation, m.safeCount(), len(m.roster.Members))
			}
		}
		used += share
	}
	if used > 1+1e-9 {
		return fmt.Sprintf("all processes together may use %.2f of the quota", used)
	}
	return ""
}

// search visits all worlds to a depth and returns their number and the first violation. Flaw, if not nil, disables a
// guard of a machine after each step.
func search(from *world, depth int, flaw func(*Machine)) (states int, violation string) {
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
					for _, s := range c.processes {
						flaw(s.machine)
					}
				}
				c.trace = append(c.trace, st.what)
				if violation := c.violation(); violation != "" {
					return len(seen), violation + " after: " + strings.Join(c.trace, "; ")
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

// settledWorld returns a world in which all processes answer each other and are complete.
func settledWorld(t *testing.T) *world {
	t.Helper()
	w := newWorld()
	w.play(t, "time", "a1 and b2 exchange", "b2 and c3 exchange", "a1 and c3 exchange", "a1 is answered by b2", "b2 is answered by c3", "c3 is answered by a1", "time", "time")
	for _, s := range w.processes {
		if s.machine.verdict != Complete {
			t.Fatalf("%s is %v: %s", s.name, s.machine.verdict, s.machine.reason)
		}
	}
	w.trace = nil
	return w
}

// play does steps by their names.
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
			t.Fatalf("%q can't happen after %v; possible steps: %v", what, w.trace, can)
		}
		list[i].do(w)
		w.trace = append(w.trace, what)
	}
}

func TestSearchThreeMembers(t *testing.T) {
	for _, from := range []*world{newWorld(), settledWorld(t)} {
		states, violation := search(from, *searchDepth, nil)
		t.Logf("%d states to depth %d", states, *searchDepth)
		if violation != "" {
			t.Error(violation)
		}
	}
}

// Without any one of the guards the search finds a violation.
func TestSearchFindsEachMissingGuard(t *testing.T) {
	for _, c := range []struct {
		guard string
		steps []string // that lead close to the violation
		flaw  func(*Machine)
	}{
		{"a new member has no quota until all know of it", []string{"kill c3", "a1 counts c3 as failed", "b2 counts c3 as failed", "remove c", "a1 reads epoch 2",
			"add c and start it", "b2 and c4 exchange", "time", "c4 is answered by b2"}, func(m *Machine) { m.joined = true }},
		{"a later incarnation supersedes", []string{"start c beside 1"}, func(m *Machine) { m.superseded = 0 }},
		{"failed members count", []string{"cut a to c", "cut b to c"}, func(m *Machine) {
			for name, f := range m.peers {
				if f.state == StateFailed {
					m.roster.Members = slices.DeleteFunc(slices.Clone(m.roster.Members), func(o Member) bool { return o.Name == name })
				}
			}
			m.updateVerdict()
		}},
		{"a suspended process notices by its clock", nil, func(m *Machine) { m.lastTick = m.now }},
		{"after a suspension answers are needed", []string{"stall a1", "wake a1"}, func(m *Machine) { m.lastAnswer = max(m.lastAnswer, m.awakeSince+1) }},
	} {
		t.Run(c.guard, func(t *testing.T) {
			w := settledWorld(t)
			w.play(t, c.steps...)
			if states, violation := search(w, 3, c.flaw); violation == "" {
				t.Errorf("no violation without it in %d states", states)
			} else {
				t.Logf("after %d states: %s", states, violation)
			}
		})
	}
}
