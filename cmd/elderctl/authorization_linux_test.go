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

// securedAgent is an agent behind TLS, with two authorities' certificates: those of its own site and of another.
type securedAgent struct {
	t         *testing.T
	dir       string
	address   string
	own       string // folder of the site's authority
	otherSite string
}

// startSecuredAgent runs an agent without gateways until the test's end, and returns when it answers.
func startSecuredAgent(t *testing.T) *securedAgent {
	t.Helper()
	dir := t.TempDir()
	a := &securedAgent{t: t, dir: dir, own: filepath.Join(dir, "ca"), otherSite: filepath.Join(dir, "other")}
	for _, authority := range []string{a.own, a.otherSite} {
		a.must("ca", "init", "--dir", authority)
		for name, role := range map[string]string{"a1": "agent", "ann": "operator", "vic": "viewer"} {
			a.must("ca", "issue", name, "--dir", authority, "--role", role)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a.address = l.Addr().String()
	l.Close()
	file := a.write("agent.toml", fmt.Sprintf("name = \"a1\"\ndir = \"state\"\nsocket = \"s\"\nlisten = %q\nvoter = true\n[tls]\nca = \"ca/ca.pem\"\ncert = \"ca/a1.pem\"\nkey = \"ca/a1-key.pem\"\n", a.address))
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
		if status, _, errs := a.as(a.own, "ann", "status"); status == exitOK {
			return a
		} else if time.Now().After(limit) {
			t.Fatal(errs)
		}
	}
}

// as runs the tool with the certificate that an authority has issued to a name.
func (a *securedAgent) as(authority, name string, args ...string) (status int, out, errs string) {
	a.t.Helper()
	return tool(a.t, append(args, "--agent", a.address, "--ca", filepath.Join(authority, "ca.pem"), "--cert", filepath.Join(authority, name+".pem"), "--key", filepath.Join(authority, name+"-key.pem"))...)
}

// expect runs the tool with a certificate and checks its exit status, and that its errors hold a text.
func (a *securedAgent) expect(authority, name string, wantStatus int, wantText string, args []string) (errs string) {
	a.t.Helper()
	status, out, errs := a.as(authority, name, args...)
	if status != wantStatus || !strings.Contains(errs, wantText) || strings.Contains(errs, "panic") {
		a.t.Errorf("%v as %s of %s: status %d, want %d with %q\n%s%s", args, name, filepath.Base(authority), status, wantStatus, wantText, out, errs)
	}
	return errs
}

func (a *securedAgent) must(args ...string) {
	a.t.Helper()
	if status, out, errs := tool(a.t, args...); status != exitOK {
		a.t.Fatalf("%v: %d %s %s", args, status, out, errs)
	}
}

func (a *securedAgent) write(name, text string) string {
	a.t.Helper()
	path := filepath.Join(a.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		a.t.Fatal(err)
	}
	return path
}

// TestAuthorizationByVerb runs every verb against an agent behind TLS, with the certificate of a viewer, with one of
// another site and with none, and with files that are wrong: each is a clear error, and nothing changes.
func TestAuthorizationByVerb(t *testing.T) {
	t.Parallel()
	a := startSecuredAgent(t)
	saved := filepath.Join(a.dir, "saved")
	if status, _, errs := a.as(a.own, "ann", "snapshot", "save", saved); status != exitOK {
		t.Fatal(errs)
	}
	good := "../../deploy/fleet.example.toml"
	huge, hostile := a.write("huge", strings.Repeat("x", 300<<10)), a.write("hostile", "[gateway]\nsettings = { a = \"\x1b[2J\" }\n\x00")
	type verb []string
	reads := []verb{{"status"}, {"instances"}, {"history"}, {"members", "list"}, {"audit"}, {"plan", good}, {"check", "--all", good}, {"show", "1"}, {"diff", "1", "2"}}
	changes := []verb{{"apply", good}, {"rollback", "1"}, {"pause"}, {"resume"}, {"abort"}, {"drain", "g0"}, {"undrain", "g0"},
		{"members", "add", "a2", "127.0.0.1:1"}, {"members", "remove", "a1"}, {"members", "remove", "a1", "--agent-too"}, {"snapshot", "save", filepath.Join(a.dir, "x")}, {"snapshot", "restore", saved}}
	for _, v := range append(append([]verb{}, reads...), changes...) {
		a.expect(a.otherSite, "ann", exitUnreachable, "certificate", v)
		a.expect(a.own, "nobody", exitUsage, "certificate:", v)
	}
	for _, v := range changes {
		a.expect(a.own, "vic", exitRefused, `vic has the role "viewer", and operator is needed`, v)
	}
	for _, v := range []verb{{"status"}, {"instances"}, {"history"}, {"members", "list"}, {"audit"}, {"plan", good}, {"check", "--all", good}} {
		a.expect(a.own, "vic", exitOK, "", v)
	}
	for _, path := range []string{huge, hostile, a.dir, filepath.Join(a.dir, "nothing")} {
		for _, v := range []verb{{"apply", path}, {"plan", path}, {"check", "--all", path}, {"apply", good, "--overlay", "g0=" + path}, {"snapshot", "restore", path}} {
			if errs := a.expect(a.own, "ann", exitUsage, "elderctl: ", v); strings.Contains(errs, "\x1b") || strings.Contains(errs, "\x00") {
				t.Errorf("%v: the file's control characters reach the terminal: %q", v, errs)
			}
		}
	}
	if status, out, _ := a.as(a.own, "ann", "history"); status != exitOK || strings.Count(out, "\n") != 1 {
		t.Errorf("something was applied:\n%s", out)
	}
	if _, out, _ := a.as(a.own, "ann", "audit"); strings.Count(out, "vic") != len(changes) {
		t.Errorf("%d rejected calls of a viewer, and the log has\n%s", len(changes), out)
	}
}
