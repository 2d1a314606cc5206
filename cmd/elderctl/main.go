// Elderctl is the operators' tool.
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

// rootCommand is the tool with all its verbs.
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
	// Cobra's own, of arguments that fit no command.
	fmt.Fprintln(os.Stderr, "elderctl:", err)
	return exitUsage
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
