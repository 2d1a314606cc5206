package records

import (
	"errors"
	"fmt"
	"time"
)

// Timeouts and intervals of a follower.
const (
	// LongPollWait is how long a server may wait for a change before it responds.
	LongPollWait = 8 * time.Second
	// DisconnectTimeout is the time without a useful response after which a follower is Disconnected.
	DisconnectTimeout = 30 * time.Second

	requestTimeout     = 5 * time.Second // for a response, in addition to the server's wait
	headGracePeriod    = 2 * time.Second // until a server must have a version that is known to exist
	minPollInterval    = time.Second     // after an immediate response without changes
	repairPollInterval = 3 * time.Second // between requests for changes during a repair
	maxStartDelay      = time.Second     // spreads the first requests of followers that start together
	initialBackoff     = 300 * time.Millisecond
	maxBackoff         = 5 * time.Second
)

// chunkRequestBytes limits the ranges that one request returns, in bytes before compression.
const chunkRequestBytes = 64 << 10

// FollowerConfig is the configuration of a follower.
type FollowerConfig struct {
	Name           string   // of the gateway; seeds the server order and the jitter
	Servers        []string // names of the servers, all of which have the same records
	BytesPerSecond int      // traffic budget; 0 means DefaultBytesPerSecond
	BurstBytes     int      // 0 means DefaultBurstBytes
	// ConfirmedAt is when the replica's current version was last known to be the newest, as stored with the replica
	// on disk. It is zero if unknown.
	ConfirmedAt time.Time
}

// Follower decides how one replica follows the servers: what to request from which server and
// when, within a budget of bytes, and which servers to eject.
//
// It is driven by events: the driver passes each event to Handle with the current time, performs the returned
// actions in order, and sends a Tick at the time that NextTick returns. At most one request is in flight. The
// follower reads no clock, so it is deterministic: the same events at the same times result in the same actions.
//
// A server whose response is late, invalid or below the head is ejected for some time, and the next request goes to
// another one. A response is applied only if the result has its digest. If no delta is available, a Repair fetches
// the ranges that differ; changes that some server can send have priority over the repair's ranges.
type Follower struct {
	replica *Replica
	servers servers
	jitter  jitter
	budget  budget
	now     time.Time

	lastID        uint64
	inFlight      *inFlightRequest // nil if there is none
	nextRequestAt time.Time        // earliest time of the next request; the budget may delay it further
	failures      int              // consecutive failed requests

	head        uint64    // newest version known to exist
	behindSince time.Time // zero if the replica is at the head

	repair             *Repair // nil if there is none
	repairReason       RepairReason
	changesRequestedAt time.Time // when changes were last requested; limits their rate during a repair
	digestDisputed     bool      // a server has a different digest of the replica's version

	lastContact time.Time // of the last useful response
	confirmedAt time.Time // when the replica was last known to be at the newest version
	lastError   string    // empty after a useful response
}

// inFlightRequest is a request that waits for its response.
type inFlightRequest struct {
	Send
	sentAt         time.Time
	finishesRepair bool // the changes are for Repair.Finish
}

// NewFollower returns a follower that owns the replica: only the follower may change it from then on. The first
// event is a Tick at the time that NextTick returns.
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

// Handle processes an event and returns the actions that the driver must perform in order. Responses to a request
// that is no longer in flight only count against the budget.
func (f *Follower) Handle(now time.Time, event Event) []Action {
	f.now = now
	f.budget.refill(now)
	var actions []Action
	switch event := event.(type) {
	case ResponseReceived:
		actions = f.handleResponse(event)
	case RequestFailed:
		f.budget.spend(event.Bytes)
		if sent := f.clearInFlight(event.ID); sent != nil {
			f.ejectServer(sent.Server, failedEjectionTime, fmt.Errorf("no answer: %s", event.Reason))
		}
	case HeadReceived:
		f.updateHead(event.Version)
	}
	actions = append(actions, f.expireRequest()...)
	return append(actions, f.sendNext()...)
}

// NextTick returns the time at which the driver must send a Tick; it may be in the past. It may change with every
// event.
func (f *Follower) NextTick() time.Time {
	if f.inFlight != nil {
		return f.requestDeadline()
	}
	if len(f.servers.order) == 0 {
		return f.now.Add(LongPollWait)
	}
	_, ready := f.planRequest()
	return ready
}

// updateHead raises the head, the newest version known to exist.
func (f *Follower) updateHead(version uint64) {
	f.head = max(f.head, version)
	f.updateBehindSince()
}

// updateBehindSince records when the replica fell behind the head, or clears the time once it has caught up.
func (f *Follower) updateBehindSince() {
	switch {
	case f.replica.Version() >= f.head:
		f.behindSince = time.Time{}
	case f.behindSince.IsZero():
		f.behindSince = f.now
	}
}

// errLagging means that a server is below the head.
var errLagging = errors.New("the server is behind")

// ejectServer ejects a server after a failed request and delays the next request by the backoff.
func (f *Follower) ejectServer(server string, period time.Duration, fault error) {
	f.servers.eject(server, f.now.Add(f.jitter.shorten(period)))
	f.lastError = fmt.Sprintf("%s: %v", server, fault)
	f.failures++
	f.nextRequestAt = f.now.Add(f.jitter.shorten(f.backoff()))
}

// backoff returns the delay before the next request. It is short until every server has been tried, and doubles
// from then on.
func (f *Follower) backoff() time.Duration {
	const maxDoublings = 10
	doublings := min(max(0, f.failures-len(f.servers.order)), maxDoublings)
	return min(maxBackoff, initialBackoff<<doublings)
}

// recordSuccess resets the backoff after a useful response.
func (f *Follower) recordSuccess() {
	f.failures = 0
	f.lastError = ""
	f.lastContact = f.now
}
