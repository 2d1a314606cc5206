package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"elderyard/fleet"
	"elderyard/internal/agent"
	"elderyard/revisions"
)

// applyOptions is how an apply is sent and followed.
type applyOptions struct {
	parent  uint64
	message string
	noWait  bool
}

func (c *applyOptions) flags(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&c.parent, "parent", 0, "the revision that the change was made from; default: the newest")
	cmd.Flags().StringVar(&c.message, "message", "", "what it is for")
	cmd.Flags().BoolVar(&c.noWait, "no-wait", false, "do not follow the rollout to its end")
}

func applyCommand() *cobra.Command {
	var c applyOptions
	var overlays []string
	var again bool
	cmd := withJSON(agentVerb("apply FILE", "Make a file the wanted revision and follow its rollout to the end",
		"  elderctl apply site.toml --message 'more room on collection days'\n  elderctl apply site.toml --parent 12", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
			newest, _, err := newestRevision(cmd.Context(), client)
			if err != nil {
				return err
			}
			content, err := readContent(args[0], overlays, newest.Content)
			if err != nil {
				return err
			}
			if again {
				content.RestartGeneration++
			}
			if !cmd.Flags().Changed("parent") {
				c.parent = newest.Number
			}
			return c.send(cmd, client, agent.ApplyRequest{Parent: c.parent, Content: &content}, args[0])
		}))
	c.flags(cmd)
	cmd.Flags().StringArrayVar(&overlays, "overlay", nil, "an instance's overlay as NAME=FILE; NAME= takes it away, and others stay as they are")
	cmd.Flags().BoolVar(&again, "again", false, "have every instance start anew, also where the file changes nothing, as after a rollback")
	return cmd
}

// send applies and follows.
func (c *applyOptions) send(cmd *cobra.Command, client *agent.Client, call agent.ApplyRequest, file string) error {
	ctx, out := cmd.Context(), cmd.OutOrStdout()
	asJSON, _ := cmd.Flags().GetBool("json")
	if asJSON {
		out = io.Discard
	}
	var err error
	if call.Request, err = newRequestID(); err != nil {
		return err
	}
	call.Message = c.message
	limited, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	answer, err := client.Apply(limited, call)
	if err != nil {
		var f *agent.Failure
		if errors.As(err, &f) && f.OutcomeUnknown() {
			return &exitError{exitUnreachable, fmt.Errorf("it is not known whether the change was taken (look with elderctl history): %w", err)}
		}
		return err
	}
	final := map[string]any{"answer": answer.Answer, "revision": answer.Revision.Number, "author": answer.Revision.Author, "at": answer.Revision.At}
	finish := func(status int, why error) error {
		if asJSON {
			if err := writeJSON(cmd.OutOrStdout(), "-", final); err != nil {
				return err
			}
		}
		if status == exitOK {
			return nil
		}
		return &exitError{status, why}
	}
	switch answer.Answer {
	case revisions.Accepted:
	case revisions.Unchanged:
		fmt.Fprintf(out, "revision %d says this already; nothing was changed\n", answer.Revision.Number)
		s, err := client.Status(ctx)
		if err == nil && s.Stale == "" && s.Wanted != answer.Revision.Number {
			return finish(exitRefused, fmt.Errorf("revision %d went back, and %d is wanted: --again tries it once more", answer.Revision.Number, s.Wanted))
		}
		return finish(exitOK, nil)
	case revisions.Conflict, fleet.Busy:
		won := answer.Revision
		fmt.Fprintf(out, "revision %d came first: by %s at %s: %s\n", won.Number, won.Author, won.At.Local().Format(time.DateTime), orDash(won.Message))
		if call.Content != nil {
			difference := diffContents(fmt.Sprintf("revision %d", won.Number), file, won.Content, *call.Content)
			final["diff"] = difference
			printDiff(out, difference)
		}
		if answer.Answer == fleet.Busy {
			final["why"] = answer.Why
			return finish(exitConflict, fmt.Errorf("%s; nothing was changed: wait for its end, or elderctl abort", answer.Why))
		}
		return finish(exitConflict, fmt.Errorf("the change was made from revision %d, and %d is the newest; nothing was changed", call.Parent, won.Number))
	default:
		return finish(exitRefused, fmt.Errorf("%s; nothing was changed", answer.Answer))
	}
	fmt.Fprintf(out, "revision %d was accepted\n", answer.Revision.Number)
	if c.noWait {
		return finish(exitOK, nil)
	}
	s, err := follow(ctx, client, out, answer.Revision.Number)
	if err != nil {
		return err
	}
	final["rollout"] = s.Rollout
	final["instances"] = s.Instances
	if s.Rollout.New != answer.Revision.Number {
		return finish(exitOK, nil)
	}
	return finish(rolloutExitStatus(s))
}
