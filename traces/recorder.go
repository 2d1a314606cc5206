package traces

import (
	"encoding/binary"
	"math"
	"math/rand/v2"

	"elderyard/rules"
)

// Settings select the traces that are exported and hold the names that appear in them.
type Settings struct {
	Classes, Plans    []string
	LatencyObjectives []float64 // seconds, by class
	SampleRatio       float64   // fraction of the other traces that is exported, 0 to 1
	AlwaysSample      AlwaysSample
}

const (
	// maxAttempts is the limit of recorded attempts per request; later ones get no span.
	maxAttempts = 16
	// minWaitSpan is the shortest wait that gets a span, in seconds.
	minWaitSpan = 0.0005
	// spanIDStream keeps the random numbers of span IDs independent of other streams with the same seed.
	spanIDStream = 11
)

// sampleRatioKey is the attribute with the ratio at which traces of its kind are sampled.
const sampleRatioKey = "elderyard.kept.share"

// Recorder builds the spans of requests from their events. It is not safe for concurrent use.
type Recorder struct {
	settings  Settings
	rng       *rand.Rand
	Sampled   int // traces that were exported
	Discarded int // traces that were not sampled
}

// requestTrace is the state of the trace of one request.
type requestTrace struct {
	startedAt      float64
	attempts       []attemptTrace
	inlineAttempts [1]attemptTrace // backs attempts: most requests have one
	openAttempts   int
	started        bool
	hasFinalEvent  bool
	completed      bool  // its spans were created, or it was discarded
	final          Event // FinalResponse or ClientDisconnected
}

// attemptTrace is one attempt of a request at a backend.
type attemptTrace struct {
	start, end, admittedAt float64 // seconds
	number                 int
	span                   SpanID
	backend, zone          string
	ended                  bool
	outcome                rules.Outcome
}

// NewRecorder returns a Recorder. Seed determines the span IDs of waits.
func NewRecorder(settings Settings, seed uint64) *Recorder {
	return &Recorder{settings: settings, rng: rand.New(rand.NewPCG(seed, spanIDStream))}
}

// Handle records an event. If it completes a sampled trace, it appends the spans to out.
func (r *Recorder) Handle(e Event, out []Span) []Span {
	trace := &e.Request.trace
	if e.Kind == RequestAccepted {
		trace.start(e.At)
		return out
	}
	if !trace.started || trace.completed {
		return out // its RequestAccepted was dropped, or the trace is complete
	}
	trace.handle(e)
	if !trace.hasFinalEvent || trace.openAttempts > 0 {
		return out
	}
	trace.completed = true
	return r.finish(e.Request, out)
}

func (t *requestTrace) start(at float64) {
	t.startedAt = at
	t.started = true
	t.attempts = t.inlineAttempts[:0]
}

func (t *requestTrace) handle(e Event) {
	switch e.Kind {
	case AttemptStarted:
		t.startAttempt(e)
	case AttemptEnded:
		t.endAttempt(e)
	case FinalResponse, ClientDisconnected:
		if t.hasFinalEvent {
			return
		}
		t.hasFinalEvent = true
		t.final = e
		t.final.Request = nil // it points back to this trace
	}
}

