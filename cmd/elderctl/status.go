package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
	"elderyard/internal/wait"
)

// statusInterval is the time between updates of 'status --watch'.
const statusInterval = time.Second

// clearScreen moves the cursor of a terminal to the top left and clears the screen.
const clearScreen = "\x1b[H\x1b[2J"

func statusCommand() *cobra.Command {
	var watch bool
	cmd := withJSON(agentVerb("status", "Show what is wanted, what runs, and where a rollout is", "  elderctl status\n  elderctl status --watch", cobra.NoArgs,
		func(cmd *cobra.Command, client *agentapi.Client, _ []string) error {
			for {
				status, err := client.Status(cmd.Context())
				if err != nil {
					return err
				}
				if out := cmd.OutOrStdout(); watch && showsColours(out) {
					fmt.Fprint(out, clearScreen)
				}
				if err := printResult(cmd, status, func(out io.Writer) { printStatus(out, status) }); err != nil {
					return err
				}
				if !watch {
					return statusError(status)
				}
				if !wait.For(cmd.Context(), statusInterval) {
					return nil
				}
			}
		}))
	cmd.Flags().BoolVar(&watch, "watch", false, "again and again, each second")
	return cmd
}

// statusError returns the exit status for a site's status. Instances that do not run the desired revision are an error
// only after the rollout has ended.
func statusError(status agentapi.Status) error {
	if status.Stale != "" {
		return &exitError{exitUnreachable, errors.New("no leader answers; what was shown may be old")}
	}
	missing := 0
	for _, instance := range status.Instances {
		if !instance.Drained && (instance.Silent || instance.Running != status.Desired || !instance.Ready) {
			missing++
		}
	}
	if missing > 0 && status.Rollout.Ended() && status.Desired != 0 {
		return &exitError{exitPartial, fmt.Errorf("%d of %d instances are silent, or do not run revision %d", missing, len(status.Instances), status.Desired)}
	}
	return nil
}

func printStatus(out io.Writer, status agentapi.Status) {
	printStale(out, status.Stale)
	if status.Store != "" {
		fmt.Fprintln(out, paint(out, red, "the asked voter can't write its store: "+status.Store))
	}
	fmt.Fprintf(out, "wanted revision %d, newest %d, leader %s\n", status.Desired, status.Head, orDash(status.Leader))
	if rollout := status.Rollout; rollout.New != 0 {
		fmt.Fprintf(out, "rollout of revision %d by %s: %s", rollout.New, rollout.By, rollout.State)
		if status.Waves > 0 && !rollout.Ended() {
			fmt.Fprintf(out, ", wave %d of %d", status.Wave, status.Waves)
		}
		fmt.Fprintf(out, ": %s\n", rollout.Reason)
	}
	printInstances(out, status)
}

func printInstances(out io.Writer, status agentapi.Status) {
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "instance\tagent\truns\tstate\tphase\tcrashes\theard\twhy")
		for _, instance := range status.Instances {
			lastReport := "never"
			if !instance.ReportedAt.IsZero() {
				lastReport = status.At.Sub(instance.ReportedAt).Round(time.Second).String() + " ago"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%s\t%s\n", instance.Name, instance.Agent, instance.Running, orDash(instanceState(instance)),
				orDash(string(instance.Phase)), instance.Crashes, lastReport, instanceReasons(instance))
		}
	})
}

func instanceState(instance agentapi.InstanceStatus) string {
	switch {
	case instance.Silent:
		return "silent"
	case instance.Drained:
		return string(instance.State) + ", drained"
	}
	return string(instance.State)
}

// instanceReasons returns the reason for the instance's state, its view of the others and the gateways that can't reach
// it.
func instanceReasons(instance agentapi.InstanceStatus) string {
	var reasons []string
	for _, reason := range []string{instance.Reason, instance.MembershipView} {
		if reason != "" {
			reasons = append(reasons, reason)
		}
	}
	if len(instance.UnreachableFrom) > 0 {
		reasons = append(reasons, "not heard by "+strings.Join(instance.UnreachableFrom, " "))
	}
	return strings.Join(reasons, "; ")
}

func instancesCommand() *cobra.Command {
	return withJSON(agentVerb("instances", "List all instances and what each runs", "  elderctl instances", cobra.NoArgs,
		func(cmd *cobra.Command, client *agentapi.Client, _ []string) error {
			status, err := client.Status(cmd.Context())
			if err != nil {
				return err
			}
			return printResult(cmd, status.Instances, func(out io.Writer) {
				printStale(out, status.Stale)
				printInstances(out, status)
			})
		}))
}
