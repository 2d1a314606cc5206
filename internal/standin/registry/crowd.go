package registry

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Overload bounds what the registry does for all its callers together. The zero value
// bounds nothing.
//
// A call holds a place from when it is taken until its answer is ready, a watch while it
// waits for news as well. Calls wait for a place in the order in which they came.
type Overload struct {
	MaxServing  int           // calls served at once; 0: any number, and no other field holds
	MaxWaiting  int           // calls that may wait for a place; a further one is refused at once
	Service     time.Duration // how long an answer takes to make
	WaitTimeout time.Duration // a call that has waited so long for a place is refused
	Delay       time.Duration // from when an answer is ready, and its place free, until it is written
	NoWatch     bool          // a call that may wait gets no place: it waits in vain
}

// CallCounts is what became of the calls to a crowded registry.
type CallCounts struct {
	Admitted  int // got a place
	QueueFull int // refused at once, since no more calls may wait
	TimedOut  int // refused after WaitTimeout
	Canceled  int // whose caller left while they waited
}

// room hands out the places. It is safe for concurrent use.
type room struct {
	mu      sync.Mutex
	crowd   Overload
	serving int
	waiting []*waiter // in the order in which they came
	count   CallCounts
}

// waiter is a call that waits for a place.
type waiter struct {
	inVain bool
	called chan struct{} // closed when it gets a place
}

// SetOverload sets the bounds. Calls that wait already keep the patience that they came with.
func (r *Registry) SetOverload(c Overload) {
	r.room.mu.Lock()
	defer r.room.mu.Unlock()
	r.room.crowd = c
	r.room.callLocked()
}

// CallCounts returns what became of the calls so far.
func (r *Registry) CallCounts() CallCounts {
	r.room.mu.Lock()
	defer r.room.mu.Unlock()
	return r.room.count
}

// Watching returns how many watches hold a place.
func (r *Registry) Watching() int { return int(r.watching.Load()) }

// enter waits for a place, which the call then has to leave. It reports false for a
// call that is refused, or whose caller has left.
func (r *room) enter(ctx context.Context, mayWait bool) bool {
	r.mu.Lock()
	w := &waiter{inVain: mayWait && r.crowd.MaxServing > 0 && r.crowd.NoWatch, called: make(chan struct{})}
	full := len(r.waiting) >= r.crowd.MaxWaiting
	patience := time.NewTimer(r.crowd.WaitTimeout)
	defer patience.Stop()
	r.waiting = append(r.waiting, w)
	r.callLocked()
	if full && r.removeLocked(w) {
		r.count.QueueFull++
		r.mu.Unlock()
		return false
	}
	r.mu.Unlock()
	select {
	case <-w.called:
		return true
	case <-patience.C:
		return r.giveUp(w, &r.count.TimedOut)
	case <-ctx.Done():
		return r.giveUp(w, &r.count.Canceled)
	}
}

// giveUp ends a call's wait and counts it, unless the call has just got a place.
func (r *room) giveUp(w *waiter, count *int) (called bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.removeLocked(w) {
		return true
	}
	*count++
	return false
}

// leave gives a place back.
func (r *room) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serving--
	r.callLocked()
}

// removeLocked reports whether the call was still waiting.
func (r *room) removeLocked(w *waiter) bool {
	at := slices.Index(r.waiting, w)
	if at < 0 {
		return false
	}
	r.waiting = slices.Delete(r.waiting, at, at+1)
	return true
}

// callLocked gives the free places to those that wait.
func (r *room) callLocked() {
	for r.crowd.MaxServing == 0 || r.serving < r.crowd.MaxServing {
		at := slices.IndexFunc(r.waiting, func(w *waiter) bool { return !w.inVain })
		if at < 0 {
			return
		}
		close(r.waiting[at].called)
		r.waiting = slices.Delete(r.waiting, at, at+1)
		r.serving++
		r.count.Admitted++
	}
}

// crowdTimes returns how long the answer takes to make, and to be written after that.
func (r *room) crowdTimes() (service, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crowd.MaxServing == 0 {
		return 0, 0
	}
	return r.crowd.Service, r.crowd.Delay
}

// pause waits, and reports false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
