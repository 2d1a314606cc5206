// Package registry is a stand-in for discovery: it tells each gateway, after
// that gateway's own delay, which backends there are and what changed, answers
// watches, and can fall silent, go on answering from an old list or be crowded. It records
// when it told whom of what, since the rule on drains counts from then.
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
	listPath = "/registry/instances"
	mostWait = 60 * time.Second
	mostKept = 4096 // changes that a watch can go back to; an older one gets the whole list
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
	HostPort  string  `json:"hostPort"` // as one gateway sees it; filled in when told
	Zone      string  `json:"zone"`
	Type      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

type listing struct {
	Generation int64      `json:"generation"`
	Reset      bool       `json:"reset"`
	Instances  []Instance `json:"instances"`
}

// Notification is one gateway that has been told of one change.
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
	address func(peer string, id string) string
	servers []*http.Server
	views   map[string]*view
	links   []*link.Link
	wg      sync.WaitGroup
	room    room

	watching atomic.Int64 // watches that hold a place

	mu      sync.Mutex
	changes []change // generation n is changes[n-1-dropped]
	dropped int
	base    map[string]Instance // of what was dropped
	told    []Notification
	beyond  int
	most    int
}

// view is what one gateway sees.
type view struct {
	delay   time.Duration // guarded by the registry's mu, as are the others
	silent  bool
	stale   bool
	frozen  int64 // the generation that a stale view stays at
	changed chan struct{}
}

// Start runs a registry behind the given links, one for each gateway. Address
// tells where a gateway finds a backend. At most so many records are kept.
func Start(address func(peer, id string) string, most int, links ...*link.Link) *Registry {
	r := &Registry{address: address, links: links, views: map[string]*view{}, base: map[string]Instance{}, most: most}
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

// Close ends the registry and waits for all that it started.
func (r *Registry) Close() {
	for i, s := range r.servers {
		s.Close()
		r.links[i].Close()
	}
	r.wg.Wait()
}

// Address returns where a gateway finds the registry.
func (r *Registry) Address(peer string) string {
	return link.AddressFor(r.links, peer)
}

// Links returns the sockets, for faults of the network.
func (r *Registry) Links() []*link.Link { return r.links }

// Set makes an instance known, or changed, from now on.
func (r *Registry) Set(i Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, change{time.Now(), i})
	if len(r.changes) > mostKept {
		r.base[r.changes[0].instance.ID] = r.changes[0].instance
		r.changes = r.changes[1:]
		r.dropped++
	}
	for _, v := range r.views {
		v.wake()
	}
}

func (v *view) wake() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// SetDelay makes a gateway hear of changes so much later.
func (r *Registry) SetDelay(peer string, d time.Duration) {
	r.with(peer, func(v *view) { v.delay = d })
}

// SetSilent makes the registry answer a gateway no more, or again.
func (r *Registry) SetSilent(peer string, on bool) {
	r.with(peer, func(v *view) { v.silent = on })
}

// SetStale makes the registry answer a gateway from the list of this moment, or
// from the present one again.
func (r *Registry) SetStale(peer string, on bool) {
	r.with(peer, func(v *view) {
		v.frozen = r.visibleLocked(v, time.Now())
		v.stale = on
	})
}

func (r *Registry) with(peer string, do func(*view)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[peer]; v != nil {
		do(v)
		v.wake()
	}
}

// Record returns who was told of what, and how much more was not recorded.
func (r *Registry) Record() ([]Notification, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.told), r.beyond
}

// visibleLocked is the generation that a view has reached.
func (r *Registry) visibleLocked(v *view, now time.Time) int64 {
	if v.stale {
		return v.frozen
	}
	n := len(r.changes)
	for n > 0 && now.Before(r.changes[n-1].at.Add(v.delay)) {
		n--
	}
	return int64(n + r.dropped)
}

// nextLocked is when a view will reach a further generation, if by waiting alone.
func (r *Registry) nextLocked(v *view, now time.Time) time.Duration {
	n := int(r.visibleLocked(v, now)) - r.dropped
	if v.stale || n >= len(r.changes) {
		return mostWait
	}
	return max(r.changes[n].at.Add(v.delay).Sub(now), time.Millisecond)
}

func (r *Registry) handler(peer string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, func(w http.ResponseWriter, q *http.Request) { r.answer(peer, w, q) })
	return mux
}

func (r *Registry) answer(peer string, w http.ResponseWriter, q *http.Request) {
	since, wait, err := watch(q)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !r.room.enter(q.Context(), wait > 0) {
		http.Error(w, "crowded", http.StatusServiceUnavailable)
		return
	}
	l, late, ok := r.serve(q.Context(), peer, since, wait)
	if !ok || !pause(q.Context(), late) {
		return
	}
	text, err := json.Marshal(l)
	if err != nil {
		panic(err) // the type has nothing that could fail
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if _, err := w.Write(text); err != nil {
		return
	}
	http.NewResponseController(w).Flush()
	r.note(peer, l)
}

// serve makes the answer to a call that has a place, and gives the place back. The answer
// is to be written so much later. It fails when the caller leaves.
func (r *Registry) serve(ctx context.Context, peer string, since int64, wait time.Duration) (l listing, late time.Duration, ok bool) {
	defer r.room.leave()
	if wait > 0 {
		r.watching.Add(1)
		defer r.watching.Add(-1)
	}
	service, late := r.room.crowdTimes()
	if !pause(ctx, service) {
		return listing{}, 0, false
	}
	l, ok = r.wait(ctx, peer, since, wait)
	return l, late, ok
}

// watch reads the query of a call. A since of -1 asks for the whole list.
func watch(q *http.Request) (since int64, wait time.Duration, err error) {
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
	return since, time.Duration(min(ms, mostWait.Milliseconds())) * time.Millisecond, nil
}

// wait returns what a call gets, when it gets it. It fails when the caller leaves.
func (r *Registry) wait(ctx context.Context, peer string, since int64, wait time.Duration) (listing, bool) {
	until := time.Now().Add(wait)
	for {
		r.mu.Lock()
		v := r.views[peer]
		now := time.Now()
		visible, changed, next := r.visibleLocked(v, now), v.changed, r.nextLocked(v, now)
		over := since < 0 || visible > since || visible < since || !now.Before(until)
		if over && !v.silent {
			l := r.listLocked(peer, since, visible)
			r.mu.Unlock()
			return l, true
		}
		r.mu.Unlock()
		if !over {
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

// listLocked is the whole list, or what changed since a generation that is kept.
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

// note records what an answer told. A whole list tells of those that are gone by
// leaving them out.
func (r *Registry) note(peer string, l listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	add := func(i Instance) {
		if len(r.told) >= r.most {
			r.beyond++
			return
		}
		r.told = append(r.told, Notification{peer, i.ID, i.Lifecycle, i.StartedAt, now})
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

// goneLocked returns the instances that are gone by a generation.
func (r *Registry) goneLocked(generation int64) map[string]Instance {
	gone := map[string]Instance{}
	look := func(i Instance) {
		delete(gone, i.ID)
		if i.Lifecycle == Gone {
			gone[i.ID] = i
		}
	}
	for _, i := range r.base {
		look(i)
	}
	for _, c := range r.changes[:max(0, int(generation)-r.dropped)] {
		look(c.instance)
	}
	return gone
}
