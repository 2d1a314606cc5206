package discovery

import (
	"testing"
	"time"
)

// form names for messages.
func (f form) String() string { return [...]string{"whole list", "watch", "poll"}[f] }

// opened lets the follower act at its next wake, and returns the call that it opens.
func opened(t *testing.T, f *follower, want form) (call, time.Duration) {
	t.Helper()
	for now := f.wake(); now != never; now = f.wake() {
		if s := f.advance(now); s.opened != nil {
			if s.opened.form != want {
				t.Fatalf("at %v: a %v, want a %v", now, s.opened.form, want)
			}
			return *s.opened, now
		}
	}
	t.Fatal("no call is opened any more")
	panic("unreachable")
}

// watching returns a follower of version 1 with its watch, opened at the time.
func watching(t *testing.T) (f *follower, c call, now time.Duration) {
	t.Helper()
	f = newFollower(1)
	c, now = opened(t, f, wholeList)
	if _, err := f.answered(c.id, Listing{Generation: 1}, now); err != nil {
		t.Fatal(err)
	}
	c, now = opened(t, f, watch)
	return f, c, now
}

// polling returns one that was refused, with its first poll.
func polling(t *testing.T) (f *follower, c call, now time.Duration) {
	t.Helper()
	f, c, now = watching(t)
	f.refused(c.id, now)
	c, now = opened(t, f, poll)
	return f, c, now
}

func TestUncrowdedWatchIsOpenedAgainAtOnce(t *testing.T) {
	f, c, now := watching(t)
	for g := int64(2); g < 10; g++ {
		now += watchWait
		l, err := f.answered(c.id, Listing{Generation: g}, now)
		if err != nil || l == nil || l.Generation != g || l.Reset {
			t.Fatalf("%+v, %v", l, err)
		}
		next, at := opened(t, f, watch)
		if at != now || next.since != g {
			t.Errorf("opened at %v from version %d, want %v and %d", at, next.since, now, g)
		}
		c = next
	}
}

func TestPauseAfterAFailure(t *testing.T) {
	for name, fails := range map[string]struct {
		end  func(*follower, int, time.Duration)
		next form
	}{
		"a broken call goes on from its version":   {(*follower).broken, watch},
		"a bad answer costs the version":           {(*follower).rejected, wholeList},
		"changes that are older cost it too":       {func(f *follower, id int, now time.Duration) { f.answered(id, Listing{Generation: 0}, now) }, wholeList},
		"a refusal keeps the version, in its poll": {(*follower).refused, poll},
	} {
		t.Run(name, func(t *testing.T) {
			f, c, now := watching(t)
			fails.end(f, c.id, now)
			next, at := opened(t, f, fails.next)
			if next.form == wholeList != !f.listed || next.form != wholeList && next.since != 1 {
				t.Errorf("%+v", next)
			}
			if at < now+watchRetry || at > now+backoffStart || next.form != poll && at != now+watchRetry {
				t.Errorf("%v after the failure", at-now)
			}
		})
	}
}

func TestSilentWatchIsOpenedAnewAndStillReadForAWhile(t *testing.T) {
	f, first, now := watching(t)
	second, at := opened(t, f, watch)
	if want := now + watchDue + watchRetry; at != want {
		t.Errorf("opened anew at %v, want %v", at, want)
	}
	if len(f.calls) != 2 {
		t.Fatalf("%d calls are open", len(f.calls))
	}
	if s := f.advance(now + watchEnd); len(s.ended) != 1 || s.ended[0] != first.id {
		t.Errorf("ended %v", s.ended)
	}
	if l, err := f.answered(first.id, Listing{Generation: 9}, now+watchEnd); l != nil || err != nil || f.since != 1 {
		t.Errorf("an answer to a call that was given up: %+v, %v", l, err)
	}
	if l, err := f.answered(second.id, Listing{Generation: 2}, now+watchEnd); err != nil || l == nil {
		t.Errorf("%+v, %v", l, err)
	}
}

func TestSilentWatchesGiveWayToPolls(t *testing.T) {
	f, _, _ := watching(t)
	for range mostSilent - 1 {
		opened(t, f, watch)
	}
	opened(t, f, poll)
}

