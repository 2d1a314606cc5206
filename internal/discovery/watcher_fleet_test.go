package discovery

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"elderyard/internal/standin/link"
	"elderyard/internal/standin/registry"
	"elderyard/internal/testpeer"
)

// fleet is a number of watchers of one registry.
type fleet struct {
	registry *registry.Registry
	peers    []string
	changed  chan struct{} // buffered: some watcher has received a listing

	mu    sync.Mutex
	known map[string]map[string]string // lifecycle of each instance, by peer
}

// newFleet runs watchers of a registry that is overloaded as given.
func newFleet(t *testing.T, size int, overload registry.Overload) *fleet {
	t.Helper()
	f := &fleet{changed: make(chan struct{}, 1), known: map[string]map[string]string{}}
	var links []*link.Link
	for i := range size {
		peer := fmt.Sprintf("g%d", i)
		l, err := link.Listen(peer)
		if err != nil {
			t.Fatal(err)
		}
		links = append(links, l)
		f.peers = append(f.peers, peer)
		f.known[peer] = map[string]string{}
	}
	f.registry = registry.Start(func(_, id string) string { return id + ":1" }, 1<<16, links...)
	t.Cleanup(f.registry.Close)
	f.registry.SetOverload(overload)
	ctx, cancel := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	t.Cleanup(func() { cancel(); watchers.Wait() })
	for i, peer := range f.peers {
		w := NewWatcher(f.registry.Address(peer), func(l Listing) { f.apply(peer, l) })
		w.SetSeed(uint64(i))
		watchers.Go(func() { w.Run(ctx) })
	}
	return f
}

// apply applies a listing to what a peer knows.
func (f *fleet) apply(peer string, l Listing) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if l.Reset {
		clear(f.known[peer])
	}
	for _, i := range l.Instances {
		f.known[peer][i.ID] = i.Lifecycle
	}
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// waitKnown waits until every watcher knows the lifecycle of an instance. An instance that is
// gone may also be missing.
func (f *fleet) waitKnown(t *testing.T, id, lifecycle string) {
	t.Helper()
	timeout := time.After(3 * testpeer.Timeout)
	for {
		outdated := f.outdated(id, lifecycle)
		if len(outdated) == 0 {
			return
		}
		select {
		case <-f.changed:
		case <-timeout:
			t.Fatalf("%v do not know that %s is %s; calls: %+v", outdated, id, lifecycle, f.registry.CallCounts())
		}
	}
}

// outdated returns the peers that do not know the lifecycle of an instance.
func (f *fleet) outdated(id, lifecycle string) (peers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		got, present := f.known[peer][id]
		if got != lifecycle && (present || lifecycle != registry.Gone) {
			peers = append(peers, peer)
		}
	}
	return peers
}

func (f *fleet) set(id, lifecycle string) {
	f.registry.Set(registry.Instance{ID: id, Lifecycle: lifecycle, Weight: 1})
}

// setSilent makes the registry leave all calls unanswered, or answer again.
func (f *fleet) setSilent(on bool) {
	for _, peer := range f.peers {
		f.registry.SetSilent(peer, on)
	}
}

// checkDrainApplied waits until the registry has recorded that it informed all watchers of a
// drain, and checks that all have applied it.
func (f *fleet) checkDrainApplied(t *testing.T, drained string) {
	t.Helper()
	for end := time.Now().Add(testpeer.Timeout); f.informed(t, drained) < len(f.peers); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("only %d watchers are recorded as informed that %s drains", f.informed(t, drained), drained)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, peer := range f.peers {
		if got := f.known[peer][drained]; got != registry.Terminating {
			t.Errorf("%s was informed that %s drains, but considers it %q", peer, drained, got)
		}
	}
}

// informed returns how many watchers the registry has informed that an instance drains.
func (f *fleet) informed(t *testing.T, id string) int {
	t.Helper()
	records, dropped := f.registry.Record()
	if dropped > 0 {
		t.Fatalf("%d records were dropped", dropped)
	}
	peers := map[string]bool{}
	for _, record := range records {
		if record.Instance == id && record.Lifecycle == registry.Terminating {
			peers[record.Peer] = true
		}
	}
	return len(peers)
}

// With a discovery that is overloaded by watches, every gateway of a fleet learns of every change,
// drains included, while few calls are refused. The same holds after discovery was silent.
func TestFleetOfOverloadedDiscovery(t *testing.T) {
	t.Parallel()
	for size, overload := range map[int]registry.Overload{
		20: {MaxServing: 1, MaxWaiting: 4, Service: 100 * time.Millisecond, WaitTimeout: 2 * time.Second, Delay: 300 * time.Millisecond, NoWatch: true},
		60: {MaxServing: 4, MaxWaiting: 10, Service: 150 * time.Millisecond, WaitTimeout: 2 * time.Second, NoWatch: true},
	} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, size, overload)
			f.set("a", registry.Ready)
			f.set("b", registry.Ready)
			f.waitKnown(t, "b", registry.Ready)
			f.set("a", registry.Terminating)
			f.waitKnown(t, "a", registry.Terminating)
			f.checkDrainApplied(t, "a")
			f.set("c", registry.Ready)
			f.waitKnown(t, "c", registry.Ready)
			f.setSilent(true)
			f.set("b", registry.Terminating)
			f.set("a", registry.Gone)
			f.waitRefused(t, size)
			f.setSilent(false)
			f.waitKnown(t, "b", registry.Terminating)
			f.waitKnown(t, "a", registry.Gone)
			f.checkDrainApplied(t, "b")
		})
	}
}

// maxRefused is how many calls may be refused for each accepted call. Retries ten times a second
// cause about 15 refusals.
const maxRefused = 6

// waitRefused checks that few calls have been refused so far, and waits until the given number of
// further calls is refused.
func (f *fleet) waitRefused(t *testing.T, more int) {
	t.Helper()
	before := f.registry.CallCounts()
	t.Logf("%+v", before)
	if before.QueueFull+before.TimedOut > maxRefused*before.Admitted {
		t.Errorf("too many calls were refused: %+v", before)
	}
	for end := time.Now().Add(3 * testpeer.Timeout); ; time.Sleep(10 * time.Millisecond) {
		now := f.registry.CallCounts()
		if now.QueueFull+now.TimedOut-before.QueueFull-before.TimedOut >= more {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("too few calls are refused while the registry is silent: %+v", now)
		}
	}
}

// Responses that arrive after the hedge delay of a call for the list are still applied.
func TestFleetOfSlowDiscovery(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 5, registry.Overload{MaxServing: 100, Delay: listTimeout + 500*time.Millisecond})
	f.set("a", registry.Ready)
	f.waitKnown(t, "a", registry.Ready)
	f.set("a", registry.Terminating)
	f.waitKnown(t, "a", registry.Terminating)
	f.checkDrainApplied(t, "a")
}

// Once discovery is no longer overloaded, the fleet returns to watches.
func TestFleetReturnsToWatches(t *testing.T) {
	t.Parallel()
	const size = 20
	f := newFleet(t, size, registry.Overload{MaxServing: 1, MaxWaiting: 4, Service: 100 * time.Millisecond, WaitTimeout: 2 * time.Second, NoWatch: true})
	f.set("a", registry.Ready)
	f.waitKnown(t, "a", registry.Ready)
	f.registry.SetOverload(registry.Overload{})
	for end := time.Now().Add(3 * testpeer.Timeout); f.registry.Watching() < size; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d watches are open", f.registry.Watching())
		}
	}
	f.set("a", registry.Terminating)
	f.waitKnown(t, "a", registry.Terminating)
}
