package site

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func TestMissingAndEmptyFilesAreDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "site.toml")
	for range 2 {
		if s, err := Read(path); err != nil || !reflect.DeepEqual(s, Defaults()) {
			t.Fatalf("got %+v, error %v, want the defaults", s, err)
		}
		if err := os.WriteFile(path, []byte("# nothing\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := Read(t.TempDir()); err == nil {
		t.Fatal("a directory was read without an error")
	}
}

func TestShippedFileHasDefaults(t *testing.T) {
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

func TestPeersErrorsHaveLine(t *testing.T) {
	valid := "[peers]\nlisten = '127.0.0.1:7000'\nsite = 'north'\nkey_file = 'k'\ndir = 'd'\n"
	if s, err := Parse("site.toml", []byte(valid+"seeds = ['g1', '127.0.0.2:7000']\n[[peers.reach]]\nname = 'g1'\naddress = '127.0.0.3:1'\n")); err != nil || s.Peers.Site != "north" || len(s.Peers.Reach) != 1 {
		t.Fatalf("%+v %v", s.Peers, err)
	}
	for text, want := range map[string]string{
		"[peers]\nlisten = '127.0.0.1:7000'\n":                     "site.toml:1: peers.site: it is needed with listen",
		strings.Replace(valid, "127.0.0.1:7000", "localhost:1", 1): `site.toml:2: peers.listen: "localhost:1" is not an IP address with a port`,
		strings.Replace(valid, "7000", "0", 1):                     "site.toml:2: peers.listen",
		strings.Replace(valid, "7000", "70000", 1):                 "site.toml:2: peers.listen",
		strings.Replace(valid, "'k'", "''", 1):                     "site.toml:4: peers.key_file: it is needed with listen",
		valid + "every = '1ms'\n":                                  "site.toml:6: peers.every: 1ms is not between 100ms and 10s",
		valid + "most_kb = 1\n":                                    "site.toml:6: peers.most_kb: 1 is not between 8 and 65536",
		valid + "seeds = ['g1']\n":                                 `site.toml:6: peers.seeds: "g1" is neither an IP address with a port nor a name that reach has`,
		valid + "sead = ['g1']\n":                                  `site.toml:6: peers.sead: there is no such key; did you mean "seeds"?`,
		valid + "[[peers.reach]]\nname = 'a'\naddress = '127.0.0.1:1'\n[[peers.reach]]\nname = 'a'\naddress = '127.0.0.1:1'\n": `site.toml:10: peers.reach[1].name: "a" is empty or stands twice`,
		valid + "[[peers.reach]]\nname = 'a'\naddress = 'x'\n":                                                                 "site.toml:8: peers.reach[0].address",
		valid + "site = 'south'\n": "site.toml:6",
	} {
		if _, err := Parse("site.toml", []byte(text)); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func TestEveryKeyHasDescription(t *testing.T) {
	if len(Keys()) < 6 {
		t.Fatalf("only the keys %v", Keys())
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
			t.Fatalf("accepted shares out of range: %+v", s)
		}
	})
}
