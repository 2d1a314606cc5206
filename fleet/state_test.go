package fleet

import (
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"elderyard/revisions"
	"elderyard/rollout"
)

var at = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

func apply(t testing.TB, s *State, e Entry) Outcome {
	t.Helper()
	text, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	back, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	out, err := s.Apply(1, back)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func command(request string, parent uint64, file string) Entry {
	return Entry{Command: &revisions.Command{Request: request, Parent: parent, Content: &revisions.Content{File: file}, Author: "ann", At: at}}
}

func turn(n uint64, s rollout.State, why string) Entry {
	return Entry{RolloutChange: &RolloutChange{New: n, State: s, Reason: why, At: at}}
}

func TestARolloutFollowsAnApply(t *testing.T) {
	var s State
	if out := apply(t, &s, command("1", 0, "a")); out.Result.Status != revisions.Accepted {
		t.Fatalf("%+v", out)
	}
	if r := s.Rollout(); r.New != 1 || r.Previous != 0 || r.State != rollout.Advancing || r.By != "ann" {
		t.Fatalf("%+v", r)
	}
	if out := apply(t, &s, command("2", 1, "b")); out.Result.Status != Busy || out.Result.Revision.Number != 1 {
		t.Fatalf("a second rollout beside the first: %+v", out)
	}
	// A repeat of what has its answer gets it, busy or not.
	if out := apply(t, &s, command("1", 0, "a")); out.Result.Status != revisions.Accepted || out.Result.Revision.Number != 1 {
		t.Fatalf("%+v", out)
	}
	apply(t, &s, turn(1, rollout.Applied, "all have it"))
	if out := apply(t, &s, command("2", 1, "b")); out.Result.Status != revisions.Accepted {
		t.Fatalf("%+v", out)
	}
	apply(t, &s, turn(2, rollout.RollingBack, "it broke"))
	apply(t, &s, turn(2, rollout.RolledBack, "all are back"))
	r := s.Rollout()
	if r.Wanted() != 1 || r.Reason != "all are back" {
		t.Fatalf("%+v", r)
	}
	// The next one goes from what runs, not from the head.
	apply(t, &s, command("3", 2, "c"))
	if r := s.Rollout(); r.New != 3 || r.Previous != 1 {
		t.Fatalf("%+v", r)
	}
}

func TestALeaderThatLostItsLeadTurnsNothingBack(t *testing.T) {
	for _, c := range []struct{ now, then rollout.State }{
		{rollout.RollingBack, rollout.Advancing}, {rollout.RollingBack, rollout.Applied}, {rollout.RolledBack, rollout.PartlyApplied},
		{rollout.Applied, rollout.Advancing}, {rollout.PartlyRolledBack, rollout.RollingBack},
	} {
		var s State
		apply(t, &s, command("1", 0, "a"))
		apply(t, &s, turn(1, rollout.Applied, ""))
		apply(t, &s, command("2", 1, "b"))
		apply(t, &s, turn(2, c.now, "now"))
		if out := apply(t, &s, turn(2, c.then, "then")); out.Rejected == "" || s.Rollout().State != c.now {
			t.Errorf("%s after %s: %+v", c.then, c.now, s.Rollout())
		}
	}
	var s State
	apply(t, &s, command("1", 0, "a"))
	if out := apply(t, &s, turn(7, rollout.Applied, "")); out.Rejected == "" || s.Rollout().State != rollout.Advancing {
		t.Error("a turn of another rollout was taken")
	}
}

func TestTheRevisionToGoBackToOutlivesTheHistory(t *testing.T) {
	var s State
	apply(t, &s, command("0", 0, "good"))
	apply(t, &s, turn(1, rollout.Applied, ""))
	for i := range uint64(revisions.MaxRevisions + 5) {
		apply(t, &s, command(fmt.Sprint("x", i), i+1, fmt.Sprint("bad", i)))
		apply(t, &s, turn(i+2, rollout.RolledBack, ""))
	}
	if r, found := s.Revision(1); !found || r.Content.File != "good" || s.Rollout().Wanted() != 1 {
		t.Fatalf("%v %+v", found, s.Rollout())
	}
	text, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var back State
	if err := back.Restore(text); err != nil {
		t.Fatal(err)
	}
	if _, found := back.Revision(1); !found {
		t.Fatal("it is not in the snapshot")
	}
}

func TestAgentsInstancesAndDrains(t *testing.T) {
	var s State
	enroll := func(name string, instances ...string) Outcome {
		return apply(t, &s, Entry{Enroll: &Enroll{Agent{name, "127.0.0.1:1", instances}, at}})
	}
	drain := func(name string, on bool) Outcome {
		return apply(t, &s, Entry{Drain: &Drain{name, on, "ann", at}})
	}
	enroll("a1", "g0", "g1")
	if out := enroll("a2", "g1", "g2"); !strings.Contains(out.Rejected, "instance g1 is agent a1's") {
		t.Fatalf("%+v", out)
	}
	if out := drain("g2", true); !strings.Contains(out.Rejected, "there is no instance g2") {
		t.Fatalf("%+v", out)
	}
	drain("g1", true)
	if !s.Drained("g1") {
		t.Fatal("not drained")
	}
	before := len(s.Events())
	drain("g1", true)
	if len(s.Events()) != before {
		t.Fatal("what changes nothing was logged")
	}
	enroll("a1", "g0") // g1 has left
	if s.Drained("g1") {
		t.Fatal("one that is gone is still drained")
	}
	if out := apply(t, &s, Entry{Remove: &Remove{"a3", "ann", at}}); out.Rejected == "" {
		t.Fatal("an unknown agent was removed")
	}
	apply(t, &s, Entry{Remove: &Remove{"a1", "ann", at}})
	if len(s.Agents()) != 0 {
		t.Fatal(s.Agents())
	}
	for range MaxEvents {
		apply(t, &s, Entry{Audit: &Event{at, "ann", "something"}})
	}
	if len(s.Events()) != MaxEvents {
		t.Fatal(len(s.Events()))
	}
}

func TestBadEntriesAndNames(t *testing.T) {
	for _, text := range []string{`{}`, `{"drain":{"instance":"a","on":true,"by":"x","at":"2026-12-01T00:00:00Z"},"remove":{"agent":"a","by":"x","at":"2026-12-01T00:00:00Z"}}`,
		`{"drain":{"instance":"../a"}}`, `{"enroll":{"agent":{"name":"a","address":"","instances":["b","a"]}}}`, `{"turn":{"new":0,"state":"x"}}`,
		`{"what":1}`, `{"remove":{"agent":"a"}} x`, ``, `null`} {
		if _, err := Decode([]byte(text)); err == nil {
			t.Errorf("%s was taken", text)
		}
	}
	for _, name := range []string{"", ".", "..", "a/b", "a b", "é", strings.Repeat("a", 200)} {
		if CheckName("agent", name) == nil {
			t.Errorf("%q was taken", name)
		}
	}
}

func TestShort(t *testing.T) {
	for _, c := range [][2]string{{"", ""}, {"12345678", "12345678"}, {"123456789", "1234 ..."}, {"123é56789", "123 ..."}} {
		if got := Truncate(c[0], 8); got != c[1] {
			t.Errorf("%q: %q", c[0], got)
		}
	}
}

// TestSnapshots: whatever came before, a state that was written and read again
// answers as the one that was not.
func TestSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		for n := range rapid.IntRange(0, 40).Draw(t, "entries") {
			head, _ := s.Head()
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, fmt.Sprint("name", n))
			var e Entry
			switch rapid.IntRange(0, 4).Draw(t, fmt.Sprint("kind", n)) {
			case 0:
				e = command(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, fmt.Sprint("request", n))), head.Number, name+fmt.Sprint(n))
			case 1:
				if head.Number == 0 {
					continue
				}
				e = turn(head.Number, rapid.SampledFrom([]rollout.State{rollout.Paused, rollout.Advancing, rollout.RollingBack, rollout.RolledBack, rollout.Applied}).Draw(t, fmt.Sprint("state", n)), "so")
			case 2:
				e = Entry{Enroll: &Enroll{Agent{name, "", []string{name + "0", name + "1"}}, at}}
			case 3:
				e = Entry{Drain: &Drain{name + "0", n%2 == 0, "ann", at}}
			case 4:
				e = Entry{Remove: &Remove{name, "ann", at}}
			}
			if _, err := s.Apply(1, e); err != nil {
				t.Fatal(err)
			}
			text, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			var back State
			if err := back.Restore(text); err != nil {
				t.Fatalf("%v\n%s", err, text)
			}
			twice, _ := back.Snapshot()
			if string(twice) != string(text) || !reflect.DeepEqual(back.Rollout(), s.Rollout()) {
				t.Fatalf("%s\n%s", text, twice)
			}
		}
	})
}

