package traces

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"elderyard/rules"
)

// Settings say which traces are recorded, and the names that appear in them.
type Settings struct {
	Classes, Plans []string
	LatencyTargets []float64 // seconds, by class
	SampleRatio    float64   // of traces that are exported whatever happened, 0 to 1
	Keep           Keep
}

const (
	// maxAttempts is how many attempts of one request are recorded.
	maxAttempts = 16
	// minWaitSpan is the shortest wait that gets a span, in seconds.
	minWaitSpan = 0.0005
	// spanIDStream separates the random stream of span IDs from others of the same seed.
	spanIDStream = 11
)

const sampleRatioKey = "elderyard.kept.share"

// Recorder builds the spans of requests from their events. It is not safe for concurrent use.
type Recorder struct {
	settings  Settings
	rng       *rand.Rand
	Kept      int // traces that were exported
	Discarded int // traces that were not sampled
}

// requestTrace is what has been recorded of a request that is still open.
type requestTrace struct {
	startedAt      float64
	attempts       []attemptTrace
	first          [1]attemptTrace // backs attempts: most requests need no more
	openAttempts   int
	started        bool
	answeredOrLeft bool
	recorded       bool  // its spans were made, or it was discarded
	final          Event // Answered or ClientLeft
}

// attemptTrace is one attempt of a request at a backend.
type attemptTrace struct {
	start, end, paidAt float64 // seconds
	number             int
	span               SpanID
	backend, zone      string
	ended              bool
	outcome            rules.Outcome
}

// NewRecorder returns a Recorder that draws the span IDs of waits from seed.
func NewRecorder(settings Settings, seed uint64) *Recorder {
	return &Recorder{settings: settings, rng: rand.New(rand.NewPCG(seed, spanIDStream))}
}

// Handle records an event. If it completes a trace that is sampled, the trace's spans are appended to out.
func (r *Recorder) Handle(e Event, out []Span) []Span {
	trace := &e.Begin.trace
	if e.Kind == Began {
		trace.start(e.At)
		return out
	}
	if !trace.started || trace.recorded {
		return out // its beginning was dropped, or the event is late
	}
	trace.handle(e)
	if !trace.answeredOrLeft || trace.openAttempts > 0 {
		return out
	}
	trace.recorded = true
	return r.finish(e.Begin, out)
}

func (t *requestTrace) start(at float64) {
	t.startedAt = at
	t.started = true
	t.attempts = t.first[:0]
}

func (t *requestTrace) handle(e Event) {
	switch e.Kind {
	case Sent:
		t.startAttempt(e)
	case Ended:
		t.endAttempt(e)
	case Answered, ClientLeft:
		if t.answeredOrLeft {
			return
		}
		t.answeredOrLeft = true
		t.final = e
		t.final.Begin = nil // it points to this trace
	}
}

func (t *requestTrace) startAttempt(e Event) {
	if len(t.attempts) >= maxAttempts {
		return
	}
	t.attempts = append(t.attempts, attemptTrace{start: e.At, paidAt: e.Paid, number: e.Attempt, span: e.Span,
		backend: e.Backend, zone: e.Zone})
	t.openAttempts++
}

func (t *requestTrace) endAttempt(e Event) {
	for i := range t.attempts {
		attempt := &t.attempts[i]
		if attempt.number != e.Attempt || attempt.ended {
			continue
		}
		attempt.ended = true
		attempt.end = e.At
		attempt.outcome = e.Outcome
		t.openAttempts--
		return
	}
}

// finish appends the spans of a completed trace, or discards it.
func (r *Recorder) finish(b *Begin, out []Span) []Span {
	reason, ratio := r.samplingReason(b)
	if reason == "" {
		r.Discarded++
		return out
	}
	r.Kept++
	root := r.rootSpan(b, reason, ratio)
	first := len(out)
	out = append(out, root)
	out = r.waitSpans(&b.trace, &root, ratio, out)
	for i := range b.trace.attempts {
		out = append(out, attemptSpan(&b.trace.attempts[i], &root, ratio))
	}
	orderTimes(out[first:])
	return out
}

// orderTimes makes each span end no sooner than it starts, and the root (the first) no sooner than its children,
// even if the clock stepped back.
func orderTimes(spans []Span) {
	root := &spans[0]
	for i := range spans {
		span := &spans[i]
		span.End = max(span.End, span.Start)
		root.End = max(root.End, span.End)
	}
}

