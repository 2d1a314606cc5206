package main

import (
	"cmp"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	common "go.opentelemetry.io/proto/otlp/common/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"

	"elderyard/internal/otlpfile"
)

const (
	fetchLimit = 30 * time.Second
	mostFetch  = 256 << 20 // bytes
	mostListed = 200       // stories of a list
)

func traceCommand() *cobra.Command {
	var from string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "trace [FILE] [ID]",
		Short: "Show one request's story as a tree, or list the stories there are",
		Long: `Show the story whose trace id begins with ID, from a file that holds lines of OTLP's
JSON or from an address that tells them, such as that of 'elderctl lab --trace'.
Without an ID the stories are listed, the longest first.
` + exitHelp,
		Example: "  elderctl trace stories.jsonl\n  elderctl trace stories.jsonl 4bf92f35\n  elderctl trace --from 127.0.0.1:4318 4bf92f35",
		RunE: func(cmd *cobra.Command, args []string) error {
			list, id, err := readStories(cmd.Context(), from, args)
			if err != nil {
				return err
			}
			if asJSON {
				for _, rs := range list {
					if err := otlpfile.Write(cmd.OutOrStdout(), []*trace.ResourceSpans{rs}); err != nil {
						return operationError(err)
					}
				}
				return nil
			}
			return printStories(cmd.OutOrStdout(), storiesOf(list), id)
		},
	}
	cmd.Flags().StringVar(&from, "from", "", "read from this address in place of a file")
	cmd.Flags().BoolVar(&asJSON, "json", false, "as lines of OTLP's JSON")
	return cmd
}

// readStories reads the spans that the arguments name, and the id that they ask for.
func readStories(ctx context.Context, from string, args []string) (list []*trace.ResourceSpans, id string, err error) {
	most := 2
	if from != "" {
		most = 1
	}
	if len(args) > most || from == "" && len(args) == 0 {
		return nil, "", usageError(errors.New("name a file, or an address with --from, and at most one id"))
	}
	if len(args) == most {
		id = strings.ToLower(args[most-1])
		if strings.Trim(id, "0123456789abcdef") != "" || len(id) > 32 {
			return nil, "", usageError(fmt.Errorf("%q is no beginning of a trace id, which is 32 hexadecimal digits", args[most-1]))
		}
	}
	if from != "" {
		list, err = fetchStories(ctx, from, id)
		return only(list, id), id, err
	}
	f, err := os.Open(args[0])
	if err != nil {
		return nil, "", usageError(err)
	}
	defer f.Close()
	if list, err = otlpfile.Read(f); err != nil {
		return nil, "", usageError(fmt.Errorf("%s: %w", args[0], err))
	}
	return only(list, id), id, nil
}

