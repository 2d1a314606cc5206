// Package registry is a stand-in for service discovery. It serves lists of backends and watches for changes; each
// gateway sees changes after a delay of its own. It can stop answering, answer from a stale list, or be overloaded. It
// records which change was sent to which gateway when: the grace period of the rule on drains starts at that time.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"elderyard/internal/standin/link"
)

const (
	listPath   = "/registry/instances"
	maxWait    = 60 * time.Second
	maxChanges = 4096 // changes kept for watches; a watch from an older generation gets the whole list
)

// Lifecycles of an instance.
const (
	Ready       = "Ready"
	Terminating = "Terminating"
	Gone        = "Gone"
)

// Instance is one backend.
type Instance struct {
	ID        string  `json:"instanceId"`
	HostPort  string  `json:"hostPort"` // per gateway; set when a list is built
	Zone      string  `json:"zone"`
	Type      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// listing is the answer to a call.
type listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Notification records that one change was sent to one gateway.
type Notification struct {
	Peer      string
	Instance  string
	Lifecycle string
	Started   int64
	At        time.Time // when the answer was written
}

type change struct {
	at       time.Time
	instance Instance
}

// Registry is a running stand-in.
type Registry struct {
	address   func(peer string, id string) string
	servers   []*http.Server
	views     map[string]*view // by gateway
	links     []*link.Link
	wg        sync.WaitGroup
	admission admission

	watching atomic.Int64 // watches that occupy a slot

	mu               sync.Mutex
	changes          []change // generation n is changes[n-1-dropped]
	dropped          int
	base             map[string]Instance // state after the dropped changes
	notifications    []Notification
	unrecorded       int // notifications not recorded, since maxNotifications were reached
	maxNotifications int
}

// view is the state of the registry for one gateway.
type view struct {
	delay    time.Duration // guarded by the registry's mu, like the other fields
	silent   bool
	stale    bool
	frozenAt int64 // the generation of a stale view
	changed  chan struct{}
}

// Start runs a registry on the given links, one for each gateway. Address returns the address at which a gateway
// reaches a backend. At most the given number of notifications is recorded.
func Start(address func(peer, id string) string, maxNotifications int, links ...*link.Link) *Registry {
	r := &Registry{address: address, links: links, views: map[string]*view{}, base: map[string]Instance{}, maxNotifications: maxNotifications}
	for _, l := range links {
		r.views[l.Peer()] = &view{changed: make(chan struct{})}
	}
	for _, l := range links {
		s := &http.Server{Handler: r.handler(l.Peer()), ReadHeaderTimeout: 5 * time.Second}
		r.servers = append(r.servers, s)
		r.wg.Go(func() { s.Serve(l) })
	}
	return r
}

// Close stops the registry and waits for its goroutines.
func (r *Registry) Close() {
	for i, s := range r.servers {
		s.Close()
		r.links[i].Close()
	}
	r.wg.Wait()
}

// Address returns the address at which a gateway reaches the registry.
func (r *Registry) Address(peer string) string {
	return link.AddressFor(r.links, peer)
}

// Links returns the links, on which network faults can be injected.
func (r *Registry) Links() []*link.Link { return r.links }

// Set adds or replaces an instance.
func (r *Registry) Set(i Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, change{time.Now(), i})
	if len(r.changes) > maxChanges {
		r.base[r.changes[0].instance.ID] = r.changes[0].instance
		r.changes = r.changes[1:]
		r.dropped++
	}
	for _, v := range r.views {
		v.wake()
	}
}

// wake makes waiting calls check the view again.
func (v *view) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// SetDelay sets the delay after which a gateway sees changes.
func (r *Registry) SetDelay(peer string, d time.Duration) {
	r.updateView(peer, func(v *view) { v.delay = d })
}

// SetSilent sets whether the registry leaves the calls of a gateway unanswered.
func (r *Registry) SetSilent(peer string, on bool) {
	r.updateView(peer, func(v *view) { v.silent = on })
}

// SetStale freezes the list that a gateway sees, or ends the freeze.
func (r *Registry) SetStale(peer string, on bool) {
	r.updateView(peer, func(v *view) {
		v.frozenAt = r.visibleLocked(v, time.Now())
		v.stale = on
	})
}

func (r *Registry) updateView(peer string, do func(*view)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[peer]; v != nil {
		do(v)
		v.wake()
	}
}

// Record returns the recorded notifications, and how many more were not recorded.
func (r *Registry) Record() ([]Notification, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.notifications), r.unrecorded
}

// visibleLocked returns the generation that a view has reached.
func (r *Registry) visibleLocked(v *view, now time.Time) int64 {
	if v.stale {
		return v.frozenAt
	}
	n := len(r.changes)
	for n > 0 && now.Before(r.changes[n-1].at.Add(v.delay)) {
		n--
	}
	return int64(n + r.dropped)
}

// nextLocked returns the time until a view reaches the next generation by delay alone, or the longest wait if none is
// due.
func (r *Registry) nextLocked(v *view, now time.Time) time.Duration {
	n := int(r.visibleLocked(v, now)) - r.dropped
	if v.stale || n >= len(r.changes) {
		return maxWait
	}
	return max(r.changes[n].at.Add(v.delay).Sub(now), time.Millisecond)
}

