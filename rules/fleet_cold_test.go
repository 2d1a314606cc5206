package rules

import (
	"flag"
	"fmt"
	"math"
	"testing"
)

// 20 seeds per case take minutes.
var coldSeeds = flag.Int("cold-seeds", 2, "seeds for each case of TestColdBackendsBearTheSumOfAllSends")

// coldCase is a disturbance while backends start cold before many gateways. Times are in seconds; those of bursts and
// restarts count from the start of the backends.
type coldCase struct {
	name      string
	factor    float64 // fleet size in the settings, as a multiple of the gateways that run; 0: it is right
	size      int     // fleet size in the settings, if factor is 0
	sizeKnown bool    // the gateways get a FleetUpdate with their number
	listDelay float64 // within which all gateways receive a list update; 0: 0.3
	returns   bool    // the backends are listed as removed for 5 s, and return; else they are new
	unlisted  bool    // the backends restart at once and are never listed as removed
	burst     float64 // start of 5 s of four times the load; 0: none
	lightLoad bool    // hardly any load but for the burst
	restarts  []float64
	starts    int // backends that start at once; 0: one
}

var coldCases = []coldCase{
	{name: "join"},
	{name: "return", returns: true},
	{name: "burst at the start", burst: 0.1},
	{name: "burst during warm-up", burst: 6},
	{name: "burst after quiet", burst: 8, lightLoad: true},
	{name: "a third of the gateways restarts", restarts: []float64{3}},
	{name: "a third of the gateways restarts each second", restarts: []float64{1, 2, 3, 4, 5, 6, 7, 8}},
	{name: "lists 2 s apart", listDelay: 2},
	{name: "return, lists 2 s apart", listDelay: 2, returns: true},
	{name: "restart not listed, lists 2 s apart", listDelay: 2, unlisted: true},
	{name: "settings twice the fleet, burst", factor: 2, burst: 3},
	{name: "settings half the fleet, burst", factor: 0.5, burst: 3},
	{name: "settings 5, burst", size: 5, burst: 3},
	{name: "settings 4, burst", size: 4, burst: 3},
	{name: "settings 2, burst", size: 2, burst: 3},
	{name: "settings 1, burst", size: 1, burst: 3},
	{name: "settings 2, size known, burst", size: 2, sizeKnown: true, burst: 3},
	{name: "settings 4, size known, burst", size: 4, sizeKnown: true, burst: 3},
	{name: "four join, burst, restarts, lists 2 s apart", listDelay: 2, burst: 2, restarts: []float64{3, 9}, starts: 4},
}

// coldWindow is a span of OverloadTime after the cold start of a backend.
type coldWindow struct {
	sends   int
	allowed float64 // by the settings: OverloadFactor * capacity in the middle of the span * its length
}

func (w coldWindow) maxSends() float64 { return w.allowed + 2*math.Sqrt(w.allowed) + 2 }
func (w coldWindow) ratio() float64    { return float64(w.sends) / w.maxSends() }

// coldFleet is a fleet that counts what backends get from their cold start on.
type coldFleet struct {
	*fleet
	learnedAt map[BackendID][]float64 // when each gateway learned of the start
}

// publish lets every gateway receive the present state of a backend within the given time.
func (f *coldFleet) publish(b Backend, within float64) {
	at := make([]float64, len(f.gateways))
	for i := range f.gateways {
		at[i] = f.now + within*f.rng.Float64()
		f.schedule(at[i], func() { f.handle(i, Backends{Kind: DeltaList, Entries: []Backend{b}}) })
	}
	f.learnedAt[b.ID] = at
}

// worstWindow returns the window with the most sends relative to its bound. If unlisted, gateways that have not learned
// of the start may cause most sends of a window, which the platform's rule allows: then only windows count of which
// over two thirds of the sends come from gateways that have.
func (f *coldFleet) worstWindow(s *fleetBackend, unlisted bool) (worst coldWindow) {
	capacity := float64(len(s.coreFreeAt)) / meanWorkSeconds
	for i, from := range s.sendTimes {
		if from < s.StartedAt || from >= s.StartedAt+f.set.WarmUpTime {
			continue
		}
		middle := (from - s.StartedAt + f.set.OverloadTime/2) / f.set.WarmUpTime
		warmth := min(f.set.ColdMinCapacity+(1-f.set.ColdMinCapacity)*middle, 1)
		w := coldWindow{allowed: f.set.OverloadFactor * f.set.OverloadTime * capacity * warmth}
		informed := 0
		for k := i; k < len(s.sendTimes) && s.sendTimes[k] < from+f.set.OverloadTime; k++ {
			w.sends++
			if s.sendTimes[k] >= f.learnedAt[s.ID][s.senders[k]] {
				informed++
			}
		}
		if w.ratio() > worst.ratio() && (!unlisted || 3*informed > 2*w.sends) {
			worst = w
		}
	}
	return worst
}

