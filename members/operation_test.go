package members

import "testing"

// Operators rely on the table of decisions: the test repeats it so that no change goes unnoticed. A better verdict
// allows whatever a worse one allows.
func TestDecisions(t *testing.T) {
	want := map[Operation]map[Verdict]bool{
		ExerciseLease:        {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Complete: true},
		RaiseQuota:           {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Complete: true},
		CountPeerUsage:       {Unsure: true, Alone: true, Minority: true, Even: true, Majority: true, Complete: true},
		DivideWarmUpCapacity: {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Complete: true},
		EjectForAll:          {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Complete: true},
		AnswerOperator:       {Unsure: true, Alone: true, Minority: true, Even: true, Majority: true, Complete: true},
	}
	for _, op := range Operations() {
		for v := range verdictCount {
			allowed, reason := Allows(op, v)
			if expected, stated := want[op][v]; !stated || allowed != expected {
				t.Errorf("%v while %v: %v, want %v (in the table of the test: %v)", op, v, allowed, expected, stated)
			}
			if reason == "" {
				t.Errorf("%v while %v: no reason", op, v)
			}
		}
	}
	for op := range want {
		for v := Unsure; v < Complete; v++ {
			if worse, _ := Allows(op, v); worse {
				if better, _ := Allows(op, v+1); !better {
					t.Errorf("%v is allowed while %v but not while %v", op, v, v+1)
				}
			}
		}
	}
}
