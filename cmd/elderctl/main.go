// Elderctl is the operators' command-line tool. It changes and monitors a fleet through any one of its agents, shows
// what gateways report about each other, runs an agent, and runs a site on this machine in a lab. It keeps no state: a
// change that an agent has accepted continues without the tool.
//
// # Structure
//
// Each command, or group of commands, has a file and a function that returns it; rootCommand adds them. Shared code is
// in exit.go (exit statuses), command.go (builders of commands), connection.go (the connection to an agent) and
// output.go (tables, JSON and colours).
//
// A command returns an error with an exit status: usageError before anything is sent or started, operationError for
// work that fails later, callError for the response of an agent (agentVerb applies it), and an exitError where the
// command documents a status of its own. An error without a status counts as wrong usage. Only run prints errors, and
// only main exits: a command that did either would skip the cleanup of a lab.
//
// Results are written by printResult to the command's standard output, as text or, with --json, as one JSON value.
// Where standard output carries JSON, progress is omitted or written to standard error.
//
// Command names, flags, exit statuses, printed texts and JSON keys are the tool's interface. The golden files in
// testdata pin them.
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

// rootCommand returns the root command with all others added.
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

// run executes the command line and returns the exit status. It prints the error unless the command has printed it.
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
	// An error of cobra itself, for arguments that match no command.
	fmt.Fprintln(os.Stderr, "elderctl:", err)
	return exitUsage
}

// fleetCommands returns the commands that operate a fleet.
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
