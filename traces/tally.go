package traces

import "elderyard/rules"

// Tally counts requests and how they ended, in sums that only grow. The number of series depends on the classes,
// plans and outcomes alone, not on the clients.
type Tally struct {
	plans          int
	latencyTargets []float64

	Requests   []uint64     // by class and plan: accepted requests
	FirstTries []uint64     // by class and plan: accepted requests that no client marked as a retry
	InTime     []uint64     // by class and plan: requests served within the class's latency target
	Ends       [][]uint64   // by class, then by End
	Attempts   []uint64     // by rules.Outcome
	Latency    []*Histogram // by class: seconds to the final answer of served requests
}

// End is how a request ended.
type End int

// The ways in which a request can end.
const (
	EndServed End = iota
	EndNoQuota
	EndNoPlace
	EndNoAnswer // refused after attempts that had no effect
	EndFailed
	EndClientLeft
	EndCount int = iota
)

// Name returns the end's name in exported metrics.
func (e End) Name() string {
	return [...]string{"served", "refused: no quota", "refused: no place", "refused: no attempt succeeded", "failed", "client gone"}[e]
}

// OutcomeCount is the number of outcomes that an attempt can have.
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

// outcomeName returns the outcome attribute of an answered request.
func outcomeName(answer Event) string {
	switch answer.Status {
	case 200:
		return "served"
	case 429:
		return "refused: " + reasonNames[answer.Reason]
	}
	return "failed"
}

// NewTally returns an empty Tally for the classes and plans of settings.
func NewTally(settings Settings) *Tally {
	n := len(settings.Classes) * len(settings.Plans)
	t := &Tally{
		plans:          len(settings.Plans),
		latencyTargets: settings.LatencyTargets,
		Requests:       make([]uint64, n),
		FirstTries:     make([]uint64, n),
		InTime:         make([]uint64, n),
		Attempts:       make([]uint64, OutcomeCount),
	}
	for range settings.Classes {
		t.Ends = append(t.Ends, make([]uint64, EndCount))
		t.Latency = append(t.Latency, NewHistogram())
	}
	return t
}

// Index returns the index of a class and plan in the slices by class and plan.
func (t *Tally) Index(class, plan int) int { return class*t.plans + plan }

// Handle counts an event. Only the first final event of a request may be handed to it.
func (t *Tally) Handle(e Event) {
	switch e.Kind {
	case Began:
		t.countRequest(e.Begin)
	case Ended:
		t.Attempts[e.Outcome]++
	case Answered, ClientLeft:
		t.countEnd(e)
	}
}

func (t *Tally) countRequest(b *Begin) {
	i := t.Index(b.Class, b.Plan)
	t.Requests[i]++
	if !b.Repeated {
		t.FirstTries[i]++
	}
}

func (t *Tally) countEnd(e Event) {
	b := e.Begin
	end := endOf(e)
	t.Ends[b.Class][end]++
	if end != EndServed {
		return
	}
	latency := e.At - b.Sent
	t.Latency[b.Class].Add(latency, b.Self, e.At)
	if latency <= t.latencyTargets[b.Class] {
		t.InTime[t.Index(b.Class, b.Plan)]++
	}
}

func endOf(e Event) End {
	switch {
	case e.Kind == ClientLeft:
		return EndClientLeft
	case e.Status == 200:
		return EndServed
	case e.Status != 429:
		return EndFailed
	case e.Reason == rules.QuotaExceeded:
		return EndNoQuota
	case e.Reason == rules.NoCapacity:
		return EndNoPlace
	}
	return EndNoAnswer
}
