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

// The site to which the numbers in docs/capacity/slopes.json apply.
const (
	siteGateways     = 610
	siteCustomers    = 12_000
	siteZones        = 4
	siteRate         = 170_000.0 // requests a second over all gateways
	siteCounterDelay = 0.002     // seconds until the counter's answer
	siteServiceTime  = 0.02      // seconds until a backend's answer
)

// loadedGateway is one gateway of that site under its part of the load. Its counter adds to the calls of this gateway
// what the customer's other gateways spend meanwhile, at the customer's mean rate.
type loadedGateway struct {
	now           float64
	rng           *rand.Rand
	gateway       *Gateway
	events        fleetEvents
	customers     int
	spread        int // gateways of a customer
	lastID        RequestID
	requests      int
	served        int
	calls         int
	counterValues map[uint64]*counterValue
}

// counterValue is the value of one key of the counter.
type counterValue struct {
	own   float64 // added by this gateway
	since float64 // time of its first call
}

func startLoadedGateway(backends, spread int) *loadedGateway {
	set := testSettings()
	set.FleetSize = siteGateways
	set.LoadFields, set.InlineLoadReports = []LoadField{LoadInFlight}, true
	set.CrossZonePrice = 0.01
	set.Classes = []Class{{LatencyObjective: 1.8, Timeout: 4.4, Value: 1}}
	// The quota of a customer is twice its part of the load, with a burst of two seconds.
	rate := 2 * siteRate / siteCustomers
	set.Plans = []Plan{{Price: 1, Rate: rate, Burst: 2 * rate, OverQuotaCostFraction: 1}}
	l := &loadedGateway{now: 1000, rng: rand.New(rand.NewPCG(1, 2)), spread: spread, counterValues: map[uint64]*counterValue{},
		customers: max(siteCustomers*spread/siteGateways, 1)}
	var actions []Action
	l.gateway, actions = New(set, 7, l.now, nil)
	l.apply(actions)
	list := readyBackends(backends)
	for i := range list {
		list[i].Zone = i % siteZones
	}
	l.handle(Backends{Kind: CachedList, Entries: list})
	return l
}

func (l *loadedGateway) handle(event Event) { l.apply(l.gateway.Handle(l.now, event, nil)) }

func (l *loadedGateway) schedule(delay float64, event Event) {
	heap.Push(&l.events, fleetEvent{l.now + delay, func() { l.handle(event) }})
}

func (l *loadedGateway) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case SetTimer:
			l.schedule(a.Delay, TimerFired{Token: a.Token})
		case CounterAdd:
			l.calls++
			l.schedule(siteCounterDelay, CounterReply{Key: a.Key, Outcome: Served, Total: l.addToCounter(a)})
		case Send:
			l.served++
			l.schedule(siteServiceTime, AttemptEnd{Request: a.Request, Backend: a.Backend, Outcome: Served, Duration: siteServiceTime, RequestDone: true, LoadData: []float64{float64(l.rng.IntN(4))}})
		}
	}
}

// addToCounter adds a call and returns the total.
func (l *loadedGateway) addToCounter(call CounterAdd) float64 {
	n := l.counterValues[call.Key]
	if n == nil {
		n = &counterValue{since: l.now}
		l.counterValues[call.Key] = n
	}
	n.own += call.Amount
	others := siteRate / siteCustomers * float64(l.spread-1) / float64(l.spread)
	return n.own + others*(l.now-n.since)
}

// request sends the next request, after all events that are due before it.
func (l *loadedGateway) request() {
	at := l.now + l.rng.ExpFloat64()*siteGateways/siteRate
	for len(l.events) > 0 && l.events[0].at <= at {
		event := heap.Pop(&l.events).(fleetEvent)
		l.now = max(event.at, l.now)
		event.do()
	}
	l.now = at
	l.lastID++
	l.requests++
	l.handle(Request{ID: l.lastID, Customer: CustomerID(l.rng.IntN(l.customers)), Units: 1, Gateways: l.spread, Deadline: l.now + 4.4})
}

// BenchmarkRequest measures the decisions of one request, from its arrival to its end, with its part of timers and
// housekeeping.
func BenchmarkRequest(b *testing.B) {
	for _, backends := range []int{22, 100, 1000, 8800} {
		b.Run(fmt.Sprint(backends), func(b *testing.B) {
			l := startLoadedGateway(backends, siteGateways)
			for range 1000 {
				l.request()
			}
			before := processCPU(b)
			for b.Loop() {
				l.request()
			}
			b.ReportMetric(float64((processCPU(b)-before).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
		})
	}
}

// processCPU returns the CPU time of this process so far, with the garbage collector's: unlike wall time it does not
// depend on other load of the machine.
func processCPU(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

var customerSpread = flag.String("tenant-spread", "5", "gateways that a tenant comes to, for the calls to the counter a request, such as 5,50,610")

// A customer at more gateways costs more counter calls, but never more than a few per request.
func TestCounterCallsOfARequest(t *testing.T) {
	const requestCount = 20_000
	for _, text := range strings.Split(*customerSpread, ",") {
		spread, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		l := startLoadedGateway(22, spread)
		for range requestCount {
			l.request()
		}
		l.calls, l.requests, l.served = 0, 0, 0
		for range requestCount {
			l.request()
		}
		calls := float64(l.calls) / float64(l.requests)
		t.Logf("a customer at %d gateways: %.3f calls per request, %.3f of the requests sent", spread, calls, float64(l.served)/float64(l.requests))
		if l.calls == 0 || calls > 3 || l.served == 0 {
			t.Errorf("%d gateways: %d calls, %d requests, %d sent", spread, l.calls, l.requests, l.served)
		}
	}
}
