package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/lab"
)

func labBenchCommand() *cobra.Command {
	b := lab.Bench{}
	var path string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure the gateway next to the standard library's reverse proxy",
		Long: `Measure the gateway next to the standard library's httputil.ReverseProxy on the
same backends, each on one core, taking turns. Every turn has two parts: clients
that ask again as soon as they are answered, and a fixed rate. The ratios are of
turns next to each other; least, middle and most over all rounds are printed.
With --export a gateway that exports stories and metrics takes the gateway's place,
and one that does not the proxy's.
` + exitHelp,
		Args: noArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return operationError(err)
			}
			b.Proxy = func(listen string, backends []string) *exec.Cmd {
				return exec.Command(self, "reverse-proxy", "--listen", listen, "--backends", strings.Join(backends, ","))
			}
			out := cmd.OutOrStdout()
			if path == "-" {
				out = cmd.ErrOrStderr()
			}
			b.Log = func(format string, a ...any) { fmt.Fprintf(out, format+"\n", a...) }
			result, err := b.Run(cmd.Context())
			if err != nil {
				return operationError(err)
			}
			printRatios(out, &result)
			if path != "" {
				return operationError(writeJSON(cmd.OutOrStdout(), path, result))
			}
			return nil
		},
	}
	fl := cmd.Flags()
	fl.IntVar(&b.Rounds, "rounds", 5, "turns of each program")
	fl.DurationVar(&b.For, "for", 3*time.Second, "length of each part of a turn")
	fl.IntVar(&b.Clients, "clients", 64, "clients that ask at once")
	fl.Float64Var(&b.Rate, "rate", 1000, "requests a second in the second part")
	fl.StringVar(&b.Gateway, "gateway", "", "the gateway's program; else the one beside this tool, else built from the checkout")
	fl.StringVar(&b.Export, "export", "", "measure a gateway that exports next to one that does not: on, or dead for a collector that is not there")
	fl.StringVar(&path, "json", "", "write the figures to this file as JSON; - for standard output")
	return cmd
}

func printRatios(out io.Writer, r *lab.Result) {
	unserved, late := 0, 0
	for _, t := range r.Turns {
		unserved += t.Unserved
		late += t.LateClient
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "\n\tgateway (least, middle, most)\t%s\tratio\n", r.Against)
	show := func(s lab.Spread, unit string) string {
		return fmt.Sprintf("%.3g  %.3g  %.3g %s", s.Least, s.Middle, s.Most, unit)
	}
	for _, x := range r.Ratios {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", x.Figure, show(x.Gateway, x.Unit), show(x.Proxy, x.Unit), show(x.Ratio, ""))
	}
	w.Flush()
	fmt.Fprintf(out, "%d requests were not served; the machine ran late in %d moments\n", unserved, late)
}
