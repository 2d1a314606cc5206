package replica

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	raftbolt "github.com/hashicorp/raft-boltdb/v2"

	"elderyard/fleet"
	"elderyard/internal/golden"
	"elderyard/internal/loopback"
	"elderyard/internal/testwait"
	"elderyard/members"
	"elderyard/records"
	"elderyard/revisions"
	"elderyard/rollout"
)

// The golden files of this package are a voter's directory as existing sites have it, and
// the agents' response about voters.

// TestGoldenMember: the response about a voter keeps its keys.
func TestGoldenMember(t *testing.T) {
	member := Member{Name: "v1", Address: "127.0.0.1:7400", Leader: true, NonVoter: true}
	golden.Complete(t, member)
	golden.JSON(t, "member.json", member)
}

// goldenDir is the directory of the voter v0, whose site has the non-voter r0. The voter
// was stopped after a snapshot and further entries.
const goldenDir = "voter"

var goldenTime = time.Date(2026, 12, 1, 9, 8, 7, 123456789, time.UTC)

func goldenContent() *revisions.Content {
	return &revisions.Content{File: "[site]\nname = \"<1> & \\t\"\n", Overlays: map[string]string{"g0": "a = 1\n"}, RestartGeneration: 3}
}

func goldenPlan(name string) *records.Change {
	return &records.Change{IdempotencyKey: "c-" + name, Author: "ann", Message: "a plan", At: goldenTime, Operations: []records.Operation{
		{Key: records.Key{Kind: records.Plan, Name: name}, Value: json.RawMessage(`{"price_weight":1.5,"requests_per_second":100}`)}}}
}

// goldenEntries returns the entries that the voter of goldenDir committed, before its
// snapshot and after it.
func goldenEntries() (before, after []fleet.Entry) {
	before = []fleet.Entry{
		{Command: &revisions.Command{IdempotencyKey: "r-1", Content: &revisions.Content{File: "a"}, Author: "ann", Message: "first", At: goldenTime}},
		{RolloutChange: &fleet.RolloutChange{New: 1, State: rollout.Applied, Reason: "all 2 instances have revision 1", At: goldenTime}},
		{Enroll: &fleet.Enroll{Agent: fleet.Agent{Name: "a1", Address: "127.0.0.1:7400", Instances: []string{"g0", "g1"}}, At: goldenTime}},
		{Drain: &fleet.Drain{Instance: "g1", Drained: true, By: "ann", At: goldenTime}},
		{RosterChange: &fleet.RosterChange{Names: []string{"g0", "g1"}, At: goldenTime}},
		{Records: goldenPlan("gold")},
		{Audit: &fleet.Event{At: goldenTime, Who: "ann", What: "replica r0 was added"}},
	}
	after = []fleet.Entry{
		{Command: &revisions.Command{IdempotencyKey: "r-2", Parent: 1, Content: goldenContent(), Author: "bob", Message: "second", At: goldenTime}},
		{RolloutChange: &fleet.RolloutChange{New: 2, State: rollout.RollingBack, Reason: "aborted by ann", By: "ann", At: goldenTime}},
		{RolloutChange: &fleet.RolloutChange{New: 2, State: rollout.RolledBack, Reason: "all are back", At: goldenTime}},
		{Command: &revisions.Command{IdempotencyKey: "r-3", Parent: 2, Restore: 1, Author: "ann", Message: "third", At: goldenTime}},
		{Enroll: &fleet.Enroll{Agent: fleet.Agent{Name: "a2", Address: "127.0.0.1:7401", Instances: []string{"g2"}}, At: goldenTime}},
		{Enroll: &fleet.Enroll{Agent: fleet.Agent{Name: "a3", Address: "127.0.0.1:7402", Instances: []string{"g9"}}, At: goldenTime}},
		{Remove: &fleet.Remove{Agent: "a3", By: "ann", At: goldenTime}},
		{RosterChange: &fleet.RosterChange{Names: []string{"g0", "g1", "g2"}, At: goldenTime}},
		{Records: goldenPlan("silver")},
	}
	return before, after
}

