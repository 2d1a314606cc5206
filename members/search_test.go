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

var searchDepth = flag.Int("depth", 4, "steps of the exhaustive search with three members")

// A small model checker: the search visits every interleaving of the steps of three names up to a depth. Links between
// processes are up or cut, in one direction or both; a process is suspended and resumed, killed and restarted, or
// started a second time while the first one runs; the roster removes a member whose process has ended and adds it
// again. Times are full seconds, so that equal states recur.

// process is one process of a siteModel.
type process struct {
	name      string
	machine   *Machine
	running   bool
	suspended bool

	// Facts that do not depend on the conclusions of its machine.
	answered       bool // by any process since it was last resumed
	learnedOfLater bool // it learned of a later incarnation of its name
}

type siteModel struct {
	processes       []*process
	cut             map[[2]string]bool // from, to
	roster          Roster             // agreed
	lastIncarnation Incarnation
	restarts        int
	trace           []string
}

var siteNames = []string{"a", "b", "c"}

func searchSettings(name string, incarnation Incarnation) Settings {
	return Settings{Self: name, Incarnation: incarnation, TickInterval: time.Second, StallThreshold: 2 * time.Second, MinSettleTime: time.Second, MaxSettleTime: 2 * time.Second, SilenceTimeout: 3 * time.Second}
}

func newSiteModel() *siteModel {
	site := &siteModel{cut: map[[2]string]bool{}, roster: Roster{}.Next(siteNames)}
	for _, name := range siteNames {
		site.start(name, site.roster)
	}
	return site
}

func (site *siteModel) start(name string, r Roster) *process {
	site.lastIncarnation++
	m, err := New(searchSettings(name, site.lastIncarnation), r, 0)
	if err != nil {
		panic(err)
	}
	p := &process{name: name, machine: m, running: true}
	site.processes = append(site.processes, p)
	return p
}

func (site *siteModel) clone() *siteModel {
	copied := &siteModel{cut: maps.Clone(site.cut), roster: site.roster, lastIncarnation: site.lastIncarnation, restarts: site.restarts, trace: slices.Clone(site.trace)}
	for _, p := range site.processes {
		process := *p
		process.machine = p.machine.clone()
		copied.processes = append(copied.processes, &process)
	}
	return copied
}

func (m *Machine) clone() *Machine {
	copied := *m
	copied.evidence = nil
	copied.probes = slices.Clone(m.probes)
	copied.conflictingRosters = maps.Clone(m.conflictingRosters)
	copied.peers = map[string]*peer{}
	for name, original := range m.peers {
		copiedPeer := *original
		copiedPeer.earlierIncarnations = slices.Clone(original.earlierIncarnations)
		copied.peers[name] = &copiedPeer
	}
	return &copied
}

// key returns the same text for models whose future steps and violations are the same.
func (site *siteModel) key() string {
	var b strings.Builder
	age := func(m *Machine, t Time) int { return int(min(m.now-t, 4*time.Second) / time.Second) }
	fmt.Fprint(&b, site.roster.Epoch, site.restarts, site.cut)
	for _, p := range site.processes {
		m := p.machine
		fmt.Fprint(&b, "|", p.name, p.running, p.suspended, m.settings.Incarnation, m.roster.Epoch, m.supersededBy, m.knownToAll, m.divisor, m.verdict, m.recentFalls,
			age(m, m.lastTick), age(m, m.activeSince), m.lastAnswer > m.activeSince, age(m, m.fallsChangedAt), m.probes, p.answered, p.learnedOfLater)
		for _, t := range m.supportedSince {
			fmt.Fprint(&b, ",", age(m, t))
		}
		for _, name := range siteNames {
			if peer := m.peers[name]; peer != nil {
				fmt.Fprint(&b, ";", name, peer.incarnation, peer.state, peer.highestEpoch, peer.epoch, peer.earlierIncarnations, peer.state == StateSuspect && age(m, peer.since) > 2)
			}
		}
	}
	return b.String()
}

