package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"elderyard/internal/agentapi"
)

func auditCommand() *cobra.Command {
	return agentQuery("audit", "Read the log of changes, and the calls that the asked agent refused", "  elderctl audit", (*agentapi.Client).Audit, printAudit)
}

func printAudit(out io.Writer, log agentapi.Audit) {
	printStale(out, log.Stale)
	printTable(out, func(w io.Writer) {
		for _, event := range log.Changes {
			fmt.Fprintf(w, "%s\t%s\t%s\n", event.At.Local().Format(time.DateTime), event.Who, event.What)
		}
		for _, event := range log.Refused {
			fmt.Fprintf(w, "%s\t%s\trefused: %s\n", event.At.Local().Format(time.DateTime), event.Who, event.What)
		}
	})
}
