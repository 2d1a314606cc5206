package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
	"elderyard/internal/wait"
)

func statusCommand() *cobra.Command {
	var watch bool
	cmd := withJSON(agentVerb("status", "Show what is wanted, what runs, and where a rollout is", "  elderctl status\n  elderctl status --watch", cobra.NoArgs,
		func(cmd *cobra.Command, client *agent.Client, _ []string) error {
			for {
				s, err := client.Status(cmd.Context())
				if err != nil {
					return err
				}
				if watch {
					if f, is := cmd.OutOrStdout().(*os.File); is && paint(f, red, "") != "" {
						fmt.Fprint(f, "\x1b[H\x1b[2J")
					}
				}
				if err := printResult(cmd, s, func(out io.Writer) { printStatus(out, s) }); err != nil {
					return err
				}
				if !watch {
					return siteStatusError(s)
				}
				if !wait.For(cmd.Context(), time.Second) {
					return nil
				}
			}
		}))
	cmd.Flags().BoolVar(&watch, "watch", false, "again and again, each second")
	return cmd
}

// siteStatusError is the exit status that a site's state deserves.
func siteStatusError(s agent.Status) error {
	if s.Stale != "" {
		return &exitError{exitUnreachable, errors.New("no leader answers; what was shown may be old")}
	}
	missing := 0
	for _, i := range s.Instances {
		if !i.Drained && (i.Silent || i.Running != s.Wanted || !i.Ready) {
			missing++
		}
	}
	if missing > 0 && s.Rollout.Ended() && s.Wanted != 0 {
		return &exitError{exitPartly, fmt.Errorf("%d of %d instances are silent, or do not run revision %d", missing, len(s.Instances), s.Wanted)}
	}
	return nil
}

func printStatus(out io.Writer, s agent.Status) {
	printStale(out, s.Stale)
	if s.Store != "" {
		fmt.Fprintln(out, paint(out, red, "the asked voter can't write its store: "+s.Store))
	}
	fmt.Fprintf(out, "wanted revision %d, newest %d, leader %s\n", s.Wanted, s.Head, orDash(s.Leader))
	if s.Rollout.New != 0 {
		fmt.Fprintf(out, "rollout of revision %d by %s: %s", s.Rollout.New, s.Rollout.By, s.Rollout.State)
		if s.Waves > 0 && !s.Rollout.Ended() {
			fmt.Fprintf(out, ", wave %d of %d", s.Wave, s.Waves)
		}
		fmt.Fprintf(out, ": %s\n", s.Rollout.Reason)
	}
	printInstances(out, s)
}

func printInstances(out io.Writer, s agent.Status) {
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "instance\tagent\truns\tstate\tphase\tcrashes\theard\twhy")
		for _, i := range s.Instances {
			state := string(i.State)
			switch {
			case i.Silent:
				state = "silent"
			case i.Drained:
				state += ", drained"
			}
			lastReport := "never"
			if !i.ReportedAt.IsZero() {
				lastReport = s.At.Sub(i.ReportedAt).Round(time.Second).String() + " ago"
			}
			why := []string{}
			for _, part := range []string{i.Why, i.MembershipView} {
				if part != "" {
					why = append(why, part)
				}
			}
			if len(i.UnreachableFrom) > 0 {
				why = append(why, "not heard by "+strings.Join(i.UnreachableFrom, " "))
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\n", i.Name, i.Agent, i.Running, orDash(state), orDash(string(i.Phase)), i.Crashes, lastReport, strings.Join(why, "; "))
		}
	})
}

func instancesCommand() *cobra.Command {
	return withJSON(agentVerb("instances", "List all instances and what each runs", "  elderctl instances", cobra.NoArgs,
		func(cmd *cobra.Command, client *agent.Client, _ []string) error {
			s, err := client.Status(cmd.Context())
			if err != nil {
				return err
			}
			return printResult(cmd, s.Instances, func(out io.Writer) {
				printStale(out, s.Stale)
				printInstances(out, s)
			})
		}))
}
