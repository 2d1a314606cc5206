package main

import (
	"fmt"
	"io"
	"time"

	"elderyard/internal/lab"
	"elderyard/internal/lab/audit"
)

// printVerdict prints the auditor's verdict on a finished lab, and the resources that the lab itself used.
func printVerdict(out io.Writer, verdict *audit.Verdict, cost lab.Cost) {
	printService(out, verdict)
	printOutcomes(out, &verdict.Counts)
	printOveruse(out, verdict)
	printProcessesAndRules(out, verdict)
	printEvidence(out, verdict.Findings)
	if verdict.Counts.LateWindows > 0 {
		fmt.Fprintf(out, "the machine ran late in %d moments, the first: %s\n", verdict.Counts.LateWindows, verdict.Late[0])
	}
	if verdict.Lost > 0 {
		fmt.Fprintf(out, "%d records found no room: no verdict on what they held\n", verdict.Lost)
	}
	fmt.Fprintf(out, "the lab itself took %.1f s of CPU (%.2f cores) and %.0f MB\nverdict: %s\n", cost.CPU.Seconds(), cost.Cores, cost.PeakMB, verdict.State())
}

// printService prints the service level in total, by class and by plan.
func printService(out io.Writer, verdict *audit.Verdict) {
	fmt.Fprintf(out, "\nservice %.3f of the worth asked for inside the quotas\n", verdict.Service)
	for _, list := range [][]audit.Service{verdict.Classes, verdict.Plans} {
		for _, service := range list {
			fmt.Fprintf(out, "  %s %.3f", service.Name, service.Share())
		}
		fmt.Fprintln(out)
	}
}

// printOutcomes prints the outcomes of requests and limit commands.
func printOutcomes(out io.Writer, counts *audit.Counts) {
	fmt.Fprintf(out, "%d first tries, %d tries, %d attempts; ", counts.First, counts.Tries, counts.Attempts)
	for _, outcome := range []audit.Outcome{audit.Served, audit.Refused, audit.Failed, audit.NoAnswer, audit.Closed, audit.NotTaken, audit.Unfinished} {
		if counts.Outcomes[outcome] > 0 {
			fmt.Fprintf(out, "%d %s, ", counts.Outcomes[outcome], outcome)
		}
	}
	fmt.Fprintf(out, "%d excused by a fault of a gateway's own, %d bad requests\n", counts.Excused, counts.Bad)
	if counts.Takes > 0 {
		fmt.Fprintf(out, "%d limit commands, %g units granted by them; %d answers from a local share\n", counts.Takes, counts.Granted, counts.Local)
	}
}

// printOveruse prints the account that exceeded its quota the most, and the cost of use beyond the quotas.
func printOveruse(out io.Writer, verdict *audit.Verdict) {
	if worst := verdict.Worst; worst.Plan != "" && worst.Units > 0 {
		fmt.Fprintf(out, "furthest beyond a quota: account %016x (%s), %.1f units or %.0f%% of the %.1f allowed between %.1f and %.1f s\n",
			worst.Customer, worst.Plan, worst.Units, worst.Percent, worst.Allowed, worst.From.Seconds(), worst.To.Seconds())
	} else {
		fmt.Fprintln(out, "no account went beyond its quota")
	}
	cost := 0.0
	for _, plan := range verdict.Beyond {
		fmt.Fprintf(out, "beyond quotas: %s %.1f of %.0f units; ", plan.Plan, plan.Beyond, plan.Units)
		cost += plan.Cost
	}
	fmt.Fprintf(out, "they cost %.4f of the worth asked for inside\n", cost)
}

// printProcessesAndRules prints the resource usage of the gateways and the state of each rule in one table. The two
// parts are aligned independently, since an empty line ends a column.
func printProcessesAndRules(out io.Writer, verdict *audit.Verdict) {
	printTable(out, func(w io.Writer) {
		fmt.Fprintln(w, "gateway\ttaken\tCPU\ta request\tpeak MB\tdescriptors")
		for _, process := range verdict.Processes {
			perRequest := time.Duration(0)
			if process.Requests > 0 {
				perRequest = process.CPU / time.Duration(process.Requests)
			}
			fmt.Fprintf(w, "%s\t%d\t%.2f s\t%v\t%.1f\t%d\n", process.Gateway, process.Requests, process.CPU.Seconds(), perRequest.Round(time.Microsecond),
				process.PeakMB, process.Files)
		}
		fmt.Fprintln(w)
		for _, finding := range verdict.Findings {
			fmt.Fprintf(w, "%s\t%s\n", finding.Rule, ruleState(finding))
		}
	})
}

func ruleState(finding audit.Finding) string {
	switch {
	case finding.Broken > 0:
		return fmt.Sprintf("BROKEN %d times", finding.Broken)
	case finding.Void > 0:
		return fmt.Sprintf("void, %d could not be ruled on", finding.Void)
	}
	return "kept"
}

// printEvidence prints the evidence for broken rules, and the cases that the auditor could not decide.
func printEvidence(out io.Writer, findings []audit.Finding) {
	for _, finding := range findings {
		for _, e := range finding.Evidence {
			fmt.Fprintf(out, "  %s, %s\n", finding.Rule, formatEvidence(e))
		}
		for _, e := range finding.Voided {
			fmt.Fprintf(out, "  void: %s, %s\n", finding.Rule, formatEvidence(e))
		}
	}
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
