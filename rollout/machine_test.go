package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func policy() Policy {
	return Policy{Canaries: 1, Waves: []float64{0.5, 1}, MaxUnavailable: 1, ReadyTimeout: 20 * time.Second, SoakDuration: 10 * time.Second,
		SilenceTimeout: 8 * time.Second, MaxSilent: 1, MaxServiceDrop: 0.1, LowServiceWindow: 5 * time.Second, Deadline: 10 * time.Minute,
		RollbackTimeout: 5 * time.Minute}
}

// site plays instances: each takes what it is told, is away for a while and
// then ready, unless something is wrong with it.
type site struct {
	t       testing.TB
	m       *Machine
	now     time.Time
	policy  Policy
	nodes   map[string]*fake
	changes []string
	queue   []Event // what orders led to
	busy    bool
}

type fake struct {
	Observed
	order   Revision
	takes   time.Duration // from an order to ready
	readyAt time.Time
	dead    bool
	bad     Revision // it ends unasked with this one
	badFor  time.Duration
	refuses Revision
	byOrder bool // it is away since it was told to be
	toldAt  time.Time
}

func newSite(t testing.TB, p Policy, n int) *site {
	m, err := New(p)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, m: m, policy: p, now: time.Unix(1_800_000_000, 0), nodes: map[string]*fake{}}
	for i := range n {
		s.nodes[fmt.Sprintf("g%02d", i)] = &fake{Observed: Observed{Revision: 1, Ready: true}, takes: 2 * time.Second}
	}
	return s
}

func (s *site) event(ev Event) error {
	actions, err := s.m.Handle(s.now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case Changed:
			if a.Reason == "" {
				s.t.Fatalf("%+v says not why", a)
			}
			s.changes = append(s.changes, fmt.Sprintf("%s: %s -> %s: %s", a.Instance, a.From, a.To, a.Reason))
		case Assign:
			s.told(a)
		}
	}
	for len(s.queue) > 0 && !s.busy {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.busy = true
		if err := s.event(next); err != nil {
			s.t.Fatal(err)
		}
		s.busy = false
	}
	return err
}

// told carries an order out, and holds the machine to the bound on those away.
func (s *site) told(a Assign) {
	n := s.nodes[a.Instance]
	if n == nil || n.dead {
		return
	}
	if a.Revision == n.refuses {
		s.queue = append(s.queue, Rejected{a.Instance, a.Revision, "it does not parse"})
		return
	}
	if a.Revision == n.Revision && n.Ready {
		return
	}
	if n.Ready {
		n.byOrder, n.toldAt = true, s.now
	}
	n.order, n.Ready, n.readyAt = a.Revision, false, s.now.Add(n.takes)
	away := 0
	for name, n := range s.nodes {
		if i := s.m.instances[name]; i != nil && i.silent {
			continue // it is back, and nobody has heard of it yet
		}
		if n.byOrder && !n.Ready && !n.dead && s.now.Sub(n.toldAt) <= s.policy.ReadyTimeout {
			away++
		}
	}
	if away > s.policy.MaxUnavailable {
		s.t.Fatalf("%d instances are away by orders, and %d may be: %+v\n%s", away, s.policy.MaxUnavailable, a, strings.Join(s.changes, "\n"))
	}
}

func (s *site) start(t testing.TB) {
	t.Helper()
	known := map[string]InitialInstance{}
	for name, n := range s.nodes {
		known[name] = InitialInstance{Observed: n.Observed, Unreachable: n.dead}
	}
	if err := s.event(Start{New: 2, Previous: 1, Instances: known, ServiceLevel: 0.95}); err != nil {
		t.Fatal(err)
	}
}

// pass lets time go by, second by second.
func (s *site) pass(d time.Duration) {
	for ; d > 0; d -= time.Second {
		s.now = s.now.Add(time.Second)
		for _, name := range s.names() {
			n := s.nodes[name]
			if n == nil || n.dead {
				continue
			}
			if !n.Ready && !s.now.Before(n.readyAt) {
				n.Ready, n.byOrder = true, false
				if n.order != 0 {
					n.Revision = n.order
				}
			}
			if n.Ready && n.bad == n.Revision && s.now.Sub(n.readyAt) >= n.badFor {
				n.Crashes++
				n.Ready, n.readyAt = false, s.now.Add(n.takes)
			}
			s.event(InstanceReported{name, n.Observed})
		}
		s.event(Tick{})
	}
}

