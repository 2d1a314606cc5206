package backend

import "testing"

// When a backend is killed, clear drops its jobs, and the requests that wait for them cancel them as well, in either
// order. A job that was dropped must not count as completed.
func TestDroppedJobHasNotRun(t *testing.T) {
	p := newProcessor(1, 1, 0)
	running, waiting := &job{work: 1, done: func() { t.Error("a dropped job ran") }}, &job{work: 1, done: func() { t.Error("a dropped job ran") }}
	if !p.add(running) || !p.add(waiting) {
		t.Fatal("the jobs were not accepted")
	}
	p.clear()
	if !p.cancel(running) || !p.cancel(waiting) {
		t.Fatal("a dropped job counts as completed")
	}
	done := make(chan struct{})
	p.setRate(1e9)
	quick := &job{work: 1, done: func() { close(done) }}
	if !p.add(quick) {
		t.Fatal("a job was not accepted after all others were dropped")
	}
	<-done
	if p.cancel(quick) {
		t.Fatal("a completed job was canceled")
	}
}
