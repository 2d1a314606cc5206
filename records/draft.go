package records

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// draft is a mutable copy of a state with copy-on-write ranges. The original state does not change.
type draft struct {
	state *state
	owned [RangeCount]bool // ranges whose records have been copied
}

// edit returns a draft with the content of the state.
func (s *state) edit() *draft { return new(draft).begin(s) }

// begin initializes the draft with the content of the state, and returns the draft.
func (d *draft) begin(from *state) *draft {
	copied := *from
	d.state = &copied
	return d
}

// mutableRange returns a range that may be modified. Its records are copied on first use.
func (d *draft) mutableRange(index int) *hashRange {
	hashRange := &d.state.ranges[index]
	if !d.owned[index] {
		hashRange.records = slices.Clone(hashRange.records)
		d.owned[index] = true
	}
	return hashRange
}

// put inserts or replaces a record.
func (d *draft) put(record Record) {
	hashRange := d.mutableRange(RangeOf(record.Key))
	position, found := hashRange.find(record.Key)
	if found {
		old := hashRange.records[position]
		hashRange.sum = hashRange.sum.minus(hashRecord(old))
		d.state.bytes -= old.size()
		hashRange.records[position] = record
	} else {
		hashRange.records = slices.Insert(hashRange.records, position, record)
		d.state.count++
	}
	hashRange.sum = hashRange.sum.plus(hashRecord(record))
	d.state.bytes += record.size()
}

// remove deletes a record if it exists.
func (d *draft) remove(key Key) {
	index := RangeOf(key)
	position, found := d.state.ranges[index].find(key)
	if !found {
		return
	}
	hashRange := d.mutableRange(index)
	old := hashRange.records[position]
	hashRange.records = slices.Delete(hashRange.records, position, position+1)
	hashRange.sum = hashRange.sum.minus(hashRecord(old))
	d.state.count--
	d.state.bytes -= old.size()
}

// replace sets the records of a range, which must be in order of key.
func (d *draft) replace(index int, records []Record) {
	hashRange := &d.state.ranges[index]
	for _, old := range hashRange.records {
		d.state.bytes -= old.size()
	}
	d.state.count += len(records) - len(hashRange.records)
	hashRange.records = slices.Clone(records)
	hashRange.sum = hashRecords(records)
	for _, record := range records {
		d.state.bytes += record.size()
	}
	d.owned[index] = true
}

// finish computes the digest and returns the state. The draft must not be used afterwards, since it shares its
// memory with the state.
func (d *draft) finish() *state {
	const sumBytes = 16
	buffer := make([]byte, 0, RangeCount*sumBytes)
	for i := range d.state.ranges {
		buffer = binary.BigEndian.AppendUint64(buffer, d.state.ranges[i].sum.high)
		buffer = binary.BigEndian.AppendUint64(buffer, d.state.ranges[i].sum.low)
	}
	hash := sha256.Sum256(buffer)
	copy(d.state.digest[:], hash[:])
	return d.state
}
