package rules

import (
	"flag"
	"fmt"
	"math"
	"testing"
)

// The long form, 20 seeds of each case, takes minutes.
var coldSeeds = flag.Int("cold-seeds", 2, "seeds for each case of TestColdBackendsBearTheSumOfAllSends")

// coldCase is one trouble while backends start cold before many gateways. Times are in seconds; those of
// bursts and restarts count from the start of the backends.
type coldCase struct {
	name     string
	factor   float64 // fleet size in the settings, in multiples of the gateways that run; 0: it is right
	size     int     // fleet size in the settings, where not by factor
	known    bool    // the gateways are told how many they are
	listed   float64 // within which all gateways learn of a change; 0: 0.3
	returns  bool    // the backends are listed as gone for 5 s, and return; else they are new
	unseen   bool    // the backends restart at once and are never listed as gone
	burst    float64 // 5 s of four times the load begin then; 0: none
	quiet    bool    // hardly any load but for the burst
	restarts []float64
	starts   int // backends that start at once; 0: one
}

var coldCases = []coldCase{
	{name: "join"},
	{name: "return", returns: true},
	{name: "burst at the start", burst: 0.1},
	{name: "burst in the ramp", burst: 6},
	{name: "burst after quiet", burst: 8, quiet: true},
	{name: "a third restarts", restarts: []float64{3}},
	{name: "a third restarts each second", restarts: []float64{1, 2, 3, 4, 5, 6, 7, 8}},
	{name: "lists 2 s apart", listed: 2},
	{name: "return, lists 2 s apart", listed: 2, returns: true},
	{name: "return not listed as gone, lists 2 s apart", listed: 2, unseen: true},
	{name: "settings twice the fleet, burst", factor: 2, burst: 3},
	{name: "settings half the fleet, burst", factor: 0.5, burst: 3},
	{name: "settings 5, burst", size: 5, burst: 3},
	{name: "settings 4, burst", size: 4, burst: 3},
	{name: "settings 2, burst", size: 2, burst: 3},
	{name: "settings 1, burst", size: 1, burst: 3},
	{name: "settings 2, size known, burst", size: 2, known: true, burst: 3},
	{name: "settings 4, size known, burst", size: 4, known: true, burst: 3},
	{name: "four join, burst, restarts, lists 2 s apart", listed: 2, burst: 2, restarts: []float64{3, 9}, starts: 4},
}

// coldWindow is a span of the settings' length in the life of a cold backend.
type coldWindow struct {
	sends   int
	allowed float64 // by the settings: multiple * capacity in the middle of the span * its length
}

func (w coldWindow) bound() float64 { return w.allowed + 2*math.Sqrt(w.allowed) + 2 }
func (w coldWindow) load() float64  { return float64(w.sends) / w.bound() }

// coldFleet is a fleet that counts what backends get from their cold start on.
type coldFleet struct {
	*fleet
	told map[BackendID][]float64 // when each gateway learnt of the start
}

// tell has every gateway learn of the present state of a backend within a time.
func (f *coldFleet) tell(b Backend, within float64) {
	at := make([]float64, len(f.gateways))
	for i := range f.gateways {
		at[i] = f.now + within*f.rng.Float64()
		f.at(at[i], func() { f.handle(i, Backends{Kind: DeltaList, Entries: []Backend{b}}) })
	}
	f.told[b.ID] = at
}

// fullest finds the window with the most sends for its bound. Where most of a window's sends may be of gateways
// that could not know of the start, as the platform's rule has it, only windows count of which over two thirds
// come from gateways that were told.
func (f *coldFleet) fullest(s *fleetBackend, unseen bool) (worst coldWindow) {
	capacity := float64(len(s.free)) / fleetWork
	for i, from := range s.sends {
		if from < s.StartedAt || from >= s.StartedAt+f.set.WarmUpTime {
			continue
		}
		middle := (from - s.StartedAt + f.set.OverloadTime/2) / f.set.WarmUpTime
		warmth := min(f.set.ColdMinCapacity+(1-f.set.ColdMinCapacity)*middle, 1)
		w := coldWindow{allowed: f.set.OverloadFactor * f.set.OverloadTime * capacity * warmth}
		told := 0
		for k := i; k < len(s.sends) && s.sends[k] < from+f.set.OverloadTime; k++ {
			w.sends++
			if s.sends[k] >= f.told[s.ID][s.from[k]] {
				told++
			}
		}
		if w.load() > worst.load() && (!unseen || 3*told > 2*w.sends) {
			worst = w
		}
	}
	return worst
}

