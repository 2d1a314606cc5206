package document

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"elderyard/internal/golden"
	"elderyard/internal/strict"
	"elderyard/revisions"
)

// The keys of a revision's file with their descriptions, and the default policy.
func TestGoldenKeysAndDefaults(t *testing.T) {
	var b strings.Builder
	for _, k := range Keys() {
		fmt.Fprintf(&b, "%s: %s\n", k[0], k[1])
	}
	fmt.Fprintf(&b, "gateway may set: %s\na running gateway reads again: %s\n", strings.Join(gatewayKeys, " "), strings.Join(reloadableKeys, " "))
	golden.Text(t, "keys.txt", b.String())
	text, err := toml.Marshal(defaults())
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "rollout-defaults.toml", string(text))
}

// The rendered files of instances, and the checksums by which agents find out whether an
// instance already has them.
func TestGoldenRenderedFiles(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "revision.toml"))
	if err != nil {
		t.Fatal(err)
	}
	content := revisions.Content{File: string(text), RestartGeneration: 3, Overlays: map[string]string{
		"g1": "[gateway]\nseed = \"0a\"\n[gateway.settings]\nrank = 1\n[site.clients]\nmemory_share = 0.1\n"}}
	d, err := Parse("revision.toml", content)
	if err != nil {
		t.Fatal(err)
	}
	for _, field := range golden.UnsetFields(d.base) {
		t.Errorf("the file does not set %s", field)
	}
	out, err := toml.Marshal(d.base.Rollout)
	if err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "rollout.toml", string(out))
	var b strings.Builder
	for _, instance := range []Instance{{"g0", "127.0.0.1:8080"}, {"g1", "127.0.0.1:8081"}} {
		r, err := d.Render(7, instance)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "=== %s\n%s\n--- site\n%s--- revision %d, longest %v\ncontent %s\nfiles %s\nfixed %s\n",
			instance.Name, r.Config, r.Site, r.Spec.Revision, r.Spec.MaxRequestDuration, r.Spec.ContentChecksum, r.Spec.FilesChecksum, r.Spec.StartupChecksum)
	}
	golden.Text(t, "rendered.txt", b.String())
}

// An overlay has the first two tables of the file.
func TestGoldenOverlayKeys(t *testing.T) {
	var b strings.Builder
	for _, k := range strict.Keys(overlay{}) {
		fmt.Fprintln(&b, k[0])
	}
	golden.Text(t, "overlay-keys.txt", b.String())
}
