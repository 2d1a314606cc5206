package records

import (
	"errors"
	"fmt"
	"slices"
	"testing"
)

// fetch stages one chunk of pending ranges after encoding and decoding it as on the wire.
func fetch(t testing.TB, repair *Repair, store *Store, maxBytes int) {
	t.Helper()
	data, err := EncodeChunk(store.Chunk(ContentRequest{Ranges: repair.Pending(), MaxBytes: maxBytes}))
	if err != nil {
		t.Fatal(err)
	}
	chunk, err := DecodeChunk(data)
	if err != nil {
		t.Fatal(err)
	}
	if err := repair.StageChunk(chunk); err != nil {
		t.Fatal(err)
	}
}

// compare compares the store's range digests after encoding and decoding them as on the wire.
func compare(t testing.TB, repair *Repair, store *Store) {
	t.Helper()
	data, err := EncodeRangeDigests(store.RangeDigests())
	if err != nil {
		t.Fatal(err)
	}
	digests, err := DecodeRangeDigests(data)
	if err != nil {
		t.Fatal(err)
	}
	if err := repair.CompareDigests(digests); err != nil {
		t.Fatal(err)
	}
}

// An empty replica is repaired while the store changes, and no partial content is visible.
func TestRepairOfEmptyReplica(t *testing.T) {
	store := largeStore(t, 2000)
	replica := &Replica{}
	repair := NewRepair(replica)
	chunks := 0
	version := store.Version()
	for repair.Next() == NeedContent {
		fetch(t, repair, store, 16<<10)
		chunks++
		// The store changes while the chunks are fetched.
		version++
		apply(t, store, version, change(
			put(fmt.Sprintf("plan/new-%d", chunks), planValue),
			remove(fmt.Sprintf("plan/new-%d", chunks-1)),
			put("tenant/changing", fmt.Sprintf(`{"plan":"gold","burst":%d}`, chunks)),
		), Accepted)
		if replica.Len() != 0 {
			t.Fatal("partial content is visible")
		}
	}
	if chunks < 10 {
		t.Errorf("%d chunks, want at least 10", chunks)
	}
	if err := repair.Finish(replica, since(t, store, repair.Since())); err != nil {
		t.Fatal(err)
	}
	if replica.Version() != version || replica.Digest() != store.Digest() || replica.Len() != store.Len() {
		t.Errorf("replica at version %d with %d records, want %d with %d", replica.Version(), replica.Len(), version, store.Len())
	}
}

// If the server has compacted its log above the replica's version, only the ranges that differ are fetched.
func TestRepairFetchesOnlyDifferentRanges(t *testing.T) {
	store := largeStore(t, 3000)
	replica := fullReplica(t, store)
	apply(t, store, 100, change(put("plan/a", planValue), put("plan/b", planValue), remove("plan/free"), put("plan/gold", `{"price_weight":3,"requests_per_second":1}`)), Accepted)
	store.log.compact(len(store.log.entries))
	if response := store.HandleChanges(ChangesRequest{Since: replica.Version()}); response.Repair != RepairCompacted {
		t.Fatalf("response %+v", response)
	}
	repair := NewRepair(replica)
	if repair.Next() != NeedDigests {
		t.Fatal("the repair does not begin with NeedDigests")
	}
	compare(t, repair, store)
	if pending := repair.Pending(); len(pending) != 4 {
		t.Errorf("%d ranges are pending, want 4", len(pending))
	}
	fetch(t, repair, store, MaxChunkBytes)
	// The store has no changes above the version of the ranges, so the delta is empty.
	if err := repair.Finish(replica, Delta{From: 100, To: 100, Digest: store.Digest()}); err != nil {
		t.Fatal(err)
	}
	if replica.Version() != 100 || replica.Digest() != store.Digest() {
		t.Errorf("at %d", replica.Version())
	}
}

// Chunks may come from servers at different versions: the changes above the lowest version bring all ranges to one
// version.
func TestRepairAcrossServers(t *testing.T) {
	ahead := smallStore(t)
	behind := smallStore(t)
	for _, store := range []*Store{ahead, behind} {
		store.log.compact(len(store.log.entries))
	}
	changed := key("plan/gold")
	apply(t, ahead, 2, change(Operation{Key: changed, Value: []byte(`{"price_weight":2,"requests_per_second":2}`)}), Accepted)
	apply(t, ahead, 3, change(remove("route/search")), Accepted)

	replica := &Replica{}
	repair := NewRepair(replica)
	for repair.Next() == NeedContent {
		from := ahead
		if index := repair.Pending()[0]; index == RangeOf(changed) || index == RangeOf(key("route/search")) {
			from = behind
		}
		fetch(t, repair, from, 1)
	}
	if since := repair.Since(); since != 1 {
		t.Errorf("the repair needs the changes since %d, want 1", since)
	}
	if err := repair.Finish(replica, Delta{From: 1, To: 1, Digest: behind.Digest()}); !errors.Is(err, ErrStale) {
		t.Errorf("finished by the server that is behind: %v, want ErrStale", err)
	}
	if err := repair.Finish(replica, since(t, ahead, repair.Since())); err != nil {
		t.Fatal(err)
	}
	if replica.Version() != 3 || replica.Digest() != ahead.Digest() {
		t.Errorf("at version %d", replica.Version())
	}
}

