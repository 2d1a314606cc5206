package revisions

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"elderyard/internal/golden"
)

// The golden files of this package pin the format of the replicated log and snapshots of existing sites, and of the
// responses of the agents' interface.

var goldenTime = time.Date(2026, 12, 1, 9, 8, 7, 123456789, time.UTC)

func goldenContent() Content {
	return Content{File: "[site]\nname = \"café <1> & \\t\"\n", Overlays: map[string]string{"g1": "a = 1\n", "g0": "b = 2\n"}, RestartGeneration: 3}
}

func goldenCommands() (withContent, withRestore Command) {
	content := goldenContent()
	withContent = Command{IdempotencyKey: "r-1", Parent: 4, Content: &content, Author: "ann", Message: "why & what", At: goldenTime}
	withRestore = Command{IdempotencyKey: "r-2", Parent: 5, Restore: 2, Author: "bob", Message: "back", At: goldenTime}
	return withContent, withRestore
}

func goldenRevision() Revision {
	content := goldenContent()
	return Revision{Number: 5, Parent: 4, Content: content, Checksum: content.Checksum(), Author: "ann", Message: "why", At: goldenTime}
}

func TestGoldenCommands(t *testing.T) {
	withContent, withRestore := goldenCommands()
	golden.Complete(t, withContent, withRestore)
	for name, command := range map[string]Command{"command-content.json": withContent, "command-restore.json": withRestore} {
		encoded, err := command.Encode()
		if err != nil {
			t.Fatal(err)
		}
		golden.File(t, name, encoded)
		golden.Decode(t, name, func(text []byte) error {
			decoded, err := Decode(text)
			if err == nil && !reflect.DeepEqual(decoded, command) {
				t.Errorf("%s decodes to\n     %+v\nwant %+v", name, decoded, command)
			}
			return err
		})
	}
}

// TestUnknownKeyIsRejected checks that no voter ignores an unknown key: it would reach a different state than a voter
// that knows the key.
func TestUnknownKeyIsRejected(t *testing.T) {
	golden.Decode(t, "command-content.json", func(text []byte) error {
		if _, err := Decode(append([]byte(`{"later":1,`), text[1:]...)); err == nil {
			t.Error("a command with an unknown key was accepted")
		}
		return nil
	})
}

func TestGoldenRevision(t *testing.T) {
	revision := goldenRevision()
	golden.Complete(t, revision)
	golden.JSON(t, "revision.json", revision)
}

func TestGoldenResult(t *testing.T) {
	result := Result{Status: Conflict, Revision: goldenRevision()}
	golden.Complete(t, result)
	golden.JSON(t, "result.json", result)
}

func TestGoldenStatuses(t *testing.T) {
	golden.Constants(t, map[string]string{
		string(Accepted):        "accepted",
		string(Unchanged):       "no change",
		string(Conflict):        "conflict",
		string(UnknownRevision): "unknown",
	})
}

// goldenHistory returns a history with revisions with and without a parent, one with restored content, and a result of
// each kind.
func goldenHistory(t *testing.T) *History {
	t.Helper()
	content := goldenContent()
	history := &History{}
	for _, command := range []Command{
		{IdempotencyKey: "first", Content: &Content{File: "a"}, Author: "ann", At: goldenTime},
		{IdempotencyKey: "second", Parent: 1, Content: &content, Author: "bob", Message: "more", At: goldenTime.Add(time.Second)},
		{IdempotencyKey: "same", Parent: 2, Content: &content, Author: "bob", At: goldenTime.Add(2 * time.Second)},
		{IdempotencyKey: "late", Parent: 1, Content: &Content{File: "c"}, Author: "eve", At: goldenTime.Add(3 * time.Second)},
		{IdempotencyKey: "lost", Parent: 2, Restore: 9, Author: "eve", At: goldenTime.Add(4 * time.Second)},
		{IdempotencyKey: "back", Parent: 2, Restore: 1, Author: "ann", Message: "as it was", At: goldenTime.Add(5 * time.Second)},
	} {
		if _, err := history.Apply(command); err != nil {
			t.Fatal(err)
		}
	}
	return history
}

func TestGoldenSnapshot(t *testing.T) {
	history := goldenHistory(t)
	encoded, err := history.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "history.json", encoded)
	var decoded snapshot
	golden.Decode(t, "history.json", func(text []byte) error { return json.Unmarshal(text, &decoded) })
	golden.Complete(t, decoded)
	var restored History
	golden.Decode(t, "history.json", restored.Restore)
	if !reflect.DeepEqual(&restored, history) {
		t.Errorf("restored\n     %+v\nwant %+v", &restored, history)
	}
}
