package records

import (
	"encoding/json"
	"time"
)

// Record is one keyed value and the version of the change that last wrote it.
type Record struct {
	Key     Key             `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"` // canonical JSON
}

// size returns the size of the key and value in bytes, to which the limits apply.
func (r Record) size() int { return len(r.Key.Kind) + len(r.Key.Name) + len(r.Value) }

// Operation puts or deletes one record. Putting the value that a record already has
// and deleting a record that does not exist have no effect.
type Operation struct {
	Key    Key             `json:"key"`
	Delete bool            `json:"delete,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	// IfVersion makes the change conditional on the record's version: 0 requires that the
	// record does not exist, nil means no condition.
	IfVersion *uint64 `json:"if,omitempty"`
}

// Change is a set of operations that are applied atomically.
type Change struct {
	// IdempotencyKey makes the change safe to retry: a store returns the cached result of
	// the first attempt. If it is empty, no result is cached.
	IdempotencyKey string      `json:"request,omitempty"`
	Author         string      `json:"author"`
	Message        string      `json:"message,omitempty"`
	At             time.Time   `json:"at"`
	Operations     []Operation `json:"operations"`
}

// Status is the outcome of a change.
type Status string

// The outcomes of a change.
const (
	Accepted  Status = "accepted"
	Unchanged Status = "unchanged" // valid, but has no effect on any record
	Conflict  Status = "conflict"  // a record is not at the version that the change expects
	Invalid   Status = "invalid"
)

// Result is a store's response to a change.
type Result struct {
	Status  Status   `json:"status"`
	Version uint64   `json:"version"`           // of the store after the change
	Problem *Problem `json:"problem,omitempty"` // nil if the status is Accepted or Unchanged
}

// Problem describes why a change was rejected.
type Problem struct {
	Key    string `json:"key,omitempty"`   // KIND/NAME; empty if it is not about one record
	Field  string `json:"field,omitempty"` // of the record's value, or of the change
	Reason string `json:"reason"`
}

// Error returns the key, the field and the reason.
func (p *Problem) Error() string {
	text := p.Reason
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	if p.Key != "" {
		text = p.Key + ": " + text
	}
	return text
}

// ChangeInfo describes an accepted change.
type ChangeInfo struct {
	Version    uint64    `json:"version"`
	Author     string    `json:"author"`
	Message    string    `json:"message,omitempty"`
	At         time.Time `json:"at"`
	Operations int       `json:"operations"` // number of changed records
}
