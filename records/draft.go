package records

import (
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// draft is a mutable copy of a state. The state that it was made from does not change.
type draft struct {
	state *state
	owned [RangeCount]bool // ranges whose records are copied already
}

// edit returns a draft that begins with the state.
func (s *state) edit() *draft { return new(draft).begin(s) }

// begin makes the draft one of the state, and returns it.
func (d *draft) begin(from *state) *draft {
	copied := *from
	d.state = &copied
	return d
}

// mutableRange returns a range that is safe to change, copied on its first use.
func (d *draft) mutableRange(index int) *keyRange {
	keys := &d.state.ranges[index]
	if !d.owned[index] {
		keys.records = slices.Clone(keys.records)
		d.owned[index] = true
	}
	return keys
}

// put inserts or replaces a record.
func (d *draft) put(record Record) {
	keys := d.mutableRange(RangeOf(record.Key))
	position, found := keys.find(record.Key)
	if found {
		old := keys.records[position]
		keys.sum = keys.sum.minus(hashRecord(old))
		d.state.bytes -= old.size()
		keys.records[position] = record
	} else {
		keys.records = slices.Insert(keys.records, position, record)
		d.state.count++
	}
	keys.sum = keys.sum.plus(hashRecord(record))
	d.state.bytes += record.size()
}

// remove deletes a record if it exists.
func (d *draft) remove(key Key) {
	index := RangeOf(key)
	position, found := d.state.ranges[index].find(key)
	if !found {
		return
	}
	keys := d.mutableRange(index)
	old := keys.records[position]
	keys.records = slices.Delete(keys.records, position, position+1)
	keys.sum = keys.sum.minus(hashRecord(old))
	d.state.count--
	d.state.bytes -= old.size()
}

// replace sets the records of a range, which must be in order of key.
func (d *draft) replace(index int, records []Record) {
	keys := &d.state.ranges[index]
	for _, old := range keys.records {
		d.state.bytes -= old.size()
	}
	d.state.count += len(records) - len(keys.records)
	keys.records = slices.Clone(records)
	keys.sum = hashRecords(records)
	for _, record := range records {
		d.state.bytes += record.size()
	}
	d.owned[index] = true
}

// finish computes the digest and returns the state. The draft must not be used afterwards:
// it shares all with the state.
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
