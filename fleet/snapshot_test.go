package fleet

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"elderyard/rollout"
)

// TestSnapshotsRestoreAnyState applies random entries, and checks after each one that a state restored from a snapshot
// has the same snapshot.
func TestSnapshotsRestoreAnyState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		for n := range rapid.IntRange(0, 40).Draw(t, "entries") {
			head, _ := s.Head()
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, fmt.Sprint("name", n))
			var entry Entry
			switch rapid.IntRange(0, 4).Draw(t, fmt.Sprint("kind", n)) {
			case 0:
				entry = command(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, fmt.Sprint("request", n))), head.Number, name+fmt.Sprint(n))
			case 1:
				if head.Number == 0 {
					continue
				}
				entry = rolloutChange(head.Number, rapid.SampledFrom([]rollout.State{rollout.Paused, rollout.Advancing, rollout.RollingBack, rollout.RolledBack, rollout.Applied}).Draw(t, fmt.Sprint("state", n)), "so")
			case 2:
				entry = Entry{Enroll: &Enroll{Agent{name, "", []string{name + "0", name + "1"}}, at}}
			case 3:
				entry = Entry{Drain: &Drain{name + "0", n%2 == 0, "ann", at}}
			case 4:
				entry = Entry{Remove: &Remove{name, "ann", at}}
			}
			if _, err := s.Apply(1, entry); err != nil {
				t.Fatal(err)
			}
			text, err := s.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			var restored State
			if err := restored.Restore(text); err != nil {
				t.Fatalf("%v\n%s", err, text)
			}
			reencoded, _ := restored.Snapshot()
			if string(reencoded) != string(text) || !reflect.DeepEqual(restored.Rollout(), s.Rollout()) {
				t.Fatalf("snapshot and that of the restored state differ:\n%s\n%s", text, reencoded)
			}
		}
	})
}

func TestInvalidSnapshotsAreRejectedAndChangeNothing(t *testing.T) {
	var s State
	apply(t, &s, command("1", 0, "a"))
	apply(t, &s, rolloutChange(1, rollout.Applied, ""))
	apply(t, &s, command("2", 1, "b"))
	apply(t, &s, Entry{Enroll: &Enroll{Agent{"a1", "", []string{"g0"}}, at}})
	valid, _ := s.Snapshot()
	for name, text := range map[string]string{
		"truncated":                      string(valid[:len(valid)/2]),
		"trailing data":                  string(valid) + "x",
		"unknown version":                strings.Replace(string(valid), `"form":1,"history"`, `"form":9,"history"`, 1),
		"changed content":                strings.Replace(string(valid), `"file":"a"`, `"file":"A"`, 1),
		"unknown revision":               strings.Replace(string(valid), `"new":2`, `"new":9`, 1),
		"drained instance without agent": strings.Replace(string(valid), `"drained":null`, `"drained":["g7"]`, 1),
		"invalid agent name":             strings.Replace(string(valid), `"name":"a1"`, `"name":"/"`, 1),
	} {
		if text == string(valid) {
			t.Fatalf("%s: the snapshot was not modified", name)
		}
		var restored State
		if err := restored.Restore([]byte(text)); err == nil || !reflect.DeepEqual(restored, State{}) {
			t.Errorf("%s: %v, and the state is %+v", name, err, restored)
		}
	}
}
