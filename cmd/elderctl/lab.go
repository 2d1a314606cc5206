package main

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/files"
	"elderyard/internal/lab"
	"elderyard/internal/lab/audit"
	"elderyard/internal/otlpfile"
)

// labFlags are the flags of 'elderctl lab'.
type labFlags struct {
	scenario  string // name or file
	site      lab.Site
	json      string // path; "-": standard output
	trace     string // path; "": no traces are collected
	rollupDir string // "": no rollups
}

func labCommand() *cobra.Command {
	var f labFlags
	cmd := &cobra.Command{
		Use:   "lab",
		Short: "Run a whole site on this machine under load and faults, and rule on it",
		Long: `Run a whole site on this machine: real gateways as processes among stand-ins on
loopback, under seeded load and scripted faults. At the end an auditor says from
what crossed the sockets whether the rules were kept. Flags that are given count
for more than the scenario.
` + exitHelp,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runLab(cmd, &f) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.scenario, "scenario", "quiet", "a scenario that ships (see 'elderctl lab list') or a file")
	flags.IntVar(&f.site.Gateways, "gateways", lab.DefaultGateways, "gateway processes")
	flags.IntVar(&f.site.Nodes, "nodes", lab.DefaultNodes, "backends")
	flags.Float64Var(&f.site.Rate, "rate", lab.DefaultRate, "requests a second inside the quotas")
	flags.DurationVar(&f.site.For, "for", lab.DefaultFor, "length of the load")
	flags.Uint64Var(&f.site.Seed, "seed", 1, "draws customers, arrivals and targets")
	flags.StringVar(&f.site.Gateway, "gateway", "", "the gateway's program; else the one beside this tool, else built from the checkout")
	flags.StringVar(&f.json, "json", "", "write the verdict to this file as JSON; - for standard output")
	flags.StringVar(&f.trace, "trace", "", "have a collector take all stories, and write them to this file at the end; see 'elderctl trace'")
	flags.StringVar(&f.rollupDir, "moments", "", "have the gateways count what they do by tenths of a second, in files in this folder; see 'elderctl lab read'")
	cmd.AddCommand(labListCommand(), labFaultsCommand(), labBenchCommand(), labReadCommand())
	return cmd
}

// merge returns the scenario's site, with values overridden by the flags that were set.
func (f *labFlags) merge(cmd *cobra.Command, site lab.Site) lab.Site {
	given := cmd.Flags().Changed
	if given("gateways") {
		site.Gateways = f.site.Gateways
	}
	if given("nodes") {
		site.Nodes = f.site.Nodes
	}
	if given("rate") {
		site.Rate = f.site.Rate
	}
	if given("for") {
		site.For = f.site.For
	}
	if given("seed") {
		site.Seed = f.site.Seed
	}
	site.Gateway = f.site.Gateway
	site.Export = site.Export || f.trace != ""
	return site
}

// openSite returns the scenario and the site to run, and creates the directory for its rollups. Errors are usage
// errors.
func (f *labFlags) openSite(cmd *cobra.Command) (lab.Scenario, lab.Site, error) {
	scenario, err := lab.FindScenario(f.scenario)
	if err != nil {
		return scenario, lab.Site{}, usageError(err)
	}
	site := f.merge(cmd, scenario.Site())
	if err := site.Check(); err != nil {
		return scenario, site, usageError(err)
	}
	if f.rollupDir == "" {
		return scenario, site, nil
	}
	if site.RollupDir, err = filepath.Abs(f.rollupDir); err != nil {
		return scenario, site, usageError(err)
	}
	return scenario, site, usageError(os.MkdirAll(site.RollupDir, 0o755))
}

func runLab(cmd *cobra.Command, flags *labFlags) error {
	scenario, site, err := flags.openSite(cmd)
	if err != nil {
		return err
	}
	out := progressOut(cmd, flags.json)
	view := newLabView(out, scenario.Name, scenario.About)
	site.Log = view.event
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	l, err := lab.Open(ctx, site)
	if err != nil {
		return operationError(err)
	}
	defer l.Close()
	if collector := l.Collector(); collector != nil {
		view.event("stories, while it runs: elderctl trace --from %s", collector.Links()[0].Address())
	}
	if err := playWithView(ctx, l, view); err != nil {
		return operationError(err)
	}
	verdict, cost := l.Verdict(), l.Cost()
	printVerdict(out, &verdict, cost)
	if flags.trace != "" {
		if err := writeTraces(out, l, flags.trace); err != nil {
			return operationError(err)
		}
	}
	if flags.json != "" {
		if err := writeJSON(cmd.OutOrStdout(), flags.json, newLabReport(scenario.Name, l.Site(), cost, verdict)); err != nil {
			return operationError(err)
		}
	}
	return verdictError(verdict.State())
}

// playWithView runs the lab's load and faults to their end while the view shows them. It returns after the last update
// of the view.
func playWithView(ctx context.Context, l *lab.Lab, view *labView) error {
	following, stop := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() { // ends with following
		defer close(ended)
		view.follow(following, l.Snapshot)
	}()
	err := l.Play(ctx)
	stop()
	<-ended
	return err
}

// verdictError returns the exit status for a verdict's state. The caller has printed the verdict.
func verdictError(state string) error {
	switch state {
	case "broken":
		return &exitError{exitRuleBroken, nil}
	case "void":
		return &exitError{exitNoVerdict, nil}
	}
	return nil
}

// labReport is the output of --json.
type labReport struct {
	Scenario string        `json:"scenario"`
	Seed     uint64        `json:"seed"`
	Gateways int           `json:"gateways"`
	Nodes    int           `json:"nodes"`
	Rate     float64       `json:"rate_per_s"`
	For      time.Duration `json:"for_ns"`
	State    string        `json:"state"` // kept, broken or void
	Cost     lab.Cost      `json:"lab"`   // of the lab itself
	Verdict  audit.Verdict `json:"verdict"`
}

func newLabReport(scenario string, site lab.Site, cost lab.Cost, verdict audit.Verdict) labReport {
	return labReport{scenario, site.Seed, site.Gateways, site.Nodes, site.Rate, site.For, verdict.State(), cost, verdict}
}

// writeTraces writes the collector's traces to a file and prints the trace with the most spans.
func writeTraces(out io.Writer, ended *lab.Lab, path string) error {
	var encoded bytes.Buffer
	if err := ended.Collector().Write(&encoded, ""); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	if err := files.Replace(path, encoded.Bytes(), 0o644); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	list, err := otlpfile.Read(&encoded)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	all := buildTraces(list)
	if len(all) == 0 {
		return nil
	}
	largest := slices.MaxFunc(all, func(a, b *traceTree) int { return cmp.Compare(a.spans, b.spans) })
	fmt.Fprintf(out, "\n%d stories are in %s; the one with the most to it:\n", len(all), path)
	return printTrace(out, largest)
}
