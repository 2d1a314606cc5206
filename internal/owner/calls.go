package owner

import (
	"time"

	"elderyard/internal/counter"
	"elderyard/rules"
)

// call is one addition on the counter that the module asked for.
type call struct {
	counter.Call
	o       *EventLoop
	id      uint64 // the module's
	sent    float64
	ended   bool
	outcome rules.Outcome
	total   float64
}

// callDone tells what became of a call.
type callDone struct {
	k       *call
	outcome rules.Outcome
	total   float64
}

// Process records the outcome of a counter call.
func (m callDone) Process() { m.k.o.endCall(m.k, m.outcome, m.total) }

func (o *EventLoop) count(c rules.CounterAdd) {
	k := &call{o: o, id: c.CallID, sent: o.Clock.Now()}
	if m := o.RollupCounts(); m != nil {
		m.Calls++
		m.Units += c.Amount
	}
	k.Name, k.Amount = c.Key, c.Amount
	k.TTL = min(max(time.Duration(c.TTL*float64(time.Second)), leastKeep), mostKeep)
	k.Report = func(_ *counter.Call, out rules.Outcome, total float64) { o.Post(callDone{k, out, total}) }
	o.calls[k.Name] = append(o.calls[k.Name], k)
	if o.counter == nil || !o.counter.Add(&k.Call) {
		o.endCall(k, rules.Overloaded, 0)
		return
	}
	o.ScheduleTimeout(k.sent+o.timeout, k)
}

// endCall takes a call's one end. Danger: the module takes the replies for one
// name in the order of the calls, but a call that is turned away here, or goes
// out on a new connection, may end before an earlier one; it waits for that. What
// becomes of a call that was given up is told all the same.
func (o *EventLoop) endCall(k *call, out rules.Outcome, total float64) {
	if k.ended {
		if k.outcome == rules.TimedOut {
			o.Handle(rules.LateCounterReply{CallID: k.id, Outcome: out, Total: total})
		}
		return
	}
	k.ended, k.outcome, k.total = true, out, total
	o.ended[out]++
	if m := o.RollupCounts(); m != nil {
		switch out {
		case rules.Overloaded, rules.ConnectFailed:
			m.Full++
		case rules.TimedOut, rules.ConnectionBroken:
			m.Silent++
		}
	}
	for line := o.calls[k.Name]; len(line) > 0 && line[0].ended; line = o.calls[k.Name] {
		k := line[0]
		if o.calls[k.Name] = line[1:]; len(line) == 1 {
			delete(o.calls, k.Name)
		}
		o.Handle(rules.CounterReply{Key: k.Name, Outcome: k.outcome, Total: k.total, Duration: o.Clock.Now() - k.sent})
	}
}

// Done tells whether the call has ended.
func (k *call) Done() bool { return k.ended }

// Expire ends a call whose time is over. An answer that has begun, and may never
// end, says as much as one that can't be read: the amount was added. Danger: told
// as silence, it would pass for a crowd, and what it added would be lost. A refusal
// cut to pieces on its way passes for added too; what is taken back then is one call's.
func (k *call) Expire() {
	k.Abandon()
	outcome := rules.TimedOut
	if k.ResponseStarted() {
		outcome = rules.Errored
	}
	k.o.endCall(k, outcome, 0)
}
