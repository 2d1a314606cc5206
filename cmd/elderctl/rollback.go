package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
)

func rollbackCommand() *cobra.Command {
	var c applyOptions
	cmd := withJSON(agentVerb("rollback [REV]", "Make an old revision's content the wanted one again; default: that before the wanted one",
		"  elderctl rollback\n  elderctl rollback 11", cobra.MaximumNArgs(1),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
			newest, s, err := newestRevision(cmd.Context(), client)
			if err != nil {
				return err
			}
			to := s.Rollout.Previous
			if s.Wanted == s.Rollout.Previous && s.Wanted > 1 {
				to = s.Wanted - 1
			}
			if len(args) == 1 {
				if to, err = parseRevisionNumber(args[0]); err != nil {
					return err
				}
			}
			if to == 0 {
				return &exitError{exitRefused, errors.New("there is no revision before: name one")}
			}
			if !cmd.Flags().Changed("parent") {
				c.parent = newest.Number
			}
			if c.message == "" {
				c.message = fmt.Sprintf("back to revision %d", to)
			}
			return c.send(cmd, client, agent.ApplyRequest{Parent: c.parent, Restore: to}, "")
		}))
	c.flags(cmd)
	return cmd
}

func restartCommand() *cobra.Command {
	var c applyOptions
	var rolling bool
	cmd := withJSON(agentVerb("restart --rolling", "Restart every instance, wave by wave, with what it runs", "  elderctl restart --rolling", cobra.NoArgs,
		func(cmd *cobra.Command, client *agent.Client, _ []string) error {
			if !rolling {
				return usageError(errors.New("restart: say --rolling: all at once is not offered"))
			}
			newest, s, err := newestRevision(cmd.Context(), client)
			if err != nil {
				return err
			}
			if s.Wanted == 0 {
				return &exitError{exitRefused, errors.New("nothing runs yet")}
			}
			wanted, err := client.Revision(cmd.Context(), s.Wanted)
			if err != nil {
				return err
			}
			wanted.Content.RestartGeneration = max(wanted.Content.RestartGeneration, newest.Content.RestartGeneration) + 1
			if c.message == "" {
				c.message = "restart"
			}
			if !cmd.Flags().Changed("parent") {
				c.parent = newest.Number
			}
			return c.send(cmd, client, agent.ApplyRequest{Parent: c.parent, Content: &wanted.Content}, "")
		}))
	c.flags(cmd)
	cmd.Flags().BoolVar(&rolling, "rolling", false, "wave by wave, as a change goes out")
	return cmd
}
