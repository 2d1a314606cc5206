package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
	"elderyard/internal/wait"
)

const (
	lagPollInterval = 200 * time.Millisecond
	maxNamedAgents  = 5 // in the error about agents that lack a version
)

func recordsLagCommand() *cobra.Command {
	return withJSON(agentVerb("lag", "Tell at which agents the newest records are in force, and who is behind, since when and why; exit status 7 if any is",
		"  elderctl records lag", cobra.NoArgs,
		func(cmd *cobra.Command, client *agentapi.Client, _ []string) error {
			lag, err := client.RecordsLag(cmd.Context())
			if err != nil {
				return err
			}
			if err := printResult(cmd, lag, func(out io.Writer) { printRecordsLag(out, lag, time.Now()) }); err != nil {
				return err
			}
			if lag.Stale != "" {
				return noLeaderError(lag.Stale)
			}
			if !lag.AllUpToDate() {
				return &exitError{exitPartial, fmt.Errorf("version %d is not in force everywhere", lag.Version)}
			}
			return nil
		}))
}

func printRecordsLag(out io.Writer, lag agentapi.RecordsLag, now time.Time) {
	printStale(out, lag.Stale)
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "agent\tstate\tversion\tbehind for\tconfirmed\twhy")
		for _, row := range lag.Agents {
			behind := ""
			if row.BehindSince != nil {
				behind = now.Sub(*row.BehindSince).Round(time.Second).String()
			}
			confirmed := ""
			if row.ReportedAt != nil && row.Status.AgeSeconds != nil {
				age := now.Sub(*row.ReportedAt) + time.Duration(*row.Status.AgeSeconds*float64(time.Second))
				confirmed = max(0, age).Round(time.Second).String() + " ago"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", row.Agent, row.State, row.Status.Version, orDash(behind), orDash(confirmed), orDash(row.Status.Reason))
		}
	})
	fmt.Fprintf(out, "version %d, digest %s: in force at %d of %d agents\n", lag.Version, lag.Digest, lag.UpToDate, len(lag.Agents))
}

// awaitVersion polls until the version is in force at every agent that reports its records. After the timeout it
// returns the error of the last call, or one that lists the agents that lack the version. Without a timeout it returns
// nil immediately.
func awaitVersion(ctx context.Context, client *agentapi.Client, version uint64, timeout time.Duration) error {
	if timeout <= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		lag, err := client.RecordsLag(ctx)
		behind := agentsBehind(lag, version)
		if err == nil && len(behind) == 0 {
			return nil
		}
		if !wait.For(ctx, lagPollInterval) {
			if err != nil {
				return err
			}
			return &exitError{exitPartial, fmt.Errorf("version %d is accepted, and not yet in force at %s", version, strings.Join(behind, ", "))}
		}
	}
}

// agentsBehind lists the agents that are not known to have a version: the first maxNamedAgents, then the number of
// others.
func agentsBehind(lag agentapi.RecordsLag, version uint64) (names []string) {
	unnamed := 0
	for _, row := range lag.Agents {
		current := row.Status.Version >= version && (row.State == agentapi.RecordsUpToDate || row.State == agentapi.RecordsBehind)
		switch {
		case current || row.State == agentapi.RecordsNoReports:
		case len(names) < maxNamedAgents:
			names = append(names, fmt.Sprintf("%s (%s, version %d)", row.Agent, row.State, row.Status.Version))
		default:
			unnamed++
		}
	}
	if unnamed > 0 {
		names = append(names, fmt.Sprintf("%d more", unnamed))
	}
	return names
}