// reaches reports whether messages of one process reach the other.
func (site *siteModel) reaches(from, to *process) bool {
	return from.running && to.running && !from.suspended && !to.suspended && !site.cut[[2]string{from.name, to.name}]
}

func (site *siteModel) connected(a, b *process) bool { return site.reaches(a, b) && site.reaches(b, a) }

// gossip sends the state of one process to another, as a push of a push/pull exchange does.
func (site *siteModel) gossip(from, to *process) {
	m, at := to.machine, to.machine.now
	r := from.machine.roster
	for _, l := range from.machine.Incarnations() {
		to.learnedOfLater = to.learnedOfLater || l.Name == to.name && l.Incarnation > m.settings.Incarnation
		m.Handle(at, l)
	}
	m.Handle(at, RosterReceived{r, from.name})
	m.Handle(at, Alive{Name: from.name, Incarnation: from.machine.settings.Incarnation, Epoch: r.Epoch, Sum: r.Sum()})
	for _, peer := range from.machine.peers {
		for _, earlier := range peer.earlierIncarnations {
			if earlier.alive {
				m.Handle(at, Alive{Name: peer.name, Incarnation: earlier.incarnation, Epoch: peer.epoch, Sum: peer.sum})
			}
		}
		if peer.state.Alive() && peer.incarnation != 0 {
			m.Handle(at, Alive{Name: peer.name, Incarnation: peer.incarnation, Epoch: peer.epoch, Sum: peer.sum})
		}
	}
}

type step struct {
	name string
	do   func(*siteModel)
}

// steps returns all possible next steps.
func (site *siteModel) steps() (list []step) {
	add := func(do func(*siteModel), format string, a ...any) {
		list = append(list, step{fmt.Sprintf(format, a...), do})
	}
	add(func(site *siteModel) {
		for _, p := range site.processes {
			switch {
			case p.suspended:
				p.machine.now += 3 * time.Second // no tick: it is suspended
			case p.running:
				p.machine.Handle(p.machine.now+time.Second, Tick{})
			}
		}
	}, "time")
	for i, p := range site.processes {
		if !p.running {
			continue
		}
		if p.suspended {
			add(func(site *siteModel) { site.processes[i].suspended = false }, "resume %s%d", p.name, p.machine.settings.Incarnation)
			continue
		}
		add(func(site *siteModel) {
			site.processes[i].suspended, site.processes[i].answered = true, false
			site.processes[i].machine.now += 3 * time.Second
		}, "suspend %s%d", p.name, p.machine.settings.Incarnation)
		if site.restarts < 2 {
			add(func(site *siteModel) { site.processes[i].running = false }, "kill %s%d", p.name, p.machine.settings.Incarnation)
		}
		if p.machine.roster.Epoch < site.roster.Epoch {
			add(func(site *siteModel) {
				site.processes[i].machine.Handle(site.processes[i].machine.now, RosterReceived{site.roster, "file"})
			}, "%s%d reads epoch %d", p.name, p.machine.settings.Incarnation, site.roster.Epoch)
		}
		for k, other := range site.processes {
			if i == k || other.name == p.name && other.machine.settings.Incarnation == p.machine.settings.Incarnation {
				continue
			}
			incarnation, name := other.machine.settings.Incarnation, other.name
			peer := p.machine.peers[name]
			known := peer != nil && peer.incarnation == incarnation && peer.state.Alive()
			if site.connected(p, other) {
				add(func(site *siteModel) {
					site.gossip(site.processes[k], site.processes[i])
					site.gossip(site.processes[i], site.processes[k])
				}, "%s%d and %s%d exchange", p.name, p.machine.settings.Incarnation, name, incarnation)
				if known {
					add(func(site *siteModel) {
						site.processes[i].answered = true
						site.processes[i].machine.Handle(site.processes[i].machine.now, Answered{name, incarnation})
					}, "%s%d is answered by %s%d", p.name, p.machine.settings.Incarnation, name, incarnation)
				}
			} else if known {
				add(func(site *siteModel) {
					site.processes[i].machine.Handle(site.processes[i].machine.now, Suspected{name, incarnation, site.processes[i].name})
				}, "%s%d suspects %s%d", p.name, p.machine.settings.Incarnation, name, incarnation)
				add(func(site *siteModel) {
					site.processes[i].machine.Handle(site.processes[i].machine.now, Failed{name, incarnation})
				}, "%s%d counts %s%d as failed", p.name, p.machine.settings.Incarnation, name, incarnation)
			}
		}
	}
	for i, a := range siteNames {
		for _, b := range siteNames[i+1:] {
			for _, link := range [][2]string{{a, b}, {b, a}} {
				if site.cut[link] {
					add(func(site *siteModel) { delete(site.cut, link) }, "heal %s to %s", link[0], link[1])
				} else {
					add(func(site *siteModel) { site.cut[link] = true }, "cut %s to %s", link[0], link[1])
				}
			}
		}
	}
	for _, name := range siteNames {
		latest, running := site.latest(name)
		if site.restarts < 2 && site.roster.Has(name) {
			// Even if one is running: an operator may start a name twice.
			add(func(site *siteModel) { site.restarts++; site.start(name, latest.machine.roster) }, "start %s beside %d", name, running)
		}
		switch {
		case running == 0 && site.roster.Has(name) && len(site.roster.Members) == 3:
			add(func(site *siteModel) {
				site.roster = site.roster.Next(slices.DeleteFunc(slices.Clone(siteNames), func(n string) bool { return n == name }))
			}, "remove %s", name)
		case !site.roster.Has(name) && site.restarts < 2:
			add(func(site *siteModel) {
				site.roster = site.roster.Next(siteNames)
				site.restarts++
				site.start(name, site.roster)
			}, "add %s and start it", name)
		}
	}
	return list
}

