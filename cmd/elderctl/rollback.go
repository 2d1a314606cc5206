package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
)

func rollbackCommand() *cobra.Command {
	var options applyOptions
	cmd := withJSON(agentVerb("rollback [REV]", "Make an old revision's content the wanted one again; default: that before the wanted one",
		"  elderctl rollback\n  elderctl rollback 11", cobra.MaximumNArgs(1),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			newest, status, err := newestRevision(cmd.Context(), client)
			if err != nil {
				return err
			}
			target := revisionBefore(status)
			if len(args) == 1 {
				if target, err = parseRevisionNumber(args[0]); err != nil {
					return err
				}
			}
			if target == 0 {
				return &exitError{exitRefused, errors.New("there is no revision before: name one")}
			}
			request := options.request(cmd, newest.Number, fmt.Sprintf("back to revision %d", target))
			request.Restore = target
			return options.send(cmd, client, request, "")
		}))
	options.flags(cmd)
	return cmd
}

// revisionBefore returns the desired revision before the current one, 0 if there is none. After a rollback, the
// previous revision of the rollout is the desired one itself; then it is the number before that.
func revisionBefore(status agentapi.Status) uint64 {
	if status.Desired == status.Rollout.Previous && status.Desired > 1 {
		return status.Desired - 1
	}
	return status.Rollout.Previous
}

func restartCommand() *cobra.Command {
	var options applyOptions
	var rolling bool
	cmd := withJSON(agentVerb("restart --rolling", "Restart every instance, wave by wave, with what it runs", "  elderctl restart --rolling", cobra.NoArgs,
		func(cmd *cobra.Command, client *agentapi.Client, _ []string) error {
			if !rolling {
				return usageError(errors.New("restart: say --rolling: all at once is not offered"))
			}
			newest, status, err := newestRevision(cmd.Context(), client)
			if err != nil {
				return err
			}
			if status.Desired == 0 {
				return &exitError{exitRefused, errors.New("nothing runs yet")}
			}
			wanted, err := client.Revision(cmd.Context(), status.Desired)
			if err != nil {
				return err
			}
			// Neither revision has this generation, so the content differs from both and every instance restarts.
			wanted.Content.RestartGeneration = max(wanted.Content.RestartGeneration, newest.Content.RestartGeneration) + 1
			request := options.request(cmd, newest.Number, "restart")
			request.Content = &wanted.Content
			return options.send(cmd, client, request, "")
		}))
	options.flags(cmd)
	cmd.Flags().BoolVar(&rolling, "rolling", false, "wave by wave, as a change goes out")
	return cmd
}
