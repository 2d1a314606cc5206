package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/peers"
	"elderyard/members"
)

// evidenceLine is one piece of evidence that a gateway has about a member.
type evidenceLine struct {
	Age         time.Duration       `json:"ago_ns"`
	LearnedBy   string              `json:"learned_by"`
	Name        string              `json:"name"`
	Incarnation members.Incarnation `json:"life,omitempty"`
	What        string              `json:"what"`
	Source      string              `json:"by,omitempty"` // the member that reported it
}

func whyPeer(cmd *cobra.Command, addresses, args []string) error {
	if err := members.CheckName(args[0]); err != nil {
		return usageError(err)
	}
	all := peers.QueryAllEvidence(cmd.Context(), addresses, args[0])
	lines := evidenceLines(all)
	err := printResult(cmd, lines, func(out io.Writer) {
		printTable(out, func(w io.Writer) {
			fmt.Fprintln(w, "ago\tlearned by\twhat of "+args[0]+"\tfrom\tlife")
			for _, line := range lines {
				fmt.Fprintf(w, "%v\t%s\t%s\t%s\t%d\n", line.Age.Round(ageResolution), line.LearnedBy, line.What, orDash(line.Source), line.Incarnation)
			}
		})
	})
	return cmp.Or(err, peersExitError(all))
}

// evidenceLines returns the evidence of all gateways, newest first. Ages are measured by each gateway's own clock.
func evidenceLines(all []peers.QueryResult) []evidenceLine {
	lines := []evidenceLine{}
	for _, result := range all {
		report := result.Evidence
		if report == nil {
			continue
		}
		for _, e := range report.Evidence {
			lines = append(lines, evidenceLine{report.At - e.At, report.Self, e.Name, e.Incarnation, e.What, e.By})
		}
	}
	slices.SortStableFunc(lines, func(a, b evidenceLine) int { return cmp.Compare(a.Age, b.Age) })
	return lines
}
