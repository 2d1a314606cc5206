package recordsync

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"elderyard/records"
)

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// advance brings a replica to the source's version, and writes that down.
func advance(t testing.TB, f *diskStore, replica *records.Replica, source *memorySource) {
	t.Helper()
	source.ReadRecords(func(store *records.Store) {
		delta, err := store.ChangesSince(replica.Version())
		must(t, err)
		must(t, replica.ApplyDelta(delta))
		must(t, f.persist(replica, records.Persist{Version: delta.To, Delta: &delta}))
	})
}

func reopen(t testing.TB, dir string) (*diskStore, *records.Replica) {
	t.Helper()
	f, replica, err := openDiskStore(dir, discard())
	must(t, err)
	t.Cleanup(f.closeJournal)
	return f, replica
}

// writeTestFolder makes a folder with a copy at version 1 and a journal up to version 5.
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

func TestDiskStorePersistsTheCopy(t *testing.T) {
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

// TestDiskStoreRewritesTheSnapshot begins a new journal when the old one has grown.
func TestDiskStoreRewritesTheSnapshot(t *testing.T) {
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

// TestDiskStoreStaleJournal passes over what a copy that was just written has already.
func TestDiskStoreStaleJournal(t *testing.T) {
	dir, source := writeTestFolder(t)
	journal, err := os.ReadFile(filepath.Join(dir, journalName))
	must(t, err)
	f, replica := reopen(t, dir)
	must(t, f.writeSnapshot(replica))
	f.closeJournal()
	must(t, os.WriteFile(filepath.Join(dir, journalName), journal, fileMode))
	if _, replica = reopen(t, dir); replica.Version() != 5 || replica.Digest() != source.digest() {
		t.Fatalf("version %d", replica.Version())
	}
}

// TestDiskStoreDamagedSnapshot sets a copy aside that is damaged anywhere, or cut off.
func TestDiskStoreDamagedSnapshot(t *testing.T) {
	from, _ := writeTestFolder(t)
	whole, err := os.ReadFile(filepath.Join(from, snapshotName))
	must(t, err)
	journal, err := os.ReadFile(filepath.Join(from, journalName))
	must(t, err)
	for _, data := range damaged(whole) {
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, snapshotName), data, fileMode))
		must(t, os.WriteFile(filepath.Join(dir, journalName), journal, fileMode))
		_, replica := reopen(t, dir)
		if replica.Version() != 0 || replica.Len() != 0 {
			t.Fatalf("version %d of a damaged copy", replica.Version())
		}
		aside, err := os.ReadFile(filepath.Join(dir, snapshotName+damagedSuffix))
		if err != nil || string(aside) != string(data) {
			t.Fatalf("set aside %d bytes of %d, %v", len(aside), len(data), err)
		}
		for _, name := range []string{snapshotName, journalName} {
			if _, err := os.Stat(filepath.Join(dir, name)); !os.IsNotExist(err) {
				t.Fatalf("%s is still there: %v", name, err)
			}
		}
	}
}

// damaged returns a file's content cut off, or changed, in many places.
func damaged(content []byte) (list [][]byte) {
	for i := 0; i < len(content); i += max(1, len(content)/40) {
		changed := append([]byte(nil), content...)
		changed[i] ^= 1
		list = append(list, changed, content[:i])
	}
	return list
}

// TestDiskStoreDamagedJournal uses what comes before the damage, and writes it down
// for good.
func TestDiskStoreDamagedJournal(t *testing.T) {
	from, source := writeTestFolder(t)
	whole, err := os.ReadFile(filepath.Join(from, snapshotName))
	must(t, err)
	journal, err := os.ReadFile(filepath.Join(from, journalName))
	must(t, err)
	for _, data := range damaged(journal) {
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, snapshotName), whole, fileMode))
		must(t, os.WriteFile(filepath.Join(dir, journalName), data, fileMode))
		_, replica := reopen(t, dir)
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

func TestDiskStoreLoadsItsConfirmation(t *testing.T) {
	dir, _ := writeTestFolder(t)
	f, _ := reopen(t, dir)
	if at := f.loadConfirmation(5); !at.IsZero() {
		t.Fatalf("confirmed at %v", at)
	}
	must(t, f.writeConfirmation(5, testTime))
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