// rootSpan makes the span of the request itself.
func (r *Recorder) rootSpan(b *Begin, reason string, ratio float64) Span {
	trace := &b.trace
	class := r.settings.Classes[b.Class]
	root := Span{
		Trace: b.Self.Trace, ID: b.Self.Span, Parent: b.Context.Span, State: b.Self.State, Sampled: b.Self.Sampled,
		Kind: Server, Name: b.Method + " /" + class, Start: min(b.Sent, trace.startedAt), End: trace.final.At,
	}
	root.Attrs = []Attr{
		{"http.request.method", b.Method},
		{"elderyard.class", class},
		{"elderyard.plan", r.settings.Plans[b.Plan]},
		{"elderyard.units", b.Units},
		{"elderyard.request.id", b.Client},
		{"elderyard.request.keyed", b.Key},
		{"elderyard.request.repeated", b.Repeated},
		{"elderyard.attempts", int64(len(trace.attempts))},
		{"elderyard.kept.why", reason},
		{sampleRatioKey, ratio},
	}
	root.addResult(trace.final)
	return root
}

// addResult adds how the request ended.
func (s *Span) addResult(final Event) {
	if final.Kind == ClientLeft {
		s.Attrs = append(s.Attrs, Attr{"elderyard.outcome", "client gone"})
		return
	}
	s.Attrs = append(s.Attrs, Attr{"http.response.status_code", int64(final.Status)}, Attr{"elderyard.outcome", outcomeName(final)})
	if final.Status >= 500 {
		s.Failed = true
		s.Message = "no backend answered"
	}
	if final.RetryAfter > 0 {
		s.Attrs = append(s.Attrs, Attr{"elderyard.retry_after_s", final.RetryAfter})
	}
}

// child makes a span below the root.
func (s *Span) child(id SpanID, kind Kind, name string, start, end float64) Span {
	return Span{Trace: s.Trace, ID: id, Parent: s.ID, State: s.State, Sampled: s.Sampled, Kind: kind, Name: name, Start: start, End: end}
}

// attemptSpan makes the span of one attempt.
func attemptSpan(a *attemptTrace, root *Span, ratio float64) Span {
	span := root.child(a.span, Client, "attempt", a.start, max(a.end, a.start))
	span.Attrs = []Attr{
		{"server.address", a.backend},
		{"elderyard.zone", a.zone},
		{"elderyard.attempt", int64(a.number)},
		{"elderyard.outcome", outcomeNames[a.outcome]},
		{"elderyard.never_ran", rules.NeverRan(a.outcome)},
		{sampleRatioKey, ratio},
	}
	if a.outcome != rules.Served && a.outcome != rules.Cancelled && a.outcome != rules.NotSent {
		span.Failed = true
		span.Message = outcomeNames[a.outcome]
	}
	return span
}

// waitSpans appends the spans of the time before the first attempt: the wait for quota, then the wait for a place.
func (r *Recorder) waitSpans(t *requestTrace, root *Span, ratio float64, out []Span) []Span {
	end := t.final.At
	paidAt := 0.0
	if len(t.attempts) > 0 {
		end, paidAt = t.attempts[0].start, t.attempts[0].paidAt
	} else if t.final.Reason != rules.QuotaExceeded {
		paidAt = t.final.Paid
	}
	if paidAt < t.startedAt {
		return r.waitSpan("wait for quota", t.startedAt, end, root, ratio, out)
	}
	admitted := min(paidAt, end)
	out = r.waitSpan("wait for quota", t.startedAt, admitted, root, ratio, out)
	return r.waitSpan("wait for a place", admitted, end, root, ratio, out)
}

// waitSpan appends the span of one wait, unless it was too short.
func (r *Recorder) waitSpan(name string, start, end float64, root *Span, ratio float64, out []Span) []Span {
	if end-start < minWaitSpan {
		return out
	}
	span := root.child(r.newSpanID(), Internal, name, start, end)
	span.Attrs = []Attr{{sampleRatioKey, ratio}}
	return append(out, span)
}

func (r *Recorder) newSpanID() (id SpanID) {
	binary.BigEndian.PutUint64(id[:], max(r.rng.Uint64(), 1))
	return id
}

// Nanos converts a time in seconds to OTLP's nanoseconds.
func Nanos(at float64) uint64 { return uint64(math.Round(max(at, 0) * 1e9)) }