// A late answer is taken in, and the call that was opened beside it is not left to bring
// the next change: it names an old version.
func TestLateAnswerIsTakenIn(t *testing.T) {
	f := newFollower(1)
	first, _ := opened(t, f, wholeList)
	second, now := opened(t, f, wholeList)
	if l, err := f.answered(first.id, Listing{Generation: 5}, now); err != nil || l == nil || !l.Reset {
		t.Fatalf("%+v, %v", l, err)
	}
	third, at := opened(t, f, watch)
	if at != now || third.since != 5 {
		t.Errorf("at %v: %+v", at, third)
	}
	if l, err := f.answered(second.id, Listing{Generation: 5}, now); l != nil || err != nil {
		t.Errorf("what is known was taken in again: %+v, %v", l, err)
	}
	if n := f.advance(now); n.opened != nil {
		t.Errorf("%+v was opened beside the watch", n.opened)
	}
}

func TestAnswerThatAnotherOvertook(t *testing.T) {
	for name, c := range map[string]struct {
		answer Listing
		news   bool
	}{
		"older changes":   {Listing{Generation: 2}, false},
		"an older list":   {Listing{Generation: 2, Reset: true}, false},
		"the same":        {Listing{Generation: 3}, false},
		"newer changes":   {Listing{Generation: 4}, true},
		"a newer list":    {Listing{Generation: 4, Reset: true}, true},
		"nothing changed": {Listing{Generation: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f, first, _ := watching(t)
			second, now := opened(t, f, watch)
			if _, err := f.answered(second.id, Listing{Generation: 3}, now); err != nil {
				t.Fatal(err)
			}
			l, err := f.answered(first.id, c.answer, now)
			if err != nil || (l != nil) != c.news || !f.listed {
				t.Errorf("%+v, %v", l, err)
			}
			want := int64(3)
			if c.news {
				want = 4
			}
			if next, _ := opened(t, f, watch); next.since != want {
				t.Errorf("asked from %d, want %d", next.since, want)
			}
			if len(f.calls) != 1 {
				t.Errorf("%d calls are open", len(f.calls))
			}
		})
	}
}

// After a restart of discovery versions begin anew. Changes from before it are not taken for news.
func TestChangesFromBeforeARestartOfDiscovery(t *testing.T) {
	f, c, now := watching(t)
	if _, err := f.answered(c.id, Listing{Generation: 40}, now); err != nil {
		t.Fatal(err)
	}
	first, _ := opened(t, f, watch)
	second, now := opened(t, f, watch)
	if l, err := f.answered(second.id, Listing{Generation: 2, Reset: true}, now); err != nil || l == nil || f.since != 2 {
		t.Fatalf("%+v, %v", l, err)
	}
	if l, err := f.answered(first.id, Listing{Generation: 41}, now); l != nil || err != nil || f.since != 2 {
		t.Errorf("%+v, %v", l, err)
	}
}

func TestPollsAreApartAndInTime(t *testing.T) {
	f, c, now := polling(t)
	seen := map[time.Duration]bool{}
	for range 100 {
		began := now
		now += 3 * quickAnswer
		if _, err := f.answered(c.id, Listing{Generation: 1}, now); err != nil {
			t.Fatal(err)
		}
		c, now = opened(t, f, poll)
		apart := now - began
		if apart < 2*time.Second || apart > toldWithin-2*time.Second {
			t.Fatalf("polls %v apart", apart)
		}
		seen[apart] = true
	}
	if len(seen) < 90 {
		t.Errorf("%d distances among 100", len(seen))
	}
}

