package rules

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The site that the figures of docs/capacity/slopes.json are for.
const (
	siteGateways     = 610
	siteTenants      = 12_000
	siteZones        = 4
	siteRate         = 170_000.0 // requests a second over all gateways
	siteCounterDelay = 0.002     // seconds until the counter's answer
	siteServiceTime  = 0.02      // seconds until a backend's answer
)

// loadedGateway is one gateway of that site under its part of the load. Its
// counter adds to its own calls what the tenant's other gateways spend meanwhile,
// at the tenant's mean rate.
type loadedGateway struct {
	now      float64
	rng      *rand.Rand
	gateway  *Gateway
	events   fleetEvents
	tenants  int
	spread   int // gateways that a tenant comes to
	lastID   RequestID
	requests int
	served   int
	calls    int
	counted  map[uint64]*countedNumber
}

// countedNumber is one number of the counter.
type countedNumber struct {
	own   float64 // added by this gateway
	since float64 // the time of its first call
}

func startLoadedGateway(backends, spread int) *loadedGateway {
	set := testSettings()
	set.FleetSize = siteGateways
	set.LoadFields, set.InlineLoadReports = []LoadField{LoadInFlight}, true
	set.CrossZonePrice = 0.01
	set.Classes = []Class{{LatencyObjective: 1.8, Timeout: 4.4, Value: 1}}
	// A tenant may have twice what its part of the load is, and two seconds of that at once.
	rate := 2 * siteRate / siteTenants
	set.Plans = []Plan{{Price: 1, Rate: rate, Burst: 2 * rate, OverQuotaCostFraction: 1}}
	l := &loadedGateway{now: 1000, rng: rand.New(rand.NewPCG(1, 2)), spread: spread, counted: map[uint64]*countedNumber{},
		tenants: max(siteTenants*spread/siteGateways, 1)}
	var actions []Action
	l.gateway, actions = New(set, 7, l.now, nil)
	l.act(actions)
	list := some(backends)
	for i := range list {
		list[i].Zone = i % siteZones
	}
	l.handle(Backends{Kind: CachedList, Entries: list})
	return l
}

func (l *loadedGateway) handle(event Event) { l.act(l.gateway.Handle(l.now, event, nil)) }

func (l *loadedGateway) later(delay float64, event Event) {
	heap.Push(&l.events, fleetEvent{l.now + delay, func() { l.handle(event) }})
}

func (l *loadedGateway) act(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SetTimer:
			l.later(a.Delay, TimerFired{Token: a.Token})
		case CounterAdd:
			l.calls++
			l.later(siteCounterDelay, CounterReply{Key: a.Key, Outcome: Served, Total: l.count(a)})
		case Send:
			l.served++
			l.later(siteServiceTime, AttemptEnd{Request: a.Request, Backend: a.Backend, Outcome: Served, Duration: siteServiceTime, RequestDone: true, LoadData: []float64{float64(l.rng.IntN(4))}})
		}
	}
}

// count adds a call and returns the total.
func (l *loadedGateway) count(call CounterAdd) float64 {
	n := l.counted[call.Key]
	if n == nil {
		n = &countedNumber{since: l.now}
		l.counted[call.Key] = n
	}
	n.own += call.Amount
	others := siteRate / siteTenants * float64(l.spread-1) / float64(l.spread)
	return n.own + others*(l.now-n.since)
}

// ask has the next request come, and all that is due before it.
func (l *loadedGateway) ask() {
	at := l.now + l.rng.ExpFloat64()*siteGateways/siteRate
	for len(l.events) > 0 && l.events[0].at <= at {
		event := heap.Pop(&l.events).(fleetEvent)
		l.now = max(event.at, l.now)
		event.do()
	}
	l.now = at
	l.lastID++
	l.requests++
	l.handle(Request{ID: l.lastID, Customer: CustomerID(l.rng.IntN(l.tenants)), Units: 1, Gateways: l.spread, Deadline: l.now + 4.4})
}

// One request's decisions, from its arrival to its end, with the timers and the
// housekeeping that fall to its share.
func BenchmarkRequest(b *testing.B) {
	for _, backends := range []int{22, 100, 1000, 8800} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			l := startLoadedGateway(backends, siteGateways)
			for range 1000 {
				l.ask()
			}
			before := processCPU(b)
			for b.Loop() {
				l.ask()
			}
			b.ReportMetric(float64((processCPU(b)-before).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
		})
	}
}

// processCPU is the processor time of this process so far, the collector's with
// it: what a busy machine leaves as it is, unlike the time on the wall.
func processCPU(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var tenantSpread = flag.String("tenant-spread", "5", "gateways that a tenant comes to, for the calls to the counter a request, such as 5,50,610")

// A tenant at more gateways costs more calls to the counter, and never more than
// a few for a request.
func TestCounterCallsOfARequest(t *testing.T) {
	const asked = 20_000
	for _, text := range strings.Split(*tenantSpread, ",") {
		spread, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		l := startLoadedGateway(22, spread)
		for range asked {
			l.ask()
		}
		l.calls, l.requests, l.served = 0, 0, 0
		for range asked {
			l.ask()
		}
		calls := float64(l.calls) / float64(l.requests)
		t.Logf("a tenant at %d gateways: %.3f calls a request, %.3f of the requests sent on", spread, calls, float64(l.served)/float64(l.requests))
		if l.calls == 0 || calls > 3 || l.served == 0 {
			t.Errorf("%d gateways: %d calls, %d requests, %d sent on", spread, l.calls, l.requests, l.served)
		}
	}
}
