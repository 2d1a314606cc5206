package discovery

import (
	"testing"
	"time"
)

// String names the kind in messages.
func (k callKind) String() string { return [...]string{"full list", "watch", "poll"}[k] }

// nextCall advances the follower until it opens a call, which must be of the wanted kind, and
// returns the call and the time.
func nextCall(t *testing.T, f *follower, want callKind) (call, time.Duration) {
	t.Helper()
	for now := f.wakeAt(); now != never; now = f.wakeAt() {
		if s := f.advance(now); s.opened != nil {
			if s.opened.kind != want {
				t.Fatalf("at %v: call of kind %v, want %v", now, s.opened.kind, want)
			}
			return *s.opened, now
		}
	}
	t.Fatal("no further call is scheduled")
	panic("unreachable")
}

// newWatching returns a follower that knows generation 1 and has just opened a watch, the watch
// and the time.
func newWatching(t *testing.T) (f *follower, c call, now time.Duration) {
	t.Helper()
	f = newFollower(1)
	c, now = nextCall(t, f, fullList)
	if _, err := f.handleListing(c.id, Listing{Generation: 1}, now); err != nil {
		t.Fatal(err)
	}
	c, now = nextCall(t, f, watch)
	return f, c, now
}

// newPolling returns a follower that was refused and has just opened its first poll, the poll
// and the time.
func newPolling(t *testing.T) (f *follower, c call, now time.Duration) {
	t.Helper()
	f, c, now = newWatching(t)
	f.handleRefusal(c.id, now)
	c, now = nextCall(t, f, poll)
	return f, c, now
}

// While discovery is not overloaded, the next watch is opened at once, from the new generation.
func TestNextWatchOpensAtOnce(t *testing.T) {
	f, c, now := newWatching(t)
	for g := int64(2); g < 10; g++ {
		now += watchTimeout
		l, err := f.handleListing(c.id, Listing{Generation: g}, now)
		if err != nil || l == nil || l.Generation != g || l.Reset {
			t.Fatalf("%+v, %v", l, err)
		}
		next, at := nextCall(t, f, watch)
		if at != now || next.since != g {
			t.Errorf("opened at %v from generation %d, want %v and %d", at, next.since, now, g)
		}
		c = next
	}
}

// Each kind of failure is followed by a call of the right kind after the right delay.
func TestRetryAfterFailure(t *testing.T) {
	for name, failure := range map[string]struct {
		handle func(*follower, int, time.Duration)
		next   callKind
	}{
		"a failed call keeps the generation":                 {(*follower).handleFailure, watch},
		"an invalid response discards the generation":        {(*follower).handleInvalid, fullList},
		"changes older than the known generation discard it": {func(f *follower, id int, now time.Duration) { f.handleListing(id, Listing{Generation: 0}, now) }, fullList},
		"a refusal keeps the generation for the poll":        {(*follower).handleRefusal, poll},
	} {
		t.Run(name, func(t *testing.T) {
			f, c, now := newWatching(t)
			failure.handle(f, c.id, now)
			next, at := nextCall(t, f, failure.next)
			if next.kind == fullList != !f.synced || next.kind != fullList && next.since != 1 {
				t.Errorf("%+v", next)
			}
			if at < now+retryDelay || at > now+backoffInitial || next.kind != poll && at != now+retryDelay {
				t.Errorf("%v after the failure", at-now)
			}
		})
	}
}

// A watch without a response is hedged by another one and is still read until its own timeout.
func TestHedgeOfSilentWatch(t *testing.T) {
	f, first, now := newWatching(t)
	second, at := nextCall(t, f, watch)
	if want := now + watchHedgeDelay + retryDelay; at != want {
		t.Errorf("the second watch opened at %v, want %v", at, want)
	}
	if len(f.calls) != 2 {
		t.Fatalf("%d calls are open", len(f.calls))
	}
	if s := f.advance(now + watchCallLimit); len(s.expired) != 1 || s.expired[0] != first.id {
		t.Errorf("expired calls %v, want the first", s.expired)
	}
	if l, err := f.handleListing(first.id, Listing{Generation: 9}, now+watchCallLimit); l != nil || err != nil || f.since != 1 {
		t.Errorf("a response to an expired call was applied: %+v, %v", l, err)
	}
	if l, err := f.handleListing(second.id, Listing{Generation: 2}, now+watchCallLimit); err != nil || l == nil {
		t.Errorf("%+v, %v", l, err)
	}
}

