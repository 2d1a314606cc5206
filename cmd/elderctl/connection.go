package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
	"elderyard/internal/pki"
)

// agentVariable is the environment variable that names the agent to call.
const agentVariable = "ELDERCTL_AGENT"

// fleetHelp is the part of the help of commands that call an agent: how to select the agent, and the exit statuses.
const fleetHelp = `
The agent to ask is named by --agent or the variable ELDERCTL_AGENT: the path of
its local socket, or host:port with --ca, --cert and --key (or ELDERCTL_CA,
ELDERCTL_CERT and ELDERCTL_KEY).

Exit status: 0 done, 1 the tool failed, 2 wrong usage or a wrong file (nothing
was sent or changed), 5 refused, or the change went back, 6 another change came
first, 7 done, with instances that are silent or have yet to take it, 8 no agent
or leader can be reached, or it is not known whether a change was taken, 130
interrupted (what was accepted goes on).`

// connection is the address of the agent to call, with the credentials.
type connection struct {
	agent string
	plain bool
	files pki.Files
}

// flags adds the flags that set the connection.
func (c *connection) flags(cmd *cobra.Command) {
	flags := cmd.Flags()
	flags.StringVar(&c.agent, "agent", os.Getenv(agentVariable), "local socket or host:port of the agent to ask")
	flags.BoolVar(&c.plain, "plain", false, "call host:port without TLS, on loopback alone")
	flags.StringVar(&c.files.CA, "ca", os.Getenv("ELDERCTL_CA"), "certificate of the site's authority")
	flags.StringVar(&c.files.Cert, "cert", os.Getenv("ELDERCTL_CERT"), "your certificate")
	flags.StringVar(&c.files.Key, "key", os.Getenv("ELDERCTL_KEY"), "its key")
}

// open returns a client for the agent. It does not connect yet. The caller must close the client.
func (c *connection) open() (*agentapi.Client, error) {
	if c.agent == "" {
		return nil, usageError(fmt.Errorf("no agent is named: set --agent or %s", agentVariable))
	}
	target := agentapi.Target{Socket: c.agent}
	if !strings.Contains(c.agent, "/") && strings.Contains(c.agent, ":") {
		target = agentapi.Target{Address: c.agent, Plain: c.plain, Files: c.files}
	}
	client, err := agentapi.NewClient(target)
	if err != nil {
		return nil, usageError(err)
	}
	return client, nil
}

// agentVerb returns a command that calls one agent. CallError sets the exit status of the error of do.
func agentVerb(use, short, example string, args cobra.PositionalArgs, do func(*cobra.Command, *agentapi.Client, []string) error) *cobra.Command {
	var c connection
	cmd := &cobra.Command{
		Use: use, Short: short, Example: example, Long: short + ".\n" + fleetHelp,
		Args: checkArgs(args),
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

// agentQuery returns a command without arguments that prints the result of one call to an agent, as text or as JSON.
func agentQuery[T any](use, short, example string, query func(*agentapi.Client, context.Context) (T, error), printText func(io.Writer, T)) *cobra.Command {
	return withJSON(agentVerb(use, short, example, cobra.NoArgs,
		func(cmd *cobra.Command, client *agentapi.Client, _ []string) error {
			result, err := query(client, cmd.Context())
			if err != nil {
				return err
			}
			return printResult(cmd, result, func(out io.Writer) { printText(out, result) })
		}))
}

// newRequestID returns a random idempotency key for a change: a retry with the same key is not applied again.
func newRequestID() (string, error) {
	id := make([]byte, 16)
	if _, err := rand.Read(id); err != nil {
		return "", err
	}
	return hex.EncodeToString(id), nil
}
