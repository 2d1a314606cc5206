package rollout

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestRolloutAdvancesInWaves(t *testing.T) {
	s := newSite(t, policy(), 10)
	s.start(t)
	s.pass(5 * time.Second)
	assigned := 0
	for _, n := range s.nodes {
		if n.Revision == 2 || n.assigned == 2 {
			assigned++
		}
	}
	if assigned != 1 {
		t.Fatalf("%d were assigned the revision before the canary was updated", assigned)
	}
	s.pass(3 * time.Minute)
	s.expect(t, Applied, 2)
}

// TestOneFault has one fault occur, and checks how the rollout ends.
func TestOneFault(t *testing.T) {
	for name, test := range map[string]struct {
		change func(*site)
		during func(*site) // after the canary was assigned the revision
		state  State
		wanted Revision
		except []string // instances without the wanted revision
		reason string   // a part of some change's text
	}{
		"canary crashes ten seconds after its start": {func(s *site) { s.nodes["g00"].crashesWith, s.nodes["g00"].crashDelay = 2, 9*time.Second }, nil, RolledBack, 1, nil, "g00 ended unasked with revision 2"},
		"one of the last crashes":                    {func(s *site) { s.nodes["g08"].crashesWith, s.nodes["g08"].crashDelay = 2, 5*time.Second }, nil, RolledBack, 1, nil, "g08 ended unasked"},
		"one rejects the revision":                   {func(s *site) { s.nodes["g03"].rejects = 2 }, nil, RolledBack, 1, nil, "g03 refused revision 2: it does not parse"},
		"one is never ready":                         {func(s *site) { s.nodes["g04"].updateDuration = time.Hour }, nil, PartlyRolledBack, 1, nil, "g04 was not ready"},
		"canary falls silent":                        {nil, func(s *site) { s.nodes["g00"].dead = true }, PartlyRolledBack, 1, nil, "nobody who was told is heard of and ready"},
		"one falls silent later":                     {nil, func(s *site) { s.pass(18 * time.Second); s.nodes["g02"].dead = true }, PartlyApplied, 2, []string{"g02"}, "[g02]"},
		"two fall silent":                            {nil, func(s *site) { s.pass(25 * time.Second); s.nodes["g01"].dead, s.nodes["g02"].dead = true, true }, PartlyRolledBack, 1, []string{"g01", "g02"}, "are silent"},
		"one is unreachable from the start":          {func(s *site) { s.nodes["g05"].dead = true }, nil, PartlyApplied, 2, []string{"g05"}, "[g05]"},
		"operator aborts":                            {nil, func(s *site) { s.pass(40 * time.Second); s.event(Abort{"ann"}) }, RolledBack, 1, nil, "aborted by ann"},
		"service level drops": {nil, func(s *site) {
			s.pass(20 * time.Second)
			for range 7 {
				s.event(ServiceReported{0.7})
				s.pass(time.Second)
			}
		}, RolledBack, 1, nil, "the service is at 0.700"},
		"service level drops briefly": {nil, func(s *site) { s.event(ServiceReported{0.7}); s.pass(3 * time.Second); s.event(ServiceReported{0.95}) }, Applied, 2, nil, ""},
		"one joins": {nil, func(s *site) {
			s.nodes["new"] = &fakeInstance{Observed: Observed{Revision: 1, Ready: true}, updateDuration: time.Second}
		}, Applied, 2, nil, ""},
		"one is removed": {nil, func(s *site) { delete(s.nodes, "g07"); s.event(InstanceRemoved{"g07"}) }, Applied, 2, nil, ""},
		"clock jumps": {nil, func(s *site) {
			s.now = s.now.Add(24 * time.Hour)
			s.pass(time.Second)
			s.now = s.now.Add(-48 * time.Hour)
		}, Applied, 2, nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, policy(), 10)
			if test.change != nil {
				test.change(s)
			}
			s.start(t)
			s.pass(time.Second)
			if test.during != nil {
				test.during(s)
			}
			s.pass(12 * time.Minute)
			s.expect(t, test.state, test.wanted, test.except...)
			if all := strings.Join(s.changes, "\n"); !strings.Contains(all, test.reason) {
				t.Errorf("no change has the text %q:\n%s", test.reason, all)
			}
			// Instances that return long after the end get the wanted revision.
			s.heal()
			s.pass(5 * time.Minute)
			s.expect(t, map[Revision]State{1: RolledBack, 2: Applied}[test.wanted], test.wanted)
		})
	}
}

func TestPauseStopsAssignments(t *testing.T) {
	s := newSite(t, policy(), 6)
	s.start(t)
	s.pass(time.Second)
	if err := s.event(Pause{"ann"}); err != nil {
		t.Fatal(err)
	}
	s.pass(2 * time.Minute)
	updated := 0
	for _, n := range s.nodes {
		if n.Revision == 2 {
			updated++
		}
	}
	if updated != 1 || s.m.Status().State != Paused {
		t.Fatalf("%d instances were updated while the rollout was %s", updated, s.m.Status().State)
	}
	if err := s.event(Resume{"bob"}); err != nil {
		t.Fatal(err)
	}
	s.pass(3 * time.Minute)
	s.expect(t, Applied, 2)
}

func TestImpossibleEventsChangeNothing(t *testing.T) {
	s := newSite(t, policy(), 3)
	expectError := func(event Event, state State) {
		t.Helper()
		err := s.event(event)
		var impossible *EventError
		if !errors.As(err, &impossible) || !reflect.DeepEqual(impossible.Event, event) || impossible.State != state || s.m.Status().State != state {
			t.Errorf("%#v while %s: %v", event, state, err)
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
		"no canary":                 func(p *Policy) { p.Canaries = 0 },
		"none may be unavailable":   func(p *Policy) { p.MaxUnavailable = 0 },
		"no waves":                  func(p *Policy) { p.Waves = nil },
		"waves do not end at 1":     func(p *Policy) { p.Waves = []float64{0.5} },
		"waves do not rise":         func(p *Policy) { p.Waves = []float64{0.5, 0.2, 1} },
		"no deadline":               func(p *Policy) { p.Timeout = 0 },
		"service may drop to 0":     func(p *Policy) { p.MaxServiceDrop = 1 },
		"negative number of silent": func(p *Policy) { p.MaxSilent = -1 },
		"negative soak duration":    func(p *Policy) { p.SoakDuration = -1 },
	} {
		p := policy()
		change(&p)
		if _, err := New(p); err == nil {
			t.Errorf("%s: %+v was accepted", name, p)
		}
	}
}

func TestSiteWithoutInstancesIsAppliedAtOnce(t *testing.T) {
	s := newSite(t, policy(), 0)
	s.start(t)
	if status := s.m.Status(); status.State != Applied {
		t.Fatalf("%+v", status)
	}
	// An instance that joins later gets the wanted revision.
	s.nodes["g00"] = &fakeInstance{updateDuration: time.Second}
	s.pass(time.Minute)
	if got := s.nodes["g00"].Revision; got != 2 {
		t.Fatal(got)
	}
}
