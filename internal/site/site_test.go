package site

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestNoFileAndEmptyFileAreTheDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	for range 2 {
		if s, err := Read(path); err != nil || !reflect.DeepEqual(s, Defaults()) {
			t.Fatalf("%+v %v", s, err)
		}
		if err := os.WriteFile(path, []byte("# nothing\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Read(t.TempDir()); err == nil {
		t.Fatal("a folder was read")
	}
}

func TestTheFileThatShipsIsValidAndChangesNothing(t *testing.T) {
	if s, err := Read("../../deploy/site.toml"); err != nil || !reflect.DeepEqual(s, Defaults()) {
		t.Fatalf("%+v %v", s, err)
	}
}

func TestParse(t *testing.T) {
	s, err := Parse("site.toml", []byte("[clients]\nsocket_share = 0.5\n[memory]\nheap_grow = 100\n"))
	if err != nil || s.Clients.SocketShare != 0.5 || s.Memory.HeapGrow != 100 || s.Clients.MemoryShare != 0.25 {
		t.Fatalf("%+v %v", s, err)
	}
	for text, want := range map[string]string{
		"[clients]\nsocket_shaer = 0.5":  `site.toml:2: clients.socket_shaer: there is no such key; did you mean "socket_share"?`,
		"\n[clients]\nsocket_share = 2":  "site.toml:3: clients.socket_share: 2 is not between 0.1 and 0.9",
		"[memory]\nheap_grow = 5":        "site.toml:2: memory.heap_grow: 5 is not between 50 and 1000",
		"[memory]\nheap_share = nan":     "site.toml:2: memory.heap_share: NaN is not between 0.3 and 0.9",
		"[memory]\nheap_share = 'much'":  "site.toml:2",
		"[memory]\nheap_grow = 1\nheap=": "site.toml:3",
	} {
		if _, err := Parse("site.toml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func TestEveryKeyIsDocumented(t *testing.T) {
	if len(Keys()) < 6 {
		t.Fatal(Keys())
	}
	for _, k := range Keys() {
		if k[1] == "" {
			t.Errorf("%s has no description", k[0])
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[clients]\nsocket_share = 0.5"))
	f.Add([]byte("[memory]\nheap_grow = -1e999"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("f", text)
		if err == nil && !(s.Memory.HeapShare >= 0.3 && s.Clients.SocketShare <= 0.9) {
			t.Fatalf("%+v", s)
		}
	})
}