// After several watches without a response the follower polls.
func TestPollingAfterSilentWatches(t *testing.T) {
	f, _, _ := newWatching(t)
	for range maxSilentWatches - 1 {
		nextCall(t, f, watch)
	}
	nextCall(t, f, poll)
}

// A late response is applied, and a new watch is opened: the call that was opened beside the late
// one requests changes from an old generation.
func TestLateResponseIsApplied(t *testing.T) {
	f := newFollower(1)
	first, _ := nextCall(t, f, fullList)
	second, now := nextCall(t, f, fullList)
	if l, err := f.handleListing(first.id, Listing{Generation: 5}, now); err != nil || l == nil || !l.Reset {
		t.Fatalf("%+v, %v", l, err)
	}
	third, at := nextCall(t, f, watch)
	if at != now || third.since != 5 {
		t.Errorf("at %v: %+v, want a watch from generation 5 at %v", at, third, now)
	}
	if l, err := f.handleListing(second.id, Listing{Generation: 5}, now); l != nil || err != nil {
		t.Errorf("a known listing was applied again: %+v, %v", l, err)
	}
	if s := f.advance(now); s.opened != nil {
		t.Errorf("%+v was opened beside the watch", s.opened)
	}
}

// A response that was overtaken by that of another call is applied only if it is newer.
func TestOvertakenResponse(t *testing.T) {
	for name, c := range map[string]struct {
		response Listing
		applied  bool
	}{
		"older changes":       {Listing{Generation: 2}, false},
		"an older full list":  {Listing{Generation: 2, Reset: true}, false},
		"the same generation": {Listing{Generation: 3}, false},
		"newer changes":       {Listing{Generation: 4}, true},
		"a newer full list":   {Listing{Generation: 4, Reset: true}, true},
		"nothing changed":     {Listing{Generation: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, first, _ := newWatching(t)
			second, now := nextCall(t, f, watch)
			if _, err := f.handleListing(second.id, Listing{Generation: 3}, now); err != nil {
				t.Fatal(err)
			}
			l, err := f.handleListing(first.id, c.response, now)
			if err != nil || (l != nil) != c.applied || !f.synced {
				t.Errorf("%+v, %v", l, err)
			}
			want := int64(3)
			if c.applied {
				want = 4
			}
			if next, _ := nextCall(t, f, watch); next.since != want {
				t.Errorf("the next watch is from generation %d, want %d", next.since, want)
			}
			if len(f.calls) != 1 {
				t.Errorf("%d calls are open", len(f.calls))
			}
		})
	}
}

// Generations restart with discovery. Changes sent before a restart must not be applied after it,
// although their generation is higher.
func TestChangesFromBeforeDiscoveryRestart(t *testing.T) {
	f, c, now := newWatching(t)
	if _, err := f.handleListing(c.id, Listing{Generation: 40}, now); err != nil {
		t.Fatal(err)
	}
	first, _ := nextCall(t, f, watch)
	second, now := nextCall(t, f, watch)
	if l, err := f.handleListing(second.id, Listing{Generation: 2, Reset: true}, now); err != nil || l == nil || f.since != 2 {
		t.Fatalf("%+v, %v", l, err)
	}
	if l, err := f.handleListing(first.id, Listing{Generation: 41}, now); l != nil || err != nil || f.since != 2 {
		t.Errorf("%+v, %v", l, err)
	}
}

// Polls are randomly spaced, close enough for a change to be known in time.
func TestPollSpacing(t *testing.T) {
	f, c, now := newPolling(t)
	intervals := map[time.Duration]bool{}
	for range 100 {
		openedAt := now
		now += 3 * fastResponse
		if _, err := f.handleListing(c.id, Listing{Generation: 1}, now); err != nil {
			t.Fatal(err)
		}
		c, now = nextCall(t, f, poll)
		interval := now - openedAt
		if interval < 2*time.Second || interval > maxStaleness-2*time.Second {
			t.Fatalf("interval of %v between polls", interval)
		}
		intervals[interval] = true
	}
	if len(intervals) < 90 {
		t.Errorf("%d different intervals among 100, want at least 90", len(intervals))
	}
}