// latest returns the latest process of a name, and the number of its running processes.
func (site *siteModel) latest(name string) (latest *process, running int) {
	for _, other := range site.processes {
		if other.name == name {
			latest = other
			if other.running {
				running++
			}
		}
	}
	return latest, running
}

// violation returns the invariant that the model violates, "" if none.
func (site *siteModel) violation() string {
	used := 0.0
	for _, name := range siteNames {
		share := 0.0
		for _, p := range site.processes {
			if p.name != name || !p.running {
				continue
			}
			m := p.machine
			share = max(share, 1/float64(m.QuotaDivisor()))
			// The process acts by its own clock, which continued while it was suspended.
			if allowed, _ := m.Allows(m.now, ExerciseLease); allowed {
				if p.suspended {
					return fmt.Sprintf("%s%d is suspended and may exercise a lease once it is resumed", p.name, m.settings.Incarnation)
				}
				if !p.answered {
					return fmt.Sprintf("%s%d may exercise a lease and no process has answered it since it was resumed", p.name, m.settings.Incarnation)
				}
				if m.verdict < Majority {
					return fmt.Sprintf("%s%d may exercise a lease while %v", p.name, m.settings.Incarnation, m.verdict)
				}
			}
			if allowed, _ := m.Allows(m.now, ExerciseLease); allowed && p.learnedOfLater {
				return fmt.Sprintf("%s%d may exercise a lease and learned of a later incarnation", p.name, m.settings.Incarnation)
			}
			if m.safeCount() < len(m.roster.Members) {
				return fmt.Sprintf("%s%d counts %d of %d members", p.name, m.settings.Incarnation, m.safeCount(), len(m.roster.Members))
			}
		}
		used += share
	}
	if used > 1+1e-9 {
		return fmt.Sprintf("all processes together may use %.2f of the quota", used)
	}
	return ""
}

