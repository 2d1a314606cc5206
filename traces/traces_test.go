package traces

import (
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"elderyard/rules"
)

const (
	traceID      = "4bf92f3577b34da6a3ce929d0e0e4736"
	parentSpanID = "00f067aa0ba902b7"
)

func TestParseContext(t *testing.T) {
	good := "00-" + traceID + "-" + parentSpanID + "-01"
	c, ok := ParseContext([]string{good}, []string{"rojo=00f067aa0ba902b7, congo=t61rcWkgMzE", "a@b=1"})
	if !ok || !c.Sampled || c.Traceparent() != good || c.TraceState != "rojo=00f067aa0ba902b7,congo=t61rcWkgMzE,a@b=1" {
		t.Fatalf("%v %+v", ok, c)
	}
	if c, ok := ParseContext([]string{"cc" + good[2:] + "-later"}, nil); !ok || c.Traceparent() != good {
		t.Errorf("a later version: %v %+v", ok, c)
	}
	for name, bad := range map[string][]string{
		"no header": {}, "two headers": {good, good}, "empty": {""}, "short": {good[:54]}, "version 0 with a suffix": {good + "-x"}, "later version without a dash": {"cc" + good[2:] + "x"},
		"version ff": {"ff" + good[2:]}, "upper case": {strings.ToUpper(good)}, "no trace": {"00-" + strings.Repeat("0", 32) + "-" + parentSpanID + "-01"},
		"no span": {"00-" + traceID + "-0000000000000000-01"}, "blanks": {strings.ReplaceAll(good, "-", " ")}, "invalid flags": {good[:53] + "0g"},
		"later version, too long": {"cc" + good[2:] + "-" + strings.Repeat("a", 10000)},
	} {
		if c, ok := ParseContext(bad, nil); ok {
			t.Errorf("%s: %+v", name, c)
		}
	}
	for name, bad := range map[string]string{
		"no value": "a", "empty value": "a=", "upper-case key": "A=1", "duplicate key": "a=1,a=2", "control character": "a=\x01", "equals sign in value": "a=1=2",
		"too long": "a=" + strings.Repeat("x", 600), "too many members": strings.Repeat("a=1,", 33), "digit first": "1a=1", "empty system": "a@=1",
	} {
		if c, ok := ParseContext([]string{good}, []string{bad}); !ok || c.TraceState != "" {
			t.Errorf("%s: %v, state %q", name, ok, c.TraceState)
		}
	}
}

func FuzzParseContext(f *testing.F) {
	f.Add("00-"+traceID+"-"+parentSpanID+"-01", "a=1,b@c=2")
	f.Add("ff--", ",,=")
	f.Fuzz(func(t *testing.T, p, s string) {
		c, ok := ParseContext([]string{p}, []string{s})
		if !ok {
			return
		}
		again, ok := ParseContext([]string{c.Traceparent()}, []string{c.TraceState})
		if !ok || again != c || len(c.TraceState) > maxTraceStateLen {
			t.Fatalf("%+v became %+v", c, again)
		}
	})
}

func settings() Settings {
	return Settings{Classes: []string{"lookup", "booking"}, Plans: []string{"basic"}, LatencyObjectives: []float64{0.4, 0.9},
		AlwaysSample: AlwaysSample{Failed: true, Refused: true, Late: true, Retried: true}}
}

// record feeds the events of one request to a recorder and returns its spans.
func record(recorder *Recorder, req Request, events ...Event) []Span {
	if req.SpanContext.Trace == (TraceID{}) {
		req.SpanContext = Context{Trace: TraceIDFromKey(1, "k"), Span: SpanID{9}}
	}
	req.Method = "GET"
	out := recorder.Handle(Event{Kind: RequestAccepted, At: 10, Request: &req}, nil)
	for _, e := range events {
		e.Request = &req
		out = recorder.Handle(e, out)
	}
	return out
}

