package records

import (
	"crypto/sha256"
	"errors"
	"slices"
	"strings"
	"testing"
)

// A restored store has the content, version and log of the original.
func TestSnapshotRestoresStore(t *testing.T) {
	store := smallStore(t)
	apply(t, store, 4, change(remove("route/search"), put("plan/free", planValue)), Accepted)
	apply(t, store, 6, change(remove("plan/gold")), Invalid)
	data, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := &Store{}
	if err := restored.Restore(data); err != nil {
		t.Fatal(err)
	}
	if restored.Version() != 4 || restored.Digest() != store.Digest() || restored.Len() != 4 || len(restored.History(0)) != 2 {
		t.Errorf("restored: version %d, %d records", restored.Version(), restored.Len())
	}
	if _, err := restored.Apply(6, change(remove("plan/free"))); !errors.Is(err, ErrVersion) {
		t.Errorf("change at an applied version: %v, want ErrVersion", err)
	}
	apply(t, restored, 7, change(remove("plan/gold")), Invalid)
	if delta := since(t, restored, 1); len(delta.Puts) != 1 || len(delta.Deletes) != 1 {
		t.Errorf("delta of the restored store: %+v", delta)
	}
	again, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := (&Store{}).Restore(again); err != nil {
		t.Error(err)
	}
	if err := (&Replica{}).Restore(data); !errors.Is(err, ErrSnapshot) {
		t.Errorf("replica restored from a store's snapshot: %v, want ErrSnapshot", err)
	}
}

// A snapshot that is truncated or modified at any byte is rejected, and the content is unchanged.
func TestDamagedSnapshotIsRejected(t *testing.T) {
	store := smallStore(t)
	replica := fullReplica(t, store)
	ofStore, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	ofReplica, err := replica.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		data    []byte
		restore func([]byte) error
	}{
		{"store", ofStore, store.Restore},
		{"replica", ofReplica, replica.Restore},
	} {
		digest := store.Digest()
		for length := range test.data {
			if err := test.restore(test.data[:length]); !errors.Is(err, ErrSnapshot) {
				t.Fatalf("%s truncated to %d bytes: %v, want ErrSnapshot", test.name, length, err)
			}
		}
		for i := range test.data {
			changed := append([]byte{}, test.data...)
			changed[i] ^= 1
			if err := test.restore(changed); !errors.Is(err, ErrSnapshot) {
				t.Fatalf("%s modified at byte %d: %v, want ErrSnapshot", test.name, i, err)
			}
		}
		if err := test.restore(append(append([]byte{}, test.data...), 0)); !errors.Is(err, ErrSnapshot) {
			t.Fatalf("%s with an additional byte: %v, want ErrSnapshot", test.name, err)
		}
		if store.Digest() != digest || replica.Digest() != digest || store.Len() != 4 || replica.Len() != 4 {
			t.Fatalf("%s: the content has changed", test.name)
		}
		if err := test.restore(test.data); err != nil {
			t.Errorf("%s undamaged: %v", test.name, err)
		}
	}
}

// A replica does not return to an older version.
func TestRestoreRejectsOlderSnapshot(t *testing.T) {
	store := smallStore(t)
	replica := fullReplica(t, store)
	old, err := replica.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	apply(t, store, 2, change(remove("route/search")), Accepted)
	if err := replica.ApplyDelta(since(t, store, 1)); err != nil {
		t.Fatal(err)
	}
	if err := replica.Restore(old); !errors.Is(err, ErrStale) || replica.Version() != 2 {
		t.Errorf("%v, at version %d", err, replica.Version())
	}
}

