// Elderctl is the operators' tool. It changes and watches a fleet through any one of its agents, shows what gateways
// report of each other, runs an agent, and tries a site out on this machine in a lab. It keeps no state of its own: a
// change that an agent has accepted goes on without the tool.
//
// # How it is built
//
// A verb, or a group of verbs, has a file and a function that returns its command; rootCommand adds them. Shared are
// exit.go (exit statuses), command.go (builders of commands), connection.go (the agent that a verb calls) and output.go
// (tables, JSON and colours).
//
// A verb returns an error that bears its exit status: usageError before anything is sent or started, operationError for
// work that fails later, callError for an agent's answer (agentVerb applies it), an exitError where the verb documents a
// status of its own. An error that bears none counts as wrong usage. Only run prints errors, and only main exits: a verb
// that did either would skip the cleanup of a lab.
//
// Results are written by printResult, as text or with --json as one JSON value, to the command's standard output. A verb
// that reports progress leaves it out, or sends it to standard error, where standard output carries JSON.
//
// Verbs, flags, exit statuses, printed texts and JSON keys are the tool's interface: the golden files in testdata hold
// them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"elderyard/internal/lab"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:])
	stop()
	lab.RemoveBuilt()
	os.Exit(status)
}

// rootCommand returns the tool with all its verbs.
func rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "elderctl",
		Short:         "Operate elderyard: change, watch and try out a site",
		Long:          "Operate elderyard: change many gateways at once, watch them, and try a site out on this machine.\n" + exitHelp,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(labCommand(), traceCommand(), siteCommand(), peersCommand(), reverseProxyCommand(), labSweepCommand(), capacityCommand())
	root.AddCommand(fleetCommands()...)
	return root
}

// run executes the command line and returns the exit status. It prints the error, if there is one to print.
func run(ctx context.Context, args []string) int {
	root := rootCommand()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	var exit *exitError
	switch {
	case err == nil:
		return exitOK
	case ctx.Err() != nil:
		fmt.Fprintln(os.Stderr, "elderctl: interrupted; a lab has ended, and a change that was accepted goes on")
		return exitInterrupted
	case errors.As(err, &exit):
		if exit.err != nil {
			fmt.Fprintln(os.Stderr, "elderctl:", err)
		}
		return exit.status
	}
	// Cobra's own error about arguments that fit no command.
	fmt.Fprintln(os.Stderr, "elderctl:", err)
	return exitUsage
}

// fleetCommands returns the verbs that operate a fleet.
func fleetCommands() []*cobra.Command {
	return []*cobra.Command{
		agentCommand(), caCommand(), importCommand(),
		checkCommand(), planCommand(), applyCommand(), rollbackCommand(), restartCommand(),
		statusCommand(), instancesCommand(), historyCommand(), showCommand(), diffCommand(),
		changeCommand("pause", "Have a rollout tell nobody new"),
		changeCommand("resume", "Have a paused rollout go on"),
		changeCommand("abort", "Have a rollout go back"),
		instanceCommand("drain", "Take an instance out of service: it answers what it holds and ends"),
		instanceCommand("undrain", "Let an instance back into service"),
		membersCommand(), snapshotCommand(), auditCommand(), recordsCommand(),
	}
}
