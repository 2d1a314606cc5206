package main

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"elderyard/capacity"
	"elderyard/internal/files"
)

// Paths of the files with the size and the slopes in a checkout.
const (
	defaultSize   = "docs/capacity/size.toml"
	defaultSlopes = "docs/capacity/slopes.json"
)

// capacityCommand returns the command that computes the requirements of a site of a given size.
func capacityCommand() *cobra.Command {
	var sizePath, slopesPath, page, curves string
	var asJSON, all bool
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Work out, from measured slopes, what a site of a size holds, sends and spends",
		Long: `Work out, from measured slopes, what a site of a size holds, sends and spends: by
role, beside its budget, with the verdict. The size and the slopes are files; a
slope that is not measured, or that does not reach so far, gives "not known".
The exit status is 0 whatever the verdicts are; programs read them with --json.
` + exitHelp,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			plan, err := readPlan(sizePath, slopesPath)
			if err != nil {
				return usageError(err)
			}
			if curves != "" {
				if err := files.Replace(curves, []byte(plan.CurvesSVG()), 0o644); err != nil {
					return operationError(fmt.Errorf("curves: %w", err))
				}
			}
			switch {
			case page != "":
				return fillPage(page, plan)
			case curves != "":
				return nil
			case asJSON:
				return operationError(writeJSON(cmd.OutOrStdout(), "-", plan))
			}
			printPlan(cmd.OutOrStdout(), plan, all)
			return nil
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&sizePath, "size", defaultSize, "the size, as TOML")
	flags.StringVar(&slopesPath, "slopes", defaultSlopes, "the measured slopes, as JSON")
	flags.BoolVar(&asJSON, "json", false, "as JSON")
	flags.BoolVar(&all, "all", false, "also the size, the slopes and the measures that a file of slopes may name")
	flags.StringVar(&page, "page", "", "write the tables into the marked blocks of this page, in place of printing them")
	flags.StringVar(&curves, "curves", "", "write a picture of the slopes to this file, as SVG, in place of printing")
	cmd.MarkFlagsMutuallyExclusive("json", "page")
	cmd.MarkFlagsMutuallyExclusive("json", "curves")
	return cmd
}

// readPlan computes the plan from a file with the size and one with the slopes.
func readPlan(sizePath, slopesPath string) (*capacity.Plan, error) {
	text, err := os.ReadFile(sizePath)
	if err != nil {
		return nil, fmt.Errorf("size: %w", err)
	}
	size, err := capacity.DecodeSize(sizePath, text)
	if err != nil {
		return nil, err
	}
	if text, err = os.ReadFile(slopesPath); err != nil {
		return nil, fmt.Errorf("slopes: %w", err)
	}
	slopes, err := capacity.DecodeSlopes(slopesPath, text)
	if err != nil {
		return nil, err
	}
	plan := capacity.Compute(size, slopes)
	return &plan, nil
}

// fillPage writes the tables into a page. The file is replaced atomically.
func fillPage(path string, plan *capacity.Plan) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return usageError(fmt.Errorf("page: %w", err))
	}
	filled, err := plan.FillPage(string(text))
	if err != nil {
		return usageError(fmt.Errorf("%s: %w", path, err))
	}
	return operationError(files.Replace(path, []byte(filled), 0o644))
}

// defaultTables are the tables that are printed without --all.
var defaultTables = map[string]bool{"roles": true, "records": true, "not-carried": true, "placement": true}

func printPlan(out io.Writer, plan *capacity.Plan, all bool) {
	for _, table := range plan.Tables() {
		if !all && !defaultTables[table.Name] {
			continue
		}
		fmt.Fprintf(out, "%s\n\n", table.Title)
		if len(table.Rows) == 0 {
			fmt.Fprintln(out, table.EmptyText)
		} else {
			printTable(out, func(w io.Writer) {
				fmt.Fprintln(w, strings.Join(table.Header, "\t"))
				for _, row := range table.Rows {
					fmt.Fprintln(w, strings.Join(row, "\t"))
				}
			})
		}
		fmt.Fprintln(out)
	}
	over, unknown := len(plan.RequirementsOverBudget()), len(plan.UnknownRequirements())
	fmt.Fprintf(out, "%d requirements: %d over their budget, %d not known\n", len(plan.Requirements), over, unknown)
}
