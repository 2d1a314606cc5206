package main

import (
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
	"time"

	"github.com/spf13/cobra"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"

	"elderyard/internal/otlpfile"
)

const (
	fetchTimeout    = 30 * time.Second
	maxFetchBytes   = 256 << 20
	maxListedTraces = 200
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
			list, id, err := readTraces(cmd.Context(), from, args)
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
			return printTraces(cmd.OutOrStdout(), buildTraces(list), id)
		},
	}
	cmd.Flags().StringVar(&from, "from", "", "read from this address in place of a file")
	cmd.Flags().BoolVar(&asJSON, "json", false, "as lines of OTLP's JSON")
	return cmd
}

// readTraces reads the spans whose trace ID starts with the ID in the arguments, or all spans without an ID. It reads
// from the address if there is one, otherwise from the file in the arguments.
func readTraces(ctx context.Context, from string, args []string) (list []*trace.ResourceSpans, id string, err error) {
	maxArgs := 2
	if from != "" {
		maxArgs = 1
	}
	if len(args) > maxArgs || from == "" && len(args) == 0 {
		return nil, "", usageError(errors.New("name a file, or an address with --from, and at most one id"))
	}
	if len(args) == maxArgs {
		id = strings.ToLower(args[maxArgs-1])
		if strings.Trim(id, "0123456789abcdef") != "" || len(id) > 32 {
			return nil, "", usageError(fmt.Errorf("%q is no beginning of a trace id, which is 32 hexadecimal digits", args[maxArgs-1]))
		}
	}
	if from != "" {
		list, err = fetchTraces(ctx, from, id)
		return filterByID(list, id), id, err
	}
	file, err := os.Open(args[0])
	if err != nil {
		return nil, "", usageError(err)
	}
	defer file.Close()
	if list, err = otlpfile.Read(file); err != nil {
		return nil, "", usageError(fmt.Errorf("%s: %w", args[0], err))
	}
	return filterByID(list, id), id, nil
}

// fetchTraces fetches the spans from a collector.
func fetchTraces(ctx context.Context, from, id string) ([]*trace.ResourceSpans, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	address := "http://" + strings.TrimPrefix(from, "http://") + "/stories?id=" + url.QueryEscape(id)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
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
	list, err := otlpfile.Read(io.LimitReader(resp.Body, maxFetchBytes))
	if err != nil {
		return nil, operationError(fmt.Errorf("%s: %w", from, err))
	}
	return list, nil
}

// filterByID removes the spans whose trace ID does not start with id, and scopes and resources without other spans.
func filterByID(list []*trace.ResourceSpans, id string) (matching []*trace.ResourceSpans) {
	for _, rs := range list {
		for _, ss := range rs.ScopeSpans {
			ss.Spans = slices.DeleteFunc(ss.Spans, func(s *trace.Span) bool { return !strings.HasPrefix(hex.EncodeToString(s.TraceId), id) })
		}
		rs.ScopeSpans = slices.DeleteFunc(rs.ScopeSpans, func(ss *trace.ScopeSpans) bool { return len(ss.Spans) == 0 })
		if len(rs.ScopeSpans) > 0 {
			matching = append(matching, rs)
		}
	}
	return matching
}
