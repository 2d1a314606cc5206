package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"elderyard/internal/lab"
)

// scenarioLine is one scenario of `elderctl lab list`.
type scenarioLine struct {
	Name     string `json:"name"`
	About    string `json:"about"`
	Provokes string `json:"provokes"`
}

func labListCommand() *cobra.Command {
	return listCommand("list", "Show the scenarios that ship and what each provokes",
		func() (lines []scenarioLine, err error) {
			list, err := lab.Scenarios()
			for _, s := range list {
				lines = append(lines, scenarioLine{s.Name, s.About, s.Provokes})
			}
			return lines, err
		},
		func(out io.Writer, lines []scenarioLine) error {
			for _, s := range lines {
				if _, err := fmt.Fprintf(out, "%-16s %s\n%-16s provokes: %s\n", s.Name, s.About, "", s.Provokes); err != nil {
					return err
				}
			}
			return nil
		})
}

func labFaultsCommand() *cobra.Command {
	return listCommand("faults", "Show the faults that a scenario can script, and its other keys",
		func() ([]lab.FaultKind, error) { return lab.FaultKinds(), nil },
		func(out io.Writer, list []lab.FaultKind) error {
			w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
			for _, k := range list {
				about := k.About
				if k.NeedsFor {
					about += " (needs 'for')"
				}
				if k.Size != "" {
					about += "; size: " + k.Size
				}
				fmt.Fprintf(w, "%s\t%s\t%s\n", k.Name, k.Strikes, about)
			}
			fmt.Fprintln(w, "\nKeys of a scenario's file:")
			for _, k := range lab.ScenarioKeys() {
				fmt.Fprintf(w, "%s\t\t%s\n", k[0], k[1])
			}
			return w.Flush()
		})
}
