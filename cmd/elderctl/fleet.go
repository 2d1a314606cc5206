package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"elderyard/internal/agent"
	"elderyard/internal/pki"
	"elderyard/revisions"
)

const (
	agentVariable = "ELDERCTL_AGENT"
	fleetHelp     = `
The agent to ask is named by --agent or the variable ELDERCTL_AGENT: the path of
its local socket, or host:port with --ca, --cert and --key (or ELDERCTL_CA,
ELDERCTL_CERT and ELDERCTL_KEY).

Exit status: 0 done, 1 the tool failed, 2 wrong usage or a wrong file (nothing
was sent or changed), 5 refused, or the change went back, 6 another change came
first, 7 done, with instances that are silent or have yet to take it, 8 no agent
or leader can be reached, or it is not known whether a change was taken, 130
interrupted (what was accepted goes on).`
)

// connection is where a verb finds its agent.
type connection struct {
	agent string
	plain bool
	files pki.Files
}

func (c *connection) flags(cmd *cobra.Command) {
	f := cmd.Flags()
	f.StringVar(&c.agent, "agent", os.Getenv(agentVariable), "local socket or host:port of the agent to ask")
	f.BoolVar(&c.plain, "plain", false, "call host:port without TLS, on loopback alone")
	f.StringVar(&c.files.CA, "ca", os.Getenv("ELDERCTL_CA"), "certificate of the site's authority")
	f.StringVar(&c.files.Cert, "cert", os.Getenv("ELDERCTL_CERT"), "your certificate")
	f.StringVar(&c.files.Key, "key", os.Getenv("ELDERCTL_KEY"), "its key")
}

func (c *connection) open() (*agent.Client, error) {
	if c.agent == "" {
		return nil, usageError(fmt.Errorf("no agent is named: set --agent or %s", agentVariable))
	}
	t := agent.Target{Socket: c.agent}
	if !strings.Contains(c.agent, "/") && strings.Contains(c.agent, ":") {
		t = agent.Target{Address: c.agent, Plain: c.plain, Files: c.files}
	}
	client, err := agent.NewClient(t)
	if err != nil {
		return nil, usageError(err)
	}
	return client, nil
}

// callError gives an error of a call its exit status.
func callError(err error) error {
	var f *agent.Failure
	var exit *exitError
	switch {
	case err == nil, errors.As(err, &exit):
		return err
	case !errors.As(err, &f):
		return operationError(err)
	case f.BadRequest():
		return usageError(err)
	case f.Refused():
		return &exitError{exitRefused, err}
	}
	return &exitError{exitUnreachable, err}
}

// verb is a command that asks one agent.
func verb(use, short, example string, args cobra.PositionalArgs, do func(*cobra.Command, *agent.Client, []string) error) *cobra.Command {
	var c connection
	cmd := &cobra.Command{
		Use: use, Short: short, Example: example, Long: short + ".\n" + fleetHelp,
		Args: func(cmd *cobra.Command, list []string) error { return usageError(args(cmd, list)) },
		RunE: func(cmd *cobra.Command, list []string) error {
			client, err := c.open()
			if err != nil {
				return err
			}
			defer client.Close()
			return callError(do(cmd, client, list))
		},
	}
	c.flags(cmd)
	return cmd
}

func withJSON(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().Bool("json", false, "as JSON")
	return cmd
}

// printResult writes a value for people or for programs.
func printResult(cmd *cobra.Command, v any, table func(io.Writer)) error {
	if as, err := cmd.Flags().GetBool("json"); err == nil && as {
		return writeJSON(cmd.OutOrStdout(), "-", v)
	}
	table(cmd.OutOrStdout())
	return nil
}

func table(out io.Writer, rows func(w io.Writer)) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	rows(w)
	w.Flush()
}

func printStale(out io.Writer, why string) {
	if why != "" {
		fmt.Fprintf(out, "%s\n", paint(out, yellow, "STALE: no leader answers ("+why+"); this is what the asked agent knows"))
	}
}

const (
	red    = "31"
	green  = "32"
	yellow = "33"
)

// paint colours text on a terminal.
func paint(out io.Writer, colour, text string) string {
	f, is := out.(*os.File)
	if !is || os.Getenv("NO_COLOR") != "" || os.Getenv("TERM") == "dumb" || !term.IsTerminal(int(f.Fd())) {
		return text
	}
	return "\x1b[" + colour + "m" + text + "\x1b[0m"
}

// newestRevision is the newest revision, whole; its number is 0 on a new site.
func newestRevision(ctx context.Context, client *agent.Client) (revisions.Revision, agent.Status, error) {
	s, err := client.Status(ctx)
	if err != nil {
		return revisions.Revision{}, s, err
	}
	if s.Stale != "" {
		return revisions.Revision{}, s, &exitError{exitUnreachable, fmt.Errorf("no leader answers: %s", s.Stale)}
	}
	if s.Head == 0 {
		return revisions.Revision{}, s, nil
	}
	r, err := client.Revision(ctx, s.Head)
	return r, s, err
}

// newRequestID is a new name for a change.
func newRequestID() (string, error) {
	b := make([]byte, 16)
	if _, err := rand.Read(b); err != nil {
		return "", err
	}
	return hex.EncodeToString(b), nil
}

// pause waits between two looks; it tells whether ctx still holds.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// fleetCommands are the verbs of the fleet.
func fleetCommands() []*cobra.Command {
	return []*cobra.Command{agentCommand(), caCommand(), importCommand(), checkCommand(), planCommand(), applyCommand(), statusCommand(), instancesCommand(), historyCommand(),
		showCommand(), diffCommand(), rollbackCommand(), restartCommand(),
		changeCommand("pause", "Have a rollout tell nobody new"),
		changeCommand("resume", "Have a paused rollout go on"),
		changeCommand("abort", "Have a rollout go back"),
		instanceCommand("drain", "Take an instance out of service: it answers what it holds and ends"),
		instanceCommand("undrain", "Let an instance back into service"),
		membersCommand(), snapshotCommand(), auditCommand(), recordsCommand()}
}
