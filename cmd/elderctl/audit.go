package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agent"
)

func auditCommand() *cobra.Command {
	return withJSON(verb("audit", "Read the log of changes, and the calls that the asked agent refused", "  elderctl audit", cobra.NoArgs,
		func(cmd *cobra.Command, client *agent.Client, _ []string) error {
			l, err := client.Audit(cmd.Context())
			if err != nil {
				return err
			}
			return printResult(cmd, l, func(out io.Writer) {
				printStale(out, l.Stale)
				table(out, func(w io.Writer) {
					for _, e := range l.Changes {
						fmt.Fprintf(w, "%s\t%s\t%s\n", e.At.Local().Format(time.DateTime), e.Who, e.What)
					}
					for _, e := range l.Refused {
						fmt.Fprintf(w, "%s\t%s\trefused: %s\n", e.At.Local().Format(time.DateTime), e.Who, e.What)
					}
				})
			})
		}))
}
