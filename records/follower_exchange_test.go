package records

import (
	"slices"
	"testing"
	"time"
)

// exchange answers a follower's requests without delay until done returns true or the follower has sent maxRequests,
// and returns the requests.
func exchange(t *testing.T, follower *Follower, maxRequests int, respond func(Send) any, done func() bool) []Send {
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

// responseFrom returns the response of a server with the store that does not support long polling.
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

func followerOfTwoServers(replica *Replica) *Follower {
	return NewFollower(FollowerConfig{Name: "g", Servers: []string{"a", "b"}}, replica, testTime)
}

func countDigestRequests(sent []Send) int {
	count := 0
	for _, send := range sent {
		if _, ok := send.Request.(DigestsRequest); ok {
			count++
		}
	}
	return count
}

// Guards against a repair that never ends: if one server states a version that is far too high, no other server can
// finish the repair, so the ranges are compared again.
func TestRepairRecoversFromInflatedVersion(t *testing.T) {
	store := compactedStore(t)
	replica := &Replica{}
	requests := exchange(t, followerOfTwoServers(replica), 20, func(send Send) any {
		response := responseFrom(store, send)
		if chunk, ok := response.(Chunk); ok {
			chunk.Version = 1000
			return chunk
		}
		return response
	}, func() bool { return replica.Version() > 0 })
	if countDigestRequests(requests) != 1 || replica.Version() != 1 || replica.Digest() != store.Digest() {
		t.Errorf("requests %+v, replica at version %d", requests, replica.Version())
	}
}

// If the changes that would finish a repair have been compacted in the meantime, the ranges are compared again.
func TestRepairSurvivesCompaction(t *testing.T) {
	store := compactedStore(t)
	replica := &Replica{}
	requests := exchange(t, followerOfTwoServers(replica), 20, func(send Send) any {
		response := responseFrom(store, send)
		if _, ok := response.(Chunk); ok && store.Version() == 1 {
			apply(t, store, 2, change(urgentOperation(1)), Accepted)
			store.log.compact(1)
		}
		return response
	}, func() bool { return replica.Version() > 0 })
	if countDigestRequests(requests) != 1 || replica.Version() != 2 || replica.Digest() != store.Digest() {
		t.Errorf("requests %+v, replica at version %d", requests, replica.Version())
	}
}

// A server that sends no changes, but states another version or digest than the replica's, is ejected.
func TestInconsistentEmptyResponseEjectsServer(t *testing.T) {
	store := smallStore(t)
	replica := fullReplica(t, store)
	for _, response := range []ChangesResponse{
		{Version: 1, Digest: Digest{1}},
		{Version: 2, Digest: store.Digest()},
	} {
		follower := followerOfTwoServers(replica)
		requests := exchange(t, follower, 2, func(Send) any { return response }, func() bool { return false })
		if requests[0].Server == requests[1].Server || follower.Status(follower.now).Reason == "" {
			t.Errorf("%+v: requests %+v, %+v", response, requests, follower.Status(follower.now))
		}
	}
}

// Guards against a busy loop: a server that responds at once instead of waiting is polled at a limited rate. It is
// ejected once a newer version is known to exist.
func TestServerWithoutLongPolling(t *testing.T) {
	store := smallStore(t)
	follower := followerOfTwoServers(fullReplica(t, store))
	respond := func(send Send) any { return responseFrom(store, send) }
	end := testTime.Add(20 * time.Second)
	requests := exchange(t, follower, 1000, respond, func() bool { return follower.now.After(end) })
	if len(requests) < 15 || len(requests) > 45 {
		t.Errorf("%d requests in 20 s, want 15 to 45", len(requests))
	}
	if confirmed := follower.Status(follower.now).ConfirmedAt; follower.now.Sub(confirmed) > 2*minPollInterval {
		t.Errorf("confirmed at %v, %v ago", confirmed, follower.now.Sub(confirmed))
	}
	announcedAt := follower.now
	follower.Handle(announcedAt, HeadReceived{Version: 7})
	requests = exchange(t, follower, 1000, respond, func() bool { return follower.now.After(announcedAt.Add(4 * time.Second)) })
	servers := map[string]bool{}
	for _, send := range requests {
		servers[send.Server] = true
	}
	if len(servers) != 2 || len(requests) > 20 {
		t.Errorf("%d requests to %d servers, want at most 20 to both", len(requests), len(servers))
	}
	status := follower.Status(follower.now)
	if status.ConfirmedAt.After(announcedAt) || status.Head != 7 || status.Reason == "" {
		t.Errorf("%+v", status)
	}
}
