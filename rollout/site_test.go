package rollout

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// testPolicy allows one unavailable and one silent instance.
func testPolicy() Policy {
	return Policy{Canaries: 1, Waves: []float64{0.5, 1}, MaxUnavailable: 1, ReadyTimeout: 20 * time.Second, SoakDuration: 10 * time.Second,
		SilenceTimeout: 8 * time.Second, MaxSilent: 1, MaxServiceDrop: 0.1, LowServiceWindow: 5 * time.Second, Timeout: 10 * time.Minute,
		RollbackTimeout: 5 * time.Minute}
}

// site simulates the instances of a site. An instance that is assigned a revision is unavailable for its updateDuration
// and then ready, unless it has a fault. The site is also the machine's driver.
type site struct {
	t           testing.TB
	machine     *Machine
	now         time.Time
	policy      Policy
	instances   map[string]*fakeInstance
	transitions []string // texts of all transitions
	queue       []Event  // caused by assignments, not handled yet
	handling    bool     // an event from the queue is being handled
}

// fakeInstance is a simulated instance with its faults.
type fakeInstance struct {
	Observed
	assigned          Revision
	updateDuration    time.Duration // from an assignment until it is ready
	readyAt           time.Time
	dead              bool // does not report, and ignores assignments
	crashesOnRevision Revision
	crashDelay        time.Duration // from ready until it crashes
	rejectsRevision   Revision
	updating          bool // unavailable because of an assignment
	assignedAt        time.Time
}

func newSite(t testing.TB, policy Policy, count int) *site {
	machine, err := New(policy)
	if err != nil {
		t.Fatal(err)
	}
	s := &site{t: t, machine: machine, policy: policy, now: time.Unix(1_800_000_000, 0), instances: map[string]*fakeInstance{}}
	for i := range count {
		s.instances[fmt.Sprintf("g%02d", i)] = &fakeInstance{Observed: Observed{Revision: 1, Ready: true}, updateDuration: 2 * time.Second}
	}
	return s
}

// handle passes an event to the machine and carries out its actions.
func (s *site) handle(event Event) error {
	actions, err := s.machine.Handle(s.now, event)
	for _, action := range actions {
		switch action := action.(type) {
		case Transition:
			if action.Reason == "" {
				s.t.Fatalf("%+v has no reason", action)
			}
			s.transitions = append(s.transitions, fmt.Sprintf("%s: %s -> %s: %s", action.Instance, action.From, action.To, action.Reason))
		case Assign:
			s.assign(action)
		}
	}
	for len(s.queue) > 0 && !s.handling {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.handling = true
		if err := s.handle(next); err != nil {
			s.t.Fatal(err)
		}
		s.handling = false
	}
	return err
}

// assign carries out an assignment. It fails the test if assignments make more than MaxUnavailable instances
// unavailable.
func (s *site) assign(assignment Assign) {
	inst := s.instances[assignment.Instance]
	if inst == nil || inst.dead {
		return
	}
	if assignment.Revision == inst.rejectsRevision {
		s.queue = append(s.queue, Rejected{assignment.Instance, assignment.Revision, "it does not parse"})
		return
	}
	if assignment.Revision == inst.Revision && inst.Ready {
		return
	}
	if inst.Ready {
		inst.updating, inst.assignedAt = true, s.now
	}
	inst.assigned, inst.Ready, inst.readyAt = assignment.Revision, false, s.now.Add(inst.updateDuration)
	unavailable := 0
	for name, inst := range s.instances {
		if known := s.machine.instances[name]; known != nil && known.silent {
			continue // it may be back without the machine having received its report
		}
		if inst.updating && !inst.Ready && !inst.dead && s.now.Sub(inst.assignedAt) <= s.policy.ReadyTimeout {
			unavailable++
		}
	}
	if unavailable > s.policy.MaxUnavailable {
		s.t.Fatalf("assignments made %d instances unavailable, at most %d are allowed: %+v\n%s", unavailable, s.policy.MaxUnavailable, assignment, strings.Join(s.transitions, "\n"))
	}
}

// start begins a rollout of revision 2 in place of revision 1.
func (s *site) start(t testing.TB) {
	t.Helper()
	initial := map[string]InitialInstance{}
	for name, inst := range s.instances {
		initial[name] = InitialInstance{Observed: inst.Observed, Unreachable: inst.dead}
	}
	if err := s.handle(Start{New: 2, Previous: 1, Instances: initial, ServiceLevel: 0.95}); err != nil {
		t.Fatal(err)
	}
}

// advance advances the clock by a duration, second by second, and lets the instances update, crash and report.
func (s *site) advance(duration time.Duration) {
	for ; duration > 0; duration -= time.Second {
		s.now = s.now.Add(time.Second)
		for _, name := range s.names() {
			inst := s.instances[name]
			if inst == nil || inst.dead {
				continue
			}
			if !inst.Ready && !s.now.Before(inst.readyAt) {
				inst.Ready, inst.updating = true, false
				if inst.assigned != 0 {
					inst.Revision = inst.assigned
				}
			}
			if inst.Ready && inst.crashesOnRevision == inst.Revision && s.now.Sub(inst.readyAt) >= inst.crashDelay {
				inst.Crashes++
				inst.Ready, inst.readyAt = false, s.now.Add(inst.updateDuration)
			}
			s.handle(InstanceReported{name, inst.Observed})
		}
		s.handle(Tick{})
	}
}

// names returns the names of the instances, sorted.
func (s *site) names() (names []string) {
	for name := range s.instances {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// expect fails the test unless the rollout has this state and this desired revision, and all instances but the missing
// ones run that revision.
func (s *site) expect(t *testing.T, state State, desired Revision, missing ...string) {
	t.Helper()
	if got := s.machine.Status(); got.State != state || s.machine.DesiredRevision() != desired {
		t.Fatalf("state %q with desired revision %d, want %q with %d: %s\n%s", got.State, s.machine.DesiredRevision(), state, desired, got.Reason, strings.Join(s.transitions, "\n"))
	}
	for name, inst := range s.instances {
		if inst.Revision != desired && !slices.Contains(missing, name) {
			t.Errorf("%s runs revision %d, want %d", name, inst.Revision, desired)
		}
	}
}

// clearFaults removes all faults, so that every instance runs and becomes ready.
func (s *site) clearFaults() {
	for _, inst := range s.instances {
		inst.dead, inst.crashesOnRevision, inst.rejectsRevision, inst.updateDuration = false, 0, 0, time.Second
		if !inst.Ready {
			inst.readyAt = s.now
		}
	}
}
