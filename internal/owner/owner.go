// Package owner runs the decision module in an event loop. A single goroutine owns
// the module: it delivers events in order, carries out the resulting actions and never
// waits for a socket. Frontends and clients of other services communicate with it by
// messages. The loop itself carries out counter calls and timers; actions on requests
// go to the frontend that accepts the requests.
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
	inboxSize     = 1024
	maxCounterTTL = 60 * time.Second // the counter reduces longer TTLs to this one
	minCounterTTL = time.Millisecond
)

// Message is an occurrence for the event loop. Process runs in the loop's goroutine and
// must not block.
type Message interface{ Process() }

// RequestHandler carries out the module's actions on requests, in the loop's goroutine.
type RequestHandler interface {
	Send(rules.Send)
	Cancel(rules.Cancel)
	Refuse(rules.Refuse)
	Fail(rules.Fail)
	InFlight(rules.RequestID) bool // whether the request or an attempt of it is in flight
}

// Counter accepts calls without blocking. Add returns false if its queue is full.
type Counter interface {
	Add(*counter.Call) bool
}

// EventLoop owns a decision module.
type EventLoop struct {
	Clock  Clock
	Rollup *rollup.Aggregator // nil: nothing is counted; set before Run

	gateway  *rules.Gateway
	counter  Counter        // nil: no counter
	timeout  float64        // seconds, of a call to the counter
	requests RequestHandler // nil: the loop serves checks only

	inbox   chan Message
	stopped chan struct{} // closed when Run returns

	nextID         rules.RequestID
	checks         map[rules.RequestID]*Check // not answered yet
	batchTime      float64                    // time of the batch being processed; 0: none
	submitting     *Check                     // whose event the module is handling; nil: none
	pendingCalls   map[uint64][]*call         // by key, in order, until their replies are delivered
	callsByOutcome [rules.NotSent + 1]uint64  // finished calls
	timers         timerHeap
	nextSweep      sweepTrigger
	actions        []rules.Action
	events         []rules.Event // queue of Handle; actions may append further events
}

// New returns the event loop of a module with the given settings. Nothing happens before
// Start.
func New(set rules.Settings, seed uint64, k Counter) *EventLoop {
	l := &EventLoop{Clock: NewClock(), counter: k, timeout: set.CounterTimeout,
		inbox: make(chan Message, inboxSize), stopped: make(chan struct{}),
		checks: map[rules.RequestID]*Check{}, pendingCalls: map[uint64][]*call{}}
	l.gateway, l.actions = rules.New(set, seed, l.Clock.Now(), nil)
	return l
}

// Start sets the handler of request actions, nil if the loop serves checks only, and
// carries out the module's initial actions. It must be called before Run.
func (l *EventLoop) Start(r RequestHandler) {
	l.requests = r
	l.act(l.actions)
}

// Stats returns a snapshot of the module's statistics and the number of counter calls
// so far by outcome.
func (l *EventLoop) Stats(ctx context.Context) (stats rules.Stats, calls [rules.NotSent + 1]uint64, err error) {
	q := statsQuery{l, make(chan struct{}), &stats, &calls}
	if !l.Post(q) {
		return stats, calls, errStopped
	}
	select {
	case <-q.done:
		return stats, calls, nil
	case <-ctx.Done():
		return rules.Stats{}, [rules.NotSent + 1]uint64{}, ctx.Err()
	case <-l.stopped:
		return rules.Stats{}, [rules.NotSent + 1]uint64{}, errStopped
	}
}

var errStopped = errors.New("event loop has stopped")

// statsQuery is a call of Stats that waits for its result.
type statsQuery struct {
	loop  *EventLoop
	done  chan struct{}
	stats *rules.Stats
	calls *[rules.NotSent + 1]uint64
}

// Process copies the statistics for the caller.
func (q statsQuery) Process() {
	*q.stats, *q.calls = q.loop.gateway.Stats(), q.loop.callsByOutcome
	close(q.done)
}

// Post queues a message, waiting for room in the inbox. It returns false once the loop
// has stopped.
func (l *EventLoop) Post(m Message) bool {
	select {
	case l.inbox <- m:
		return true
	case <-l.stopped:
		return false
	}
}

// Stopped returns a channel that is closed when Run has returned.
func (l *EventLoop) Stopped() <-chan struct{} { return l.stopped }

