package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Errors of a replica, which its methods and those of Repair wrap.
var (
	// ErrGap means that a delta begins above the replica's version.
	ErrGap = errors.New("changes are missing between the replica and the delta")
	// ErrStale means that a delta, a snapshot or ranges have a version below that of the replica.
	ErrStale = errors.New("the replica is past that version")
	// ErrDigest means that the resulting content does not have the sender's digest.
	ErrDigest = errors.New("the content does not fit the digest")
)

// Replica is a complete copy of the records at one version, which never decreases. Its zero value is empty, at
// version 0. It is not safe for concurrent use.
type Replica struct {
	state   *state
	version uint64
}

// current returns the content; it also works on the zero value.
func (r *Replica) current() *state { return r.state.orEmpty() }

// Version returns the version of the copy.
func (r *Replica) Version() uint64 { return r.version }

// Digest returns the digest of the content.
func (r *Replica) Digest() Digest { return r.current().digest }

// Len returns the number of records.
func (r *Replica) Len() int { return r.current().count }

// Get returns the record with the key, and whether it exists.
func (r *Replica) Get(key Key) (Record, bool) { return r.current().get(key) }

// List returns up to limit records of a kind whose names begin with the prefix, in
// order of name. A limit of 0 or less means all.
func (r *Replica) List(kind Kind, prefix string, limit int) []Record {
	return r.current().list(kind, prefix, limit)
}

// All is an iterator over the records, in an unspecified order.
func (r *Replica) All(yield func(Record) bool) { r.current().all(yield) }

// ApplyDelta applies a delta atomically; the replica is at version delta.To afterwards. On an error it is unchanged.
// The error is ErrGap if the delta begins above the replica's version, ErrStale if it ends below, ErrDigest if the
// result does not have the delta's digest, and another one if the delta is inconsistent.
func (r *Replica) ApplyDelta(delta Delta) error {
	if err := delta.validate(); err != nil {
		return err
	}
	if delta.To < r.version {
		return fmt.Errorf("%w: the delta leads to %d, the replica is at %d", ErrStale, delta.To, r.version)
	}
	if delta.From > r.version {
		return fmt.Errorf("%w: the delta begins at %d, the replica is at %d", ErrGap, delta.From, r.version)
	}
	draft := r.current().edit()
	delta.apply(draft)
	after := draft.finish()
	if after.digest != delta.Digest {
		return fmt.Errorf("%w: %s instead of %s at version %d", ErrDigest, after.digest, delta.Digest, delta.To)
	}
	r.state, r.version = after, delta.To
	return nil
}

// checkRecord validates the key and version of a received record, and that its value is canonical JSON. The fields of
// the value are not checked, since a newer store may have fields that this program does not know.
func checkRecord(record Record, newest uint64) error {
	if err := record.Key.Validate(); err != nil {
		return err
	}
	if record.Version == 0 || record.Version > newest {
		return fmt.Errorf("%s: version %d is not between 1 and %d", record.Key, record.Version, newest)
	}
	if len(record.Value) > MaxValueBytes {
		return fmt.Errorf("%s: the value has %d bytes, at most %d are allowed", record.Key, len(record.Value), MaxValueBytes)
	}
	compact, err := json.Marshal(record.Value)
	if err != nil {
		return fmt.Errorf("%s: %w", record.Key, err)
	}
	if !bytes.Equal(compact, record.Value) {
		return fmt.Errorf("%s: the value is not in canonical form", record.Key)
	}
	return nil
}
