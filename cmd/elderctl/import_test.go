package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"elderyard/internal/config"
	"elderyard/internal/document"
	"elderyard/revisions"
)

const testConfig = `{"name":"g0","listen":"127.0.0.1:1","discovery":"127.0.0.1:7001","counter":"127.0.0.1:7002","seed":"0a","limits":{"cores":1,"memory_mb":64,"sockets":512},
"known":{"generation":3,"reset":true,"instances":[]},"settings":{"fleetSize":2,"rank":0,"tickS":0.002,"allowed":{"connectTimeoutS":0.2,"keepaliveS":10,"mostTries":3},
"familyInfo":{"hasCounter":true,"counterTimeoutS":0.05},"obligations":{"answerSlackS":0.01},"classes":[{"name":"lookup","deadlineS":1,"objectiveS":0.4,"points":1}],
"packages":[{"name":"basic","unitsPerS":10,"depth":20}]}}`

// Imported configurations render to the same settings, and invalid input is a usage error.
func TestImportPreservesConfigurations(t *testing.T) {
	dir := t.TempDir()
	second := strings.NewReplacer(`"g0"`, `"g1"`, `"rank":0`, `"rank":1`, "7001", "7003").Replace(testConfig)
	var paths []string
	for name, text := range map[string]string{"g0": testConfig, "g1": second} {
		paths = append(paths, filepath.Join(dir, name+".json"))
		if err := os.WriteFile(paths[len(paths)-1], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	siteDir := filepath.Join(dir, "site")
	status, printed, errs := runTool(t, "import", "--out", siteDir, filepath.Join(dir, "g0.json"), filepath.Join(dir, "g1.json"))
	if status != exitOK || !strings.Contains(printed, "--overlay g1="+filepath.Join(siteDir, "g1.toml")) {
		t.Fatalf("%d %s %s", status, printed, errs)
	}
	base, err := os.ReadFile(filepath.Join(siteDir, "site.toml"))
	if err != nil {
		t.Fatal(err)
	}
	overlay, err := os.ReadFile(filepath.Join(siteDir, "g1.toml"))
	if err != nil {
		t.Fatal(err)
	}
	doc, err := document.Parse("site.toml", revisions.Content{File: string(base), Overlays: map[string]string{"g1": string(overlay)}})
	if err != nil {
		t.Fatal(err)
	}
	rendered, err := doc.Render(1, document.Instance{Name: "g1", Listen: "127.0.0.1:1"})
	if err != nil {
		t.Fatal(err)
	}
	got, err := config.Parse(rendered.Config)
	if err != nil || got.Rank != 1 || got.Discovery != "127.0.0.1:7003" || got.Plans[0].Rate != 10 || got.Seed != 10 {
		t.Fatalf("%v %+v", err, got)
	}
	if strings.Contains(string(overlay), "memory_mb") {
		t.Fatalf("the overlay repeats the site file:\n%s", overlay)
	}
	for want, text := range map[string]string{
		"is there already": "", // the files exist from the first run
		"stands twice":     testConfig,
		"can't take a key": strings.Replace(second, `"seed":"0a",`, "", 1),
		"a name has":       strings.Replace(testConfig, `"g0"`, `"/"`, 1),
		"invalid":          "{,",
	} {
		args := []string{"import", "--out", siteDir, filepath.Join(dir, "g0.json")}
		if text != "" {
			path := filepath.Join(dir, "bad.json")
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
			args = append(args, path)
		}
		if status, _, errs := runTool(t, args...); status != exitUsage || !strings.Contains(errs, want) {
			t.Errorf("%d %q, want %q", status, errs, want)
		}
	}
}

// The example in deploy/ passes the check command.
func TestShippedFleetExampleIsValid(t *testing.T) {
	if status, out, errs := runTool(t, "check", "../../deploy/fleet.example.toml"); status != exitOK {
		t.Fatalf("%d %s %s", status, out, errs)
	}
}
