// Elderctl is the operators' tool.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"elderyard/internal/lab"
)

// Exit statuses. They are part of the tool's interface.
const (
	exitOK          = 0
	exitFailed      = 1   // the tool could not do what was asked
	exitUsage       = 2   // a flag, an argument or a file is wrong; nothing was started
	exitRule        = 3   // a rule was broken
	exitVoid        = 4   // the machine ran late: there is no verdict
	exitRefused     = 5   // the site refused a change, or the change went back
	exitConflict    = 6   // another change came first
	exitPartly      = 7   // done, and some are silent or have yet to take it
	exitUnreachable = 8   // no agent or leader answers, or it is not known whether a change was taken
	exitDiffer      = 9   // gateways' pictures of each other differ
	exitInterrupted = 130 // by SIGINT or SIGTERM; all that was started has ended
)

const exitHelp = `
Exit status: 0 all went well, 1 the tool could not do it, 2 wrong usage or a
wrong file (nothing was started), 3 a rule was broken, 4 the machine ran late
and there is no verdict, 5 to 8 see the fleet's verbs, 9 see
'elderctl peers', 130 interrupted.`

// exitError is an error with the status that the tool ends with.
type exitError struct {
	status int
	err    error // nil: all has been said
}

func (e *exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func (e *exitError) Unwrap() error { return e.err }

func usageError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitUsage, err}
}

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

// operationError marks an error of work that had been begun.
func operationError(err error) error {
	if err == nil {
		return nil
	}
	return &exitError{exitFailed, err}
}

func noArgs(cmd *cobra.Command, args []string) error { return usageError(cobra.NoArgs(cmd, args)) }

// exactArgs is the check of a command that takes so many arguments.
func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return usageError(cobra.ExactArgs(n)(cmd, args)) }
}

// commandGroup is a command that does nothing but hold others.
func commandGroup(use, short string, parts ...*cobra.Command) *cobra.Command {
	var names []string
	for _, p := range parts {
		names = append(names, p.Name())
	}
	cmd := &cobra.Command{Use: use, Short: short,
		RunE: func(*cobra.Command, []string) error {
			return usageError(fmt.Errorf("%s: name what to do: %s", use, strings.Join(names, ", ")))
		}}
	cmd.AddCommand(parts...)
	return cmd
}