func (r *Registry) handler(peer string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, func(w http.ResponseWriter, q *http.Request) { r.answer(peer, w, q) })
	return mux
}

func (r *Registry) answer(peer string, w http.ResponseWriter, q *http.Request) {
	since, wait, err := parseQuery(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !r.admission.enter(q.Context(), wait > 0) {
		http.Error(w, "crowded", http.StatusServiceUnavailable)
		return
	}
	l, delay, ok := r.serve(q.Context(), peer, since, wait)
	if !ok || !pause(q.Context(), delay) {
		return
	}
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // can't happen: every field of listing can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err != nil {
		return
	}
	http.NewResponseController(w).Flush()
	r.recordNotifications(peer, l)
}

// serve prepares the answer to an admitted call and releases its slot. It returns the answer and the delay before
// writing it, or false if the caller closes the call.
func (r *Registry) serve(ctx context.Context, peer string, since int64, wait time.Duration) (l listing, delay time.Duration, ok bool) {
	defer r.admission.leave()
	if wait > 0 {
		r.watching.Add(1)
		defer r.watching.Add(-1)
	}
	service, delay := r.admission.latencies()
	if !pause(ctx, service) {
		return listing{}, 0, false
	}
	l, ok = r.wait(ctx, peer, since, wait)
	return l, delay, ok
}

// watch parses the query of a call. A since of -1 asks for the whole list.
func parseQuery(q *http.Request) (since int64, wait time.Duration, err error) {
	text := q.URL.Query().Get("since")
	if text == "" {
		return -1, 0, nil
	}
	if since, err = strconv.ParseInt(text, 10, 64); err != nil || since < 0 {
		return 0, 0, errors.New("since is not a generation")
	}
	ms, err := strconv.ParseInt(q.URL.Query().Get("timeout_ms"), 10, 64)
	if err != nil || ms < 0 {
		return 0, 0, errors.New("timeout_ms is not a time in milliseconds")
	}
	return since, time.Duration(min(ms, maxWait.Milliseconds())) * time.Millisecond, nil
}

// wait waits until a call can be answered, and returns its answer, or false if the caller closes the call.
func (r *Registry) wait(ctx context.Context, peer string, since int64, wait time.Duration) (listing, bool) {
	until := time.Now().Add(wait)
	for {
		r.mu.Lock()
		v := r.views[peer]
		now := time.Now()
		visible, changed, next := r.visibleLocked(v, now), v.changed, r.nextLocked(v, now)
		due := since < 0 || visible > since || visible < since || !now.Before(until)
		if due && !v.silent {
			l := r.listLocked(peer, since, visible)
			r.mu.Unlock()
			return l, true
		}
		r.mu.Unlock()
		if !due {
			next = min(next, time.Until(until))
		}
		t := time.NewTimer(max(next, time.Millisecond))
		select {
		case <-ctx.Done():
			t.Stop()
			return listing{}, false
		case <-changed:
			t.Stop()
		case <-t.C:
		}
	}
}

// listLocked returns the changes since a generation that is kept, otherwise the whole list.
func (r *Registry) listLocked(peer string, since, visible int64) listing {
	l := listing{Generation: visible, Instances: []Instance{}}
	state := map[string]Instance{}
	first := 0
	if since >= int64(r.dropped) && since <= visible {
		first = int(since) - r.dropped
	} else {
		l.Reset = true
		for id, i := range r.base {
			state[id] = i
		}
	}
	for _, c := range r.changes[first : int(visible)-r.dropped] {
		state[c.instance.ID] = c.instance
	}
	for id, i := range state {
		if l.Reset && i.Lifecycle == Gone {
			continue
		}
		i.HostPort = r.address(peer, id)
		l.Instances = append(l.Instances, i)
	}
	slices.SortFunc(l.Instances, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// note records the changes that an answer contained. A whole list reports instances that are gone by omitting them.
func (r *Registry) recordNotifications(peer string, l listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	add := func(i Instance) {
		if len(r.notifications) >= r.maxNotifications {
			r.unrecorded++
			return
		}
		r.notifications = append(r.notifications, Notification{peer, i.ID, i.Lifecycle, i.StartedAt, now})
	}
	listed := map[string]bool{}
	for _, i := range l.Instances {
		listed[i.ID] = true
		add(i)
	}
	if !l.Reset {
		return
	}
	for id, i := range r.goneLocked(l.Generation) {
		if !listed[id] {
			add(i)
		}
	}
}

// goneLocked returns the instances that are gone at a generation.
func (r *Registry) goneLocked(generation int64) map[string]Instance {
	gone := map[string]Instance{}
	apply := func(i Instance) {
		delete(gone, i.ID)
		if i.Lifecycle == Gone {
			gone[i.ID] = i
		}
	}
	for _, i := range r.base {
		apply(i)
	}
	for _, c := range r.changes[:max(0, int(generation)-r.dropped)] {
		apply(c.instance)
	}
	return gone
}
