package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An incomplete last line is ignored, since a gateway may be killed while writing. Any other invalid line is an error
// with file and line number.
func TestReadRollupFiles(t *testing.T) {
	dir := t.TempDir()
	writeRollup := func(name, text string) {
		t.Helper()
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := readRollups(dir); err == nil {
		t.Error("an empty directory was accepted")
	}
	good := `{"at":100.1,"gateway":"n0","sends":2}` + "\n"
	writeRollup("n0.moments", good+`{"at":100.2,"gateway":"n0","ca`) // the gateway was killed here
	writeRollup("n1.moments", strings.ReplaceAll(good, "n0", "n1"))
	lines, err := readRollups(dir)
	if err != nil || len(lines) != 2 || lines[1].Gateway != "n1" || lines[0].Attempts != 2 {
		t.Fatalf("%v %+v", err, lines)
	}
	if selected := selectLines(lines, 0, 0.05); len(selected) != 2 {
		t.Errorf("%+v", selected)
	}
	if selected := selectLines(lines, 1, 0); len(selected) != 0 {
		t.Errorf("%+v", selected)
	}
	for _, bad := range []string{"{}\n", "x\n", `{"at":1,"gateway":"n2","sents":1}` + "\n", strings.Repeat("y", maxRollupLineBytes+1) + "\n", "\n"} {
		writeRollup("n2.moments", good+bad)
		if _, err := readRollups(dir); err == nil || !strings.Contains(err.Error(), "n2.moments, line 2") {
			t.Errorf("%.20q: %v", bad, err)
		}
	}
}
