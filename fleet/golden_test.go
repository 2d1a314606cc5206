package fleet

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"elderyard/internal/golden"
	"elderyard/records"
	"elderyard/revisions"
	"elderyard/rollout"
)

// The golden files of this package pin the format of the replicated log and snapshots of existing sites, and of the
// responses of the agents' interface.

var goldenTime = time.Date(2026, 12, 1, 9, 8, 7, 123456789, time.UTC)

func goldenContent() *revisions.Content {
	return &revisions.Content{File: "[site]\nname = \"<1> & \\t\"\n", Overlays: map[string]string{"g0": "a = 1\n"}, RestartGeneration: 3}
}

// goldenEntries returns an entry of each kind, by the kind in the name of its golden file.
func goldenEntries() map[string]Entry {
	version := uint64(12)
	return map[string]Entry{
		"command": {Command: &revisions.Command{IdempotencyKey: "r-1", Parent: 4, Content: goldenContent(), Author: "ann", Message: "why", At: goldenTime}},
		"restore": {Command: &revisions.Command{IdempotencyKey: "r-2", Parent: 5, Restore: 2, Author: "bob", Message: "back", At: goldenTime}},
		"turn":    {RolloutChange: &RolloutChange{New: 5, State: rollout.Paused, Reason: "paused by ann", By: "ann", At: goldenTime}},
		"enroll":  {Enroll: &Enroll{Agent: Agent{Name: "a1", Address: "127.0.0.1:7400", Instances: []string{"g0", "g1"}}, At: goldenTime}},
		"remove":  {Remove: &Remove{Agent: "a1", By: "ann", At: goldenTime}},
		"drain":   {Drain: &Drain{Instance: "g1", Drained: true, By: "ann", At: goldenTime}},
		"undrain": {Drain: &Drain{Instance: "g1", By: "ann", At: goldenTime}},
		"belong":  {RosterChange: &RosterChange{Names: []string{"g0", "g1"}, At: goldenTime}},
		"records": {Records: &records.Change{IdempotencyKey: "c-1", Author: "ann", Message: "plans", At: goldenTime, Operations: []records.Operation{
			{Key: records.Key{Kind: records.Plan, Name: "gold"}, Value: json.RawMessage(`{"price_weight":1.5,"requests_per_second":100}`), IfVersion: &version},
			{Key: records.Key{Kind: records.Plan, Name: "old"}, Delete: true}}}},
		"noted": {Audit: &Event{At: goldenTime, Who: "ann", What: "voter v1 was added"}},
	}
}

func TestGoldenEntries(t *testing.T) {
	var entries []any
	for kind, entry := range goldenEntries() {
		entries = append(entries, entry)
		name := "entry-" + kind + ".json"
		encoded, err := entry.Encode()
		if err != nil {
			t.Fatal(err)
		}
		golden.File(t, name, encoded)
		golden.Decode(t, name, func(text []byte) error {
			decoded, err := Decode(text)
			if err == nil && !reflect.DeepEqual(decoded, entry) {
				t.Errorf("%s decodes to\n     %+v\nwant %+v", name, decoded, entry)
			}
			return err
		})
	}
	golden.Complete(t, entries...)
}

// TestUnknownKeyIsRejected checks that no voter ignores an unknown key: it would reach a different state than a voter
// that knows the key.
func TestUnknownKeyIsRejected(t *testing.T) {
	for kind := range goldenEntries() {
		golden.Decode(t, "entry-"+kind+".json", func(text []byte) error {
			if _, err := Decode(append([]byte(`{"later":1,`), text[1:]...)); err == nil {
				t.Errorf("%s: an entry with an unknown key was accepted", kind)
			}
			return nil
		})
	}
}

func TestGoldenOutcome(t *testing.T) {
	content := goldenContent()
	outcome := Outcome{
		Result: revisions.Result{Status: Busy, Revision: revisions.Revision{Number: 5, Parent: 4, Content: *content, Checksum: content.Checksum(),
			Author: "ann", Message: "why", At: goldenTime}},
		Rejected: "there is no agent a9",
		Records:  &records.Result{Status: records.Invalid, Version: 12, Problem: &records.Problem{Key: "plan/gold", Field: "price_weight", Reason: "is missing"}},
	}
	golden.Complete(t, outcome)
	golden.JSON(t, "outcome.json", outcome)
}

func TestGoldenRollout(t *testing.T) {
	current := Rollout{New: 5, Previous: 3, State: rollout.RollingBack, Reason: "g0 was not ready", By: "ann", At: goldenTime}
	golden.Complete(t, current)
	golden.JSON(t, "rollout.json", current)
}

