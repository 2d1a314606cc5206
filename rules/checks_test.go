package rules

import (
	"math"
	"math/rand/v2"
	"testing"
)

// fakeCounter is a counter in memory: totals by key, without expiry.
type fakeCounter map[uint64]float64

// answerCalls answers all counter calls, and those that the replies cause.
func (s fakeCounter) answerCalls(gw *testGateway, actions []Action) []Action {
	all := actions
	for n := 0; n < len(all); n++ {
		if c, ok := all[n].(CounterAdd); ok {
			s[c.Key] += c.Amount
			all = append(all, gw.handle(CounterReply{Key: c.Key, Total: s[c.Key]})...)
		}
	}
	return all
}

func (gw *testGateway) check(s fakeCounter, customer CustomerID, units float64, change func(*Check)) (CheckResult, []Action) {
	gw.t.Helper()
	gw.nextID++
	e := Check{ID: gw.nextID, Customer: customer, Units: units, Gateways: 2, Deadline: gw.now + 0.1}
	if change != nil {
		change(&e)
	}
	out := s.answerCalls(gw, gw.handle(&e))
	if got := actionsOf[*CheckResult](out); len(got) == 1 {
		return *got[0], out
	}
	return CheckResult{ID: e.ID, Granted: -1}, out
}

// Checks spend from the same token bucket as requests, at the same gateway and at others, and report what remains and
// when to retry.
func TestChecksAndRequestsShareOneBucket(t *testing.T) {
	s := fakeCounter{}
	one, two := newTestGateway(t, testSettings(), readyBackends(2)...), newTestGateway(t, testSettings(), readyBackends(2)...)
	units, served := 0.0, 0
	for i := range 12 {
		gw := []*testGateway{one, two}[i%2]
		if i%3 == 0 {
			gw.nextID++
			out := s.answerCalls(gw, gw.handle(Request{ID: gw.nextID, Customer: 5, Units: 1, Gateways: 2, Deadline: gw.now + 2}))
			served += len(actionsOf[Send](out))
			continue
		}
		a, _ := gw.check(s, 5, 1, nil)
		units += max(a.Granted, 0)
		if a.Granted == 0 && !(a.RetryAfter > 0 && a.RetryAfter < 3) {
			t.Errorf("refused: %+v", a)
		}
	}
	if total := units + float64(served); total != 4 {
		t.Errorf("%g units and %d requests of a burst of 4", units, served)
	}
	one.now += 1
	if a, _ := one.check(s, 5, 1, nil); a.Granted != 1 || !a.Shared || !a.Exact {
		t.Errorf("a second later: %+v", a)
	}
}

// A check of more units than the bucket can hold is answered at once, and so is one of no units or fewer.
func TestImpossibleCheckIsAnsweredAtOnce(t *testing.T) {
	for _, units := range []float64{4.5, 1e9, 0, -1, math.NaN(), math.Inf(1)} {
		gw := newTestGateway(t, testSettings(), readyBackends(1)...)
		a, out := gw.check(fakeCounter{}, 5, units, func(e *Check) { e.Deadline = gw.now + 60 })
		if a.Granted != 0 || len(actionsOf[CounterAdd](out)) != 0 || len(gw.g.requests) != 0 {
			t.Errorf("%g units: %+v, %d calls", units, a, len(actionsOf[CounterAdd](out)))
		}
	}
}

// A check that may wait gets its units as they become available, and does not block requests of its customer; one whose
// client disconnects spends nothing.
func TestWaitingCheckBlocksNoRequests(t *testing.T) {
	s := fakeCounter{}
	gw := newTestGateway(t, testSettings(), readyBackends(2)...)
	if a, _ := gw.check(s, 5, 4, nil); a.Granted != 4 {
		t.Fatalf("the burst: %+v", a)
	}
	wait := func(e *Check) { e.Deadline = gw.now + 10 }
	first, _ := gw.check(s, 5, 3, wait)
	if first.Granted != -1 {
		t.Fatalf("answered at once: %+v", first)
	}
	id := gw.nextID
	disconnected, _ := gw.check(s, 5, 3, wait)
	gw.handle(ClientDisconnected{Request: disconnected.ID})
	gw.nextID++
	if out := s.answerCalls(gw, gw.handle(Request{ID: gw.nextID, Customer: 5, Units: 1, Gateways: 2, Deadline: gw.now + 2})); len(actionsOf[Refuse](out)) != 1 {
		t.Errorf("a request behind it was not answered: %v", out)
	}
	var granted []*CheckResult
	for at := gw.now; gw.now < at+10 && len(granted) == 0; {
		gw.now += 0.05
		out := gw.handle(TimerFired{Token: timerHousekeeping << 56})
		out = append(out, gw.handle(TimerFired{Token: timerCheckRetry<<56 | uint64(id)})...)
		granted = actionsOf[*CheckResult](s.answerCalls(gw, out))
	}
	if len(granted) != 1 || granted[0].Granted != 3 || granted[0].ID != id {
		t.Errorf("the waiting check got %+v", granted)
	}
	if len(gw.g.requests) != 0 {
		t.Errorf("%d requests left", len(gw.g.requests))
	}
}

