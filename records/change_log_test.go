package records

import (
	"errors"
	"fmt"
	"testing"
)

// The log has at most MaxLogChanges changes; older versions are compacted.
func TestLogIsBoundedInChanges(t *testing.T) {
	store := smallStore(t)
	for i := range MaxLogChanges + 10 {
		apply(t, store, uint64(i+2), change(put("plan/free", fmt.Sprintf(`{"price_weight":1,"requests_per_second":%d}`, i+1))), Accepted)
	}
	newest := store.Version()
	oldest := newest - MaxLogChanges
	if _, err := store.ChangesSince(oldest - 1); !errors.Is(err, ErrCompacted) {
		t.Errorf("below the log: %v, want ErrCompacted", err)
	}
	if delta := since(t, store, oldest); len(delta.Puts) != 1 {
		t.Errorf("%d puts, want 1", len(delta.Puts))
	}
	if _, found := store.DigestAt(oldest - 1); found {
		t.Error("a version below the newest compacted one has a digest")
	}
	if _, found := store.DigestAt(oldest); !found || len(store.History(0)) != MaxLogChanges {
		t.Errorf("the log has %d changes, want %d with the digest before them", len(store.History(0)), MaxLogChanges)
	}
}

// The log has at most MaxLogBytes, and even the largest change fits into it.
func TestLogIsBoundedInBytes(t *testing.T) {
	store := largeStore(t, 4)
	version := store.Version()
	for round := range 8 {
		var operations []Operation
		for i := range 5000 {
			operations = append(operations, put(fmt.Sprintf("plan/p%0100d", i), fmt.Sprintf(`{"price_weight":1,"requests_per_second":%d}`, round+1)))
		}
		version++
		apply(t, store, version, change(operations...), Accepted)
		if store.log.bytes > MaxLogBytes {
			t.Fatalf("the log has %d bytes, want at most %d", store.log.bytes, MaxLogBytes)
		}
		if delta := since(t, store, version-1); len(delta.Puts) != 5000 {
			t.Fatalf("%d puts, want 5000", len(delta.Puts))
		}
	}
	if logged := len(store.History(0)); logged != 6 {
		t.Errorf("the log has %d changes, want 6", logged)
	}
}
