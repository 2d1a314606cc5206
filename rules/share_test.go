package rules

import (
	"math/rand/v2"
	"testing"
)

// alone is a gateway that can't ask for units, with one plan.
func alone(t *testing.T, p Plan) *drive {
	set := testSettings()
	set.HasCounter = false
	set.Plans = []Plan{p}
	set.MaxUnits = 6
	return start(t, set, some(2)...)
}

// let asks for units and tells whether they were let in, each served at once.
func (d *drive) let(units float64) bool {
	d.nextID++
	out := d.handle(Request{ID: d.nextID, Units: units, Gateways: 2, Customer: 5, Deadline: d.now + 2})
	for _, s := range find[Send](out) {
		d.handle(AttemptEnd{Request: s.Request, Backend: s.Backend, Duration: 0.01, RequestDone: true})
		return true
	}
	return false
}

// A request of more units than a local share ever holds is let in by a full one, and the
// rest of it is earned before the next. Under a ceiling it is not.
func TestARequestLargerThanTheShareIsLetIn(t *testing.T) {
	d := alone(t, Plan{Price: 1, Rate: 2, Burst: 4}) // of two gateways: 2 units, 1 a second
	if !d.let(5) {
		t.Fatal("5 units were refused by a full share of 2")
	}
	for _, step := range []struct {
		after, units float64
		want         bool
	}{{0, 1, false}, {3, 1, false}, {1.1, 1, true}, {0.5, 5, false}, {1.5, 5, true}, {4.8, 5, false}, {0.3, 5, true}} {
		d.now += step.after
		if got := d.let(step.units); got != step.want {
			t.Errorf("%g units at %g s: let in %t", step.units, d.now-100, got)
		}
	}
	if d := alone(t, Plan{Price: 1, Rate: 2, Burst: 4, CeilingRate: 2, CeilingBurst: 4}); d.let(5) {
		t.Error("5 units were let in under a ceiling of 4")
	}
}

// However large requests are and whenever they come, no time sees more units than the
// share, one request and what was earned meanwhile.
func TestLargeRequestsKeepToTheShareInTheMean(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		d := alone(t, Plan{Price: 1, Rate: 2, Burst: 4})
		type taken struct{ at, units float64 }
		var log []taken
		for range 400 {
			d.now += rng.ExpFloat64() / 4
			if units := float64(1 + rng.IntN(6)); d.let(units) {
				log = append(log, taken{d.now, units})
			}
		}
		for i := range log {
			sum := 0.0
			for _, l := range log[i:] {
				sum += l.units
				if most := 2 + 6 + (l.at - log[i].at); sum > most+1e-6 {
					t.Fatalf("seed %d: %g units in %g s, %g at most", seed, sum, l.at-log[i].at, most)
				}
			}
		}
		if len(log) < 10 {
			t.Errorf("seed %d: %d requests were let in", seed, len(log))
		}
	}
}
