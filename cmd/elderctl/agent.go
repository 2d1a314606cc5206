package main

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
)

func agentCommand() *cobra.Command {
	return commandGroup("agent", "Run the gateways of this machine, and take part in the fleet", agentInitCommand(), agentRunCommand(),
		keysCommand("List every key of the agent's file and what it means", agent.Keys))
}

func agentRunCommand() *cobra.Command {
	var becomeOnlyVoter, stopGateways bool
	cmd := &cobra.Command{
		Use: "run FILE", Short: "Run an agent with its file until it is asked to end",
		Long: `Run an agent with its file until SIGTERM or SIGINT. Its gateways go on without it,
and the next agent on the folder takes them over; --take-down ends them as well.` + fleetHelp,
		Example: "  elderctl agent run site/agent.toml",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			config, err := agent.ReadConfig(args[0])
			if err != nil {
				return usageError(err)
			}
			options := agent.Options{Recover: becomeOnlyVoter, StopGateways: stopGateways, Log: newLogger(os.Stderr)}
			return operationError(agent.Run(cmd.Context(), config, options))
		},
	}
	cmd.Flags().BoolVar(&becomeOnlyVoter, "recover", false, "become the only voter with what this folder holds; only when the other voters are lost for good")
	cmd.Flags().BoolVar(&stopGateways, "take-down", false, "end the gateways when the agent is asked to end")
	return cmd
}

func newLogger(out io.Writer) *slog.Logger { return slog.New(slog.NewTextHandler(out, nil)) }

// newAgent holds the flags of 'elderctl agent init'.
type newAgent struct {
	name      string
	gateway   string   // program; "": the one beside the tool
	instances []string // each NAME=HOST:PORT
}

func agentInitCommand() *cobra.Command {
	var a newAgent
	cmd := &cobra.Command{
		Use: "init DIR", Short: "Write the file of an agent that is a site of its own",
		Long:    "Write DIR/agent.toml: an agent that is the only voter, reached by its local socket.\n" + fleetHelp,
		Example: "  elderctl agent init site --gateway bin/elderyard --instance g0=127.0.0.1:8080 --instance g1=127.0.0.1:8081",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := filepath.Join(args[0], "agent.toml")
			if err := a.write(path); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "wrote %s\nnext: elderctl agent run %s, and in another shell: %s=%s elderctl apply FILE\n",
				path, path, agentVariable, filepath.Join(args[0], "agent.sock"))
			return nil
		},
	}
	host, err := os.Hostname()
	if err != nil || host == "" {
		host = "agent"
	}
	cmd.Flags().StringVar(&a.name, "name", host, "the agent's name")
	cmd.Flags().StringVar(&a.gateway, "gateway", "", "the gateway's program; default elderyard beside elderctl")
	cmd.Flags().StringArrayVar(&a.instances, "instance", nil, "a gateway as NAME=HOST:PORT; may be repeated")
	return cmd
}

// write creates the agent's file and its directory. It does not replace an existing file, and removes the new one if
// the agent would reject it.
func (a *newAgent) write(path string) error {
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		return usageError(fmt.Errorf("%s is there already", path))
	}
	text, err := a.encode()
	if err != nil {
		return usageError(err)
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
		return operationError(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return operationError(err)
	}
	if _, err := agent.ReadConfig(path); err != nil {
		return usageError(errors.Join(err, os.Remove(path)))
	}
	return nil
}

// encode returns the text of the agent's file.
func (a *newAgent) encode() (string, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "# An agent that is a site of its own. `elderctl agent keys` lists all keys.\nname = %q\ndir = \".\"\nvoter = true\n", a.name)
	if a.gateway != "" {
		program, err := filepath.Abs(a.gateway)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "gateway = %q\n", program)
	}
	for _, instance := range a.instances {
		name, listen, found := strings.Cut(instance, "=")
		if !found {
			return "", fmt.Errorf("--instance %q is not NAME=HOST:PORT", instance)
		}
		fmt.Fprintf(&b, "\n[[instance]]\nname = %q\nlisten = %q\n", name, listen)
	}
	return b.String(), nil
}
