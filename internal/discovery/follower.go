package discovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Time limits of calls to discovery. Once a call has been open for its hedge delay, another
// call is opened beside it. The first is still read until its timeout, since the gateway counts
// as informed by a response that arrives.
const (
	watchHedgeDelay = watchTimeout + watchGrace
	watchCallLimit  = watchHedgeDelay + watchGrace // the gateway does not count as informed by a later response
	callLimit       = 5 * time.Second              // of calls other than watches

	pollHedgeDelayMin     = 1200 * time.Millisecond // between min and max: the staler the list, the shorter the delay
	pollHedgeDelayMax     = 2 * time.Second
	pollHedgeDelaySlowMax = 3 * time.Second // max while responses are slow
	pollHedgeFactor       = 1.25            // a poll is slow after this many times the slowest recent response
	maxOpenCalls          = 2
)

// Intervals between calls to an overloaded discovery.
const (
	maxStaleness    = 6 * time.Second        // within which a change must be known
	responseReserve = 800 * time.Millisecond // part of maxStaleness reserved for the next response
	hedgeReserve    = 1 * time.Second        // part reserved for the hedged call beside a slow poll
	retryReserve    = 2 * time.Second        // part reserved for a call after a refusal, which may be refused as well

	pollIntervalInitial = 3 * time.Second // from the opening of an answered poll to that of the next
	pollIntervalMin     = 2500 * time.Millisecond
	pollIntervalMax     = 4 * time.Second
	pollIntervalSlowMin = 2 * time.Second // min while responses are slow
	pollIntervalGrowth  = 1.3             // factor at a refusal
	pollIntervalDecay   = 0.95            // factor at a response
	pollIntervalJitter  = 0.2             // random fraction of the interval
	slowestDecay        = 0.9             // factor on the slowest recent response at each further one
	minPause            = 100 * time.Millisecond

	backoffInitial     = 1 * time.Second // maximum delay of the first call after a refusal
	backoffFactor      = 1.5
	backoffMax         = 2500 * time.Millisecond
	backoffUrgent      = 500 * time.Millisecond // maximum delay while the list is about to become too stale
	urgentTime         = maxStaleness           // for how long; after that, a discovery that still refuses is relieved
	backoffMinFraction = 0.2                    // of the maximum delay

	fastResponse     = 100 * time.Millisecond // a discovery that is not overloaded answers polls within this time
	maxFastNeeded    = 64
	maxSilentWatches = 3 // without a response in a row; then the follower polls
)

// never is a time that is not reached.
const never = time.Duration(1<<63 - 1)

// callKind is what a call requests.
type callKind int

const (
	fullList callKind = iota
	watch             // changes, as soon as there are any
	poll              // changes up to now
)

// call is one call to discovery. Times are durations since the follower was created.
type call struct {
	id             int
	kind           callKind
	since          int64 // the generation it requests changes from; unused for a full list
	appliedAtStart int   // listings that had been applied when it was opened
	openedAt       time.Duration
	hedgeAt        time.Duration // when another call is opened beside it
	expiresAt      time.Duration // when it is cancelled
	overdue        bool          // hedgeAt has passed
}

// step is what the caller of advance must do now, and when to call it again.
type step struct {
	overdue bool  // the newest call has just reached its hedgeAt
	expired []int // calls to cancel
	opened  *call // a call to make; nil for none
	wakeAt  time.Duration
}

// follower decides when to call discovery and how, and which responses to apply. It has no clock
// and does no I/O: each method receives the time since the follower was created.
//
// While calls are answered it keeps a watch open. A refusal shows that discovery is overloaded.
// From then on the follower polls, at random intervals that spread the calls of the fleet and keep
// the list at most maxStaleness old, until polls are answered fast again.
type follower struct {
	since   int64 // the generation that is known
	synced  bool  // changes can be requested from since; otherwise the next call requests the full list
	applied int   // listings applied

	random  *rand.Rand
	calls   []call // open calls, oldest first
	lastID  int
	nextAt  time.Duration // when the next call is opened
	polling bool          // discovery is overloaded

	freshAt         time.Duration // the changes that discovery had at this time are known
	refusals        int           // since the last response
	silentWatches   int           // watches without a response in a row
	pollInterval    time.Duration
	slowestResponse time.Duration // of recent full lists and polls, from opening to response
	fastResponses   int           // polls answered fast in a row
	fastNeeded      int           // fast responses needed before the next watch
}

