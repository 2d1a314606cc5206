package rules

import (
	"math"
	"math/rand/v2"
	"testing"
)

// store is a counter in the mind of a test: names, totals, nothing else.
type store map[uint64]float64

// answer replies to all counter calls, and to those that the replies bring about.
func (s store) answer(d *drive, actions []Action) []Action {
	all := actions
	for n := 0; n < len(all); n++ {
		if c, ok := all[n].(CounterAdd); ok {
			s[c.Key] += c.Amount
			all = append(all, d.handle(CounterReply{Key: c.Key, Total: s[c.Key]})...)
		}
	}
	return all
}

func (d *drive) take(s store, who CustomerID, units float64, change func(*Check)) (CheckResult, []Action) {
	d.t.Helper()
	d.nextID++
	e := Check{ID: d.nextID, Customer: who, Units: units, Gateways: 2, Deadline: d.now + 0.1}
	if change != nil {
		change(&e)
	}
	out := s.answer(d, d.handle(&e))
	if got := find[*CheckResult](out); len(got) == 1 {
		return *got[0], out
	}
	return CheckResult{ID: e.ID, Granted: -1}, out
}

// A check draws on the same store as requests do, at the same gateway and at others,
// and is told what is left and when to come back.
func TestChecksAndRequestsShareOneStore(t *testing.T) {
	s := store{}
	one, two := start(t, testSettings(), some(2)...), start(t, testSettings(), some(2)...)
	units, served := 0.0, 0
	for i := range 12 {
		d := []*drive{one, two}[i%2]
		if i%3 == 0 {
			d.nextID++
			out := s.answer(d, d.handle(Request{ID: d.nextID, Customer: 5, Units: 1, Gateways: 2, Deadline: d.now + 2}))
			served += len(find[Send](out))
			continue
		}
		a, _ := d.take(s, 5, 1, nil)
		units += max(a.Granted, 0)
		if a.Granted == 0 && !(a.RetryAfter > 0 && a.RetryAfter < 3) {
			t.Errorf("refused with %+v", a)
		}
	}
	if total := units + float64(served); total != 4 {
		t.Errorf("%g units and %d requests of a burst of 4", units, served)
	}
	one.now += 1
	if a, _ := one.take(s, 5, 1, nil); a.Granted != 1 || !a.Shared || !a.Exact {
		t.Errorf("a second later: %+v", a)
	}
}

// More than the store ever holds is answered at once, and so is nothing and less.
func TestImpossibleTakeIsAnsweredAtOnce(t *testing.T) {
	for _, units := range []float64{4.5, 1e9, 0, -1, math.NaN(), math.Inf(1)} {
		d := start(t, testSettings(), some(1)...)
		a, out := d.take(store{}, 5, units, func(e *Check) { e.Deadline = d.now + 60 })
		if a.Granted != 0 || len(find[CounterAdd](out)) != 0 || len(d.g.requests) != 0 {
			t.Errorf("%g units: %+v, %d calls", units, a, len(find[CounterAdd](out)))
		}
	}
}

// A check that may wait gets its units as they come, and does not hold up the
// requests of its customer; one that leaves spends nothing.
func TestWaitingCheckHoldsUpNobody(t *testing.T) {
	s := store{}
	d := start(t, testSettings(), some(2)...)
	if a, _ := d.take(s, 5, 4, nil); a.Granted != 4 {
		t.Fatalf("the burst: %+v", a)
	}
	wait := func(e *Check) { e.Deadline = d.now + 10 }
	first, _ := d.take(s, 5, 3, wait)
	if first.Granted != -1 {
		t.Fatalf("answered at once: %+v", first)
	}
	id := d.nextID
	gone, _ := d.take(s, 5, 3, wait)
	d.handle(ClientDisconnected{Request: gone.ID})
	d.nextID++
	if out := s.answer(d, d.handle(Request{ID: d.nextID, Customer: 5, Units: 1, Gateways: 2, Deadline: d.now + 2})); len(find[Refuse](out)) != 1 {
		t.Errorf("a request behind it was not answered: %v", out)
	}
	var granted []*CheckResult
	for at := d.now; d.now < at+10 && len(granted) == 0; {
		d.now += 0.05
		out := d.handle(TimerFired{Token: timerHousekeeping << 56})
		out = append(out, d.handle(TimerFired{Token: timerCheckRetry<<56 | uint64(id)})...)
		granted = find[*CheckResult](s.answer(d, out))
	}
	if len(granted) != 1 || granted[0].Granted != 3 || granted[0].ID != id {
		t.Errorf("what waited got %+v", granted)
	}
	if len(d.g.requests) != 0 {
		t.Errorf("%d left", len(d.g.requests))
	}
}

