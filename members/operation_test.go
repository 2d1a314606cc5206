package members

import "testing"

// Operators rely on the table of decisions: it stands here a second time so that no change of it goes unnoticed.
func TestDecisions(t *testing.T) {
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
		// A better verdict allows whatever a worse one allows.
		for v := Unsure; v < Complete; v++ {
			if worse, _ := Allows(u, v); worse {
				if better, _ := Allows(u, v+1); !better {
					t.Errorf("%v is allowed while %v and not while %v", u, v, v+1)
				}
			}
		}
	}
}
