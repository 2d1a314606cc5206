package records

import (
	"errors"
	"fmt"
	"time"
)

// Times of a follower.
const (
	PollWait     = 8 * time.Second // that a server may wait for a change
	askTimeout   = 5 * time.Second // for an answer, beside what the server may wait
	headGrace    = 2 * time.Second // for a server to give a version that is known to exist
	pollPause    = time.Second     // after an answer without changes that came at once
	repairPoll   = 3 * time.Second // between requests for changes during a repair
	startSpread  = time.Second     // within which followers that start together ask first
	retryFirst   = 300 * time.Millisecond
	retryHighest = 5 * time.Second
	CutOffAfter  = 30 * time.Second // without a useful answer
)

// chunkBytes is how much of the ranges is asked for at once, before compression.
const chunkBytes = 64 << 10

// FollowerConfig is what a follower needs to know.
type FollowerConfig struct {
	Name           string   // of the gateway: it spreads requests over servers and time
	Servers        []string // names of the servers, any of which may be asked
	BytesPerSecond int      // budget of what comes in; 0: DefaultBytesPerSecond
	BurstBytes     int      // 0: DefaultBurstBytes
	// Confirmed is when the replica's present version was last known to be the
	// newest, as kept with it on disk; zero: not known.
	Confirmed time.Time
}

// Follower decides how one replica follows the servers: whom to ask for what and
// when, within a budget of bytes, and whom to leave.
type Follower struct {
	replica *Replica
	servers servers
	jitter  jitter
	budget  budget
	now     time.Time

	lastID   uint64
	open     *openAsk  // nil: nothing is asked
	notUntil time.Time // when something may be asked again
	failures int       // in a row

	head        uint64    // newest version known to exist
	behindSince time.Time // zero: the replica is at the head

	repair         *Repair // nil: none is under way
	repairReason   RepairReason
	changesAskedAt time.Time // during a repair
	doubted        bool      // a server takes the replica's content for wrong

	contact   time.Time // of the last useful answer
	confirmed time.Time // when the replica was last known to be at the newest version
	fault     string    // the last one; empty after a useful answer
}

// openAsk is a request that has not been answered.
type openAsk struct {
	Ask
	at     time.Time
	finish bool // the changes are those that finish the repair
}

// NewFollower makes a follower of a replica, which only the follower changes from
// now on. The caller sends a Tick when the time that Wake returns has come.
func NewFollower(config FollowerConfig, replica *Replica, now time.Time) *Follower {
	follower := &Follower{
		replica:   replica,
		servers:   newServers(config.Name, config.Servers),
		jitter:    newJitter(config.Name),
		budget:    newBudget(config.BytesPerSecond, config.BurstBytes, now),
		now:       now,
		head:      replica.Version(),
		contact:   now,
		confirmed: config.Confirmed,
	}
	follower.notUntil = now.Add(time.Duration(follower.jitter.fraction() * float64(startSpread)))
	return follower
}

// Handle takes in an event and returns what is to be done, in order.
func (f *Follower) Handle(now time.Time, event Event) []Action {
	f.now = now
	f.budget.refill(now)
	var actions []Action
	switch event := event.(type) {
	case Answered:
		actions = f.answered(event)
	case Failed:
		f.budget.spend(event.Bytes)
		if ask := f.close(event.ID); ask != nil {
			f.leave(ask.Server, avoidFailed, fmt.Errorf("no answer: %s", event.Reason))
		}
	case ToldHead:
		f.tellHead(event.Version)
	}
	actions = append(actions, f.expire()...)
	return append(actions, f.ask()...)
}

// Wake returns when the follower wants a Tick.
func (f *Follower) Wake() time.Time {
	if f.open != nil {
		return f.patience()
	}
	if len(f.servers.order) == 0 {
		return f.now.Add(PollWait)
	}
	_, ready := f.next()
	return ready
}

func (f *Follower) tellHead(version uint64) {
	f.head = max(f.head, version)
	f.noteVersion()
}

// noteVersion keeps since when the replica has been behind the head.
func (f *Follower) noteVersion() {
	switch {
	case f.replica.Version() >= f.head:
		f.behindSince = time.Time{}
	case f.behindSince.IsZero():
		f.behindSince = f.now
	}
}

