package discovery

import (
	"context"
	"sync"
	"testing"

	"linnetbend/internal/testpeer"
	"linnetbend/internal/wire"
	"linnetbend/rules"
)

func TestWatch(t *testing.T) {
	r := testpeer.NewRegistry(t)
	heard := make(chan Listing, 64)
	w := NewWatcher(r.Address(), func(l Listing) { heard <- l })
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })

	// Each step: the call that is expected, its answer, and what is handed on.
	for i, step := range []struct {
		query  string
		answer any
		reset  bool
		none   bool
	}{
		{"", nil, false, true}, // discovery is not there yet
		{"", Listing{Generation: 41}, true, false},
		{"since=41&timeout_ms=4000", nil, false, true}, // a broken watch goes on from the same version
		{"since=41&timeout_ms=4000", Listing{Generation: 43}, false, false},
		{"since=43&timeout_ms=4000", Listing{Generation: 2, Reset: true}, true, false},
		{"since=2&timeout_ms=4000", 500, false, true}, // a version that is turned down is given up
		{"", Listing{Generation: 50, Reset: true}, true, false},
		{"since=50&timeout_ms=4000", "{", false, true},
		{"", Listing{Generation: 51, Reset: true}, true, false},
	} {
		if got := testpeer.Wait(t, r.Calls, "call"); got != step.query {
			t.Fatalf("step %d: call %q, want %q", i, got, step.query)
		}
		r.Answers <- step.answer
		if step.none {
			continue
		}
		if got := testpeer.Wait(t, heard, "list"); got.Generation != step.answer.(Listing).Generation || got.Reset != step.reset {
			t.Fatalf("step %d: heard %+v", i, got)
		}
	}
}

func TestInstances(t *testing.T) {
	d := &wire.Deployment{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	b, err := Instance{ID: "s-1", Zone: "b", MachineType: "m2", Cell: 3, Lifecycle: "Terminating", Weight: 1.5,
		StartedAtMs: 1500}.Backend(d)
	want := rules.Backend{ID: BackendID("s-1"), Zone: 1, Kind: 1, Cell: 3, State: rules.Draining, Weight: 1.5, Born: 1.5}
	if err != nil || b != want {
		t.Errorf("%+v, %v; want %+v", b, err, want)
	}
	if BackendID("s-5be2a07c") != 0x4caec46a {
		t.Errorf("the id of a name has changed to %#x: gateways of two versions would not agree", BackendID("s-5be2a07c"))
	}
	for _, bad := range []Instance{
		{ID: "", Zone: "a", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "ready"},
		{ID: "s-1", Zone: "c", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "Ready", StartedAtMs: -1},
	} {
		if _, err := bad.Backend(d); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}
