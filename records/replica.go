package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
)

// Errors of a replica.
var (
	ErrGap    = errors.New("changes are missing between the replica and the delta")
	ErrBehind = errors.New("the replica is past that version")
	ErrDigest = errors.New("the content does not fit the digest")
)

// Replica is a whole copy of the records at one version, which never goes back. Its
// zero value is the empty copy at version 0.
type Replica struct {
	state   *state
	version uint64
}

func (r *Replica) current() *state {
	if r.state == nil {
		return emptyState
	}
	return r.state
}

// Version returns the version of the copy.
func (r *Replica) Version() uint64 { return r.version }

// Digest identifies the content of the copy.
func (r *Replica) Digest() Digest { return r.current().digest }

// Len returns the number of records.
func (r *Replica) Len() int { return r.current().count }

// Get returns a record.
func (r *Replica) Get(key Key) (Record, bool) { return r.current().get(key) }

// List returns up to limit records of a kind whose names begin with the prefix, in
// order of name; a limit of 0 or less means all.
func (r *Replica) List(kind Kind, prefix string, limit int) []Record {
	return r.current().list(kind, prefix, limit)
}

// All yields the records in no particular order.
func (r *Replica) All(yield func(Record) bool) { r.current().all(yield) }

// ApplyDelta brings the copy to the delta's version as a whole. On an error the copy
// is as before: ErrGap if the delta begins above the copy's version, ErrBehind if it
// ends below, ErrDigest if the result is not what the server has.
func (r *Replica) ApplyDelta(delta Delta) error {
	if err := delta.validate(); err != nil {
		return err
	}
	if delta.To < r.version {
		return fmt.Errorf("%w: the delta leads to %d, the replica is at %d", ErrBehind, delta.To, r.version)
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

// checkRecord holds a record that came from elsewhere to the form in which a store
// gives it. The value's fields are not checked: the store has done so, and may know
// more of them than this program.
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
