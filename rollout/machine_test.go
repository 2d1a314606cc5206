package rollout

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

// TestRolloutAdvancesInWaves checks that only the canary is assigned the new revision until it has been updated.
func TestRolloutAdvancesInWaves(t *testing.T) {
	s := newSite(t, testPolicy(), 10)
	s.start(t)
	s.advance(5 * time.Second)
	assigned := 0
	for _, inst := range s.instances {
		if inst.Revision == 2 || inst.assigned == 2 {
			assigned++
		}
	}
	if assigned != 1 {
		t.Fatalf("%d instances were assigned the revision before the canary was updated, want 1", assigned)
	}
	s.advance(3 * time.Minute)
	s.expect(t, Applied, 2)
}

// TestSingleFault injects one fault or command into a rollout and checks how the rollout ends.
func TestSingleFault(t *testing.T) {
	for name, test := range map[string]struct {
		before      func(*site) // runs before the start of the rollout
		during      func(*site) // runs after the canary was assigned the revision
		wantState   State
		wantDesired Revision
		wantMissing []string // instances without the desired revision
		wantReason  string   // part of the text of a transition
	}{
		"canary crashes ten seconds after its start": {func(s *site) { s.instances["g00"].crashesOnRevision, s.instances["g00"].crashDelay = 2, 9*time.Second }, nil, RolledBack, 1, nil, "g00 ended unasked with revision 2"},
		"last instance crashes":                      {func(s *site) { s.instances["g08"].crashesOnRevision, s.instances["g08"].crashDelay = 2, 5*time.Second }, nil, RolledBack, 1, nil, "g08 ended unasked"},
		"instance rejects the revision":              {func(s *site) { s.instances["g03"].rejectsRevision = 2 }, nil, RolledBack, 1, nil, "g03 refused revision 2: it does not parse"},
		"instance is never ready":                    {func(s *site) { s.instances["g04"].updateDuration = time.Hour }, nil, PartlyRolledBack, 1, nil, "g04 was not ready"},
		"canary falls silent":                        {nil, func(s *site) { s.instances["g00"].dead = true }, PartlyRolledBack, 1, nil, "nobody who was told is heard of and ready"},
		"instance falls silent later":                {nil, func(s *site) { s.advance(18 * time.Second); s.instances["g02"].dead = true }, PartlyApplied, 2, []string{"g02"}, "[g02]"},
		"two instances fall silent": {nil, func(s *site) {
			s.advance(25 * time.Second)
			s.instances["g01"].dead, s.instances["g02"].dead = true, true
		}, PartlyRolledBack, 1, []string{"g01", "g02"}, "are silent"},
		"instance is unreachable from the start": {func(s *site) { s.instances["g05"].dead = true }, nil, PartlyApplied, 2, []string{"g05"}, "[g05]"},
		"operator aborts":                        {nil, func(s *site) { s.advance(40 * time.Second); s.handle(Abort{"ann"}) }, RolledBack, 1, nil, "aborted by ann"},
		"service level drops": {nil, func(s *site) {
			s.advance(20 * time.Second)
			for range 7 {
				s.handle(ServiceReported{0.7})
				s.advance(time.Second)
			}
		}, RolledBack, 1, nil, "the service is at 0.700"},
		"service level drops briefly": {nil, func(s *site) {
			s.handle(ServiceReported{0.7})
			s.advance(3 * time.Second)
			s.handle(ServiceReported{0.95})
		}, Applied, 2, nil, ""},
		"instance joins": {nil, func(s *site) {
			s.instances["new"] = &fakeInstance{Observed: Observed{Revision: 1, Ready: true}, updateDuration: time.Second}
		}, Applied, 2, nil, ""},
		"instance is removed": {nil, func(s *site) { delete(s.instances, "g07"); s.handle(InstanceRemoved{"g07"}) }, Applied, 2, nil, ""},
		"wall clock jumps": {nil, func(s *site) {
			s.now = s.now.Add(24 * time.Hour)
			s.advance(time.Second)
			s.now = s.now.Add(-48 * time.Hour)
		}, Applied, 2, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, testPolicy(), 10)
			if test.before != nil {
				test.before(s)
			}
			s.start(t)
			s.advance(time.Second)
			if test.during != nil {
				test.during(s)
			}
			s.advance(12 * time.Minute)
			s.expect(t, test.wantState, test.wantDesired, test.wantMissing...)
			if all := strings.Join(s.transitions, "\n"); !strings.Contains(all, test.wantReason) {
				t.Errorf("no transition has the text %q:\n%s", test.wantReason, all)
			}
			// Instances that return long after the end of the rollout get the desired revision.
			s.clearFaults()
			s.advance(5 * time.Minute)
			s.expect(t, map[Revision]State{1: RolledBack, 2: Applied}[test.wantDesired], test.wantDesired)
		})
	}
}

