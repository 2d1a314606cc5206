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
		{"since=51&timeout_ms=4000", Listing{Generation: 50}, false, true}, // changes that are older than what is known
		{"", Listing{Generation: 50, Reset: true}, true, false},
		{"since=50&timeout_ms=4000", strings.Repeat(" ", mostListing) + `{"generation":52}`, false, true}, // without end
		{"since=50&timeout_ms=4000", "{}", false, true},                                                   // no list at all, and no news that all have gone
		{"", "{}", false, true},
		{"", "null", false, true},
		{"", `{"generation": 51, "reset": true}`, false, true},
		{"", `{"instances": []}`, false, true},
		{"", Listing{Generation: 50, Reset: true}, true, false},
		{"since=50&timeout_ms=4000", "{\n  \"generation\": 52,\n\t\"instances\" : [ ]\r\n}\n", false, false},
	} {
		if got := testpeer.Wait(t, r.Calls, "call"); got != step.query {
			t.Fatalf("step %d: call %q, want %q", i, got, step.query)
		}
		r.Answers <- step.answer
		if step.none {
			continue
		}
		want := int64(52)
		if l, ok := step.answer.(Listing); ok {
			want = l.Generation
		}
		if got := testpeer.Wait(t, heard, "list"); got.Generation != want || got.Reset != step.reset {
			t.Fatalf("step %d: heard %+v", i, got)
		}
	}
}

// A connection for the watch that never comes up is given up long before the call would be,
// so that another is tried within the time in which a drain binds.
func TestWatchWhoseConnectionNeverComesUp(t *testing.T) {
	r := testpeer.NewRegistry(t)
	hung := make(chan time.Duration, 1) // the time that the first connection is given
	connect := func(ctx context.Context, network, address string) (net.Conn, error) {
		if end, bounded := ctx.Deadline(); bounded {
			select {
			case hung <- time.Until(end):
				<-ctx.Done()
				return nil, ctx.Err()
			default:
			}
		}
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	heard := make(chan Listing, 1)
	w := newWatcher(r.Address(), func(l Listing) { heard <- l }, connect)
	w.since, w.listed = 41, true // a watch, which may wait
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { w.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	if given := testpeer.Wait(t, hung, "first connection"); given > dialLimit {
		t.Errorf("it is given %v", given)
	}
	r.Answers <- Listing{Generation: 42}
	if l := testpeer.Wait(t, heard, "list"); l.Generation != 42 {
		t.Errorf("heard %+v", l)
	}
}

func TestInstances(t *testing.T) {
	d := &wire.Deployment{Zones: []string{"a", "b"}, Kinds: []string{"m1", "m2"}}
	b, err := Instance{ID: "s-1", Zone: "b", MachineType: "m2", Cell: 3, Lifecycle: "Terminating", Weight: 1.5,
		StartedAtMs: 1500}.Backend(d)
	want := rules.Backend{ID: BackendID("s-1"), Zone: 1, Kind: 1, Cell: 3, State: rules.Draining, Weight: 1.5, StartedAt: 1.5}
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
		{ID: "s-1", Zone: "a", Lifecycle: "Ready", Weight: -1},
		{ID: "s-1", Zone: "a", Lifecycle: "Ready", Cell: -1},
	} {
		if b, err := bad.Backend(d); err == nil || b.State == rules.Ready {
			t.Errorf("%+v was taken: %+v", bad, b)
		}
	}
	// What no longer is in use needs nothing but its name and that.
	for _, gone := range []Instance{
		{ID: "s-1", Lifecycle: "Gone"},
		{ID: "s-1", Lifecycle: "Terminating", Zone: "c"},
		{ID: "s-1", Lifecycle: "Terminating", Zone: "a", Weight: -1, StartedAtMs: -1},
	} {
		if b, err := gone.Backend(d); err != nil || b.State == rules.Ready || b.ID != BackendID("s-1") {
			t.Errorf("%+v: %+v, %v", gone, b, err)
		}
	}
	// Where the settings name no zones, all are in one.
	if b, err := (Instance{ID: "s-1", Zone: "x", Lifecycle: "Ready"}).Backend(&wire.Deployment{}); err != nil || b.Zone != 0 {
		t.Errorf("without zones: %+v, %v", b, err)
	}
}

// An entry that can't be read costs no other one of its list, and is not in use.
func TestEntryThatCantBeRead(t *testing.T) {
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
			t.Errorf("%s was taken: %+v, %v", entry, b, err)
		}
		if b, err := l.Instances[1].Backend(d); err != nil || b.State != rules.Draining {
			t.Errorf("%s: the good one came to %+v, %v", entry, b, err)
		}
	}
}

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
				t.Errorf("%+v is in use as %+v, %v", i, b, err)
			}
		}
	})
}