func (s *site) names() (list []string) {
	for name := range s.nodes {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

func (s *site) wants(t *testing.T, state State, on Revision, but ...string) {
	t.Helper()
	if got := s.m.Status(); got.State != state || s.m.Wanted() != on {
		t.Fatalf("%s, revision %d wanted: %s\n%s", got.State, s.m.Wanted(), got.Reason, strings.Join(s.changes, "\n"))
	}
	for name, n := range s.nodes {
		if n.Revision != on && !slices.Contains(but, name) {
			t.Errorf("%s has revision %d", name, n.Revision)
		}
	}
}

func TestARolloutGoesInWaves(t *testing.T) {
	s := newSite(t, policy(), 10)
	s.start(t)
	s.pass(5 * time.Second)
	told := 0
	for _, n := range s.nodes {
		if n.Revision == 2 || n.order == 2 {
			told++
		}
	}
	if told != 1 {
		t.Fatalf("%d were told before the canary was through", told)
	}
	s.pass(3 * time.Minute)
	s.wants(t, Applied, 2)
}

// TestWhatGoesWrong has one thing go wrong, and states how the rollout ends.
func TestWhatGoesWrong(t *testing.T) {
	for name, k := range map[string]struct {
		change func(*site)
		during func(*site) // after the canary has been told
		state  State
		on     Revision
		but    []string
		says   string
	}{
		"a canary that crashes ten seconds after its start": {func(s *site) { s.nodes["g00"].bad, s.nodes["g00"].badFor = 2, 9*time.Second }, nil, RolledBack, 1, nil, "g00 ended unasked with revision 2"},
		"one of the last that crashes":                      {func(s *site) { s.nodes["g08"].bad, s.nodes["g08"].badFor = 2, 5*time.Second }, nil, RolledBack, 1, nil, "g08 ended unasked"},
		"one that refuses":                                  {func(s *site) { s.nodes["g03"].refuses = 2 }, nil, RolledBack, 1, nil, "g03 refused revision 2: it does not parse"},
		"one that is never ready":                           {func(s *site) { s.nodes["g04"].takes = time.Hour }, nil, PartlyRolledBack, 1, nil, "g04 was not ready"},
		"a canary that falls silent":                        {nil, func(s *site) { s.nodes["g00"].dead = true }, PartlyRolledBack, 1, nil, "nobody who was told is heard of and ready"},
		"one that falls silent later":                       {nil, func(s *site) { s.pass(18 * time.Second); s.nodes["g02"].dead = true }, PartlyApplied, 2, []string{"g02"}, "[g02]"},
		"two that fall silent":                              {nil, func(s *site) { s.pass(25 * time.Second); s.nodes["g01"].dead, s.nodes["g02"].dead = true, true }, PartlyRolledBack, 1, []string{"g01", "g02"}, "are silent"},
		"one that was away from the start":                  {func(s *site) { s.nodes["g05"].dead = true }, nil, PartlyApplied, 2, []string{"g05"}, "[g05]"},
		"an operator who aborts":                            {nil, func(s *site) { s.pass(40 * time.Second); s.event(Abort{"ann"}) }, RolledBack, 1, nil, "aborted by ann"},
		"a service that falls": {nil, func(s *site) {
			s.pass(20 * time.Second)
			for range 7 {
				s.event(ServiceReported{0.7})
				s.pass(time.Second)
			}
		}, RolledBack, 1, nil, "the service is at 0.700"},
		"a service that falls for a moment": {nil, func(s *site) { s.event(ServiceReported{0.7}); s.pass(3 * time.Second); s.event(ServiceReported{0.95}) }, Applied, 2, nil, ""},
		"one that joins": {nil, func(s *site) {
			s.nodes["new"] = &fake{Observed: Observed{Revision: 1, Ready: true}, takes: time.Second}
		}, Applied, 2, nil, ""},
		"one that is removed": {nil, func(s *site) { delete(s.nodes, "g07"); s.event(InstanceRemoved{"g07"}) }, Applied, 2, nil, ""},
		"a clock that jumps": {nil, func(s *site) {
			s.now = s.now.Add(24 * time.Hour)
			s.pass(time.Second)
			s.now = s.now.Add(-48 * time.Hour)
		}, Applied, 2, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, policy(), 10)
			if k.change != nil {
				k.change(s)
			}
			s.start(t)
			s.pass(time.Second)
			if k.during != nil {
				k.during(s)
			}
			s.pass(12 * time.Minute)
			s.wants(t, k.state, k.on, k.but...)
			if all := strings.Join(s.changes, "\n"); !strings.Contains(all, k.says) {
				t.Errorf("never said %q:\n%s", k.says, all)
			}
			// Those that were silent come back long after, and take what is wanted.
			for _, n := range s.nodes {
				n.dead, n.bad, n.refuses, n.takes = false, 0, 0, time.Second
				if !n.Ready {
					n.readyAt = s.now
				}
			}
			s.pass(5 * time.Minute)
			s.wants(t, map[Revision]State{1: RolledBack, 2: Applied}[k.on], k.on)
		})
	}
}

