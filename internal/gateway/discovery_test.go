package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"linnetbend/internal/wire"
	"linnetbend/rules"
)

// registry is a discovery whose answers a test gives one by one.
type registry struct {
	*httptest.Server
	calls   chan string // the query of each call
	answers chan any    // a Listing, or a status
}

func newRegistry(t *testing.T) *registry {
	r := &registry{calls: make(chan string, 64), answers: make(chan any, 64)}
	r.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.calls <- q.URL.RawQuery
		select {
		case <-q.Context().Done():
		case a := <-r.answers:
			switch a := a.(type) {
			case Listing:
				json.NewEncoder(w).Encode(a)
			case string:
				w.Write([]byte(a))
			case nil:
				panic(http.ErrAbortHandler)
			case int:
				w.WriteHeader(a)
			}
		}
	}))
	t.Cleanup(r.Server.Close)
	return r
}

func (r *registry) Address() string { return r.Listener.Addr().String() }

func TestWatch(t *testing.T) {
	r := newRegistry(t)
	heard := make(chan Listing, 64)
	w := newWatcher(r.Address(), func(l Listing) { heard <- l })
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.run(ctx) })
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
		if got := wait(t, r.calls, "call"); got != step.query {
			t.Fatalf("step %d: call %q, want %q", i, got, step.query)
		}
		r.answers <- step.answer
		if step.none {
			continue
		}
		if got := wait(t, heard, "list"); got.Generation != step.answer.(Listing).Generation || got.Reset != step.reset {
			t.Fatalf("step %d: heard %+v", i, got)
		}
	}
}

func TestInstances(t *testing.T) {
	d := &wire.Deployment{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	b, err := Instance{ID: "s-1", Zone: "b", MachineType: "m2", Cell: 3, Lifecycle: "Terminating", Weight: 1.5,
		StartedAtMs: 1500}.backend(d)
	want := rules.Backend{ID: backendID("s-1"), Zone: 1, Kind: 1, Cell: 3, State: rules.Draining, Weight: 1.5, Born: 1.5}
	if err != nil || b != want {
		t.Errorf("%+v, %v; want %+v", b, err, want)
	}
	if backendID("s-5be2a07c") != 0x4caec46a {
		t.Errorf("the id of a name has changed to %#x: gateways of two versions would not agree", backendID("s-5be2a07c"))
	}
	for _, bad := range []Instance{
		{ID: "", Zone: "a", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "ready"},
		{ID: "s-1", Zone: "c", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "Ready", StartedAtMs: -1},
	} {
		if _, err := bad.backend(d); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}
