package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
)

// changeCommand returns a verb that makes the agent's change of the same name.
func changeCommand(use, short string) *cobra.Command {
	return agentVerb(use, short, "  elderctl "+use, cobra.NoArgs, func(cmd *cobra.Command, client *agent.Client, _ []string) error {
		return makeChange(cmd, client, use, agent.ChangeRequest{})
	})
}

// instanceCommand returns a verb that makes the agent's change of the same name to one instance.
func instanceCommand(use, short string) *cobra.Command {
	return agentVerb(use+" INSTANCE", short, "  elderctl "+use+" g1", cobra.ExactArgs(1), func(cmd *cobra.Command, client *agent.Client, args []string) error {
		return makeChange(cmd, client, use, agent.ChangeRequest{Name: args[0]})
	})
}

// makeChange has the agent make one change, and prints that it is done.
func makeChange(cmd *cobra.Command, client *agent.Client, change string, request agent.ChangeRequest) error {
	if err := client.Do(cmd.Context(), change, request); err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), "done")
	return nil
}