// play runs the case and returns the fullest window, and how many sends a cold backend got in all.
func (c coldCase) play(seed uint64, gateways int) (worst coldWindow, sends float64) {
	const (
		backends = 16
		capacity = backends / fleetWork // of one core each
		busy     = 0.9
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
		f.backend(ready(id(i))).free = make([]float64, 1)
	}
	begin := func(i int) {
		f.begin(i)
		if c.known {
			f.handle(i, FleetUpdate{QuotaDivisor: gateways, ColdSenders: gateways})
		}
		for _, at := range f.told {
			at[i] = min(at[i], f.now) // it begins with the present list
		}
	}
	for i := range gateways {
		begin(i)
	}
	load, start := busy*capacity, f.now+12
	if c.quiet {
		load = 0.02 * capacity
	}
	f.load(load, start+f.set.WarmUpTime)
	f.run(start - 5)

	within := max(c.listed, 0.3)
	cold := make([]*fleetBackend, max(c.starts, 1))
	for i := range cold {
		if cold[i] = f.backends[id(i)]; c.returns {
			cold[i].State, cold[i].fails = Removed, true
			f.tell(cold[i].Backend, within)
		}
	}
	f.run(start)
	for i, b := range cold {
		if !c.returns && !c.unseen {
			b = f.backend(ready(id(backends + i)))
			cold[i] = b
		}
		b.State, b.fails, b.StartedAt, b.free = Ready, false, start, make([]float64, 1)
		f.tell(b.Backend, within)
	}
	if c.burst > 0 {
		f.at(start+c.burst, func() { f.load(3*busy*capacity, f.now+5) })
	}
	for _, at := range c.restarts {
		f.at(start+at, func() {
			first := f.rng.IntN(gateways)
			for k := range gateways / 3 {
				begin((first + k) % gateways)
			}
		})
	}
	f.run(start + f.set.WarmUpTime)
	for _, b := range cold {
		if w := f.fullest(b, c.unseen); w.load() > worst.load() {
			worst = w
		}
		for _, at := range b.sends {
			if at >= start {
				sends += 1 / float64(len(cold))
			}
		}
	}
	return worst, sends
}

// Twenty and thirty gateways send to backends that start cold: in any window of the settings' length the sum must
// stay within what the settings allow, N, and 2*sqrt(N)+2 for chance, and the backend must not stand idle.
func TestColdBackendsBearTheSumOfAllSends(t *testing.T) {
	for _, gateways := range []int{20, 30} {
		for _, c := range coldCases {
			t.Run(fmt.Sprintf("%d gateways/%s", gateways, c.name), func(t *testing.T) {
				t.Parallel()
				var worst coldWindow
				over, sum := 0, 0.0
				for seed := range uint64(*coldSeeds) {
					w, sends := c.play(seed, gateways)
					if sum += sends; w.load() > 1 {
						over++
					}
					if w.load() > worst.load() {
						worst = w
					}
				}
				t.Logf("worst window %d sends, N %.1f, bound %.1f, load %.2f; %d of %d seeds over; %.1f sends in the ramp", worst.sends,
					worst.allowed, worst.bound(), worst.load(), over, *coldSeeds, sum/float64(*coldSeeds))
				if over > 0 {
					t.Errorf("%d of %d seeds pass the bound: %d sends, %.1f at most", over, *coldSeeds, worst.sends, worst.bound())
				}
				if sum == 0 {
					t.Error("cold backends get nothing")
				}
			})
		}
	}
}

// A gateway that starts again within the ramp has its share of a cold backend anew. The shares that are lost and
// begun must cancel out over the fleet: restarts must not add to what the backend gets.
func TestRestartedGatewaysSendColdBackendsNoMore(t *testing.T) {
	const seeds = 4
	for _, gateways := range []int{20, 30} {
		without, once, often := 0.0, 0.0, 0.0
		for seed := range uint64(seeds) {
			for _, c := range []struct {
				restarts []float64
				sum      *float64
			}{{nil, &without}, {[]float64{3}, &once}, {[]float64{1, 2, 3, 4, 5, 6, 7, 8}, &often}} {
				_, sends := (&coldCase{restarts: c.restarts}).play(seed, gateways)
				*c.sum += sends
			}
		}
		t.Logf("%d gateways, %d seeds: %.0f sends with no restart, %.0f with one, %.0f with eight", gateways, seeds, without, once, often)
		if most := without + 2*math.Sqrt(without) + 2; once > most || often > most {
			t.Errorf("%d gateways: %.0f sends with a restart and %.0f with eight; %.0f with none, at most %.0f", gateways, once, often,
				without, most)
		}
	}
}
