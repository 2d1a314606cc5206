package rules

import (
	"math"
	"testing"
)

// beyond plays the true store of one customer over the whole fleet, and counts what was sent on beyond it.
func (f *fleet) beyond(who CustomerID, p Plan, began float64) (sent, over float64) {
	store, at := p.Burst, began
	for id := RequestID(1); id <= f.lastID; id++ {
		j := f.jobs[id]
		if j.customer != who || j.sends == 0 {
			continue
		}
		store = min(store+p.Rate*(j.born-at), p.Burst)
		at = j.born
		if sent++; store >= 1 {
			store--
		} else {
			over++
		}
	}
	return sent, over
}

// One customer asks for 7.8 times its quota. Through four gateways the store is kept exactly, up to what is paid at one
// time and counted at another. Through all 300 it is met by each once in a while, and what holds it are denials.
func TestOneCustomerFarBeyondItsQuota(t *testing.T) {
	p := Plan{Price: 1, Rate: 12, Burst: 18, OverQuotaCostFraction: 0.5}
	for _, k := range []struct {
		gateways, through int
		most              float64 // share of what its quota allows that is sent beyond it
	}{{4, 4, 0.03}, {300, 4, 0.03}, {300, 300, 0.15}} {
		f := newFleet(7, k.gateways, 60, func(s *Settings) { s.Plans = []Plan{p} })
		began := f.now
		var next func()
		next = func() {
			f.ask(f.rng.IntN(k.through), 9, k.through)
			f.at(f.now+f.rng.ExpFloat64()/(7.8*p.Rate), next)
		}
		next()
		f.run(began + 20)
		sent, over := f.beyond(9, p, began)
		allowed := p.Burst + p.Rate*20
		t.Logf("%d of %d gateways: %v sent, %v beyond, quota %v", k.through, k.gateways, sent, over, allowed)
		if over > k.most*allowed {
			t.Errorf("%d of %d gateways: %v units beyond a quota of %v", k.through, k.gateways, over, allowed)
		}
		if sent < 0.8*allowed {
			t.Errorf("%d of %d gateways: %v of %v units are sent", k.through, k.gateways, sent, allowed)
		}
	}
}

// 210 of 300 gateways start again in one instant, knowing nothing, while more is asked for than the backends can do. They
// must not heap work on the backends, and must serve as many as before.
func TestMostGatewaysStartAgainAtOnce(t *testing.T) {
	f := newFleet(11, 300, 100, func(s *Settings) { s.LoadFields = []LoadField{LoadInFlight} })
	f.load(1300, f.now+20)
	f.run(f.now + 8)
	held := func() (most int) {
		for _, b := range f.backends {
			n := 0
			for _, end := range b.ends {
				if end > f.now {
					n++
				}
			}
			most = max(most, n)
		}
		return most
	}
	before := 0
	for range 10 {
		f.run(f.now + 0.1)
		before = max(before, held())
	}
	restart := f.now
	for i := range 210 {
		f.begin(i)
	}
	after := 0
	for range 30 {
		f.run(f.now + 0.1)
		after = max(after, held())
	}
	f.run(f.now + 4)
	t.Logf("at one backend at most: %d before, %d after", before, after)
	// The mean is bounded by boundStart; the fullest of 100 has some times that, as chance is.
	if most := int(9 * initialLimit); after > most {
		t.Errorf("%d requests are at one backend after the restart, %d before, %d at most", after, before, most)
	}
	served := func(from, to float64) (n float64) {
		for _, j := range f.jobs {
			if j.served && j.born >= from && j.born < to {
				n++
			}
		}
		return n
	}
	if was, is := served(restart-3, restart-0.5), served(restart+0.5, restart+3); is < 0.9*was {
		t.Errorf("%v requests of 2.5 s are served after the restart, %v before", is, was)
	}
}

// A third of the backends is cut off for 5 s: sends to it are lost. 300 gateways must not each have to learn it of each
// backend over and over; and once it is back it must bear its part again, cold, within its multiple.
func TestAZoneIsCutOffAndComesBackCold(t *testing.T) {
	f := newFleet(13, 300, 90, func(s *Settings) { s.LoadFields = []LoadField{LoadInFlight} })
	f.load(450, f.now+40)
	f.run(f.now + 8)
	var zone, rest []*fleetBackend
	for i := range 90 {
		if b := f.backends[BackendID(hash(uint64(i)))]; i < 30 {
			zone = append(zone, b)
		} else {
			rest = append(rest, b)
		}
	}
	count := func(list []*fleetBackend, from, to float64) (n float64) {
		for _, b := range list {
			for _, at := range b.sends {
				if at >= from && at < to {
					n++
				}
			}
		}
		return n / float64(len(list))
	}
	lost := f.now
	for _, b := range zone {
		b.cut = true
	}
	f.run(lost + 5)
	usual, spent := count(zone, lost-5, lost), count(zone, lost+2, lost+5)
	back := f.now
	for _, b := range zone {
		b.cut, b.StartedAt = false, back
		b.free = []float64{back, back}
	}
	for i := range f.gateways {
		f.at(back+f.rng.Float64(), func() {
			var list []Backend
			for _, b := range zone {
				list = append(list, b.Backend)
			}
			f.handle(i, Backends{Kind: DeltaList, Entries: list})
		})
	}
	f.run(back + 24)
	t.Logf("sends a backend: %.1f in 5 s before, %.1f in the last 3 s of the cut, %.1f of the rest's %.1f in 17 to 22 s after", usual, spent,
		count(zone, back+17, back+22), count(rest, back+17, back+22))
	if spent > 0.7*usual*3/5 {
		t.Errorf("%.1f sends in 3 s go to a backend that is silent, %.1f in 5 s before", spent, usual)
	}
	for from := 0.0; from < 15; from += 0.5 {
		can := (0.15 + 0.85*(from+1)/17) * 2 / fleetWork
		for _, b := range zone {
			if n := count([]*fleetBackend{b}, back+from, back+from+2); n > 2*2*can+2*math.Sqrt(2*can) {
				t.Errorf("%v sends in the 2 s from %v s on; it can do %.1f a second", n, from, can)
			}
		}
	}
	if got, of := count(zone, back+17, back+22), count(rest, back+17, back+22); got < 0.7*of {
		t.Errorf("%.1f sends to a backend that is warm again, %.1f to the others", got, of)
	}
}
