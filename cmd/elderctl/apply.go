package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/revisions"
)

// applyTimeout limits the call that applies a revision, which is retried after a lost response, and the time for which
// a rollout is followed without a leader.
const applyTimeout = 2 * time.Minute

// applyOptions are the flags of the commands that create a revision.
type applyOptions struct {
	parent  uint64
	message string
	noWait  bool
}

// flags adds the flags that set the options.
func (o *applyOptions) flags(cmd *cobra.Command) {
	cmd.Flags().Uint64Var(&o.parent, "parent", 0, "the revision that the change was made from; default: the newest")
	cmd.Flags().StringVar(&o.message, "message", "", "what it is for")
	cmd.Flags().BoolVar(&o.noWait, "no-wait", false, "do not follow the rollout to its end")
}

// request returns a request with the parent and the message of the flags; newest and message are the defaults.
func (o *applyOptions) request(cmd *cobra.Command, newest uint64, message string) agentapi.ApplyRequest {
	request := agentapi.ApplyRequest{Parent: newest, Message: cmp.Or(o.message, message)}
	if cmd.Flags().Changed("parent") {
		request.Parent = o.parent
	}
	return request
}

func applyCommand() *cobra.Command {
	var options applyOptions
	var overlays []string
	var again bool
	cmd := withJSON(agentVerb("apply FILE", "Make a file the wanted revision and follow its rollout to the end",
		"  elderctl apply site.toml --message 'more room on collection days'\n  elderctl apply site.toml --parent 12", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
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
			request := options.request(cmd, newest.Number, "")
			request.Content = &content
			return options.send(cmd, client, request, args[0])
		}))
	options.flags(cmd)
	addOverlayFlag(cmd, &overlays)
	cmd.Flags().BoolVar(&again, "again", false, "have every instance start anew, also where the file changes nothing, as after a rollback")
	return cmd
}

// send creates the revision and, unless --no-wait is set, follows its rollout to the end. In a diff, the content
// appears under the name file.
func (o *applyOptions) send(cmd *cobra.Command, client *agentapi.Client, request agentapi.ApplyRequest, file string) error {
	var err error
	if request.IdempotencyKey, err = newRequestID(); err != nil {
		return err
	}
	result, err := requestApply(cmd.Context(), client, request)
	if err != nil {
		return err
	}
	report := newApplyReport(cmd, result)
	switch result.Status {
	case revisions.Accepted:
		fmt.Fprintf(report.out, "revision %d was accepted\n", result.Revision.Number)
		if o.noWait {
			return report.finish(exitOK, nil)
		}
		return report.follow(client, result.Revision.Number)
	case revisions.Unchanged:
		return report.unchanged(client, result.Revision.Number)
	case revisions.Conflict, fleet.Busy:
		return report.conflict(request, result, file)
	}
	return report.finish(exitRefused, fmt.Errorf("%s; nothing was changed", result.Status))
}

// requestApply calls the agent. An unknown outcome is an error with its own message and exit status.
func requestApply(ctx context.Context, client *agentapi.Client, request agentapi.ApplyRequest) (agentapi.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	result, err := client.Apply(ctx, request)
	var failure *agentapi.Failure
	if errors.As(err, &failure) && failure.OutcomeUnknown() {
		err = &exitError{exitUnreachable, fmt.Errorf("it is not known whether the change was taken (look with elderctl history): %w", err)}
	}
	return result, err
}

// applyReport prints the result of an apply: text while it proceeds, or with --json one value at the end.
type applyReport struct {
	cmd    *cobra.Command
	out    io.Writer      // of the text; discards it with --json
	values map[string]any // of the JSON
}

func newApplyReport(cmd *cobra.Command, result agentapi.ApplyResult) *applyReport {
	r := &applyReport{cmd: cmd, out: cmd.OutOrStdout(), values: map[string]any{
		"answer": result.Status, "revision": result.Revision.Number, "author": result.Revision.Author, "at": result.Revision.At}}
	if wantsJSON(cmd) {
		r.out = io.Discard
	}
	return r
}

// finish prints the JSON if --json is set, and returns the error for the exit status, nil for exitOK.
func (r *applyReport) finish(status int, cause error) error {
	if wantsJSON(r.cmd) {
		if err := writeJSON(r.cmd.OutOrStdout(), "-", r.values); err != nil {
			return err
		}
	}
	if status == exitOK {
		return nil
	}
	return &exitError{status, cause}
}

// follow reports the rollout of the revision until its end, or until another revision replaces it.
func (r *applyReport) follow(client *agentapi.Client, revision uint64) error {
	status, err := followRollout(r.cmd.Context(), client, r.out, revision)
	if err != nil {
		return err
	}
	r.values["rollout"] = status.Rollout
	r.values["instances"] = status.Instances
	if status.Rollout.New != revision {
		return r.finish(exitOK, nil)
	}
	return r.finish(rolloutExitStatus(status))
}

// unchanged reports that the newest revision already has this content. It is an error if that revision was rolled back.
func (r *applyReport) unchanged(client *agentapi.Client, newest uint64) error {
	fmt.Fprintf(r.out, "revision %d says this already; nothing was changed\n", newest)
	status, err := client.Status(r.cmd.Context())
	if err == nil && status.Stale == "" && status.Desired != newest {
		return r.finish(exitRefused, fmt.Errorf("revision %d went back, and %d is wanted: --again tries it once more", newest, status.Desired))
	}
	return r.finish(exitOK, nil)
}

// conflict reports the revision that was accepted first, with a diff to the rejected content.
func (r *applyReport) conflict(request agentapi.ApplyRequest, result agentapi.ApplyResult, file string) error {
	first := result.Revision
	fmt.Fprintf(r.out, "revision %d came first: by %s at %s: %s\n", first.Number, first.Author, first.At.Local().Format(time.DateTime), orDash(first.Message))
	if request.Content != nil {
		diff := diffContents(fmt.Sprintf("revision %d", first.Number), file, first.Content, *request.Content)
		r.values["diff"] = diff
		printDiff(r.out, diff)
	}
	if result.Status == fleet.Busy {
		r.values["why"] = result.Reason
		return r.finish(exitConflict, fmt.Errorf("%s; nothing was changed: wait for its end, or elderctl abort", result.Reason))
	}
	return r.finish(exitConflict, fmt.Errorf("the change was made from revision %d, and %d is the newest; nothing was changed", request.Parent, first.Number))
}
