package fleet

import (
	"testing"
	"time"

	"elderyard/revisions"
	"elderyard/rollout"
)

var at = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// apply encodes, decodes and applies an entry.
func apply(t testing.TB, s *State, entry Entry) Outcome {
	t.Helper()
	text, err := entry.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	outcome, err := s.Apply(1, decoded)
	if err != nil {
		t.Fatal(err)
	}
	return outcome
}

// command returns an entry with a command that applies a new file on a parent.
func command(idempotencyKey string, parent uint64, file string) Entry {
	return Entry{Command: &revisions.Command{IdempotencyKey: idempotencyKey, Parent: parent, Content: &revisions.Content{File: file}, Author: "ann", At: at}}
}

func rolloutChange(revision uint64, state rollout.State, reason string) Entry {
	return Entry{RolloutChange: &RolloutChange{New: revision, State: state, Reason: reason, At: at}}
}
