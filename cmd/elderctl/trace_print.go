package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	common "go.opentelemetry.io/proto/otlp/common/v1"

	"elderyard/internal/otlpfile"
)

// printTraces prints a list of traces, or the tree of the trace if an ID was given and only one matches.
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
	w := newTable(out)
	fmt.Fprintln(w, "trace\ttook\tspans\tprocesses\trequest\tended")
	for i, tree := range all {
		if i == maxListedTraces {
			fmt.Fprintf(w, "and %d more\n", len(all)-i)
			break
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", tree.id, formatSeconds(tree.start, tree.end), tree.spans, strings.Join(tree.processes, " "), plainText(tree.request), tree.outcome)
	}
	return operationError(w.Flush())
}

// formatSeconds formats the duration between two times in nanoseconds, 0 if to is before from.
func formatSeconds(from, to uint64) string {
	return fmt.Sprintf("%.3f s", float64(max(to, from)-from)/1e9)
}

// printTrace prints a trace as a tree, with times since its start.
func printTrace(out io.Writer, tree *traceTree) error {
	fmt.Fprintf(out, "trace %s: %s, %d spans of %s\n", tree.id, formatSeconds(tree.start, tree.end), tree.spans, strings.Join(tree.processes, " and "))
	w := newTable(out)
	for _, root := range tree.roots {
		printSpan(w, tree.start, root, "", "")
	}
	return w.Flush()
}

// printSpan prints a span prefixed with branch, and below it its children prefixed with indent.
func printSpan(w io.Writer, start uint64, span *spanNode, branch, indent string) {
	fmt.Fprintf(w, "+%s\t%s\t%s\t%s%s\t%s\n", formatSeconds(start, span.StartTimeUnixNano), formatSeconds(span.StartTimeUnixNano, span.EndTimeUnixNano), span.process,
		branch, plainText(span.Name), strings.Join(spanDetails(span), ", "))
	for i, child := range span.children {
		if i == len(span.children)-1 {
			printSpan(w, start, child, indent+"└ ", indent+"  ")
		} else {
			printSpan(w, start, child, indent+"├ ", indent+"│ ")
		}
	}
}

// spanDetails returns the attributes of a span for its line.
func spanDetails(span *spanNode) (list []string) {
	add := func(key, format string) {
		if v := attribute(span.Attributes, key); v != "" && v != "false" && v != "0" {
			list = append(list, strings.ReplaceAll(format, "%", v))
		}
	}
	add("server.address", "backend %")
	add("elderyard.zone", "zone %")
	add("elderyard.outcome", "%")
	add("http.response.status_code", "status %")
	if attribute(span.Attributes, "elderyard.never_ran") == "true" {
		list = append(list, "it never ran")
	}
	add("elderyard.plan", "plan %")
	add("elderyard.units", "units %")
	if attribute(span.Attributes, "elderyard.request.repeated") == "true" {
		list = append(list, "another try")
	}
	add("elderyard.retry_after_s", "come back after % s")
	add("elderyard.kept.why", "kept: %")
	return list
}

// attribute returns the value of an attribute as text without control characters, "" if it is missing.
func attribute(attrs []*common.KeyValue, key string) string {
	for _, a := range attrs {
		if a.Key == key {
			return plainText(otlpfile.FormatValue(a.Value))
		}
	}
	return ""
}

// plainText replaces control characters, which would move a terminal's cursor: spans may contain text from clients.
func plainText(s string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f || r >= 0x80 && r < 0xa0 {
			return '?'
		}
		return r
	}, s)
}
