package revisions

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var at = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

// command returns a command that applies a new file on a parent.
func command(idempotencyKey string, parent uint64, file string) Command {
	return Command{IdempotencyKey: idempotencyKey, Parent: parent, Content: &Content{File: file}, Author: "ann", At: at}
}

func apply(t *testing.T, history *History, command Command) Result {
	t.Helper()
	result, err := history.Apply(command)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// TestConcurrentCommandsConflict checks that the second of two commands on the same parent changes nothing and gets the
// revision that it conflicts with.
func TestConcurrentCommandsConflict(t *testing.T) {
	var h History
	if r := apply(t, &h, command("1", 0, "a")); r.Status != Accepted || r.Revision.Number != 1 {
		t.Fatalf("result of the first command: %+v", r)
	}
	accepted := apply(t, &h, command("2", 1, "b"))
	conflicting := command("3", 1, "c")
	conflicting.Author = "bob"
	if r := apply(t, &h, conflicting); r.Status != Conflict || r.Revision.Number != accepted.Revision.Number || r.Revision.Author != "ann" || !r.Revision.At.Equal(at) {
		t.Fatalf("result of the conflicting command: %+v", r)
	}
	if head, _ := h.Head(); head.Number != 2 || head.Content.File != "b" || head.Parent != 1 {
		t.Fatalf("head %+v", head)
	}
}

// TestRepeatedCommandCreatesNoSecondRevision guards against a second revision when a client whose response was lost
// repeats its command.
func TestRepeatedCommandCreatesNoSecondRevision(t *testing.T) {
	var h History
	first := apply(t, &h, command("1", 0, "a"))
	apply(t, &h, command("2", 1, "b"))
	if r := apply(t, &h, command("1", 0, "a")); !reflect.DeepEqual(r, first) {
		t.Fatalf("result of the repeated command: %+v, want %+v", r, first)
	}
	if n := len(h.List()); n != 2 {
		t.Fatalf("%d revisions, want 2", n)
	}
}

func TestUnchangedContentCreatesNoRevision(t *testing.T) {
	var h History
	apply(t, &h, command("1", 0, "a"))
	if r := apply(t, &h, command("2", 1, "a")); r.Status != Unchanged || r.Revision.Number != 1 {
		t.Fatalf("result %+v", r)
	}
}

func TestRestoreCreatesRevisionWithEarlierContent(t *testing.T) {
	var h History
	apply(t, &h, command("1", 0, "a"))
	apply(t, &h, command("2", 1, "b"))
	restore := Command{IdempotencyKey: "3", Parent: 2, Restore: 1, Author: "ann", At: at}
	if r := apply(t, &h, restore); r.Status != Accepted || r.Revision.Number != 3 || r.Revision.Content.File != "a" {
		t.Fatalf("result of restoring revision 1: %+v", r)
	}
	restore.IdempotencyKey, restore.Parent, restore.Restore = "4", 3, 77
	if r := apply(t, &h, restore); r.Status != UnknownRevision {
		t.Fatalf("result of restoring an unknown revision: %+v", r)
	}
}

// TestHistoryIsBounded checks the limits on the numbers of revisions and results.
func TestHistoryIsBounded(t *testing.T) {
	var h History
	for i := range MaxResults + 50 {
		apply(t, &h, command(fmt.Sprint(i), uint64(i), fmt.Sprint(i)))
	}
	revisions := h.List()
	if len(revisions) != MaxRevisions || len(h.results) != MaxResults || revisions[0].Number != MaxResults+50 {
		t.Fatalf("%d revisions, %d results, head %d", len(revisions), len(h.results), revisions[0].Number)
	}
	if _, found := h.Get(1); found {
		t.Error("the first revision is still in the history")
	}
	if r, found := h.Get(revisions[10].Number); !found || r.Number != revisions[10].Number {
		t.Errorf("Get(%d) found %v", revisions[10].Number, found)
	}
}

func TestSnapshotIsCompleteAndInvalidOneChangesNothing(t *testing.T) {
	var h History
	withOverlay := command("1", 0, "a = 1\n")
	withOverlay.Content.Overlays = map[string]string{"g1": "b = 2"}
	apply(t, &h, withOverlay)
	apply(t, &h, command("2", 1, "b"))
	text, err := h.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored History
	if err := restored.Restore(text); err != nil || !reflect.DeepEqual(h, restored) {
		t.Fatalf("restored %+v, %v", restored, err)
	}
	for name, invalid := range map[string][]byte{
		"truncated":       text[:len(text)/2],
		"changed content": bytes.Replace(text, []byte(`"a = 1\n"`), []byte(`"a = 2\n"`), 1),
		"out of order":    bytes.Replace(text, []byte(`"number":2`), []byte(`"number":5`), 1),
		"unknown version": bytes.Replace(text, []byte(`"form":1`), []byte(`"form":2`), 1),
		"empty":           nil,
	} {
		if err := restored.Restore(invalid); err == nil || !reflect.DeepEqual(h, restored) {
			t.Errorf("%s: %v, and the history is %+v", name, err, restored)
		}
	}
}

// TestInvalidCommandsAreRejectedWithTheirField checks that the error names the invalid field, and that Decode rejects
// malformed input.
func TestInvalidCommandsAreRejectedWithTheirField(t *testing.T) {
	for field, change := range map[string]func(*Command){
		"request":  func(c *Command) { c.IdempotencyKey = "" },
		"author":   func(c *Command) { c.Author = "a\nb" },
		"message":  func(c *Command) { c.Message = strings.Repeat("m", MaxMessageBytes+1) },
		"content":  func(c *Command) { c.Content = nil },
		"restore":  func(c *Command) { c.Restore = 1 },
		"at":       func(c *Command) { c.At = time.Time{} },
		"file":     func(c *Command) { c.Content.File = strings.Repeat("f", MaxFileBytes+1) },
		"overlays": func(c *Command) { c.Content.Overlays = map[string]string{"": "x"} },
	} {
		invalid := command("1", 0, "a")
		change(&invalid)
		var h History
		_, err := h.Apply(invalid)
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != field || !strings.HasPrefix(err.Error(), field+":") || len(h.revisions)+len(h.results) > 0 {
			t.Errorf("%s: %v", field, err)
		}
		if _, err := invalid.Encode(); err == nil {
			t.Errorf("a command with an invalid %s was encoded", field)
		}
	}
	valid, err := (&Command{IdempotencyKey: "1", Content: &Content{File: "a"}, Author: "ann", At: at}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"empty": "", "truncated": "{", "trailing data": string(valid) + "x", "too long": strings.Repeat(" ", maxEncodedBytes+1),
		"unknown key": strings.Replace(string(valid), `"author"`, `"auhtor"`, 1),
	} {
		if _, err := Decode([]byte(text)); err == nil {
			t.Errorf("%s: %.60q was accepted", name, text)
		}
	}
}

// TestDifferentContentsHaveDifferentChecksums uses contents that would hash the same bytes without the lengths of their
// parts.
func TestDifferentContentsHaveDifferentChecksums(t *testing.T) {
	seen := map[string]Content{}
	for _, c := range []Content{{}, {File: "ab"}, {File: "a", Overlays: map[string]string{"b": ""}}, {File: "a", Overlays: map[string]string{"": "b"}},
		{File: "", Overlays: map[string]string{"a": "b"}}, {File: "1:a1:b"}, {File: "", Overlays: map[string]string{"a": "", "b": ""}}} {
		if other, found := seen[c.Checksum()]; found {
			t.Errorf("%+v and %+v have the same checksum", c, other)
		}
		seen[c.Checksum()] = c
	}
}

// TestAnyCommandsMakeUnbrokenChain compares random commands, with restores from snapshots in between, to a model that
// has only the number and the file of the head.
func TestAnyCommandsMakeUnbrokenChain(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		history := &History{}
		number, file := uint64(0), ""
		results := map[string]Result{}
		for range rapid.IntRange(1, 60).Draw(r, "commands") {
			key := fmt.Sprint(rapid.IntRange(0, 80).Draw(r, "request"))
			parent := uint64(rapid.IntRange(max(0, int(number)-2), int(number)+1).Draw(r, "parent"))
			text := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "file")
			got, err := history.Apply(command(key, parent, text))
			if err != nil {
				r.Fatal(err)
			}
			first, repeated := results[key]
			switch {
			case repeated:
				if !reflect.DeepEqual(got, first) {
					r.Fatalf("result of a repeated command: %+v, want %+v", got, first)
				}
			case parent != number:
				if got.Status != Conflict || got.Revision.Number != number {
					r.Fatalf("parent %d with head %d: %+v", parent, number, got)
				}
			case number > 0 && text == file:
				if got.Status != Unchanged {
					r.Fatalf("unchanged content: %+v", got)
				}
			default:
				number, file = number+1, text
				if got.Status != Accepted || got.Revision.Number != number || got.Revision.Parent != number-1 {
					r.Fatalf("%+v, want number %d", got, number)
				}
			}
			results[key] = got
			if rapid.IntRange(0, 9).Draw(r, "snapshot") == 0 {
				snapshot, err := history.Snapshot()
				if err != nil {
					r.Fatal(err)
				}
				history = &History{}
				if err := history.Restore(snapshot); err != nil {
					r.Fatal(err)
				}
			}
		}
		if head, _ := history.Head(); head.Number != number || head.Content.File != file {
			r.Fatalf("head %+v, want %d %q", head, number, file)
		}
	})
}

