package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestFleetCommandsRejectInvalidInput checks that each invalid argument or file gives a clear error and the documented
// status, and that nothing is written.
func TestFleetCommandsRejectInvalidInput(t *testing.T) {
	dir := t.TempDir()
	huge := writeFile(t, "huge", strings.Repeat("#", 300<<10))
	hostile := writeFile(t, "hostile", "[gateway.settings]\nrank = \"\x00\"\n")
	wrongKey := writeFile(t, "wrong", "[gateway]\ndiscvery = 'x'\n")
	nobody := filepath.Join(dir, "none.sock")
	for _, tc := range []struct {
		status int
		want   string
		args   []string
	}{
		{exitUsage, "accepts 1 arg", []string{"check"}},
		{exitUsage, "no such file", []string{"check", filepath.Join(dir, "nothing")}},
		{exitUsage, "is a folder", []string{"check", dir}},
		{exitUsage, "more than 262144 bytes", []string{"check", huge}},
		{exitUsage, "hostile", []string{"check", hostile}},
		{exitUsage, `did you mean "discovery"`, []string{"check", wrongKey}},
		{exitUsage, "NAME=FILE", []string{"check", wrongKey, "--overlay", "x"}},
		{exitUsage, "no agent is named", []string{"status", "--agent", ""}},
		{exitUnreachable, "can't be reached", []string{"status", "--agent", nobody}},
		{exitUnreachable, "can't be reached", []string{"apply", wrongKey, "--agent", nobody}},
		{exitUnreachable, "can't be reached", []string{"status", "--agent", "127.0.0.1:1", "--plain"}},
		{exitUsage, "loopback", []string{"status", "--agent", "192.0.2.1:1", "--plain"}},
		{exitUsage, "authority", []string{"status", "--agent", "127.0.0.1:1"}},
		{exitUsage, "is no revision's number", []string{"show", "x", "--agent", nobody}},
		{exitUsage, "is no revision's number", []string{"diff", "1", "0", "--agent", nobody}},
		{exitUsage, "say --rolling", []string{"restart", "--agent", nobody}},
		{exitUsage, "accepts 1 arg", []string{"drain", "--agent", nobody}},
		{exitUsage, "accepts 2 arg", []string{"members", "add", "x", "--agent", nobody}},
		{exitUsage, "snapshot", []string{"snapshot", "restore", huge, "--agent", nobody}},
		{exitUsage, "unknown flag", []string{"history", "--what"}},
		{exitUsage, "name what to do", []string{"members"}},
		{exitUsage, "agent's file", []string{"agent", "run", filepath.Join(dir, "nothing")}},
		{exitUsage, "wrong:1: gateway", []string{"agent", "run", wrongKey}},
		{exitUsage, "NAME=HOST:PORT", []string{"agent", "init", filepath.Join(dir, "a"), "--instance", "x"}},
		{exitUsage, "instance[0].listen", []string{"agent", "init", filepath.Join(dir, "b"), "--instance", "x=y"}},
		{exitUsage, "role", []string{"ca", "issue", "x", "--dir", dir, "--role", "king"}},
		{exitUsage, "a name has letters", []string{"ca", "issue", "../x", "--dir", dir, "--role", "viewer"}},
		{exitUsage, "no such file", []string{"ca", "renew", "x", "--dir", dir}},
	} {
		status, out, errs := runTool(t, tc.args...)
		if status != tc.status || !strings.Contains(errs, tc.want) || strings.Contains(errs, "panic") {
			t.Errorf("%v: status %d, want %d; %q, want %q\n%s", tc.args, status, tc.status, errs, tc.want, out)
		}
	}
	list, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, entry := range list {
		if strings.HasSuffix(entry.Name(), ".pem") || strings.HasSuffix(entry.Name(), "agent.toml") {
			t.Errorf("%s was left behind", entry.Name())
		}
	}
}
