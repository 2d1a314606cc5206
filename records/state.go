package records

import (
	"cmp"
	"slices"
	"strings"
)

// state is a set of records in ranges of their keys' hash. It is immutable once
// made: a draft shares the ranges that it does not touch.
type state struct {
	ranges [RangeCount]keyRange
	count  int
	bytes  int // keys and values
	digest Digest
}

// keyRange is the records of one range in order of key, with the sum of their hashes.
type keyRange struct {
	records []Record
	sum     sum
}

func (r *keyRange) find(key Key) (int, bool) {
	return slices.BinarySearchFunc(r.records, key, func(record Record, key Key) int {
		return record.Key.Compare(key)
	})
}

var emptyState = new(draft).begin(&state{}).finish()

func (s *state) get(key Key) (Record, bool) {
	keys := &s.ranges[RangeOf(key)]
	position, found := keys.find(key)
	if !found {
		return Record{}, false
	}
	return keys.records[position], true
}

// all yields the records, range by range.
func (s *state) all(yield func(Record) bool) {
	for i := range s.ranges {
		for _, record := range s.ranges[i].records {
			if !yield(record) {
				return
			}
		}
	}
}

// list returns up to limit records of a kind whose names begin with the prefix, in
// order of name; a limit of 0 or less means all.
func (s *state) list(kind Kind, prefix string, limit int) []Record {
	var found []Record
	for record := range s.all {
		if record.Key.Kind == kind && strings.HasPrefix(record.Key.Name, prefix) {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return cmp.Compare(a.Key.Name, b.Key.Name) })
	if limit > 0 && len(found) > limit {
		found = slices.Clone(found[:limit])
	}
	return found
}
