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

// writeFile writes a file of this test.
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
