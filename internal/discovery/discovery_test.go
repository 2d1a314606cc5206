package discovery

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"elderyard/internal/testpeer"
	"elderyard/internal/wire"
	"elderyard/rules"
)

// The watcher requests the full list once and then changes, and requests the full list again
// after a response that is invalid or older than the known generation.
func TestWatch(t *testing.T) {
	r := testpeer.NewRegistry(t)
	listings := make(chan Listing, 64)
	w := NewWatcher(r.Address(), func(l Listing) { listings <- l })
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })

	// Each step: the expected call, its response, and whether a listing is passed on.
	for i, step := range []struct {
		query     string
		response  any
		reset     bool
		noListing bool
	}{
		{"", nil, false, true}, // discovery is not available yet
		{"", Listing{Generation: 41}, true, false},
		{"since=41&timeout_ms=4000", nil, false, true}, // a failed watch is repeated from the same generation
		{"since=41&timeout_ms=4000", Listing{Generation: 43}, false, false},
		{"since=43&timeout_ms=4000", Listing{Generation: 2, Reset: true}, true, false},
		{"since=2&timeout_ms=4000", 500, false, true}, // after an error response the full list is requested
		{"", Listing{Generation: 50, Reset: true}, true, false},
		{"since=50&timeout_ms=4000", "{", false, true},
		{"", Listing{Generation: 51, Reset: true}, true, false},
		{"since=51&timeout_ms=4000", Listing{Generation: 50}, false, true}, // changes older than the known generation
		{"", Listing{Generation: 50, Reset: true}, true, false},
		{"since=50&timeout_ms=4000", strings.Repeat(" ", maxListingBytes) + `{"generation":52}`, false, true}, // over the size limit
		{"since=50&timeout_ms=4000", "{}", false, true},                                                       // not a listing: must not mean that all backends are gone
		{"", "{}", false, true},
		{"", "null", false, true},
		{"", `{"generation": 51, "reset": true}`, false, true},
		{"", `{"instances": []}`, false, true},
		{"", Listing{Generation: 50, Reset: true}, true, false},
		{"since=50&timeout_ms=4000", "{\n  \"generation\": 52,\n\t\"instances\" : [ ]\r\n}\n", false, false},
	} {
		if got := testpeer.Receive(t, r.Queries, "call"); got != step.query {
			t.Fatalf("step %d: call %q, want %q", i, got, step.query)
		}
		r.Responses <- step.response
		if step.noListing {
			continue
		}
		want := int64(52)
		if l, ok := step.response.(Listing); ok {
			want = l.Generation
		}
		if got := testpeer.Receive(t, listings, "list"); got.Generation != want || got.Reset != step.reset {
			t.Fatalf("step %d: listing %+v, want generation %d and reset %t", i, got, want, step.reset)
		}
	}
}