func TestRefusalsSpaceCallsOut(t *testing.T) {
	f, c, now := polling(t)
	f.fresh = now + time.Hour // no change is overdue
	latest := time.Duration(0)
	for range 30 {
		f.refused(c.id, now)
		next, at := opened(t, f, poll)
		if at-now < shortPause || at-now > backoffHigh {
			t.Fatalf("%v after a refusal", at-now)
		}
		latest = max(latest, at-now)
		c, now = next, at
	}
	if latest < backoffStart || f.gap != gapHigh {
		t.Errorf("pauses of %v at most, %v from poll to poll", latest, f.gap)
	}
	// The staler the list, the sooner the next, until it is stale for long.
	for stale, most := range map[time.Duration]time.Duration{toldWithin: backoffUrgent, toldWithin / 2: toldWithin/2 - retryReserve, 3 * toldWithin: backoffHigh} {
		longest := time.Duration(0)
		for range 50 {
			f.fresh = now - stale
			f.refused(c.id, now)
			next, at := opened(t, f, poll)
			longest = max(longest, at-now)
			c, now = next, at
		}
		if longest > most || longest < most*8/10 {
			t.Errorf("%v at most after refusals with a list %v old, want up to %v", longest, stale, most)
		}
	}
}

func TestPollThatIsNotAnsweredStaysBesideTheNext(t *testing.T) {
	f, first, now := polling(t)
	second, at := opened(t, f, poll)
	if at-now < pollDueLow || at-now > pollDueHigh || len(f.calls) != 2 {
		t.Fatalf("%v later, %d calls", at-now, len(f.calls))
	}
	_, third := opened(t, f, poll) // no more than two
	if third != now+callEnd || len(f.calls) != 2 || f.calls[0].id != second.id {
		t.Errorf("the third %v after the first, %+v", third-now, f.calls)
	}
	if l, err := f.answered(first.id, Listing{Generation: 2}, third); l != nil || err != nil {
		t.Errorf("%+v, %v", l, err)
	}
	if l, err := f.answered(second.id, Listing{Generation: 2}, third); l == nil || err != nil {
		t.Errorf("%+v, %v", l, err)
	}
}

// Answers at once lead back to the watch; the oftener that was refused, the more of them it takes.
func TestBackToTheWatch(t *testing.T) {
	f, c, now := polling(t)
	for needed := 1; needed <= mostQuickNeeded; needed *= 2 {
		for range needed - 1 {
			f.answered(c.id, Listing{Generation: 1}, now)
			c, now = opened(t, f, poll)
		}
		f.answered(c.id, Listing{Generation: 1}, now)
		var at time.Duration
		if c, at = opened(t, f, watch); at != now {
			t.Fatalf("the watch %v after the poll", at-now)
		}
		f.refused(c.id, now)
		c, now = opened(t, f, poll)
	}
	if f.quickNeeded != mostQuickNeeded {
		t.Errorf("%d needed, want %d at most", f.quickNeeded, mostQuickNeeded)
	}
}

func TestSlowAnswersAreNoWayBackAndBringPollsForward(t *testing.T) {
	f, c, now := polling(t)
	for range 20 {
		began := now
		now += 3 * time.Second
		f.answered(c.id, Listing{Generation: 1}, now)
		c, now = opened(t, f, poll)
		if now-began > 3*time.Second+shortPause {
			t.Fatalf("%v from poll to poll", now-began)
		}
	}
}

// Whatever happens, at most two calls are open, and there is always a next look.
func FuzzFollower(fuzz *testing.F) {
	fuzz.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	fuzz.Add([]byte("\x01\x01\x05\x05\x05\x05\x02\x02\x03\x03\x04\x04"))
	fuzz.Fuzz(func(t *testing.T, script []byte) {
		f := newFollower(7)
		now := time.Duration(0)
		for _, b := range script {
			f.advance(now)
			if len(f.calls) > mostCalls {
				t.Fatalf("%d calls are open", len(f.calls))
			}
			wake := f.wake()
			if wake == never || wake-now > watchEnd {
				t.Fatalf("the next look is %v away", wake-now)
			}
			id := f.lastID - int(b>>3&1)
			switch b & 7 {
			case 0, 1:
				f.answered(id, Listing{Generation: int64(b >> 4), Reset: b&1 == 1}, now)
			case 2:
				f.refused(id, now)
			case 3:
				f.broken(id, now)
			case 4:
				f.rejected(id, now)
			default:
				now = max(wake, now)
			}
		}
	})
}
