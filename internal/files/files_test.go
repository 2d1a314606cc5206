package files

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestReplace(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "f")
	for _, text := range []string{"one", "two"} {
		if err := Replace(path, []byte(text), 0o640); err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile(path)
		if err != nil || string(got) != text {
			t.Fatalf("%q %v", got, err)
		}
	}
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o640 {
		t.Fatalf("%v %v", info.Mode(), err)
	}
	// A directory can't be replaced: what is there stays, and nothing is left beside it.
	if err := os.Mkdir(filepath.Join(dir, "d"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Replace(filepath.Join(dir, "d"), nil, 0o600); err == nil || !strings.Contains(err.Error(), filepath.Join(dir, "d")) {
		t.Fatal(err)
	}
	if err := Replace(filepath.Join(dir, "none", "f"), nil, 0o600); err == nil {
		t.Fatal("a file was written to a directory that does not exist")
	}
	if list, err := os.ReadDir(dir); err != nil || len(list) != 2 {
		t.Fatalf("%v %v", list, err)
	}
}
