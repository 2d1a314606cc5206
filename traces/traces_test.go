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
	trace  = "4bf92f3577b34da6a3ce929d0e0e4736"
	parent = "00f067aa0ba902b7"
)

func TestParseContext(t *testing.T) {
	good := "00-" + trace + "-" + parent + "-01"
	c, ok := ParseContext([]string{good}, []string{"rojo=00f067aa0ba902b7, congo=t61rcWkgMzE", "a@b=1"})
	if !ok || !c.Sampled || c.Parent() != good || c.State != "rojo=00f067aa0ba902b7,congo=t61rcWkgMzE,a@b=1" {
		t.Fatalf("%v %+v", ok, c)
	}
	if c, ok := ParseContext([]string{"cc" + good[2:] + "-later"}, nil); !ok || c.Parent() != good {
		t.Errorf("a later version: %v %+v", ok, c)
	}
	for name, bad := range map[string][]string{
		"none": {}, "two": {good, good}, "empty": {""}, "short": {good[:54]}, "longer": {good + "-x"}, "later without a dash": {"cc" + good[2:] + "x"},
		"version ff": {"ff" + good[2:]}, "capitals": {strings.ToUpper(good)}, "no trace": {"00-" + strings.Repeat("0", 32) + "-" + parent + "-01"},
		"no span": {"00-" + trace + "-0000000000000000-01"}, "blanks": {strings.ReplaceAll(good, "-", " ")}, "flags": {good[:53] + "0g"},
		"huge": {"cc" + good[2:] + "-" + strings.Repeat("a", 10000)},
	} {
		if c, ok := ParseContext(bad, nil); ok {
			t.Errorf("%s: %+v", name, c)
		}
	}
	for name, bad := range map[string]string{
		"no value": "a", "empty value": "a=", "capital": "A=1", "twice": "a=1,a=2", "bytes": "a=\x01", "comma in value": "a=1=2",
		"long": "a=" + strings.Repeat("x", 600), "many": strings.Repeat("a=1,", 33), "digit first": "1a=1", "bad tenant": "a@=1",
	} {
		if c, ok := ParseContext([]string{good}, []string{bad}); !ok || c.State != "" {
			t.Errorf("%s: %v, state %q", name, ok, c.State)
		}
	}
}

func FuzzParseContext(f *testing.F) {
	f.Add("00-"+trace+"-"+parent+"-01", "a=1,b@c=2")
	f.Add("ff--", ",,=")
	f.Fuzz(func(t *testing.T, p, s string) {
		c, ok := ParseContext([]string{p}, []string{s})
		if !ok {
			return
		}
		again, ok := ParseContext([]string{c.Parent()}, []string{c.State})
		if !ok || again != c || len(c.State) > maxStateLen {
			t.Fatalf("%+v became %+v", c, again)
		}
	})
}

func settings() Settings {
	return Settings{Classes: []string{"lookup", "booking"}, Plans: []string{"basic"}, LatencyTargets: []float64{0.4, 0.9},
		Keep: Keep{Failed: true, Refused: true, Late: true, Repeated: true}}
}

// record feeds the events of one request to a recorder and returns its spans.
func record(t *Recorder, b Begin, events ...Event) []Span {
	if b.Self.Trace == (TraceID{}) {
		b.Self = Context{Trace: TraceIDFromKey(1, "k"), Span: SpanID{9}}
	}
	b.Method = "GET"
	out := t.Handle(Event{Kind: Began, At: 10, Begin: &b}, nil)
	for _, e := range events {
		e.Begin = &b
		out = t.Handle(e, out)
	}
	return out
}

