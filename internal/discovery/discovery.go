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
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
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

var lifecycles = map[string]rules.BackendState{"Ready": rules.Ready, "Terminating": rules.Draining, "Gone": rules.Removed}

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
		Cell: i.Cell, State: state, Weight: i.Weight, StartedAt: float64(max(i.StartedAtMs, 0)) / 1000}
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
	if err != nil && b.State != rules.Removed {
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

// Watcher follows discovery and hands on each answer that brings news.
type Watcher struct {
	follower
	address string
	client  *http.Client
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
	return &Watcher{follower: *newFollower(rand.Uint64()), address: address, heard: heard,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: mostCalls, DialContext: bounded}}}
}

// SetSeed sets what draws the distances between calls to a crowded discovery, before Run.
// Without it they come from a seed of the process's own.
func (w *Watcher) SetSeed(seed uint64) { w.random = rand.New(rand.NewPCG(seed, 0)) }

// outcome is how one call ended.
type outcome struct {
	id      int
	listing Listing
	err     error // errRefused, an answerError, or what broke the call
}

// errRefused means that discovery turned a call away for now.
var errRefused = errors.New("refused")

// answerError is an answer that is none: another status, or text that is no list.
type answerError struct{ error }

// Run asks until ctx ends: once for the list, from then on for changes. A
// failed call is made again soon, on a new connection, from the last version
// that arrived; what changed meanwhile comes with its answer. The follower says when
// which call is made; here is the I/O.
func (w *Watcher) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	began := time.Now()
	outcomes := make(chan outcome)
	cancels := map[int]context.CancelFunc{}
	var calls sync.WaitGroup
	defer w.client.CloseIdleConnections()
	defer calls.Wait()
	defer stop()
	complain := complaints()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		next := w.advance(time.Since(began))
		if next.overdue {
			complain(errors.New("no answer in time"))
			w.client.CloseIdleConnections()
		}
		for _, id := range next.ended {
			cancels[id]()
			delete(cancels, id)
		}
		if c := next.opened; c != nil {
			bounded, cancel := context.WithCancel(ctx)
			cancels[c.id] = cancel
			calls.Go(func() {
				l, err := w.ask(bounded, *c)
				select {
				case outcomes <- outcome{c.id, l, err}:
				case <-ctx.Done():
				}
			})
		}
		timer.Reset(max(next.wake-time.Since(began), 0))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case o := <-outcomes:
			if cancel, open := cancels[o.id]; open {
				cancel()
				delete(cancels, o.id)
				if err := w.take(o, time.Since(began)); err != nil && ctx.Err() == nil {
					complain(err)
					w.client.CloseIdleConnections()
				}
			}
		}
	}
}

// take passes the end of a call on, to the follower and, where it brings news, to heard.
func (w *Watcher) take(o outcome, now time.Duration) error {
	var bad answerError
	switch {
	case errors.Is(o.err, errRefused):
		w.refused(o.id, now)
	case errors.As(o.err, &bad):
		w.rejected(o.id, now)
	case o.err != nil:
		w.broken(o.id, now)
	default:
		l, err := w.answered(o.id, o.listing, now)
		if l != nil {
			w.heard(*l)
		}
		return err
	}
	return o.err
}

// complaints logs errors, with gaps of complaintGap at least.
func complaints() func(error) {
	var last time.Time
	return func(err error) {
		if time.Since(last) > complaintGap {
			last = time.Now()
			log.Printf("discovery: %v", err)
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

// ask makes one call and reads its answer.
func (w *Watcher) ask(ctx context.Context, c call) (Listing, error) {
	url := "http://" + w.address + listPath
	switch c.form {
	case watch:
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", c.since, watchWait.Milliseconds())
	case poll:
		url += fmt.Sprintf("?since=%d&timeout_ms=0", c.since)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Listing{}, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return Listing{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostListing+1))
	switch {
	case err != nil:
		return Listing{}, err
	case len(body) > mostListing:
		return Listing{}, fmt.Errorf("list: over %d bytes", mostListing)
	case resp.StatusCode == http.StatusServiceUnavailable:
		return Listing{}, fmt.Errorf("status %s: %w", resp.Status, errRefused)
	case resp.StatusCode != http.StatusOK:
		return Listing{}, answerError{fmt.Errorf("status %s", resp.Status)}
	}
	l, err := read(body)
	if err != nil {
		return Listing{}, answerError{err}
	}
	return l, nil
}
