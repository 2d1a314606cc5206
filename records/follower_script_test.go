package records

import (
	"slices"
	"testing"
	"time"
)

// converse responds to a follower's requests at once, until a condition holds or it has sent
// maxRequests, and returns the requests.
func converse(t *testing.T, follower *Follower, maxRequests int, respond func(Send) any, done func() bool) []Send {
	t.Helper()
	var sent []Send
	actions := follower.Handle(follower.NextTick(), Tick{})
	for !done() && len(sent) < maxRequests {
		position := slices.IndexFunc(actions, func(action Action) bool { _, ok := action.(Send); return ok })
		if position < 0 {
			actions = follower.Handle(follower.NextTick(), Tick{})
			continue
		}
		send := actions[position].(Send)
		sent = append(sent, send)
		body, err := encode(respond(send))
		if err != nil {
			t.Fatal(err)
		}
		actions = follower.Handle(follower.now.Add(latency), ResponseReceived{ID: send.ID, Body: body})
	}
	return sent
}

// responseFrom returns the response of a server with this store that does not wait.
func responseFrom(store *Store, send Send) any {
	switch request := send.Request.(type) {
	case ChangesRequest:
		return store.HandleChanges(request)
	case ContentRequest:
		return store.Chunk(request)
	}
	return store.RangeDigests()
}

func compactedStore(t *testing.T) *Store {
	t.Helper()
	store := smallStore(t)
	store.log.compact(len(store.log.entries))
	return store
}

func twoServers(replica *Replica) *Follower {
	return NewFollower(FollowerConfig{Name: "g", Servers: []string{"a", "b"}}, replica, testTime)
}

func countDigests(sent []Send) int {
	count := 0
	for _, send := range sent {
		if _, ok := send.Request.(DigestsRequest); ok {
			count++
		}
	}
	return count
}

// If a server states a version that is far too high, no other server reaches it, and the ranges
// are compared again.
func TestRepairFromAServerWithTooHighAVersion(t *testing.T) {
	store := compactedStore(t)
	replica := &Replica{}
	requests := converse(t, twoServers(replica), 20, func(send Send) any {
		response := responseFrom(store, send)
		if chunk, ok := response.(Chunk); ok {
			chunk.Version = 1000
			return chunk
		}
		return response
	}, func() bool { return replica.Version() > 0 })
	if countDigests(requests) != 1 || replica.Version() != 1 || replica.Digest() != store.Digest() {
		t.Errorf("asked %+v, the replica is at %d", requests, replica.Version())
	}
}

// When the changes that would finish a repair have been compacted away meanwhile,
// the ranges are compared again.
func TestRepairOutlivesCompaction(t *testing.T) {
	store := compactedStore(t)
	replica := &Replica{}
	requests := converse(t, twoServers(replica), 20, func(send Send) any {
		response := responseFrom(store, send)
		if _, ok := response.(Chunk); ok && store.Version() == 1 {
			apply(t, store, 2, change(urgent(1)), Accepted)
			store.log.compact(1)
		}
		return response
	}, func() bool { return replica.Version() > 0 })
	if countDigests(requests) != 1 || replica.Version() != 2 || replica.Digest() != store.Digest() {
		t.Errorf("asked %+v, the replica is at %d", requests, replica.Version())
	}
}

// A server that reports nothing new with another version or digest is ejected.
func TestNothingNewAtAnotherDigest(t *testing.T) {
	store := smallStore(t)
	replica := fullReplica(t, store)
	for _, response := range []ChangesResponse{
		{Version: 1, Digest: Digest{1}},
		{Version: 2, Digest: store.Digest()},
	} {
		follower := twoServers(replica)
		requests := converse(t, follower, 2, func(Send) any { return response }, func() bool { return false })
		if requests[0].Server == requests[1].Server || follower.Status(follower.now).Reason == "" {
			t.Errorf("%+v: requests %+v, %+v", response, requests, follower.Status(follower.now))
		}
	}
}

// A server that responds at once instead of waiting is not polled without pause, and is ejected
// when a newer version is known to exist.
func TestServerThatDoesNotWait(t *testing.T) {
	store := smallStore(t)
	follower := twoServers(fullReplica(t, store))
	respond := func(send Send) any { return responseFrom(store, send) }
	end := testTime.Add(20 * time.Second)
	requests := converse(t, follower, 1000, respond, func() bool { return follower.now.After(end) })
	if len(requests) < 15 || len(requests) > 45 {
		t.Errorf("asked %d times in 20 s", len(requests))
	}
	if confirmed := follower.Status(follower.now).ConfirmedAt; follower.now.Sub(confirmed) > 2*minPollInterval {
		t.Errorf("confirmed at %v", confirmed)
	}
	announcedAt := follower.now
	follower.Handle(announcedAt, HeadReceived{Version: 7})
	requests = converse(t, follower, 1000, respond, func() bool { return follower.now.After(announcedAt.Add(4 * time.Second)) })
	servers := map[string]bool{}
	for _, send := range requests {
		servers[send.Server] = true
	}
	if len(servers) != 2 || len(requests) > 20 {
		t.Errorf("asked %d servers, %d times in all", len(servers), len(requests))
	}
	status := follower.Status(follower.now)
	if status.ConfirmedAt.After(announcedAt) || status.Head != 7 || status.Reason == "" {
		t.Errorf("%+v", status)
	}
}
