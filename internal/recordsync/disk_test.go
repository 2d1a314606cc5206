package recordsync

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"elderyard/records"
)

func discard() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }

// keptCopy returns the snapshot of a replica of the source.
func keptCopy(t testing.TB, source *memorySource) []byte {
	t.Helper()
	replica := &records.Replica{}
	source.ReadRecords(func(store *records.Store) {
		delta, err := store.ChangesSince(0)
		must(t, err)
		must(t, replica.ApplyDelta(delta))
	})
	data, err := replica.Snapshot()
	must(t, err)
	return data
}

func TestCopyFile(t *testing.T) {
	source := newMemorySource()
	source.apply(t, many(100)...)
	file := copyFile{path: filepath.Join(t.TempDir(), "records"), log: discard()}
	replica, err := file.load()
	if err != nil || replica.Version() != 0 {
		t.Fatalf("version %d without a file, %v", replica.Version(), err)
	}
	must(t, file.save(keptCopy(t, source)))
	if replica, err = file.load(); err != nil || replica.Version() != 1 || replica.Digest() != source.digest() {
		t.Fatalf("version %d, %v", replica.Version(), err)
	}
}

// TestCopyFileDamaged sets a file aside that is damaged anywhere, or cut off.
func TestCopyFileDamaged(t *testing.T) {
	source := newMemorySource()
	source.apply(t, many(20)...)
	whole := keptCopy(t, source)
	damage := map[string][]byte{"empty": {}}
	for i := 0; i < len(whole); i += max(1, len(whole)/50) {
		changed := append([]byte(nil), whole...)
		changed[i] ^= 1
		damage["changed"+string(rune('a'+i%26))] = changed
		damage["cut"+string(rune('a'+i%26))] = whole[:i]
	}
	for name, data := range damage {
		file := copyFile{path: filepath.Join(t.TempDir(), name), log: discard()}
		must(t, os.WriteFile(file.path, data, 0o600))
		replica, err := file.load()
		if err != nil || replica.Version() != 0 || replica.Len() != 0 {
			t.Fatalf("%s: version %d, %v", name, replica.Version(), err)
		}
		aside, err := os.ReadFile(file.path + damagedSuffix)
		if err != nil || string(aside) != string(data) {
			t.Fatalf("%s: set aside %d bytes of %d, %v", name, len(aside), len(data), err)
		}
		if _, err := os.Stat(file.path); !os.IsNotExist(err) {
			t.Fatalf("%s: the file is still there: %v", name, err)
		}
	}
}
