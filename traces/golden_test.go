package traces

import (
	"fmt"
	"strings"
	"testing"

	"elderyard/internal/golden"
	"elderyard/rules"
)

// Every name of a span, an attribute and a value that a collector is sent, from requests that end in each way.
func TestGoldenSpans(t *testing.T) {
	client, ok := ParseContext([]string{"00-" + trace + "-" + parent + "-01"}, []string{"a=1"})
	if !ok {
		t.Fatal("the context is not read")
	}
	attempt := func(number int, at float64, outcome rules.Outcome) []Event {
		return []Event{{Kind: Sent, At: at, Attempt: number, Span: SpanID{1, byte(number)}, Backend: "n1", Zone: "a", Paid: 10.1},
			{Kind: Ended, At: at + 0.25, Attempt: number, Outcome: outcome}}
	}
	var everyOutcome []Event
	for outcome := range OutcomeCount {
		everyOutcome = append(everyOutcome, attempt(outcome, 10.5+float64(outcome), rules.Outcome(outcome))...)
	}
	set := settings()
	set.SampleRatio = 0.5
	always := settings()
	always.Keep, always.SampleRatio = Keep{}, 1
	var b strings.Builder
	for _, k := range []struct {
		about  string
		set    Settings
		begin  Begin
		events []Event
	}{
		{"an attempt of each outcome, asked for by the client", set, Begin{Context: client, Class: 1, Units: 2.5, Client: "id-1", Key: true, Repeated: true, Sent: 9.5},
			append(everyOutcome, Event{Kind: Answered, At: 20, Status: 200})},
		{"late", set, Begin{Sent: 8}, append(attempt(0, 10.5, rules.Served), Event{Kind: Answered, At: 11, Status: 200})},
		{"repeated", set, Begin{Sent: 10, Repeated: true}, append(attempt(0, 10, rules.Served), Event{Kind: Answered, At: 10.25, Status: 200})},
		{"share", always, Begin{Sent: 10}, append(attempt(0, 10, rules.Served), Event{Kind: Answered, At: 10.25, Status: 200})},
		{"no quota", set, Begin{Sent: 10}, []Event{{Kind: Answered, At: 10.5, Status: 429, Reason: rules.QuotaExceeded, RetryAfter: 0.5}}},
		{"no place", set, Begin{Sent: 10}, []Event{{Kind: Answered, At: 10.5, Status: 429, Reason: rules.NoCapacity, Paid: 10.1}}},
		{"no answer", set, Begin{Sent: 10}, append(attempt(0, 10.2, rules.Overloaded), Event{Kind: Answered, At: 10.5, Status: 429, Reason: rules.AttemptsFailed})},
		{"failed", set, Begin{Sent: 10}, append(attempt(0, 10.2, rules.Errored), Event{Kind: Answered, At: 10.5, Status: 502})},
		{"the client left", always, Begin{Sent: 10}, []Event{{Kind: ClientLeft, At: 11}}},
	} {
		fmt.Fprintf(&b, "=== %s\n", k.about)
		for i, s := range record(NewRecorder(k.set, 1), k.begin, k.events...) {
			fmt.Fprintf(&b, "span %d: %q kind %d state %q sampled %t, %.3f to %.3f, failed %t %q\n", i, s.Name, s.Kind, s.State, s.Sampled, s.Start, s.End, s.Failed, s.Message)
			for _, a := range s.Attrs {
				fmt.Fprintf(&b, "  %s = %v (%T)\n", a.Key, a.Value, a.Value)
			}
		}
	}
	for kind := range EventKindCount {
		fmt.Fprintf(&b, "event kind %d: %s\n", kind, EventKind(kind))
	}
	for end := range EndCount {
		fmt.Fprintf(&b, "end %d: %s\n", end, End(end).Name())
	}
	for outcome := range OutcomeCount {
		fmt.Fprintf(&b, "outcome %d: %s\n", outcome, OutcomeName(rules.Outcome(outcome)))
	}
	golden.Text(t, "spans.txt", b.String())
}
