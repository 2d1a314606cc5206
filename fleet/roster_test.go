package fleet

import (
	"reflect"
	"testing"
)

// TestRosterChanges checks that the epoch increases with each change of the members and only then, and that invalid
// rosters are rejected.
func TestRosterChanges(t *testing.T) {
	var s State
	apply := func(names ...string) {
		t.Helper()
		if _, err := s.Apply(1, Entry{RosterChange: &RosterChange{Names: names}}); err != nil {
			t.Fatal(err)
		}
	}
	if s.Roster().Epoch != 0 {
		t.Errorf("a new site has epoch %d", s.Roster().Epoch)
	}
	apply("g0", "g1")
	apply("g0", "g1") // no change
	apply("g0", "g1", "g2")
	apply("g0", "g2")
	r := s.Roster()
	if r.Epoch != 3 || len(r.Members) != 2 || r.Members[0].Since != 0 || r.Members[1].Since != 2 {
		t.Errorf("roster %+v", r)
	}
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(text); err != nil || !reflect.DeepEqual(restored.Roster(), r) {
		t.Errorf("restored roster %+v, %v", restored.Roster(), err)
	}
	for _, invalid := range [][]string{{}, {"b", "a"}, {"a", "a"}, {"a b"}} {
		if _, err := s.Apply(1, Entry{RosterChange: &RosterChange{Names: invalid}}); err == nil {
			t.Errorf("roster %v was accepted", invalid)
		}
	}
	if s.Roster().Epoch != 3 {
		t.Error("a rejected change changed the roster")
	}
}

// TestSnapshotWithoutRoster checks that releases without support for rosters can read the snapshots of a site without a
// roster.
func TestSnapshotWithoutRoster(t *testing.T) {
	var s State
	text, err := s.Snapshot()
	if err != nil || string(text) != `{"form":1,"history":`+string(historySnapshot(t, &s))+`,"rollout":{"new":0,"before":0,"state":"","why":"","by":"","at":"0001-01-01T00:00:00Z"},"agents":null,"drained":null,"events":null}` {
		t.Errorf("snapshot %s, %v", text, err)
	}
}

func historySnapshot(t *testing.T, s *State) []byte {
	t.Helper()
	text, err := s.history.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return text
}
