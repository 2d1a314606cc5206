package owner

import (
	"time"

	"elderyard/internal/counter"
	"elderyard/rules"
)

// call is an addition on the counter that the module requested.
type call struct {
	counter.Call
	loop    *EventLoop
	id      uint64 // assigned by the module
	sentAt  float64
	ended   bool
	outcome rules.Outcome
	total   float64
}

// callResult reports the outcome of a call to the event loop.
type callResult struct {
	call    *call
	outcome rules.Outcome
	total   float64
}

// Process records the outcome of a counter call.
func (r callResult) Process() { r.call.loop.endCall(r.call, r.outcome, r.total) }

// addToCounter starts the call for an addition and its timeout.
func (l *EventLoop) addToCounter(add rules.CounterAdd) {
	c := &call{loop: l, id: add.CallID, sentAt: l.Clock.Now()}
	if m := l.RollupCounts(); m != nil {
		m.CounterCalls++
		m.Units += add.Amount
	}
	c.Key, c.Amount = add.Key, add.Amount
	c.TTL = min(max(time.Duration(add.TTL*float64(time.Second)), minCounterTTL), maxCounterTTL)
	c.Report = func(_ *counter.Call, out rules.Outcome, total float64) { l.Post(callResult{c, out, total}) }
	l.pendingCalls[c.Key] = append(l.pendingCalls[c.Key], c)
	if l.counter == nil || !l.counter.Add(&c.Call) {
		l.endCall(c, rules.Overloaded, 0)
		return
	}
	l.ScheduleTimeout(c.sentAt+l.timeout, c)
}

// endCall records the outcome of a call and delivers the replies that are ready. Replies for
// a key must reach the module in the order of the calls: a call that is rejected locally,
// or that uses a new connection, may end before an earlier one and then waits for it. The
// late outcome of a call that had timed out is reported as well.
func (l *EventLoop) endCall(c *call, out rules.Outcome, total float64) {
	if c.ended {
		if c.outcome == rules.TimedOut {
			l.Handle(rules.LateCounterReply{CallID: c.id, Outcome: out, Total: total})
		}
		return
	}
	c.ended, c.outcome, c.total = true, out, total
	l.callsByOutcome[out]++
	if m := l.RollupCounts(); m != nil {
		switch out {
		case rules.Overloaded, rules.ConnectFailed:
			m.CallsRejected++
		case rules.TimedOut, rules.ConnectionBroken:
			m.CallsUnanswered++
		}
	}
	for queue := l.pendingCalls[c.Key]; len(queue) > 0 && queue[0].ended; queue = l.pendingCalls[c.Key] {
		c := queue[0]
		if l.pendingCalls[c.Key] = queue[1:]; len(queue) == 1 {
			delete(l.pendingCalls, c.Key)
		}
		l.Handle(rules.CounterReply{Key: c.Key, Outcome: c.outcome, Total: c.total, Duration: l.Clock.Now() - c.sentAt})
	}
}

// Finished reports whether the call has ended.
func (c *call) Finished() bool { return c.ended }

// Expire ends a call at its timeout. If the response has begun, the amount was added even
// if the response never completes, so the outcome is the same as for an unreadable
// response. As TimedOut it would pass for an overloaded counter, and the added amount would
// be lost. A refusal that was truncated in transit counts as added too; that error is
// limited to the amount of one call.
func (c *call) Expire() {
	c.Abandon()
	outcome := rules.TimedOut
	if c.ResponseStarted() {
		outcome = rules.Errored
	}
	c.loop.endCall(c, outcome, 0)
}
