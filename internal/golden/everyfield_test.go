package golden

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// failingTest is a test that records its failures instead of reporting them.
type failingTest struct {
	testing.TB
	failures []string
}

// Helper implements testing.TB.
func (*failingTest) Helper() {}

// Errorf implements testing.TB.
func (f *failingTest) Errorf(format string, args ...any) {
	f.failures = append(f.failures, fmt.Sprintf(format, args...))
}

// Fatal implements testing.TB.
func (f *failingTest) Fatal(args ...any) {
	f.failures = append(f.failures, fmt.Sprint(args...))
	runtime.Goexit()
}

// failuresOf runs a test function until it returns or ends the test, and returns its failures.
func failuresOf(test func(t testing.TB)) []string {
	f := &failingTest{}
	ended := make(chan struct{})
	go func() { // ends when the test does
		defer close(ended)
		test(f)
	}()
	<-ended
	return f.failures
}

type pinned struct {
	Text     string
	hidden   int
	At       time.Time
	Target   *int
	Any      any
	List     []inner
	Array    [2]byte
	Raw      []byte
	Map      map[string]inner
	Encoded  selfEncoded
	Embedded inner
}

// selfEncoded implements its own encoding, so Complete does not examine its fields.
type selfEncoded struct{ Text string }

// MarshalText implements encoding.TextMarshaler.
func (s selfEncoded) MarshalText() ([]byte, error) { return []byte(s.Text), nil }

func completePinned() pinned {
	target := 1
	return pinned{Text: "a", hidden: 1, At: time.Unix(1, 0), Target: &target, Any: inner{"b"}, List: []inner{{"c"}, {"d"}}, Array: [2]byte{1, 2},
		Raw: []byte{1}, Map: map[string]inner{"k": {"e"}, "l": {"f"}}, Encoded: selfEncoded{"g"}, Embedded: inner{"h"}}
}

func TestEveryField(t *testing.T) {
	zero := 0
	for _, test := range []struct {
		name      string
		change    func(p *pinned)
		want      []string // paths below the value that EveryField reports
		somewhere []string // those that EveryFieldSomewhere reports
	}{
		{"complete", func(*pinned) {}, nil, nil},
		{"text", func(p *pinned) { p.Text = "" }, []string{".Text"}, []string{".Text"}},
		{"field that is not exported", func(p *pinned) { p.hidden = 0 }, []string{".hidden"}, []string{".hidden"}},
		{"time", func(p *pinned) { p.At = time.Time{} }, []string{".At"}, []string{".At"}},
		{"nil pointer", func(p *pinned) { p.Target = nil }, []string{".Target"}, []string{".Target"}},
		{"pointer to zero", func(p *pinned) { p.Target = &zero }, []string{".Target.*"}, []string{".Target.*"}},
		{"nil interface", func(p *pinned) { p.Any = nil }, []string{".Any"}, []string{".Any"}},
		{"interface with a zero field", func(p *pinned) { p.Any = inner{} }, []string{".Any.*.Text"}, []string{".Any.*.Text"}},
		{"interface with a type without fields", func(p *pinned) { p.Any = struct{}{} }, []string{".Any.*"}, []string{".Any.*"}},
		{"nil list", func(p *pinned) { p.List = nil }, []string{".List"}, []string{".List"}},
		{"empty list", func(p *pinned) { p.List = []inner{} }, []string{".List"}, []string{".List"}},
		{"one element", func(p *pinned) { p.List[1].Text = "" }, []string{".List[1].Text"}, nil},
		{"all elements", func(p *pinned) { p.List = []inner{{}, {}} }, []string{".List[0].Text", ".List[1].Text"}, []string{".List[].Text"}},
		{"one byte of an array", func(p *pinned) { p.Array[0] = 0 }, []string{".Array[0]"}, nil},
		{"array", func(p *pinned) { p.Array = [2]byte{} }, []string{".Array[0]", ".Array[1]"}, []string{".Array[]"}},
		{"empty bytes", func(p *pinned) { p.Raw = []byte{} }, []string{".Raw"}, []string{".Raw"}},
		{"zero bytes", func(p *pinned) { p.Raw = []byte{0} }, []string{".Raw[0]"}, []string{".Raw[]"}},
		{"nil map", func(p *pinned) { p.Map = nil }, []string{".Map"}, []string{".Map"}},
		{"empty map", func(p *pinned) { p.Map = map[string]inner{} }, []string{".Map"}, []string{".Map"}},
		{"one element of a map", func(p *pinned) { p.Map["k"] = inner{} }, []string{".Map[k].Text"}, nil},
		{"type that encodes itself", func(p *pinned) { p.Encoded.Text = "" }, []string{".Encoded.Text"}, []string{".Encoded.Text"}},
		{"two fields", func(p *pinned) { p.Text, p.Embedded.Text = "", "" }, []string{".Embedded.Text", ".Text"}, []string{".Embedded.Text", ".Text"}},
	} {
		value := completePinned()
		test.change(&value)
		for _, check := range []struct {
			name  string
			check func(testing.TB, any)
			want  []string
		}{
			{"EveryField", EveryField, test.want},
			{"EveryFieldSomewhere", EveryFieldSomewhere, test.somewhere},
		} {
			want := []string(nil)
			for _, path := range check.want {
				want = append(want, "golden.pinned"+path+" is not set in the pinned value")
			}
			if got := failuresOf(func(t testing.TB) { check.check(t, value) }); !slices.Equal(got, want) {
				t.Errorf("%s, %s: %q, want %q", test.name, check.name, got, want)
			}
		}
	}
	if got := failuresOf(func(t testing.TB) { EveryField(t, nil) }); len(got) != 1 {
		t.Errorf("nil: %q", got)
	}
}

