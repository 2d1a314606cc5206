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

const maxRollupLineBytes = 4 << 10

// readFlags are the flags of 'elderctl lab read'. From and until are relative to the first line; until 0 means the end.
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
	flags := cmd.Flags()
	flags.DurationVar(&f.every, "every", time.Second, "length of a span; 10ms at least")
	flags.DurationVar(&f.from, "from", 0, "leave out what came before this time after the first line")
	flags.DurationVar(&f.until, "until", 0, "and what came from this time on; 0: nothing")
	flags.BoolVar(&f.json, "json", false, "as JSON")
	return cmd
}

func runRead(cmd *cobra.Command, dir string, flags *readFlags) error {
	if flags.every < 10*time.Millisecond {
		return usageError(fmt.Errorf("--every %v is under 10ms", flags.every))
	}
	lines, err := readRollups(dir)
	if err != nil {
		return usageError(err)
	}
	site, err := rollup.Sum(selectLines(lines, flags.from.Seconds(), flags.until.Seconds()), flags.every.Seconds())
	if err != nil {
		return usageError(err)
	}
	if flags.json {
		return operationError(writeJSON(cmd.OutOrStdout(), "-", site))
	}
	return operationError(printRollup(cmd.OutOrStdout(), &site))
}

// selectLines returns the lines in the interval [from, until) in seconds after the first line. Until 0 means no limit.
func selectLines(lines []rollup.Line, from, until float64) (selected []rollup.Line) {
	if len(lines) == 0 {
		return nil
	}
	first := lines[0].At
	for i := range lines {
		first = min(first, lines[i].At)
	}
	for _, line := range lines {
		if at := line.At - first; at >= from && (until == 0 || at < until) {
			selected = append(selected, line)
		}
	}
	return selected
}

// readRollups reads the rollup files of all gateways in a directory.
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

// readRollupFile appends the lines of one file. It ignores an incomplete last line, which a gateway leaves if it is
// killed while writing.
func readRollupFile(lines []rollup.Line, path string) ([]rollup.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	reader := bufio.NewReaderSize(file, maxRollupLineBytes)
	for number := 1; ; number++ {
		text, err := reader.ReadSlice('\n')
		switch {
		case errors.Is(err, io.EOF):
			return lines, nil
		case err != nil:
			return nil, fmt.Errorf("%s, line %d: %w", path, number, err)
		}
		var line rollup.Line
		decoder := json.NewDecoder(bytes.NewReader(text))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&line); err != nil {
			return nil, fmt.Errorf("%s, line %d: %w", path, number, err)
		}
		if line.At <= 0 || line.Gateway == "" {
			return nil, fmt.Errorf("%s, line %d: it names no time or no gateway", path, number)
		}
		lines = append(lines, line)
	}
}

// printRollup prints the totals of all counters, then their counts in each interval.
func printRollup(out io.Writer, site *rollup.Site) error {
	fmt.Fprintf(out, "%d gateways, %.1f s\n\n", site.Gateways, site.Seconds)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "kind\tsum\ta second\tpeak\tat\tin step\tuneven\t9 in 10 after\t")
	for _, total := range site.Totals {
		fmt.Fprintf(w, "%s\t%.0f\t%.1f\t%.0f\t%.1fs\t%.1f\t%.1f\t%.1fs\t\n", total.Counter, total.Sum, total.PerSecond, total.Peak, total.PeakAt, total.Dispersion,
			total.PeakToMean, total.SpreadTime)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintln(out)
	fmt.Fprint(w, "at\tactive\t")
	for _, counter := range rollup.Counters {
		fmt.Fprintf(w, "%s\t", counter.Name)
	}
	fmt.Fprintln(w)
	for _, interval := range site.Intervals {
		fmt.Fprintf(w, "%.1fs\t%d\t", interval.At, interval.Active)
		for _, counter := range rollup.Counters {
			fmt.Fprintf(w, "%.0f\t", interval.Counts[counter.Name])
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
