package records

import "fmt"

// Applied returns the version of the newest change that the store has judged,
// whatever became of it; 0: there was none.
func (s *Store) Applied() uint64 { return s.applied }

// Advance gives the present content a new version without changing a record, as
// after the restore of a saved state: replicas that have gone past that state must
// see a version above theirs, and find by its digest that they differ. The error
// is ErrVersion if the version is not above all before; nothing is done then.
func (s *Store) Advance(info ChangeInfo) error {
	if info.Version <= s.applied {
		return fmt.Errorf("%w: %d is not above %d", ErrVersion, info.Version, s.applied)
	}
	s.applied, s.version = info.Version, info.Version
	s.log.add(logEntry{Info: info, Digest: s.Digest(), Keys: []Key{}})
	return nil
}

// KeyChange is the last change of one record between two versions.
type KeyChange struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
	// Record is what the change wrote; nil: it deleted the record, or a later change
	// has written it anew, and the value in between is not kept.
	Record *Record `json:"record,omitempty"`
	// SupersededBy is the version of the present record where that is above Version.
	SupersededBy uint64 `json:"later,omitempty"`
}

// KeysChanged lists the records that changes above one version and up to another
// put or deleted, in the order of their last change. The errors are those of
// ChangesSince.
func (s *Store) KeysChanged(from, to uint64) ([]KeyChange, error) {
	if from > to || to > s.version {
		return nil, fmt.Errorf("%w: asked for the changes from %d to %d, the newest is %d", ErrFuture, from, to, s.version)
	}
	if from < s.log.floorVersion {
		return nil, fmt.Errorf("%w: asked for the changes since %d, the log begins at %d", ErrCompacted, from, s.log.floorVersion)
	}
	last := map[Key]uint64{}
	var order []KeyChange
	for _, entry := range s.log.after(from) {
		if entry.Info.Version > to {
			break
		}
		for _, key := range entry.Keys {
			last[key] = entry.Info.Version
			order = append(order, KeyChange{Key: key, Version: entry.Info.Version})
		}
	}
	changes := []KeyChange{}
	for _, change := range order {
		if last[change.Key] != change.Version {
			continue
		}
		record, found := s.Get(change.Key)
		switch {
		case found && record.Version == change.Version:
			change.Record = &record
		case found && record.Version > change.Version:
			change.SupersededBy = record.Version
		}
		changes = append(changes, change)
	}
	return changes, nil
}
