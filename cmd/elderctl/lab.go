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

// labFlags are what `elderctl lab` is asked.
type labFlags struct {
	scenario string
	site     lab.Site
	json     string
	trace    string
	moments  string
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
	fl := cmd.Flags()
	fl.StringVar(&f.scenario, "scenario", "quiet", "a scenario that ships (see 'elderctl lab list') or a file")
	fl.IntVar(&f.site.Gateways, "gateways", lab.DefaultGateways, "gateway processes")
	fl.IntVar(&f.site.Nodes, "nodes", lab.DefaultNodes, "backends")
	fl.Float64Var(&f.site.Rate, "rate", lab.DefaultRate, "requests a second inside the quotas")
	fl.DurationVar(&f.site.For, "for", lab.DefaultFor, "length of the load")
	fl.Uint64Var(&f.site.Seed, "seed", 1, "draws customers, arrivals and targets")
	fl.StringVar(&f.site.Gateway, "gateway", "", "the gateway's program; else the one beside this tool, else built from the checkout")
	fl.StringVar(&f.json, "json", "", "write the verdict to this file as JSON; - for standard output")
	fl.StringVar(&f.trace, "trace", "", "have a collector take all stories, and write them to this file at the end; see 'elderctl trace'")
	fl.StringVar(&f.moments, "moments", "", "have the gateways count what they do by tenths of a second, in files in this folder; see 'elderctl lab read'")
	cmd.AddCommand(labListCommand(), labFaultsCommand(), labBenchCommand(), labReadCommand())
	return cmd
}

// merge lets the flags that were given count for more than the scenario.
func (f *labFlags) merge(cmd *cobra.Command, s lab.Site) lab.Site {
	given := cmd.Flags().Changed
	if given("gateways") {
		s.Gateways = f.site.Gateways
	}
	if given("nodes") {
		s.Nodes = f.site.Nodes
	}
	if given("rate") {
		s.Rate = f.site.Rate
	}
	if given("for") {
		s.For = f.site.For
	}
	if given("seed") {
		s.Seed = f.site.Seed
	}
	s.Gateway = f.site.Gateway
	s.Export = s.Export || f.trace != ""
	return s
}

// labReport is what --json writes.
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

func runLab(cmd *cobra.Command, f *labFlags) error {
	scenario, err := lab.FindScenario(f.scenario)
	if err != nil {
		return usageError(err)
	}
	site := f.merge(cmd, scenario.Site())
	if err := site.Check(); err != nil {
		return usageError(err)
	}
	if f.moments != "" {
		if site.RollupDir, err = filepath.Abs(f.moments); err != nil {
			return usageError(err)
		}
		if err := os.MkdirAll(site.RollupDir, 0o755); err != nil {
			return usageError(err)
		}
	}
	out := cmd.OutOrStdout()
	if f.json == "-" {
		out = cmd.ErrOrStderr()
	}
	view := newLabView(out, scenario.Name, scenario.About)
	site.Log = view.event
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	l, err := lab.Open(ctx, site)
	if err != nil {
		return operationError(err)
	}
	defer l.Close()
	if c := l.Collector(); c != nil {
		view.event("stories, while it runs: elderctl trace --from %s", c.Links()[0].Address())
	}
	shown := make(chan struct{})
	watching, stopWatching := context.WithCancel(ctx)
	go func() {
		defer close(shown)
		view.follow(watching, l.Snapshot)
	}()
	err = l.Play(ctx)
	stopWatching()
	<-shown
	if err != nil {
		return operationError(err)
	}
	v := l.Verdict()
	done, cost := l.Site(), l.Cost()
	printVerdict(out, &v, cost)
	if f.trace != "" {
		if err := writeTraces(out, l, f.trace); err != nil {
			return operationError(err)
		}
	}
	if f.json != "" {
		if err := writeJSON(cmd.OutOrStdout(), f.json, labReport{scenario.Name, done.Seed, done.Gateways, done.Nodes, done.Rate, done.For, v.State(), cost, v}); err != nil {
			return operationError(err)
		}
	}
	switch v.State() {
	case "broken":
		return &exitError{exitRule, nil}
	case "void":
		return &exitError{exitVoid, nil}
	}
	return nil
}

// writeTraces writes what the collector took to a file, and shows the story of the
// request that had the most to it.
func writeTraces(out io.Writer, l *lab.Lab, path string) error {
	var b bytes.Buffer
	if err := l.Collector().Write(&b, ""); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	if err := files.Replace(path, b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	list, err := otlpfile.Read(&b)
	if err != nil {
		return fmt.Errorf("trace: %w", err)
	}
	all := buildTraces(list)
	if len(all) == 0 {
		return nil
	}
	most := slices.MaxFunc(all, func(a, b *traceTree) int { return cmp.Compare(a.spans, b.spans) })
	fmt.Fprintf(out, "\n%d stories are in %s; the one with the most to it:\n", len(all), path)
	return printTrace(out, most)
}
