package registry

import (
	"testing"
	"time"
)

// waitForCounts waits until the counts of the registry's calls satisfy a condition.
func waitForCounts(t *testing.T, r *Registry, what string, condition func(CallCounts) bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(r.CallCounts()); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: %+v", what, r.CallCounts())
		}
	}
}

// startCall makes a call in the background and delivers its error on the channel.
func startCall(t *testing.T, r *Registry, query string) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := ask(t, r, "g0", query, testTimeout)
		ended <- err
	}()
	return ended
}

func TestFullQueueRefusesAtOnceAndWaitingCallTimesOut(t *testing.T) {
	r := start(t)
	r.SetOverload(Overload{MaxServing: 1, MaxWaiting: 1, WaitTimeout: 20 * time.Millisecond})
	watch := startCall(t, r, "?since=0&timeout_ms=60000")
	waitForCounts(t, r, "the watch holds the only slot", func(c CallCounts) bool { return c.Admitted == 1 })
	if _, err := ask(t, r, "g1", "", testTimeout); err == nil {
		t.Error("a call was answered without a free slot")
	}
	if c := r.CallCounts(); c != (CallCounts{Admitted: 1, TimedOut: 1}) {
		t.Errorf("%+v", c)
	}
	r.SetOverload(Overload{MaxServing: 1, MaxWaiting: 0, WaitTimeout: time.Hour})
	if _, err := ask(t, r, "g1", "", testTimeout); err == nil {
		t.Error("a call was answered while the queue was full")
	}
	if c := r.CallCounts(); c != (CallCounts{Admitted: 1, TimedOut: 1, QueueFull: 1}) {
		t.Errorf("%+v", c)
	}
	r.Set(Instance{ID: "a", Lifecycle: Ready}) // ends the watch
	if err := <-watch; err != nil {
		t.Error(err)
	}
	waitForCounts(t, r, "the slot is free", func(CallCounts) bool { return r.idle() })
	if l := mustAsk(t, r, "g1", ""); l.Generation != 1 {
		t.Errorf("%+v", l)
	}
}

// idle reports whether no call occupies a slot.
func (r *Registry) idle() bool {
	r.admission.mu.Lock()
	defer r.admission.mu.Unlock()
	return r.admission.serving == 0
}

func TestWaitingCallGetsNextSlot(t *testing.T) {
	r := start(t)
	r.SetOverload(Overload{MaxServing: 1, MaxWaiting: 2, WaitTimeout: time.Hour, Service: time.Millisecond, Delay: time.Millisecond})
	first := startCall(t, r, "?since=0&timeout_ms=60000")
	waitForCounts(t, r, "the watch holds the only slot", func(c CallCounts) bool { return c.Admitted == 1 })
	second, third := startCall(t, r, ""), startCall(t, r, "?since=0&timeout_ms=0")
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

func TestCanceledCallFreesItsPlaceInTheQueue(t *testing.T) {
	r := start(t)
	r.SetOverload(Overload{MaxServing: 1, MaxWaiting: 1, WaitTimeout: time.Hour})
	watch := startCall(t, r, "?since=0&timeout_ms=60000")
	waitForCounts(t, r, "the watch holds the only slot", func(c CallCounts) bool { return c.Admitted == 1 })
	if _, err := ask(t, r, "g1", "", 20*time.Millisecond); err == nil {
		t.Error("a call without a slot was answered")
	}
	waitForCounts(t, r, "the caller has closed its connection", func(c CallCounts) bool { return c.Canceled == 1 })
	next := startCall(t, r, "")
	r.Set(Instance{ID: "a", Lifecycle: Ready})
	for _, ended := range []<-chan error{watch, next} {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

func TestNoWatchAdmitsOnlyPlainCalls(t *testing.T) {
	r := start(t)
	r.SetOverload(Overload{MaxServing: 1, MaxWaiting: 1, WaitTimeout: 20 * time.Millisecond, NoWatch: true})
	r.Set(Instance{ID: "a", Lifecycle: Ready})
	if _, err := ask(t, r, "g0", "?since=0&timeout_ms=4000", testTimeout); err == nil {
		t.Error("a watch was served in spite of NoWatch")
	}
	if l := mustAsk(t, r, "g0", "?since=0&timeout_ms=0"); l.Generation != 1 {
		t.Errorf("%+v", l)
	}
	if c := r.CallCounts(); c != (CallCounts{Admitted: 1, TimedOut: 1}) {
		t.Errorf("%+v", c)
	}
}

func TestZeroOverloadSetsNoLimit(t *testing.T) {
	r := start(t)
	var watches []<-chan error
	const many = 50
	for range many {
		watches = append(watches, startCall(t, r, "?since=0&timeout_ms=60000"))
	}
	waitForCounts(t, r, "all watches are served concurrently", func(c CallCounts) bool { return c.Admitted == many })
	r.Set(Instance{ID: "a", Lifecycle: Ready})
	for _, ended := range watches {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}
