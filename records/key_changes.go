package records

import "fmt"

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
