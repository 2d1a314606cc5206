package rules

import (
	"math/rand/v2"
	"testing"
)

// newGatewayWithoutCounter returns a gateway with one plan, which has local shares only.
func newGatewayWithoutCounter(t *testing.T, p Plan) *testGateway {
	set := testSettings()
	set.HasCounter = false
	set.Plans = []Plan{p}
	set.MaxUnits = 6
	return newTestGateway(t, set, readyBackends(2)...)
}

// admits requests units and reports whether they were admitted; the request is served at once.
func (gw *testGateway) admits(units float64) bool {
	gw.nextID++
	out := gw.handle(Request{ID: gw.nextID, Units: units, Gateways: 2, Customer: 5, Deadline: gw.now + 2})
	for _, s := range actionsOf[Send](out) {
		gw.handle(AttemptEnd{Request: s.Request, Backend: s.Backend, Duration: 0.01, RequestDone: true})
		return true
	}
	return false
}

// A full local share admits a request of more units than it ever holds; the rest is earned before the next. Under a
// ceiling it does not.
func TestRequestLargerThanTheLocalShareIsAdmitted(t *testing.T) {
	gw := newGatewayWithoutCounter(t, Plan{Price: 1, Rate: 2, Burst: 4}) // of two gateways: 2 units, 1 a second
	if !gw.admits(5) {
		t.Fatal("a full local share of 2 refused 5 units")
	}
	for _, step := range []struct {
		after, units float64
		want         bool
	}{{0, 1, false}, {3, 1, false}, {1.1, 1, true}, {0.5, 5, false}, {1.5, 5, true}, {4.8, 5, false}, {0.3, 5, true}} {
		gw.now += step.after
		if got := gw.admits(step.units); got != step.want {
			t.Errorf("%g units at %g s: admitted %t", step.units, gw.now-100, got)
		}
	}
	if gw := newGatewayWithoutCounter(t, Plan{Price: 1, Rate: 2, Burst: 4, CeilingRate: 2, CeilingBurst: 4}); gw.admits(5) {
		t.Error("5 units were admitted under a ceiling of 4")
	}
}

// Whatever the sizes and times of requests, no period admits more units than the local share, one request and what was
// earned meanwhile.
func TestLargeRequestsKeepToTheLocalShareOnAverage(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 9))
		gw := newGatewayWithoutCounter(t, Plan{Price: 1, Rate: 2, Burst: 4})
		type admission struct{ at, units float64 }
		var log []admission
		for range 400 {
			gw.now += rng.ExpFloat64() / 4
			if units := float64(1 + rng.IntN(6)); gw.admits(units) {
				log = append(log, admission{gw.now, units})
			}
		}
		for i := range log {
			sum := 0.0
			for _, l := range log[i:] {
				sum += l.units
				if most := 2 + 6 + (l.at - log[i].at); sum > most+1e-6 {
					t.Fatalf("seed %d: %g units in %g s, want at most %g", seed, sum, l.at-log[i].at, most)
				}
			}
		}
		if len(log) < 10 {
			t.Errorf("seed %d: only %d requests were admitted", seed, len(log))
		}
	}
}
