package owner

import (
	"context"
	"testing"
	"time"

	"elderyard/internal/counter"
	"elderyard/internal/testpeer"
	"elderyard/rules"
)

// manualCounter hands its calls to the test, which answers them.
type manualCounter struct{ calls chan *counter.Call }

func (m manualCounter) Add(k *counter.Call) bool { m.calls <- k; return true }

func startLoop(t *testing.T, k Counter) *EventLoop {
	t.Helper()
	set := rules.Settings{Classes: []rules.Class{{LatencyObjective: 1, Timeout: 2, Value: 1}}, Plans: []rules.Plan{{Price: 1, Rate: 0.001, Burst: 10}},
		FleetSize: 1, Tick: 0.002, HasCounter: k != nil, CounterTimeout: testpeer.Timeout.Seconds()}
	l := New(set, 1, k)
	l.Start(nil)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); l.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return l
}

// unitRequester requests units; with skipped set it reports there that it was called and
// submits no event.
type unitRequester struct {
	units   float64
	skipped chan struct{}
	results chan rules.CheckResult
}

func (r *unitRequester) NewEvent(id rules.RequestID) rules.Event {
	if r.skipped != nil {
		r.skipped <- struct{}{}
		return nil
	}
	return &rules.Check{ID: id, Customer: 7, Units: r.units, Gateways: 1, Deadline: float64(time.Now().Unix()) + 60}
}

func (r *unitRequester) Complete(result rules.CheckResult) { r.results <- result }
func (r *unitRequester) ShouldCancel() bool                { return true }

func newCheck(units float64, results chan rules.CheckResult) *Check {
	return &Check{CheckRequester: &unitRequester{units: units, results: results}}
}

// A batch is decided in order and each check gets one result. A check that is cancelled
// before its result gets none and spends nothing.
func TestBatchAndCancel(t *testing.T) {
	k := manualCounter{make(chan *counter.Call, 16)}
	l := startLoop(t, k)
	results := make(chan rules.CheckResult, 16)
	first, cancelled, last := newCheck(2, results), newCheck(5, results), newCheck(1, results)
	l.Post(CheckBatch{l, []*Check{first, cancelled, last}})
	call := testpeer.Receive(t, k.calls, "call")
	l.Post(CancelChecks{l, []*Check{cancelled}})
	call.Report(call, rules.Served, call.Amount)
	for i, want := range []float64{2, 1} {
		if got := testpeer.Receive(t, results, "result"); got.Granted != want || !got.Shared {
			t.Errorf("result %d: %+v, want %g units", i, got, want)
		}
	}
	remaining := newCheck(7, results) // all units that are left if the cancelled check spent nothing
	l.Post(CheckBatch{l, []*Check{remaining}})
	go func() {
		for call := range k.calls {
			call.Report(call, rules.Served, 10)
		}
	}()
	if got := testpeer.Receive(t, results, "result"); got.Granted != 7 {
		t.Errorf("check for the remaining units: %+v, want 7 granted", got)
	}
	if len(results) > 0 {
		t.Errorf("unexpected result: %+v", <-results)
	}
}

// Without a request handler the event loop serves checks only. A check without an event is
// not submitted to the module.
func TestChecksWithoutRequestHandler(t *testing.T) {
	l := startLoop(t, nil)
	results := make(chan rules.CheckResult, 1)
	skipped := make(chan struct{}, 1)
	l.Post(CheckBatch{l, []*Check{{CheckRequester: &unitRequester{skipped: skipped}}, newCheck(10, results)}})
	testpeer.Receive(t, skipped, "call of NewEvent")
	if got := testpeer.Receive(t, results, "result"); got.Granted != 10 || got.Shared {
		t.Errorf("result %+v, want 10 units granted locally", got)
	}
}
