package rules

import (
	"math"
	"testing"
)

// overQuota replays the token bucket of one customer over the whole fleet, and returns how many of its units were sent
// and how many of them exceeded the bucket.
func (f *fleet) overQuota(customer CustomerID, p Plan, started float64) (sent, over float64) {
	bucket, updatedAt := p.Burst, started
	for id := RequestID(1); id <= f.lastID; id++ {
		req := f.requests[id]
		if req.customer != customer || req.sends == 0 {
			continue
		}
		bucket = min(bucket+p.Rate*(req.arrivedAt-updatedAt), p.Burst)
		updatedAt = req.arrivedAt
		if sent++; bucket >= 1 {
			bucket--
		} else {
			over++
		}
	}
	return sent, over
}

// One customer sends 7.8 times its quota. Through four gateways its bucket is kept exactly, but for units that are paid
// at one time and counted at another. Through all 300 each gateway sees it now and then, and only refusals limit it.
func TestOneCustomerFarBeyondItsQuota(t *testing.T) {
	p := Plan{Price: 1, Rate: 12, Burst: 18, OverQuotaCostFraction: 0.5}
	for _, k := range []struct {
		gateways, spread int
		most             float64 // allowed excess, as a fraction of its quota
	}{{4, 4, 0.03}, {300, 4, 0.03}, {300, 300, 0.15}} {
		f := newFleet(7, k.gateways, 60, func(s *Settings) { s.Plans = []Plan{p} })
		started := f.now
		var next func()
		next = func() {
			f.request(f.rng.IntN(k.spread), 9, k.spread)
			f.schedule(f.now+f.rng.ExpFloat64()/(7.8*p.Rate), next)
		}
		next()
		f.run(started + 20)
		sent, over := f.overQuota(9, p, started)
		allowed := p.Burst + p.Rate*20
		t.Logf("%d of %d gateways: %v sent, %v of them over quota, quota %v", k.spread, k.gateways, sent, over, allowed)
		if over > k.most*allowed {
			t.Errorf("%d of %d gateways: %v units over a quota of %v", k.spread, k.gateways, over, allowed)
		}
		if sent < 0.8*allowed {
			t.Errorf("%d of %d gateways: %v of %v units were sent", k.spread, k.gateways, sent, allowed)
		}
	}
}

// 210 of 300 gateways restart at once, without state, while the backends are overloaded. They must not add load to the
// backends, and must serve as many requests as before.
func TestMostGatewaysRestartAtOnce(t *testing.T) {
	f := newFleet(11, 300, 100, func(s *Settings) { s.LoadFields = []LoadField{LoadInFlight} })
	f.generateLoad(1300, f.now+20)
	f.run(f.now + 8)
	maxInFlight := func() (most int) {
		for _, b := range f.backends {
			n := 0
			for _, end := range b.endTimes {
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
		before = max(before, maxInFlight())
	}
	restart := f.now
	for i := range 210 {
		f.startGateway(i)
	}
	after := 0
	for range 30 {
		f.run(f.now + 0.1)
		after = max(after, maxInFlight())
	}
	f.run(f.now + 4)
	t.Logf("most requests at one backend: %d before, %d after", before, after)
	// initialLimit bounds the mean; by chance the fullest of 100 backends has some times that.
	if most := int(9 * initialLimit); after > most {
		t.Errorf("%d requests at one backend after the restart, %d before, want at most %d", after, before, most)
	}
	served := func(from, to float64) (n float64) {
		for _, req := range f.requests {
			if req.served && req.arrivedAt >= from && req.arrivedAt < to {
				n++
			}
		}
		return n
	}
	if was, is := served(restart-3, restart-0.5), served(restart+0.5, restart+3); is < 0.9*was {
		t.Errorf("%v requests in 2.5 s were served after the restart, %v before", is, was)
	}
}

// A third of the backends is unreachable for 5 s: requests to it are lost. 300 gateways must not keep wasting requests
// on each of them. Once reachable again, and cold, they must get their part of the load, within OverloadFactor.
func TestAZoneIsUnreachableAndReturnsCold(t *testing.T) {
	f := newFleet(13, 300, 90, func(s *Settings) { s.LoadFields = []LoadField{LoadInFlight} })
	f.generateLoad(450, f.now+40)
	f.run(f.now + 8)
	var zone, others []*fleetBackend
	for i := range 90 {
		if b := f.backends[BackendID(hash(uint64(i)))]; i < 30 {
			zone = append(zone, b)
		} else {
			others = append(others, b)
		}
	}
	count := func(list []*fleetBackend, from, to float64) (n float64) {
		for _, b := range list {
			for _, at := range b.sendTimes {
				if at >= from && at < to {
					n++
				}
			}
		}
		return n / float64(len(list))
	}
	lost := f.now
	for _, b := range zone {
		b.unreachable = true
	}
	f.run(lost + 5)
	usual, wasted := count(zone, lost-5, lost), count(zone, lost+2, lost+5)
	back := f.now
	for _, b := range zone {
		b.unreachable, b.StartedAt = false, back
		b.coreFreeAt = []float64{back, back}
	}
	for i := range f.gateways {
		f.schedule(back+f.rng.Float64(), func() {
			var list []Backend
			for _, b := range zone {
				list = append(list, b.Backend)
			}
			f.handle(i, Backends{Kind: DeltaList, Entries: list})
		})
	}
	f.run(back + 24)
	t.Logf("sends per backend: %.1f in the 5 s before, %.1f in the last 3 s of the outage, 17 to 22 s after it %.1f, and %.1f at the others", usual, wasted,
		count(zone, back+17, back+22), count(others, back+17, back+22))
	if wasted > 0.7*usual*3/5 {
		t.Errorf("%.1f sends in 3 s to an unreachable backend, %.1f in the 5 s before", wasted, usual)
	}
	for from := 0.0; from < 15; from += 0.5 {
		can := (0.15 + 0.85*(from+1)/17) * 2 / meanWorkSeconds
		for _, b := range zone {
			if n := count([]*fleetBackend{b}, back+from, back+from+2); n > 2*2*can+2*math.Sqrt(2*can) {
				t.Errorf("%v sends in the 2 s from %v s on; its capacity is %.1f per second", n, from, can)
			}
		}
	}
	if got, of := count(zone, back+17, back+22), count(others, back+17, back+22); got < 0.7*of {
		t.Errorf("%.1f sends to a backend that is warm again, %.1f to each of the others", got, of)
	}
}
