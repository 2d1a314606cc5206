package site

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"elderyard/internal/golden"
)

// The keys of the site file with their descriptions, and the defaults.
func TestGoldenKeysAndDefaults(t *testing.T) {
	var b strings.Builder
	for _, k := range Keys() {
		fmt.Fprintf(&b, "%s: %s\n", k[0], k[1])
	}
	golden.Text(t, "keys.txt", b.String())
	golden.Text(t, "defaults.toml", encoded(t, Defaults()))
}

// A file that sets every key to another value than its default is parsed completely.
func TestGoldenFileWithEveryKey(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "every-key.toml"))
	if err != nil {
		t.Fatal(err)
	}
	settings, err := Parse("every-key.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range golden.UnsetFields(settings) {
		if field != "site.Settings.Telemetry.Traces" && field != "site.Settings.Telemetry.Metrics" { // the file sets them to false
			t.Errorf("the file does not set %s", field)
		}
	}
	for _, k := range Keys() {
		name := k[0][strings.LastIndex(k[0], ".")+1:]
		if !strings.Contains(string(text), name+" =") && !strings.Contains(string(text), k[0]+"]") {
			t.Errorf("the file does not set %s", k[0])
		}
	}
	golden.Text(t, "every-key.toml", encoded(t, settings))
}

func encoded(t *testing.T, s Settings) string {
	t.Helper()
	text, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
