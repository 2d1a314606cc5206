package recordsync

import (
	"errors"
	"fmt"
	"log/slog"
	"os"

	"elderyard/internal/files"
	"elderyard/records"
)

// damagedSuffix is added to the name of a file that can't be used.
const damagedSuffix = ".damaged"

const fileMode = 0o600

// copyFile is the file that a follower's copy is kept in across restarts.
type copyFile struct {
	path string
	log  *slog.Logger
}

// load reads the copy that an earlier run kept. A file that is damaged or cut off
// is set aside for a look, and the copy begins empty.
func (f copyFile) load() (*records.Replica, error) {
	replica := &records.Replica{}
	data, err := os.ReadFile(f.path)
	if errors.Is(err, os.ErrNotExist) {
		return replica, nil
	}
	if err != nil {
		return nil, fmt.Errorf("records: %w", err)
	}
	if err := replica.Restore(data); err != nil {
		f.log.Error("the records that are kept can't be used; they are fetched anew", "file", f.path, "set aside as", f.path+damagedSuffix, "error", err)
		if err := os.Rename(f.path, f.path+damagedSuffix); err != nil {
			return nil, fmt.Errorf("records: set a damaged file aside: %w", err)
		}
		return &records.Replica{}, nil
	}
	return replica, nil
}

// save replaces the file whole.
func (f copyFile) save(snapshot []byte) error { return files.Replace(f.path, snapshot, fileMode) }