func TestSpoiltSnapshotsAreRefusedAndChangeNothing(t *testing.T) {
	var s State
	apply(t, &s, command("1", 0, "a"))
	apply(t, &s, turn(1, rollout.Applied, ""))
	apply(t, &s, command("2", 1, "b"))
	apply(t, &s, Entry{Enroll: &Enroll{Agent{"a1", "", []string{"g0"}}, at}})
	good, _ := s.Snapshot()
	for what, text := range map[string]string{
		"cut short":           string(good[:len(good)/2]),
		"followed":            string(good) + "x",
		"another form":        strings.Replace(string(good), `"form":1,"history"`, `"form":9,"history"`, 1),
		"changed":             strings.Replace(string(good), `"file":"a"`, `"file":"A"`, 1),
		"another rollout":     strings.Replace(string(good), `"new":2`, `"new":9`, 1),
		"a drain for no one":  strings.Replace(string(good), `"drained":null`, `"drained":["g7"]`, 1),
		"an agent of no name": strings.Replace(string(good), `"name":"a1"`, `"name":"/"`, 1),
	} {
		if text == string(good) {
			t.Fatalf("%s: the test changed nothing", what)
		}
		var back State
		if err := back.Restore([]byte(text)); err == nil || !reflect.DeepEqual(back, State{}) {
			t.Errorf("%s: %v", what, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	e := command("1", 0, "a")
	text, _ := e.Encode()
	f.Add(text)
	f.Add([]byte(`{"drain":{"instance":"a","on":true,"by":"x","at":"2026-12-01T00:00:00Z"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		e, err := Decode(text)
		if err != nil {
			return
		}
		var s State
		if _, err := s.Apply(1, e); err != nil {
			t.Fatalf("what was decoded can't be applied: %v", err)
		}
		if _, err := e.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}
