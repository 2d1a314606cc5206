package fleet

import (
	"encoding/json"
	"fmt"
	"strings"

	"elderyard/members"
	"elderyard/records"
	"elderyard/revisions"
)

// Entry is one change of the replicated state. Exactly one of its fields is set.
type Entry struct {
	Command       *revisions.Command `json:"command,omitempty"`
	RolloutChange *RolloutChange     `json:"turn,omitempty"`
	Enroll        *Enroll            `json:"enroll,omitempty"`
	Remove        *Remove            `json:"remove,omitempty"`
	Drain         *Drain             `json:"drain,omitempty"`
	RosterChange  *RosterChange      `json:"belong,omitempty"`
	Records       *records.Change    `json:"records,omitempty"` // its operations are validated when it is applied
	Audit         *Event             `json:"noted,omitempty"`   // logs a change outside the state, such as of the voters
}

// Encode encodes an entry for the replicated log. It returns an error for an entry that is invalid regardless of the
// state.
func (e *Entry) Encode() ([]byte, error) {
	if err := e.check(); err != nil {
		return nil, err
	}
	return json.Marshal(e)
}

// Decode decodes the output of Encode and rejects any other input. An unknown key is an error: a voter that ignored it
// would reach a different state than a voter that knows it.
func Decode(text []byte) (Entry, error) {
	var e Entry
	if len(text) > maxEntryBytes {
		return e, fmt.Errorf("entry: %d bytes, and %d may be", len(text), maxEntryBytes)
	}
	if err := revisions.DecodeStrict(text, &e); err != nil {
		return Entry{}, fmt.Errorf("entry: %w", err)
	}
	return e, e.check()
}

// check returns an error for an entry that is invalid regardless of the state.
func (e *Entry) check() error {
	count := 0
	for _, set := range []bool{e.Command != nil, e.RolloutChange != nil, e.Enroll != nil, e.Remove != nil, e.Drain != nil,
		e.RosterChange != nil, e.Records != nil, e.Audit != nil} {
		if set {
			count++
		}
	}
	if count != 1 {
		return fmt.Errorf("entry: %d parts are set, and one must be", count)
	}
	switch {
	case e.Command != nil:
		return e.Command.Check()
	case e.RolloutChange != nil:
		return e.RolloutChange.check()
	case e.Enroll != nil:
		return e.Enroll.check()
	case e.Remove != nil:
		return CheckName("agent", e.Remove.Agent)
	case e.Drain != nil:
		return CheckName("instance", e.Drain.Instance)
	case e.RosterChange != nil:
		return e.RosterChange.Check()
	case e.Records != nil:
		return checkRecordsChange(e.Records)
	}
	return e.Audit.check()
}

// CheckName returns an error for an invalid name of an agent or an instance. The kind, "agent" or "instance", begins
// the error's text. Names are restricted because they become the names of files and processes.
func CheckName(kind, name string) error {
	if name == "" || len(name) > maxNameBytes || strings.HasPrefix(name, ".") || !members.HasOnlyNameCharacters(name) {
		return fmt.Errorf("%s %.40q: a name has letters, digits, '-', '_' and '.', at most %d, and does not begin with '.'", kind, name, maxNameBytes)
	}
	return nil
}
