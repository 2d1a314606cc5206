package main

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	common "go.opentelemetry.io/proto/otlp/common/v1"

	"elderyard/internal/otlpfile"
)

func attribute(attrs []*common.KeyValue, key string) string {
	for _, a := range attrs {
		if a.Key == key {
			return plainText(otlpfile.Text(a.Value))
		}
	}
	return ""
}

// plainText takes out what would move a terminal's cursor: spans may hold what clients sent.
func plainText(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return '?'
		}
		return r
	}, s)
}

func printTraces(out io.Writer, all []*traceTree, id string) error {
	if len(all) == 0 {
		if id == "" {
			return operationError(errors.New("there are no stories"))
		}
		return operationError(fmt.Errorf("there is no story whose id begins with %s", id))
	}
	if id != "" && len(all) == 1 {
		return operationError(printTrace(out, all[0]))
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "trace\ttook\tspans\tprocesses\trequest\tended")
	for i, s := range all {
		if i == maxListedTraces {
			fmt.Fprintf(w, "and %d more\n", len(all)-i)
			break
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", s.id, formatSpan(s.from, s.to), s.spans, strings.Join(s.processes, " "), plainText(s.what), s.last)
	}
	return operationError(w.Flush())
}

func formatSpan(from, to uint64) string {
	return fmt.Sprintf("%.3f s", float64(max(to, from)-from)/1e9)
}

// printTrace prints one story as a tree, with times from its beginning.
func printTrace(out io.Writer, s *traceTree) error {
	fmt.Fprintf(out, "trace %s: %s, %d spans of %s\n", s.id, formatSpan(s.from, s.to), s.spans, strings.Join(s.processes, " and "))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, r := range s.roots {
		printSpan(w, s.from, r, "", "")
	}
	return w.Flush()
}

func printSpan(w io.Writer, from uint64, s *spanNode, branch, indent string) {
	fmt.Fprintf(w, "+%s\t%s\t%s\t%s%s\t%s\n", formatSpan(from, s.StartTimeUnixNano), formatSpan(s.StartTimeUnixNano, s.EndTimeUnixNano), s.process,
		branch, plainText(s.Name), strings.Join(spanDetails(s), ", "))
	for i, b := range s.children {
		if i == len(s.children)-1 {
			printSpan(w, from, b, indent+"└ ", indent+"  ")
		} else {
			printSpan(w, from, b, indent+"├ ", indent+"│ ")
		}
	}
}

// spanDetails are what a person wants to know of a span.
func spanDetails(s *spanNode) (list []string) {
	add := func(key, format string) {
		if v := attribute(s.Attributes, key); v != "" && v != "false" && v != "0" {
			list = append(list, strings.ReplaceAll(format, "%", v))
		}
	}
	add("server.address", "backend %")
	add("elderyard.zone", "zone %")
	add("elderyard.outcome", "%")
	add("http.response.status_code", "status %")
	if attribute(s.Attributes, "elderyard.never_ran") == "true" {
		list = append(list, "it never ran")
	}
	add("elderyard.plan", "plan %")
	add("elderyard.units", "units %")
	if attribute(s.Attributes, "elderyard.request.repeated") == "true" {
		list = append(list, "another try")
	}
	add("elderyard.retry_after_s", "come back after % s")
	add("elderyard.kept.why", "kept: %")
	return list
}
