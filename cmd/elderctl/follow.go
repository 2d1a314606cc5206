package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"elderyard/internal/agent"
	"elderyard/internal/wait"
	"elderyard/rollout"
)

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
		wait.For(ctx, followInterval)
	}
}

func parenthesized(why string) string {
	if why == "" {
		return ""
	}
	return " (" + why + ")"
}
