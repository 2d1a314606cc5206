package records

import (
	"math"
	"slices"
	"time"
)

// run advances the clock and delivers all that is due in between.
func (w *world) run(duration time.Duration) {
	w.runUntil(duration, func() bool { return false })
}

// runUntil runs until the condition holds, and reports whether it did in time.
func (w *world) runUntil(duration time.Duration, condition func() bool) bool {
	end := w.now.Add(duration)
	for !condition() {
		f, due := w.nextFollower()
		if f == nil || due.After(end) {
			w.now = end
			return false
		}
		if due.After(w.now) {
			w.now = due
		}
		w.step(f)
	}
	return true
}

// due returns when something happens next for the follower.
func (f *worldFollower) due() time.Time {
	due := f.follower.NextTick()
	for _, each := range []time.Time{f.responseAt, f.pollEnd} {
		if !each.IsZero() && each.Before(due) {
			due = each
		}
	}
	return due
}

// nextFollower returns the follower for which something is due first.
func (w *world) nextFollower() (*worldFollower, time.Time) {
	var next *worldFollower
	earliest := time.Unix(math.MaxInt32, 0)
	for _, f := range w.followers {
		if due := f.due(); due.Before(earliest) {
			next, earliest = f, due
		}
	}
	return next, earliest
}

// step delivers a response, ends a poll or sends a tick.
func (w *world) step(f *worldFollower) {
	switch {
	case !f.responseAt.IsZero() && !f.responseAt.After(w.now):
		response := f.response
		if received, ok := response.(ResponseReceived); ok {
			f.received += len(received.Body)
		}
		w.dropRequest(f)
		w.handle(f, response)
	case !f.pollEnd.IsZero() && !f.pollEnd.After(w.now):
		w.endPoll(f)
	default:
		w.handle(f, Tick{})
	}
}

// endPoll ends a long poll without a change: the server responds that there is nothing new.
func (w *world) endPoll(f *worldFollower) {
	for _, server := range w.servers {
		if !slices.Contains(server.polls, f) {
			continue
		}
		send := *f.inFlight
		w.dropRequest(f)
		request := send.Request.(ChangesRequest)
		request.Wait = 0
		send.Request = request
		f.inFlight = &send
		w.serve(server, f)
		return
	}
	w.t.Fatalf("%s waits at no server", f.name)
}

// everywhere reports whether all followers that are connected are at the newest version.
func (w *world) everywhere() bool {
	for _, f := range w.followers {
		if !f.disconnected && f.replica.Version() != w.version {
			return false
		}
	}
	return true
}

// mustReach requires the newest version everywhere within a time.
func (w *world) mustReach(within time.Duration) {
	w.t.Helper()
	start := w.now
	if w.runUntil(within, w.everywhere) {
		return
	}
	for _, f := range w.followers {
		if f.replica.Version() != w.version {
			w.t.Errorf("%s is at %d of %d after %v: %+v", f.name, f.replica.Version(), w.version, w.now.Sub(start), f.follower.Status(w.now))
		}
	}
	w.t.FailNow()
}
