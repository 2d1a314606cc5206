package records

import (
	"math"
	"slices"
	"time"
)

// run advances the clock and delivers all events that become due.
func (sim *simulation) run(duration time.Duration) {
	sim.runUntil(duration, func() bool { return false })
}

// runUntil runs until the condition holds or the duration has passed, and reports whether the condition holds.
func (sim *simulation) runUntil(duration time.Duration, condition func() bool) bool {
	end := sim.now.Add(duration)
	for !condition() {
		f, due := sim.nextFollower()
		if f == nil || due.After(end) {
			sim.now = end
			return false
		}
		if due.After(sim.now) {
			sim.now = due
		}
		sim.step(f)
	}
	return true
}

// due returns the time of the follower's next event.
func (f *simulatedFollower) due() time.Time {
	due := f.follower.NextTick()
	for _, each := range []time.Time{f.responseAt, f.pollEnd} {
		if !each.IsZero() && each.Before(due) {
			due = each
		}
	}
	return due
}

// nextFollower returns the follower whose next event is the earliest, and the event's time.
func (sim *simulation) nextFollower() (*simulatedFollower, time.Time) {
	var next *simulatedFollower
	earliest := time.Unix(math.MaxInt32, 0)
	for _, f := range sim.followers {
		if due := f.due(); due.Before(earliest) {
			next, earliest = f, due
		}
	}
	return next, earliest
}

// step delivers a response, ends a poll or sends a tick.
func (sim *simulation) step(f *simulatedFollower) {
	switch {
	case !f.responseAt.IsZero() && !f.responseAt.After(sim.now):
		response := f.response
		if received, ok := response.(ResponseReceived); ok {
			f.received += len(received.Body)
		}
		sim.dropRequest(f)
		sim.handle(f, response)
	case !f.pollEnd.IsZero() && !f.pollEnd.After(sim.now):
		sim.endPoll(f)
	default:
		sim.handle(f, Tick{})
	}
}

// endPoll ends a long poll without a change: the server responds without changes.
func (sim *simulation) endPoll(f *simulatedFollower) {
	for _, server := range sim.servers {
		if !slices.Contains(server.polls, f) {
			continue
		}
		send := *f.inFlight
		sim.dropRequest(f)
		request := send.Request.(ChangesRequest)
		request.Wait = 0
		send.Request = request
		f.inFlight = &send
		sim.serve(server, f)
		return
	}
	sim.t.Fatalf("%s has a long poll that no server holds", f.name)
}

// converged reports whether all connected followers are at the newest version.
func (sim *simulation) converged() bool {
	for _, f := range sim.followers {
		if !f.disconnected && f.replica.Version() != sim.version {
			return false
		}
	}
	return true
}

// requireConvergence fails the test unless all connected followers reach the newest version within the duration.
func (sim *simulation) requireConvergence(within time.Duration) {
	sim.t.Helper()
	start := sim.now
	if sim.runUntil(within, sim.converged) {
		return
	}
	for _, f := range sim.followers {
		if f.replica.Version() != sim.version {
			sim.t.Errorf("%s is at %d of %d after %v: %+v", f.name, f.replica.Version(), sim.version, sim.now.Sub(start), f.follower.Status(sim.now))
		}
	}
	sim.t.FailNow()
}
