// Package discovery follows the platform's list of backends and converts its entries for
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
	watchTimeout     = 4 * time.Second        // how long the server may hold a watch open
	watchGrace       = 1 * time.Second        // how much longer the response to a watch may take
	listTimeout      = 2 * time.Second        // of a call that the server does not hold open
	dialTimeout      = 500 * time.Millisecond // a change must take effect within 2 s: leaves time for another dial
	retryDelay       = 100 * time.Millisecond // after a failed call; a watch lapses after 200 ms
	maxListingBytes  = 4 << 20                // of one response
	listPath         = "/registry/instances"
	errorLogInterval = 10 * time.Second // between log lines while discovery stays unavailable
)

// Listing is a full list of backends, or the changes since a generation.
type Listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"` // a full list, not only changes
	Instances  []Instance `json:"instances"`
}

// Instance is one backend as discovery encodes it.
type Instance struct {
	ID          string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`

	decodeErr error // why the entry can't be decoded
}

// UnmarshalJSON decodes an entry. It never returns an error: otherwise one invalid entry would discard
// all others of its response, drains among them. An invalid entry keeps the fields that could be
// decoded, and the error.
func (i *Instance) UnmarshalJSON(text []byte) error {
	type entry Instance // without this method
	if err := json.Unmarshal(text, (*entry)(i)); err != nil {
		i.decodeErr = err
	}
	return nil
}

// backendStates maps the lifecycles of instances.
var backendStates = map[string]rules.BackendState{"Ready": rules.Ready, "Terminating": rules.Draining, "Gone": rules.Removed}

// BackendID derives the module's id from the instance id alone, so that all gateways
// agree on it regardless of the order in which they learn of backends.
func BackendID(instance string) rules.BackendID {
	h := fnv.New32a()
	io.WriteString(h, instance)
	return rules.BackendID(h.Sum32())
}

// Backend converts an entry. The module's clock is Unix time (see owner.Clock), so the start
// time only changes its unit.
//
// An invalid entry must not keep a backend in use, since it may be the entry that should end
// its use. The backend returned with an error is therefore draining, or removed if the entry says so.
// A caller must ignore it if the entry has no id. An entry that is draining or gone only needs a valid
// id and lifecycle.
func (i Instance) Backend(d *wire.Deployment) (rules.Backend, error) {
	state, known := backendStates[i.Lifecycle]
	b := rules.Backend{ID: BackendID(i.ID), Zone: slices.Index(d.Zones, i.Zone), Kind: slices.Index(d.Kinds, i.MachineType),
		Cell: i.Cell, State: state, Weight: i.Weight, StartedAt: float64(max(i.StartedAtMs, 0)) / 1000}
	if len(d.Zones) == 0 {
		b.Zone = 0 // without zones in the settings, all backends are in one zone
	}
	var err error
	switch {
	case i.decodeErr != nil:
		err = i.decodeErr
	case i.ID == "":
		err = errors.New("no instance id")
	case !known:
		err = fmt.Errorf("unknown lifecycle %q", i.Lifecycle)
	case state != rules.Ready:
	case b.Zone < 0:
		// Two unknown zones must not be treated as the same zone, in which repeats are deduplicated.
		err = fmt.Errorf("unknown zone %q", i.Zone)
	case i.Weight < 0 || i.StartedAtMs < 0 || i.Cell < 0:
		err = fmt.Errorf("weight %g, start time %d or cell %d is negative", i.Weight, i.StartedAtMs, i.Cell)
	}
	if err != nil && b.State != rules.Removed {
		b.State = rules.Draining
	}
	if err != nil || b.Zone < 0 {
		b.Zone, b.Cell = -1, -1 // shared with no other backend, so no repeat is sent there
	}
	if err != nil {
		err = fmt.Errorf("ignoring invalid instance %q: %w", i.ID, err)
	}
	return b, err
}

// Watcher follows discovery and passes on each listing that contains new information.
type Watcher struct {
	follower
	address   string
	client    *http.Client
	onListing func(Listing)
}

// NewWatcher returns a watcher of the discovery service at address. onListing is called with
// each new listing, in the goroutine of Run.
func NewWatcher(address string, onListing func(Listing)) *Watcher {
	d := net.Dialer{KeepAlive: -1}
	return newWatcher(address, onListing, d.DialContext)
}

// newWatcher is NewWatcher with a dial function. Dialing is limited to dialTimeout: otherwise a
// connection that is never established would take the time of a whole watch, while changes must take
// effect whether or not a watch is open.
func newWatcher(address string, onListing func(Listing), dial func(ctx context.Context, network, address string) (net.Conn, error)) *Watcher {
	limitedDial := func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		return dial(ctx, network, address)
	}
	return &Watcher{follower: *newFollower(rand.Uint64()), address: address, onListing: onListing,
		client: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxConnsPerHost: maxOpenCalls, DialContext: limitedDial}}}
}

// SetSeed sets the seed of the random delays between calls to an overloaded discovery. It must be
// called before Run. Without it each process uses a random seed.
func (w *Watcher) SetSeed(seed uint64) { w.random = rand.New(rand.NewPCG(seed, 0)) }

// callResult is the result of one call.
type callResult struct {
	id      int
	listing Listing
	err     error // errRefused, a responseError, or the failure of the call
}

// errRefused means that discovery temporarily rejects calls.
var errRefused = errors.New("refused")

// responseError is an invalid response: an unexpected status, or a body that is not a listing.
type responseError struct{ error }

// Run follows discovery until ctx ends: it requests the full list once, and then changes. A
// failed call is soon repeated on a new connection from the last generation received, so its
// response includes the changes made meanwhile. The follower decides when to make which call;
// Run does the I/O.
func (w *Watcher) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	start := time.Now()
	results := make(chan callResult)
	cancels := map[int]context.CancelFunc{}
	var calls sync.WaitGroup
	defer w.client.CloseIdleConnections()
	defer calls.Wait()
	defer stop()
	logError := newErrorLogger()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil {
		step := w.advance(time.Since(start))
		if step.overdue {
			logError(errors.New("no response in time"))
			w.client.CloseIdleConnections()
		}
		for _, id := range step.expired {
			cancels[id]()
			delete(cancels, id)
		}
		if c := step.opened; c != nil {
			callCtx, cancel := context.WithCancel(ctx)
			cancels[c.id] = cancel
			calls.Go(func() {
				l, err := w.fetch(callCtx, *c)
				select {
				case results <- callResult{c.id, l, err}:
				case <-ctx.Done():
				}
			})
		}
		timer.Reset(max(step.wakeAt-time.Since(start), 0))
		select {
		case <-ctx.Done():
		case <-timer.C:
		case r := <-results:
			if cancel, open := cancels[r.id]; open {
				cancel()
				delete(cancels, r.id)
				if err := w.handle(r, time.Since(start)); err != nil && ctx.Err() == nil {
					logError(err)
					w.client.CloseIdleConnections()
				}
			}
		}
	}
}

// handle passes the result of a call to the follower, and new listings to onListing.
func (w *Watcher) handle(r callResult, now time.Duration) error {
	var invalid responseError
	switch {
	case errors.Is(r.err, errRefused):
		w.handleRefusal(r.id, now)
	case errors.As(r.err, &invalid):
		w.handleInvalid(r.id, now)
	case r.err != nil:
		w.handleFailure(r.id, now)
	default:
		l, err := w.handleListing(r.id, r.listing, now)
		if l != nil {
			w.onListing(*l)
		}
		return err
	}
	return r.err
}

// newErrorLogger returns a function that logs errors, at most one each errorLogInterval.
func newErrorLogger() func(error) {
	var last time.Time
	return func(err error) {
		if time.Since(last) > errorLogInterval {
			last = time.Now()
			log.Printf("discovery: %v", err)
		}
	}
}

// parseListing parses a response. It rejects a response without a generation or instances: an
// empty object, or the response of another service, would mean that all backends are gone.
func parseListing(text []byte) (Listing, error) {
	var raw struct {
		Generation *int64
		Reset      bool
		Instances  json.RawMessage // null if none has changed
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	if raw.Generation == nil || raw.Instances == nil {
		return Listing{}, errors.New("list: generation or instances missing")
	}
	l := Listing{Generation: *raw.Generation, Reset: raw.Reset}
	if err := json.Unmarshal(raw.Instances, &l.Instances); err != nil {
		return Listing{}, fmt.Errorf("list: %w", err)
	}
	return l, nil
}

// fetch makes one call and reads its response.
func (w *Watcher) fetch(ctx context.Context, c call) (Listing, error) {
	url := "http://" + w.address + listPath
	switch c.kind {
	case watch:
		url += fmt.Sprintf("?since=%d&timeout_ms=%d", c.since, watchTimeout.Milliseconds())
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
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxListingBytes+1))
	switch {
	case err != nil:
		return Listing{}, err
	case len(body) > maxListingBytes:
		return Listing{}, fmt.Errorf("list: more than %d bytes", maxListingBytes)
	case resp.StatusCode == http.StatusServiceUnavailable:
		return Listing{}, fmt.Errorf("status %s: %w", resp.Status, errRefused)
	case resp.StatusCode != http.StatusOK:
		return Listing{}, responseError{fmt.Errorf("status %s", resp.Status)}
	}
	l, err := parseListing(body)
	if err != nil {
		return Listing{}, responseError{err}
	}
	return l, nil
}
