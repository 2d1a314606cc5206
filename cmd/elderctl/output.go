package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"golang.org/x/term"

	"elderyard/internal/files"
)

func withJSON(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().Bool("json", false, "as JSON")
	return cmd
}

// printResult writes a value for people or for programs.
func printResult(cmd *cobra.Command, v any, table func(io.Writer)) error {
	if as, err := cmd.Flags().GetBool("json"); err == nil && as {
		return writeJSON(cmd.OutOrStdout(), "-", v)
	}
	table(cmd.OutOrStdout())
	return nil
}

func table(out io.Writer, rows func(w io.Writer)) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	rows(w)
	w.Flush()
}

func printStale(out io.Writer, why string) {
	if why != "" {
		fmt.Fprintf(out, "%s\n", paint(out, yellow, "STALE: no leader answers ("+why+"); this is what the asked agent knows"))
	}
}

const (
	red    = "31"
	green  = "32"
	yellow = "33"
)

// paint colours text on a terminal.
func paint(out io.Writer, colour, text string) string {
	f, is := out.(*os.File)
	if !is || os.Getenv("NO_COLOR") != "" || os.Getenv("TERM") == "dumb" || !term.IsTerminal(int(f.Fd())) {
		return text
	}
	return "\x1b[" + colour + "m" + text + "\x1b[0m"
}

// writeJSON writes v to a file, whole or not at all, or to out for "-".
func writeJSON(out io.Writer, path string, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("json: %w", err)
	}
	text = append(text, '\n')
	if path == "-" {
		_, err := out.Write(text)
		return err
	}
	if err := files.Replace(path, text, 0o644); err != nil {
		return fmt.Errorf("json: %w", err)
	}
	return nil
}

func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
