package registry

import (
	"testing"
	"time"
)

// until waits for what the registry counts.
func until(t *testing.T, r *Registry, what string, holds func(CallCounts) bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(r.CallCounts()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: %+v", what, r.CallCounts())
		}
	}
}

// calling makes a call in the background; its error comes over the channel.
func calling(t *testing.T, r *Registry, query string) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := ask(t, r, "g0", query, patience)
		ended <- err
	}()
	return ended
}

func TestFullRoomRefusesAtOnceAndOneThatWaitsInVainIsRefusedLater(t *testing.T) {
	r := start(t)
	r.SetOverload(Overload{MaxServing: 1, MaxWaiting: 1, WaitTimeout: 20 * time.Millisecond})
	holds := calling(t, r, "?since=0&timeout_ms=60000")
	until(t, r, "the watch holds the only place", func(c CallCounts) bool { return c.Admitted == 1 })
	if _, err := ask(t, r, "g1", "", patience); err == nil {
		t.Error("a call that waited in vain was answered")
	}
	if c := r.CallCounts(); c != (CallCounts{Admitted: 1, TimedOut: 1}) {
		t.Errorf("%+v", c)
	}
	r.SetOverload(Overload{MaxServing: 1, MaxWaiting: 0, WaitTimeout: time.Hour})
	if _, err := ask(t, r, "g1", "", patience); err == nil {
		t.Error("a call was answered with nowhere to wait")
	}
	if c := r.CallCounts(); c != (CallCounts{Admitted: 1, TimedOut: 1, QueueFull: 1}) {
		t.Errorf("%+v", c)
	}
	r.Set(Instance{ID: "a", Lifecycle: Ready}) // ends the watch
	if err := <-holds; err != nil {
		t.Error(err)
	}
	until(t, r, "the place is free", func(CallCounts) bool { return r.free() })
	if l := must(t, r, "g1", ""); l.Generation != 1 {
		t.Errorf("%+v", l)
	}
}

// free tells whether no call holds a place.
func (r *Registry) free() bool {
	r.room.mu.Lock()
	defer r.room.mu.Unlock()
	return r.room.serving == 0
}

func TestCallThatWaitsGetsTheNextPlace(t *testing.T) {
	r := start(t)
	r.SetOverload(Overload{MaxServing: 1, MaxWaiting: 2, WaitTimeout: time.Hour, Service: time.Millisecond, Delay: time.Millisecond})
	first := calling(t, r, "?since=0&timeout_ms=60000")
	until(t, r, "the watch holds the only place", func(c CallCounts) bool { return c.Admitted == 1 })
	second, third := calling(t, r, ""), calling(t, r, "?since=0&timeout_ms=0")
	r.Set(Instance{ID: "a", Lifecycle: Ready})
	for _, ended := range []<-chan error{first, second, third} {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	if c := r.CallCounts(); c != (CallCounts{Admitted: 3}) {
		t.Errorf("%+v", c)
	}
}

func TestCallerThatLeavesFreesItsPlaceInTheRoom(t *testing.T) {
	r := start(t)
	r.SetOverload(Overload{MaxServing: 1, MaxWaiting: 1, WaitTimeout: time.Hour})
	holds := calling(t, r, "?since=0&timeout_ms=60000")
	until(t, r, "the watch holds the only place", func(c CallCounts) bool { return c.Admitted == 1 })
	if _, err := ask(t, r, "g1", "", 20*time.Millisecond); err == nil {
		t.Error("a call that has no place was answered")
	}
	until(t, r, "the caller has left", func(c CallCounts) bool { return c.Canceled == 1 })
	next := calling(t, r, "")
	r.Set(Instance{ID: "a", Lifecycle: Ready})
	for _, ended := range []<-chan error{holds, next} {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

func TestNoWatchIsServedWhereCallsAloneAre(t *testing.T) {
	r := start(t)
	r.SetOverload(Overload{MaxServing: 1, MaxWaiting: 1, WaitTimeout: 20 * time.Millisecond, NoWatch: true})
	r.Set(Instance{ID: "a", Lifecycle: Ready})
	if _, err := ask(t, r, "g0", "?since=0&timeout_ms=4000", patience); err == nil {
		t.Error("a watch was served")
	}
	if l := must(t, r, "g0", "?since=0&timeout_ms=0"); l.Generation != 1 {
		t.Errorf("%+v", l)
	}
	if c := r.CallCounts(); c != (CallCounts{Admitted: 1, TimedOut: 1}) {
		t.Errorf("%+v", c)
	}
}

func TestNothingIsBoundedWithoutACrowd(t *testing.T) {
	r := start(t)
	var watches []<-chan error
	const many = 50
	for range many {
		watches = append(watches, calling(t, r, "?since=0&timeout_ms=60000"))
	}
	until(t, r, "all are served at once", func(c CallCounts) bool { return c.Admitted == many })
	r.Set(Instance{ID: "a", Lifecycle: Ready})
	for _, ended := range watches {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
