package records

import (
	"cmp"
	"slices"
	"strings"
)

// state is a set of records, partitioned into ranges by a hash of the key. It is immutable: a draft copies the ranges
// that it changes and shares the others.
type state struct {
	ranges [RangeCount]hashRange
	count  int
	bytes  int // size of all keys and values
	digest Digest
}

// hashRange has the records of one range, in order of key, and the sum of their hashes.
type hashRange struct {
	records []Record
	sum     sum
}

// find returns the position of the key, or its insertion point, and whether the key exists.
func (r *hashRange) find(key Key) (int, bool) {
	return slices.BinarySearchFunc(r.records, key, func(record Record, key Key) int {
		return record.Key.Compare(key)
	})
}

// emptyState is the content of the zero Store and Replica.
var emptyState = new(draft).begin(&state{}).finish()

// orEmpty returns the state, or emptyState for nil.
func (s *state) orEmpty() *state {
	if s == nil {
		return emptyState
	}
	return s
}

// get returns the record with the key, and whether it exists.
func (s *state) get(key Key) (Record, bool) {
	hashRange := &s.ranges[RangeOf(key)]
	position, found := hashRange.find(key)
	if !found {
		return Record{}, false
	}
	return hashRange.records[position], true
}

// all is an iterator over the records, range by range.
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
// order of name. A limit of 0 or less means all.
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
