package discovery

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of calls to discovery. A call that is due has another opened beside it and is
// still read until its end, since an answer that arrives counts as told.
const (
	watchDue    = watchWait + watchGrace
	watchEnd    = watchDue + watchGrace   // nothing the watch may bring counts as told later
	callEnd     = 5 * time.Second         // of the other calls
	pollDueLow  = 1200 * time.Millisecond // a poll is due between these two, the earlier the staler the list
	pollDueHigh = 2 * time.Second
	pollDueMost = 3 * time.Second // where answers take long
	overSlowest = 1.25            // times the slowest answer of late: then a poll is late
	mostCalls   = 2               // open at once
)

// Pace of calls to a crowded discovery.
const (
	toldWithin   = 6 * time.Second        // a change has to be known so long after discovery had it
	answerTime   = 800 * time.Millisecond // kept of that for the next answer
	dueReserve   = 1 * time.Second        // kept of it for the call beside a poll that is late
	retryReserve = 2 * time.Second        // and for a call after a refusal, which may be refused as well
	gapStart     = 3 * time.Second        // from one answered poll to the next, opening to opening
	gapLow       = 2500 * time.Millisecond
	gapHigh      = 4 * time.Second
	gapLeast     = 2 * time.Second // where answers take long
	gapGrowth    = 1.3             // at a refusal
	gapDecay     = 0.95            // at an answer
	gapSpread    = 0.2             // share of the gap that is drawn at random
	slowDecay    = 0.9             // of the slowest answer, at each further one
	shortPause   = 100 * time.Millisecond

	backoffStart  = 1 * time.Second // window of the first call after a refusal
	backoffGrowth = 1.5
	backoffHigh   = 2500 * time.Millisecond
	backoffUrgent = 500 * time.Millisecond // window where the list is about to be too stale
	urgentFor     = toldWithin             // after that time a crowd that still refuses is spared
	backoffLeast  = 0.2                    // share of the window that always passes

	quickAnswer     = 100 * time.Millisecond // an agent that is not crowded answers at once
	mostQuickNeeded = 64
	mostSilent      = 3 // watches without an answer; then polls
)

// never is a time that does not come.
const never = time.Duration(1<<63 - 1)

// form is what a call asks for.
type form int

const (
	wholeList form = iota // all there are
	watch                 // changes, as soon as there are any
	poll                  // changes up to now
)

// call is one call to discovery. Times are durations since the follower began.
type call struct {
	id      int
	form    form
	since   int64 // the version it names; none for a whole list
	taken   int   // answers that had been taken in when it was opened
	began   time.Duration
	due     time.Duration // another is opened beside it
	end     time.Duration // it is given up
	overdue bool
}

// step is what has to be done now, and when to look again.
type step struct {
	overdue bool  // the newest call has just become due
	ended   []int // calls that are given up
	opened  *call // a call to make; nil for none
	wake    time.Duration
}

// follower decides when discovery is called and in which form, and which answers are
// taken in. It has no clock and does no I/O: each method is told the time since it began.
//
// While calls are answered it keeps a watch open. A refusal shows that discovery is
// crowded: from then on it polls, at random distances that keep the fleet apart and a
// change known within toldWithin, until polls are answered at once again.
type follower struct {
	since  int64 // the version that is known
	listed bool  // a version is known that changes can be asked for from
	taken  int   // answers taken in

	random  *rand.Rand
	calls   []call // open, oldest first
	lastID  int
	next    time.Duration // when the next call is opened
	crowded bool

	fresh       time.Duration // what discovery had by then is known
	refusals    int           // since the last answer
	silent      int           // watches without an answer, one after another
	gap         time.Duration
	slowest     time.Duration // of late, from opening to answer
	quick       int           // polls answered at once, one after another
	quickNeeded int           // of those, before the next watch
}

func newFollower(seed uint64) *follower {
	return &follower{random: rand.New(rand.NewPCG(seed, 0)), gap: gapStart}
}

// advance returns what has to be done at a time.
func (f *follower) advance(now time.Duration) step {
	var s step
	if c := f.newest(); c != nil && !c.overdue && now >= c.due {
		c.overdue, s.overdue = true, true
		f.pastDue(c.form, now)
	}
	f.calls = slices.DeleteFunc(f.calls, func(c call) bool {
		if now >= c.end {
			s.ended = append(s.ended, c.id)
			return true
		}
		return false
	})
	if now >= f.next && len(f.calls) < mostCalls {
		s.opened = f.open(now)
	}
	s.wake = f.wake()
	return s
}

// wake is when advance has something to do again.
func (f *follower) wake() time.Duration {
	at := never
	if len(f.calls) < mostCalls {
		at = f.next
	}
	for _, c := range f.calls {
		at = min(at, c.end)
	}
	if c := f.newest(); c != nil && !c.overdue {
		at = min(at, c.due)
	}
	return at
}

// newest is the call that was opened last, if it is still open.
func (f *follower) newest() *call {
	if n := len(f.calls); n > 0 && f.calls[n-1].id == f.lastID {
		return &f.calls[n-1]
	}
	return nil
}

