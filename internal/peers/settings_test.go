package peers

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Errors of Open name the invalid file with its line, or the invalid setting.
func TestErrorsNameFileAndLine(t *testing.T) {
	s := newSite(t, "north", 3)
	base := s.settings("g0")
	for _, c := range []struct {
		name, file, text, wantError string
	}{
		{"short key", "keys", "aGVsbG8=\n", "keys:1: the key has 5 bytes, not 16, 24 or 32"},
		{"key not base64", "keys", "# one\n\nnot base64!\n", "keys:3: the key is not base64"},
		{"no key", "keys", "# none\n", "there is no key in it"},
		{"too many keys", "keys", strings.Repeat(encodedKey(1)+"\n", 9), "keys:9: more than 8"},
		{"empty roster", "roster.toml", "", "epoch: it is 0 or missing"},
		{"no member", "roster.toml", "epoch = 1\n", "member: there is none"},
		{"duplicate member", "roster.toml", "epoch = 1\n[[member]]\nname = \"a\"\n[[member]]\nname = \"a\"\n", "roster.toml:5: member[1].name: \"a\" stands twice"},
		{"misspelled key", "roster.toml", "epoch = 1\n[[member]]\nnam = \"a\"\n", "did you mean \"name\"?"},
		{"truncated state", "g0.peers.json", "{", "removing the file discards the saved state"},
	} {
		previous, err := os.ReadFile(filepath.Join(s.dir, c.file))
		if err != nil && !os.IsNotExist(err) {
			t.Fatal(err)
		}
		s.write(c.file, c.text)
		if p, err := Open(base); err == nil || !strings.Contains(err.Error(), c.wantError) {
			t.Errorf("%s: %v, want ...%s...", c.name, err, c.wantError)
			if err == nil {
				p.stopDetector(false)
			}
		}
		if previous == nil {
			os.Remove(filepath.Join(s.dir, c.file))
		} else {
			s.write(c.file, string(previous))
		}
	}
	for _, c := range []struct {
		name   string
		change func(*Settings)
	}{
		{"invalid name", func(s *Settings) { s.Self = "a b" }},
		{"no address", func(s *Settings) { s.Listen = "nowhere" }},
		{"host name as address", func(s *Settings) { s.Listen = "localhost:1" }},
		{"port 0", func(s *Settings) { s.Advertise = "127.0.0.1:0" }},
		{"no directory", func(s *Settings) { s.Dir = filepath.Join(s.Dir, "none") }},
		{"no key file", func(s *Settings) { s.KeyFile = "none" }},
		{"no roster file", func(s *Settings) { s.RosterFile = "none" }},
	} {
		invalid := base
		c.change(&invalid)
		if p, err := Open(invalid); err == nil {
			t.Errorf("%s: accepted: %+v", c.name, invalid)
			p.stopDetector(false)
		}
	}
}