func (t *requestTrace) startAttempt(e Event) {
	if len(t.attempts) >= maxAttempts {
		return
	}
	t.attempts = append(t.attempts, attemptTrace{start: e.At, admittedAt: e.AdmittedAt, number: e.Attempt, span: e.SpanID,
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

// finish appends the spans of a completed trace if it is sampled, else discards it.
func (r *Recorder) finish(req *Request, out []Span) []Span {
	reason, ratio := r.samplingReason(req)
	if reason == "" {
		r.Discarded++
		return out
	}
	r.Sampled++
	root := r.rootSpan(req, reason, ratio)
	first := len(out)
	out = append(out, root)
	out = r.waitSpans(&req.trace, &root, ratio, out)
	for i := range req.trace.attempts {
		out = append(out, attemptSpan(&req.trace.attempts[i], &root, ratio))
	}
	orderTimes(out[first:])
	return out
}

// orderTimes corrects spans for a clock that stepped back: no span ends before it starts, and the root, which is the
// first, does not end before its children.
func orderTimes(spans []Span) {
	root := &spans[0]
	for i := range spans {
		span := &spans[i]
		span.End = max(span.End, span.Start)
		root.End = max(root.End, span.End)
	}
}

// rootSpan returns the span of the request itself.
func (r *Recorder) rootSpan(req *Request, reason string, ratio float64) Span {
	trace := &req.trace
	class := r.settings.Classes[req.Class]
	root := Span{
		Trace: req.SpanContext.Trace, ID: req.SpanContext.Span, Parent: req.ParentContext.Span, TraceState: req.SpanContext.TraceState, Sampled: req.SpanContext.Sampled,
		Kind: Server, Name: req.Method + " /" + class, Start: min(req.SentAt, trace.startedAt), End: trace.final.At,
	}
	root.Attrs = []Attr{
		{"http.request.method", req.Method},
		{"elderyard.class", class},
		{"elderyard.plan", r.settings.Plans[req.Plan]},
		{"elderyard.units", req.Units},
		{"elderyard.request.id", req.RequestID},
		{"elderyard.request.keyed", req.HasIdempotencyKey},
		{"elderyard.request.repeated", req.IsRetry},
		{"elderyard.attempts", int64(len(trace.attempts))},
		{"elderyard.kept.why", reason},
		{sampleRatioKey, ratio},
	}
	root.addResult(trace.final)
	return root
}

// addResult adds the outcome of the request.
func (s *Span) addResult(final Event) {
	if final.Kind == ClientDisconnected {
		s.Attrs = append(s.Attrs, Attr{"elderyard.outcome", "client gone"})
		return
	}
	s.Attrs = append(s.Attrs, Attr{"http.response.status_code", int64(final.Status)}, Attr{"elderyard.outcome", responseOutcome(final)})
	if final.Status >= 500 {
		s.Failed = true
		s.Message = "no backend answered"
	}
	if final.RetryAfter > 0 {
		s.Attrs = append(s.Attrs, Attr{"elderyard.retry_after_s", final.RetryAfter})
	}
}

// child returns a child span of s in the same trace.
func (s *Span) child(id SpanID, kind Kind, name string, start, end float64) Span {
	return Span{Trace: s.Trace, ID: id, Parent: s.ID, TraceState: s.TraceState, Sampled: s.Sampled, Kind: kind, Name: name, Start: start, End: end}
}

// attemptSpan returns the span of one attempt.
func attemptSpan(attempt *attemptTrace, root *Span, ratio float64) Span {
	span := root.child(attempt.span, Client, "attempt", attempt.start, max(attempt.end, attempt.start))
	span.Attrs = []Attr{
		{"server.address", attempt.backend},
		{"elderyard.zone", attempt.zone},
		{"elderyard.attempt", int64(attempt.number)},
		{"elderyard.outcome", outcomeNames[attempt.outcome]},
		{"elderyard.never_ran", rules.NeverRan(attempt.outcome)},
		{sampleRatioKey, ratio},
	}
	if attempt.outcome != rules.Served && attempt.outcome != rules.Cancelled && attempt.outcome != rules.NotSent {
		span.Failed = true
		span.Message = outcomeNames[attempt.outcome]
	}
	return span
}

// waitSpans appends the spans of the waits before the first attempt: first for quota, then for capacity.
func (r *Recorder) waitSpans(t *requestTrace, root *Span, ratio float64, out []Span) []Span {
	end := t.final.At
	admittedAt := 0.0
	if len(t.attempts) > 0 {
		end, admittedAt = t.attempts[0].start, t.attempts[0].admittedAt
	} else if t.final.Reason != rules.QuotaExceeded {
		admittedAt = t.final.AdmittedAt
	}
	if admittedAt < t.startedAt {
		return r.waitSpan("wait for quota", t.startedAt, end, root, ratio, out)
	}
	admitted := min(admittedAt, end)
	out = r.waitSpan("wait for quota", t.startedAt, admitted, root, ratio, out)
	return r.waitSpan("wait for a place", admitted, end, root, ratio, out)
}

// waitSpan appends the span of one wait that lasted minWaitSpan or longer.
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

// UnixNanos converts a Unix time in seconds to OTLP's nanoseconds.
func UnixNanos(at float64) uint64 { return uint64(math.Round(max(at, 0) * 1e9)) }
