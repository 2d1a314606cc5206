package records

import "fmt"

// KeyChange is the last change of one record within an interval of versions.
type KeyChange struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
	// Record is what the change wrote. It is nil if the change deleted the record, or if a later change overwrote it,
	// since the log stores no values.
	Record *Record `json:"record,omitempty"`
	// SupersededBy is the version of the current record if that is above Version, otherwise 0.
	SupersededBy uint64 `json:"later,omitempty"`
}

// KeysChanged returns the records that changes above version from and up to version to put or deleted, in the order
// of their last change. The error is ErrFuture if to is above the store's version or below from, and ErrCompacted if
// the log does not reach back to from.
func (s *Store) KeysChanged(from, to uint64) ([]KeyChange, error) {
	if from > to || to > s.version {
		return nil, fmt.Errorf("%w: asked for the changes from %d to %d, the newest is %d", ErrFuture, from, to, s.version)
	}
	if from < s.log.compactedVersion {
		return nil, fmt.Errorf("%w: asked for the changes since %d, the log begins at %d", ErrCompacted, from, s.log.compactedVersion)
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
