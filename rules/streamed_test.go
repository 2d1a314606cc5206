package rules

import "testing"

// A body on its way takes nobody's place and has no aim to miss: both count from
// its last byte. It goes out once, whatever becomes of that.
func TestBodyThatPassesThrough(t *testing.T) {
	set := testSettings()
	set.HasCounter, set.CanHedge = false, true
	set.Plans[1].Rate = 0
	d := start(t, set, some(3)...)
	ask := func(streamed bool) (RequestID, []Action) {
		d.nextID++
		return d.nextID, d.handle(Request{ID: d.nextID, Class: 0, Plan: 1, Customer: 3, Units: 1, Gateways: 1, Streamed: streamed,
			Deadline: d.now + 2 + 60})
	}
	serve := func(id RequestID, n int, to BackendID) {
		d.now += 0.1
		d.handle(AttemptEnd{Request: id, Attempt: n, Backend: to, Outcome: Served, RequestDone: true})
	}
	first, _ := ask(false)
	serve(first, 0, one[Send](t, d.last).Backend) // the usual latency is known
	id, _ := ask(true)
	sent := one[Send](t, d.last)
	if sent.Timeout < 50 {
		t.Errorf("the body has %g s", sent.Timeout)
	}
	if d.g.inFlight != 0 {
		t.Errorf("a body on its way takes %d places", d.g.inFlight)
	}
	end := d.now + 1.5*set.Classes[0].LatencyObjective
	token := uint64(timerAnswerBy)<<56 | uint64(id)
	for d.now = end; d.now < end+0.001; d.now += 1 {
		if out := d.handle(TimerFired{Token: token}); len(find[Refuse](out)) > 0 {
			t.Fatal("refused while its body was on its way")
		}
	}
	d.now = end
	out := d.handle(BodyComplete{Request: id, Deadline: d.now + 2})
	if d.g.inFlight != 1 {
		t.Errorf("a whole request takes %d places", d.g.inFlight)
	}
	due := 0.0
	for _, timer := range find[SetTimer](out) {
		if timer.Token == token {
			due = timer.Delay
		}
	}
	if due < set.Classes[0].LatencyObjective-0.01 || due > set.Classes[0].LatencyObjective {
		t.Errorf("it has %g s from its last byte", due)
	}
	if out := d.handle(AttemptEnd{Request: id, Attempt: 0, Backend: sent.Backend, Outcome: Errored}); len(find[Send](out)) > 0 ||
		len(find[Refuse](out)) != 1 {
		t.Errorf("after an error: %v", out)
	}
	if d.g.inFlight != 0 {
		t.Errorf("%d in flight at the end", d.g.inFlight)
	}

	// Its client fails: the backend is not to blame.
	id, _ = ask(true)
	sent = one[Send](t, d.last)
	before := d.g.backends[sent.Backend].failureRate
	d.handle(AttemptEnd{Request: id, Attempt: 0, Backend: sent.Backend, Outcome: Cancelled})
	if s := d.g.backends[sent.Backend]; s.failureRate > before || len(s.abandoned) > 0 || d.g.inFlight != 0 {
		t.Errorf("fail %g after %g, %d ghosts, %d in flight", s.failureRate, before, len(s.abandoned), d.g.inFlight)
	}
}

// The first byte of a long answer is the answer: what its client takes the rest in
// counts neither as latency nor as work in flight, and a copy elsewhere is called off.
func TestLongAnswerCountsFromItsFirstByte(t *testing.T) {
	set := testSettings()
	set.HasCounter = false
	set.Plans[1].Rate = 0
	d := start(t, set, some(3)...)
	id := d.ask(0, 1, 3)
	sent := one[Send](t, d.last)
	d.now += 0.1
	d.handle(ResponseStarted{Request: id, Attempt: 0, Backend: sent.Backend})
	if d.g.inFlight != 0 || d.g.latency < 0.09 || d.g.latency > 0.11 {
		t.Errorf("%d in flight, latency %g", d.g.inFlight, d.g.latency)
	}
	d.now += 30
	if out := d.handle(TimerFired{Token: uint64(timerAnswerBy)<<56 | uint64(id)}); len(out) != 0 {
		t.Errorf("at its old end: %v", out)
	}
	d.handle(AttemptEnd{Request: id, Attempt: 0, Backend: sent.Backend, Outcome: ConnectionBroken, RequestDone: true})
	if s := d.g.backends[sent.Backend]; s.failureRate != 0 || d.g.inFlight != 0 || d.g.latency > 0.11 || len(d.g.requests) != 0 {
		t.Errorf("fail %g, %d in flight, latency %g, %d requests", s.failureRate, d.g.inFlight, d.g.latency, len(d.g.requests))
	}

	id = d.ask(0, 1, 3)
	sent = one[Send](t, d.last)
	d.now += 0.5
	out := d.handle(TimerFired{Token: uint64(timerSlowAttempt)<<56 | uint64(id)})
	second := one[Send](t, out)
	d.now += 0.1
	out = d.handle(ResponseStarted{Request: id, Attempt: 1, Backend: second.Backend})
	if c := one[Cancel](t, out); c.Attempt != 0 {
		t.Errorf("called off: %+v", c)
	}
	d.handle(AttemptEnd{Request: id, Attempt: 0, Backend: sent.Backend, Outcome: Cancelled, RequestDone: true})
	d.handle(AttemptEnd{Request: id, Attempt: 1, Backend: second.Backend, Outcome: Served, RequestDone: true})
	if len(d.g.requests) != 0 {
		t.Errorf("%d requests at the end", len(d.g.requests))
	}
}