// FuzzDecode checks that any command that is accepted survives encoding and decoding.
func FuzzDecode(f *testing.F) {
	valid := command("1", 0, "a")
	text, _ := valid.Encode()
	f.Add(text)
	f.Add([]byte(`{"request":"1","restore":3,"author":"a","at":"2026-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"request":"1","content":{"file":"\ud800"},"author":"a","at":"2026-01-01T00:00:00Z"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		decoded, err := Decode(text)
		if err != nil {
			return
		}
		reencoded, err := decoded.Encode()
		if err != nil {
			t.Fatalf("a decoded command can't be encoded: %v", err)
		}
		got, err := Decode(reencoded)
		if err != nil || got.IdempotencyKey != decoded.IdempotencyKey || !got.At.Equal(decoded.At) ||
			(decoded.Content != nil && got.Content.Checksum() != decoded.Content.Checksum()) {
			t.Fatalf("%v: %+v became %+v", err, decoded, got)
		}
	})
}

// FuzzRestore checks that no snapshot with a wrong checksum is accepted.
func FuzzRestore(f *testing.F) {
	var h History
	if _, err := h.Apply(command("1", 0, "a")); err != nil {
		f.Fatal(err)
	}
	text, _ := h.Snapshot()
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		var h History
		if h.Restore(text) != nil {
			return
		}
		if head, found := h.Head(); found && head.Checksum != head.Content.Checksum() {
			t.Fatal("a revision with a wrong checksum was accepted")
		}
	})
}

// TestHistoryIsBoundedInBytes checks that a history holds as many revisions as fit into MaxHistoryBytes.
func TestHistoryIsBoundedInBytes(t *testing.T) {
	var h History
	overlays := map[string]string{}
	for i := range 12 {
		overlays[fmt.Sprint("g", i)] = strings.Repeat("x", MaxFileBytes)
	}
	contentBytes := 0
	for n := range uint64(40) {
		large := command(fmt.Sprint(n), n, fmt.Sprint(n))
		large.Content.Overlays = overlays
		if r := apply(t, &h, large); r.Status != Accepted {
			t.Fatalf("status %q, want %q", r.Status, Accepted)
		}
		contentBytes = large.Content.size()
	}
	if n := len(h.List()); n*contentBytes > MaxHistoryBytes || (n+1)*contentBytes <= MaxHistoryBytes {
		t.Fatalf("%d revisions of %d bytes", n, contentBytes)
	}
	if head, _ := h.Head(); head.Number != 40 {
		t.Fatalf("head %d, want 40", head.Number)
	}
}
