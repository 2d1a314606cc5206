package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"elderyard/rollup"
)

const maxRollupLineBytes = 4 << 10 // bytes

// readFlags are what `elderctl lab read` is asked.
type readFlags struct {
	every time.Duration
	from  time.Duration
	until time.Duration
	json  bool
}

func labReadCommand() *cobra.Command {
	var f readFlags
	cmd := &cobra.Command{
		Use:   "read DIR",
		Short: "Add up, over all gateways, what they counted by tenths of a second",
		Long: `Add up what gateways counted ('elderctl lab --moments DIR', or [moments] in the
operator's file) over all of them. First a line for each kind: its sum, how many
a second, the most in one span and when, how far it comes in step (1: by chance;
more: many at once), how uneven it is (what the busiest gateway counts over the
mean) and how long after the first gateway nine in ten had counted one. Then a
line for each span.
` + exitHelp,
		Example: "  elderctl lab --gateways 12 --moments counts && elderctl lab read counts --every 1s",
		Args:    exactArgs(1),
		RunE:    func(cmd *cobra.Command, args []string) error { return runRead(cmd, args[0], &f) },
	}
	fl := cmd.Flags()
	fl.DurationVar(&f.every, "every", time.Second, "length of a span; 10ms at least")
	fl.DurationVar(&f.from, "from", 0, "leave out what came before this time after the first line")
	fl.DurationVar(&f.until, "until", 0, "and what came from this time on; 0: nothing")
	fl.BoolVar(&f.json, "json", false, "as JSON")
	return cmd
}

func runRead(cmd *cobra.Command, dir string, f *readFlags) error {
	if f.every < 10*time.Millisecond {
		return usageError(fmt.Errorf("--every %v is under 10ms", f.every))
	}
	lines, err := readRollups(dir)
	if err != nil {
		return usageError(err)
	}
	site, err := rollup.Sum(selectLines(lines, f.from.Seconds(), f.until.Seconds()), f.every.Seconds())
	if err != nil {
		return usageError(err)
	}
	if f.json {
		return operationError(writeJSON(cmd.OutOrStdout(), "-", site))
	}
	return operationError(printRollup(cmd.OutOrStdout(), &site))
}

// selectLines leaves out what lies before from and, unless that is 0, from until on: seconds after the first line.
func selectLines(lines []rollup.Line, from, until float64) (kept []rollup.Line) {
	if len(lines) == 0 {
		return nil
	}
	first := lines[0].At
	for i := range lines {
		first = min(first, lines[i].At)
	}
	for _, l := range lines {
		if at := l.At - first; at >= from && (until == 0 || at < until) {
			kept = append(kept, l)
		}
	}
	return kept
}

// readRollups reads the files of all gateways in a folder.
func readRollups(dir string) (lines []rollup.Line, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.moments"))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("%s holds no file *.moments", dir)
	}
	for _, path := range paths {
		if lines, err = readRollupFile(lines, path); err != nil {
			return nil, err
		}
	}
	return lines, nil
}

// readRollupFile appends the lines of one file. A last line without its end is what a gateway was killed at, and left
// out.
func readRollupFile(lines []rollup.Line, path string) ([]rollup.Line, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	r := bufio.NewReaderSize(f, maxRollupLineBytes)
	for n := 1; ; n++ {
		text, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return lines, nil
		case err != nil:
			return nil, fmt.Errorf("%s, line %d: %w", path, n, err)
		}
		var l rollup.Line
		d := json.NewDecoder(bytes.NewReader(text))
		d.DisallowUnknownFields()
		if err := d.Decode(&l); err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", path, n, err)
		}
		if l.At <= 0 || l.Gateway == "" {
			return nil, fmt.Errorf("%s, line %d: it names no time or no gateway", path, n)
		}
		lines = append(lines, l)
	}
}

func printRollup(out io.Writer, s *rollup.Site) error {
	fmt.Fprintf(out, "%d gateways, %.1f s\n\n", s.Gateways, s.Seconds)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "kind\tsum\ta second\tpeak\tat\tin step\tuneven\t9 in 10 after\t")
	for _, k := range s.Totals {
		fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%.0f\t%.1fs\t%.1f\t%.1f\t%.1fs\t\n", k.Counter, k.Sum, k.PerSecond, k.Peak, k.PeakAt, k.Dispersion, k.PeakToMean, k.SpreadTime)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	fmt.Fprint(w, "at\tactive\t")
	for _, k := range rollup.Counters {
		fmt.Fprintf(w, "%s\t", k.Name)
	}
	fmt.Fprintln(w)
	for _, at := range s.Intervals {
		fmt.Fprintf(w, "%.1fs\t%d\t", at.At, at.Active)
		for _, k := range rollup.Counters {
			fmt.Fprintf(w, "%.0f\t", at.Counts[k.Name])
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
