package traces

import "elderyard/rules"

// Tally holds cumulative counts of requests and attempts by outcome. The number of series depends only on the classes,
// plans and outcomes, not on the clients.
type Tally struct {
	plans             int
	latencyObjectives []float64

	Requests        []uint64     // by class and plan: accepted requests
	InitialRequests []uint64     // by class and plan: accepted requests that no client marked as a retry
	WithinObjective []uint64     // by class and plan: requests served within the class's latency objective
	Ends            [][]uint64   // by class, then by End
	Attempts        []uint64     // by rules.Outcome
	Latency         []*Histogram // by class: seconds to the final response of served requests
}

// End is how a request ended.
type End int

// The ends of a request.
const (
	EndServed End = iota
	EndQuotaExceeded
	EndNoCapacity
	EndAttemptsFailed // refused because no attempt succeeded
	EndFailed
	EndClientDisconnected
	EndCount int = iota
)

// Name returns the end's name in exported metrics.
func (e End) Name() string {
	return [...]string{"served", "refused: no quota", "refused: no place", "refused: no attempt succeeded", "failed", "client gone"}[e]
}

// OutcomeCount is the number of outcomes of an attempt.
const OutcomeCount = int(rules.NotSent) + 1

// OutcomeName returns the outcome's name in exported metrics and spans.
func OutcomeName(o rules.Outcome) string { return outcomeNames[o] }

var outcomeNames = map[rules.Outcome]string{
	rules.Served:           "served",
	rules.Errored:          "error",
	rules.Overloaded:       "turned away",
	rules.TimedOut:         "no answer in time",
	rules.ConnectFailed:    "no connection",
	rules.ConnectionBroken: "connection ended",
	rules.Cancelled:        "called off",
	rules.NotSent:          "not sent",
}

var reasonNames = map[rules.Reason]string{
	rules.QuotaExceeded:  "no quota",
	rules.NoCapacity:     "no place",
	rules.AttemptsFailed: "no attempt succeeded",
}

// responseOutcome returns the outcome attribute of a request with the given final response.
func responseOutcome(response Event) string {
	switch response.Status {
	case 200:
		return "served"
	case 429:
		return "refused: " + reasonNames[response.Reason]
	}
	return "failed"
}

// NewTally returns an empty Tally for the classes and plans of settings.
func NewTally(settings Settings) *Tally {
	n := len(settings.Classes) * len(settings.Plans)
	t := &Tally{
		plans:             len(settings.Plans),
		latencyObjectives: settings.LatencyObjectives,
		Requests:          make([]uint64, n),
		InitialRequests:   make([]uint64, n),
		WithinObjective:   make([]uint64, n),
		Attempts:          make([]uint64, OutcomeCount),
	}
	for range settings.Classes {
		t.Ends = append(t.Ends, make([]uint64, EndCount))
		t.Latency = append(t.Latency, NewHistogram())
	}
	return t
}

// Index returns the position of a class and plan in the slices by class and plan.
func (t *Tally) Index(class, plan int) int { return class*t.plans + plan }

// Handle counts an event. The caller must pass at most one final event per request.
func (t *Tally) Handle(e Event) {
	switch e.Kind {
	case RequestAccepted:
		t.countRequest(e.Request)
	case AttemptEnded:
		t.Attempts[e.Outcome]++
	case FinalResponse, ClientDisconnected:
		t.countEnd(e)
	}
}

func (t *Tally) countRequest(req *Request) {
	i := t.Index(req.Class, req.Plan)
	t.Requests[i]++
	if !req.IsRetry {
		t.InitialRequests[i]++
	}
}

func (t *Tally) countEnd(e Event) {
	accepted := e.Request
	end := endOf(e)
	t.Ends[accepted.Class][end]++
	if end != EndServed {
		return
	}
	latency := e.At - accepted.SentAt
	t.Latency[accepted.Class].Add(latency, accepted.SpanContext, e.At)
	if latency <= t.latencyObjectives[accepted.Class] {
		t.WithinObjective[t.Index(accepted.Class, accepted.Plan)]++
	}
}

func endOf(e Event) End {
	switch {
	case e.Kind == ClientDisconnected:
		return EndClientDisconnected
	case e.Status == 200:
		return EndServed
	case e.Status != 429:
		return EndFailed
	case e.Reason == rules.QuotaExceeded:
		return EndQuotaExceeded
	case e.Reason == rules.NoCapacity:
		return EndNoCapacity
	}
	return EndAttemptsFailed
}
