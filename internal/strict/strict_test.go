package strict

import (
	"errors"
	"slices"
	"testing"
	"time"
)

type file struct {
	Name  string   `toml:"name" doc:"what it is called"`
	For   Duration `toml:"for"`
	Inner struct {
		Rate float64 `toml:"rate" doc:"a second"`
	} `toml:"inner" doc:"a table"`
	Faults []struct {
		Kind string `toml:"kind"`
	} `toml:"fault"`
}

func TestDecode(t *testing.T) {
	var f file
	if err := Decode("f.toml", []byte("name = 'x'\nfor = '1.5s'\n[inner]\nrate = 2\n[[fault]]\nkind = 'a'\n"), &f); err != nil {
		t.Fatal(err)
	}
	if f.Name != "x" || time.Duration(f.For) != 1500*time.Millisecond || f.Inner.Rate != 2 || len(f.Faults) != 1 {
		t.Fatalf("%+v", f)
	}
}

func TestErrorsHaveLineAndSuggestion(t *testing.T) {
	for text, want := range map[string]string{
		"nmae = 'x'":                    `f.toml:1: nmae: there is no such key; did you mean "name"?`,
		"name = 'x'\n[inner]\nrat = 1":  `f.toml:3: inner.rat: there is no such key; did you mean "rate"?`,
		"\n[[fault]]\nknd = 'x'":        `f.toml:3: fault.knd: there is no such key; did you mean "kind"?`,
		"somethingelse = 1":             `f.toml:1: somethingelse: there is no such key`,
		"for = 'soon'":                  ``,
		"name = 'x'\n[inner]\nrate = z": ``,
		"name = 5":                      ``,
	} {
		var f file
		err := Decode("f.toml", []byte(text), &f)
		var e *Error
		if !errors.As(err, &e) {
			t.Fatalf("%q: error %v is not an *Error", text, err)
		}
		if want != "" && err.Error() != want {
			t.Errorf("%q:\ngot  %v\nwant %s", text, err, want)
		}
		if e.Line == 0 {
			t.Errorf("%q: error has no line: %v", text, err)
		}
	}
}

func TestErrorAtFindsLine(t *testing.T) {
	text := []byte("name = 'x'\n\n[inner]\nrate = 1\n\n[[fault]]\nkind = 'a'\n[[fault]]\n\nkind = 'b'\n")
	for key, line := range map[string]int{"name": 1, "inner.rate": 4, "fault[0].kind": 7, "fault[1].kind": 10, "fault[1].other": 8, "none": 0} {
		var e *Error
		if err := ErrorAt("f", text, key, "bad %d", 5); !errors.As(err, &e) || e.Line != line || e.Text != "bad 5" {
			t.Errorf("%s: %v, want line %d", key, err, line)
		}
	}
}

func TestKeys(t *testing.T) {
	got := Keys(file{})
	want := [][2]string{{"name", "what it is called"}, {"for", ""}, {"inner", "a table"}, {"inner.rate", "a second"}, {"fault", ""}, {"fault.kind", ""}}
	if !slices.Equal(got, want) {
		t.Fatalf("got %v, want %v", got, want)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte("name = 'x'\n[[fault]]\nkind=1"))
	f.Add([]byte("[inner]\nrate = 1e400"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var v file
		if err := Decode("f", text, &v); err != nil && err.Error() == "" {
			t.Fatal("error without a text")
		}
		lineOf(text, "fault[1].kind")
	})
}