func TestSpansOfOneRequest(t *testing.T) {
	recorder := NewRecorder(settings(), 1)
	client, _ := ParseContext([]string{"00-" + traceID + "-" + parentSpanID + "-01"}, []string{"a=1"})
	self := client
	self.Span = SpanID{7}
	spans := record(recorder, Request{ParentContext: client, SpanContext: self, Class: 1, SentAt: 10, Units: 2},
		Event{Kind: AttemptStarted, At: 10.3, Attempt: 0, SpanID: SpanID{1}, Backend: "n1", AdmittedAt: 10.2},
		Event{Kind: AttemptEnded, At: 10.4, Attempt: 0, Outcome: rules.Overloaded},
		Event{Kind: AttemptStarted, At: 10.4, Attempt: 1, SpanID: SpanID{2}, Backend: "n2", AdmittedAt: 10.2},
		Event{Kind: FinalResponse, At: 10.6, Status: 200},
		Event{Kind: AttemptEnded, At: 10.6, Attempt: 1, Outcome: rules.Served})
	var names []string
	for i, s := range spans {
		names = append(names, s.Name)
		if s.Trace != client.Trace || s.TraceState != "a=1" || i == 0 && s.Parent != client.Span || i > 0 && s.Parent != spans[0].ID || s.End < s.Start {
			t.Errorf("%+v", s)
		}
	}
	if got := strings.Join(names, ", "); got != "GET /booking, wait for quota, wait for a place, attempt, attempt" {
		t.Fatal(got)
	}
	if spans[1].End != 10.2 || spans[2].Start != 10.2 || spans[2].End != 10.3 {
		t.Errorf("waits: %+v", spans[1:3])
	}
	if spans[3].Get("elderyard.never_ran") != true || !spans[3].Failed || spans[4].Get("elderyard.never_ran") != false || spans[4].Failed {
		t.Errorf("attempts: %+v", spans[3:])
	}
	if spans[0].Get("elderyard.outcome") != "served" || spans[0].Get("elderyard.kept.why") != "client" || spans[0].Failed {
		t.Errorf("%+v", spans[0])
	}
	if recorder.Sampled != 1 {
		t.Errorf("%d traces were sampled, want 1", recorder.Sampled)
	}
}

// Traces of failed, refused, late and retried requests are always exported if so configured, others by the sample
// ratio. Each span carries the ratio at which it was sampled.
func TestSampling(t *testing.T) {
	served := []Event{{Kind: AttemptStarted, At: 10, SpanID: SpanID{1}, AdmittedAt: 10}, {Kind: FinalResponse, At: 10.1, Status: 200}, {Kind: AttemptEnded, At: 10.1, Outcome: rules.Served}}
	late := []Event{{Kind: AttemptStarted, At: 10, SpanID: SpanID{1}, AdmittedAt: 10}, {Kind: FinalResponse, At: 10.5, Status: 200}, {Kind: AttemptEnded, At: 10.5, Outcome: rules.Served}}
	refused := []Event{{Kind: FinalResponse, At: 10, Status: 429, Reason: rules.NoCapacity, AdmittedAt: 10}}
	for name, tc := range map[string]struct {
		request Request
		events  []Event
		always  AlwaysSample
		reason  any
	}{
		"served":                {Request{SentAt: 10}, served, settings().AlwaysSample, nil},
		"late":                  {Request{SentAt: 10}, late, settings().AlwaysSample, "late"},
		"late, not selected":    {Request{SentAt: 10}, late, AlwaysSample{Failed: true}, nil},
		"refused":               {Request{SentAt: 10}, refused, settings().AlwaysSample, "refused"},
		"refused, not selected": {Request{SentAt: 10}, refused, AlwaysSample{Late: true}, nil},
		"failed":                {Request{SentAt: 10}, []Event{{Kind: FinalResponse, At: 10, Status: 502}}, settings().AlwaysSample, "failed"},
		"marked as a retry":     {Request{SentAt: 10, IsRetry: true}, served, settings().AlwaysSample, "repeated"},
		"sampled by the client": {Request{SentAt: 10, ParentContext: Context{Sampled: true}}, served, AlwaysSample{}, "client"},
		"client disconnected":   {Request{SentAt: 10}, []Event{{Kind: ClientDisconnected, At: 11}}, settings().AlwaysSample, nil},
	} {
		set := settings()
		set.AlwaysSample = tc.always
		spans := record(NewRecorder(set, 1), tc.request, tc.events...)
		var reason any
		if len(spans) > 0 {
			reason = spans[0].Get("elderyard.kept.why")
		}
		if reason != tc.reason {
			t.Errorf("%s: sampled for reason %v, want %v", name, reason, tc.reason)
		}
	}
	set := settings()
	set.SampleRatio = 0.25
	recorder, rng := NewRecorder(set, 1), rand.New(rand.NewPCG(1, 1))
	n := 0
	for range 4000 {
		var id TraceID
		for i := range id {
			id[i] = byte(rng.Uint32())
		}
		spans := record(recorder, Request{SentAt: 10, SpanContext: Context{Trace: id, Span: SpanID{1}}}, served...)
		if len(spans) > 0 {
			n++
			for _, s := range spans {
				if s.Get("elderyard.kept.share") != 0.25 {
					t.Fatalf("%+v", s)
				}
			}
		}
		if (len(spans) > 0) != InSample(id, 0.25) {
			t.Fatal("InSample and the recorder disagree")
		}
	}
	if n < 850 || n > 1150 {
		t.Errorf("%d of 4000 traces were sampled at a ratio of 0.25", n)
	}
}

