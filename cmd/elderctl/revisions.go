package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
	"elderyard/revisions"
)

func parseRevisionNumber(text string) (uint64, error) {
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, usageError(fmt.Errorf("%q is no revision's number", text))
	}
	return n, nil
}

func historyCommand() *cobra.Command {
	return withJSON(verb("history", "List the revisions, the newest first", "  elderctl history", cobra.NoArgs,
		func(cmd *cobra.Command, client *agent.Client, _ []string) error {
			l, err := client.Revisions(cmd.Context())
			if err != nil {
				return err
			}
			return printResult(cmd, l, func(out io.Writer) {
				printStale(out, l.Stale)
				table(out, func(w io.Writer) {
					fmt.Fprintln(w, "revision\tparent\tat\tauthor\tchecksum\tmessage")
					for _, r := range l.Revisions {
						mark := ""
						if r.Number == l.Wanted {
							mark = " *"
						}
						fmt.Fprintf(w, "%d%s\t%d\t%s\t%s\t%.12s\t%s\n", r.Number, mark, r.Parent, r.At.Local().Format(time.DateTime), r.Author, r.Checksum, r.Message)
					}
				})
			})
		}))
}

func showCommand() *cobra.Command {
	return withJSON(verb("show REV", "Print a revision", "  elderctl show 12", cobra.ExactArgs(1),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
			n, err := parseRevisionNumber(args[0])
			if err != nil {
				return err
			}
			r, err := client.Revision(cmd.Context(), n)
			if err != nil {
				return err
			}
			return printResult(cmd, r, func(out io.Writer) {
				fmt.Fprintf(out, "# revision %d on %d, by %s at %s: %s\n%s", r.Number, r.Parent, r.Author, r.At.Local().Format(time.DateTime), dashIfEmpty(r.Message), r.Content.File)
				for name := range r.Content.Overlays {
					fmt.Fprintf(out, "\n# overlay of %s\n%s", name, r.Content.Overlays[name])
				}
			})
		}))
}

func diffCommand() *cobra.Command {
	return withJSON(verb("diff A B", "Show what separates two revisions", "  elderctl diff 11 12", cobra.ExactArgs(2),
		func(cmd *cobra.Command, client *agent.Client, args []string) error {
			var list [2]revisions.Revision
			for i, a := range args {
				var err error
				if list[i].Number, err = parseRevisionNumber(a); err != nil {
					return err
				}
			}
			for i := range list {
				var err error
				if list[i], err = client.Revision(cmd.Context(), list[i].Number); err != nil {
					return err
				}
			}
			text := diffContents("revision "+args[0], "revision "+args[1], list[0].Content, list[1].Content)
			return printResult(cmd, map[string]string{"diff": text}, func(out io.Writer) { printDiff(out, text) })
		}))
}

// newestRevision is the newest revision, whole; its number is 0 on a new site.
func newestRevision(ctx context.Context, client *agent.Client) (revisions.Revision, agent.Status, error) {
	s, err := client.Status(ctx)
	if err != nil {
		return revisions.Revision{}, s, err
	}
	if s.Stale != "" {
		return revisions.Revision{}, s, &exitError{exitUnreachable, fmt.Errorf("no leader answers: %s", s.Stale)}
	}
	if s.Head == 0 {
		return revisions.Revision{}, s, nil
	}
	r, err := client.Revision(ctx, s.Head)
	return r, s, err
}
