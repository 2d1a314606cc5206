package records

import (
	"errors"
	"fmt"
	"testing"
)

// The log is bounded by MaxLogChanges.
func TestLogIsBoundedInChanges(t *testing.T) {
	store := smallStore(t)
	for i := range MaxLogChanges + 10 {
		apply(t, store, uint64(i+2), change(put("plan/free", fmt.Sprintf(`{"price_weight":1,"requests_per_second":%d}`, i+1))), Accepted)
	}
	newest := store.Version()
	oldest := newest - MaxLogChanges
	if _, err := store.ChangesSince(oldest - 1); !errors.Is(err, ErrCompacted) {
		t.Errorf("below the log: %v", err)
	}
	if delta := since(t, store, oldest); len(delta.Puts) != 1 {
		t.Errorf("%d puts", len(delta.Puts))
	}
	if _, found := store.DigestAt(oldest - 1); found {
		t.Error("a compacted version has a digest")
	}
	if _, found := store.DigestAt(oldest); !found || len(store.History(0)) != MaxLogChanges {
		t.Error("the log does not go back as far as it should")
	}
}

// The log is bounded by MaxLogBytes, and a change of any size fits into it.
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
			t.Fatalf("the log has %d bytes", store.log.bytes)
		}
		if delta := since(t, store, version-1); len(delta.Puts) != 5000 {
			t.Fatalf("%d puts", len(delta.Puts))
		}
	}
	if logged := len(store.History(0)); logged != 6 {
		t.Errorf("the log has %d changes", logged)
	}
}
