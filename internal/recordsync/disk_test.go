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
func advance(t testing.TB, f *folder, replica *records.Replica, source *memorySource) {
	t.Helper()
	source.ReadRecords(func(store *records.Store) {
		delta, err := store.ChangesSince(replica.Version())
		must(t, err)
		must(t, replica.ApplyDelta(delta))
		must(t, f.save(replica, records.Save{Version: delta.To, Delta: &delta}))
	})
}

func reopen(t testing.TB, dir string) (*folder, *records.Replica) {
	t.Helper()
	f, replica, err := openFolder(dir, discard())
	must(t, err)
	t.Cleanup(f.closeJournal)
	return f, replica
}

// keep makes a folder with a copy at version 1 and a journal up to version 5.
func keep(t testing.TB) (dir string, source *memorySource) {
	t.Helper()
	source = newMemorySource()
	source.apply(t, many(100)...)
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

func TestFolderKeepsACopy(t *testing.T) {
	dir, source := keep(t)
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

// TestFolderWritesTheCopyAnew begins a new journal when the old one has grown.
func TestFolderWritesTheCopyAnew(t *testing.T) {
	dir, source := keep(t)
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

// TestFolderStaleJournal passes over what a copy that was just written has already.
func TestFolderStaleJournal(t *testing.T) {
	dir, source := keep(t)
	journal, err := os.ReadFile(filepath.Join(dir, journalName))
	must(t, err)
	f, replica := reopen(t, dir)
	must(t, f.saveWhole(replica))
	f.closeJournal()
	must(t, os.WriteFile(filepath.Join(dir, journalName), journal, fileMode))
	if _, replica = reopen(t, dir); replica.Version() != 5 || replica.Digest() != source.digest() {
		t.Fatalf("version %d", replica.Version())
	}
}

// TestFolderDamagedCopy sets a copy aside that is damaged anywhere, or cut off.
func TestFolderDamagedCopy(t *testing.T) {
	from, _ := keep(t)
	whole, err := os.ReadFile(filepath.Join(from, copyName))
	must(t, err)
	journal, err := os.ReadFile(filepath.Join(from, journalName))
	must(t, err)
	for _, data := range damaged(whole) {
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, copyName), data, fileMode))
		must(t, os.WriteFile(filepath.Join(dir, journalName), journal, fileMode))
		_, replica := reopen(t, dir)
		if replica.Version() != 0 || replica.Len() != 0 {
			t.Fatalf("version %d of a damaged copy", replica.Version())
		}
		aside, err := os.ReadFile(filepath.Join(dir, copyName+damagedSuffix))
		if err != nil || string(aside) != string(data) {
			t.Fatalf("set aside %d bytes of %d, %v", len(aside), len(data), err)
		}
		for _, name := range []string{copyName, journalName} {
			if _, err := os.Stat(filepath.Join(dir, name)); !os.IsNotExist(err) {
				t.Fatalf("%s is still there: %v", name, err)
			}
		}
	}
}

// damaged returns a file's content cut off, or changed, in many places.
func damaged(whole []byte) (list [][]byte) {
	for i := 0; i < len(whole); i += max(1, len(whole)/40) {
		changed := append([]byte(nil), whole...)
		changed[i] ^= 1
		list = append(list, changed, whole[:i])
	}
	return list
}

// TestFolderDamagedJournal uses what comes before the damage, and writes it down
// for good.
func TestFolderDamagedJournal(t *testing.T) {
	from, source := keep(t)
	whole, err := os.ReadFile(filepath.Join(from, copyName))
	must(t, err)
	journal, err := os.ReadFile(filepath.Join(from, journalName))
	must(t, err)
	for _, data := range damaged(journal) {
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, copyName), whole, fileMode))
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

func TestFolderRemembersWhenItWasConfirmed(t *testing.T) {
	dir, _ := keep(t)
	f, _ := reopen(t, dir)
	if at := f.confirmed(5); !at.IsZero() {
		t.Fatalf("confirmed at %v", at)
	}
	must(t, f.confirm(5, testTime))
	if f.confirmDue(testTime.Add(confirmEvery-time.Second)) || !f.confirmDue(testTime.Add(confirmEvery)) {
		t.Fatal("a confirmation is due at the wrong time")
	}
	f, _ = reopen(t, dir)
	if at := f.confirmed(5); !at.Equal(testTime) {
		t.Fatalf("confirmed at %v", at)
	}
	if at := f.confirmed(6); !at.IsZero() {
		t.Fatalf("another version was confirmed at %v", at)
	}
}
