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

func command(request string, parent uint64, file string) Command {
	return Command{IdempotencyKey: request, Parent: parent, Content: &Content{File: file}, Author: "ann", At: at}
}

func apply(t *testing.T, h *History, c Command) Result {
	t.Helper()
	r, err := h.Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestConcurrentCommandsConflict(t *testing.T) {
	var h History
	if r := apply(t, &h, command("1", 0, "a")); r.Status != Accepted || r.Revision.Number != 1 {
		t.Fatalf("%+v", r)
	}
	won := apply(t, &h, command("2", 1, "b"))
	lost := command("3", 1, "c")
	lost.Author = "bob"
	if r := apply(t, &h, lost); r.Status != Conflict || r.Revision.Number != won.Revision.Number || r.Revision.Author != "ann" || !r.Revision.At.Equal(at) {
		t.Fatalf("the second command's result is %+v", r)
	}
	if head, _ := h.Head(); head.Number != 2 || head.Content.File != "b" || head.Parent != 1 {
		t.Fatalf("%+v", head)
	}
}

func TestRepeatedCommandCreatesNoSecondRevision(t *testing.T) {
	var h History
	first := apply(t, &h, command("1", 0, "a"))
	apply(t, &h, command("2", 1, "b"))
	if r := apply(t, &h, command("1", 0, "a")); !reflect.DeepEqual(r, first) {
		t.Fatalf("%+v, at first %+v", r, first)
	}
	if n := len(h.List()); n != 2 {
		t.Fatalf("%d revisions", n)
	}
}

func TestUnchangedContentCreatesNoRevision(t *testing.T) {
	var h History
	apply(t, &h, command("1", 0, "a"))
	if r := apply(t, &h, command("2", 1, "a")); r.Status != Unchanged || r.Revision.Number != 1 {
		t.Fatalf("%+v", r)
	}
}

func TestRestoreCreatesRevisionWithEarlierContent(t *testing.T) {
	var h History
	apply(t, &h, command("1", 0, "a"))
	apply(t, &h, command("2", 1, "b"))
	back := Command{IdempotencyKey: "3", Parent: 2, Restore: 1, Author: "ann", At: at}
	if r := apply(t, &h, back); r.Status != Accepted || r.Revision.Number != 3 || r.Revision.Content.File != "a" {
		t.Fatalf("%+v", r)
	}
	back.IdempotencyKey, back.Parent, back.Restore = "4", 3, 77
	if r := apply(t, &h, back); r.Status != UnknownRevision {
		t.Fatalf("%+v", r)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var h History
	for i := range MaxResults + 50 {
		apply(t, &h, command(fmt.Sprint(i), uint64(i), fmt.Sprint(i)))
	}
	list := h.List()
	if len(list) != MaxRevisions || len(h.results) != MaxResults || list[0].Number != MaxResults+50 {
		t.Fatalf("%d revisions, %d results, head %d", len(list), len(h.results), list[0].Number)
	}
	if _, found := h.Get(1); found {
		t.Error("the first revision is still there")
	}
	if r, found := h.Get(list[10].Number); !found || r.Number != list[10].Number {
		t.Error("one of the history is not found")
	}
}

func TestSnapshotIsCompleteAndInvalidOneChangesNothing(t *testing.T) {
	var h History
	c := command("1", 0, "a = 1\n")
	c.Content.Overlays = map[string]string{"g1": "b = 2"}
	apply(t, &h, c)
	apply(t, &h, command("2", 1, "b"))
	text, err := h.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var other History
	if err := other.Restore(text); err != nil || !reflect.DeepEqual(h, other) {
		t.Fatalf("%v %+v", err, other)
	}
	for name, bad := range map[string][]byte{
		"cut short":    text[:len(text)/2],
		"changed":      bytes.Replace(text, []byte(`"a = 1\n"`), []byte(`"a = 2\n"`), 1),
		"out of order": bytes.Replace(text, []byte(`"number":2`), []byte(`"number":5`), 1),
		"other form":   bytes.Replace(text, []byte(`"form":1`), []byte(`"form":2`), 1),
		"empty":        nil,
	} {
		if err := other.Restore(bad); err == nil || !reflect.DeepEqual(h, other) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

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
		c := command("1", 0, "a")
		change(&c)
		var h History
		_, err := h.Apply(c)
		var invalid *FieldError
		if !errors.As(err, &invalid) || invalid.Field != field || !strings.HasPrefix(err.Error(), field+":") || len(h.revisions)+len(h.results) > 0 {
			t.Errorf("%s: %v", field, err)
		}
		if _, err := c.Encode(); err == nil {
			t.Errorf("%s was encoded", field)
		}
	}
	good, err := (&Command{IdempotencyKey: "1", Content: &Content{File: "a"}, Author: "ann", At: at}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"empty": "", "cut short": "{", "followed": string(good) + "x", "too long": strings.Repeat(" ", maxEncodedBytes+1),
		"unknown key": strings.Replace(string(good), `"author"`, `"auhtor"`, 1),
	} {
		if _, err := Decode([]byte(text)); err == nil {
			t.Errorf("%s: %.60q was accepted", name, text)
		}
	}
}

func TestDifferentContentsHaveDifferentChecksums(t *testing.T) {
	seen := map[string]Content{}
	for _, c := range []Content{{}, {File: "ab"}, {File: "a", Overlays: map[string]string{"b": ""}}, {File: "a", Overlays: map[string]string{"": "b"}},
		{File: "", Overlays: map[string]string{"a": "b"}}, {File: "1:a1:b"}, {File: "", Overlays: map[string]string{"a": "", "b": ""}}} {
		if other, twice := seen[c.Checksum()]; twice {
			t.Errorf("%+v and %+v", c, other)
		}
		seen[c.Checksum()] = c
	}
}

// TestAnyCommandsMakeUnbrokenChain runs random commands against a model that is one
// number and one text, with snapshots in between.
func TestAnyCommandsMakeUnbrokenChain(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := &History{}
		number, file := uint64(0), ""
		results := map[string]Result{}
		for range rapid.IntRange(1, 60).Draw(r, "commands") {
			request := fmt.Sprint(rapid.IntRange(0, 80).Draw(r, "request"))
			parent := uint64(rapid.IntRange(max(0, int(number)-2), int(number)+1).Draw(r, "parent"))
			text := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "file")
			got, err := h.Apply(command(request, parent, text))
			if err != nil {
				r.Fatal(err)
			}
			before, repeat := results[request]
			switch {
			case repeat:
				if !reflect.DeepEqual(got, before) {
					r.Fatalf("a repeat's result is %+v after %+v", got, before)
				}
			case parent != number:
				if got.Status != Conflict || got.Revision.Number != number {
					r.Fatalf("parent %d of %d: %+v", parent, number, got)
				}
			case number > 0 && text == file:
				if got.Status != Unchanged {
					r.Fatalf("%+v", got)
				}
			default:
				number, file = number+1, text
				if got.Status != Accepted || got.Revision.Number != number || got.Revision.Parent != number-1 {
					r.Fatalf("%+v, want number %d", got, number)
				}
			}
			results[request] = got
			if rapid.IntRange(0, 9).Draw(r, "snapshot") == 0 {
				s, err := h.Snapshot()
				if err != nil {
					r.Fatal(err)
				}
				h = &History{}
				if err := h.Restore(s); err != nil {
					r.Fatal(err)
				}
			}
		}
		if head, _ := h.Head(); head.Number != number || head.Content.File != file {
			r.Fatalf("head %+v, want %d %q", head, number, file)
		}
	})
}