func newFollower(seed uint64) *follower {
	return &follower{random: rand.New(rand.NewPCG(seed, 0)), pollInterval: pollIntervalInitial}
}

// advance returns what must be done at the given time.
func (f *follower) advance(now time.Duration) step {
	var s step
	if c := f.newest(); c != nil && !c.overdue && now >= c.hedgeAt {
		c.overdue, s.overdue = true, true
		f.scheduleHedge(c.kind, now)
	}
	f.calls = slices.DeleteFunc(f.calls, func(c call) bool {
		if now >= c.expiresAt {
			s.expired = append(s.expired, c.id)
			return true
		}
		return false
	})
	if now >= f.nextAt && len(f.calls) < maxOpenCalls {
		s.opened = f.open(now)
	}
	s.wakeAt = f.wakeAt()
	return s
}

// wakeAt returns when advance must be called next.
func (f *follower) wakeAt() time.Duration {
	at := never
	if len(f.calls) < maxOpenCalls {
		at = f.nextAt
	}
	for _, c := range f.calls {
		at = min(at, c.expiresAt)
	}
	if c := f.newest(); c != nil && !c.overdue {
		at = min(at, c.hedgeAt)
	}
	return at
}

// newest returns the call that was opened last, nil if it is no longer open.
func (f *follower) newest() *call {
	if n := len(f.calls); n > 0 && f.calls[n-1].id == f.lastID {
		return &f.calls[n-1]
	}
	return nil
}

// open opens the next call.
func (f *follower) open(now time.Duration) *call {
	f.lastID++
	c := call{id: f.lastID, since: f.since, appliedAtStart: f.applied, openedAt: now}
	switch {
	case !f.synced:
		c.kind, c.hedgeAt, c.expiresAt = fullList, now+listTimeout, now+callLimit
	case f.polling:
		staleAt := f.freshAt + maxStaleness - hedgeReserve
		maxDelay := max(pollHedgeDelayMax, min(time.Duration(pollHedgeFactor*float64(f.slowestResponse)), pollHedgeDelaySlowMax))
		c.kind, c.hedgeAt, c.expiresAt = poll, now+min(max(staleAt-now, pollHedgeDelayMin), maxDelay), now+callLimit
	default:
		c.kind, c.hedgeAt, c.expiresAt = watch, now+watchHedgeDelay, now+watchCallLimit
	}
	f.calls = append(f.calls, c)
	f.nextAt = never
	return &c
}

// scheduleHedge schedules the call beside an overdue one.
func (f *follower) scheduleHedge(overdue callKind, now time.Duration) {
	f.nextAt = now + retryDelay
	switch overdue {
	case watch:
		f.silentWatches++
		if f.silentWatches >= maxSilentWatches {
			f.startPolling()
		}
	case poll:
		f.nextAt = now
	}
}

// remove removes a call that has ended. isLast reports whether no call was opened after it, and
// ok is false for a call that had expired.
func (f *follower) remove(id int) (c call, isLast, ok bool) {
	at := slices.IndexFunc(f.calls, func(c call) bool { return c.id == id })
	if at < 0 {
		return call{}, false, false
	}
	c = f.calls[at]
	f.calls = slices.Delete(f.calls, at, at+1)
	return c, id == f.lastID, true
}

// handleListing applies a response. It returns the listing to pass on, nil if the response
// contains nothing new, and an error for changes that can't be applied.
func (f *follower) handleListing(id int, l Listing, now time.Duration) (*Listing, error) {
	c, isLast, ok := f.remove(id)
	if !ok {
		return nil, nil
	}
	isDelta := c.kind != fullList && !l.Reset
	overtaken := c.appliedAtStart != f.applied // by the response to another call
	if !overtaken && isDelta && l.Generation < f.since {
		// These changes are older than the known generation: applying them would restore backends that are gone.
		f.synced = false
		f.scheduleRetry(isLast, now)
		return nil, fmt.Errorf("changes of generation %d are older than the known generation %d", l.Generation, f.since)
	}
	f.recordResponse(c, now)
	if overtaken && (l.Generation <= f.since || isDelta && c.since > f.since) {
		f.scheduleNext(c, isLast, false, now)
		return nil, nil
	}
	l.Reset = !isDelta
	f.since, f.synced = l.Generation, true
	f.applied++
	f.scheduleNext(c, isLast, true, now)
	return &l, nil
}

