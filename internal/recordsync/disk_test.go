package recordsync

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"elderyard/internal/testwait"
	"elderyard/records"
)

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// advance applies the changes up to the source's version to a replica, and persists them.
func advance(t testing.TB, f *diskStore, replica *records.Replica, source *memorySource) {
	t.Helper()
	source.ReadRecords(func(store *records.Store) {
		delta, err := store.ChangesSince(replica.Version())
		testwait.Must(t, err)
		testwait.Must(t, replica.ApplyDelta(delta))
		testwait.Must(t, f.persist(replica, records.Persist{Version: delta.To, Delta: &delta}))
	})
}

// reopen opens a directory, and closes its journal at the end of the test.
func reopen(t testing.TB, dir string) (*diskStore, *records.Replica) {
	t.Helper()
	f, replica, err := openDiskStore(dir, discard())
	testwait.Must(t, err)
	t.Cleanup(f.closeJournal)
	return f, replica
}

// openFiles writes a snapshot and a journal to a new directory, and opens it.
func openFiles(t testing.TB, snapshot, journal []byte) (dir string, replica *records.Replica) {
	t.Helper()
	dir = t.TempDir()
	testwait.Must(t, os.WriteFile(filepath.Join(dir, snapshotName), snapshot, fileMode))
	testwait.Must(t, os.WriteFile(filepath.Join(dir, journalName), journal, fileMode))
	_, replica = reopen(t, dir)
	return dir, replica
}

// writeTestFolder returns a directory with a snapshot at version 1 and a journal up to version 5.
func writeTestFolder(t testing.TB) (dir string, source *memorySource) {
	t.Helper()
	source = newMemorySource()
	source.apply(t, manyPlans(100)...)
	dir = t.TempDir()
	f, replica := reopen(t, dir)
	if replica.Version() != 0 {
		t.Fatalf("version %d in an empty folder", replica.Version())
	}
	for i := range 5 {
		advance(t, f, replica, source)
		if i < 4 {
			source.apply(t, plan(fmt.Sprint("later", i), 1))
		}
	}
	f.closeJournal()
	return dir, source
}

// The replica survives restarts.
func TestDiskStorePersistsReplica(t *testing.T) {
	dir, source := writeTestFolder(t)
	f, replica := reopen(t, dir)
	if replica.Version() != 5 || replica.Digest() != source.digest() {
		t.Fatalf("version %d", replica.Version())
	}
	source.apply(t, plan("more", 1))
	advance(t, f, replica, source)
	f.closeJournal()
	if _, replica = reopen(t, dir); replica.Version() != 6 || replica.Digest() != source.digest() {
		t.Fatalf("version %d", replica.Version())
	}
}

// A journal over its bound is replaced by a new snapshot.
func TestDiskStoreReplacesLargeJournal(t *testing.T) {
	dir, source := writeTestFolder(t)
	f, replica := reopen(t, dir)
	f.journalBytes = records.MaxJournalBytes + 1
	source.apply(t, plan("more", 1))
	advance(t, f, replica, source)
	if f.journalBytes != 0 {
		t.Fatalf("the journal has %d bytes", f.journalBytes)
	}
	f.closeJournal()
	if _, replica = reopen(t, dir); replica.Version() != 6 {
		t.Fatalf("version %d", replica.Version())
	}
}

// Entries of a journal that the snapshot has already are skipped.
func TestDiskStoreSkipsStaleJournalEntries(t *testing.T) {
	dir, source := writeTestFolder(t)
	journal, err := os.ReadFile(filepath.Join(dir, journalName))
	testwait.Must(t, err)
	f, replica := reopen(t, dir)
	testwait.Must(t, f.writeSnapshot(replica))
	f.closeJournal()
	testwait.Must(t, os.WriteFile(filepath.Join(dir, journalName), journal, fileMode))
	if _, replica = reopen(t, dir); replica.Version() != 5 || replica.Digest() != source.digest() {
		t.Fatalf("version %d", replica.Version())
	}
}

// A snapshot that is damaged anywhere or truncated is quarantined, together with its journal.
func TestDiskStoreQuarantinesDamagedSnapshot(t *testing.T) {
	from, _ := writeTestFolder(t)
	snapshot, err := os.ReadFile(filepath.Join(from, snapshotName))
	testwait.Must(t, err)
	journal, err := os.ReadFile(filepath.Join(from, journalName))
	testwait.Must(t, err)
	for _, data := range damaged(snapshot) {
		dir, replica := openFiles(t, data, journal)
		if replica.Version() != 0 || replica.Len() != 0 {
			t.Fatalf("version %d of a damaged copy", replica.Version())
		}
		quarantined, err := os.ReadFile(filepath.Join(dir, snapshotName+damagedSuffix))
		if err != nil || string(quarantined) != string(data) {
			t.Fatalf("quarantined %d bytes of %d, %v", len(quarantined), len(data), err)
		}
		for _, name := range []string{snapshotName, journalName} {
			if _, err := os.Stat(filepath.Join(dir, name)); !os.IsNotExist(err) {
				t.Fatalf("%s is still there: %v", name, err)
			}
		}
	}
}

// damaged returns variants of a file's content, truncated and changed in many places.
func damaged(content []byte) (list [][]byte) {
	for i := 0; i < len(content); i += max(1, len(content)/40) {
		changed := append([]byte(nil), content...)
		changed[i] ^= 1
		list = append(list, changed, content[:i])
	}
	return list
}

// The entries before a journal's damage are applied, and persisted in a new snapshot.
func TestDiskStoreAppliesJournalBeforeDamage(t *testing.T) {
	from, source := writeTestFolder(t)
	snapshot, err := os.ReadFile(filepath.Join(from, snapshotName))
	testwait.Must(t, err)
	journal, err := os.ReadFile(filepath.Join(from, journalName))
	testwait.Must(t, err)
	for _, data := range damaged(journal) {
		dir, replica := openFiles(t, snapshot, data)
		first := replica.Version()
		var digest records.Digest
		source.ReadRecords(func(store *records.Store) { digest, _ = store.DigestAt(first) })
		if first < 1 || first > 4 || replica.Digest() != digest {
			t.Fatalf("version %d of a damaged journal", first)
		}
		if _, replica = reopen(t, dir); replica.Version() != first {
			t.Fatalf("version %d at the second start, %d at the first", replica.Version(), first)
		}
	}
}

// A confirmation is for one version, and is written at most once per confirmInterval.
func TestDiskStoreLoadsConfirmation(t *testing.T) {
	dir, _ := writeTestFolder(t)
	f, _ := reopen(t, dir)
	if at := f.loadConfirmation(5); !at.IsZero() {
		t.Fatalf("confirmed at %v", at)
	}
	testwait.Must(t, f.writeConfirmation(5, testTime))
	if f.confirmDue(testTime.Add(confirmInterval-time.Second)) || !f.confirmDue(testTime.Add(confirmInterval)) {
		t.Fatal("a confirmation is due at the wrong time")
	}
	f, _ = reopen(t, dir)
	if at := f.loadConfirmation(5); !at.Equal(testTime) {
		t.Fatalf("confirmed at %v", at)
	}
	if at := f.loadConfirmation(6); !at.IsZero() {
		t.Fatalf("another version was confirmed at %v", at)
	}
}
