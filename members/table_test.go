package members

import "testing"

// Every cell is written down a second time here, as what an operator may rely on: a
// change of the table is a change of a promise, and has to be made twice.
func TestTableOfVerdicts(t *testing.T) {
	want := map[Operation]map[Verdict]bool{
		ExerciseLease:        {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Complete: true},
		RaiseQuota:           {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Complete: true},
		CountPeerUsage:       {Unsure: true, Alone: true, Minority: true, Even: true, Majority: true, Complete: true},
		DivideWarmUpCapacity: {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Complete: true},
		EjectForAll:          {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Complete: true},
		AnswerOperator:       {Unsure: true, Alone: true, Minority: true, Even: true, Majority: true, Complete: true},
	}
	for _, u := range Operations() {
		for v := range verdictCount {
			allowed, reason := Allows(u, v)
			if expected, stated := want[u][v]; !stated || allowed != expected {
				t.Errorf("%v while %v: %v, want %v (stated: %v)", u, v, allowed, expected, stated)
			}
			if reason == "" {
				t.Errorf("%v while %v: no reason", u, v)
			}
		}
	}
	for u := range want {
		// What a verdict allows, each better one allows too: a picture that gets better
		// takes nothing away.
		for v := Unsure; v < Complete; v++ {
			if worse, _ := Allows(u, v); worse {
				if better, _ := Allows(u, v+1); !better {
					t.Errorf("%v may be done while %v and not while %v", u, v, v+1)
				}
			}
		}
	}
}

// A process that slept finds out before the effect, from the permit that it had
// before its sleep.
func TestPermitEndsWithoutATick(t *testing.T) {
	m := whole(t, 3)
	p := m.Permission()
	if allowed, reason := p.Allows(m.now+s(0.3), ExerciseLease); !allowed {
		t.Fatalf("refused right after a tick: %s", reason)
	}
	if allowed, _ := p.Allows(m.now+s(10), ExerciseLease); allowed {
		t.Error("ten seconds after the last tick it still may hold a duty")
	}
	if allowed, _ := p.Allows(m.now+s(10), AnswerOperator); !allowed {
		t.Error("it may not even answer an operator")
	}
}
