package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/lab"
)

func labBenchCommand() *cobra.Command {
	var bench lab.Bench
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
			bench.Proxy = func(listen string, backends []string) *exec.Cmd {
				return exec.Command(self, "reverse-proxy", "--listen", listen, "--backends", strings.Join(backends, ","))
			}
			out := progressOut(cmd, path)
			bench.Log = func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
			result, err := bench.Run(cmd.Context())
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
	flags := cmd.Flags()
	flags.IntVar(&bench.Rounds, "rounds", 5, "turns of each program")
	flags.DurationVar(&bench.For, "for", 3*time.Second, "length of each part of a turn")
	flags.IntVar(&bench.Clients, "clients", 64, "clients that ask at once")
	flags.Float64Var(&bench.Rate, "rate", 1000, "requests a second in the second part")
	flags.StringVar(&bench.Gateway, "gateway", "", "the gateway's program; else the one beside this tool, else built from the checkout")
	flags.StringVar(&bench.Export, "export", "", "measure a gateway that exports next to one that does not: on, or dead for a collector that is not there")
	flags.StringVar(&path, "json", "", "write the figures to this file as JSON; - for standard output")
	return cmd
}

// printRatios prints each metric of both programs with their ratio.
func printRatios(out io.Writer, result *lab.Result) {
	unserved, late := 0, 0
	for _, turn := range result.Turns {
		unserved += turn.Unserved
		late += turn.LateClient
	}
	printTable(out, func(w io.Writer) {
		fmt.Fprintf(w, "\n\tgateway (least, middle, most)\t%s\tratio\n", result.Against)
		for _, ratio := range result.Ratios {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", ratio.Figure, formatSpread(ratio.Gateway, ratio.Unit), formatSpread(ratio.Proxy, ratio.Unit), formatSpread(ratio.Ratio, ""))
		}
	})
	fmt.Fprintf(out, "%d requests were not served; the machine ran late in %d moments\n", unserved, late)
}

func formatSpread(s lab.Spread, unit string) string {
	return fmt.Sprintf("%.3g  %.3g  %.3g %s", s.Least, s.Middle, s.Most, unit)
}