func FuzzDecode(f *testing.F) {
	c := command("1", 0, "a")
	text, _ := c.Encode()
	f.Add(text)
	f.Add([]byte(`{"request":"1","restore":3,"author":"a","at":"2026-01-01T00:00:00Z"}`))
	f.Add([]byte(`{"request":"1","content":{"file":"\ud800"},"author":"a","at":"2026-01-01T00:00:00Z"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Decode(text)
		if err != nil {
			return
		}
		again, err := c.Encode()
		if err != nil {
			t.Fatalf("what was decoded can't be encoded: %v", err)
		}
		d, err := Decode(again)
		if err != nil || d.IdempotencyKey != c.IdempotencyKey || !d.At.Equal(c.At) || (c.Content != nil && d.Content.Checksum() != c.Content.Checksum()) {
			t.Fatalf("%v: %+v became %+v", err, c, d)
		}
	})
}

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
		if head, any := h.Head(); any && head.Checksum != head.Content.Checksum() {
			t.Fatal("a revision with a wrong checksum was accepted")
		}
	})
}

func TestHistoryIsBoundedInBytes(t *testing.T) {
	var h History
	big := map[string]string{}
	for i := range 12 {
		big[fmt.Sprint("g", i)] = strings.Repeat("x", MaxFileBytes)
	}
	each := 0
	for n := range uint64(40) {
		c := command(fmt.Sprint(n), n, fmt.Sprint(n))
		c.Content.Overlays = big
		if r := apply(t, &h, c); r.Status != Accepted {
			t.Fatalf("%+v", r.Status)
		}
		each = c.Content.size()
	}
	if n := len(h.List()); n*each > MaxHistoryBytes || (n+1)*each <= MaxHistoryBytes {
		t.Fatalf("%d revisions of %d bytes", n, each)
	}
	if head, _ := h.Head(); head.Number != 40 {
		t.Fatal(head.Number)
	}
}
