package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/internal/wait"
	"elderyard/rollout"
)

const followInterval = 300 * time.Millisecond

// rolloutExitStatus returns the exit status of a rollout that has ended, and the reason if that is not exitOK.
func rolloutExitStatus(status agentapi.Status) (int, error) {
	switch status.Rollout.State {
	case rollout.Applied:
		return exitOK, nil
	case rollout.PartlyApplied:
		return exitPartial, errors.New(status.Rollout.Reason)
	}
	return exitRefused, fmt.Errorf("%s: %s", status.Rollout.State, status.Rollout.Reason)
}

// followRollout prints the progress of a rollout until it ends or another revision replaces it, and returns the status
// at that time. The rollout does not depend on the tool: if no leader can be reached, the tool waits up to
// applyTimeout.
func followRollout(ctx context.Context, client *agentapi.Client, out io.Writer, revision uint64) (agentapi.Status, error) {
	progress := newProgressPrinter(out)
	var leaderlessSince time.Time // zero: a leader responds
	for {
		status, err := client.Status(ctx)
		switch {
		case ctx.Err() != nil:
			return status, fmt.Errorf("revision %d goes on without this tool: %w", revision, ctx.Err())
		case err != nil || status.Stale != "":
			if leaderlessSince.IsZero() {
				leaderlessSince = time.Now()
			}
			progress.print(leaderKey, "no leader answers; waiting")
			if time.Since(leaderlessSince) > applyTimeout {
				return status, &exitError{exitUnreachable, fmt.Errorf("no leader has answered for %v; revision %d was accepted and goes on", applyTimeout, revision)}
			}
		default:
			leaderlessSince = time.Time{}
			progress.forget(leaderKey)
			if ended := progress.printRollout(status, revision); ended {
				return status, nil
			}
		}
		wait.For(ctx, followInterval) // the next call notices that ctx is done
	}
}

// Subjects of a progressPrinter other than the names of instances.
const (
	leaderKey  = "leader"
	rolloutKey = "rollout"
)

// progressPrinter prints lines about subjects, with the time since its start. It omits a line that repeats the last one
// about the same subject.
type progressPrinter struct {
	out   io.Writer
	start time.Time
	last  map[string]string // line, by subject
}

func newProgressPrinter(out io.Writer) *progressPrinter {
	return &progressPrinter{out: out, start: time.Now(), last: map[string]string{}}
}

func (p *progressPrinter) print(subject, format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	if p.last[subject] != line {
		p.last[subject] = line
		fmt.Fprintf(p.out, "%6.1fs  %s\n", time.Since(p.start).Seconds(), line)
	}
}

// forget makes print repeat the last line about the subject.
func (p *progressPrinter) forget(subject string) { delete(p.last, subject) }

// printRollout prints the changes in the leader's status of a revision's rollout. It returns true if the rollout has
// ended or another revision has replaced it.
func (p *progressPrinter) printRollout(status agentapi.Status, revision uint64) (ended bool) {
	if status.Rollout.New != revision {
		p.print(rolloutKey, "another revision, %d, has taken its place", status.Rollout.New)
		return true
	}
	updated := 0
	for _, instance := range status.Instances {
		if instance.Phase != "" && instance.Phase != rollout.PhasePending {
			p.print(instance.Name, "%s: %s%s", instance.Name, instance.Phase, parenthesized(instance.Reason))
		}
		if instance.Running == status.Desired && instance.Ready {
			updated++
		}
	}
	if status.Waves == 0 { // a new leader first collects the agents' reports
		p.print(rolloutKey, "%s; the leader hears what the agents have", status.Rollout.State)
		return false
	}
	p.print(rolloutKey, "%s, wave %d of %d, %d of %d instances run revision %d: %s", status.Rollout.State, status.Wave, status.Waves, updated, len(status.Instances), status.Desired, status.Rollout.Reason)
	return status.Rollout.State.Ended()
}

func parenthesized(why string) string {
	if why == "" {
		return ""
	}
	return " (" + why + ")"
}