// The trace ID derived from an account and key is reproducible, and differs for other keys and accounts.
func TestTraceIDFromKey(t *testing.T) {
	seen := map[TraceID]bool{}
	for account := range uint64(20) {
		for _, key := range []string{"a", "b", "", "a b"} {
			id := TraceIDFromKey(account, key)
			if id == (TraceID{}) || seen[id] || id != TraceIDFromKey(account, key) {
				t.Errorf("%d %q: %x", account, key, id)
			}
			seen[id] = true
		}
	}
}

// For any order of events, a trace is completed once, its spans belong to the same trace and nest in the root, and the
// tally counts each request once.
func TestEventsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		set.SampleRatio = 1
		recorder, tally := NewRecorder(set, 1), NewTally(set)
		open := map[int]*Request{}
		ended := map[*Request]bool{}
		accepted, ends, roots, completed := uint64(0), uint64(0), map[SpanID]bool{}, 0
		for i, at := range rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 300).Draw(t, "times") {
			e := Event{Kind: EventKind(rapid.IntRange(0, 4).Draw(t, "kind")), At: at, Attempt: rapid.IntRange(0, 20).Draw(t, "attempt"),
				Outcome: rules.Outcome(rapid.IntRange(0, int(rules.NotSent)).Draw(t, "outcome")),
				Status:  rapid.SampledFrom([]int{200, 429, 502}).Draw(t, "status"), Reason: rules.Reason(rapid.IntRange(0, 2).Draw(t, "reason")),
				AdmittedAt: rapid.Float64Range(0, 100).Draw(t, "paid"), SpanID: SpanID{1, byte(i), byte(i >> 8)}}
			id := rapid.IntRange(1, 20).Draw(t, "request")
			e.Request = open[id]
			if e.Request == nil {
				e.Request = &Request{SpanContext: Context{Trace: TraceIDFromKey(uint64(i), "x"), Span: SpanID{2, byte(i), byte(i >> 8)}},
					Class: rapid.IntRange(0, 1).Draw(t, "class"), SentAt: at, Method: "GET", IsRetry: i%3 == 0}
				open[id] = e.Request
				if e.Kind == RequestAccepted {
					accepted++
				}
			} else if e.Kind == RequestAccepted {
				continue
			}
			if (e.Kind == FinalResponse || e.Kind == ClientDisconnected) && !ended[e.Request] {
				ended[e.Request] = true
				ends++
			} else if e.Kind == FinalResponse || e.Kind == ClientDisconnected {
				continue // a request has one final event
			}
			tally.Handle(e)
			spans := recorder.Handle(e, nil)
			for n, s := range spans {
				if n == 0 {
					if roots[s.ID] {
						t.Fatalf("a trace was exported twice: %+v", s)
					}
					roots[s.ID] = true
					completed++
					delete(open, id)
				}
				if s.Trace != spans[0].Trace || n > 0 && s.Parent != spans[0].ID || s.ID == (SpanID{}) || !(s.End >= s.Start) || s.End > spans[0].End {
					t.Fatalf("%+v of %+v", s, spans[0])
				}
			}
		}
		if recorder.Sampled != completed || recorder.Discarded != 0 {
			t.Fatalf("%d sampled and %d discarded of %d completed", recorder.Sampled, recorder.Discarded, completed)
		}
		requests, counted := uint64(0), uint64(0)
		for i := range tally.Requests {
			requests += tally.Requests[i]
			if tally.InitialRequests[i] > tally.Requests[i] {
				t.Fatalf("%+v", tally)
			}
		}
		for _, list := range tally.Ends {
			for _, n := range list {
				counted += n
			}
		}
		if requests != accepted || counted != ends {
			t.Fatalf("%d requests counted of %d, %d ends of %d", requests, accepted, counted, ends)
		}
	})
}

// Each bucket counts at least the values between its bounds, and there are never more than maxBuckets.
func TestHistogram(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := NewHistogram()
		values := rapid.SliceOf(rapid.OneOf(rapid.Float64Range(1e-6, 10), rapid.Float64Range(0, 1e12), rapid.Float64Range(1e-12, 1e-9))).Draw(t, "values")
		for _, v := range values {
			h.Add(v, Context{}, 0)
		}
		sum := h.Zero
		base := math.Exp2(math.Exp2(-float64(h.Scale)))
		for i, n := range h.Buckets {
			sum += n
			low, high, inside := math.Pow(base, float64(h.Offset+i)), math.Pow(base, float64(h.Offset+i+1)), uint64(0)
			for _, v := range values {
				if v > low*(1+1e-9) && v <= high*(1-1e-9) {
					inside++
				}
			}
			if inside > n {
				t.Fatalf("bucket %d of (%g, %g] at scale %d has %d of %d values", i, low, high, h.Scale, n, inside)
			}
		}
		if sum != h.Count || h.Count != uint64(len(values)) || len(h.Buckets) > maxBuckets {
			t.Fatalf("%+v", h)
		}
	})
}