func (f *follower) open(now time.Duration) *call {
	f.lastID++
	c := call{id: f.lastID, since: f.since, taken: f.taken, began: now}
	switch {
	case !f.listed:
		c.form, c.due, c.end = wholeList, now+listTimeout, now+callEnd
	case f.crowded:
		stale := f.fresh + toldWithin - dueReserve
		latest := max(pollDueHigh, min(time.Duration(overSlowest*float64(f.slowest)), pollDueMost))
		c.form, c.due, c.end = poll, now+min(max(stale-now, pollDueLow), latest), now+callEnd
	default:
		c.form, c.due, c.end = watch, now+watchDue, now+watchEnd
	}
	f.calls = append(f.calls, c)
	f.next = never
	return &c
}

// pastDue plans the call beside one that is due.
func (f *follower) pastDue(was form, now time.Duration) {
	f.next = now + watchRetry
	switch was {
	case watch:
		f.silent++
		if f.silent >= mostSilent {
			f.enterCrowd()
		}
	case poll:
		f.next = now
	}
}

// close removes a call that has ended. It reports false for one that was given up.
func (f *follower) close(id int) (c call, last, ok bool) {
	at := slices.IndexFunc(f.calls, func(c call) bool { return c.id == id })
	if at < 0 {
		return call{}, false, false
	}
	c = f.calls[at]
	f.calls = slices.Delete(f.calls, at, at+1)
	return c, id == f.lastID, true
}

// answered takes in an answer. It returns the listing to hand on, nil where the answer
// brings nothing that is not known, and an error for changes that can't be right.
func (f *follower) answered(id int, l Listing, now time.Duration) (*Listing, error) {
	c, last, ok := f.close(id)
	if !ok {
		return nil, nil
	}
	changes := c.form != wholeList && !l.Reset
	overtaken := c.taken != f.taken // by another answer
	if !overtaken && changes && l.Generation < f.since {
		// Danger: what it calls changes is older than what is known, and would put back what has gone.
		f.listed = false
		f.retry(last, now)
		return nil, fmt.Errorf("changes of version %d after %d", l.Generation, f.since)
	}
	f.measure(c, now)
	if overtaken && (l.Generation <= f.since || changes && c.since > f.since) {
		f.plan(c, last, false, now)
		return nil, nil
	}
	l.Reset = !changes
	f.since, f.listed = l.Generation, true
	f.taken++
	f.plan(c, last, true, now)
	return &l, nil
}

// measure takes note of how a call was answered.
func (f *follower) measure(c call, now time.Duration) {
	took := now - c.began
	f.fresh = max(f.fresh, c.began)
	f.refusals, f.silent = 0, 0
	if c.form == watch {
		f.quickNeeded /= 2
	} else {
		f.slowest = max(took, time.Duration(slowDecay*float64(f.slowest)))
		f.gap = max(gapLow, time.Duration(gapDecay*float64(f.gap)))
	}
	f.quick++
	if took > quickAnswer {
		f.quick = 0
	}
}

// plan sets when the call after an answer is opened. News tells whether the answer was
// taken in: a watch that is still open then names an old version.
func (f *follower) plan(c call, last, news bool, now time.Duration) {
	newer := f.newest()
	switch {
	case newer != nil && (newer.form == poll || !news):
		return // what comes next is planned when that one ends
	case !f.crowded:
		f.next = now
	case !last:
		return
	case f.quick >= f.quickNeeded:
		f.crowded, f.next = false, now
	default:
		longest := min(max(toldWithin-answerTime-f.slowest, gapLeast), f.gap)
		f.next = max(c.began+f.within(longest, 1-gapSpread), now+shortPause)
	}
}

// refused takes note that discovery turned a call away for now.
func (f *follower) refused(id int, now time.Duration) {
	_, last, ok := f.close(id)
	if !ok {
		return
	}
	f.enterCrowd()
	f.refusals++
	f.gap = min(gapHigh, time.Duration(gapGrowth*float64(f.gap)))
	f.retry(last, now)
}

// broken takes note of a call that ended without an answer.
func (f *follower) broken(id int, now time.Duration) {
	if _, last, ok := f.close(id); ok {
		f.retry(last, now)
	}
}

// rejected takes note of an answer that is none. The version may be the trouble, so the
// next call asks for the whole list.
func (f *follower) rejected(id int, now time.Duration) {
	c, last, ok := f.close(id)
	if !ok {
		return
	}
	if c.taken == f.taken {
		f.listed = false
	}
	f.retry(last, now)
}

// retry plans the call after one that failed. Last tells whether none was opened since.
func (f *follower) retry(last bool, now time.Duration) {
	if !last {
		return
	}
	if !f.crowded {
		f.next = now + watchRetry
		return
	}
	window := backoffStart
	for i := 1; i < f.refusals && window < backoffHigh; i++ {
		window = min(backoffHigh, time.Duration(backoffGrowth*float64(window)))
	}
	if left := f.fresh + toldWithin - retryReserve - now; left > -urgentFor {
		window = min(window, max(left, backoffUrgent))
	}
	f.next = now + f.within(window, backoffLeast)
}

// enterCrowd goes over to polls. The sooner after the last return, the more of them have
// to be answered at once before the next watch.
func (f *follower) enterCrowd() {
	if f.crowded {
		f.quick = 0
		return
	}
	f.crowded, f.quick = true, 0
	f.quickNeeded = min(max(2*f.quickNeeded, 1), mostQuickNeeded)
}

// within draws a duration from least, a share of longest, up to longest.
func (f *follower) within(longest time.Duration, least float64) time.Duration {
	return time.Duration((least + (1-least)*f.random.Float64()) * float64(longest))
}
