package fleet

import (
	"strings"
	"testing"
)

func TestInvalidEntriesAndNamesAreRejected(t *testing.T) {
	const drain, remove = `"drain":{"instance":"a","on":true,"by":"x","at":"2026-12-01T00:00:00Z"}`, `"remove":{"agent":"a","by":"x","at":"2026-12-01T00:00:00Z"}`
	for name, text := range map[string]string{
		"no field":               `{}`,
		"two fields":             `{` + drain + `,` + remove + `}`,
		"instance is a path":     `{"drain":{"instance":"../a"}}`,
		"instances out of order": `{"enroll":{"agent":{"name":"a","address":"","instances":["b","a"]}}}`,
		"no revision":            `{"turn":{"new":0,"state":"x"}}`,
		"unknown key":            `{"what":1}`,
		"trailing data":          `{"remove":{"agent":"a"}} x`,
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

// TestTruncate includes a character that would be cut in the middle.
func TestTruncate(t *testing.T) {
	for _, test := range []struct{ text, want string }{{"", ""}, {"12345678", "12345678"}, {"123456789", "1234 ..."}, {"123é56789", "123 ..."}} {
		if got := Truncate(test.text, 8); got != test.want {
			t.Errorf("Truncate(%q, 8) = %q, want %q", test.text, got, test.want)
		}
	}
}

// FuzzDecode checks that any entry that is accepted can be applied to a new state and encoded again.
func FuzzDecode(f *testing.F) {
	valid := command("1", 0, "a")
	text, _ := valid.Encode()
	f.Add(text)
	f.Add([]byte(`{"drain":{"instance":"a","on":true,"by":"x","at":"2026-12-01T00:00:00Z"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		entry, err := Decode(text)
		if err != nil {
			return
		}
		var s State
		if _, err := s.Apply(1, entry); err != nil {
			t.Fatalf("a decoded entry can't be applied: %v", err)
		}
		if _, err := entry.Encode(); err != nil {
			t.Fatalf("a decoded entry can't be encoded: %v", err)
		}
	})
}
