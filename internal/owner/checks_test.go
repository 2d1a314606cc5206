package owner

import (
	"context"
	"testing"
	"time"

	"elderyard/internal/counter"
	"elderyard/internal/testpeer"
	"elderyard/rules"
)

// heldCounter takes calls and answers none until told.
type heldCounter struct{ calls chan *counter.Call }

func (h heldCounter) Add(k *counter.Call) bool { h.calls <- k; return true }

func start(t *testing.T, k Counter) *EventLoop {
	t.Helper()
	set := rules.Settings{Classes: []rules.Class{{LatencyObjective: 1, Timeout: 2, Value: 1}}, Plans: []rules.Plan{{Price: 1, Rate: 0.001, Burst: 10}},
		FleetSize: 1, Tick: 0.002, HasCounter: k != nil, CounterTimeout: testpeer.Patience.Seconds()}
	o := New(set, 1, k)
	o.Start(nil)
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); o.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	return o
}

// asker takes units, or has nothing to ask.
type asker struct {
	units   float64
	asked   chan struct{}
	answers chan rules.CheckResult
}

func (a *asker) NewEvent(id rules.RequestID) rules.Event {
	if a.asked != nil {
		a.asked <- struct{}{}
		return nil
	}
	return &rules.Check{ID: id, Customer: 7, Units: a.units, Gateways: 1, Deadline: float64(time.Now().Unix()) + 60}
}

func (a *asker) Complete(got rules.CheckResult) { a.answers <- got }
func (a *asker) ShouldCancel() bool             { return true }

func take(units float64, answers chan rules.CheckResult) *Check {
	return &Check{CheckRequester: &asker{units: units, answers: answers}}
}

// A batch is decided in order, each check has one answer, and one that leaves
// before its answer has none and spends nothing.
func TestBatchAndLeave(t *testing.T) {
	k := heldCounter{make(chan *counter.Call, 16)}
	o := start(t, k)
	answers := make(chan rules.CheckResult, 16)
	stays, leaves, last := take(2, answers), take(5, answers), take(1, answers)
	o.Post(CheckBatch{o, []*Check{stays, leaves, last}})
	call := testpeer.Wait(t, k.calls, "call")
	o.Post(CancelChecks{o, []*Check{leaves}})
	call.Report(call, rules.Served, call.Amount)
	for i, want := range []float64{2, 1} {
		if a := testpeer.Wait(t, answers, "answer"); a.Granted != want || !a.Shared {
			t.Errorf("answer %d: %+v, want %g units", i, a, want)
		}
	}
	again := take(7, answers) // all that is left, if the one that left spent nothing
	o.Post(CheckBatch{o, []*Check{again}})
	go func() {
		for call := range k.calls {
			call.Report(call, rules.Served, 10)
		}
	}()
	if a := testpeer.Wait(t, answers, "answer"); a.Granted != 7 {
		t.Errorf("the rest: %+v", a)
	}
	if len(answers) > 0 {
		t.Errorf("one more answer: %+v", <-answers)
	}
}

// Without a front for requests a module's owner takes checks alone, and one that
// needs no event is not asked.
func TestChecksAlone(t *testing.T) {
	o := start(t, nil)
	answers := make(chan rules.CheckResult, 1)
	asked := make(chan struct{}, 1)
	o.Post(CheckBatch{o, []*Check{{CheckRequester: &asker{asked: asked}}, take(10, answers)}})
	testpeer.Wait(t, asked, "question")
	if a := testpeer.Wait(t, answers, "answer"); a.Granted != 10 || a.Shared {
		t.Errorf("%+v", a)
	}
}