func TestPauseTellsNobodyNew(t *testing.T) {
	s := newSite(t, policy(), 6)
	s.start(t)
	s.pass(time.Second)
	if err := s.event(Pause{"ann"}); err != nil {
		t.Fatal(err)
	}
	s.pass(2 * time.Minute)
	took := 0
	for _, n := range s.nodes {
		if n.Revision == 2 {
			took++
		}
	}
	if took != 1 || s.m.Status().State != Paused {
		t.Fatalf("%d took it while it was %s", took, s.m.Status().State)
	}
	if err := s.event(Resume{"bob"}); err != nil {
		t.Fatal(err)
	}
	s.pass(3 * time.Minute)
	s.wants(t, Applied, 2)
}

func TestEventsThatDoNotFitChangeNothing(t *testing.T) {
	s := newSite(t, policy(), 3)
	for _, ev := range []Event{Pause{"a"}, Resume{"a"}, Abort{"a"}, Start{New: 0}, Start{New: 3, Previous: 3}} {
		if err := s.event(ev); err == nil || s.m.Status().State != Idle {
			t.Errorf("%#v was taken", ev)
		}
	}
	s.start(t)
	for _, ev := range []Event{Start{New: 3, Previous: 2}, Resume{"a"}} {
		if err := s.event(ev); err == nil || s.m.Status().State != Advancing {
			t.Errorf("%#v was taken", ev)
		}
	}
}

func TestPoliciesThatCannotEndAreRefused(t *testing.T) {
	for _, change := range []func(*Policy){
		func(p *Policy) { p.Canaries = 0 }, func(p *Policy) { p.MaxUnavailable = 0 }, func(p *Policy) { p.Waves = nil },
		func(p *Policy) { p.Waves = []float64{0.5} }, func(p *Policy) { p.Waves = []float64{0.5, 0.2, 1} },
		func(p *Policy) { p.Deadline = 0 }, func(p *Policy) { p.MaxServiceDrop = 1 }, func(p *Policy) { p.MaxSilent = -1 },
		func(p *Policy) { p.SoakDuration = -1 },
	} {
		p := policy()
		change(&p)
		if _, err := New(p); err == nil {
			t.Errorf("%+v was taken", p)
		}
	}
}

