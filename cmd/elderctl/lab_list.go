package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"elderyard/internal/lab"
)

// scenarioLine is one scenario in the output of 'elderctl lab list'.
type scenarioLine struct {
	Name        string `json:"name"`
	Description string `json:"about"`
	Provokes    string `json:"provokes"`
}

func labListCommand() *cobra.Command {
	return listCommand("list", "Show the scenarios that ship and what each provokes",
		func() (lines []scenarioLine, err error) {
			scenarios, err := lab.Scenarios()
			for _, s := range scenarios {
				lines = append(lines, scenarioLine{s.Name, s.About, s.Provokes})
			}
			return lines, err
		},
		func(out io.Writer, lines []scenarioLine) error {
			for _, s := range lines {
				if _, err := fmt.Fprintf(out, "%-16s %s\n%-16s provokes: %s\n", s.Name, s.Description, "", s.Provokes); err != nil {
					return err
				}
			}
			return nil
		})
}

func labFaultsCommand() *cobra.Command {
	return listCommand("faults", "Show the faults that a scenario can script, and its other keys",
		func() ([]lab.FaultKind, error) { return lab.FaultKinds(), nil },
		printFaultKinds)
}

func printFaultKinds(out io.Writer, kinds []lab.FaultKind) error {
	w := newTable(out)
	for _, kind := range kinds {
		about := kind.About
		if kind.NeedsFor {
			about += " (needs 'for')"
		}
		if kind.Size != "" {
			about += "; size: " + kind.Size
		}
		fmt.Fprintf(w, "%s\t%s\t%s\n", kind.Name, kind.Strikes, about)
	}
	fmt.Fprintln(w, "\nKeys of a scenario's file:")
	for _, key := range lab.ScenarioKeys() {
		fmt.Fprintf(w, "%s\t\t%s\n", key[0], key[1])
	}
	return w.Flush()
}
