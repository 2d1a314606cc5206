package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/files"
)

func snapshotCommand() *cobra.Command {
	return commandGroup("snapshot", "Save and restore the site's state", saveSnapshotCommand(), restoreSnapshotCommand())
}

func saveSnapshotCommand() *cobra.Command {
	return agentVerb("save FILE", "Save revisions, agents and the audit log to a file", "  elderctl snapshot save site.snapshot", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			snapshot, err := client.Snapshot(cmd.Context())
			if err != nil {
				return err
			}
			if err := files.Replace(args[0], snapshot, 0o600); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "saved %d bytes\n", len(snapshot))
			return nil
		})
}

func restoreSnapshotCommand() *cobra.Command {
	return agentVerb("restore FILE", "Put a saved state in the place of the site's; a damaged one changes nothing", "  elderctl snapshot restore site.snapshot", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			snapshot, err := os.ReadFile(args[0])
			if err != nil {
				return usageError(err)
			}
			var decoded fleet.State // decoded here too: a damaged file is a usage error, and nothing is sent
			if err := decoded.Restore(snapshot); err != nil {
				return usageError(fmt.Errorf("%s: %w", args[0], err))
			}
			if err := client.Restore(cmd.Context(), snapshot); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "restored")
			return nil
		})
}
