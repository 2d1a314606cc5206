package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"elderyard/internal/lab"
)

const (
	asTool      = "ELDERCTL_TEST_AS_TOOL" // this test binary is to be the tool
	testTimeout = 2 * time.Minute
)

func TestMain(m *testing.M) {
	if os.Getenv("EDGE_CONFIG") != "" && os.Getenv(asPoisoned) != "" {
		fmt.Fprintln(os.Stderr, runPoisoned())
		os.Exit(1)
	}
	if os.Getenv(asTool) != "" {
		main()
	}
	code := m.Run()
	lab.RemoveBuilt()
	os.Exit(code)
}

// tool runs the tool as a process of its own.
func tool(t *testing.T, args ...string) (status int, out, errs string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cmd := command(ctx, args...)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return cmd.ProcessState.ExitCode(), o.String(), e.String()
}

func command(ctx context.Context, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), asTool+"=1")
	return cmd
}

func gateway(t *testing.T) string {
	t.Helper()
	path, err := lab.FindGateway("")
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func TestWrongUsageStartsNothingAndSaysWhere(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("about = 'x'\nprovokes = 'y'\n[[fault]]\nkind = 'node-kil'\nat = '1s'\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct {
		args []string
		says string
	}{
		{[]string{"lab", "--scenario", bad}, bad + `:4: fault[0].kind: there is no fault "node-kil"; did you mean "node-kill"?`},
		{[]string{"lab", "--scenario", "quite"}, `did you mean "quiet"?`},
		{[]string{"lab", "--gateways", "101"}, "gateways: 101 is not between 1 and 100"},
		{[]string{"lab", "--for", "soon"}, "soon"},
		{[]string{"lab", "--rat", "5"}, "unknown flag"},
		{[]string{"lab", "nonsense"}, "nonsense"},
		{[]string{"labb"}, "labb"},
		{[]string{"site"}, "keys, check"},
		{[]string{"site", "check"}, "accepts 1 arg"},
		{[]string{"site", "check", bad}, ":1: about: there is no such key"},
	} {
		status, out, errs := tool(t, k.args...)
		if status != exitUsage || !strings.Contains(errs, k.says) || out != "" {
			t.Errorf("%v: status %d, output %q, errors %q", k.args, status, out, errs)
		}
	}
}

func TestListsComeAsTablesAndAsJSON(t *testing.T) {
	for _, args := range [][]string{{"lab", "list"}, {"lab", "faults"}, {"site", "keys"}} {
		status, out, errs := tool(t, args...)
		if status != exitOK || len(strings.Split(out, "\n")) < 5 {
			t.Errorf("%v: %d %q %q", args, status, out, errs)
		}
		status, out, _ = tool(t, append(args, "--json")...)
		var list []map[string]any
		if err := json.Unmarshal([]byte(out), &list); status != exitOK || err != nil || len(list) < 5 {
			t.Errorf("%v as JSON: %d %v", args, status, err)
		}
	}
	if status, out, errs := tool(t, "site", "check", "../../deploy/site.toml"); status != exitOK || !strings.Contains(out, "good") {
		t.Errorf("%d %q %q", status, out, errs)
	}
}

func TestLabRunsASiteAndWritesItsVerdict(t *testing.T) {
	path := filepath.Join(t.TempDir(), "verdict.json")
	status, out, errs := tool(t, "lab", "--gateway", gateway(t), "--gateways", "2", "--nodes", "4", "--rate", "30", "--for", "2s", "--json", path)
	if status != exitOK && status != exitVoid || !strings.Contains(out, "verdict: ") {
		t.Fatalf("status %d\n%s\n%s", status, out, errs)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var r report
	if err := json.Unmarshal(text, &r); err != nil || r.Gateways != 2 || r.Verdict.Counts.First == 0 || len(r.Verdict.Processes) != 2 {
		t.Fatalf("%v %+v", err, r)
	}
}

// TestInterruptedLabLeavesNoProcessBehind interrupts the tool under load.
func TestInterruptedLabLeavesNoProcessBehind(t *testing.T) {
	for _, sig := range []os.Signal{os.Interrupt, os.Kill} {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		cmd := command(ctx, "lab", "--gateway", gateway(t), "--gateways", "2", "--for", "60s")
		var e bytes.Buffer
		cmd.Stderr = &e
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		// The first line about the load means that the gateways are up.
		seen := ""
		for buf := make([]byte, 1024); !strings.Contains(seen, "asked"); {
			n, err := out.Read(buf)
			if seen += string(buf[:n]); err != nil {
				t.Fatalf("%v: %s %s", err, seen, e.String())
			}
		}
		children := childrenOf(t, cmd.Process.Pid)
		if len(children) != 2 {
			t.Fatalf("%d gateways run", len(children))
		}
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		cmd.Wait()
		if sig == os.Interrupt && cmd.ProcessState.ExitCode() != exitInterrupted {
			t.Errorf("status %d: %s", cmd.ProcessState.ExitCode(), e.String())
		}
		for _, pid := range children {
			for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
				if text, err := os.ReadFile("/proc/" + pid + "/stat"); err != nil || strings.Contains(string(text), ") Z ") {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("%v: gateway %s outlived the lab", sig, pid)
				}
			}
		}
	}
}

func childrenOf(t *testing.T, pid int) (list []string) {
	t.Helper()
	all, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range all {
		text, err := os.ReadFile(path)
		if err != nil {
			continue // it has ended
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		if f := strings.Fields(rest); len(f) > 1 && f[1] == strconv.Itoa(pid) {
			list = append(list, filepath.Base(filepath.Dir(path)))
		}
	}
	return list
}

func TestBenchComparesBothProgramsOnTheSameBackends(t *testing.T) {
	status, out, errs := tool(t, "lab", "bench", "--gateway", gateway(t), "--rounds", "1", "--for", "300ms", "--clients", "8", "--rate", "200", "--json", "-")
	if status != exitOK {
		t.Fatalf("%d %s %s", status, out, errs)
	}
	var r lab.Result
	if err := json.Unmarshal([]byte(out), &r); err != nil || len(r.Turns) != 2 || r.Turns[0].Program == r.Turns[1].Program || r.Turns[1].Requests == 0 ||
		len(r.Ratios) != 6 || r.Ratios[0].Ratio.Middle <= 0 {
		t.Fatalf("%v %s", err, out)
	}
	if !strings.Contains(errs, "CPU a request, full load") || !strings.Contains(errs, "requests were not served") {
		t.Errorf("%s", errs)
	}
}