// Refusals increase the delay before the next call, less so while the list is about to become too
// stale.
func TestBackoffAfterRefusals(t *testing.T) {
	f, c, now := newPolling(t)
	f.freshAt = now + time.Hour // the list is not stale
	longest := time.Duration(0)
	for range 30 {
		f.handleRefusal(c.id, now)
		next, at := nextCall(t, f, poll)
		if at-now < minPause || at-now > backoffMax {
			t.Fatalf("delay of %v after a refusal", at-now)
		}
		longest = max(longest, at-now)
		c, now = next, at
	}
	if longest < backoffInitial || f.pollInterval != pollIntervalMax {
		t.Errorf("delays of at most %v and a poll interval of %v, want at least %v and exactly %v", longest, f.pollInterval, backoffInitial, pollIntervalMax)
	}
	// The staler the list, the sooner the next call, until the list has been stale for long.
	for stale, limit := range map[time.Duration]time.Duration{maxStaleness: backoffUrgent, maxStaleness / 2: maxStaleness/2 - retryReserve, 3 * maxStaleness: backoffMax} {
		longest := time.Duration(0)
		for range 50 {
			f.freshAt = now - stale
			f.handleRefusal(c.id, now)
			next, at := nextCall(t, f, poll)
			longest = max(longest, at-now)
			c, now = next, at
		}
		if longest > limit || longest < limit*8/10 {
			t.Errorf("longest delay after refusals is %v with a list %v old, want up to %v", longest, stale, limit)
		}
	}
}

// A poll without a response stays open beside the next one until its own timeout, and at most two
// calls are open.
func TestHedgeOfUnansweredPoll(t *testing.T) {
	f, first, now := newPolling(t)
	second, at := nextCall(t, f, poll)
	if at-now < pollHedgeDelayMin || at-now > pollHedgeDelayMax || len(f.calls) != 2 {
		t.Fatalf("hedged after %v, %d calls open", at-now, len(f.calls))
	}
	_, third := nextCall(t, f, poll) // opened only when the first expires
	if third != now+callLimit || len(f.calls) != 2 || f.calls[0].id != second.id {
		t.Errorf("the third poll opened %v after the first, open calls %+v", third-now, f.calls)
	}
	if l, err := f.handleListing(first.id, Listing{Generation: 2}, third); l != nil || err != nil {
		t.Errorf("%+v, %v", l, err)
	}
	if l, err := f.handleListing(second.id, Listing{Generation: 2}, third); l == nil || err != nil {
		t.Errorf("%+v, %v", l, err)
	}
}

// Fast responses to polls lead back to a watch. Each time the watch is refused, more fast responses
// are needed for the next one.
func TestReturnToWatch(t *testing.T) {
	f, c, now := newPolling(t)
	for needed := 1; needed <= maxFastNeeded; needed *= 2 {
		for range needed - 1 {
			f.handleListing(c.id, Listing{Generation: 1}, now)
			c, now = nextCall(t, f, poll)
		}
		f.handleListing(c.id, Listing{Generation: 1}, now)
		var at time.Duration
		if c, at = nextCall(t, f, watch); at != now {
			t.Fatalf("the watch opened %v after the poll", at-now)
		}
		f.handleRefusal(c.id, now)
		c, now = nextCall(t, f, poll)
	}
	if f.fastNeeded != maxFastNeeded {
		t.Errorf("%d fast responses needed, want the maximum of %d", f.fastNeeded, maxFastNeeded)
	}
}

// Slow responses do not lead back to a watch, and the next poll follows soon.
func TestSlowResponsesPreventWatches(t *testing.T) {
	f, c, now := newPolling(t)
	for range 20 {
		openedAt := now
		now += 3 * time.Second
		f.handleListing(c.id, Listing{Generation: 1}, now)
		c, now = nextCall(t, f, poll)
		if now-openedAt > 3*time.Second+minPause {
			t.Fatalf("interval of %v between polls", now-openedAt)
		}
	}
}

// In any sequence of events at most two calls are open, and another wake-up is scheduled.
func FuzzFollower(fuzz *testing.F) {
	fuzz.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	fuzz.Add([]byte("\x01\x01\x05\x05\x05\x05\x02\x02\x03\x03\x04\x04"))
	fuzz.Fuzz(func(t *testing.T, script []byte) {
		f := newFollower(7)
		now := time.Duration(0)
		for _, b := range script {
			f.advance(now)
			if len(f.calls) > maxOpenCalls {
				t.Fatalf("%d calls are open", len(f.calls))
			}
			wakeAt := f.wakeAt()
			if wakeAt == never || wakeAt-now > watchCallLimit {
				t.Fatalf("the next wake-up is %v away", wakeAt-now)
			}
			id := f.lastID - int(b>>3&1)
			switch b & 7 {
			case 0, 1:
				f.handleListing(id, Listing{Generation: int64(b >> 4), Reset: b&1 == 1}, now)
			case 2:
				f.handleRefusal(id, now)
			case 3:
				f.handleFailure(id, now)
			case 4:
				f.handleInvalid(id, now)
			default:
				now = max(wakeAt, now)
			}
		}
	})
}
