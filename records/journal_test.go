package records

import (
	"errors"
	"slices"
	"testing"
)

// journalOf returns a replica's snapshot at version 1 and the journal of the three
// changes after it, with where each entry ends.
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
		apply(t, store, version, change(urgent(i)), Accepted)
		entry, err := EncodeJournalEntry(since(t, store, version-1))
		if err != nil {
			t.Fatal(err)
		}
		journal = append(journal, entry...)
		ends = append(ends, len(journal))
	}
	return snapshot, journal, ends, store
}

// A journal is applied up to its first damaged or truncated entry.
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
	// The snapshot may have been written after the entries.
	if applied, err := replica.Replay(journal); err != nil || applied != len(journal) || replica.Version() != 4 {
		t.Errorf("again: %d bytes, %v, at version %d", applied, err, replica.Version())
	}
	// The entries before the damage are applied.
	entriesBefore := func(position int) int {
		count, _ := slices.BinarySearch(ends, position+1)
		return count
	}
	for position := range journal {
		for name, damaged := range map[string][]byte{
			"cut":     journal[:position],
			"changed": slices.Concat(journal[:position], []byte{journal[position] ^ 4}, journal[position+1:]),
		} {
			entries := entriesBefore(position)
			replica := restore()
			applied, err := replica.Replay(damaged)
			atEnd := name == "cut" && (position == 0 || slices.Contains(ends, position))
			if atEnd != (err == nil) || err != nil && !errors.Is(err, ErrJournal) {
				t.Fatalf("%s at byte %d: %v", name, position, err)
			}
			want := 0
			if entries > 0 {
				want = ends[entries-1]
			}
			if applied != want || replica.Version() != uint64(1+entries) {
				t.Fatalf("%s at byte %d: %d bytes are usable, want %d; at version %d", name, position, applied, want, replica.Version())
			}
		}
	}
	missing := restore()
	if applied, err := missing.Replay(journal[ends[0]:]); !errors.Is(err, ErrGap) || applied != 0 || missing.Version() != 1 {
		t.Errorf("an entry is missing: %d bytes, %v", applied, err)
	}
}

// Replay accepts any input without a panic, and never applies a part of an entry.
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