// Run processes messages and timers until ctx ends.
func (l *EventLoop) Run(ctx context.Context) {
	defer close(l.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-l.inbox:
			m.Process()
		case <-timer.C:
		}
		now := l.Clock.Now()
		l.removeObsoleteTimers(now)
		for len(l.timers) > 0 && (l.timers[0].at <= now || l.obsolete(l.timers[0])) {
			if t := l.timers.pop(); !l.obsolete(t) {
				l.fire(t)
			}
		}
		if len(l.timers) > 0 {
			timer.Reset(time.Until(l.Clock.At(l.timers[0].at)))
		}
	}
}

// RollupCounts returns the counts of the current interval, nil if nothing is counted. Only messages and actions may
// call it.
func (l *EventLoop) RollupCounts() *rollup.Counts {
	if l.Rollup == nil {
		return nil
	}
	return l.Rollup.Current(l.Now())
}

// ScheduleTimeout calls t.Expire once the clock reaches at, unless t has finished by
// then. Only messages and actions may call it.
func (l *EventLoop) ScheduleTimeout(at float64, t Timeout) {
	l.timers.push(timerEntry{at: at, timeout: t})
}

// NewRequestID returns an id that no request or check in flight has. Only messages may call it.
func (l *EventLoop) NewRequestID() rules.RequestID {
	for inUse := true; inUse; {
		l.nextID = max(l.nextID+1, 1) // 0 stands for no request
		inUse = l.inFlight(l.nextID)
	}
	return l.nextID
}

// Now returns the time that the module's current event is handled at: within a batch,
// the time at which the batch began. Only messages and actions may call it.
func (l *EventLoop) Now() float64 {
	if l.batchTime != 0 {
		return l.batchTime
	}
	return l.Clock.Now()
}

// inFlight reports whether a request or check with this id is in flight.
func (l *EventLoop) inFlight(id rules.RequestID) bool {
	if _, pending := l.checks[id]; pending {
		return true
	}
	return l.requests != nil && l.requests.InFlight(id)
}

// Handle passes an event to the module and carries out the resulting actions. Events
// raised by those actions are queued and handled before Handle returns. Only messages
// and actions may call it.
func (l *EventLoop) Handle(ev rules.Event) {
	l.events = append(l.events, ev)
	if len(l.events) > 1 {
		return // an outer call of Handle processes the queue
	}
	for n := 0; n < len(l.events); n++ {
		l.actions = l.gateway.Handle(l.Now(), l.events[n], l.actions[:0])
		l.act(l.actions)
	}
	clear(l.events)
	l.events = l.events[:0]
}

// act carries out the module's actions.
func (l *EventLoop) act(actions []rules.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case rules.Send:
			if m := l.RollupCounts(); m != nil {
				m.Attempts++
			}
			l.requests.Send(a)
		case rules.Cancel:
			l.requests.Cancel(a)
		case rules.Refuse:
			if m := l.RollupCounts(); m != nil {
				switch a.Reason {
				case rules.QuotaExceeded:
					m.QuotaExceeded++
				case rules.NoCapacity:
					m.NoCapacity++
				default:
					m.AttemptsFailed++
				}
			}
			l.requests.Refuse(a)
		case rules.Fail:
			if m := l.RollupCounts(); m != nil {
				m.Failed++
			}
			l.requests.Fail(a)
		case *rules.CheckResult:
			l.completeCheck(*a)
		case rules.SetTimer:
			l.timers.push(timerEntry{at: l.Clock.Now() + max(a.Delay, 0), token: a.Token, request: a.Request})
		case rules.CounterAdd:
			l.addToCounter(a)
		case rules.Log:
			log.Print(a.Text)
		case rules.Subscribe: // the discovery watch always runs
		}
	}
}

// obsolete reports whether nothing waits for a timer any more.
func (l *EventLoop) obsolete(t timerEntry) bool {
	switch {
	case t.timeout != nil:
		return t.timeout.Finished()
	case t.request != 0:
		return !l.inFlight(t.request)
	}
	return false
}

// removeObsoleteTimers removes the obsolete timers if their removal is due. A timer refers to its operation with all that
// this holds, and its time may be long after the operation's end: the deadline of a request whose body is still being
// received is that of the slowest upload.
func (l *EventLoop) removeObsoleteTimers(now float64) {
	if l.nextSweep.isDue(now, len(l.timers)) {
		l.timers.removeFunc(l.obsolete)
		l.nextSweep = newSweepTrigger(now, len(l.timers))
	}
}

// fire expires a timeout or delivers a timer to the module.
func (l *EventLoop) fire(t timerEntry) {
	if t.timeout != nil {
		t.timeout.Expire()
		return
	}
	l.Handle(rules.TimerFired{Token: t.token})
}
