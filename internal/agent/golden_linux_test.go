package agent

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"elderyard/internal/golden"
	"elderyard/rollout"
)

// TestGoldenFolder pins the files of an agent's folder, with their modes, and the
// environment that a gateway is started with.
func TestGoldenFolder(t *testing.T) {
	t.Parallel()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...)
	m.config.Roster, m.config.Records = true, true
	m.start()
	m.changeRecords("1", putOperation(t, "plan/gold", goldPlan))
	m.apply("1", 0, revisionFile(healthyGateway, "basic"))
	s := m.waitRolloutEnd(1)
	m.requireAll(s, rollout.Applied, 1)
	// The gateway's next start and the next refusal find files that are to be set aside.
	for _, path := range []string{filepath.Join(m.config.Dir, "instances", "g0", "log"), filepath.Join(m.config.Dir, "refused.log")} {
		if err := os.WriteFile(path, bytes.Repeat([]byte("x\n"), 1<<20), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "the copy of the records is on disk", func() bool {
		_, err := os.Stat(filepath.Join(m.config.Dir, recordsFolder, "records"))
		return err == nil
	})
	m.stop()
	m.start() // it knows the size of refused.log only from its start
	m.apply("2", 1, revisionFile(healthyGateway, "gold"))
	m.requireAll(m.waitRolloutEnd(2), rollout.Applied, 2)
	m.apply("3", 1, revisionFile(healthyGateway, "silver")) // conflicts
	environment, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", m.status().Instances[0].PID))
	if err != nil {
		t.Fatal(err)
	}
	folder, err := os.Readlink(fmt.Sprintf("/proc/%d/cwd", m.status().Instances[0].PID))
	if err != nil {
		t.Fatal(err)
	}

	var lines bytes.Buffer
	err = filepath.WalkDir(m.config.Dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(m.config.Dir, path)
		if err != nil {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		fmt.Fprintf(&lines, "%s %s\n", info.Mode(), name)
		if name == "voter" || name == recordsFolder { // pinned where they are written
			return fs.SkipDir
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&lines, "the gateway runs in %s with\n", strings.Replace(folder, m.config.Dir, "DIR", 1))
	var ours []string
	inherited := os.Environ()
	for _, v := range strings.Split(string(environment), "\x00") {
		if v != "" && !slices.Contains(inherited, v) {
			ours = append(ours, strings.Replace(v, m.config.Dir, "DIR", 1))
		}
	}
	fmt.Fprintln(&lines, strings.Join(ours, "\n"))
	golden.File(t, "folder.txt", lines.Bytes())
}
