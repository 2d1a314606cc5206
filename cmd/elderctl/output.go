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

// withJSON adds the flag --json, which printResult and wantsJSON read.
func withJSON(cmd *cobra.Command) *cobra.Command {
	cmd.Flags().Bool("json", false, "as JSON")
	return cmd
}

// wantsJSON reports whether the command has a flag --json that is set.
func wantsJSON(cmd *cobra.Command) bool {
	wanted, err := cmd.Flags().GetBool("json")
	return err == nil && wanted
}

// printResult writes the result of a command to its standard output: as text, or the value as JSON if --json is set.
func printResult(cmd *cobra.Command, value any, printText func(io.Writer)) error {
	if wantsJSON(cmd) {
		return writeJSON(cmd.OutOrStdout(), "-", value)
	}
	printText(cmd.OutOrStdout())
	return nil
}

// printTable aligns the columns of rows, whose cells end with tabs.
func printTable(out io.Writer, rows func(w io.Writer)) {
	w := newTable(out)
	rows(w)
	w.Flush()
}

// newTable returns a writer that aligns cells which end with tabs. It writes to out when it is flushed.
func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 4, 2, ' ', 0) }

// progressOut returns the writer for the progress of a command that writes JSON to a path: standard error if the path
// is "-", otherwise standard output.
func progressOut(cmd *cobra.Command, jsonPath string) io.Writer {
	if jsonPath == "-" {
		return cmd.ErrOrStderr()
	}
	return cmd.OutOrStdout()
}

// printStale warns that the data below may be stale, with the reason. An empty reason means that it is current.
func printStale(out io.Writer, why string) {
	if why != "" {
		fmt.Fprintf(out, "%s\n", paint(out, yellow, "STALE: no leader answers ("+why+"); this is what the asked agent knows"))
	}
}

// Colours of paint, as the parameters of a terminal's escape sequence.
const (
	red    = "31"
	green  = "32"
	yellow = "33"
)

// paint returns the text in a colour if out shows colours, otherwise unchanged.
func paint(out io.Writer, colour, text string) string {
	if !showsColours(out) {
		return text
	}
	return "\x1b[" + colour + "m" + text + "\x1b[0m"
}

// showsColours reports whether out is a terminal, and NO_COLOR and TERM do not disable colours.
func showsColours(out io.Writer) bool {
	file, isFile := out.(*os.File)
	return isFile && os.Getenv("NO_COLOR") == "" && os.Getenv("TERM") != "dumb" && term.IsTerminal(int(file.Fd()))
}

// writeJSON writes a value to a file, which is replaced atomically, or to out if the path is "-".
func writeJSON(out io.Writer, path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
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

// orDash returns the text, or a dash for an empty cell of a table.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
