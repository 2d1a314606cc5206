package records

import (
	"errors"
	"fmt"
	"time"
)

// Times of a follower.
const (
	LongPollWait       = 8 * time.Second // that a server may wait for a change
	requestTimeout     = 5 * time.Second // for an answer, beside what the server may wait
	headGracePeriod    = 2 * time.Second // for a server to give a version that is known to exist
	minPollInterval    = time.Second     // after an answer without changes that came at once
	repairPollInterval = 3 * time.Second // between requests for changes during a repair
	maxStartDelay      = time.Second     // within which followers that start together ask first
	initialBackoff     = 300 * time.Millisecond
	maxBackoff         = 5 * time.Second
	CutOffTimeout      = 30 * time.Second // without a useful answer
)

// chunkRequestBytes is how much of the ranges is asked for at once, before compression.
const chunkRequestBytes = 64 << 10

// FollowerConfig is what a follower needs to know.
type FollowerConfig struct {
	Name           string   // of the gateway: it spreads requests over servers and time
	Servers        []string // names of the servers, any of which may be asked
	BytesPerSecond int      // budget of what comes in; 0: DefaultBytesPerSecond
	BurstBytes     int      // 0: DefaultBurstBytes
	// ConfirmedAt is when the replica's present version was last known to be the
	// newest, as kept with it on disk; zero: not known.
	ConfirmedAt time.Time
}

// Follower decides how one replica follows the servers: whom to ask for what and
// when, within a budget of bytes, and whom to leave.
type Follower struct {
	replica *Replica
	servers servers
	jitter  jitter
	budget  budget
	now     time.Time

	lastID        uint64
	inFlight      *inFlightRequest // nil: nothing is asked
	nextRequestAt time.Time        // when something may be asked again
	failures      int              // in a row

	head        uint64    // newest version known to exist
	behindSince time.Time // zero: the replica is at the head

	repair             *Repair // nil: none is under way
	repairReason       RepairReason
	changesRequestedAt time.Time // during a repair
	digestDisputed     bool      // a server takes the replica's content for wrong

	lastContact time.Time // of the last useful answer
	confirmedAt time.Time // when the replica was last known to be at the newest version
	lastFault   string    // the last one; empty after a useful answer
}

// inFlightRequest is a request that has not been answered.
type inFlightRequest struct {
	Send
	sentAt         time.Time
	finishesRepair bool // the changes are those that finish the repair
}

// NewFollower makes a follower of a replica, which only the follower changes from
// now on. The caller sends a Tick when the time that Wake returns has come.
func NewFollower(config FollowerConfig, replica *Replica, now time.Time) *Follower {
	follower := &Follower{
		replica:     replica,
		servers:     newServers(config.Name, config.Servers),
		jitter:      newJitter(config.Name),
		budget:      newBudget(config.BytesPerSecond, config.BurstBytes, now),
		now:         now,
		head:        replica.Version(),
		lastContact: now,
		confirmedAt: config.ConfirmedAt,
	}
	follower.nextRequestAt = now.Add(time.Duration(follower.jitter.fraction() * float64(maxStartDelay)))
	return follower
}

// Handle takes in an event and returns what is to be done, in order.
func (f *Follower) Handle(now time.Time, event Event) []Action {
	f.now = now
	f.budget.refill(now)
	var actions []Action
	switch event := event.(type) {
	case ResponseReceived:
		actions = f.handleResponse(event)
	case RequestFailed:
		f.budget.spend(event.Bytes)
		if ask := f.clearInFlight(event.ID); ask != nil {
			f.ejectServer(ask.Server, failedEjectionTime, fmt.Errorf("no answer: %s", event.Reason))
		}
	case HeadReceived:
		f.updateHead(event.Version)
	}
	actions = append(actions, f.expireRequest()...)
	return append(actions, f.sendNext()...)
}

// Wake returns when the follower wants a Tick.
func (f *Follower) Wake() time.Time {
	if f.inFlight != nil {
		return f.requestDeadline()
	}
	if len(f.servers.order) == 0 {
		return f.now.Add(LongPollWait)
	}
	_, ready := f.planRequest()
	return ready
}

func (f *Follower) updateHead(version uint64) {
	f.head = max(f.head, version)
	f.updateBehindSince()
}

// updateBehindSince keeps since when the replica has been behind the head.
func (f *Follower) updateBehindSince() {
	switch {
	case f.replica.Version() >= f.head:
		f.behindSince = time.Time{}
	case f.behindSince.IsZero():
		f.behindSince = f.now
	}
}

// errLagging is that a server has not come to a version that exists.
var errLagging = errors.New("the server is behind")

// ejectServer turns away from a server for a while.
func (f *Follower) ejectServer(server string, period time.Duration, fault error) {
	f.servers.eject(server, f.now.Add(f.jitter.shorten(period)))
	f.lastFault = fmt.Sprintf("%s: %v", server, fault)
	f.failures++
	f.nextRequestAt = f.now.Add(f.jitter.shorten(f.backoff()))
}

// backoff is short while there are servers that have not had their turn, and
// doubles from then on.
func (f *Follower) backoff() time.Duration {
	const maxDoublings = 10
	doublings := min(max(0, f.failures-len(f.servers.order)), maxDoublings)
	return min(maxBackoff, initialBackoff<<doublings)
}

// recordSuccess notes a good answer.
func (f *Follower) recordSuccess() {
	f.failures = 0
	f.lastFault = ""
	f.lastContact = f.now
}
