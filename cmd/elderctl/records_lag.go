package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
	"elderyard/internal/agentapi"
)

// agentsBehind names agents that are not known to have a version, the first few.
func agentsBehind(lag agentapi.RecordsLag, version uint64) (names []string) {
	more := 0
	for _, a := range lag.Agents {
		has := a.Status.Version >= version && (a.State == agentapi.RecordsInForce || a.State == agentapi.RecordsBehind)
		switch {
		case has || a.State == agentapi.RecordsNoReports:
		case len(names) < maxNamedAgents:
			names = append(names, fmt.Sprintf("%s (%s, version %d)", a.Agent, a.State, a.Status.Version))
		default:
			more++
		}
	}
	if more > 0 {
		names = append(names, fmt.Sprintf("%d more", more))
	}
	return names
}

func recordsLagCommand() *cobra.Command {
	return withJSON(agentVerb("lag", "Tell at which agents the newest records are in force, and who is behind, since when and why; exit status 7 if any is",
		"  elderctl records lag", cobra.NoArgs,
		func(cmd *cobra.Command, client *agent.Client, _ []string) error {
			lag, err := client.RecordsLag(cmd.Context())
			if err != nil {
				return err
			}
			if err := printResult(cmd, lag, func(out io.Writer) { printRecordsLag(out, lag, time.Now()) }); err != nil {
				return err
			}
			if lag.Stale != "" {
				return &exitError{exitUnreachable, fmt.Errorf("no leader answers: %s", lag.Stale)}
			}
			if !lag.Everywhere() {
				return &exitError{exitPartly, fmt.Errorf("version %d is not in force everywhere", lag.Version)}
			}
			return nil
		}))
}

func printRecordsLag(out io.Writer, lag agentapi.RecordsLag, now time.Time) {
	printStale(out, lag.Stale)
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "agent\tstate\tversion\tbehind for\tconfirmed\twhy")
		for _, a := range lag.Agents {
			behind := ""
			if a.Since != nil {
				behind = now.Sub(*a.Since).Round(time.Second).String()
			}
			confirmed := ""
			if a.ReportedAt != nil && a.Status.AgeSeconds != nil {
				age := now.Sub(*a.ReportedAt) + time.Duration(*a.Status.AgeSeconds*float64(time.Second))
				confirmed = max(0, age).Round(time.Second).String() + " ago"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", a.Agent, a.State, a.Status.Version, orDash(behind), orDash(confirmed), orDash(a.Status.Why))
		}
	})
	fmt.Fprintf(out, "version %d, digest %s: in force at %d of %d agents\n", lag.Version, lag.Digest, lag.InForce, len(lag.Agents))
}
