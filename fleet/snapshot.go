package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"elderyard/members"
	"elderyard/revisions"
)

// snapshot is the encoded form of a State.
type snapshot struct {
	Version  int                 `json:"form"`
	History  json.RawMessage     `json:"history"`
	Rollout  Rollout             `json:"rollout"`
	Previous *revisions.Revision `json:"before,omitempty"`
	Agents   []Agent             `json:"agents"`
	Drained  []string            `json:"drained"`
	Roster   *members.Roster     `json:"roster,omitempty"`
	Records  []byte              `json:"records,omitempty"` // snapshot of the records.Store; nil: no change of records yet
	Events   []Event             `json:"events"`
}

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// Snapshot encodes the complete state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) {
	history, err := s.history.Snapshot()
	if err != nil {
		return nil, err
	}
	var roster *members.Roster
	if s.roster.Epoch > 0 {
		roster = &s.roster
	}
	storedRecords, err := s.snapshotRecords()
	if err != nil {
		return nil, err
	}
	return json.Marshal(snapshot{
		Version:  snapshotVersion,
		History:  history,
		Rollout:  s.rollout,
		Previous: s.previous,
		Agents:   s.Agents(),
		Drained:  slices.Sorted(maps.Keys(s.drained)),
		Roster:   roster,
		Records:  storedRecords,
		Events:   s.events,
	})
}

// Restore replaces the state with one that Snapshot encoded. It returns an error and changes nothing if the snapshot is
// truncated, altered or inconsistent.
func (s *State) Restore(text []byte) error {
	var stored snapshot
	if err := revisions.DecodeStrict(text, &stored); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if stored.Version != snapshotVersion {
		return fmt.Errorf("snapshot: form %d is not known, %d is", stored.Version, snapshotVersion)
	}
	var next State
	for _, restore := range []func(*snapshot) error{next.restoreRevisions, next.restoreAgents, next.restoreRoster, next.restoreRecords} {
		if err := restore(&stored); err != nil {
			return err
		}
	}
	if len(stored.Events) > MaxEvents {
		return errors.New("snapshot: more events than a state keeps")
	}
	next.events = stored.Events // replaces the events that restoreAgents logged
	*s = next
	return nil
}

// restoreRevisions restores the history and the rollout, and checks that the revisions of the rollout are available.
func (s *State) restoreRevisions(stored *snapshot) error {
	if err := s.history.Restore(stored.History); err != nil {
		return err
	}
	s.rollout, s.previous = stored.Rollout, stored.Previous
	if previous := s.previous; previous != nil && (previous.Checksum != previous.Content.Checksum() || previous.Number != s.rollout.Previous) {
		return fmt.Errorf("snapshot: revision %d, which the rollout goes back to, does not fit its checksum or its number", previous.Number)
	}
	for _, number := range []uint64{s.rollout.New, s.rollout.Previous} {
		if _, found := s.Revision(number); number != 0 && !found {
			return fmt.Errorf("snapshot: revision %d of the rollout is missing", number)
		}
	}
	return nil
}

// restoreAgents restores the agents and the drained instances by applying the entries that would create them.
func (s *State) restoreAgents(stored *snapshot) error {
	for _, agent := range stored.Agents {
		enroll := &Enroll{Agent: agent}
		if err := enroll.check(); err != nil {
			return fmt.Errorf("snapshot: %w", err)
		}
		if outcome := s.applyEnroll(enroll); outcome.Rejected != "" {
			return fmt.Errorf("snapshot: %s", outcome.Rejected)
		}
	}
	for _, name := range stored.Drained {
		if outcome := s.applyDrain(&Drain{Instance: name, Drained: true}); outcome.Rejected != "" {
			return fmt.Errorf("snapshot: %s", outcome.Rejected)
		}
	}
	return nil
}

func (s *State) restoreRoster(stored *snapshot) error {
	if stored.Roster == nil {
		return nil
	}
	if key, err := stored.Roster.Check(); err != nil {
		return fmt.Errorf("snapshot: roster: %s: %w", key, err)
	}
	s.roster = *stored.Roster
	return nil
}

func (s *State) restoreRecords(stored *snapshot) error {
	if stored.Records == nil {
		return nil
	}
	if err := s.records.Restore(stored.Records); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}