// TestAnyInterleavingEndsInAStatedState lets anything happen to 2 to 50
// instances, and holds the machine to its bound at every order. When the trouble
// is over, everybody has the one revision that is wanted.
func TestAnyInterleavingEndsInAStatedState(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := policy()
		p.Canaries = rapid.IntRange(1, 3).Draw(r, "canaries")
		p.MaxUnavailable = rapid.IntRange(1, 5).Draw(r, "away")
		p.MaxSilent = rapid.IntRange(0, 3).Draw(r, "silent")
		s := newSite(t, p, rapid.IntRange(2, 50).Draw(r, "instances"))
		for _, name := range s.names() {
			n := s.nodes[name]
			n.takes = time.Duration(rapid.IntRange(0, 25).Draw(r, "takes")) * time.Second
			n.dead = rapid.IntRange(0, 9).Draw(r, "dead") == 0
			switch rapid.IntRange(0, 60).Draw(r, "flaw") {
			case 0:
				n.bad, n.badFor = 2, time.Duration(rapid.IntRange(0, 20).Draw(r, "bad for"))*time.Second
			case 1:
				n.refuses = 2
			}
		}
		s.start(t)
		for range rapid.IntRange(0, 30).Draw(r, "steps") {
			names := s.names()
			n := s.nodes[rapid.SampledFrom(names).Draw(r, "who")]
			switch rapid.IntRange(0, 9).Draw(r, "what") {
			case 0:
				n.dead = true
			case 1, 2:
				n.dead = false
			case 3: // it dies of itself
				n.Crashes++
				n.Ready, n.readyAt = false, s.now.Add(n.takes)
			case 4:
				s.event(Pause{"a"})
			case 5:
				s.event(Resume{"a"})
			case 6:
				if rapid.IntRange(0, 5).Draw(r, "abort") == 0 {
					s.event(Abort{"a"})
				}
			case 7:
				name := fmt.Sprintf("new%d", len(s.nodes))
				s.nodes[name] = &fake{Observed: Observed{Revision: 1, Ready: true}, takes: time.Second}
			case 8:
				if len(names) > 2 {
					gone := rapid.SampledFrom(names).Draw(r, "gone")
					delete(s.nodes, gone)
					s.event(InstanceRemoved{gone})
				}
			case 9:
				s.event(ServiceReported{rapid.Float64Range(0.5, 1).Draw(r, "service")})
			}
			s.pass(time.Duration(rapid.IntRange(1, 20).Draw(r, "seconds")) * time.Second)
		}
		for _, n := range s.nodes {
			n.dead, n.bad, n.refuses, n.takes = false, 0, 0, time.Second
			if !n.Ready {
				n.readyAt = s.now
			}
		}
		s.event(Resume{"a"})
		s.event(ServiceReported{1})
		s.pass(20 * time.Minute)
		st := s.m.Status()
		if !st.State.Ended() {
			r.Fatalf("%s: %s", st.State, st.Reason)
		}
		for name, n := range s.nodes {
			if n.Revision != st.Wanted {
				r.Fatalf("%s: %s; %s has revision %d where %d is wanted\n%s", st.State, st.Reason, name, n.Revision, st.Wanted, strings.Join(s.changes, "\n"))
			}
		}
		if st.State != Applied && st.State != RolledBack {
			r.Fatalf("all are well, and it is %s: %s\n%s", st.State, st.Reason, strings.Join(s.changes, "\n"))
		}
	})
}

func TestASiteWithoutInstancesWaitsForNobody(t *testing.T) {
	s := newSite(t, policy(), 0)
	s.start(t)
	if st := s.m.Status(); st.State != Applied {
		t.Fatalf("%+v", st)
	}
	// Who joins later gets what is wanted.
	s.nodes["g00"] = &fake{takes: time.Second}
	s.pass(time.Minute)
	if got := s.nodes["g00"].Revision; got != 2 {
		t.Fatal(got)
	}
}

// BenchmarkRollout is a whole rollout over 1,000 instances that take at once
// what they are told, a report of each at a time.
func BenchmarkRollout(b *testing.B) {
	const n = 1000
	for b.Loop() {
		p := policy()
		p.SoakDuration, p.MaxUnavailable = 0, n/10
		m, err := New(p)
		if err != nil {
			b.Fatal(err)
		}
		now := time.Unix(1_800_000_000, 0)
		known := map[string]InitialInstance{}
		runs := map[string]Revision{}
		for i := range n {
			name := fmt.Sprintf("g%04d", i)
			runs[name] = 1
			known[name] = InitialInstance{Observed: Observed{Revision: 1, Ready: true}}
		}
		if _, err := m.Handle(now, Start{New: 2, Previous: 1, Instances: known}); err != nil {
			b.Fatal(err)
		}
		events := 0
		for m.Status().State == Advancing {
			for name := range runs {
				now = now.Add(time.Millisecond)
				runs[name] = m.InstanceRevision(name)
				events++
				if _, err := m.Handle(now, InstanceReported{name, Observed{Revision: runs[name], Ready: true}}); err != nil {
					b.Fatal(err)
				}
			}
		}
		if s := m.Status(); s.State != Applied {
			b.Fatal(s.State, s.Reason)
		}
		b.ReportMetric(float64(events), "reports/op")
	}
}
