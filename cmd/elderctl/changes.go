package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
)

// changeCommand returns a command that calls the agent's change of the same name.
func changeCommand(use, short string) *cobra.Command {
	return agentVerb(use, short, "  elderctl "+use, cobra.NoArgs, func(cmd *cobra.Command, client *agentapi.Client, _ []string) error {
		return makeChange(cmd, client, use, agentapi.ChangeRequest{})
	})
}

// instanceCommand returns a command that calls the agent's change of the same name for one instance.
func instanceCommand(use, short string) *cobra.Command {
	return agentVerb(use+" INSTANCE", short, "  elderctl "+use+" g1", cobra.ExactArgs(1), func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
		return makeChange(cmd, client, use, agentapi.ChangeRequest{Name: args[0]})
	})
}

// makeChange calls a change of the agent and prints "done".
func makeChange(cmd *cobra.Command, client *agentapi.Client, change string, request agentapi.ChangeRequest) error {
	if err := client.Do(cmd.Context(), change, request); err != nil {
		return err
	}
	fmt.Fprintln(cmd.OutOrStdout(), "done")
	return nil
}
