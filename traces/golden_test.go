package traces

import (
	"fmt"
	"strings"
	"testing"

	"elderyard/internal/golden"
	"elderyard/rules"
)

// Pins the names of all exported spans, attributes and values, with a request for each outcome.
func TestGoldenSpans(t *testing.T) {
	client, ok := ParseContext([]string{"00-" + traceID + "-" + parentSpanID + "-01"}, []string{"a=1"})
	if !ok {
		t.Fatal("the trace context was not parsed")
	}
	attempt := func(number int, at float64, outcome rules.Outcome) []Event {
		return []Event{{Kind: AttemptStarted, At: at, Attempt: number, SpanID: SpanID{1, byte(number)}, Backend: "n1", Zone: "a", AdmittedAt: 10.1},
			{Kind: AttemptEnded, At: at + 0.25, Attempt: number, Outcome: outcome}}
	}
	var everyOutcome []Event
	for outcome := range OutcomeCount {
		everyOutcome = append(everyOutcome, attempt(outcome, 10.5+float64(outcome), rules.Outcome(outcome))...)
	}
	set := settings()
	set.SampleRatio = 0.5
	always := settings()
	always.AlwaysSample, always.SampleRatio = AlwaysSample{}, 1
	var out strings.Builder
	for _, tc := range []struct {
		about   string
		set     Settings
		request Request
		events  []Event
	}{
		{"an attempt of each outcome, asked for by the client", set, Request{ParentContext: client, Class: 1, Units: 2.5, RequestID: "id-1", HasIdempotencyKey: true, IsRetry: true, SentAt: 9.5},
			append(everyOutcome, Event{Kind: FinalResponse, At: 20, Status: 200})},
		{"late", set, Request{SentAt: 8}, append(attempt(0, 10.5, rules.Served), Event{Kind: FinalResponse, At: 11, Status: 200})},
		{"repeated", set, Request{SentAt: 10, IsRetry: true}, append(attempt(0, 10, rules.Served), Event{Kind: FinalResponse, At: 10.25, Status: 200})},
		{"share", always, Request{SentAt: 10}, append(attempt(0, 10, rules.Served), Event{Kind: FinalResponse, At: 10.25, Status: 200})},
		{"no quota", set, Request{SentAt: 10}, []Event{{Kind: FinalResponse, At: 10.5, Status: 429, Reason: rules.QuotaExceeded, RetryAfter: 0.5}}},
		{"no place", set, Request{SentAt: 10}, []Event{{Kind: FinalResponse, At: 10.5, Status: 429, Reason: rules.NoCapacity, AdmittedAt: 10.1}}},
		{"no answer", set, Request{SentAt: 10}, append(attempt(0, 10.2, rules.Overloaded), Event{Kind: FinalResponse, At: 10.5, Status: 429, Reason: rules.AttemptsFailed})},
		{"failed", set, Request{SentAt: 10}, append(attempt(0, 10.2, rules.Errored), Event{Kind: FinalResponse, At: 10.5, Status: 502})},
		{"the client left", always, Request{SentAt: 10}, []Event{{Kind: ClientDisconnected, At: 11}}},
	} {
		fmt.Fprintf(&out, "=== %s\n", tc.about)
		for i, s := range record(NewRecorder(tc.set, 1), tc.request, tc.events...) {
			fmt.Fprintf(&out, "span %d: %q kind %d state %q sampled %t, %.3f to %.3f, failed %t %q\n", i, s.Name, s.Kind, s.TraceState, s.Sampled, s.Start, s.End, s.Failed, s.Message)
			for _, a := range s.Attrs {
				fmt.Fprintf(&out, "  %s = %v (%T)\n", a.Key, a.Value, a.Value)
			}
		}
	}
	for kind := range EventKindCount {
		fmt.Fprintf(&out, "event kind %d: %s\n", kind, EventKind(kind))
	}
	for end := range EndCount {
		fmt.Fprintf(&out, "end %d: %s\n", end, End(end).Name())
	}
	for outcome := range OutcomeCount {
		fmt.Fprintf(&out, "outcome %d: %s\n", outcome, OutcomeName(rules.Outcome(outcome)))
	}
	golden.Text(t, "spans.txt", out.String())
}
