package records

import (
	"slices"
	"testing"
	"time"
)

// converse answers a follower's requests at once, until a condition holds or it has
// asked so many times, and returns what it asked.
func converse(t *testing.T, follower *Follower, maxRequests int, answer func(Send) any, done func() bool) []Send {
	t.Helper()
	var sent []Send
	actions := follower.Handle(follower.Wake(), Tick{})
	for !done() && len(sent) < maxRequests {
		position := slices.IndexFunc(actions, func(action Action) bool { _, ok := action.(Send); return ok })
		if position < 0 {
			actions = follower.Handle(follower.Wake(), Tick{})
			continue
		}
		ask := actions[position].(Send)
		sent = append(sent, ask)
		body, err := encode(answer(ask))
		if err != nil {
			t.Fatal(err)
		}
		actions = follower.Handle(follower.now.Add(latency), ResponseReceived{ID: ask.ID, Body: body})
	}
	return sent
}

// answerFrom answers as a server with this store does, without waiting.
func answerFrom(store *Store, ask Send) any {
	switch request := ask.Request.(type) {
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
	for _, ask := range sent {
		if _, ok := ask.Request.(DigestsRequest); ok {
			count++
		}
	}
	return count
}

// A server that told a version far too high is found out when no other has come to
// it: the ranges are compared again.
func TestRepairFromAServerWithTooHighAVersion(t *testing.T) {
	store := compactedStore(t)
	replica := &Replica{}
	asked := converse(t, twoServers(replica), 20, func(ask Send) any {
		answer := answerFrom(store, ask)
		if chunk, ok := answer.(Chunk); ok {
			chunk.Version = 1000
			return chunk
		}
		return answer
	}, func() bool { return replica.Version() > 0 })
	if countDigests(asked) != 1 || replica.Version() != 1 || replica.Digest() != store.Digest() {
		t.Errorf("asked %+v, the replica is at %d", asked, replica.Version())
	}
}

// When the changes that would finish a repair have been compacted away meanwhile,
// the ranges are compared again.
func TestRepairOutlivesCompaction(t *testing.T) {
	store := compactedStore(t)
	replica := &Replica{}
	asked := converse(t, twoServers(replica), 20, func(ask Send) any {
		answer := answerFrom(store, ask)
		if _, ok := answer.(Chunk); ok && store.Version() == 1 {
			apply(t, store, 2, change(urgent(1)), Accepted)
			store.log.compact(1)
		}
		return answer
	}, func() bool { return replica.Version() > 0 })
	if countDigests(asked) != 1 || replica.Version() != 2 || replica.Digest() != store.Digest() {
		t.Errorf("asked %+v, the replica is at %d", asked, replica.Version())
	}
}

// A server that claims to have nothing new at another content is left.
func TestNothingNewAtAnotherDigest(t *testing.T) {
	store := smallStore(t)
	replica := fullReplica(t, store)
	for _, answer := range []ChangesResponse{
		{Version: 1, Digest: Digest{1}},
		{Version: 2, Digest: store.Digest()},
	} {
		follower := twoServers(replica)
		asked := converse(t, follower, 2, func(Send) any { return answer }, func() bool { return false })
		if asked[0].Server == asked[1].Server || follower.Status(follower.now).Reason == "" {
			t.Errorf("%+v: asked %+v, %+v", answer, asked, follower.Status(follower.now))
		}
	}
}

// A server that answers at once that there is nothing new is not asked all the time,
// and is left when a newer version is known to exist.
func TestServerThatDoesNotWait(t *testing.T) {
	store := smallStore(t)
	follower := twoServers(fullReplica(t, store))
	answer := func(ask Send) any { return answerFrom(store, ask) }
	end := testTime.Add(20 * time.Second)
	asked := converse(t, follower, 1000, answer, func() bool { return follower.now.After(end) })
	if len(asked) < 15 || len(asked) > 45 {
		t.Errorf("asked %d times in 20 s", len(asked))
	}
	if confirmed := follower.Status(follower.now).ConfirmedAt; follower.now.Sub(confirmed) > 2*minPollInterval {
		t.Errorf("confirmed at %v", confirmed)
	}
	told := follower.now
	follower.Handle(told, HeadReceived{Version: 7})
	asked = converse(t, follower, 1000, answer, func() bool { return follower.now.After(told.Add(4 * time.Second)) })
	servers := map[string]bool{}
	for _, ask := range asked {
		servers[ask.Server] = true
	}
	if len(servers) != 2 || len(asked) > 20 {
		t.Errorf("asked %d servers, %d times in all", len(servers), len(asked))
	}
	status := follower.Status(follower.now)
	if status.ConfirmedAt.After(told) || status.Head != 7 || status.Reason == "" {
		t.Errorf("%+v", status)
	}
}
