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

// discard returns a logger without output.
func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// advance applies the changes up to the source's version to a replica, and persists them.
func advance(t testing.TB, disk *diskStore, replica *records.Replica, source *memorySource) {
	t.Helper()
	source.ReadRecords(func(store *records.Store) {
		delta, err := store.ChangesSince(replica.Version())
		testwait.Must(t, err)
		testwait.Must(t, replica.ApplyDelta(delta))
		testwait.Must(t, disk.persist(replica, records.Persist{Version: delta.To, Delta: &delta}))
	})
}

// reopen opens a directory, and closes its journal at the end of the test.
func reopen(t testing.TB, dir string) (*diskStore, *records.Replica) {
	t.Helper()
	disk, replica, err := openDiskStore(dir, discard())
	testwait.Must(t, err)
	t.Cleanup(disk.closeJournal)
	return disk, replica
}

// openWith opens a new directory with a snapshot and a journal.
func openWith(t testing.TB, snapshot, journal []byte) (dir string, replica *records.Replica) {
	t.Helper()
	dir = t.TempDir()
	testwait.Must(t, os.WriteFile(filepath.Join(dir, snapshotName), snapshot, fileMode))
	testwait.Must(t, os.WriteFile(filepath.Join(dir, journalName), journal, fileMode))
	_, replica = reopen(t, dir)
	return dir, replica
}

// writeTestDirectory returns a directory with a snapshot at version 1 and a journal up to version 5.
func writeTestDirectory(t testing.TB) (dir string, source *memorySource) {
	t.Helper()
	source = newMemorySource()
	source.apply(t, manyPlans(100)...)
	dir = t.TempDir()
	disk, replica := reopen(t, dir)
	if replica.Version() != 0 {
		t.Fatalf("version %d in an empty directory", replica.Version())
	}
	for i := range 5 {
		advance(t, disk, replica, source)
		if i < 4 {
			source.apply(t, plan(fmt.Sprint("later", i), 1))
		}
	}
	disk.closeJournal()
	return dir, source
}

// The replica survives restarts.
func TestDiskStorePersistsReplica(t *testing.T) {
	dir, source := writeTestDirectory(t)
	disk, replica := reopen(t, dir)
	if replica.Version() != 5 || replica.Digest() != source.digest() {
		t.Fatalf("version %d", replica.Version())
	}
	source.apply(t, plan("more", 1))
	advance(t, disk, replica, source)
	disk.closeJournal()
	if _, replica = reopen(t, dir); replica.Version() != 6 || replica.Digest() != source.digest() {
		t.Fatalf("version %d", replica.Version())
	}
}

// A journal above its maximum size is replaced by a new snapshot.
func TestDiskStoreReplacesLargeJournal(t *testing.T) {
	dir, source := writeTestDirectory(t)
	disk, replica := reopen(t, dir)
	disk.journalBytes = records.MaxJournalBytes + 1
	source.apply(t, plan("more", 1))
	advance(t, disk, replica, source)
	if disk.journalBytes != 0 {
		t.Fatalf("the journal has %d bytes", disk.journalBytes)
	}
	disk.closeJournal()
	if _, replica = reopen(t, dir); replica.Version() != 6 {
		t.Fatalf("version %d", replica.Version())
	}
}

// Journal entries that the snapshot already contains are skipped, as after a failure between the
// writes of the snapshot and the journal.
func TestDiskStoreSkipsStaleJournalEntries(t *testing.T) {
	dir, source := writeTestDirectory(t)
	journal, err := os.ReadFile(filepath.Join(dir, journalName))
	testwait.Must(t, err)
	disk, replica := reopen(t, dir)
	testwait.Must(t, disk.writeSnapshot(replica))
	disk.closeJournal()
	testwait.Must(t, os.WriteFile(filepath.Join(dir, journalName), journal, fileMode))
	if _, replica = reopen(t, dir); replica.Version() != 5 || replica.Digest() != source.digest() {
		t.Fatalf("version %d", replica.Version())
	}
}

// A snapshot that is truncated or damaged in any place is quarantined, together with its journal.
func TestDiskStoreQuarantinesDamagedSnapshot(t *testing.T) {
	from, _ := writeTestDirectory(t)
	snapshot, err := os.ReadFile(filepath.Join(from, snapshotName))
	testwait.Must(t, err)
	journal, err := os.ReadFile(filepath.Join(from, journalName))
	testwait.Must(t, err)
	for _, data := range damaged(snapshot) {
		dir, replica := openWith(t, data, journal)
		if replica.Version() != 0 || replica.Len() != 0 {
			t.Fatalf("version %d of a damaged snapshot", replica.Version())
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

// damaged returns variants of a file's content that are truncated or modified in many places.
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
	from, source := writeTestDirectory(t)
	snapshot, err := os.ReadFile(filepath.Join(from, snapshotName))
	testwait.Must(t, err)
	journal, err := os.ReadFile(filepath.Join(from, journalName))
	testwait.Must(t, err)
	for _, data := range damaged(journal) {
		dir, replica := openWith(t, snapshot, data)
		version := replica.Version()
		var digest records.Digest
		source.ReadRecords(func(store *records.Store) { digest, _ = store.DigestAt(version) })
		if version < 1 || version > 4 || replica.Digest() != digest {
			t.Fatalf("version %d of a damaged journal", version)
		}
		if _, replica = reopen(t, dir); replica.Version() != version {
			t.Fatalf("version %d at the second start, %d at the first", replica.Version(), version)
		}
	}
}

// A confirmation applies to one version, and is due once per confirmInterval.
func TestDiskStoreLoadsConfirmation(t *testing.T) {
	dir, _ := writeTestDirectory(t)
	disk, _ := reopen(t, dir)
	if at := disk.loadConfirmation(5); !at.IsZero() {
		t.Fatalf("confirmed at %v", at)
	}
	testwait.Must(t, disk.writeConfirmation(5, testTime))
	if disk.confirmDue(testTime.Add(confirmInterval-time.Second)) || !disk.confirmDue(testTime.Add(confirmInterval)) {
		t.Fatal("a confirmation is due at the wrong time")
	}
	disk, _ = reopen(t, dir)
	if at := disk.loadConfirmation(5); !at.Equal(testTime) {
		t.Fatalf("confirmed at %v", at)
	}
	if at := disk.loadConfirmation(6); !at.IsZero() {
		t.Fatalf("another version was confirmed at %v", at)
	}
}
