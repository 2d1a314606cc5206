package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A lab prints its verdict and writes it as JSON.
func TestLabWritesVerdict(t *testing.T) {
	path := filepath.Join(t.TempDir(), "verdict.json")
	status, out, errs := runTool(t, "lab", "--gateway", gateway(t), "--gateways", "2", "--nodes", "4", "--rate", "30", "--for", "2s", "--json", path)
	if status != exitOK && status != exitNoVerdict || !strings.Contains(out, "verdict: ") {
		t.Fatalf("status %d\n%s\n%s", status, out, errs)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var report labReport
	if err := json.Unmarshal(text, &report); err != nil || report.Gateways != 2 || report.Verdict.Counts.First == 0 || len(report.Verdict.Processes) != 2 {
		t.Fatalf("%v %+v", err, report)
	}
}

// TestInterruptedLabLeavesNoProcess interrupts and kills the tool under load. The gateways must end in both cases.
func TestInterruptedLabLeavesNoProcess(t *testing.T) {
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
		// The first line about the load shows that the gateways have started.
		seen := ""
		for buf := make([]byte, 1024); !strings.Contains(seen, "asked"); {
			n, err := out.Read(buf)
			if seen += string(buf[:n]); err != nil {
				t.Fatalf("%v: %s %s", err, seen, e.String())
			}
		}
		children := childrenOf(t, cmd.Process.Pid)
		if len(children) != 2 {
			t.Fatalf("%d gateways are running", len(children))
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
			continue // the process has ended
		}
		_, rest, _ := strings.Cut(string(text), ") ")
		if f := strings.Fields(rest); len(f) > 1 && f[1] == strconv.Itoa(pid) {
			list = append(list, filepath.Base(filepath.Dir(path)))
		}
	}
	return list
}
