// Package fleet is the replicated state of a site: its revisions, the current rollout, the agents with their instances,
// the drained instances, the roster, the records, and the audit log. It is a pure state machine: entries are applied in
// the order of the replicated log, and every voter reaches the same State. It does no I/O and reads no clock; entries
// carry their times.
//
// Rollouts are decided elsewhere: the leader does so with package rollout, and proposes RolloutChange entries.
// Replication and storage are the job of package internal/replica, which owns the State, applies entries in one
// goroutine and lets others read under a lock. Callers must not change what the accessors return, nor use it after they
// have released the lock. They must not apply an entry that did not come from the log: the state of that voter would
// differ from that of the others for good.
package fleet

import (
	"fmt"

	"elderyard/members"
	"elderyard/records"
	"elderyard/revisions"
	"elderyard/rollout"
)

// Limits of a State and its entries. They are part of the replicated state machine: voters with different limits would
// reach different states.
const (
	MaxAgents     = 4096
	MaxInstances  = 8192     // of all agents together
	MaxEvents     = 2000     // in the audit log; the oldest are dropped
	MaxTextBytes  = 4 << 10  // of a reason or an event
	maxNameBytes  = 128      // of an agent's or an instance's name, and of an address
	maxEntryBytes = 32 << 20 // of an encoded entry
)

// Outcome is the result of a valid entry.
type Outcome struct {
	Result   revisions.Result `json:"result"`            // of a Command
	Rejected string           `json:"refused"`           // why the entry was rejected and changed nothing; "": accepted
	Records  *records.Result  `json:"records,omitempty"` // of a change of records
}

// Busy is the status of a command that arrived during a rollout. It is not stored as the command's result: the same
// command may be retried after the rollout has ended.
const Busy revisions.Status = "busy"

// State is the replicated state of a site. It is not safe for concurrent use. The zero value is the state of a new
// site.
type State struct {
	history  revisions.History
	rollout  Rollout
	previous *revisions.Revision // the revision that the rollout replaces, even if the history has dropped it; nil: none
	agents   map[string]Agent    // by name
	drained  map[string]bool     // by instance; true for each that is drained
	roster   members.Roster      // epoch 0: none yet
	records  records.Store
	events   []Event
}

// Head returns the newest revision, and false for a new site.
func (s *State) Head() (revisions.Revision, bool) { return s.history.Head() }

// Revision returns a revision of the history or the one that the current rollout replaces, and false for any other
// number.
func (s *State) Revision(number uint64) (revisions.Revision, bool) {
	if s.previous != nil && s.previous.Number == number {
		return *s.previous, true
	}
	return s.history.Get(number)
}

// Revisions returns the history, newest first.
func (s *State) Revisions() []revisions.Revision { return s.history.List() }

// Apply applies an entry. The index is the entry's position in the replicated log, starting at 1; it becomes the
// version of the records that the entry changes. An entry that conflicts with the state changes nothing, and Outcome
// has the reason. Apply returns an error, and changes nothing, for an entry that Decode would reject and for a change
// of records whose index is not above that of the last one.
func (s *State) Apply(index uint64, entry Entry) (Outcome, error) {
	if err := entry.check(); err != nil {
		return Outcome{}, err
	}
	switch {
	case entry.Command != nil:
		return s.applyCommand(*entry.Command)
	case entry.RolloutChange != nil:
		return s.applyRolloutChange(entry.RolloutChange), nil
	case entry.Enroll != nil:
		return s.applyEnroll(entry.Enroll), nil
	case entry.Remove != nil:
		return s.applyRemove(entry.Remove), nil
	case entry.Drain != nil:
		return s.applyDrain(entry.Drain), nil
	case entry.RosterChange != nil:
		return s.applyRosterChange(entry.RosterChange), nil
	case entry.Records != nil:
		return s.applyRecordsChange(index, *entry.Records)
	case entry.Audit != nil:
		s.logEvent(entry.Audit.At, entry.Audit.Who, entry.Audit.What)
	}
	return Outcome{}, nil
}

// applyCommand applies a command to the history. A new revision begins a rollout.
func (s *State) applyCommand(command revisions.Command) (Outcome, error) {
	head, _ := s.history.Head()
	if !s.rollout.Ended() && !s.history.HasResult(command.IdempotencyKey) {
		return Outcome{Result: revisions.Result{Status: Busy, Revision: head}}, nil
	}
	desired := s.rollout.DesiredRevision()
	previous, found := s.Revision(desired) // before Apply, which may drop it from the history
	result, err := s.history.Apply(command)
	if err != nil {
		return Outcome{}, err
	}
	revision := result.Revision
	if result.Status != revisions.Accepted || revision.Number != head.Number+1 { // an older number: a repeated command
		return Outcome{Result: result}, nil
	}
	s.previous = nil
	if found {
		s.previous = &previous
	}
	s.rollout = Rollout{New: revision.Number, Previous: desired, State: rollout.Advancing, Reason: acceptedReason, By: command.Author, At: command.At}
	s.logEvent(command.At, command.Author, fmt.Sprintf("revision %d was applied on %d: %s", revision.Number, revision.Parent, command.Message))
	return Outcome{Result: result}, nil
}
