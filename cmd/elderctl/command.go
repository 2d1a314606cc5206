package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
)

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

// listCommand is a command that prints a list, as a table for people or as JSON.
func listCommand[T any](use, short string, list func() ([]T, error), table func(io.Writer, []T) error) *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			lines, err := list()
			if err != nil {
				return operationError(err)
			}
			if asJSON {
				return operationError(writeJSON(cmd.OutOrStdout(), "-", lines))
			}
			return operationError(table(cmd.OutOrStdout(), lines))
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	return cmd
}

// keyLine is one key of a file, as `elderctl site keys` lists them.
type keyLine struct {
	Key   string `json:"key"`
	About string `json:"about"`
}

// keysCommand lists the keys of a file.
func keysCommand(short string, keys func() [][2]string) *cobra.Command {
	return listCommand("keys", short,
		func() (lines []keyLine, err error) {
			for _, k := range keys() {
				lines = append(lines, keyLine{k[0], k[1]})
			}
			return lines, nil
		},
		func(out io.Writer, lines []keyLine) error {
			table(out, func(w io.Writer) {
				for _, k := range lines {
					fmt.Fprintf(w, "%s\t%s\n", k.Key, k.About)
				}
			})
			return nil
		})
}
