// Package owner drives the decision module. One goroutine owns it: all that
// happens comes to that in order, it runs the module's actions, and it waits for no
// socket. Fronts and clients of other services talk to it by messages. The counter and
// timers are carried out here; what concerns requests goes to the front that takes
// them.
package owner

import (
	"context"
	"errors"
	"log"
	"time"

	"elderyard/internal/counter"
	"elderyard/rollup"
	"elderyard/rules"
)

const (
	inboxSize = 1024
	mostKeep  = 60 * time.Second // of a name; the counter takes longer ones for this
	leastKeep = time.Millisecond
)

// Message is something that happened. Take runs in the owner's goroutine and must
// not wait.
type Message interface{ Process() }

// RequestHandler carries out the module's actions on requests, in the owner's goroutine.
type RequestHandler interface {
	Send(rules.Send)
	Cancel(rules.Cancel)
	Refuse(rules.Refuse)
	Fail(rules.Fail)
	InFlight(rules.RequestID) bool // the request, or an attempt of it, is still out
}

// Counter takes calls without waiting; false where too many wait.
type Counter interface {
	Add(*counter.Call) bool
}

// EventLoop is the one owner of a decision module.
type EventLoop struct {
	Clock  Clock
	Rollup *rollup.Aggregator // nil: nothing is counted; set before Run

	gateway  *rules.Gateway
	counter  Counter // nil: there is none
	timeout  float64 // seconds, of a call to the counter
	requests RequestHandler

	inbox   chan Message
	stopped chan struct{} // closed when Run ends

	nextID  rules.RequestID
	checks  map[rules.RequestID]*Check // not answered yet
	moment  float64                    // of the batch that is being handed over; 0: none is
	asking  *Check                     // whose event the module has just now; nil: none
	calls   map[uint64][]*call         // by name, in order, until their replies are handed on
	ended   [rules.NotSent + 1]uint64  // calls, by outcome
	timers  timerHeap
	actions []rules.Action
	pending []rules.Event // events that actions brought about
}

// New makes the owner of a module with the given settings. Nothing happens before
// Start.
func New(set rules.Settings, seed uint64, k Counter) *EventLoop {
	o := &EventLoop{Clock: NewClock(), counter: k, timeout: set.CounterTimeout,
		inbox: make(chan Message, inboxSize), stopped: make(chan struct{}),
		checks: map[rules.RequestID]*Check{}, calls: map[uint64][]*call{}}
	o.gateway, o.actions = rules.New(set, seed, o.Clock.Now(), nil)
	return o
}

// Start names who carries out the actions on requests, nil where only checks are
// taken, and runs those that the module begins with. It comes before Run.
func (o *EventLoop) Start(r RequestHandler) {
	o.requests = r
	o.act(o.actions)
}

// Stats tells of the module at a moment, and of the calls to the counter so far by
// outcome.
func (o *EventLoop) Stats(ctx context.Context) (f rules.Stats, calls [rules.NotSent + 1]uint64, err error) {
	q := figures{o, make(chan struct{}), &f, &calls}
	if !o.Post(q) {
		return f, calls, errEnded
	}
	select {
	case <-q.done:
		return f, calls, nil
	case <-ctx.Done():
		return rules.Stats{}, [rules.NotSent + 1]uint64{}, ctx.Err()
	case <-o.stopped:
		return rules.Stats{}, [rules.NotSent + 1]uint64{}, errEnded
	}
}

var errEnded = errors.New("the owner has ended")

type figures struct {
	o     *EventLoop
	done  chan struct{}
	f     *rules.Stats
	calls *[rules.NotSent + 1]uint64
}

// Process copies the figures for the caller.
func (q figures) Process() {
	*q.f, *q.calls = q.o.gateway.Stats(), q.o.ended
	close(q.done)
}

// Post tells the owner something. It returns false once the owner has ended.
func (o *EventLoop) Post(m Message) bool {
	select {
	case o.inbox <- m:
		return true
	case <-o.stopped:
		return false
	}
}