// newerStore returns a store at version 3, a replica of it at version 2 and a stale store at version 1.
func newerStore(t *testing.T) (store, stale *Store, replica *Replica) {
	t.Helper()
	store = smallStore(t)
	replica = fullReplica(t, store)
	stale = smallStore(t)
	apply(t, store, 2, change(put("plan/free", planValue)), Accepted)
	if err := replica.ApplyDelta(since(t, store, 1)); err != nil {
		t.Fatal(err)
	}
	apply(t, store, 3, change(put("plan/other", planValue), remove("plan/free")), Accepted)
	return store, stale, replica
}

// Digests and chunks of a stale server and invalid chunks are rejected, and nothing is staged.
func TestRepairRejectsStaleAndInvalidRanges(t *testing.T) {
	store, stale, replica := newerStore(t)
	repair := NewRepair(replica)
	if err := repair.Finish(replica, since(t, store, 2)); err == nil {
		t.Error("Finish succeeded before the digests were compared")
	}
	if err := repair.CompareDigests(stale.RangeDigests()); !errors.Is(err, ErrStale) {
		t.Errorf("digests of a stale server: %v, want ErrStale", err)
	}
	compare(t, repair, store)
	pending := repair.Pending()
	if err := repair.StageChunk(stale.Chunk(ContentRequest{Ranges: pending})); !errors.Is(err, ErrStale) {
		t.Errorf("chunk of a stale server: %v, want ErrStale", err)
	}
	if err := repair.StageChunk(Chunk{Version: 3, Digest: store.Digest()}); err == nil {
		t.Error("accepted an empty chunk")
	}
	changed := store.Chunk(ContentRequest{Ranges: []int{RangeOf(key("plan/other"))}})
	changed.Ranges[0].Records = slices.Clone(changed.Ranges[0].Records)
	changed.Ranges[0].Records[0].Version = 2
	if err := repair.StageChunk(changed); !errors.Is(err, ErrDigest) {
		t.Errorf("modified chunk: %v, want ErrDigest", err)
	}
	if !slices.Equal(repair.Pending(), pending) {
		t.Error("a rejected chunk has been staged")
	}
	for repair.Next() == NeedContent {
		fetch(t, repair, store, 1)
	}
	if err := repair.Finish(replica, since(t, store, repair.Since())); err != nil || replica.Digest() != store.Digest() {
		t.Errorf("%v, at version %d", err, replica.Version())
	}
}

// Changes that do not follow the staged ranges, or whose result has another digest, are rejected, and the replica is
// unchanged.
func TestRepairRejectsInvalidChanges(t *testing.T) {
	store, _, replica := newerStore(t)
	repair := NewRepair(replica)
	compare(t, repair, store)
	for repair.Next() == NeedContent {
		fetch(t, repair, store, 1)
	}
	apply(t, store, 4, change(put("plan/last", planValue)), Accepted)
	delta := since(t, store, 3)
	if err := repair.Finish(replica, Delta{From: 4, To: 5}); !errors.Is(err, ErrGap) {
		t.Errorf("changes that begin above the ranges: %v, want ErrGap", err)
	}
	if err := repair.Finish(replica, Delta{From: 1, To: 2, Digest: replica.Digest()}); !errors.Is(err, ErrStale) {
		t.Errorf("changes that end below the ranges: %v, want ErrStale", err)
	}
	damaged := delta
	damaged.Puts = slices.Clone(delta.Puts)
	damaged.Puts[0].Value = []byte(tenantValue)
	if err := repair.Finish(replica, damaged); !errors.Is(err, ErrDigest) || replica.Version() != 2 {
		t.Errorf("damaged changes: %v, want ErrDigest; replica at version %d, want 2", err, replica.Version())
	}
	if repair.Next() != NeedDigests {
		t.Error("the ranges are not compared again")
	}
	// Only the ranges that now differ are fetched again.
	compare(t, repair, store)
	if pending := repair.Pending(); len(pending) != 1 || pending[0] != RangeOf(key("plan/last")) {
		t.Errorf("pending %v", pending)
	}
	fetch(t, repair, store, MaxChunkBytes)
	if err := repair.Finish(replica, since(t, store, repair.Since())); err != nil || replica.Digest() != store.Digest() {
		t.Errorf("%v, at version %d", err, replica.Version())
	}
}
