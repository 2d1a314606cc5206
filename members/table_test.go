package members

import "testing"

// Every cell is written down a second time here, as what an operator may rely on: a
// change of the table is a change of a promise, and has to be made twice.
func TestTableOfVerdicts(t *testing.T) {
	want := map[Use]map[Verdict]bool{
		HoldDuty:       {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Whole: true},
		WidenShare:     {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Whole: true},
		CountOthers:    {Unsure: true, Alone: true, Minority: true, Even: true, Majority: true, Whole: true},
		ShareCold:      {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Whole: true},
		TakeOut:        {Unsure: false, Alone: false, Minority: false, Even: false, Majority: true, Whole: true},
		AnswerOperator: {Unsure: true, Alone: true, Minority: true, Even: true, Majority: true, Whole: true},
	}
	for _, u := range Uses() {
		for v := range verdicts {
			may, why := May(u, v)
			if expected, stated := want[u][v]; !stated || may != expected {
				t.Errorf("%v while %v: %v, want %v (stated: %v)", u, v, may, expected, stated)
			}
			if why == "" {
				t.Errorf("%v while %v: no reason", u, v)
			}
		}
	}
	for u := range want {
		// What a verdict allows, each better one allows too: a picture that gets better
		// takes nothing away.
		for v := Unsure; v < Whole; v++ {
			if worse, _ := May(u, v); worse {
				if better, _ := May(u, v+1); !better {
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
	p := m.Permit()
	if may, why := p.May(m.now+s(0.3), HoldDuty); !may {
		t.Fatalf("refused right after a tick: %s", why)
	}
	if may, _ := p.May(m.now+s(10), HoldDuty); may {
		t.Error("ten seconds after the last tick it still may hold a duty")
	}
	if may, _ := p.May(m.now+s(10), AnswerOperator); !may {
		t.Error("it may not even answer an operator")
	}
}
