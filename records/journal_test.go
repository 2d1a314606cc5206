package records

import (
	"errors"
	"slices"
	"testing"
)

// journalOf returns a replica's snapshot at version 1, the journal of the three changes after it with the offset at
// which each entry ends, and the store.
func journalOf(t testing.TB) (snapshot, journal []byte, ends []int, store *Store) {
	t.Helper()
	store = smallStore(t)
	replica := fullReplica(t, store)
	snapshot, err := replica.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	for i := range 3 {
		version := uint64(i + 2)
		apply(t, store, version, change(urgentOperation(i)), Accepted)
		entry, err := EncodeJournalEntry(since(t, store, version-1))
		if err != nil {
			t.Fatal(err)
		}
		journal = append(journal, entry...)
		ends = append(ends, len(journal))
	}
	return snapshot, journal, ends, store
}

// A journal is replayed up to its first damaged or truncated entry, wherever the damage is.
func TestReplayEndsAtDamagedEntry(t *testing.T) {
	snapshot, journal, ends, store := journalOf(t)
	restore := func() *Replica {
		replica := &Replica{}
		if err := replica.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		return replica
	}
	replica := restore()
	if applied, err := replica.Replay(journal); err != nil || applied != len(journal) || replica.Digest() != store.Digest() {
		t.Fatalf("%d bytes, %v, at version %d", applied, err, replica.Version())
	}
	// A snapshot may be newer than the entries, so entries that it contains are skipped.
	if applied, err := replica.Replay(journal); err != nil || applied != len(journal) || replica.Version() != 4 {
		t.Errorf("second replay: %d bytes, %v, at version %d", applied, err, replica.Version())
	}
	// entriesBefore returns the number of entries that end at or before a position.
	entriesBefore := func(position int) int {
		count, _ := slices.BinarySearch(ends, position+1)
		return count
	}
	for position := range journal {
		for name, damaged := range map[string][]byte{
			"truncated": journal[:position],
			"modified":  slices.Concat(journal[:position], []byte{journal[position] ^ 4}, journal[position+1:]),
		} {
			entries := entriesBefore(position)
			replica := restore()
			applied, err := replica.Replay(damaged)
			atEnd := name == "truncated" && (position == 0 || slices.Contains(ends, position))
			if atEnd != (err == nil) || err != nil && !errors.Is(err, ErrJournal) {
				t.Fatalf("%s at byte %d: %v", name, position, err)
			}
			want := 0
			if entries > 0 {
				want = ends[entries-1]
			}
			if applied != want || replica.Version() != uint64(1+entries) {
				t.Fatalf("%s at byte %d: replayed %d bytes, want %d; at version %d", name, position, applied, want, replica.Version())
			}
		}
	}
	replica = restore()
	if applied, err := replica.Replay(journal[ends[0]:]); !errors.Is(err, ErrGap) || applied != 0 || replica.Version() != 1 {
		t.Errorf("without the first entry: %d bytes, %v", applied, err)
	}
}

// Replay does not panic on any input and never applies a part of an entry; it fails unless it replayed the whole input.
func FuzzReplay(f *testing.F) {
	snapshot, journal, ends, _ := journalOf(f)
	f.Add(journal)
	f.Add(journal[:ends[1]+5])
	f.Add(journal[ends[1]:])
	f.Fuzz(func(t *testing.T, data []byte) {
		replica := &Replica{}
		if err := replica.Restore(snapshot); err != nil {
			t.Fatal(err)
		}
		applied, err := replica.Replay(data)
		if applied > len(data) || (err == nil) != (applied == len(data)) || replica.Version() < 1 {
			t.Fatalf("%d of %d bytes, %v, at version %d", applied, len(data), err, replica.Version())
		}
	})
}
