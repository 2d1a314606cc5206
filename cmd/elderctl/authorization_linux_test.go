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

// TestAuthorizationByVerb runs every verb against an agent behind TLS, with the certificate of a viewer, with one of
// another site and with none, and with files that are wrong: each is a clear error, and nothing changes.
func TestAuthorizationByVerb(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	ca, other := filepath.Join(dir, "ca"), filepath.Join(dir, "other")
	must := func(args ...string) {
		t.Helper()
		if status, out, errs := tool(t, args...); status != exitOK {
			t.Fatalf("%v: %d %s %s", args, status, out, errs)
		}
	}
	for _, d := range []string{ca, other} {
		must("ca", "init", "--dir", d)
		for name, role := range map[string]string{"a1": "agent", "ann": "operator", "vic": "viewer"} {
			must("ca", "issue", name, "--dir", d, "--role", role)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	file := write("agent.toml", fmt.Sprintf("name = \"a1\"\ndir = \"state\"\nsocket = \"s\"\nlisten = %q\nvoter = true\n[tls]\nca = \"ca/ca.pem\"\ncert = \"ca/a1.pem\"\nkey = \"ca/a1-key.pem\"\n", address))
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout) // outlives the test's context, for a shutdown of its own
	defer cancel()
	agent := command(ctx, "agent", "run", file)
	agent.Cancel = func() error { return agent.Process.Signal(syscall.SIGTERM) }
	agent.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := agent.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cancel(); agent.Wait() })
	as := func(site, name string, args ...string) (int, string, string) {
		t.Helper()
		return tool(t, append(args, "--agent", address, "--ca", filepath.Join(site, "ca.pem"), "--cert", filepath.Join(site, name+".pem"), "--key", filepath.Join(site, name+"-key.pem"))...)
	}
	for limit := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
		if status, _, errs := as(ca, "ann", "status"); status == exitOK {
			break
		} else if time.Now().After(limit) {
			t.Fatal(errs)
		}
	}
	saved := filepath.Join(dir, "saved")
	if status, _, errs := as(ca, "ann", "snapshot", "save", saved); status != exitOK {
		t.Fatal(errs)
	}
	good := "../../deploy/fleet.example.toml"
	huge, hostile := write("huge", strings.Repeat("x", 300<<10)), write("hostile", "[gateway]\nsettings = { a = \"\x1b[2J\" }\n\x00")
	type verb []string
	reads := []verb{{"status"}, {"instances"}, {"history"}, {"members", "list"}, {"audit"}, {"plan", good}, {"check", "--all", good}, {"show", "1"}, {"diff", "1", "2"}}
	changes := []verb{{"apply", good}, {"rollback", "1"}, {"pause"}, {"resume"}, {"abort"}, {"drain", "g0"}, {"undrain", "g0"},
		{"members", "add", "a2", "127.0.0.1:1"}, {"members", "remove", "a1"}, {"members", "remove", "a1", "--agent-too"}, {"snapshot", "save", filepath.Join(dir, "x")}, {"snapshot", "restore", saved}}
	expect := func(want int, says string, status int, out, errs string, v verb, who string) {
		t.Helper()
		if status != want || !strings.Contains(errs, says) || strings.Contains(errs, "panic") {
			t.Errorf("%v as %s: status %d, want %d with %q\n%s%s", v, who, status, want, says, out, errs)
		}
	}
	for _, v := range append(append([]verb{}, reads...), changes...) {
		status, out, errs := as(other, "ann", v...)
		expect(exitUnreachable, "certificate", status, out, errs, v, "another site's")
		status, out, errs = as(ca, "nobody", v...)
		expect(exitUsage, "certificate:", status, out, errs, v, "nobody")
	}
	for _, v := range changes {
		status, out, errs := as(ca, "vic", v...)
		expect(exitRefused, `vic has the role "viewer", and operator is needed`, status, out, errs, v, "a viewer")
	}
	for _, v := range []verb{{"status"}, {"instances"}, {"history"}, {"members", "list"}, {"audit"}, {"plan", good}, {"check", "--all", good}} {
		status, out, errs := as(ca, "vic", v...)
		expect(exitOK, "", status, out, errs, v, "a viewer")
	}
	for _, path := range []string{huge, hostile, dir, filepath.Join(dir, "nothing")} {
		for _, v := range []verb{{"apply", path}, {"plan", path}, {"check", "--all", path}, {"apply", good, "--overlay", "g0=" + path}, {"snapshot", "restore", path}} {
			status, out, errs := as(ca, "ann", v...)
			expect(exitUsage, "elderctl: ", status, out, errs, v, "an operator")
			if strings.Contains(errs, "\x1b") || strings.Contains(errs, "\x00") {
				t.Errorf("%v: the file speaks to the terminal: %q", v, errs)
			}
		}
	}
	if status, out, _ := as(ca, "ann", "history"); status != exitOK || strings.Count(out, "\n") != 1 {
		t.Errorf("something was applied:\n%s", out)
	}
	if _, out, _ := as(ca, "ann", "audit"); strings.Count(out, "vic") != len(changes) {
		t.Errorf("%d refused calls of a viewer, and the log has\n%s", len(changes), out)
	}
}
