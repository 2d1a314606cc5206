package owner

import (
	"context"
	"runtime"
	"testing"
	"time"

	"elderyard/rules"
)

// endedTimeout is a timeout whose operation has ended.
type endedTimeout struct{ state []byte }

func (*endedTimeout) Finished() bool { return true }
func (*endedTimeout) Expire()        {}

// Guards against an operation that has ended being kept until its time limit, however far that is: behind a timer that
// is still needed, neither ended timeouts nor the module's timers of ended requests may pile up.
func TestEndedOperationsAreReleased(t *testing.T) {
	const operations, farFuture, wait = 5000, 3600.0, 10 * time.Second
	loop := New(rules.Settings{}, 1, nil)
	loop.Start(nil)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go loop.Run(ctx)
	released := make(chan struct{}, operations)
	run := func(f func()) {
		done := make(chan struct{})
		loop.Post(message(func() { f(); close(done) }))
		<-done
	}
	run(func() { loop.ScheduleTimeout(loop.Clock.Now()+farFuture/2, &call{}) })
	for n := range operations {
		run(func() {
			operation := &endedTimeout{state: make([]byte, 1024)}
			runtime.AddCleanup(operation, func(struct{}) { released <- struct{}{} }, struct{}{})
			loop.ScheduleTimeout(loop.Clock.Now()+farFuture, operation)
			loop.timers.push(timerEntry{at: loop.Clock.Now() + farFuture, request: rules.RequestID(n + 1)})
		})
	}
	held, needed := operations, 0
	for until := time.Now().Add(wait); held > 0 && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		run(func() {
			held = 0
			for _, timer := range loop.timers {
				if loop.obsolete(timer) {
					held++
				}
			}
			needed = len(loop.timers) - held
		})
	}
	if held > 0 || needed == 0 {
		t.Errorf("%d timers of %d ended operations are held after %v; %d others", held, operations, wait, needed)
	}
	runtime.GC()
	runtime.GC()
	for n := range operations {
		select {
		case <-released:
		case <-time.After(wait):
			t.Fatalf("%d of %d ended operations are still in memory", operations-n, operations)
		}
	}
}

// message is a function that runs in the loop's goroutine.
type message func()

// Process runs the function.
func (m message) Process() { m() }