// recordResponse updates the measurements of discovery's response times.
func (f *follower) recordResponse(c call, now time.Duration) {
	duration := now - c.openedAt
	f.freshAt = max(f.freshAt, c.openedAt)
	f.refusals, f.silentWatches = 0, 0
	if c.kind == watch {
		f.fastNeeded /= 2
	} else {
		f.slowestResponse = max(duration, time.Duration(slowestDecay*float64(f.slowestResponse)))
		f.pollInterval = max(pollIntervalMin, time.Duration(pollIntervalDecay*float64(f.pollInterval)))
	}
	f.fastResponses++
	if duration > fastResponse {
		f.fastResponses = 0
	}
}

// scheduleNext schedules the call after a response. applied says whether the response was
// applied: a watch that is still open then requests changes from an old generation.
func (f *follower) scheduleNext(c call, isLast, applied bool, now time.Duration) {
	newer := f.newest()
	switch {
	case newer != nil && (newer.kind == poll || !applied):
		return // the next call is scheduled when the newer one ends
	case !f.polling:
		f.nextAt = now
	case !isLast:
		return
	case f.fastResponses >= f.fastNeeded:
		f.polling, f.nextAt = false, now
	default:
		longest := min(max(maxStaleness-responseReserve-f.slowestResponse, pollIntervalSlowMin), f.pollInterval)
		f.nextAt = max(c.openedAt+f.jitter(longest, 1-pollIntervalJitter), now+minPause)
	}
}

// handleRefusal handles a call that discovery temporarily rejects.
func (f *follower) handleRefusal(id int, now time.Duration) {
	_, isLast, ok := f.remove(id)
	if !ok {
		return
	}
	f.startPolling()
	f.refusals++
	f.pollInterval = min(pollIntervalMax, time.Duration(pollIntervalGrowth*float64(f.pollInterval)))
	f.scheduleRetry(isLast, now)
}

// handleFailure handles a call that ended without a response.
func (f *follower) handleFailure(id int, now time.Duration) {
	if _, isLast, ok := f.remove(id); ok {
		f.scheduleRetry(isLast, now)
	}
}

// handleInvalid handles an invalid response. The generation may be the cause, so the next call
// requests the full list.
func (f *follower) handleInvalid(id int, now time.Duration) {
	c, isLast, ok := f.remove(id)
	if !ok {
		return
	}
	if c.appliedAtStart == f.applied {
		f.synced = false
	}
	f.scheduleRetry(isLast, now)
}

// scheduleRetry schedules the call after a failed one, unless another call was opened since.
func (f *follower) scheduleRetry(isLast bool, now time.Duration) {
	if !isLast {
		return
	}
	if !f.polling {
		f.nextAt = now + retryDelay
		return
	}
	maxDelay := backoffInitial
	for i := 1; i < f.refusals && maxDelay < backoffMax; i++ {
		maxDelay = min(backoffMax, time.Duration(backoffFactor*float64(maxDelay)))
	}
	if left := f.freshAt + maxStaleness - retryReserve - now; left > -urgentTime {
		maxDelay = min(maxDelay, max(left, backoffUrgent))
	}
	f.nextAt = now + f.jitter(maxDelay, backoffMinFraction)
}

// startPolling switches from watches to polls. The sooner this happens after the last return to
// watches, the more polls must be answered fast before the next watch.
func (f *follower) startPolling() {
	if f.polling {
		f.fastResponses = 0
		return
	}
	f.polling, f.fastResponses = true, 0
	f.fastNeeded = min(max(2*f.fastNeeded, 1), maxFastNeeded)
}

// jitter returns a random duration between minFraction of longest and longest.
func (f *follower) jitter(longest time.Duration, minFraction float64) time.Duration {
	return time.Duration((minFraction + (1-minFraction)*f.random.Float64()) * float64(longest))
}