// A dial that never completes is cancelled long before the watch itself would be, so that another
// connection is tried within the time in which a drain must take effect.
func TestWatchDialTimeout(t *testing.T) {
	r := testpeer.NewRegistry(t)
	hung := make(chan time.Duration, 1) // the time limit of the first dial
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if deadline, ok := ctx.Deadline(); ok {
			select {
			case hung <- time.Until(deadline):
				<-ctx.Done()
				return nil, ctx.Err()
			default:
			}
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	listings := make(chan Listing, 1)
	w := newWatcher(r.Address(), func(l Listing) { listings <- l }, dial)
	w.since, w.synced = 41, true // so that the first call is a watch
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	if limit := testpeer.Receive(t, hung, "first dial"); limit > dialTimeout {
		t.Errorf("the first dial is limited to %v, want at most %v", limit, dialTimeout)
	}
	r.Responses <- Listing{Generation: 42}
	if l := testpeer.Receive(t, listings, "list"); l.Generation != 42 {
		t.Errorf("listing %+v, want generation 42", l)
	}
}

// Valid entries are converted; invalid ones are rejected and never returned as Ready.
func TestBackendOfInstance(t *testing.T) {
	d := &wire.Deployment{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	b, err := Instance{ID: "s-1", Zone: "b", MachineType: "m2", Cell: 3, Lifecycle: "Terminating", Weight: 1.5,
		StartedAtMs: 1500}.Backend(d)
	want := rules.Backend{ID: BackendID("s-1"), Zone: 1, Kind: 1, Cell: 3, State: rules.Draining, Weight: 1.5, StartedAt: 1.5}
	if err != nil || b != want {
		t.Errorf("%+v, %v; want %+v", b, err, want)
	}
	if BackendID("s-5be2a07c") != 0x4caec46a {
		t.Errorf("BackendID has changed to %#x: gateways of two versions would not agree on ids", BackendID("s-5be2a07c"))
	}
	for _, invalid := range []Instance{
		{ID: "", Zone: "a", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "ready"},
		{ID: "s-1", Zone: "c", Lifecycle: "Ready"},
		{ID: "s-1", Zone: "a", Lifecycle: "Ready", StartedAtMs: -1},
		{ID: "s-1", Zone: "a", Lifecycle: "Ready", Weight: -1},
		{ID: "s-1", Zone: "a", Lifecycle: "Ready", Cell: -1},
	} {
		if b, err := invalid.Backend(d); err == nil || b.State == rules.Ready {
			t.Errorf("%+v was accepted as %+v", invalid, b)
		}
	}
	// An entry that is draining or gone only needs a valid id and lifecycle.
	for _, ended := range []Instance{
		{ID: "s-1", Lifecycle: "Gone"},
		{ID: "s-1", Lifecycle: "Terminating", Zone: "c"},
		{ID: "s-1", Lifecycle: "Terminating", Zone: "a", Weight: -1, StartedAtMs: -1},
	} {
		if b, err := ended.Backend(d); err != nil || b.State == rules.Ready || b.ID != BackendID("s-1") {
			t.Errorf("%+v: %+v, %v", ended, b, err)
		}
	}
	// If the settings have no zones, all backends are in one.
	if b, err := (Instance{ID: "s-1", Zone: "x", Lifecycle: "Ready"}).Backend(&wire.Deployment{}); err != nil || b.Zone != 0 {
		t.Errorf("without zones: %+v, %v", b, err)
	}
}

// An entry that can't be decoded does not invalidate the other entries of its list, and is not used.
func TestUndecodableEntry(t *testing.T) {
	d := &wire.Deployment{Zones: []string{"a"}}
	for _, entry := range []string{`{"instanceId": "bad", "lifecycle": "Ready", "zone": "a", "weight": "heavy"}`,
		`{"instanceId": "bad", "lifecycle": 7, "zone": "a"}`, `{"instanceId": "bad", "lifecycle": "Ready", "zone": ["a"]}`,
		`{"instanceId": "bad", "lifecycle": "Ready", "zone": "a", "startedAtMs": 1e99}`, `{"instanceId": 9}`, `[]`, `"bad"`, `null`} {
		var l Listing
		text := `{"generation": 7, "instances": [` + entry + `, {"instanceId": "good", "lifecycle": "Terminating", "zone": "a"}]}`
		if err := json.Unmarshal([]byte(text), &l); err != nil || l.Generation != 7 || len(l.Instances) != 2 {
			t.Errorf("%s: %+v, %v", entry, l, err)
			continue
		}
		if b, err := l.Instances[0].Backend(d); err == nil || b.State == rules.Ready || strings.Contains(entry, `"instanceId": "bad"`) && l.Instances[0].ID != "bad" {
			t.Errorf("%s was accepted as %+v, %v", entry, b, err)
		}
		if b, err := l.Instances[1].Backend(d); err != nil || b.State != rules.Draining {
			t.Errorf("%s: the valid entry became %+v, %v", entry, b, err)
		}
	}
}

// No entry of any listing is returned as Ready unless it is valid.
func FuzzListing(f *testing.F) {
	f.Add([]byte(`{"generation":41,"reset":true,"instances":[{"instanceId":"s","hostPort":"h:1","zone":"a","lifecycle":"Ready","weight":1.0,"startedAtMs":0}]}`))
	f.Add([]byte(`{"instances":[{"instanceId":"s","lifecycle":"Ready","zone":7},null,[],"x"]}`))
	d := &wire.Deployment{Zones: []string{"a"}}
	f.Fuzz(func(t *testing.T, text []byte) {
		var l Listing
		if json.Unmarshal(text, &l) != nil {
			return
		}
		for _, i := range l.Instances {
			if b, err := i.Backend(d); b.State == rules.Ready && (err != nil || i.ID == "" || b.Zone != 0 || b.StartedAt < 0) {
				t.Errorf("%+v is used as %+v, %v", i, b, err)
			}
		}
	})
}