// run plays the case and returns the worst window, and how many sends a cold backend got in all.
func (c coldCase) run(seed uint64, gateways int) (worst coldWindow, sends float64) {
	const (
		backends    = 16
		capacity    = backends / meanWorkSeconds // requests per second; of one core each
		utilization = 0.9                        // of the capacity
	)
	f := &coldFleet{newFleet(seed, gateways, 0, func(s *Settings) {
		s.LoadFields, s.OverloadFactor, s.OverloadTime = []LoadField{LoadInFlight}, 2, 2
	}), map[BackendID][]float64{}}
	if c.factor > 0 {
		f.set.FleetSize = int(c.factor * float64(gateways))
	} else if c.size > 0 {
		f.set.FleetSize = c.size
	}
	id := func(i int) BackendID { return BackendID(hash(seed<<20 + uint64(i))) }
	for i := range backends {
		f.addBackend(readyBackend(id(i))).coreFreeAt = make([]float64, 1)
	}
	startGateway := func(i int) {
		f.startGateway(i)
		if c.sizeKnown {
			f.handle(i, FleetUpdate{QuotaDivisor: gateways, ColdSenders: gateways})
		}
		for _, at := range f.learnedAt {
			at[i] = min(at[i], f.now) // it starts with the present list
		}
	}
	for i := range gateways {
		startGateway(i)
	}
	load, start := utilization*capacity, f.now+12
	if c.lightLoad {
		load = 0.02 * capacity
	}
	f.generateLoad(load, start+f.set.WarmUpTime)
	f.run(start - 5)

	within := max(c.listDelay, 0.3)
	cold := make([]*fleetBackend, max(c.starts, 1))
	for i := range cold {
		if cold[i] = f.backends[id(i)]; c.returns {
			cold[i].State, cold[i].fails = Removed, true
			f.publish(cold[i].Backend, within)
		}
	}
	f.run(start)
	for i, b := range cold {
		if !c.returns && !c.unlisted {
			b = f.addBackend(readyBackend(id(backends + i)))
			cold[i] = b
		}
		b.State, b.fails, b.StartedAt, b.coreFreeAt = Ready, false, start, make([]float64, 1)
		f.publish(b.Backend, within)
	}
	if c.burst > 0 {
		f.schedule(start+c.burst, func() { f.generateLoad(3*utilization*capacity, f.now+5) })
	}
	for _, at := range c.restarts {
		f.schedule(start+at, func() {
			first := f.rng.IntN(gateways)
			for k := range gateways / 3 {
				startGateway((first + k) % gateways)
			}
		})
	}
	f.run(start + f.set.WarmUpTime)
	for _, b := range cold {
		if w := f.worstWindow(b, c.unlisted); w.ratio() > worst.ratio() {
			worst = w
		}
		for _, at := range b.sendTimes {
			if at >= start {
				sends += 1 / float64(len(cold))
			}
		}
	}
	return worst, sends
}

// The sends of 20 and 30 gateways to a cold backend must not add up to an overload: in any window of OverloadTime the
// sum must stay within what the settings allow, N, plus 2*sqrt(N)+2 for chance. The backend must not stay idle either.
func TestColdBackendsBearTheSumOfAllSends(t *testing.T) {
	for _, gateways := range []int{20, 30} {
		for _, c := range coldCases {
			t.Run(fmt.Sprintf("%d gateways/%s", gateways, c.name), func(t *testing.T) {
				t.Parallel()
				var worst coldWindow
				over, sum := 0, 0.0
				for seed := range uint64(*coldSeeds) {
					w, sends := c.run(seed, gateways)
					if sum += sends; w.ratio() > 1 {
						over++
					}
					if w.ratio() > worst.ratio() {
						worst = w
					}
				}
				t.Logf("worst window: %d sends, N %.1f, bound %.1f, ratio %.2f; %d of %d seeds above the bound; %.1f sends during warm-up", worst.sends,
					worst.allowed, worst.maxSends(), worst.ratio(), over, *coldSeeds, sum/float64(*coldSeeds))
				if over > 0 {
					t.Errorf("%d of %d seeds exceed the bound: got %d sends, want at most %.1f", over, *coldSeeds, worst.sends, worst.maxSends())
				}
				if sum == 0 {
					t.Error("cold backends got no sends")
				}
			})
		}
	}
}

// A gateway that restarts during the warm-up of a backend starts a new budget for it. Budgets lost and started must
// cancel out over the fleet: restarts must not add to the sends that the backend gets.
func TestRestartedGatewaysSendColdBackendsNoMore(t *testing.T) {
	const seeds = 4
	for _, gateways := range []int{20, 30} {
		without, once, often := 0.0, 0.0, 0.0
		for seed := range uint64(seeds) {
			for _, c := range []struct {
				restarts []float64
				sum      *float64
			}{{nil, &without}, {[]float64{3}, &once}, {[]float64{1, 2, 3, 4, 5, 6, 7, 8}, &often}} {
				_, sends := (&coldCase{restarts: c.restarts}).run(seed, gateways)
				*c.sum += sends
			}
		}
		t.Logf("%d gateways, %d seeds: %.0f sends without restarts, %.0f with one, %.0f with eight", gateways, seeds, without, once, often)
		if most := without + 2*math.Sqrt(without) + 2; once > most || often > most {
			t.Errorf("%d gateways: got %.0f sends with one restart and %.0f with eight; %.0f without, want at most %.0f", gateways, once, often,
				without, most)
		}
	}
}
