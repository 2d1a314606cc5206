package records

import (
	"math"
	"slices"
	"time"
)

// run runs the world for a time.
func (w *world) run(duration time.Duration) {
	w.runUntil(duration, func() bool { return false })
}

// runUntil runs until the condition holds, and tells whether it did in time.
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
	due := f.follower.Wake()
	for _, each := range []time.Time{f.answerAt, f.pollEnd} {
		if !each.IsZero() && each.Before(due) {
			due = each
		}
	}
	return due
}

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

func (w *world) step(f *worldFollower) {
	switch {
	case !f.answerAt.IsZero() && !f.answerAt.After(w.now):
		answer := f.answer
		if answered, ok := answer.(ResponseReceived); ok {
			f.received += len(answered.Body)
		}
		w.dropRequest(f)
		w.handle(f, answer)
	case !f.pollEnd.IsZero() && !f.pollEnd.After(w.now):
		w.endPoll(f)
	default:
		w.handle(f, Tick{})
	}
}

// endPoll answers a request that has waited in vain.
func (w *world) endPoll(f *worldFollower) {
	for _, server := range w.servers {
		if !slices.Contains(server.polls, f) {
			continue
		}
		ask := *f.inFlight
		w.dropRequest(f)
		request := ask.Request.(ChangesRequest)
		request.Wait = 0
		ask.Request = request
		f.inFlight = &ask
		w.serve(server, f)
		return
	}
	w.t.Fatalf("%s waits at no server", f.name)
}

// everywhere tells whether the newest version is in force everywhere.
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
