package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// securedAgent is an agent with TLS, and certificates of two authorities: that of its site and that of another.
type securedAgent struct {
	t       *testing.T
	dir     string
	address string
	siteCA  string // directory of the site's authority
	otherCA string
}

// startSecuredAgent runs an agent without gateways until the end of the test. It returns when the agent responds.
func startSecuredAgent(t *testing.T) *securedAgent {
	t.Helper()
	dir := t.TempDir()
	agent := &securedAgent{t: t, dir: dir, siteCA: filepath.Join(dir, "ca"), otherCA: filepath.Join(dir, "other")}
	for _, authority := range []string{agent.siteCA, agent.otherCA} {
		agent.mustRun("ca", "init", "--dir", authority)
		for name, role := range map[string]string{"a1": "agent", "ann": "operator", "vic": "viewer"} {
			agent.mustRun("ca", "issue", name, "--dir", authority, "--role", role)
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	agent.address = listener.Addr().String()
	listener.Close()
	file := agent.writeFile("agent.toml", fmt.Sprintf("name = \"a1\"\ndir = \"state\"\nsocket = \"s\"\nlisten = %q\nvoter = true\n[tls]\nca = \"ca/ca.pem\"\ncert = \"ca/a1.pem\"\nkey = \"ca/a1-key.pem\"\n", agent.address))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout) // outlives the test's own, so that the agent shuts down in the cleanup
	cmd := command(ctx, "agent", "run", file)
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); cmd.Wait() })
	for limit := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
		if status, _, errs := agent.runAs(agent.siteCA, "ann", "status"); status == exitOK {
			return agent
		} else if time.Now().After(limit) {
			t.Fatal(errs)
		}
	}
}

// runAs runs the tool with the certificate of an authority for a name.
func (agent *securedAgent) runAs(authority, name string, args ...string) (status int, out, errs string) {
	agent.t.Helper()
	return runTool(agent.t, append(args, "--agent", agent.address, "--ca", filepath.Join(authority, "ca.pem"), "--cert", filepath.Join(authority, name+".pem"), "--key", filepath.Join(authority, name+"-key.pem"))...)
}

// expectAs runs the tool with a certificate and checks its exit status and that its errors contain a text.
func (agent *securedAgent) expectAs(authority, name string, wantStatus int, wantText string, args []string) (errs string) {
	agent.t.Helper()
	status, out, errs := agent.runAs(authority, name, args...)
	if status != wantStatus || !strings.Contains(errs, wantText) || strings.Contains(errs, "panic") {
		agent.t.Errorf("%v as %s of %s: status %d, want %d with %q\n%s%s", args, name, filepath.Base(authority), status, wantStatus, wantText, out, errs)
	}
	return errs
}

func (agent *securedAgent) mustRun(args ...string) {
	agent.t.Helper()
	if status, out, errs := runTool(agent.t, args...); status != exitOK {
		agent.t.Fatalf("%v: %d %s %s", args, status, out, errs)
	}
}

func (agent *securedAgent) writeFile(name, text string) string {
	agent.t.Helper()
	path := filepath.Join(agent.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		agent.t.Fatal(err)
	}
	return path
}

// TestAuthorizationByCommand runs every command against an agent with TLS, with a viewer's certificate, with one of
// another site and without one, and with invalid files. Each must give a clear error and change nothing.
func TestAuthorizationByCommand(t *testing.T) {
	t.Parallel()
	agent := startSecuredAgent(t)
	saved := filepath.Join(agent.dir, "saved")
	if status, _, errs := agent.runAs(agent.siteCA, "ann", "snapshot", "save", saved); status != exitOK {
		t.Fatal(errs)
	}
	validFile := "../../deploy/fleet.example.toml"
	huge, hostile := agent.writeFile("huge", strings.Repeat("x", 300<<10)), agent.writeFile("hostile", "[gateway]\nsettings = { a = \"\x1b[2J\" }\n\x00")
	type commandLine []string
	reads := []commandLine{{"status"}, {"instances"}, {"history"}, {"members", "list"}, {"audit"}, {"plan", validFile}, {"check", "--all", validFile}, {"show", "1"}, {"diff", "1", "2"}}
	changes := []commandLine{{"apply", validFile}, {"rollback", "1"}, {"pause"}, {"resume"}, {"abort"}, {"drain", "g0"}, {"undrain", "g0"},
		{"members", "add", "a2", "127.0.0.1:1"}, {"members", "remove", "a1"}, {"members", "remove", "a1", "--agent-too"}, {"snapshot", "save", filepath.Join(agent.dir, "x")}, {"snapshot", "restore", saved}}
	for _, args := range append(append([]commandLine{}, reads...), changes...) {
		agent.expectAs(agent.otherCA, "ann", exitUnreachable, "certificate", args)
		agent.expectAs(agent.siteCA, "nobody", exitUsage, "certificate:", args)
	}
	for _, args := range changes {
		agent.expectAs(agent.siteCA, "vic", exitRefused, `vic has the role "viewer", and operator is needed`, args)
	}
	for _, args := range []commandLine{{"status"}, {"instances"}, {"history"}, {"members", "list"}, {"audit"}, {"plan", validFile}, {"check", "--all", validFile}} {
		agent.expectAs(agent.siteCA, "vic", exitOK, "", args)
	}
	for _, path := range []string{huge, hostile, agent.dir, filepath.Join(agent.dir, "nothing")} {
		for _, args := range []commandLine{{"apply", path}, {"plan", path}, {"check", "--all", path}, {"apply", validFile, "--overlay", "g0=" + path}, {"snapshot", "restore", path}} {
			if errs := agent.expectAs(agent.siteCA, "ann", exitUsage, "elderctl: ", args); strings.Contains(errs, "\x1b") || strings.Contains(errs, "\x00") {
				t.Errorf("%v: the file's control characters reach the terminal: %q", args, errs)
			}
		}
	}
	if status, out, _ := agent.runAs(agent.siteCA, "ann", "history"); status != exitOK || strings.Count(out, "\n") != 1 {
		t.Errorf("a revision was applied:\n%s", out)
	}
	if _, out, _ := agent.runAs(agent.siteCA, "ann", "audit"); strings.Count(out, "vic") != len(changes) {
		t.Errorf("%d calls of a viewer were rejected, but the audit log has\n%s", len(changes), out)
	}
}
