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
	"elderyard/rollout"
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
	cmd := withJSON(verb("apply FILE", "Make a file the wanted revision and follow its rollout to the end",
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

func rollbackCommand() *cobra.Command {
	var c applyOptions
	cmd := withJSON(verb("rollback [REV]", "Make an old revision's content the wanted one again; default: that before the wanted one",
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
	cmd := withJSON(verb("restart --rolling", "Restart every instance, wave by wave, with what it runs", "  elderctl restart --rolling", cobra.NoArgs,
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
		fmt.Fprintf(out, "revision %d came first: by %s at %s: %s\n", won.Number, won.Author, won.At.Local().Format(time.DateTime), dashIfEmpty(won.Message))
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

const (
	applyTimeout   = 2 * time.Minute
	followInterval = 300 * time.Millisecond
)

func rolloutExitStatus(s agent.Status) (int, error) {
	switch s.Rollout.State {
	case rollout.Applied:
		return exitOK, nil
	case rollout.PartlyApplied:
		return exitPartly, errors.New(s.Rollout.Reason)
	}
	return exitRefused, fmt.Errorf("%s: %s", s.Rollout.State, s.Rollout.Reason)
}

// follow shows a rollout until its end. A leader that can't be reached for a
// while is waited for: the rollout goes on without the tool.
func follow(ctx context.Context, client *agent.Client, out io.Writer, revision uint64) (agent.Status, error) {
	start := time.Now()
	lastPrinted := map[string]string{}
	printOnce := func(key, format string, a ...any) {
		text := fmt.Sprintf(format, a...)
		if lastPrinted[key] != text {
			lastPrinted[key] = text
			fmt.Fprintf(out, "%6.1fs  %s\n", time.Since(start).Seconds(), text)
		}
	}
	leaderLostAt := time.Time{}
	for {
		s, err := client.Status(ctx)
		switch {
		case ctx.Err() != nil:
			return s, fmt.Errorf("revision %d goes on without this tool: %w", revision, ctx.Err())
		case err != nil || s.Stale != "":
			if leaderLostAt.IsZero() {
				leaderLostAt = time.Now()
			}
			printOnce("leader", "no leader answers; waiting")
			if time.Since(leaderLostAt) > applyTimeout {
				return s, &exitError{exitUnreachable, fmt.Errorf("no leader has answered for %v; revision %d was accepted and goes on", applyTimeout, revision)}
			}
		default:
			leaderLostAt = time.Time{}
			delete(lastPrinted, "leader")
			if s.Rollout.New != revision {
				printOnce("rollout", "another revision, %d, has taken its place", s.Rollout.New)
				return s, nil
			}
			updated := 0
			for _, i := range s.Instances {
				if i.Phase != "" && i.Phase != rollout.PhasePending {
					printOnce(i.Name, "%s: %s%s", i.Name, i.Phase, parenthesized(i.Why))
				}
				if i.Running == s.Wanted && i.Ready {
					updated++
				}
			}
			if s.Waves == 0 {
				printOnce("rollout", "%s; the leader hears what the agents have", s.Rollout.State)
				break
			}
			printOnce("rollout", "%s, wave %d of %d, %d of %d instances run revision %d: %s", s.Rollout.State, s.Wave, s.Waves, updated, len(s.Instances), s.Wanted, s.Rollout.Reason)
			if s.Rollout.State.Ended() {
				return s, nil
			}
		}
		pause(ctx, followInterval)
	}
}

func parenthesized(why string) string {
	if why == "" {
		return ""
	}
	return " (" + why + ")"
}
