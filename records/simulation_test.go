package records

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// fault is a failure mode of a simulated server.
type fault int

const (
	healthy      fault = iota
	refusing           // refuses connections
	unresponsive       // accepts requests and never responds
	damaged            // every response has a changed byte
	tampering          // sends valid responses with changed content, which only digests detect
	stale              // receives no changes
)

// String returns the name of the fault, which is used as a subtest name.
func (f fault) String() string {
	return [...]string{"healthy", "refusing", "unresponsive", "damaged", "tampering", "stale"}[f]
}

func faults() []fault { return []fault{healthy, refusing, unresponsive, damaged, tampering, stale} }

// simulation runs followers and servers on a simulated clock.
type simulation struct {
	t         rapid.TB
	now       time.Time
	servers   []*simulatedServer
	followers []*simulatedFollower
	version   uint64
	accepted  map[uint64]Digest
	newest    *Store
	changes   []versionedChange
	// bytesPerSecond is the traffic budget of followers that are started later; 0 means the default.
	bytesPerSecond int
}

type versionedChange struct {
	version uint64
	change  Change
}

type simulatedServer struct {
	name     string
	store    *Store
	fault    fault
	applied  int // number of the simulation's changes that it has applied
	requests int
	polls    []*simulatedFollower // with a long poll
}

type simulatedFollower struct {
	name             string
	replica          *Replica
	follower         *Follower
	disconnected     bool // from all servers
	inFlight         *Send
	pollEnd          time.Time // zero if it has no long poll
	responseAt       time.Time // zero if no response is in transit
	response         Event
	persistedVersion uint64
	persistCount     int
	requests         int
	received         int // bytes
	highestVersion   uint64
}

const latency = 20 * time.Millisecond

// newSimulation returns a simulation of servers with copies of a store and followers with empty replicas.
func newSimulation(t rapid.TB, servers, followers int, start *Store) *simulation {
	t.Helper()
	sim := &simulation{t: t, now: testTime, version: start.Version(), newest: copyStore(t, start), accepted: map[uint64]Digest{0: emptyState.digest}}
	sim.accepted[sim.version] = start.Digest()
	for i := range servers {
		sim.servers = append(sim.servers, &simulatedServer{name: fmt.Sprintf("control-%d", i), store: copyStore(t, start)})
	}
	for i := range followers {
		sim.addFollower(fmt.Sprintf("gateway-%d", i), &Replica{})
	}
	return sim
}

func copyStore(t rapid.TB, store *Store) *Store {
	t.Helper()
	data, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	copied := &Store{}
	if err := copied.Restore(data); err != nil {
		t.Fatal(err)
	}
	return copied
}

func (sim *simulation) addFollower(name string, replica *Replica) *simulatedFollower {
	f := &simulatedFollower{name: name}
	sim.followers = append(sim.followers, f)
	sim.start(f, replica)
	return f
}

// start starts or restarts a follower with a replica.
func (sim *simulation) start(f *simulatedFollower, replica *Replica) {
	var names []string
	for _, server := range sim.servers {
		names = append(names, server.name)
	}
	sim.dropRequest(f)
	f.replica = replica
	f.highestVersion = replica.Version()
	f.follower = NewFollower(FollowerConfig{Name: f.name, Servers: names, BytesPerSecond: sim.bytesPerSecond, BurstBytes: 4 * sim.bytesPerSecond}, replica, sim.now)
}

// restart restarts a follower from a snapshot of its replica.
func (sim *simulation) restart(f *simulatedFollower) {
	data, err := f.replica.Snapshot()
	if err != nil {
		sim.t.Fatal(err)
	}
	replica := &Replica{}
	if err := replica.Restore(data); err != nil {
		sim.t.Fatal(err)
	}
	sim.start(f, replica)
}

func (sim *simulation) dropRequest(f *simulatedFollower) {
	f.inFlight, f.response, f.responseAt, f.pollEnd = nil, nil, time.Time{}, time.Time{}
	for _, server := range sim.servers {
		server.polls = slices.DeleteFunc(server.polls, func(each *simulatedFollower) bool { return each == f })
	}
}

// change applies a change and replicates it to the servers that are not stale.
func (sim *simulation) change(operations ...Operation) uint64 {
	sim.version++
	each := versionedChange{sim.version, change(operations...)}
	apply(sim.t, sim.newest, each.version, each.change, Accepted)
	sim.accepted[sim.version] = sim.newest.Digest()
	sim.changes = append(sim.changes, each)
	sim.replicate()
	return sim.version
}