func TestSpansOfOneRequest(t *testing.T) {
	recorder := NewRecorder(settings(), 1)
	client, _ := ParseContext([]string{"00-" + trace + "-" + parent + "-01"}, []string{"a=1"})
	self := client
	self.Span = SpanID{7}
	spans := record(recorder, Begin{Context: client, Self: self, Class: 1, Sent: 10, Units: 2},
		Event{Kind: Sent, At: 10.3, Attempt: 0, Span: SpanID{1}, Backend: "n1", Paid: 10.2},
		Event{Kind: Ended, At: 10.4, Attempt: 0, Outcome: rules.Overloaded},
		Event{Kind: Sent, At: 10.4, Attempt: 1, Span: SpanID{2}, Backend: "n2", Paid: 10.2},
		Event{Kind: Answered, At: 10.6, Status: 200},
		Event{Kind: Ended, At: 10.6, Attempt: 1, Outcome: rules.Served})
	var names []string
	for i, s := range spans {
		names = append(names, s.Name)
		if s.Trace != client.Trace || s.State != "a=1" || i == 0 && s.Parent != client.Span || i > 0 && s.Parent != spans[0].ID || s.End < s.Start {
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
	if recorder.Kept != 1 {
		t.Errorf("%d traces were recorded", recorder.Kept)
	}
}

// Traces of requests that went wrong are always kept, the others are sampled, and each span carries the sample ratio.
func TestSampling(t *testing.T) {
	served := []Event{{Kind: Sent, At: 10, Span: SpanID{1}, Paid: 10}, {Kind: Answered, At: 10.1, Status: 200}, {Kind: Ended, At: 10.1, Outcome: rules.Served}}
	late := []Event{{Kind: Sent, At: 10, Span: SpanID{1}, Paid: 10}, {Kind: Answered, At: 10.5, Status: 200}, {Kind: Ended, At: 10.5, Outcome: rules.Served}}
	refused := []Event{{Kind: Answered, At: 10, Status: 429, Reason: rules.NoCapacity, Paid: 10}}
	for name, k := range map[string]struct {
		begin  Begin
		events []Event
		keep   Keep
		why    any
	}{
		"served":           {Begin{Sent: 10}, served, settings().Keep, nil},
		"late":             {Begin{Sent: 10}, late, settings().Keep, "late"},
		"late, left out":   {Begin{Sent: 10}, late, Keep{Failed: true}, nil},
		"refused":          {Begin{Sent: 10}, refused, settings().Keep, "refused"},
		"refused, not":     {Begin{Sent: 10}, refused, Keep{Late: true}, nil},
		"failed":           {Begin{Sent: 10}, []Event{{Kind: Answered, At: 10, Status: 502}}, settings().Keep, "failed"},
		"marked":           {Begin{Sent: 10, Repeated: true}, served, settings().Keep, "repeated"},
		"the client asked": {Begin{Sent: 10, Context: Context{Sampled: true}}, served, Keep{}, "client"},
		"gone":             {Begin{Sent: 10}, []Event{{Kind: ClientLeft, At: 11}}, settings().Keep, nil},
	} {
		set := settings()
		set.Keep = k.keep
		spans := record(NewRecorder(set, 1), k.begin, k.events...)
		var why any
		if len(spans) > 0 {
			why = spans[0].Get("elderyard.kept.why")
		}
		if why != k.why {
			t.Errorf("%s: kept for %v, want %v", name, why, k.why)
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
		spans := record(recorder, Begin{Sent: 10, Self: Context{Trace: id, Span: SpanID{1}}}, served...)
		if len(spans) > 0 {
			n++
			for _, s := range spans {
				if s.Get("elderyard.kept.share") != 0.25 {
					t.Fatalf("%+v", s)
				}
			}
		}
		if (len(spans) > 0) != InSample(id, 0.25) {
			t.Fatal("two processes would not agree")
		}
	}
	if n < 850 || n > 1150 {
		t.Errorf("%d of 4000 were kept for a share of a quarter", n)
	}
}

// Two gateways derive the same trace ID from a key; other keys and accounts have other IDs.
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

// In whatever order events come, a trace is recorded once, its spans belong together, and the tally counts each
// request once.
func TestAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := settings()
		set.SampleRatio = 1
		recorder, tally := NewRecorder(set, 1), NewTally(set)
		open := map[int]*Begin{}
		ended := map[*Begin]bool{}
		began, ends, roots, over := uint64(0), uint64(0), map[SpanID]bool{}, 0
		for i, at := range rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 300).Draw(t, "times") {
			e := Event{Kind: EventKind(rapid.IntRange(0, 4).Draw(t, "kind")), At: at, Attempt: rapid.IntRange(0, 20).Draw(t, "attempt"),
				Outcome: rules.Outcome(rapid.IntRange(0, int(rules.NotSent)).Draw(t, "outcome")),
				Status:  rapid.SampledFrom([]int{200, 429, 502}).Draw(t, "status"), Reason: rules.Reason(rapid.IntRange(0, 2).Draw(t, "reason")),
				Paid: rapid.Float64Range(0, 100).Draw(t, "paid"), Span: SpanID{1, byte(i), byte(i >> 8)}}
			id := rapid.IntRange(1, 20).Draw(t, "request")
			e.Begin = open[id]
			if e.Begin == nil {
				e.Begin = &Begin{Self: Context{Trace: TraceIDFromKey(uint64(i), "x"), Span: SpanID{2, byte(i), byte(i >> 8)}},
					Class: rapid.IntRange(0, 1).Draw(t, "class"), Sent: at, Method: "GET", Repeated: i%3 == 0}
				open[id] = e.Begin
				if e.Kind == Began {
					began++
				}
			} else if e.Kind == Began {
				continue
			}
			if (e.Kind == Answered || e.Kind == ClientLeft) && !ended[e.Begin] {
				ended[e.Begin] = true
				ends++
			} else if e.Kind == Answered || e.Kind == ClientLeft {
				continue // a request has one end
			}
			tally.Handle(e)
			spans := recorder.Handle(e, nil)
			for n, s := range spans {
				if n == 0 {
					if roots[s.ID] {
						t.Fatalf("a trace was recorded twice: %+v", s)
					}
					roots[s.ID] = true
					over++
					delete(open, id)
				}
				if s.Trace != spans[0].Trace || n > 0 && s.Parent != spans[0].ID || s.ID == (SpanID{}) || !(s.End >= s.Start) || s.End > spans[0].End {
					t.Fatalf("%+v of %+v", s, spans[0])
				}
			}
		}
		if recorder.Kept != over || recorder.Discarded != 0 {
			t.Fatalf("%d recorded, %d discarded, %d seen", recorder.Kept, recorder.Discarded, over)
		}
		tries, counted := uint64(0), uint64(0)
		for i := range tally.Requests {
			tries += tally.Requests[i]
			if tally.FirstTries[i] > tally.Requests[i] {
				t.Fatalf("%+v", tally)
			}
		}
		for _, list := range tally.Ends {
			for _, n := range list {
				counted += n
			}
		}
		if tries != began || counted != ends {
			t.Fatalf("%d tries of %d, %d ends of %d", tries, began, counted, ends)
		}
	})
}

// A histogram's buckets hold every value between their bounds, in bounded room.
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
			low, high, in := math.Pow(base, float64(h.Offset+i)), math.Pow(base, float64(h.Offset+i+1)), uint64(0)
			for _, v := range values {
				if v > low*(1+1e-9) && v <= high*(1-1e-9) {
					in++
				}
			}
			if in > n {
				t.Fatalf("bucket %d of (%g, %g] at scale %d has %d of %d values", i, low, high, h.Scale, n, in)
			}
		}
		if sum != h.Count || h.Count != uint64(len(values)) || len(h.Buckets) > maxBuckets {
			t.Fatalf("%+v", h)
		}
	})
}