// createGoldenDir writes the directory as the present program leaves it. It was used
// once, before the first change of the code that reads it: a directory written by later
// code would not test compatibility.
func createGoldenDir(t *testing.T, path string) {
	t.Helper()
	v := newVoter(t, newNetwork(), "v0")
	v.bootstrap = true
	testwait.Must(t, v.start(t))
	testwait.Until(t, testTimeout, "the voter leads", func() bool { return v.store.VerifyLeader() == nil })
	_, err := v.store.AddNonVoter("r0", loopback.Host()+":1")
	testwait.Must(t, err)
	before, after := goldenEntries()
	for _, e := range before {
		propose(t, v.store, e)
	}
	testwait.Must(t, v.store.raft.Snapshot().Error())
	for _, e := range after {
		propose(t, v.store, e)
	}
	testwait.Must(t, v.store.Close())
	v.store = nil
	testwait.Must(t, os.CopyFS(path, os.DirFS(v.dir)))
}

// copyGoldenDir returns a copy of goldenDir, on which a voter can start.
func copyGoldenDir(t *testing.T) (dir string) {
	t.Helper()
	path := filepath.Join("testdata", goldenDir)
	if _, err := os.Stat(path); errors.Is(err, os.ErrNotExist) && golden.Creating() {
		createGoldenDir(t, path)
	}
	dir = filepath.Join(t.TempDir(), "voter")
	testwait.Must(t, os.CopyFS(dir, os.DirFS(path)))
	return dir
}

// TestGoldenDirectoryFiles checks the parts of the directory one by one: the names of its
// files, the entries of its log and the state in its snapshot.
func TestGoldenDirectoryFiles(t *testing.T) {
	dir := copyGoldenDir(t)
	if _, err := os.Stat(filepath.Join(dir, "log.bolt")); err != nil || LogFileName != "log.bolt" {
		t.Fatalf("the log file is %s, %v", LogFileName, err)
	}
	logs, err := raftbolt.New(raftbolt.Options{Path: filepath.Join(dir, LogFileName), BoltOptions: boltOptions()})
	testwait.Must(t, err)
	defer logs.Close()
	before, after := goldenEntries()
	entries := slices.Concat(before, after)
	first, err := logs.FirstIndex()
	testwait.Must(t, err)
	last, err := logs.LastIndex()
	testwait.Must(t, err)
	for index := first; index <= last; index++ {
		var stored raft.Log
		testwait.Must(t, logs.GetLog(index, &stored))
		if stored.Type != raft.LogCommand {
			continue
		}
		if len(entries) == 0 {
			t.Fatalf("entry %d is unexpected: %s", index, stored.Data)
		}
		encoded, err := entries[0].Encode()
		testwait.Must(t, err)
		if string(encoded) != string(stored.Data) {
			t.Errorf("entry %d is encoded as\n     %s\nwant %s", index, encoded, stored.Data)
		}
		if decoded, err := fleet.Decode(stored.Data); err != nil || !reflect.DeepEqual(decoded, entries[0]) {
			t.Errorf("entry %d decodes to %+v, %v, want %+v", index, decoded, err, entries[0])
		}
		entries = entries[1:]
	}
	if len(entries) > 0 {
		t.Errorf("%d entries are missing", len(entries))
	}

	snapshots, err := raft.NewFileSnapshotStore(dir, retainedSnapshots, io.Discard)
	testwait.Must(t, err)
	list, err := snapshots.List()
	testwait.Must(t, err)
	if len(list) != 1 {
		t.Fatalf("%d snapshots", len(list))
	}
	_, content, err := snapshots.Open(list[0].ID)
	testwait.Must(t, err)
	defer content.Close()
	text, err := io.ReadAll(content)
	testwait.Must(t, err)
	var state fleet.State
	testwait.Must(t, state.Restore(text))
	again, err := state.Snapshot()
	testwait.Must(t, err)
	if got, want := withoutRecords(again), withoutRecords(text); got != want {
		t.Errorf("the snapshot is encoded as\n     %s\nwant %s", got, want)
	}
	if head, _ := state.Head(); head.Number != 1 || !state.Drained("g1") || state.Roster().Epoch != 1 || state.Records().Len() != 1 {
		t.Errorf("the snapshot contains %s", text)
	}
}

