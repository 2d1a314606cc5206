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

// The files of an agent's directory, their modes and the environment of its gateways must not
// change.
func TestGoldenFolder(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...)
	agent.config.Roster, agent.config.Records = true, true
	agent.start()
	agent.changeRecords("1", putOperation(t, "plan/gold", goldPlan))
	agent.apply("1", 0, revisionFile(healthyGateway, "basic"))
	s := agent.waitRolloutEnd(1)
	agent.requireAll(s, rollout.Applied, 1)
	// Both files are larger than their limits, so the next start and the next refusal rotate them.
	for _, path := range []string{filepath.Join(agent.config.Dir, "instances", "g0", "log"), filepath.Join(agent.config.Dir, "refused.log")} {
		if err := os.WriteFile(path, bytes.Repeat([]byte("x\n"), 1<<20), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	waitFor(t, "the copy of the records is on disk", func() bool {
		_, err := os.Stat(filepath.Join(agent.config.Dir, recordsFolder, "records"))
		return err == nil
	})
	agent.stop()
	agent.start() // the size of refused.log is only read at the start
	agent.apply("2", 1, revisionFile(healthyGateway, "gold"))
	agent.requireAll(agent.waitRolloutEnd(2), rollout.Applied, 2)
	agent.apply("3", 1, revisionFile(healthyGateway, "silver")) // conflicts
	environment, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", agent.status().Instances[0].PID))
	if err != nil {
		t.Fatal(err)
	}
	folder, err := os.Readlink(fmt.Sprintf("/proc/%d/cwd", agent.status().Instances[0].PID))
	if err != nil {
		t.Fatal(err)
	}

	var lines bytes.Buffer
	err = filepath.WalkDir(agent.config.Dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name, err := filepath.Rel(agent.config.Dir, path)
		if err != nil {
			return err
		}
		info, err := entry.Info()
		if err != nil {
			return err
		}
		fmt.Fprintf(&lines, "%s %s\n", info.Mode(), name)
		if name == "voter" || name == recordsFolder { // tested in the packages that write them
			return fs.SkipDir
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&lines, "the gateway runs in %s with\n", strings.Replace(folder, agent.config.Dir, "DIR", 1))
	var added []string // variables that the agent has added
	inherited := os.Environ()
	for _, v := range strings.Split(string(environment), "\x00") {
		if v != "" && !slices.Contains(inherited, v) {
			added = append(added, strings.Replace(v, agent.config.Dir, "DIR", 1))
		}
	}
	fmt.Fprintln(&lines, strings.Join(added, "\n"))
	golden.File(t, "folder.txt", lines.Bytes())
}