// A partial check takes what is there.
func TestPartialCheck(t *testing.T) {
	s := store{}
	d := start(t, testSettings(), some(2)...)
	d.take(s, 5, 3, nil)
	a, _ := d.take(s, 5, 3, func(e *Check) { e.Partial = true })
	if a.Granted > 1 || a.Granted < 0 {
		t.Errorf("one unit is left, granted %+v", a)
	}
}

// A peek spends nothing, asks nobody, and says how it knows.
func TestPeek(t *testing.T) {
	s := store{}
	d := start(t, testSettings(), some(2)...)
	peek := func() CheckResult { return *one[*CheckResult](t, d.handle(Peek{ID: 99, Customer: 5, Gateways: 2})) }
	if a := peek(); a.Exact || len(find[CounterAdd](d.last)) != 0 {
		t.Errorf("of an unknown customer: %+v", a)
	}
	d.take(s, 5, 1, nil)
	before := peek()
	if after := peek(); !after.Exact || after.Remaining != before.Remaining || after.Remaining > 3 || after.ResetAfter < 0.5 {
		t.Errorf("%+v, then %+v", before, after)
	}
	d.g.cfg.Plans[1].Rate = 0
	if a := one[*CheckResult](t, d.handle(Peek{ID: 99, Customer: 6, Plan: 1, Gateways: 2})); !math.IsInf(a.Remaining, 1) {
		t.Errorf("without a quota: %+v", a)
	}
}

// Units that come back can be taken again, here and elsewhere, but neither out of an
// earlier window nor beyond the burst.
func TestGive(t *testing.T) {
	s := store{}
	d, other := start(t, testSettings(), some(2)...), start(t, testSettings(), some(2)...)
	a, _ := d.take(s, 5, 4, nil)
	if b, _ := other.take(s, 5, 2, nil); b.Granted > 0 {
		t.Fatalf("beyond the burst: %+v", b)
	}
	give := func(units, window float64) CheckResult {
		out := s.answer(d, d.handle(Refund{ID: 98, Customer: 5, Gateways: 2, Units: units, Window: window}))
		return *one[*CheckResult](t, out)
	}
	if b := give(4, a.Window-1); b.Granted != 0 {
		t.Errorf("of an earlier window: %+v", b)
	}
	if b := give(3, a.Window); b.Granted != 3 {
		t.Errorf("of this window: %+v", b)
	}
	s.answer(d, d.handle(TimerFired{Token: timerHousekeeping << 56}))
	other.now += 2
	d.now += 2
	if b, _ := other.take(s, 5, 4, nil); b.Granted != 4 {
		t.Errorf("elsewhere: %+v", b)
	}
	for range 20 {
		give(4, a.Window)
		s.answer(d, d.handle(TimerFired{Token: timerHousekeeping << 56}))
	}
	got := 0.0
	for range 20 {
		b, _ := other.take(s, 5, 1, nil)
		c, _ := d.take(s, 5, 1, nil)
		got += max(b.Granted, 0) + max(c.Granted, 0)
	}
	if got > 4+1 { // the burst, and the unit of a lease that was out
		t.Errorf("after giving far too much, %g units were had at once", got)
	}
}