// TestGoldenDirectoryOpens starts a voter on the directory of an earlier program. The voter
// has everything that was stored, and appends to it.
func TestGoldenDirectoryOpens(t *testing.T) {
	v := newVoter(t, newNetwork(), "v0")
	v.dir = copyGoldenDir(t)
	snapshots, err := raft.NewFileSnapshotStore(v.dir, retainedSnapshots, io.Discard)
	testwait.Must(t, err)
	list, err := snapshots.List()
	testwait.Must(t, err)
	testwait.Must(t, v.start(t))
	testwait.Until(t, testTimeout, "the voter leads", func() bool { return v.store.VerifyLeader() == nil })
	if term := v.store.raft.CurrentTerm(); term <= list[0].Term {
		t.Errorf("the voter leads in term %d, the snapshot is of term %d", term, list[0].Term)
	}
	voters, err := v.store.Members()
	if err != nil || len(voters) != 2 || voters[0].Name != "r0" || !voters[0].NonVoter || voters[1].Name != "v0" || voters[1].NonVoter {
		t.Errorf("members %+v, %v", voters, err)
	}
	v.store.View(func(s *fleet.State) { checkGoldenState(t, s) })

	// A retry of a request to an earlier program creates no second revision.
	_, after := goldenEntries()
	if out := propose(t, v.store, after[0]); out.Result.Status != revisions.Accepted || out.Result.Revision.Number != 2 {
		t.Errorf("a retried command: %+v", out)
	}
	out := propose(t, v.store, fleet.Entry{Records: goldenPlan("silver")})
	if version := recordsStateOf(v.store).version; out.Records == nil || out.Records.Status != records.Accepted || out.Records.Version != version {
		t.Errorf("a retried change of records at version %d: %+v", version, out.Records)
	}
	propose(t, v.store, fleet.Entry{RolloutChange: &fleet.RolloutChange{New: 3, State: rollout.Applied, Reason: "all have it", At: goldenTime}})
	propose(t, v.store, command("r-4", 3, "d"))
	if r := head(v.store); r.Number != 4 || r.Parent != 3 {
		t.Errorf("the head is %+v", r)
	}
}

// withoutRecords returns a snapshot without its records, which are compressed: equal
// records may have different bytes with another version of the compressor.
func withoutRecords(snapshot []byte) string {
	return encodedRecords.ReplaceAllString(string(snapshot), `"records":"",`)
}

// encodedRecords matches the records of an encoded state.
var encodedRecords = regexp.MustCompile(`"records":"[^"]*",`)

// checkGoldenState compares a state with the result of goldenEntries.
func checkGoldenState(t *testing.T, s *fleet.State) {
	t.Helper()
	var contents []revisions.Content
	for _, r := range s.Revisions() {
		contents = append(contents, r.Content)
		if r.Checksum != r.Content.Checksum() || !r.At.Equal(goldenTime) {
			t.Errorf("revision %+v", r)
		}
	}
	if want := []revisions.Content{{File: "a"}, *goldenContent(), {File: "a"}}; !reflect.DeepEqual(contents, want) {
		t.Errorf("contents %+v, want %+v", contents, want)
	}
	want := fleet.Rollout{New: 3, Previous: 1, State: rollout.Advancing, Reason: "it has been accepted", By: "ann", At: goldenTime}
	if got := s.Rollout(); got != want || got.Started() {
		t.Errorf("rollout %+v, want %+v", got, want)
	}
	agents := []fleet.Agent{{Name: "a1", Address: "127.0.0.1:7400", Instances: []string{"g0", "g1"}}, {Name: "a2", Address: "127.0.0.1:7401", Instances: []string{"g2"}}}
	if got := s.Agents(); !reflect.DeepEqual(got, agents) {
		t.Errorf("agents %+v, want %+v", got, agents)
	}
	if !s.Drained("g1") || s.Drained("g0") || s.Drained("g2") {
		t.Errorf("drained: g0 %v, g1 %v, g2 %v", s.Drained("g0"), s.Drained("g1"), s.Drained("g2"))
	}
	roster := members.Roster{Epoch: 2, Members: []members.Member{{Name: "g0"}, {Name: "g1"}, {Name: "g2", Since: 2}}}
	if got := s.Roster(); !reflect.DeepEqual(got, roster) {
		t.Errorf("roster %+v, want %+v", got, roster)
	}
	plans := s.Records().List(records.Plan, "", 0)
	if len(plans) != 2 || plans[0].Key.Name != "gold" || plans[1].Key.Name != "silver" || string(plans[0].Value) != `{"price_weight":1.5,"requests_per_second":100}` {
		t.Errorf("records %+v", plans)
	}
	if history := s.Records().History(0); len(history) != 2 || history[0].Message != "a plan" {
		t.Errorf("changes of records %+v", history)
	}
	text, err := s.Snapshot()
	testwait.Must(t, err)
	golden.File(t, "voter-state.json", []byte(withoutRecords(text)))
}
