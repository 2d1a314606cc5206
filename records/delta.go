package records

import (
	"fmt"
	"slices"
)

// Tombstone is the key of a deleted record and the version of the change that deleted it.
type Tombstone struct {
	Key     Key    `json:"key"`
	Version uint64 `json:"version"`
}

// Delta is the net effect of the changes above version From up to version To. A record that several changes wrote
// appears once, as it is at To.
type Delta struct {
	From    uint64          `json:"from"`
	To      uint64          `json:"to"`
	Digest  Digest          `json:"digest"` // of the state at To
	Puts    List[Record]    `json:"puts,omitempty"`
	Deletes List[Tombstone] `json:"deletes,omitempty"`
}

// Empty reports whether the delta changes no record.
func (d Delta) Empty() bool { return len(d.Puts) == 0 && len(d.Deletes) == 0 }

// Size returns the approximate size of the delta on the wire before compression, in bytes.
func (d Delta) Size() int {
	size := 0
	for _, record := range d.Puts {
		size += recordOverhead + record.size()
	}
	for _, tombstone := range d.Deletes {
		size += recordOverhead + len(tombstone.Key.Name)
	}
	return size
}

// validate implements validator.
func (d Delta) validate() error {
	if d.From > d.To {
		return fmt.Errorf("the delta leads from version %d back to %d", d.From, d.To)
	}
	if !d.Empty() && d.From == d.To {
		return fmt.Errorf("the delta changes records without a change of version %d", d.To)
	}
	if count := len(d.Puts) + len(d.Deletes); count > MaxRecords {
		return fmt.Errorf("the delta has %d records, at most %d are allowed", count, MaxRecords)
	}
	seen := make(map[Key]bool, len(d.Puts)+len(d.Deletes))
	for _, record := range d.Puts {
		if err := checkRecord(record, d.To); err != nil {
			return err
		}
		if seen[record.Key] {
			return fmt.Errorf("%s is there twice", record.Key)
		}
		seen[record.Key] = true
	}
	for _, tombstone := range d.Deletes {
		if err := tombstone.Key.Validate(); err != nil {
			return err
		}
		if tombstone.Version == 0 || tombstone.Version > d.To {
			return fmt.Errorf("%s: deleted at version %d, not between 1 and %d", tombstone.Key, tombstone.Version, d.To)
		}
		if seen[tombstone.Key] {
			return fmt.Errorf("%s is there twice", tombstone.Key)
		}
		seen[tombstone.Key] = true
	}
	return nil
}

// apply applies the delta to a draft.
func (d Delta) apply(draft *draft) {
	for _, tombstone := range d.Deletes {
		draft.remove(tombstone.Key)
	}
	for _, record := range d.Puts {
		draft.put(record)
	}
}

// ChangesSince returns the net effect of the changes above a version. The error is ErrCompacted if the log does not
// reach back to the version, and ErrFuture if the version is above the store's.
func (s *Store) ChangesSince(version uint64) (Delta, error) {
	if version > s.version {
		return Delta{}, fmt.Errorf("%w: asked for the changes since %d, the newest is %d", ErrFuture, version, s.version)
	}
	if version < s.log.compactedVersion {
		return Delta{}, fmt.Errorf("%w: asked for the changes since %d, the log begins at %d", ErrCompacted, version, s.log.compactedVersion)
	}
	deleted := map[Key]uint64{}
	delta := Delta{From: version, To: s.version, Digest: s.Digest()}
	for _, entry := range s.log.after(version) {
		for _, key := range entry.Keys {
			record, found := s.Get(key)
			switch {
			case !found:
				deleted[key] = entry.Info.Version
			case record.Version == entry.Info.Version:
				delta.Puts = append(delta.Puts, record)
			}
		}
	}
	for key, version := range deleted {
		delta.Deletes = append(delta.Deletes, Tombstone{Key: key, Version: version})
	}
	slices.SortFunc(delta.Deletes, func(a, b Tombstone) int { return a.Key.Compare(b.Key) })
	return delta, nil
}

// Difference returns the delta from the content of one store to that of another. Its tombstones have the version
// of the second store.
func Difference(from, to *Store) Delta {
	delta := Delta{From: from.version, To: to.version, Digest: to.Digest()}
	old, target := from.current(), to.current()
	for i := range RangeCount {
		if old.ranges[i].sum == target.ranges[i].sum {
			continue
		}
		for _, record := range target.ranges[i].records {
			if before, found := old.get(record.Key); !found || hashRecord(before) != hashRecord(record) {
				delta.Puts = append(delta.Puts, record)
			}
		}
		for _, record := range old.ranges[i].records {
			if _, found := target.get(record.Key); !found {
				delta.Deletes = append(delta.Deletes, Tombstone{Key: record.Key, Version: to.version})
			}
		}
	}
	slices.SortFunc(delta.Puts, func(a, b Record) int { return a.Key.Compare(b.Key) })
	slices.SortFunc(delta.Deletes, func(a, b Tombstone) int { return a.Key.Compare(b.Key) })
	return delta
}
