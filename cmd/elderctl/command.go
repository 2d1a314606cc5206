package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

// noArgs is the check of a command without arguments.
func noArgs(cmd *cobra.Command, args []string) error { return usageError(cobra.NoArgs(cmd, args)) }

// exactArgs returns the check of a command that accepts exactly n arguments.
func exactArgs(n int) cobra.PositionalArgs { return checkArgs(cobra.ExactArgs(n)) }

// checkArgs returns a check whose errors are usage errors.
func checkArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return usageError(check(cmd, args)) }
}

// commandGroup returns a command that only has subcommands. Running it without one is a usage error.
func commandGroup(use, short string, parts ...*cobra.Command) *cobra.Command {
	var names []string
	for _, part := range parts {
		names = append(names, part.Name())
	}
	cmd := &cobra.Command{Use: use, Short: short,
		RunE: func(*cobra.Command, []string) error {
			return usageError(fmt.Errorf("%s: name what to do: %s", use, strings.Join(names, ", ")))
		}}
	cmd.AddCommand(parts...)
	return cmd
}

// listCommand returns a command that prints a list, as a table or as JSON, and calls no agent.
func listCommand[T any](use, short string, list func() ([]T, error), printTable func(io.Writer, []T) error) *cobra.Command {
	return withJSON(&cobra.Command{
		Use:   use,
		Short: short,
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			lines, err := list()
			if err != nil {
				return operationError(err)
			}
			if wantsJSON(cmd) {
				return operationError(writeJSON(cmd.OutOrStdout(), "-", lines))
			}
			return operationError(printTable(cmd.OutOrStdout(), lines))
		},
	})
}

// keyLine is one key of a configuration file in the output of the keys commands.
type keyLine struct {
	Key         string `json:"key"`
	Description string `json:"about"`
}

// keysCommand returns a command that lists the keys of a configuration file.
func keysCommand(short string, keys func() [][2]string) *cobra.Command {
	return listCommand("keys", short,
		func() (lines []keyLine, err error) {
			for _, key := range keys() {
				lines = append(lines, keyLine{key[0], key[1]})
			}
			return lines, nil
		},
		func(out io.Writer, lines []keyLine) error {
			printTable(out, func(w io.Writer) {
				for _, line := range lines {
					fmt.Fprintf(w, "%s\t%s\n", line.Key, line.Description)
				}
			})
			return nil
		})
}
