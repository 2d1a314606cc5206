package recordsync

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"elderyard/internal/files"
	"elderyard/records"
)

// The files of a follower's folder. The copy is a replica's snapshot; the journal
// has the changes that came after it, so that a change costs its own size; the
// third says when the copy was last known to be the newest.
const (
	snapshotName  = "records"
	journalName   = "records.journal"
	confirmedName = "records.confirmed"
	// damagedSuffix is added to the name of a file that can't be used.
	damagedSuffix = ".damaged"
)

const (
	dirMode  = 0o700
	fileMode = 0o600

	maxFileBytes = 64 << 20 // a larger file is none of ours
	// confirmInterval is how often the time of the last confirmation is written.
	confirmInterval = 30 * time.Second
)

// diskStore keeps a follower's copy across restarts. It belongs to one goroutine.
type diskStore struct {
	dir string
	log *slog.Logger

	journal      *os.File // nil: the copy has to be written whole
	journalBytes int

	confirmedAt time.Time // as written
}

// confirmation says when a version was last known to be the newest.
type confirmation struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
}

func (f *diskStore) path(name string) string { return filepath.Join(f.dir, name) }

// openDiskStore reads the copy that an earlier run kept. Files that are damaged or cut
// off are set aside for a look: without a usable copy the replica is empty, and of
// the journal all that comes before the damage is used.
func openDiskStore(dir string, log *slog.Logger) (*diskStore, *records.Replica, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, nil, fmt.Errorf("records: %w", err)
	}
	f := &diskStore{dir: dir, log: log}
	replica := &records.Replica{}
	data, err := f.readFile(snapshotName)
	if err == nil && data != nil {
		err = replica.Restore(data)
	}
	if err != nil {
		replica = &records.Replica{}
		return f, replica, errors.Join(f.quarantine(snapshotName, err), f.quarantine(journalName, errNoSnapshot))
	}
	if err := f.replayJournal(replica); err != nil {
		if err := f.quarantine(journalName, err); err != nil {
			return nil, nil, err
		}
		// What was whole of the journal is in force: the next start must not go back behind it.
		if err := f.writeSnapshot(replica); err != nil {
			return nil, nil, fmt.Errorf("records: %w", err)
		}
	}
	return f, replica, nil
}

var errNoSnapshot = errors.New("there is no copy that it follows")

// readFile returns a file's content; nil: there is no file.
func (f *diskStore) readFile(name string) ([]byte, error) {
	file, err := os.Open(f.path(name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err == nil && len(data) > maxFileBytes {
		err = fmt.Errorf("more than %d bytes", maxFileBytes)
	}
	return data, err
}

// quarantine renames a file that can't be used. The error is of a file that can't be
// moved either.
func (f *diskStore) quarantine(name string, cause error) error {
	aside := f.path(name) + damagedSuffix
	err := os.Rename(f.path(name), aside)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("records: set a damaged file aside: %w", err)
	}
	f.log.Error("a file of the records can't be used", "file", f.path(name), "set aside as", aside, "error", cause)
	return nil
}

// replayJournal applies the journal's changes that the copy lacks, and opens the journal.
func (f *diskStore) replayJournal(replica *records.Replica) error {
	data, err := f.readFile(journalName)
	if err != nil {
		return err
	}
	if _, err := replica.Replay(data); err != nil {
		return fmt.Errorf("behind version %d: %w", replica.Version(), err)
	}
	if replica.Version() == 0 {
		return nil // the first save writes the copy whole
	}
	f.journalBytes = len(data)
	f.journal, err = os.OpenFile(f.path(journalName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	return err
}

// persist writes down that the replica has come to a version.
func (f *diskStore) persist(replica *records.Replica, saved records.Persist) error {
	if saved.Delta == nil || f.journal == nil || f.journalBytes > records.MaxJournalBytes {
		return f.writeSnapshot(replica)
	}
	entry, err := records.EncodeJournalEntry(*saved.Delta)
	if err != nil {
		return err
	}
	if _, err = f.journal.Write(entry); err == nil {
		err = f.journal.Sync()
	}
	if err != nil {
		// What is in the journal's end is not known: the next save writes the copy whole.
		f.closeJournal()
		return fmt.Errorf("write %s: %w", f.path(journalName), err)
	}
	f.journalBytes += len(entry)
	return nil
}

// writeSnapshot writes the copy, and begins a new journal.
func (f *diskStore) writeSnapshot(replica *records.Replica) error {
	f.closeJournal()
	data, err := replica.Snapshot()
	if err != nil {
		return err
	}
	if err := files.Replace(f.path(snapshotName), data, fileMode); err != nil {
		return err
	}
	f.journalBytes = 0
	journal, err := os.OpenFile(f.path(journalName), os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if err := syncDir(f.dir); err != nil {
		journal.Close()
		return err
	}
	f.journal = journal
	return nil
}

// syncDir makes the names of a folder's files last.
func syncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

func (f *diskStore) closeJournal() {
	if f.journal != nil {
		f.journal.Close()
		f.journal = nil
	}
}

// loadConfirmation returns when a version was last known to be the newest; zero: that is
// not known.
func (f *diskStore) loadConfirmation(version uint64) time.Time {
	data, err := f.readFile(confirmedName)
	var c confirmation
	if err != nil || json.Unmarshal(data, &c) != nil || c.Version != version {
		return time.Time{}
	}
	return c.At
}

// confirmDue tells whether a confirmation is to be written down: each would cost a
// write where one in confirmInterval does.
func (f *diskStore) confirmDue(at time.Time) bool {
	return !at.IsZero() && at.Sub(f.confirmedAt) >= confirmInterval
}

// writeConfirmation writes down that a version is the newest.
func (f *diskStore) writeConfirmation(version uint64, at time.Time) error {
	text, err := json.Marshal(confirmation{Version: version, At: at.UTC()})
	if err != nil {
		return err
	}
	f.confirmedAt = at
	return files.Replace(f.path(confirmedName), text, fileMode)
}