// A partial check gets the available units.
func TestPartialCheck(t *testing.T) {
	s := fakeCounter{}
	gw := newTestGateway(t, testSettings(), readyBackends(2)...)
	gw.check(s, 5, 3, nil)
	a, _ := gw.check(s, 5, 3, func(e *Check) { e.Partial = true })
	if a.Granted > 1 || a.Granted < 0 {
		t.Errorf("one unit is left, granted %+v", a)
	}
}

// A Peek spends nothing, makes no call, and reports whether the numbers are from the counter.
func TestPeek(t *testing.T) {
	s := fakeCounter{}
	gw := newTestGateway(t, testSettings(), readyBackends(2)...)
	peek := func() CheckResult {
		return *exactlyOne[*CheckResult](t, gw.handle(Peek{ID: 99, Customer: 5, Gateways: 2}))
	}
	if a := peek(); a.Exact || len(actionsOf[CounterAdd](gw.last)) != 0 {
		t.Errorf("unknown customer: %+v", a)
	}
	gw.check(s, 5, 1, nil)
	before := peek()
	if after := peek(); !after.Exact || after.Remaining != before.Remaining || after.Remaining > 3 || after.ResetAfter < 0.5 {
		t.Errorf("%+v, then %+v", before, after)
	}
	gw.g.cfg.Plans[1].Rate = 0
	if a := exactlyOne[*CheckResult](t, gw.handle(Peek{ID: 99, Customer: 6, Plan: 1, Gateways: 2})); !math.IsInf(a.Remaining, 1) {
		t.Errorf("without a quota: %+v", a)
	}
}

// Refunded units can be spent again, here and at other gateways, but neither out of an earlier window nor above the
// burst.
func TestRefund(t *testing.T) {
	s := fakeCounter{}
	gw, other := newTestGateway(t, testSettings(), readyBackends(2)...), newTestGateway(t, testSettings(), readyBackends(2)...)
	a, _ := gw.check(s, 5, 4, nil)
	if b, _ := other.check(s, 5, 2, nil); b.Granted > 0 {
		t.Fatalf("above the burst: %+v", b)
	}
	refund := func(units, window float64) CheckResult {
		out := s.answerCalls(gw, gw.handle(Refund{ID: 98, Customer: 5, Gateways: 2, Units: units, Window: window}))
		return *exactlyOne[*CheckResult](t, out)
	}
	if b := refund(4, a.Window-1); b.Granted != 0 {
		t.Errorf("units of an earlier window: %+v", b)
	}
	if b := refund(3, a.Window); b.Granted != 3 {
		t.Errorf("units of this window: %+v", b)
	}
	s.answerCalls(gw, gw.handle(TimerFired{Token: timerHousekeeping << 56}))
	other.now += 2
	gw.now += 2
	if b, _ := other.check(s, 5, 4, nil); b.Granted != 4 {
		t.Errorf("at the other gateway: %+v", b)
	}
	for range 20 {
		refund(4, a.Window)
		s.answerCalls(gw, gw.handle(TimerFired{Token: timerHousekeeping << 56}))
	}
	got := 0.0
	for range 20 {
		b, _ := other.check(s, 5, 1, nil)
		c, _ := gw.check(s, 5, 1, nil)
		got += max(b.Granted, 0) + max(c.Granted, 0)
	}
	if got > 4+1 { // the burst, and one unit of a lease
		t.Errorf("after too large refunds %g units were granted at once", got)
	}
}

