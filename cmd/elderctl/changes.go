package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
)

// makeChange has the agent make one change, and says that it is done.
func makeChange(cmd *cobra.Command, client *agent.Client, call string, v agent.ChangeRequest) error {
	if err := client.Do(cmd.Context(), call, v); err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), "done")
	return nil
}

func changeCommand(use, short string) *cobra.Command {
	return verb(use, short, "  elderctl "+use, cobra.NoArgs, func(cmd *cobra.Command, client *agent.Client, _ []string) error {
		return makeChange(cmd, client, use, agent.ChangeRequest{})
	})
}

func instanceCommand(use, short string) *cobra.Command {
	return verb(use+" INSTANCE", short, "  elderctl "+use+" g1", cobra.ExactArgs(1), func(cmd *cobra.Command, client *agent.Client, args []string) error {
		return makeChange(cmd, client, use, agent.ChangeRequest{Name: args[0]})
	})
}
