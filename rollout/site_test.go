package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

func policy() Policy {
	return Policy{Canaries: 1, Waves: []float64{0.5, 1}, MaxUnavailable: 1, ReadyTimeout: 20 * time.Second, SoakDuration: 10 * time.Second,
		SilenceTimeout: 8 * time.Second, MaxSilent: 1, MaxServiceDrop: 0.1, LowServiceWindow: 5 * time.Second, Timeout: 10 * time.Minute,
		RollbackTimeout: 5 * time.Minute}
}

// site simulates instances: each updates as it is assigned, is unavailable for a while and then ready, unless it has a
// fault.
type site struct {
	t       testing.TB
	m       *Machine
	now     time.Time
	policy  Policy
	nodes   map[string]*fakeInstance
	changes []string
	queue   []Event // that assignments caused
	busy    bool
}

type fakeInstance struct {
	Observed
	assigned       Revision
	updateDuration time.Duration // from an assignment to ready
	readyAt        time.Time
	dead           bool
	crashesWith    Revision
	crashDelay     time.Duration // from ready to the crash
	rejects        Revision
	updating       bool // it is unavailable because of an assignment
	assignedAt     time.Time
}

func newSite(t testing.TB, p Policy, n int) *site {
	m, err := New(p)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, m: m, policy: p, now: time.Unix(1_800_000_000, 0), nodes: map[string]*fakeInstance{}}
	for i := range n {
		s.nodes[fmt.Sprintf("g%02d", i)] = &fakeInstance{Observed: Observed{Revision: 1, Ready: true}, updateDuration: 2 * time.Second}
	}
	return s
}

func (s *site) event(ev Event) error {
	actions, err := s.m.Handle(s.now, ev)
	for _, a := range actions {
		switch a := a.(type) {
		case Transition:
			if a.Reason == "" {
				s.t.Fatalf("%+v has no reason", a)
			}
			s.changes = append(s.changes, fmt.Sprintf("%s: %s -> %s: %s", a.Instance, a.From, a.To, a.Reason))
		case Assign:
			s.assign(a)
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

// assign carries an assignment out, and fails the test if more than MaxUnavailable instances are unavailable by assignments.
func (s *site) assign(a Assign) {
	n := s.nodes[a.Instance]
	if n == nil || n.dead {
		return
	}
	if a.Revision == n.rejects {
		s.queue = append(s.queue, Rejected{a.Instance, a.Revision, "it does not parse"})
		return
	}
	if a.Revision == n.Revision && n.Ready {
		return
	}
	if n.Ready {
		n.updating, n.assignedAt = true, s.now
	}
	n.assigned, n.Ready, n.readyAt = a.Revision, false, s.now.Add(n.updateDuration)
	unavailable := 0
	for name, n := range s.nodes {
		if i := s.m.instances[name]; i != nil && i.silent {
			continue // it is back, and the machine can't know yet
		}
		if n.updating && !n.Ready && !n.dead && s.now.Sub(n.assignedAt) <= s.policy.ReadyTimeout {
			unavailable++
		}
	}
	if unavailable > s.policy.MaxUnavailable {
		s.t.Fatalf("%d instances are unavailable by assignments, and %d may be: %+v\n%s", unavailable, s.policy.MaxUnavailable, a, strings.Join(s.changes, "\n"))
	}
}

func (s *site) start(t testing.TB) {
	t.Helper()
	initial := map[string]InitialInstance{}
	for name, n := range s.nodes {
		initial[name] = InitialInstance{Observed: n.Observed, Unreachable: n.dead}
	}
	if err := s.event(Start{New: 2, Previous: 1, Instances: initial, ServiceLevel: 0.95}); err != nil {
		t.Fatal(err)
	}
}

// pass lets time pass, second by second.
func (s *site) pass(d time.Duration) {
	for ; d > 0; d -= time.Second {
		s.now = s.now.Add(time.Second)
		for _, name := range s.names() {
			n := s.nodes[name]
			if n == nil || n.dead {
				continue
			}
			if !n.Ready && !s.now.Before(n.readyAt) {
				n.Ready, n.updating = true, false
				if n.assigned != 0 {
					n.Revision = n.assigned
				}
			}
			if n.Ready && n.crashesWith == n.Revision && s.now.Sub(n.readyAt) >= n.crashDelay {
				n.Crashes++
				n.Ready, n.readyAt = false, s.now.Add(n.updateDuration)
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

// expect fails the test unless the rollout is in a state in which the revision is wanted, and all instances have it but
// the excepted.
func (s *site) expect(t *testing.T, state State, wanted Revision, except ...string) {
	t.Helper()
	if got := s.m.Status(); got.State != state || s.m.DesiredRevision() != wanted {
		t.Fatalf("%s, revision %d wanted: %s\n%s", got.State, s.m.DesiredRevision(), got.Reason, strings.Join(s.changes, "\n"))
	}
	for name, n := range s.nodes {
		if n.Revision != wanted && !slices.Contains(except, name) {
			t.Errorf("%s has revision %d", name, n.Revision)
		}
	}
}

// heal removes all faults: every instance runs and becomes ready.
func (s *site) heal() {
	for _, n := range s.nodes {
		n.dead, n.crashesWith, n.rejects, n.updateDuration = false, 0, 0, time.Second
		if !n.Ready {
			n.readyAt = s.now
		}
	}
}
