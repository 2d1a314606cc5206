package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
	"elderyard/internal/pki"
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

// pause waits between two looks; it tells whether ctx still holds.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// newRequestID is a new name for a change.
func newRequestID() (string, error) {
	b := make([]byte, 16)
	if _, err := rand.Read(b); err != nil {
		return "", err
	}
	return hex.EncodeToString(b), nil
}
