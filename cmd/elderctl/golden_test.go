package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"elderyard/internal/golden"
)

// The golden files in testdata/golden pin the tool's interface: commands, flags, exit statuses, printed texts, --json
// output and calls to an agent. The responses of agents and gateways are in testdata/answers.

// Pins each exit status with an error that leads to it. Those of a broken rule and of a machine that could not keep up
// (3 and 4) need a complete lab; only their numbers are pinned.
func TestGoldenExitStatuses(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.patterns = append(s.patterns, pattern{elapsedTime, "  ELAPSED  "})
	fmt.Fprintf(&s.transcript, "ok %d, failed %d, usage %d, rule %d, void %d, refused %d, conflict %d, partly %d, unreachable %d, differ %d, interrupted %d\n",
		exitOK, exitFailed, exitUsage, exitRuleBroken, exitNoVerdict, exitRefused, exitConflict, exitPartial, exitUnreachable, exitViewsDiffer, exitInterrupted)
	status := func(name string) map[string][]reply {
		return map[string][]reply{"GET /v1/status": ok("@" + name)}
	}
	s.runWith(nil, "no verb", "--help")
	s.runWith(nil, "an unknown verb", "statuss")
	s.runWith(nil, "an unknown flag", "status", "--what")
	s.runWith(nil, "a wrong flag", "records", "list", "tenant", "--limit", "x")
	s.runWith(nil, "a group without a verb", "members")
	s.runWith(nil, "too few arguments", "diff", "1")
	s.runWith(nil, "too many arguments", "rollback", "1", "2")
	s.runWith(nil, "too few arguments", "import")
	s.runWith(nil, "no agent is named", "status", "--agent", "")
	s.runWith(nil, "an agent without certificates", "status", "--agent", "127.0.0.1:1")
	s.runWith(nil, "an address without TLS that is not loopback", "status", "--agent", "192.0.2.1:1", "--plain")
	s.runWith(nil, "a folder that can't be written", "capacity", "--size", "testdata/size.toml", "--slopes", "testdata/slopes.json", "--curves", "testdata/none/x.svg")
	s.runWith(nil, "no server", "status", "--agent", "testdata/none.sock")
	s.runWith(status("status-stale.json"), "no leader", "status")
	s.runWith(status("status-partly.json"), "a silent instance", "status")
	s.runWith(nil, "a missing file", "check", "testdata/none.toml")
	s.runWith(nil, "a wrong overlay", "check", "testdata/site.toml", "--overlay", "x")
	s.runWith(nil, "no operations", "records", "put", "tenant/acme")
	s.runWith(nil, "a wrong version", "records", "diff", "yesterday")
	s.runWith(nil, "one condition for two", "records", "delete", "plan/a", "plan/b", "--if", "1")

	// An accepted change continues when the tool is interrupted.
	s.agent.prepare(map[string][]reply{"GET /v1/status": ok("@status-before.json", "@status-advancing.json"), "GET /v1/revisions/11": ok("@revision-11.json"),
		"POST /v1/apply": ok("@applied-accepted.json")})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	s.finish("interrupted", s.command(ctx, "apply", "testdata/site.toml"), func(cmd *exec.Cmd) {
		s.agent.waitForCalls(5) // status, revision, apply and two polls of the status: the first poll has been printed
		cmd.Process.Signal(syscall.SIGINT)
	})
	golden.Text(t, "exit.txt", s.transcript.String())
}

// Pins the tree of commands with all flags. A placeholder replaces a default that depends on the machine. Cobra's own
// commands, help and completion, are omitted.
func TestGoldenCommandTree(t *testing.T) {
	for _, name := range []string{"ELDERCTL_AGENT", "ELDERCTL_CA", "ELDERCTL_CERT", "ELDERCTL_KEY"} {
		t.Setenv(name, "")
	}
	host, err := os.Hostname()
	if err != nil || host == "" {
		host = "agent"
	}
	var b strings.Builder
	var walk func(cmd *cobra.Command)
	walk = func(cmd *cobra.Command) {
		fmt.Fprintf(&b, "=== %s\n", cmd.CommandPath())
		for _, part := range [][2]string{{"use", cmd.Use}, {"short", cmd.Short}, {"long", cmd.Long}, {"example", cmd.Example}, {"aliases", strings.Join(cmd.Aliases, " ")}, {"deprecated", cmd.Deprecated}} {
			if part[1] != "" {
				fmt.Fprintf(&b, "%s: %s\n", part[0], part[1])
			}
		}
		if cmd.Hidden {
			fmt.Fprintln(&b, "hidden")
		}
		if cmd.Runnable() {
			fmt.Fprintln(&b, "runs")
		}
		flags := func(kind string, set *pflag.FlagSet) {
			set.VisitAll(func(f *pflag.Flag) {
				value := f.DefValue
				if cmd.Name() == "init" && f.Name == "name" && value == host {
					value = "HOST"
				}
				fmt.Fprintf(&b, "%s --%s shorthand=%q type=%s default=%q without-value=%q hidden=%t: %s\n", kind, f.Name, f.Shorthand, f.Value.Type(), value, f.NoOptDefVal, f.Hidden, f.Usage)
			})
		}
		flags("flag", cmd.LocalNonPersistentFlags())
		flags("persistent flag", cmd.PersistentFlags())
		for _, c := range cmd.Commands() {
			walk(c)
		}
	}
	walk(rootCommand())
	golden.Text(t, "commands.txt", b.String())
}