// close takes back the open request if it has this ID.
func (f *Follower) close(id uint64) *openAsk {
	if f.open == nil || f.open.ID != id {
		return nil
	}
	ask := f.open
	f.open = nil
	return ask
}

// patience returns until when the open request may take.
func (f *Follower) patience() time.Time {
	until := f.open.at.Add(f.open.Timeout)
	if changes, ok := f.open.Request.(ChangesRequest); !ok || changes.Wait == 0 || f.behindSince.IsZero() {
		return until
	}
	since := f.open.at
	if f.behindSince.After(since) {
		since = f.behindSince
	}
	if grace := since.Add(headGrace); grace.Before(until) {
		return grace
	}
	return until
}

// expire gives up the open request if it takes too long.
func (f *Follower) expire() []Action {
	if f.open == nil || f.now.Before(f.patience()) {
		return nil
	}
	late := f.now.Sub(f.open.at)
	ask := f.close(f.open.ID)
	if late < ask.Timeout {
		f.leave(ask.Server, avoidBehind, fmt.Errorf("%w: it does not give version %d", errLagging, f.head))
	} else {
		f.leave(ask.Server, avoidFailed, fmt.Errorf("no answer within %v", ask.Timeout))
	}
	return []Action{Cancel{ID: ask.ID}}
}

// errLagging is that a server has not come to a version that exists.
var errLagging = errors.New("the server is behind")

// leave turns away from a server for a while.
func (f *Follower) leave(server string, period time.Duration, fault error) {
	f.servers.avoid(server, f.now.Add(f.jitter.shorten(period)))
	f.fault = fmt.Sprintf("%s: %v", server, fault)
	f.failures++
	f.notUntil = f.now.Add(f.jitter.shorten(f.retryPause()))
}

// retryPause is short while there are servers that have not had their turn, and
// doubles from then on.
func (f *Follower) retryPause() time.Duration {
	const mostDoublings = 10
	doublings := min(max(0, f.failures-len(f.servers.order)), mostDoublings)
	return min(retryHighest, retryFirst<<doublings)
}

// useful notes a good answer.
func (f *Follower) useful() {
	f.failures = 0
	f.fault = ""
	f.contact = f.now
}

// next returns what is to be asked next, and from when on.
func (f *Follower) next() (openAsk, time.Time) {
	request, finish, debt := f.nextRequest()
	ask := openAsk{Ask: Ask{Request: request, Timeout: askTimeout}, finish: finish}
	if changes, ok := request.(ChangesRequest); ok {
		ask.Timeout += changes.Wait
	}
	ready := f.notUntil
	if paid := f.budget.readyAt(debt); paid.After(ready) {
		ready = paid
	}
	return ask, ready
}

// nextRequest returns the request, whether it finishes the repair, and how much debt
// the budget may have for it. Changes go before the ranges of a repair.
func (f *Follower) nextRequest() (request Request, finish bool, debt time.Duration) {
	digest := f.replica.Digest()
	changes := ChangesRequest{Since: f.replica.Version(), Digest: &digest}
	if f.repair == nil {
		changes.Wait = PollWait
		return changes, false, maxDebt
	}
	if f.replica.Version() > 0 && f.now.Sub(f.changesAskedAt) >= repairPoll {
		return changes, false, maxDebt
	}
	switch f.repair.Next() {
	case NeedDigests:
		return DigestsRequest{}, false, 0
	case NeedContent:
		return ContentRequest{Ranges: f.repair.Pending(), MaxBytes: chunkBytes}, false, 0
	}
	return ChangesRequest{Since: f.repair.Since()}, true, maxDebt
}

// ask asks for what is next if its time has come.
func (f *Follower) ask() []Action {
	if f.open != nil || len(f.servers.order) == 0 {
		return nil
	}
	next, ready := f.next()
	if f.now.Before(ready) {
		return nil
	}
	f.lastID++
	next.ID = f.lastID
	next.Server = f.servers.pick(f.now, f.failures > 0)
	next.at = f.now
	f.open = &next
	if _, ok := next.Request.(ChangesRequest); ok && !next.finish {
		f.changesAskedAt = f.now
	}
	return []Action{next.Ask}
}
