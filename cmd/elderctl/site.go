package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"elderyard/internal/site"
)

func siteCommand() *cobra.Command {
	return commandGroup("site", "Read the operator's file and its keys",
		keysCommand("List every key of the operator's file and what it means", site.Keys), siteCheckCommand())
}

func siteCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Read an operator's file and say what is wrong with it",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return usageError(err) // unlike a gateway, which runs without the file
			}
			if _, err := site.Parse(args[0], text); err != nil {
				return usageError(err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: good\n", args[0])
			return nil
		},
	}
}
