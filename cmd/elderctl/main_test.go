package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"elderyard/internal/lab"
)

const (
	runAsTool   = "ELDERCTL_TEST_AS_TOOL" // makes this test binary run as the tool
	testTimeout = 2 * time.Minute
)

// TestMain runs the tests, or the tool or a crashing gateway in a child process.
func TestMain(m *testing.M) {
	if os.Getenv("EDGE_CONFIG") != "" && os.Getenv(runAsCrashingGateway) != "" {
		fmt.Fprintln(os.Stderr, runCrashingGateway())
		os.Exit(1)
	}
	if os.Getenv(runAsTool) != "" {
		main()
	}
	code := m.Run()
	lab.RemoveBuilt()
	os.Exit(code)
}

// runTool runs the tool in a child process.
func runTool(t *testing.T, args ...string) (status int, out, errs string) {
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
	cmd.Env = append(os.Environ(), runAsTool+"=1")
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

// writeFile writes a file to a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
