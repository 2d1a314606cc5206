package backend

import "testing"

// A process that dies gives up its jobs, and whoever waits for one gives it up as well, in either order.
func TestAJobThatWasGivenUpHasNotRun(t *testing.T) {
	p := newProcessor(1, 1, 0)
	running, waiting := &job{work: 1, done: func() { t.Error("it ran") }}, &job{work: 1, done: func() { t.Error("it ran") }}
	if !p.add(running) || !p.add(waiting) {
		t.Fatal("no room")
	}
	p.clear()
	if !p.cancel(running) || !p.cancel(waiting) {
		t.Fatal("a job that was given up counts as done")
	}
	done := make(chan struct{})
	p.setRate(1e9)
	quick := &job{work: 1, done: func() { close(done) }}
	if !p.add(quick) {
		t.Fatal("no room after all were given up")
	}
	<-done
	if p.cancel(quick) {
		t.Fatal("a job that is done was given up")
	}
}