// extended is an encoded type to which a later version may add keys.
type extended struct {
	Text string `json:"text"`
	List []int  `json:"list,omitempty"`
}

// inFolder runs the rest of the test in a temporary directory that has these files in testdata.
func inFolder(t *testing.T, files map[string]string) {
	t.Helper()
	t.Chdir(t.TempDir())
	for name, text := range files {
		path := filepath.Join("testdata", name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

func TestExtensibleJSON(t *testing.T) {
	for _, test := range []struct {
		name, file string
		value      extended
		failures   int
	}{
		{"equal", `{"text":"a","list":[1]}` + "\n", extended{"a", []int{1}}, 0},
		{"without the newline", `{"text":"a","list":[1]}`, extended{"a", []int{1}}, 1},
		{"a field that is not set", `{"text":"a"}` + "\n", extended{Text: "a"}, 1},
		{"another value", `{"text":"b","list":[1]}` + "\n", extended{"a", []int{1}}, 3}, // the encoding, and both decoded values
	} {
		t.Run(test.name, func(t *testing.T) {
			inFolder(t, map[string]string{"form.json": test.file})
			if got := failuresOf(func(t testing.TB) { ExtensibleJSON(t, "form.json", test.value) }); len(got) != test.failures {
				t.Errorf("%d failures, want %d: %q", len(got), test.failures, got)
			}
		})
	}
	inFolder(t, map[string]string{"form.json": `{"text":"a"}` + "\n"})
	got := failuresOf(func(t testing.TB) { ExtensibleJSON(t, "form.json", rejecting{"a"}) })
	if len(got) != 2 || !strings.Contains(got[0], "form.json with a new key: another key") {
		t.Errorf("a decoder that rejects new keys: %q", got)
	}
}

// rejecting is an encoded type whose decoder rejects unknown keys.
type rejecting struct {
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *rejecting) UnmarshalJSON(text []byte) error {
	if string(text) != `{"text":"a"}` {
		return errors.New("another key")
	}
	r.Text = "a"
	return nil
}

func TestJSONLines(t *testing.T) {
	inFolder(t, map[string]string{"zero.jsonl": `{"text":""}` + "\n" + `{"Text":""}` + "\n"})
	JSONLines(t, "zero.jsonl", extended{}, inner{})
	for _, values := range [][]any{{extended{}}, {extended{}, inner{}, inner{}}, {inner{}, extended{}}, {extended{List: []int{1}}, inner{}}, {func() {}}} {
		if got := failuresOf(func(t testing.TB) { JSONLines(t, "zero.jsonl", values...) }); len(got) != 1 {
			t.Errorf("%T: %q, want one failure", values, got)
		}
	}
}

func TestRead(t *testing.T) {
	inFolder(t, map[string]string{"golden/a": "stored"})
	if got := Read(t, "golden/a", []byte("missing")); string(got) != "stored" {
		t.Errorf("read %q", got)
	}
	before := *create
	t.Cleanup(func() { *create = before })
	for _, test := range []struct {
		name     string
		creating bool
		missing  []byte
		created  bool
	}{
		{"not creating", false, []byte("new"), false},
		{"creating, without content", true, nil, false},
		{"creating", true, []byte("new"), true},
	} {
		*create = test.creating
		var got []byte
		failures := failuresOf(func(t testing.TB) { got = Read(t, "golden/b", test.missing) })
		stored, err := os.ReadFile("testdata/golden/b")
		if created := err == nil && reflect.DeepEqual(stored, test.missing); created != test.created || (len(failures) == 0) != test.created {
			t.Errorf("%s: created %t, failures %q", test.name, created, failures)
		}
		if test.created && !reflect.DeepEqual(got, test.missing) {
			t.Errorf("%s: returned %q", test.name, got)
		}
	}
}