// replicate applies outstanding changes to each server that is not stale, and ends its long polls.
func (sim *simulation) replicate() {
	for _, server := range sim.servers {
		if server.fault == stale || server.applied == len(sim.changes) {
			continue
		}
		for _, each := range sim.changes[server.applied:] {
			apply(sim.t, server.store, each.version, each.change, Accepted)
		}
		server.applied = len(sim.changes)
		waiting := server.polls
		server.polls = nil
		for _, f := range waiting {
			sim.serve(server, f)
		}
	}
}

func (sim *simulation) setFault(server *simulatedServer, fault fault) {
	server.fault = fault
	sim.replicate()
}

func (sim *simulation) announceHead() {
	for _, f := range sim.followers {
		sim.handle(f, HeadReceived{Version: sim.version})
	}
}

// handle passes an event to a follower and carries out its actions.
func (sim *simulation) handle(f *simulatedFollower, event Event) {
	for _, action := range f.follower.Handle(sim.now, event) {
		switch action := action.(type) {
		case Cancel:
			if f.inFlight == nil || f.inFlight.ID != action.ID {
				sim.t.Fatalf("%s cancels request %d, which is not in flight", f.name, action.ID)
			}
			sim.dropRequest(f)
		case Persist:
			f.persistCount++
			f.persistedVersion = action.Version
		case Send:
			if f.inFlight != nil {
				sim.t.Fatalf("%s has two requests in flight", f.name)
			}
			f.requests++
			f.inFlight = &action
			sim.send(f)
		}
	}
	sim.check(f)
}

// check fails the test unless a replica has the content of an accepted version, and its version has not decreased.
func (sim *simulation) check(f *simulatedFollower) {
	digest, found := sim.accepted[f.replica.Version()]
	if !found || digest != f.replica.Digest() {
		sim.t.Fatalf("%s at version %d does not have the digest of an accepted version", f.name, f.replica.Version())
	}
	if f.replica.Version() < f.highestVersion {
		sim.t.Fatalf("the version of %s decreased from %d to %d", f.name, f.highestVersion, f.replica.Version())
	}
	f.highestVersion = f.replica.Version()
}

func (sim *simulation) send(f *simulatedFollower) {
	for _, server := range sim.servers {
		if server.name == f.inFlight.Server {
			server.requests++
			sim.serve(server, f)
		}
	}
}

// serve makes a server respond to a follower's request or begin a long poll.
func (sim *simulation) serve(server *simulatedServer, f *simulatedFollower) {
	f.pollEnd = time.Time{}
	switch {
	case f.disconnected || server.fault == refusing:
		sim.deliver(f, RequestFailed{ID: f.inFlight.ID, Reason: "connection refused"})
		return
	case server.fault == unresponsive:
		return
	}
	var message []byte
	var err error
	switch request := f.inFlight.Request.(type) {
	case ChangesRequest:
		response := server.store.HandleChanges(request)
		if response.UpToDate() && request.Wait > 0 {
			f.pollEnd = sim.now.Add(request.Wait)
			server.polls = append(server.polls, f)
			return
		}
		message, err = EncodeChangesResponse(sim.tamper(server, response))
	case DigestsRequest:
		message, err = EncodeRangeDigests(server.store.RangeDigests())
	case ContentRequest:
		chunk := server.store.Chunk(request)
		if server.fault == tampering && len(chunk.Ranges[0].Records) > 0 {
			chunk.Ranges[0].Records = chunk.Ranges[0].Records[1:]
			chunk.Ranges[0].Digest = hashRecords(chunk.Ranges[0].Records).low
		}
		message, err = EncodeChunk(chunk)
	}
	if err != nil {
		sim.t.Fatal(err)
	}
	if server.fault == damaged {
		message = slices.Clone(message)
		message[len(message)/2] ^= 0x10
	}
	sim.deliver(f, ResponseReceived{ID: f.inFlight.ID, Body: message})
}

// tamper changes the content of a response in a way that only digests detect, if the server has that fault.
func (sim *simulation) tamper(server *simulatedServer, response ChangesResponse) ChangesResponse {
	if server.fault != tampering || response.Delta == nil || len(response.Delta.Puts) == 0 {
		return response
	}
	delta := *response.Delta
	delta.Puts = slices.Clone(delta.Puts)
	delta.Puts[0].Value = []byte(`{"class":"tampered"}`)
	response.Delta = &delta
	return response
}

func (sim *simulation) deliver(f *simulatedFollower, response Event) {
	f.response = response
	f.responseAt = sim.now.Add(latency)
}
