package main

import (
	"debug/buildinfo"
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// The platform may control a gateway's sockets and clocks through a library that it preloads into the
// process. That needs a single process that is started by the loader of the C library. So the program that
// the deploy file builds must name that loader, and its run command must end in that program with no other
// process beside it.
func TestDeployFile(t *testing.T) {
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(root, "deploy/balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	var deploy struct{ Build, Run string }
	if err := toml.Unmarshal(text, &deploy); err != nil {
		t.Fatal(err)
	}
	build := exec.Command("/bin/sh", "-c", deploy.Build)
	build.Dir = root
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", deploy.Build, err, output)
	}
	program := filepath.Join(root, "bin/elderyard")
	t.Run("linked", func(t *testing.T) { checkLinking(t, program) })
	t.Run("run", func(t *testing.T) { checkSingleProcess(t, root, deploy.Run, program) })
}

func checkLinking(t *testing.T, program string) {
	file, err := elf.Open(program)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if !slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("it has no interpreter: it is not dynamically linked")
	}
	libraries, err := file.ImportedLibraries()
	if err != nil || !slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("it imports %v (%v), not the C library", libraries, err)
	}
	info, err := buildinfo.ReadFile(program)
	if err != nil {
		t.Fatal(err)
	}
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	if settings["CGO_ENABLED"] != "1" || settings["-ldflags"] != "-linkmode=external" {
		t.Errorf("built with CGO_ENABLED=%s and -ldflags=%s", settings["CGO_ENABLED"], settings["-ldflags"])
	}
}

func checkSingleProcess(t *testing.T, root, run, program string) {
	template, _, discoveryCalls := commandWithSilentDiscovery(t)
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir, cmd.Env = root, template.Env
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { cmd.Process.Kill(); cmd.Wait() }()
	select {
	case <-discoveryCalls: // the program is running
	case <-time.After(20 * time.Second):
		t.Fatal("discovery was not called")
	}
	exe, err := os.Readlink("/proc/" + strconv.Itoa(cmd.Process.Pid) + "/exe")
	if err != nil || exe != program {
		t.Errorf("%q ends in %s (%v), not in %s", run, exe, err, program)
	}
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil || len(stats) == 0 {
		t.Fatalf("no processes found: %v", err)
	}
	for _, path := range stats {
		stat, err := os.ReadFile(path)
		if err != nil {
			continue // the process has ended
		}
		// pid (name) state parent ...; a name may contain anything, including parentheses.
		_, rest, _ := strings.Cut(string(stat[strings.LastIndexByte(string(stat), ')'):]), " ")
		if fields := strings.Fields(rest); len(fields) > 1 && fields[1] == strconv.Itoa(cmd.Process.Pid) {
			t.Errorf("it started another process: %s", stat)
		}
	}
}