// search visits all states up to a depth and returns their number and the first violation. DisableGuard, if not nil,
// disables a guard of each machine after each step.
func search(from *siteModel, depth int, disableGuard func(*Machine)) (states int, violation string) {
	seen := map[string]bool{}
	layer := []*siteModel{from}
	seen[from.key()] = true
	for range depth {
		var next []*siteModel
		for _, site := range layer {
			for _, step := range site.steps() {
				successor := site.clone()
				step.do(successor)
				if disableGuard != nil {
					for _, p := range successor.processes {
						disableGuard(p.machine)
					}
				}
				successor.trace = append(successor.trace, step.name)
				if violation := successor.violation(); violation != "" {
					return len(seen), violation + " after: " + strings.Join(successor.trace, "; ")
				}
				if key := successor.key(); !seen[key] {
					seen[key] = true
					next = append(next, successor)
				}
			}
		}
		layer = next
	}
	return len(seen), ""
}

// settledSite returns a model in which all processes answer each other and have the verdict Complete.
func settledSite(t *testing.T) *siteModel {
	t.Helper()
	site := newSiteModel()
	site.play(t, "time", "a1 and b2 exchange", "b2 and c3 exchange", "a1 and c3 exchange", "a1 is answered by b2", "b2 is answered by c3", "c3 is answered by a1", "time", "time")
	for _, p := range site.processes {
		if p.machine.verdict != Complete {
			t.Fatalf("%s is %v: %s", p.name, p.machine.verdict, p.machine.reason)
		}
	}
	site.trace = nil
	return site
}

// play performs steps by their names.
func (site *siteModel) play(t *testing.T, steps ...string) {
	t.Helper()
	for _, name := range steps {
		list := site.steps()
		i := slices.IndexFunc(list, func(s step) bool { return s.name == name })
		if i < 0 {
			var possible []string
			for _, s := range list {
				possible = append(possible, s.name)
			}
			t.Fatalf("step %q is not possible after %v; possible steps: %v", name, site.trace, possible)
		}
		list[i].do(site)
		site.trace = append(site.trace, name)
	}
}

// No interleaving of up to depth steps violates an invariant.
func TestSearchThreeMembers(t *testing.T) {
	for _, from := range []*siteModel{newSiteModel(), settledSite(t)} {
		states, violation := search(from, *searchDepth, nil)
		t.Logf("%d states to depth %d", states, *searchDepth)
		if violation != "" {
			t.Error(violation)
		}
	}
}

// The search is effective: with any one of the guards disabled it finds a violation.
func TestSearchFindsEachMissingGuard(t *testing.T) {
	for _, test := range []struct {
		guard        string
		steps        []string // that lead close to the violation
		disableGuard func(*Machine)
	}{
		{"a new member has no quota until all know of it", []string{"kill c3", "a1 counts c3 as failed", "b2 counts c3 as failed", "remove c", "a1 reads epoch 2",
			"add c and start it", "b2 and c4 exchange", "time", "c4 is answered by b2"}, func(m *Machine) { m.knownToAll = true }},
		{"a later incarnation supersedes an earlier one", []string{"start c beside 1"}, func(m *Machine) { m.supersededBy = 0 }},
		{"failed members are counted", []string{"cut a to c", "cut b to c"}, func(m *Machine) {
			for name, peer := range m.peers {
				if peer.state == StateFailed {
					m.roster.Members = slices.DeleteFunc(slices.Clone(m.roster.Members), func(member Member) bool { return member.Name == name })
				}
			}
			m.updateVerdict()
		}},
		{"a suspended process detects the suspension by its clock", nil, func(m *Machine) { m.lastTick = m.now }},
		{"a verdict after a suspension requires answers", []string{"suspend a1", "resume a1"}, func(m *Machine) { m.lastAnswer = max(m.lastAnswer, m.activeSince+1) }},
	} {
		t.Run(test.guard, func(t *testing.T) {
			site := settledSite(t)
			site.play(t, test.steps...)
			if states, violation := search(site, 3, test.disableGuard); violation == "" {
				t.Errorf("no violation without the guard in %d states", states)
			} else {
				t.Logf("after %d states: %s", states, violation)
			}
		})
	}
}