func TestGoldenAgent(t *testing.T) {
	agent := Agent{Name: "a1", Address: "127.0.0.1:7400", Instances: []string{"g0", "g1"}}
	golden.Complete(t, agent)
	golden.JSON(t, "agent.json", agent)
}

func TestGoldenEvent(t *testing.T) {
	event := Event{At: goldenTime, Who: "ann", What: "instance g1 was drained"}
	golden.Complete(t, event)
	golden.JSON(t, "event.json", event)
}

func TestGoldenTexts(t *testing.T) {
	golden.Constants(t, map[string]string{string(Busy): "busy"})
	if acceptedReason != "it has been accepted" { // by this text a leader recognizes a rollout that has not been started
		t.Errorf("the reason of a rollout that has not been started is %q", acceptedReason)
	}
}

// goldenState returns a state to which an entry of each kind has been applied, so that all of its parts are set.
func goldenState(t *testing.T) *State {
	t.Helper()
	state := &State{}
	names := []string{"g0", "g1", "g2"}
	for i, entry := range []Entry{
		{Command: &revisions.Command{IdempotencyKey: "r-1", Content: &revisions.Content{File: "a"}, Author: "ann", Message: "first", At: goldenTime}},
		{RolloutChange: &RolloutChange{New: 1, State: rollout.Applied, Reason: "all 2 instances have revision 1", At: goldenTime}},
		{Command: &revisions.Command{IdempotencyKey: "r-2", Parent: 1, Content: goldenContent(), Author: "bob", Message: "second", At: goldenTime}},
		{RolloutChange: &RolloutChange{New: 2, State: rollout.Applied, Reason: "all 2 instances have revision 2", At: goldenTime}},
		{Command: &revisions.Command{IdempotencyKey: "r-3", Parent: 2, Restore: 1, Author: "ann", Message: "third", At: goldenTime}},
		{RolloutChange: &RolloutChange{New: 3, State: rollout.Paused, Reason: "paused by ann", By: "ann", At: goldenTime}},
		{Command: &revisions.Command{IdempotencyKey: "r-4", Parent: 3, Content: &revisions.Content{File: "d"}, Author: "ann", At: goldenTime}}, // busy
		{Enroll: &Enroll{Agent: Agent{Name: "a1", Address: "127.0.0.1:7400", Instances: names[:2]}, At: goldenTime}},
		{Enroll: &Enroll{Agent: Agent{Name: "a2", Address: "127.0.0.1:7401", Instances: names[2:]}, At: goldenTime}},
		{Enroll: &Enroll{Agent: Agent{Name: "a3", Address: "127.0.0.1:7402", Instances: []string{"g9"}}, At: goldenTime}},
		{Remove: &Remove{Agent: "a3", By: "ann", At: goldenTime}},
		{Drain: &Drain{Instance: "g0", Drained: true, By: "ann", At: goldenTime}},
		{Drain: &Drain{Instance: "g1", Drained: true, By: "ann", At: goldenTime}},
		{Drain: &Drain{Instance: "g0", By: "ann", At: goldenTime}},
		{RosterChange: &RosterChange{Names: names[:2], At: goldenTime}},
		{RosterChange: &RosterChange{Names: names, At: goldenTime}},
		{Records: &records.Change{Author: "ann", At: goldenTime, Operations: []records.Operation{
			{Key: records.Key{Kind: records.Plan, Name: "p"}, Value: json.RawMessage(`{"price_weight":1,"requests_per_second":9}`)}}}},
		{Audit: &Event{At: goldenTime, Who: "ann", What: "voter v1 was added"}},
	} {
		if _, err := state.Apply(uint64(i+1), entry); err != nil {
			t.Fatalf("entry %d: %v", i+1, err)
		}
	}
	return state
}

func TestGoldenSnapshot(t *testing.T) {
	state := goldenState(t)
	encoded, err := state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "state.json", encoded)
	var decoded snapshot
	golden.Decode(t, "state.json", func(text []byte) error { return revisions.DecodeStrict(text, &decoded) })
	golden.Complete(t, decoded)
	var restored State
	golden.Decode(t, "state.json", restored.Restore)
	reencoded, err := restored.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "state.json", reencoded)
	if !reflect.DeepEqual(restored.Agents(), state.Agents()) || !reflect.DeepEqual(restored.Events(), state.Events()) ||
		!reflect.DeepEqual(restored.Revisions(), state.Revisions()) || restored.Rollout() != state.Rollout() ||
		!reflect.DeepEqual(restored.Roster(), state.Roster()) || !restored.Drained("g1") || restored.Drained("g0") ||
		restored.Records().Digest() != state.Records().Digest() || restored.Records().Version() != state.Records().Version() || state.Records().Version() == 0 {
		t.Errorf("restored\n     %+v\nwant %+v", restored, state)
	}
}