// Stopped is closed when Run has ended.
func (o *EventLoop) Stopped() <-chan struct{} { return o.stopped }

// Run works until ctx ends.
func (o *EventLoop) Run(ctx context.Context) {
	defer close(o.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-o.inbox:
			m.Process()
		case <-timer.C:
		}
		now := o.Clock.Now()
		for len(o.timers) > 0 && (o.timers[0].at <= now || o.void(o.timers[0])) {
			if t := o.timers.next(); !o.void(t) {
				o.due(t)
			}
		}
		if len(o.timers) > 0 {
			timer.Reset(time.Until(o.Clock.At(o.timers[0].at)))
		}
	}
}

// RollupCounts returns the counts of the current interval, nil if nothing is counted. Only messages and actions may
// call it.
func (o *EventLoop) RollupCounts() *rollup.Counts {
	if o.Rollup == nil {
		return nil
	}
	return o.Rollup.Current(o.Now())
}

// ScheduleTimeout has d told when the clock is at that time. Only messages and actions may
// call it.
func (o *EventLoop) ScheduleTimeout(at float64, d Timeout) { o.timers.add(timerEntry{at: at, due: d}) }

// NewRequestID is an id that no request or check that is out has. Only messages may call it.
func (o *EventLoop) NewRequestID() rules.RequestID {
	for taken := true; taken; {
		o.nextID = max(o.nextID+1, 1) // 0 stands for no request
		taken = o.live(o.nextID)
	}
	return o.nextID
}

// Now is the time at which the module is asked. Only messages and actions may call
// it.
func (o *EventLoop) Now() float64 {
	if o.moment != 0 {
		return o.moment
	}
	return o.Clock.Now()
}

// live tells whether a request or check is out.
func (o *EventLoop) live(id rules.RequestID) bool {
	if _, waits := o.checks[id]; waits {
		return true
	}
	return o.requests != nil && o.requests.InFlight(id)
}

// Handle gives the module an event, and then what its actions brought about. Only
// messages and actions may call it.
func (o *EventLoop) Handle(ev rules.Event) {
	o.pending = append(o.pending, ev)
	if len(o.pending) > 1 {
		return // an outer call is at it
	}
	for n := 0; n < len(o.pending); n++ {
		o.actions = o.gateway.Handle(o.Now(), o.pending[n], o.actions[:0])
		o.act(o.actions)
	}
	clear(o.pending)
	o.pending = o.pending[:0]
}

func (o *EventLoop) act(actions []rules.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case rules.Send:
			if m := o.RollupCounts(); m != nil {
				m.Sends++
			}
			o.requests.Send(a)
		case rules.Cancel:
			o.requests.Cancel(a)
		case rules.Refuse:
			if m := o.RollupCounts(); m != nil {
				switch a.Reason {
				case rules.QuotaExceeded:
					m.NoQuota++
				case rules.NoCapacity:
					m.NoPlace++
				default:
					m.NoAnswer++
				}
			}
			o.requests.Refuse(a)
		case rules.Fail:
			if m := o.RollupCounts(); m != nil {
				m.Failed++
			}
			o.requests.Fail(a)
		case *rules.CheckResult:
			o.checked(*a)
		case rules.SetTimer:
			o.timers.add(timerEntry{at: o.Clock.Now() + max(a.Delay, 0), token: a.Token, request: a.Request})
		case rules.CounterAdd:
			o.count(a)
		case rules.Log:
			log.Print(a.Text)
		case rules.Subscribe: // the watch always runs
		}
	}
}

// void tells whether nobody waits for a timer any more.
func (o *EventLoop) void(t timerEntry) bool {
	switch {
	case t.due != nil:
		return t.due.Finished()
	case t.request != 0:
		return !o.live(t.request)
	}
	return false
}

func (o *EventLoop) due(t timerEntry) {
	if t.due != nil {
		t.due.Expire()
		return
	}
	o.Handle(rules.TimerFired{Token: t.token})
}
