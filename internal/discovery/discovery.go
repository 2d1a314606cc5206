// Package discovery follows the platform's list of backends and reads its entries for
// the decision module.
package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"time"

	"elderyard/internal/wire"
	"elderyard/rules"
)

const (
	watchWait    = 4 * time.Second        // how long a watch may stand open
	watchGrace   = 1 * time.Second        // and how long after that its answer may take
	listTimeout  = 2 * time.Second        // for a call that does not wait
	dialLimit    = 500 * time.Millisecond // for a connection to come up: what is told binds within 2 s, so there is time for another
	watchRetry   = 100 * time.Millisecond // pause after a failed call: a watch lapses after 200 ms
	mostListing  = 4 << 20                // bytes of one answer
	listPath     = "/registry/instances"
	complaintGap = 10 * time.Second // between lines about a discovery that stays down
)

// Listing is discovery's list of backends, or the changes to it.
type Listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // all there are, not changes alone
	Instances  []Instance `json:"instances"`
}

// Instance is one backend in discovery's form.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`

	fault error // why the entry can't be read
}

// UnmarshalJSON reads an entry. Danger: one that can't be read would cost all the others
// of its answer, drains among them; of that one, what can be read is kept with the fault.
func (i *Instance) UnmarshalJSON(text []byte) error {
	type entry Instance // without this method
	if err := json.Unmarshal(text, (*entry)(i)); err != nil {
		i.fault = err
	}
	return nil
}

var lifecycles = map[string]rules.BackendState{"Ready": rules.Ready, "Terminating": rules.Draining, "Gone": rules.Gone}

// BackendID derives the module's id from the name alone, so that all gateways
// agree on it whatever order they hear of backends in.
func BackendID(instance string) rules.BackendID {
	h := fnv.New32a()
	io.WriteString(h, instance)
	return rules.BackendID(h.Sum32())
}

// Backend translates an entry. The module's clock is Unix time (see owner.Clock), so
// a start needs its unit changed only.
//
// Danger: an entry that is not understood must not keep a backend in use, which
// may just be what it would end. With the error comes the backend as one that drains;
// of an entry with no name there is none. One that drains or is gone needs no more than
// its name and that.
func (i Instance) Backend(d *wire.Deployment) (rules.Backend, error) {
	state, known := lifecycles[i.Lifecycle]
	b := rules.Backend{ID: BackendID(i.ID), Zone: slices.Index(d.Zones, i.Zone), Kind: slices.Index(d.Kinds, i.MachineType),
		Cell: i.Cell, State: state, Weight: i.Weight, Born: float64(max(i.StartedAtMs, 0)) / 1000}
	if len(d.Zones) == 0 {
		b.Zone = 0 // all are in one place
	}
	var err error
	switch {
	case i.fault != nil:
		err = i.fault
	case i.ID == "":
		err = errors.New("it has no name")
	case !known:
		err = fmt.Errorf("lifecycle %q is not known", i.Lifecycle)
	case state != rules.Ready:
	case b.Zone < 0:
		// Danger: two unknown zones must not pass for one that drops repeats.
		err = fmt.Errorf("zone %q is not known", i.Zone)
	case i.Weight < 0 || i.StartedAtMs < 0 || i.Cell < 0:
		err = fmt.Errorf("weight %g, start %d or cell %d is impossible", i.Weight, i.StartedAtMs, i.Cell)
	}
	if err != nil && b.State != rules.Gone {
		b.State = rules.Draining
	}
	if err != nil || b.Zone < 0 {
		b.Zone, b.Cell = -1, -1 // no other is in these, so no repeat goes there
	}
	if err != nil {
		err = fmt.Errorf("instance %q is left out: %w", i.ID, err)
	}
	return b, err
}

// Watcher follows discovery and hands on each answer.
type Watcher struct {
	address string
	client  *http.Client
	since   int64
	listed  bool // a whole list has come
	heard   func(Listing)
}

// NewWatcher follows the discovery at an address. Heard is told each answer, in the
// goroutine of Run.
func NewWatcher(address string, heard func(Listing)) *Watcher {
	d := net.Dialer{KeepAlive: -1}
	return newWatcher(address, heard, d.DialContext)
}

// newWatcher does so over connections of connect. Danger: one that never comes up would
// take the time of a whole watch, and what discovery has to tell binds though no watch is open.
func newWatcher(address string, heard func(Listing), connect func(ctx context.Context, network, address string) (net.Conn, error)) *Watcher {
	bounded := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialLimit)
		defer cancel()
		return connect(ctx, network, address)
	}
	return &Watcher{address: address, heard: heard,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: 2, DialContext: bounded}}}
}

// Run asks until ctx ends: once for the list, from then on for changes. A
// failed call is made again soon, on a new connection, from the last version
// that arrived; what changed meanwhile comes with its answer.
func (w *Watcher) Run(ctx context.Context) {
	defer w.client.CloseIdleConnections()
	var complained time.Time
	for ctx.Err() == nil {
		l, err := w.ask(ctx)
		if err == nil {
			w.since, w.listed = l.Generation, true
			w.heard(l)
			continue
		}
		if ctx.Err() == nil && time.Since(complained) > complaintGap {
			complained = time.Now()
			log.Printf("discovery: %v", err)
		}
		w.client.CloseIdleConnections()
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
}

// read reads an answer. Danger: what names no version or no instances at all, an empty object or
// another service's word, would be taken for the news that all backends have gone.
func read(text []byte) (Listing, error) {
	var raw struct {
		Generation *int64
		Reset      bool
		Instances  json.RawMessage // null where none has changed
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	if raw.Generation == nil || raw.Instances == nil {
		return Listing{}, errors.New("list: it names no generation or no instances")
	}
	l := Listing{Generation: *raw.Generation, Reset: raw.Reset}
	if err := json.Unmarshal(raw.Instances, &l.Instances); err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

func (w *Watcher) ask(ctx context.Context) (l Listing, err error) {
	url, limit := "http://"+w.address+listPath, listTimeout
	if w.listed {
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", w.since, watchWait.Milliseconds())
		limit = watchWait + watchGrace
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return l, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostListing+1))
	if err != nil {
		return l, err
	}
	if len(body) > mostListing {
		return l, fmt.Errorf("list: over %d bytes", mostListing)
	}
	if resp.StatusCode != http.StatusOK {
		w.listed = false // the version may be the trouble: start from the whole list
		return l, fmt.Errorf("status %s", resp.Status)
	}
	if l, err = read(body); err != nil {
		w.listed = false
		return l, err
	}
	if w.listed && !l.Reset && l.Generation < w.since {
		// Danger: what it calls changes is older than what is known, and would put back what has gone.
		w.listed = false
		return l, fmt.Errorf("changes of version %d after %d", l.Generation, w.since)
	}
	if !w.listed {
		l.Reset = true // a call without a version is answered with all there are
	}
	return l, nil
}
