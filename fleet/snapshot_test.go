package fleet

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"elderyard/rollout"
)

// TestSnapshotsRestoreAnyState: after any entries, a state that is restored from its snapshot has the same snapshot.
func TestSnapshotsRestoreAnyState(t *testing.T) {
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
				e = rolloutChange(head.Number, rapid.SampledFrom([]rollout.State{rollout.Paused, rollout.Advancing, rollout.RollingBack, rollout.RolledBack, rollout.Applied}).Draw(t, fmt.Sprint("state", n)), "so")
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
			var restored State
			if err := restored.Restore(text); err != nil {
				t.Fatalf("%v\n%s", err, text)
			}
			again, _ := restored.Snapshot()
			if string(again) != string(text) || !reflect.DeepEqual(restored.Rollout(), s.Rollout()) {
				t.Fatalf("%s\n%s", text, again)
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
	good, _ := s.Snapshot()
	for name, text := range map[string]string{
		"cut short":           string(good[:len(good)/2]),
		"followed":            string(good) + "x",
		"another form":        strings.Replace(string(good), `"form":1,"history"`, `"form":9,"history"`, 1),
		"changed":             strings.Replace(string(good), `"file":"a"`, `"file":"A"`, 1),
		"another rollout":     strings.Replace(string(good), `"new":2`, `"new":9`, 1),
		"drain without agent": strings.Replace(string(good), `"drained":null`, `"drained":["g7"]`, 1),
		"invalid agent name":  strings.Replace(string(good), `"name":"a1"`, `"name":"/"`, 1),
	} {
		if text == string(good) {
			t.Fatalf("%s: the test changed nothing", name)
		}
		var restored State
		if err := restored.Restore([]byte(text)); err == nil || !reflect.DeepEqual(restored, State{}) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