func fetchStories(ctx context.Context, from, id string) ([]*trace.ResourceSpans, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	at := "http://" + strings.TrimPrefix(from, "http://") + "/stories?id=" + url.QueryEscape(id)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return nil, usageError(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, &exitError{exitUnreachable, err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, operationError(fmt.Errorf("%s: %s", from, resp.Status))
	}
	list, err := otlpfile.Read(io.LimitReader(resp.Body, mostFetch))
	if err != nil {
		return nil, operationError(fmt.Errorf("%s: %w", from, err))
	}
	return list, nil
}

// only keeps the spans whose trace id begins so.
func only(list []*trace.ResourceSpans, id string) (kept []*trace.ResourceSpans) {
	for _, rs := range list {
		for _, ss := range rs.ScopeSpans {
			ss.Spans = slices.DeleteFunc(ss.Spans, func(s *trace.Span) bool { return !strings.HasPrefix(hex.EncodeToString(s.TraceId), id) })
		}
		rs.ScopeSpans = slices.DeleteFunc(rs.ScopeSpans, func(ss *trace.ScopeSpans) bool { return len(ss.Spans) == 0 })
		if len(rs.ScopeSpans) > 0 {
			kept = append(kept, rs)
		}
	}
	return kept
}

// storySpan is a span with the process that it is from, and what came below it.
type storySpan struct {
	*trace.Span
	process string
	below   []*storySpan
}

// oneStory is all spans of a trace.
type oneStory struct {
	id         string
	from, to   uint64
	spans      int
	processes  []string
	roots      []*storySpan // whose parent is not there, in order of time
	failed     bool
	last, what string // how the last of them ended, and what was asked
}

// storiesOf puts spans together, the stories that took longest first. Of a span that
// came twice one is kept, and spans that name each other as parents hang below nobody's.
func storiesOf(list []*trace.ResourceSpans) (all []*oneStory) {
	by := map[string]*oneStory{}
	spans := map[string]*storySpan{}
	var order []*storySpan
	for _, rs := range list {
		process := text(rs.GetResource().GetAttributes(), "service.instance.id")
		for _, ss := range rs.ScopeSpans {
			for _, s := range ss.Spans {
				key := string(s.TraceId) + string(s.SpanId)
				if spans[key] != nil {
					continue
				}
				n := &storySpan{Span: s, process: process}
				spans[key] = n
				order = append(order, n)
			}
		}
	}
	slices.SortStableFunc(order, func(a, b *storySpan) int { return cmp.Compare(a.StartTimeUnixNano, b.StartTimeUnixNano) })
	for _, n := range order {
		id := hex.EncodeToString(n.TraceId)
		s := by[id]
		if s == nil {
			s = &oneStory{id: id, from: n.StartTimeUnixNano}
			by[id] = s
			all = append(all, s)
		}
		s.spans++
		s.to = max(s.to, n.EndTimeUnixNano)
		s.failed = s.failed || n.Status.GetCode() == trace.Status_STATUS_CODE_ERROR
		if !slices.Contains(s.processes, n.process) {
			s.processes = append(s.processes, n.process)
		}
		parent := spans[string(n.TraceId)+string(n.ParentSpanId)]
		if parent == nil || len(n.ParentSpanId) == 0 || under(n, parent, spans) {
			s.roots = append(s.roots, n)
			s.what, s.last = n.Name, text(n.Attributes, "elderyard.outcome")
			continue
		}
		parent.below = append(parent.below, n)
	}
	slices.SortStableFunc(all, func(a, b *oneStory) int { return cmp.Compare(b.to-b.from, a.to-a.from) })
	return all
}

// under tells whether a span is its parent's own ancestor.
func under(n, parent *storySpan, spans map[string]*storySpan) bool {
	for range len(spans) {
		if parent == nil {
			return false
		}
		if parent == n {
			return true
		}
		parent = spans[string(parent.TraceId)+string(parent.ParentSpanId)]
	}
	return true
}

func text(attrs []*common.KeyValue, key string) string {
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

func printStories(out io.Writer, all []*oneStory, id string) error {
	if len(all) == 0 {
		if id == "" {
			return operationError(errors.New("there are no stories"))
		}
		return operationError(fmt.Errorf("there is no story whose id begins with %s", id))
	}
	if id != "" && len(all) == 1 {
		return operationError(printStory(out, all[0]))
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "trace\ttook\tspans\tprocesses\trequest\tended")
	for i, s := range all {
		if i == mostListed {
			fmt.Fprintf(w, "and %d more\n", len(all)-i)
			break
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%s\n", s.id, took(s.from, s.to), s.spans, strings.Join(s.processes, " "), plainText(s.what), s.last)
	}
	return operationError(w.Flush())
}

func took(from, to uint64) string {
	return fmt.Sprintf("%.3f s", float64(max(to, from)-from)/1e9)
}

// printStory prints one story as a tree, with times from its beginning.
func printStory(out io.Writer, s *oneStory) error {
	fmt.Fprintf(out, "trace %s: %s, %d spans of %s\n", s.id, took(s.from, s.to), s.spans, strings.Join(s.processes, " and "))
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, r := range s.roots {
		printSpan(w, s.from, r, "", "")
	}
	return w.Flush()
}

func printSpan(w io.Writer, from uint64, s *storySpan, branch, indent string) {
	fmt.Fprintf(w, "+%s\t%s\t%s\t%s%s\t%s\n", took(from, s.StartTimeUnixNano), took(s.StartTimeUnixNano, s.EndTimeUnixNano), s.process,
		branch, plainText(s.Name), strings.Join(details(s), ", "))
	for i, b := range s.below {
		if i == len(s.below)-1 {
			printSpan(w, from, b, indent+"└ ", indent+"  ")
		} else {
			printSpan(w, from, b, indent+"├ ", indent+"│ ")
		}
	}
}

// details are what a person wants to know of a span.
func details(s *storySpan) (list []string) {
	add := func(key, format string) {
		if v := text(s.Attributes, key); v != "" && v != "false" && v != "0" {
			list = append(list, strings.ReplaceAll(format, "%", v))
		}
	}
	add("server.address", "backend %")
	add("elderyard.zone", "zone %")
	add("elderyard.outcome", "%")
	add("http.response.status_code", "status %")
	if text(s.Attributes, "elderyard.never_ran") == "true" {
		list = append(list, "it never ran")
	}
	add("elderyard.plan", "plan %")
	add("elderyard.units", "units %")
	if text(s.Attributes, "elderyard.request.repeated") == "true" {
		list = append(list, "another try")
	}
	add("elderyard.retry_after_s", "come back after % s")
	add("elderyard.kept.why", "kept: %")
	return list
}
