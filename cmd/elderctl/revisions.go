package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
	"elderyard/revisions"
)

func historyCommand() *cobra.Command {
	return agentQuery("history", "List the revisions, the newest first", "  elderctl history", (*agentapi.Client).Revisions, printHistory)
}

func printHistory(out io.Writer, history agentapi.Revisions) {
	printStale(out, history.Stale)
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "revision\tparent\tat\tauthor\tchecksum\tmessage")
		for _, r := range history.Revisions {
			mark := ""
			if r.Number == history.Desired {
				mark = " *"
			}
			fmt.Fprintf(w, "%d%s\t%d\t%s\t%s\t%.12s\t%s\n", r.Number, mark, r.Parent, r.At.Local().Format(time.DateTime), r.Author, r.Checksum, r.Message)
		}
	})
}

func showCommand() *cobra.Command {
	return withJSON(agentVerb("show REV", "Print a revision", "  elderctl show 12", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			number, err := parseRevisionNumber(args[0])
			if err != nil {
				return err
			}
			revision, err := client.Revision(cmd.Context(), number)
			if err != nil {
				return err
			}
			return printResult(cmd, revision, func(out io.Writer) { printRevision(out, revision) })
		}))
}

func printRevision(out io.Writer, r revisions.Revision) {
	fmt.Fprintf(out, "# revision %d on %d, by %s at %s: %s\n%s", r.Number, r.Parent, r.Author, r.At.Local().Format(time.DateTime), orDash(r.Message), r.Content.File)
	for name, overlay := range r.Content.Overlays {
		fmt.Fprintf(out, "\n# overlay of %s\n%s", name, overlay)
	}
}

func diffCommand() *cobra.Command {
	return withJSON(agentVerb("diff A B", "Show what separates two revisions", "  elderctl diff 11 12", cobra.ExactArgs(2),
		func(cmd *cobra.Command, client *agentapi.Client, args []string) error {
			var numbers [2]uint64
			for i, text := range args {
				var err error
				if numbers[i], err = parseRevisionNumber(text); err != nil {
					return err
				}
			}
			var contents [2]revisions.Content
			for i, number := range numbers {
				revision, err := client.Revision(cmd.Context(), number)
				if err != nil {
					return err
				}
				contents[i] = revision.Content
			}
			diff := diffContents("revision "+args[0], "revision "+args[1], contents[0], contents[1])
			return printResult(cmd, map[string]string{"diff": diff}, func(out io.Writer) { printDiff(out, diff) })
		}))
}

// parseRevisionNumber parses a revision number. 0 is invalid, since it stands for no revision.
func parseRevisionNumber(text string) (uint64, error) {
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 {
		return 0, usageError(fmt.Errorf("%q is no revision's number", text))
	}
	return number, nil
}

// newestRevision returns the newest revision with its content, and the status it was taken from. On a site without
// revisions, the number is 0. It fails without a leader, since an agent's own copy may lack the newest revision.
func newestRevision(ctx context.Context, client *agentapi.Client) (revisions.Revision, agentapi.Status, error) {
	status, err := client.Status(ctx)
	if err != nil {
		return revisions.Revision{}, status, err
	}
	if status.Stale != "" {
		return revisions.Revision{}, status, noLeaderError(status.Stale)
	}
	if status.Head == 0 {
		return revisions.Revision{}, status, nil
	}
	newest, err := client.Revision(ctx, status.Head)
	return newest, status, err
}

// noLeaderError returns the error of a command that needs the leader, with the reason why none responds.
func noLeaderError(why string) error {
	return &exitError{exitUnreachable, fmt.Errorf("no leader answers: %s", why)}
}