// TestPauseStopsAssignments checks that a paused rollout updates no further instances, and completes after it is
// resumed.
func TestPauseStopsAssignments(t *testing.T) {
	s := newSite(t, testPolicy(), 6)
	s.start(t)
	s.advance(time.Second)
	if err := s.handle(Pause{"ann"}); err != nil {
		t.Fatal(err)
	}
	s.advance(2 * time.Minute)
	updated := 0
	for _, inst := range s.instances {
		if inst.Revision == 2 {
			updated++
		}
	}
	if updated != 1 || s.machine.Status().State != Paused {
		t.Fatalf("%d instances are updated and the rollout is %s, want 1 and paused", updated, s.machine.Status().State)
	}
	if err := s.handle(Resume{"bob"}); err != nil {
		t.Fatal(err)
	}
	s.advance(3 * time.Minute)
	s.expect(t, Applied, 2)
}

// TestEventsNotAllowedInStateChangeNothing checks that an event that is not allowed returns an *EventError and leaves
// the state as it was.
func TestEventsNotAllowedInStateChangeNothing(t *testing.T) {
	s := newSite(t, testPolicy(), 3)
	expectError := func(event Event, state State) {
		t.Helper()
		err := s.handle(event)
		var eventError *EventError
		if !errors.As(err, &eventError) || !reflect.DeepEqual(eventError.Event, event) || eventError.State != state || s.machine.Status().State != state {
			t.Errorf("%#v in state %s: %v, and the state is %s", event, state, err, s.machine.Status().State)
		}
	}
	for _, event := range []Event{Pause{"a"}, Resume{"a"}, Abort{"a"}, Start{New: 0}, Start{New: 3, Previous: 3}} {
		expectError(event, Idle)
	}
	s.start(t)
	for _, event := range []Event{Start{New: 3, Previous: 2}, Resume{"a"}} {
		expectError(event, Advancing)
	}
}

func TestInvalidPoliciesAreRejected(t *testing.T) {
	for name, change := range map[string]func(*Policy){
		"no canary":                           func(p *Policy) { p.Canaries = 0 },
		"no instance may be unavailable":      func(p *Policy) { p.MaxUnavailable = 0 },
		"no waves":                            func(p *Policy) { p.Waves = nil },
		"waves do not end at 1":               func(p *Policy) { p.Waves = []float64{0.5} },
		"waves do not rise":                   func(p *Policy) { p.Waves = []float64{0.5, 0.2, 1} },
		"no timeout":                          func(p *Policy) { p.Timeout = 0 },
		"service level may drop to 0":         func(p *Policy) { p.MaxServiceDrop = 1 },
		"negative number of silent instances": func(p *Policy) { p.MaxSilent = -1 },
		"negative soak duration":              func(p *Policy) { p.SoakDuration = -1 },
	} {
		policy := testPolicy()
		change(&policy)
		if _, err := New(policy); err == nil {
			t.Errorf("%s: %+v was accepted", name, policy)
		}
	}
}

// TestSiteWithoutInstancesIsAppliedAtOnce checks that a rollout to no instances ends at once, and that an instance that
// joins later gets the desired revision.
func TestSiteWithoutInstancesIsAppliedAtOnce(t *testing.T) {
	s := newSite(t, testPolicy(), 0)
	s.start(t)
	if status := s.machine.Status(); status.State != Applied {
		t.Fatalf("status %+v, want state %s", status, Applied)
	}
	s.instances["g00"] = &fakeInstance{updateDuration: time.Second}
	s.advance(time.Minute)
	if got := s.instances["g00"].Revision; got != 2 {
		t.Fatalf("the instance runs revision %d, want 2", got)
	}
}