// Without the counter the local shares of gateways and fronts together come to the
// quota at most.
func TestLocalSharesIncludeFronts(t *testing.T) {
	set := testSettings()
	set.HasCounter, set.CheckFrontends = false, 2
	got := 0.0
	for range 2 + set.CheckFrontends {
		d := start(t, set, some(1)...)
		for range 200 {
			d.now += 0.05
			a, _ := d.take(nil, 5, 1, nil)
			got += max(a.Granted, 0)
		}
	}
	if most := 4 + 2*10.0; got > most || got < most/2 {
		t.Errorf("%g units in 10 s, the quota allows %g", got, most)
	}
}

// Whatever order checks, requests, gives and replies come in, each check has one
// answer, in time, and more than was asked is never granted.
func TestRandomChecks(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 3))
		d := start(t, testSettings(), some(3)...)
		type wait struct{ units, until float64 }
		open := map[RequestID]wait{}
		var calls []CounterAdd
		s := store{}
		type timer struct {
			at    float64
			token uint64
		}
		timers := []timer{{d.now, timerHousekeeping << 56}}
		see := func(out []Action) {
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
					timers = append(timers, timer{d.now + a.Delay, a.Token})
				}
			}
		}
		for range 1500 {
			d.now += 0.004
			for i := 0; i < len(timers); i++ {
				if due := timers[i]; due.at <= d.now {
					timers = append(timers[:i], timers[i+1:]...)
					i--
					see(d.handle(TimerFired{Token: due.token}))
				}
			}
			for id, w := range open {
				if d.now > w.until+0.01 {
					t.Fatalf("seed %d: check %d was not answered in time", seed, id)
				}
			}
			who := CustomerID(rng.IntN(3))
			switch rng.IntN(6) {
			case 0, 1:
				d.nextID++
				e := Check{ID: d.nextID, Customer: who, Units: float64(1 + rng.IntN(5)), Gateways: 2, Partial: rng.IntN(2) == 0,
					Deadline: d.now + rng.Float64()}
				open[e.ID] = wait{e.Units, e.Deadline}
				see(d.handle(&e))
			case 2:
				d.nextID++
				see(d.handle(Request{ID: d.nextID, Customer: who, Units: 1, Gateways: 2, Deadline: d.now + 1}))
			case 3:
				d.nextID++
				open[d.nextID] = wait{4, d.now}
				see(d.handle(Refund{ID: d.nextID, Customer: who, Gateways: 2, Units: float64(rng.IntN(4)), Window: 2}))
			default:
				if len(calls) > 0 {
					c := calls[0]
					calls = calls[1:]
					r := CounterReply{Key: c.Key, Outcome: []Outcome{Served, Served, Served, TimedOut, Overloaded, Errored, ConnectionBroken}[rng.IntN(7)]}
					if r.Outcome != Overloaded {
						s[c.Key] += c.Amount
					}
					r.Total = s[c.Key]
					see(d.handle(r))
				}
			}
		}
	}
}

// Takes of several units strand none: what does not fit one goes to smaller ones at
// once, a lease's remainder is back at the counter, and what is given back can be had.
func TestTakesOfSeveralUnitsStrandNothing(t *testing.T) {
	set := testSettings()
	set.Plans[0].Rate, set.Plans[0].Burst = 1e-3, 5
	s := store{}
	d, other := start(t, set, some(1)...), start(t, set, some(1)...)
	a, _ := d.take(s, 5, 4, nil)
	if b, _ := other.take(s, 5, 4, nil); b.Granted != 0 {
		t.Errorf("4 and 4 of 5: %+v", b)
	}
	if b, _ := other.take(s, 5, 1, nil); b.Granted != 1 {
		t.Errorf("the one that is left, after a take of 4 was refused: %+v", b)
	}
	s.answer(d, d.handle(Refund{ID: 98, Customer: 5, Gateways: 2, Units: 4, Window: a.Window}))
	if b, _ := d.take(s, 5, 4, nil); b.Granted != 4 {
		t.Errorf("what was given back: %+v", b)
	}
}