// Without the counter the local shares of gateways and check frontends must not add up to more than the quota.
func TestLocalSharesIncludeCheckFrontends(t *testing.T) {
	set := testSettings()
	set.HasCounter, set.CheckFrontends = false, 2
	got := 0.0
	for range 2 + set.CheckFrontends {
		gw := newTestGateway(t, set, readyBackends(1)...)
		for range 200 {
			gw.now += 0.05
			a, _ := gw.check(nil, 5, 1, nil)
			got += max(a.Granted, 0)
		}
	}
	if most := 4 + 2*10.0; got > most || got < most/2 {
		t.Errorf("%g units in 10 s, the quota allows %g", got, most)
	}
}

// For random orders of checks, requests, refunds and replies each check gets one answer, in time, and never more units
// than it requested.
func TestRandomChecks(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		gw := newTestGateway(t, testSettings(), readyBackends(3)...)
		type wait struct{ units, until float64 }
		open := map[RequestID]wait{}
		var calls []CounterAdd
		s := fakeCounter{}
		type timer struct {
			at    float64
			token uint64
		}
		timers := []timer{{gw.now, timerHousekeeping << 56}}
		record := func(out []Action) {
			for _, a := range out {
				switch a := a.(type) {
				case *CheckResult:
					w, is := open[a.ID]
					if !is || a.Granted < 0 || a.Granted > w.units {
						t.Fatalf("seed %d: %+v for %+v", seed, a, w)
					}
					delete(open, a.ID)
				case CounterAdd:
					calls = append(calls, a)
				case SetTimer:
					timers = append(timers, timer{gw.now + a.Delay, a.Token})
				}
			}
		}
		for range 1500 {
			gw.now += 0.004
			for i := 0; i < len(timers); i++ {
				if due := timers[i]; due.at <= gw.now {
					timers = append(timers[:i], timers[i+1:]...)
					i--
					record(gw.handle(TimerFired{Token: due.token}))
				}
			}
			for id, w := range open {
				if gw.now > w.until+0.01 {
					t.Fatalf("seed %d: check %d was not answered in time", seed, id)
				}
			}
			customer := CustomerID(rng.IntN(3))
			switch rng.IntN(6) {
			case 0, 1:
				gw.nextID++
				e := Check{ID: gw.nextID, Customer: customer, Units: float64(1 + rng.IntN(5)), Gateways: 2, Partial: rng.IntN(2) == 0,
					Deadline: gw.now + rng.Float64()}
				open[e.ID] = wait{e.Units, e.Deadline}
				record(gw.handle(&e))
			case 2:
				gw.nextID++
				record(gw.handle(Request{ID: gw.nextID, Customer: customer, Units: 1, Gateways: 2, Deadline: gw.now + 1}))
			case 3:
				gw.nextID++
				open[gw.nextID] = wait{4, gw.now}
				record(gw.handle(Refund{ID: gw.nextID, Customer: customer, Gateways: 2, Units: float64(rng.IntN(4)), Window: 2}))
			default:
				if len(calls) > 0 {
					c := calls[0]
					calls = calls[1:]
					r := CounterReply{Key: c.Key, Outcome: []Outcome{Served, Served, Served, TimedOut, Overloaded, Errored, ConnectionBroken}[rng.IntN(7)]}
					if r.Outcome != Overloaded {
						s[c.Key] += c.Amount
					}
					r.Total = s[c.Key]
					record(gw.handle(r))
				}
			}
		}
	}
}

// Checks of several units leave none unused: what does not fit one is available to smaller ones at once, the rest of a
// lease is returned to the counter, and refunds can be spent.
func TestChecksOfSeveralUnitsLeaveNoneUnused(t *testing.T) {
	set := testSettings()
	set.Plans[0].Rate, set.Plans[0].Burst = 1e-3, 5
	s := fakeCounter{}
	gw, other := newTestGateway(t, set, readyBackends(1)...), newTestGateway(t, set, readyBackends(1)...)
	a, _ := gw.check(s, 5, 4, nil)
	if b, _ := other.check(s, 5, 4, nil); b.Granted != 0 {
		t.Errorf("4 units after 4 of 5: %+v", b)
	}
	if b, _ := other.check(s, 5, 1, nil); b.Granted != 1 {
		t.Errorf("the remaining unit, after a refused check of 4: %+v", b)
	}
	s.answerCalls(gw, gw.handle(Refund{ID: 98, Customer: 5, Gateways: 2, Units: 4, Window: a.Window}))
	if b, _ := gw.check(s, 5, 4, nil); b.Granted != 4 {
		t.Errorf("the refunded units: %+v", b)
	}
}
