package traces

import (
	"math"

	"elderyard/rules"
)

// Tally counts what became of requests, in sums that only grow. Its series are as
// many as classes, plans and outcomes, whoever the clients are.
type Tally struct {
	plans int
	aims  []float64

	Tries    []uint64     // by class and plan: requests taken in
	First    []uint64     // of these, such as no client marked as another try
	InTime   []uint64     // by class and plan: served within the aim of the class
	Ends     [][]uint64   // by class, then End
	Attempts []uint64     // by rules.Outcome
	Latency  []*Histogram // by class: seconds to the final answer of what was served
}

// End is how a request ended.
type End int

// The ends.
const (
	EndServed End = iota
	EndNoQuota
	EndNoPlace
	EndNoAnswer // refused after attempts that had no effect
	EndFailed
	EndLeft
	Ends int = iota
)

// Name is the end as it is exported.
func (e End) Name() string {
	return [...]string{"served", "refused: no quota", "refused: no place", "refused: no attempt succeeded", "failed", "client gone"}[e]
}

// Outcomes are how many outcomes of attempts there are.
const Outcomes = int(rules.Moot) + 1

// OutcomeName is an attempt's outcome as it is exported.
func OutcomeName(o rules.Outcome) string { return outcomes[o] }

// NewTally counts for a gateway with these classes and plans.
func NewTally(set Settings) *Tally {
	n := len(set.Classes) * len(set.Plans)
	t := &Tally{plans: len(set.Plans), aims: set.Aims, Tries: make([]uint64, n), First: make([]uint64, n),
		InTime: make([]uint64, n), Attempts: make([]uint64, Outcomes)}
	for range set.Classes {
		t.Ends = append(t.Ends, make([]uint64, Ends))
		t.Latency = append(t.Latency, NewHistogram())
	}
	return t
}

// At is the place of a class and plan in the lists by both.
func (t *Tally) At(class, plan int) int { return class*t.plans + plan }

// Handle counts an event. A request has one end: the first one that is told.
func (t *Tally) Handle(e Event) {
	b := e.Begin
	at := t.At(b.Class, b.Plan)
	switch e.Kind {
	case Began:
		t.Tries[at]++
		if !b.Repeated {
			t.First[at]++
		}
	case Ended:
		t.Attempts[e.Outcome]++
	case Answered, Left:
		end := endOf(e)
		t.Ends[b.Class][end]++
		if end != EndServed {
			return
		}
		took := e.At - b.Sent
		t.Latency[b.Class].Add(took, b.Self, e.At)
		if took <= t.aims[b.Class] {
			t.InTime[at]++
		}
	}
}

func endOf(e Event) End {
	switch {
	case e.Kind == Left:
		return EndLeft
	case e.Status == 200:
		return EndServed
	case e.Status != 429:
		return EndFailed
	case e.Reason == rules.NoQuota:
		return EndNoQuota
	case e.Reason == rules.NoPlace:
		return EndNoPlace
	}
	return EndNoAnswer
}

// Histogram is OTLP's exponential histogram: buckets whose bounds are powers of
// 2^(2^-Scale). It halves its resolution where more than mostBuckets would be needed.
type Histogram struct {
	Scale    int
	Count    uint64
	Sum      float64
	Min, Max float64
	Zero     uint64 // not above 0
	Offset   int    // index of the first bucket
	Buckets  []uint64
	Exemplar Exemplar
}

// Exemplar is a value and the story that it comes from.
type Exemplar struct {
	Value, At float64
	Context   Context
}

const (
	mostBuckets = 160
	firstScale  = 6
	leastScale  = -10
)

// NewHistogram makes an empty one.
func NewHistogram() *Histogram {
	return &Histogram{Scale: firstScale, Min: math.Inf(1), Max: math.Inf(-1)}
}

// index is the bucket that a value above 0 lies in: (base^index, base^(index+1)].
func (h *Histogram) index(x float64) int {
	return int(math.Ceil(math.Log2(x)*math.Exp2(float64(h.Scale)))) - 1
}

// Add counts a value. Its context may become the exemplar: the largest of late is.
func (h *Histogram) Add(x float64, c Context, at float64) {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return
	}
	h.Count++
	h.Sum += x
	h.Min, h.Max = min(h.Min, x), max(h.Max, x)
	if c.Trace != (TraceID{}) && (x >= h.Exemplar.Value || at-h.Exemplar.At > exemplarFor) {
		h.Exemplar = Exemplar{x, at, c}
	}
	if x <= 0 {
		h.Zero++
		return
	}
	i := h.index(x)
	for !h.fits(i) && h.Scale > leastScale {
		h.halve()
		i = h.index(x)
	}
	switch {
	case len(h.Buckets) == 0:
		h.Offset, h.Buckets = i, []uint64{1}
		return
	case i < h.Offset:
		h.Buckets = append(make([]uint64, h.Offset-i, h.Offset-i+len(h.Buckets)), h.Buckets...)
		h.Offset = i
	case i >= h.Offset+len(h.Buckets):
		h.Buckets = append(h.Buckets, make([]uint64, i-h.Offset-len(h.Buckets)+1)...)
	}
	h.Buckets[i-h.Offset]++
}

const exemplarFor = 60 // seconds that the largest value stays the exemplar

func (h *Histogram) fits(i int) bool {
	if len(h.Buckets) == 0 {
		return true
	}
	return max(i, h.Offset+len(h.Buckets)-1)-min(i, h.Offset) < mostBuckets
}

// halve merges each two neighbours.
func (h *Histogram) halve() {
	h.Scale--
	from := h.Offset >> 1
	merged := make([]uint64, (h.Offset+len(h.Buckets)-1)>>1-from+1)
	for i, n := range h.Buckets {
		merged[(h.Offset+i)>>1-from] += n
	}
	h.Offset, h.Buckets = from, merged
}
