package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"elderyard/internal/lab"
	"elderyard/internal/lab/audit"
)

// printVerdict is the summary at the end.
func printVerdict(out io.Writer, v *audit.Verdict, cost lab.Cost) {
	c := v.Counts
	fmt.Fprintf(out, "\nservice %.3f of the worth asked for inside the quotas\n", v.Service)
	for _, list := range [][]audit.Service{v.Classes, v.Plans} {
		for _, s := range list {
			fmt.Fprintf(out, "  %s %.3f", s.Name, s.Share())
		}
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "%d first tries, %d tries, %d attempts; ", c.First, c.Tries, c.Attempts)
	for _, o := range []audit.Outcome{audit.Served, audit.Refused, audit.Failed, audit.NoAnswer, audit.Closed, audit.NotTaken, audit.Unfinished} {
		if c.Outcomes[o] > 0 {
			fmt.Fprintf(out, "%d %s, ", c.Outcomes[o], o)
		}
	}
	fmt.Fprintf(out, "%d excused by a fault of a gateway's own, %d bad requests\n", c.Excused, c.Bad)
	if c.Takes > 0 {
		fmt.Fprintf(out, "%d limit commands, %g units granted by them; %d answers from a local share\n", c.Takes, c.Granted, c.Local)
	}
	if q := v.Worst; q.Plan != "" && q.Units > 0 {
		fmt.Fprintf(out, "furthest beyond a quota: account %016x (%s), %.1f units or %.0f%% of the %.1f allowed between %.1f and %.1f s\n",
			q.Customer, q.Plan, q.Units, q.Percent, q.Allowed, q.From.Seconds(), q.To.Seconds())
	} else {
		fmt.Fprintln(out, "no account went beyond its quota")
	}
	price := 0.0
	for _, p := range v.Beyond {
		fmt.Fprintf(out, "beyond quotas: %s %.1f of %.0f units; ", p.Plan, p.Beyond, p.Units)
		price += p.Cost
	}
	fmt.Fprintf(out, "they cost %.4f of the worth asked for inside\n", price)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "gateway\ttaken\tCPU\ta request\tpeak MB\tdescriptors")
	for _, p := range v.Processes {
		each := time.Duration(0)
		if p.Requests > 0 {
			each = p.CPU / time.Duration(p.Requests)
		}
		fmt.Fprintf(w, "%s\t%d\t%.2f s\t%v\t%.1f\t%d\n", p.Gateway, p.Requests, p.CPU.Seconds(), each.Round(time.Microsecond), p.PeakMB, p.Files)
	}
	fmt.Fprintln(w)
	for _, f := range v.Findings {
		state := "kept"
		switch {
		case f.Broken > 0:
			state = fmt.Sprintf("BROKEN %d times", f.Broken)
		case f.Void > 0:
			state = fmt.Sprintf("void, %d could not be ruled on", f.Void)
		}
		fmt.Fprintf(w, "%s\t%s\n", f.Rule, state)
	}
	w.Flush()
	for _, f := range v.Findings {
		for _, e := range f.Evidence {
			fmt.Fprintf(out, "  %s, %s\n", f.Rule, formatEvidence(e))
		}
		for _, e := range f.Voided {
			fmt.Fprintf(out, "  void: %s, %s\n", f.Rule, formatEvidence(e))
		}
	}
	if v.Counts.LateWindows > 0 {
		fmt.Fprintf(out, "the machine ran late in %d moments, the first: %s\n", v.Counts.LateWindows, v.Late[0])
	}
	if v.Lost > 0 {
		fmt.Fprintf(out, "%d records found no room: no verdict on what they held\n", v.Lost)
	}
	fmt.Fprintf(out, "the lab itself took %.1f s of CPU (%.2f cores) and %.0f MB\nverdict: %s\n", cost.CPU.Seconds(), cost.Cores, cost.PeakMB, v.State())
}

func formatEvidence(e audit.Evidence) string {
	text := fmt.Sprintf("at %.3f s", e.At.Seconds())
	for _, part := range [][2]string{{"request", e.Request}, {"gateway", e.Gateway}, {"backend", e.Backend}} {
		if part[1] != "" {
			text += ", " + part[0] + " " + part[1]
		}
	}
	return text + ": " + e.Text
}