// An inconsistent snapshot is rejected even if its checksum is correct.
func TestInconsistentSnapshotIsRejected(t *testing.T) {
	store := smallStore(t)
	apply(t, store, 4, change(remove("route/search"), put("plan/free", planValue)), Accepted)
	valid := func() storeSnapshot {
		return storeSnapshot{
			replicaSnapshot: replicaSnapshot{Version: 4, Digest: store.Digest(), Records: store.current().sorted()},
			Applied:         4,
			Log:             append(List[logEntry]{}, store.log.entries...),
		}
	}
	// recomputeDigests adapts the digests to changed records.
	recomputeDigests := func(s *storeSnapshot) {
		s.Digest = digestOf(s.Records)
		s.Log[len(s.Log)-1].Digest = s.Digest
	}
	for _, test := range []struct {
		name   string
		change func(*storeSnapshot)
		reason string
	}{
		{"wrong digest", func(s *storeSnapshot) { s.Digest[0]++ }, "does not fit the digest"},
		{"version below a record's", func(s *storeSnapshot) { s.Version = 3 }, "version 4 is not between"},
		{"record above the version", func(s *storeSnapshot) { s.Records[0].Version = 5 }, "version 5 is not between"},
		{"missing record", func(s *storeSnapshot) { s.Records = s.Records[1:] }, "does not fit the digest"},
		{"order of records", func(s *storeSnapshot) { s.Records[0], s.Records[1] = s.Records[1], s.Records[0] }, "does not come after"},
		{"invalid value", func(s *storeSnapshot) { s.Records[0].Value = []byte(`{"no":1}`); recomputeDigests(s) }, "no: unknown field"},
		{"value not in canonical form", func(s *storeSnapshot) {
			s.Records[0].Value = []byte(`{"requests_per_second":1,"price_weight":1}`)
			recomputeDigests(s)
		}, "not in canonical form"},
		{"dangling reference", func(s *storeSnapshot) { s.Records = s.Records[2:]; recomputeDigests(s) }, "there is no plan/gold"},
		{"applied below the version", func(s *storeSnapshot) { s.Applied = 3 }, "applied up to 3"},
		{"order of log entries", func(s *storeSnapshot) { s.Log[0], s.Log[1] = s.Log[1], s.Log[0] }, "version 1 follows 4"},
		{"log ends below the version", func(s *storeSnapshot) { s.Log = s.Log[:1] }, "ends at version 1"},
		{"wrong digest in log", func(s *storeSnapshot) { s.Log[1].Digest[0]++ }, "log: the content does not fit the digest"},
		{"invalid key in log", func(s *storeSnapshot) { s.Log[1].Keys = []Key{{}} }, "unknown kind"},
		{"log begins at the compacted version", func(s *storeSnapshot) { s.CompactedVersion = 1 }, "version 1 follows 1"},
		{"duplicate idempotency key", func(s *storeSnapshot) { s.Results = make(List[cachedResult], 2) }, "there twice"},
		{"log too long", func(s *storeSnapshot) { s.Log = longLog() }, "beyond the bounds"},
	} {
		snapshot := valid()
		test.change(&snapshot)
		t.Run(test.name, func(t *testing.T) { requireInconsistent(t, snapshot, test.reason) })
	}
	data, err := encodeSnapshot(storeHeader, valid())
	if err != nil {
		t.Fatal(err)
	}
	if err := (&Store{}).Restore(data); err != nil {
		t.Errorf("the valid snapshot: %v", err)
	}
}

// requireInconsistent fails the test unless the snapshot is rejected for the reason.
func requireInconsistent(t *testing.T, snapshot storeSnapshot, reason string) {
	t.Helper()
	if _, err := snapshot.store(); err == nil || !strings.Contains(err.Error(), reason) {
		t.Errorf("%v, want %q", err, reason)
	}
	data, err := encodeSnapshot(storeHeader, snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if err := (&Store{}).Restore(data); !errors.Is(err, ErrSnapshot) {
		t.Errorf("Restore: %v, want ErrSnapshot", err)
	}
}

// snapshotWithBody returns a snapshot with the body and its correct checksum.
func snapshotWithBody(header string, body []byte) []byte {
	checksum := sha256.Sum256(body)
	return slices.Concat([]byte(header), checksum[:], body)
}

// snapshotBody returns the body of a snapshot.
func snapshotBody(header string, data []byte) []byte { return data[len(header)+sha256.Size:] }

// longLog returns a log with one change more than the limit.
func longLog() List[logEntry] {
	log := make(List[logEntry], MaxLogChanges+1)
	for i := range log {
		log[i].Info.Version = uint64(i + 1)
	}
	return log
}

func digestOf(records []Record) Digest {
	draft := emptyState.edit()
	for _, record := range records {
		draft.put(record)
	}
	return draft.finish().digest
}
