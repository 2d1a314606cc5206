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

// The golden files in testdata/golden hold the tool's interface: verbs, flags, exit statuses, printed texts, --json
// and what is sent to an agent. The agent's and the gateways' answers are the files in testdata/answers.

// Each exit status with an error that leads to it. Those of a broken rule and of a late machine (3 and 4) need a
// complete lab, and are pinned by their numbers alone.
func TestGoldenExitStatuses(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.patterns = append(s.patterns, pattern{elapsedTime, "  ELAPSED  "})
	fmt.Fprintf(&s.transcript, "ok %d, failed %d, usage %d, rule %d, void %d, refused %d, conflict %d, partly %d, unreachable %d, differ %d, interrupted %d\n",
		exitOK, exitFailed, exitUsage, exitRuleBroken, exitNoVerdict, exitRefused, exitConflict, exitPartial, exitUnreachable, exitViewsDiffer, exitInterrupted)
	status := func(name string) map[string][]reply {
		return map[string][]reply{"GET /v1/status": ok("@" + name)}
	}
	s.with(nil, "no verb", "--help")
	s.with(nil, "an unknown verb", "statuss")
	s.with(nil, "an unknown flag", "status", "--what")
	s.with(nil, "a wrong flag", "records", "list", "tenant", "--limit", "x")
	s.with(nil, "a group without a verb", "members")
	s.with(nil, "too few arguments", "diff", "1")
	s.with(nil, "too many arguments", "rollback", "1", "2")
	s.with(nil, "too few arguments", "import")
	s.with(nil, "no agent is named", "status", "--agent", "")
	s.with(nil, "an agent without certificates", "status", "--agent", "127.0.0.1:1")
	s.with(nil, "an address without TLS that is not loopback", "status", "--agent", "192.0.2.1:1", "--plain")
	s.with(nil, "a folder that can't be written", "capacity", "--size", "testdata/size.toml", "--slopes", "testdata/slopes.json", "--curves", "testdata/none/x.svg")
	s.with(nil, "no server", "status", "--agent", "testdata/none.sock")
	s.with(status("status-stale.json"), "no leader", "status")
	s.with(status("status-partly.json"), "a silent instance", "status")
	s.with(nil, "a missing file", "check", "testdata/none.toml")
	s.with(nil, "a wrong overlay", "check", "testdata/site.toml", "--overlay", "x")
	s.with(nil, "no operations", "records", "put", "tenant/acme")
	s.with(nil, "a wrong version", "records", "diff", "yesterday")
	s.with(nil, "one condition for two", "records", "delete", "plan/a", "plan/b", "--if", "1")

	// What was accepted goes on when the tool is interrupted.
	s.agent.prepare(map[string][]reply{"GET /v1/status": ok("@status-before.json", "@status-advancing.json"), "GET /v1/revisions/11": ok("@revision-11.json"),
		"POST /v1/apply": ok("@applied-accepted.json")})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	s.finish("interrupted", s.command(ctx, "apply", "testdata/site.toml"), func(cmd *exec.Cmd) {
		s.agent.waitForCalls(5) // status, revision, apply, and the status twice: what the first showed has been printed
		cmd.Process.Signal(syscall.SIGINT)
	})
	golden.Text(t, "exit.txt", s.transcript.String())
}

// The tree of verbs with all their flags. Where a default comes from the machine a placeholder stands; cobra's own
// verbs, help and completion, are left out.
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
