package fleet

import (
	"strings"
	"testing"
)

func TestInvalidEntriesAndNamesAreRejected(t *testing.T) {
	const drain, remove = `"drain":{"instance":"a","on":true,"by":"x","at":"2026-12-01T00:00:00Z"}`, `"remove":{"agent":"a","by":"x","at":"2026-12-01T00:00:00Z"}`
	for name, text := range map[string]string{
		"no part":                `{}`,
		"two parts":              `{` + drain + `,` + remove + `}`,
		"instance is a path":     `{"drain":{"instance":"../a"}}`,
		"instances out of order": `{"enroll":{"agent":{"name":"a","address":"","instances":["b","a"]}}}`,
		"no revision":            `{"turn":{"new":0,"state":"x"}}`,
		"unknown key":            `{"what":1}`,
		"followed by another":    `{"remove":{"agent":"a"}} x`,
		"empty":                  ``,
		"null":                   `null`,
	} {
		if _, err := Decode([]byte(text)); err == nil {
			t.Errorf("%s: %s was accepted", name, text)
		}
	}
	for _, name := range []string{"", ".", "..", "a/b", "a b", "é", strings.Repeat("a", 200)} {
		if CheckName("agent", name) == nil {
			t.Errorf("%q was accepted", name)
		}
	}
}

func TestTruncate(t *testing.T) {
	for _, c := range [][2]string{{"", ""}, {"12345678", "12345678"}, {"123456789", "1234 ..."}, {"123é56789", "123 ..."}} {
		if got := Truncate(c[0], 8); got != c[1] {
			t.Errorf("%q: %q", c[0], got)
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
