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

// size is what a record counts for in bounds, in bytes.
func (r Record) size() int { return len(r.Key.Kind) + len(r.Key.Name) + len(r.Value) }

// Operation writes or deletes one record. Writing the value that a record already
// has, and deleting a record that is not there, change nothing.
type Operation struct {
	Key    Key             `json:"key"`
	Delete bool            `json:"delete,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	// IfVersion makes the change conditional on the record's version: 0 means that the
	// record must not exist, nil that any version will do.
	IfVersion *uint64 `json:"if,omitempty"`
}

// Change is a set of operations that take effect together or not at all.
type Change struct {
	// IdempotencyKey makes a repeat harmless: a store answers a request key that it
	// remembers with the result it gave. Empty: the change is not remembered.
	IdempotencyKey string      `json:"request,omitempty"`
	Author         string      `json:"author"`
	Message        string      `json:"message,omitempty"`
	At             time.Time   `json:"at"`
	Operations     []Operation `json:"operations"`
}

// Status is what became of a change.
type Status string

// The outcomes of a change.
const (
	Accepted  Status = "accepted"
	Unchanged Status = "unchanged" // valid, but the records already are as it wants them
	Conflict  Status = "conflict"  // a record is not at the version that the change expects
	Invalid   Status = "invalid"
)

// Result is a store's answer to a change.
type Result struct {
	Status  Status   `json:"status"`
	Version uint64   `json:"version"` // of the store after the change
	Problem *Problem `json:"problem,omitempty"`
}

// Problem is why a change was refused.
type Problem struct {
	Key    string `json:"key,omitempty"`   // KIND/NAME; empty: the change as a whole
	Field  string `json:"field,omitempty"` // of the record's value, or of the change
	Reason string `json:"reason"`
}

// Error names the key, the field and the reason.
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
	Operations int       `json:"operations"` // records that it changed
}
