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

// Files in a follower's directory: the replica's snapshot; the journal of the changes after it,
// so that the cost of a change does not depend on the size of the replica; and the confirmation,
// which is the time at which the replica was last known to be at the newest version.
const (
	snapshotName  = "records"
	journalName   = "records.journal"
	confirmedName = "records.confirmed"
	// damagedSuffix is the suffix of a quarantined file.
	damagedSuffix = ".damaged"
)

const (
	dirMode  = 0o700
	fileMode = 0o600

	maxFileBytes = 64 << 20 // larger than any file that this package writes
	// confirmInterval is the shortest time between two writes of the confirmation.
	confirmInterval = 30 * time.Second
)

// diskStore persists a follower's replica across restarts. It is not safe for concurrent use.
type diskStore struct {
	dir string
	log *slog.Logger

	journal      *os.File // nil if the next change needs a new snapshot
	journalBytes int

	confirmedAt time.Time // time of the last confirmation in the file
}

// confirmation is the time at which a version was last known to be the newest.
type confirmation struct {
	Version uint64    `json:"version"`
	At      time.Time `json:"at"`
}

// path returns the path of a file in the directory.
func (s *diskStore) path(name string) string { return filepath.Join(s.dir, name) }

// openDiskStore returns the replica that an earlier run has persisted. Damaged and truncated
// files are quarantined: without a usable snapshot the replica is empty, and of a damaged journal
// the entries before the damage are applied.
func openDiskStore(dir string, log *slog.Logger) (*diskStore, *records.Replica, error) {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, nil, fmt.Errorf("records: %w", err)
	}
	s := &diskStore{dir: dir, log: log}
	replica := &records.Replica{}
	data, err := s.readFile(snapshotName)
	if err == nil && data != nil {
		err = replica.Restore(data)
	}
	if err != nil {
		replica = &records.Replica{}
		return s, replica, errors.Join(s.quarantine(snapshotName, err), s.quarantine(journalName, errNoSnapshot))
	}
	if err := s.replayJournal(replica); err != nil {
		if err := s.quarantine(journalName, err); err != nil {
			return nil, nil, err
		}
		// The entries before the damage are applied and must be persisted: otherwise the next
		// start would return to an earlier version.
		if err := s.writeSnapshot(replica); err != nil {
			return nil, nil, fmt.Errorf("records: %w", err)
		}
	}
	return s, replica, nil
}

// errNoSnapshot is the cause with which a journal is quarantined together with its snapshot.
var errNoSnapshot = errors.New("the snapshot before it is unusable")

// readFile returns a file's content, or nil if the file does not exist.
func (s *diskStore) readFile(name string) ([]byte, error) {
	file, err := os.Open(s.path(name))
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

// quarantine renames an unusable file, and logs the cause. It returns an error if the rename
// fails, but not if the file does not exist.
func (s *diskStore) quarantine(name string, cause error) error {
	quarantined := s.path(name) + damagedSuffix
	err := os.Rename(s.path(name), quarantined)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("records: quarantine a damaged file: %w", err)
	}
	s.log.Error("quarantined unusable records file", "file", s.path(name), "quarantine", quarantined, "error", cause)
	return nil
}

// replayJournal applies the journal to the replica of the snapshot, and opens it for appending.
func (s *diskStore) replayJournal(replica *records.Replica) error {
	data, err := s.readFile(journalName)
	if err != nil {
		return err
	}
	if _, err := replica.Replay(data); err != nil {
		return fmt.Errorf("after version %d: %w", replica.Version(), err)
	}
	if replica.Version() == 0 {
		return nil // the first persist writes a snapshot
	}
	s.journalBytes = len(data)
	s.journal, err = os.OpenFile(s.path(journalName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	return err
}

// persist appends the change to the journal, or writes a snapshot. After an error the next call
// writes a snapshot.
func (s *diskStore) persist(replica *records.Replica, action records.Persist) error {
	if action.Delta == nil || s.journal == nil || s.journalBytes > records.MaxJournalBytes {
		return s.writeSnapshot(replica)
	}
	entry, err := records.EncodeJournalEntry(*action.Delta)
	if err != nil {
		return err
	}
	if _, err = s.journal.Write(entry); err == nil {
		err = s.journal.Sync()
	}
	if err != nil {
		// The journal may end with a partial entry: nothing may be appended after it.
		s.closeJournal()
		return fmt.Errorf("write %s: %w", s.path(journalName), err)
	}
	s.journalBytes += len(entry)
	return nil
}

// writeSnapshot replaces the snapshot, and truncates the journal. If it fails in between, the old
// entries of the journal remain: they end at or below the version of the snapshot, so replaying
// them at the next start has no effect.
func (s *diskStore) writeSnapshot(replica *records.Replica) error {
	s.closeJournal()
	data, err := replica.Snapshot()
	if err != nil {
		return err
	}
	if err := files.Replace(s.path(snapshotName), data, fileMode); err != nil {
		return err
	}
	s.journalBytes = 0
	journal, err := os.OpenFile(s.path(journalName), os.O_CREATE|os.O_TRUNC|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if err := syncDir(s.dir); err != nil {
		journal.Close()
		return err
	}
	s.journal = journal
	return nil
}

// syncDir makes the directory's entries durable.
func syncDir(dir string) error {
	opened, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(opened.Sync(), opened.Close())
}

// closeJournal closes the journal if it is open. The next persist writes a snapshot.
func (s *diskStore) closeJournal() {
	if s.journal != nil {
		s.journal.Close()
		s.journal = nil
	}
}

// loadConfirmation returns the time at which a version was last known to be the newest, or the
// zero time if the file has no confirmation of that version.
func (s *diskStore) loadConfirmation(version uint64) time.Time {
	data, err := s.readFile(confirmedName)
	var stored confirmation
	if err != nil || json.Unmarshal(data, &stored) != nil || stored.Version != version {
		return time.Time{}
	}
	return stored.At
}

// confirmDue reports whether the confirmation in the file is at least confirmInterval older than
// at. Each response confirms the version, which would be too many writes.
func (s *diskStore) confirmDue(at time.Time) bool {
	return !at.IsZero() && at.Sub(s.confirmedAt) >= confirmInterval
}

// writeConfirmation replaces the confirmation.
func (s *diskStore) writeConfirmation(version uint64, at time.Time) error {
	text, err := json.Marshal(confirmation{Version: version, At: at.UTC()})
	if err != nil {
		return err
	}
	s.confirmedAt = at
	return files.Replace(s.path(confirmedName), text, fileMode)
}
