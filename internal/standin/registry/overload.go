package registry

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Overload limits how many calls the registry serves, over all callers. The zero value sets no limit.
//
// A call occupies a slot from its admission until its answer is ready; for a watch this includes the time that it waits
// for a change. Calls wait for a slot in the order in which they arrived.
type Overload struct {
	MaxServing  int           // concurrent calls; 0: no limit, and the other fields are ignored
	MaxWaiting  int           // calls that may wait for a slot; a further one is refused at once
	Service     time.Duration // time to prepare an answer
	WaitTimeout time.Duration // a call that has waited this long for a slot is refused
	Delay       time.Duration // between releasing the slot of a finished answer and writing it
	NoWatch     bool          // a watch is never admitted: it waits until it times out
}

// CallCounts counts the calls to the registry by what became of them.
type CallCounts struct {
	Admitted  int // got a slot
	QueueFull int // refused at once, because MaxWaiting calls were waiting
	TimedOut  int // refused after WaitTimeout
	Canceled  int // closed by the caller while they waited
}

// admission admits calls within the limits of an Overload. It is safe for concurrent use.
type admission struct {
	mu       sync.Mutex
	overload Overload
	serving  int
	waiting  []*waiter // in order of arrival
	counts   CallCounts
}

// waiter is a call that waits for a slot.
type waiter struct {
	never    bool
	admitted chan struct{} // closed when it gets a slot
}

// SetOverload sets the limits. Calls that are already waiting keep the timeout that they started with.
func (r *Registry) SetOverload(c Overload) {
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	r.admission.overload = c
	r.admission.admitLocked()
}

// CallCounts returns the counts of the calls so far.
func (r *Registry) CallCounts() CallCounts {
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	return r.admission.counts
}

// Watching returns how many watches occupy a slot.
func (r *Registry) Watching() int { return int(r.watching.Load()) }

// enter waits for a slot, which the caller must release with leave. It returns false if the call is refused or ctx
// ends.
func (a *admission) enter(ctx context.Context, mayWait bool) bool {
	a.mu.Lock()
	w := &waiter{never: mayWait && a.overload.MaxServing > 0 && a.overload.NoWatch, admitted: make(chan struct{})}
	full := len(a.waiting) >= a.overload.MaxWaiting
	timeout := time.NewTimer(a.overload.WaitTimeout)
	defer timeout.Stop()
	a.waiting = append(a.waiting, w)
	a.admitLocked()
	if full && a.removeLocked(w) {
		a.counts.QueueFull++
		a.mu.Unlock()
		return false
	}
	a.mu.Unlock()
	select {
	case <-w.admitted:
		return true
	case <-timeout.C:
		return a.cancelWait(w, &a.counts.TimedOut)
	case <-ctx.Done():
		return a.cancelWait(w, &a.counts.Canceled)
	}
}

// cancelWait removes a waiting call and increments count, or returns true if the call has been admitted in the
// meantime.
func (a *admission) cancelWait(w *waiter, count *int) (admitted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.removeLocked(w) {
		return true
	}
	*count++
	return false
}

// leave releases a slot.
func (a *admission) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.serving--
	a.admitLocked()
}

// removeLocked removes a call from the queue, and reports whether it was still waiting.
func (a *admission) removeLocked(w *waiter) bool {
	at := slices.Index(a.waiting, w)
	if at < 0 {
		return false
	}
	a.waiting = slices.Delete(a.waiting, at, at+1)
	return true
}

// admitLocked assigns free slots to waiting calls.
func (a *admission) admitLocked() {
	for a.overload.MaxServing == 0 || a.serving < a.overload.MaxServing {
		at := slices.IndexFunc(a.waiting, func(w *waiter) bool { return !w.never })
		if at < 0 {
			return
		}
		close(a.waiting[at].admitted)
		a.waiting = slices.Delete(a.waiting, at, at+1)
		a.serving++
		a.counts.Admitted++
	}
}

// latencies returns the time to prepare an answer, and the delay before writing it.
func (a *admission) latencies() (service, delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.overload.MaxServing == 0 {
		return 0, 0
	}
	return a.overload.Service, a.overload.Delay
}

// pause sleeps for d, and returns false if ctx ends first.
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
