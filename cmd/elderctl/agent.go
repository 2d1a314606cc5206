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
	var recover, stopGateways bool
	run := &cobra.Command{
		Use: "run FILE", Short: "Run an agent with its file until it is asked to end",
		Long: `Run an agent with its file until SIGTERM or SIGINT. Its gateways go on without it,
and the next agent on the folder takes them over; --take-down ends them as well.` + fleetHelp,
		Example: "  elderctl agent run site/agent.toml",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := agent.ReadConfig(args[0])
			if err != nil {
				return usageError(err)
			}
			return operationError(agent.Run(cmd.Context(), c, agent.Options{Recover: recover, StopGateways: stopGateways, Log: newLog(os.Stderr)}))
		},
	}
	run.Flags().BoolVar(&recover, "recover", false, "become the only voter with what this folder holds; only when the other voters are lost for good")
	run.Flags().BoolVar(&stopGateways, "take-down", false, "end the gateways when the agent is asked to end")
	return commandGroup("agent", "Run the gateways of this machine, and take part in the fleet", agentInitCommand(), run,
		keysCommand("List every key of the agent's file and what it means", agent.Keys))
}

func agentInitCommand() *cobra.Command {
	var name, gateway string
	var instances []string
	cmd := &cobra.Command{
		Use: "init DIR", Short: "Write the file of an agent that is a site of its own",
		Long:    "Write DIR/agent.toml: an agent that is the only voter, reached by its local socket.\n" + fleetHelp,
		Example: "  elderctl agent init site --gateway bin/elderyard --instance g0=127.0.0.1:8080 --instance g1=127.0.0.1:8081",
		Args:    exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := filepath.Join(args[0], "agent.toml")
			if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
				return usageError(fmt.Errorf("%s is there already", path))
			}
			var b strings.Builder
			fmt.Fprintf(&b, "# An agent that is a site of its own. `elderctl agent keys` lists all keys.\nname = %q\ndir = \".\"\nvoter = true\n", name)
			if gateway != "" {
				full, err := filepath.Abs(gateway)
				if err != nil {
					return usageError(err)
				}
				fmt.Fprintf(&b, "gateway = %q\n", full)
			}
			for _, i := range instances {
				n, listen, found := strings.Cut(i, "=")
				if !found {
					return usageError(fmt.Errorf("--instance %q is not NAME=HOST:PORT", i))
				}
				fmt.Fprintf(&b, "\n[[instance]]\nname = %q\nlisten = %q\n", n, listen)
			}
			if err := os.MkdirAll(args[0], 0o700); err != nil {
				return operationError(err)
			}
			if err := os.WriteFile(path, []byte(b.String()), 0o600); err != nil {
				return operationError(err)
			}
			if _, err := agent.ReadConfig(path); err != nil {
				return usageError(errors.Join(err, os.Remove(path)))
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
	cmd.Flags().StringVar(&name, "name", host, "the agent's name")
	cmd.Flags().StringVar(&gateway, "gateway", "", "the gateway's program; default elderyard beside elderctl")
	cmd.Flags().StringArrayVar(&instances, "instance", nil, "a gateway as NAME=HOST:PORT; may be repeated")
	return cmd
}

func newLog(out io.Writer) *slog.Logger { return slog.New(slog.NewTextHandler(out, nil)) }
