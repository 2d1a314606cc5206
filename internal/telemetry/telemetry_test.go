package telemetry

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"elderyard/internal/site"
	"elderyard/internal/standin/collector"
	"elderyard/internal/standin/link"
	"elderyard/internal/testpeer"
	"elderyard/rules"
	"elderyard/traces"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func now() float64 { return float64(time.Now().UnixNano()) / 1e9 }

func newCollector(t *testing.T) *collector.Collector {
	t.Helper()
	l, err := link.Listen("g0")
	if err != nil {
		t.Fatal(err)
	}
	c := collector.Start(1, l)
	t.Cleanup(c.Close)
	return c
}

func settings(address string) Settings {
	return Settings{Endpoint: "http://" + address, Resource: []traces.Attr{{Key: "service.name", Value: "elderyard"}, {Key: "service.instance.id", Value: "g0"}},
		Traces: true, Metrics: true, Interval: 100 * time.Millisecond, Timeout: testpeer.Timeout, Flush: testpeer.Timeout, QueueBytes: 1 << 20,
		Tracing: traces.Settings{Classes: []string{"lookup"}, Plans: []string{"basic"}, LatencyTargets: []float64{0.5}, SampleRatio: 1}}
}

func figures(context.Context) (Figures, error) {
	return Figures{Stats: rules.Stats{ConcurrencyLimit: 4, InFlight: 1, Queued: []int{0, 2}, Healthy: 3}, Calls: [traces.OutcomeCount]uint64{7}}, nil
}

// request records the events of one served request, the nth of the test.
func request(x *Telemetry, n int) {
	var self traces.Context
	binary.BigEndian.PutUint64(self.Trace[:8], uint64(n)+1)
	binary.BigEndian.PutUint64(self.Trace[8:], uint64(n+1)*0x9e3779b97f4a7c15) // as good as random
	binary.BigEndian.PutUint64(self.Span[:], uint64(n)+1)
	at := now()
	b := &traces.Begin{Self: self, Method: "GET", Sent: at, Repeated: n%4 == 3}
	span := self.Span
	span[0] = 1
	x.Record(traces.Event{Kind: traces.Began, At: at, Begin: b})
	x.Record(traces.Event{Kind: traces.Sent, At: at, Begin: b, Span: span, Backend: "n0", Paid: at})
	x.Record(traces.Event{Kind: traces.Ended, At: at + 0.01, Begin: b, Outcome: rules.Served})
	x.Record(traces.Event{Kind: traces.Answered, At: at + 0.01, Begin: b, Status: 200})
}

// idle reports whether all recorded events have been handled, or are about to be.
func (t *Telemetry) idle() bool {
	t.events.mu.Lock()
	defer t.events.mu.Unlock()
	return len(t.events.list) == 0
}

// until waits for something to become true.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testpeer.Timeout); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func noFlaws(t *testing.T, c *collector.Collector) {
	t.Helper()
	for _, f := range c.Flaws() {
		t.Errorf("the specification is broken: %s", f)
	}
}

// All recorded events are exported, and so is every metric of the list.
func TestAllArrives(t *testing.T) {
	c := newCollector(t)
	x := Start(settings(c.Address("g0")), now, figures, quiet)
	const n = 1000
	for i := range n {
		request(x, i)
		if i%100 == 99 {
			until(t, "the events are taken", x.idle)
		}
	}
	x.Close()
	if spans := c.Spans(); len(spans) != 2*n {
		t.Errorf("%d spans of %d", len(spans), 2*n)
	}
	for _, k := range []struct {
		metric, attribute string
		want              float64
	}{{"elderyard.requests", "elderyard.class=lookup", n}, {"elderyard.requests", "elderyard.first=true", n * 3 / 4},
		{"elderyard.request.ends", "elderyard.outcome=served", n}, {"elderyard.counter.calls", "elderyard.outcome=answered", 7},
		{"elderyard.held", "elderyard.level=1", 2}, {"elderyard.attempts", "elderyard.outcome=served", n}} {
		if got := c.Sum(k.metric, k.attribute); got != k.want {
			t.Errorf("%s, %s: %g, want %g", k.metric, k.attribute, got, k.want)
		}
	}
	for _, m := range Metrics() {
		found := false
		for _, attrs := range []string{"", "elderyard.class=lookup"} {
			_, here := c.Get("g0", m.Name, attrs)
			found = found || here
		}
		if !found && c.Sum(m.Name) == 0 && m.Attributes == "" {
			t.Errorf("%s was not exported", m.Name)
		}
	}
	if h, _ := c.Get("g0", "http.server.request.duration", "elderyard.class=lookup"); h.Value != n || len(h.Histogram.Exemplars) != 1 {
		t.Errorf("%+v", h)
	}
	noFlaws(t, c)
}

// With the collector away nothing waits and no more than the bound is held; when
// it is back, the items taken and dropped add up to all that were recorded.
func TestCollectorAwayAndBack(t *testing.T) {
	c := newCollector(t)
	set := settings(c.Address("g0"))
	set.QueueBytes = 16 << 10
	x := Start(set, now, figures, quiet)
	c.Links()[0].Down()
	const n = 6000
	for i := range n {
		request(x, i)
		if i%500 == 499 {
			until(t, "the events are taken", x.idle)
			if bytes, _ := x.state.spanSender.queue.state(); bytes > set.QueueBytes {
				t.Fatalf("%d bytes wait", bytes)
			}
		}
	}
	until(t, "some were dropped", func() bool { _, dropped := x.state.spanSender.queue.state(); return dropped > 0 })
	if err := c.Links()[0].Up(); err != nil {
		t.Fatal(err)
	}
	until(t, "the dropped ones are reported", func() bool {
		return c.Sum("elderyard.telemetry.items", "elderyard.signal=traces", "elderyard.state=dropped") > 0
	})
	x.Close()
	_, dropped := x.state.spanSender.queue.state()
	missed := uint64(0)
	for i := range x.missed {
		missed += x.missed[i].Load()
	}
	if taken := len(c.Spans()); missed != 0 || uint64(taken)+dropped != 2*n || taken == 0 {
		t.Errorf("%d taken and %d dropped of %d; %d events were missed", taken, dropped, 2*n, missed)
	}
	if got := c.Sum("elderyard.telemetry.items", "elderyard.signal=traces", "elderyard.state=dropped"); got != float64(dropped) {
		t.Errorf("%g were reported as dropped, %d were", got, dropped)
	}
	if got := c.Sum("elderyard.requests"); got != n {
		t.Errorf("%g requests are reported of %d", got, n)
	}
	noFlaws(t, c)
}

// A collector that takes and never answers holds nothing up, neither the events nor
// the end.
func TestSilentCollector(t *testing.T) {
	c := newCollector(t)
	c.SetTrouble(collector.Trouble{Silent: true})
	set := settings(c.Address("g0"))
	set.Flush = 100 * time.Millisecond
	x := Start(set, now, figures, quiet)
	for i := range 3 * maxEvents { // more than there is room for, without a wait
		request(x, i)
	}
	done := make(chan struct{})
	go func() { x.Close(); close(done) }()
	testpeer.Receive(t, done, "end")
	_, dropped := x.state.spanSender.queue.state()
	if dropped == 0 || x.state.spanSender.sent.Load() != 0 {
		t.Errorf("%d spans were dropped, %d sent", dropped, x.state.spanSender.sent.Load())
	}
	begun := uint64(0)
	for _, n := range x.state.tally.Requests {
		begun += n
	}
	if begun+x.missed[traces.Began].Load() != 3*maxEvents {
		t.Errorf("%d requests were counted and %d missed of %d", begun, x.missed[traces.Began].Load(), 3*maxEvents)
	}
}

// Each answer of a collector, by the specification.
func TestAnswersOfACollector(t *testing.T) {
	for name, k := range map[string]struct {
		trouble                collector.Trouble
		heals                  bool
		taken, dropped, refuse uint64 // of two spans
	}{
		"full for a while":  {collector.Trouble{Status: 429, RetryAfter: "1"}, true, 2, 0, 0},
		"down for a while":  {collector.Trouble{Status: 503}, true, 2, 0, 0},
		"no right":          {collector.Trouble{Status: 401}, false, 0, 0, 2},
		"bad":               {collector.Trouble{Status: 400}, false, 0, 0, 2},
		"in part":           {collector.Trouble{Refuse: 1}, false, 1, 0, 1},
		"no answer":         {collector.Trouble{Lost: 1}, true, 2, 0, 0},
		"an endless answer": {collector.Trouble{Endless: true}, false, 2, 0, 0},
		"moved":             {collector.Trouble{Status: 307}, false, 0, 0, 2},
	} {
		for _, grpc := range []bool{false, true} {
			if name == "an endless answer" && grpc {
				continue // there an answer that does not end has no status
			}
			t.Run(fmt.Sprintf("%s, gRPC %v", name, grpc), func(t *testing.T) {
				t.Parallel()
				c := newCollector(t)
				c.SetTrouble(k.trouble)
				set := settings(c.Address("g0"))
				set.Metrics, set.GRPC = false, grpc
				x := Start(set, now, figures, quiet)
				request(x, 0)
				s := x.state.spanSender
				until(t, "it was tried", func() bool { return s.failures.Load()+s.sent.Load()+s.rejected.Load() > 0 })
				if k.heals {
					c.SetTrouble(collector.Trouble{})
				}
				until(t, "it came to its end", func() bool { return s.sent.Load()+s.rejected.Load() == 2 })
				x.Close()
				_, dropped := s.queue.state()
				if uint64(len(c.Spans())) != k.taken || dropped != k.dropped || s.rejected.Load() != k.refuse {
					t.Errorf("%d taken, %d dropped, %d refused", len(c.Spans()), dropped, s.rejected.Load())
				}
				noFlaws(t, c)
			})
		}
	}
}

// Over gRPC all recorded events are exported as well.
func TestAllArrivesOverGRPC(t *testing.T) {
	c := newCollector(t)
	set := settings(c.Address("g0"))
	set.GRPC = true
	x := Start(set, now, figures, quiet)
	const n = 200
	for i := range n {
		request(x, i)
	}
	x.Close()
	if spans := len(c.Spans()); spans != 2*n || c.Sum("elderyard.requests") != n {
		t.Errorf("%d spans of %d, %g requests of %d", spans, 2*n, c.Sum("elderyard.requests"), n)
	}
	noFlaws(t, c)
}

// What a call's status means is as OTLP's specification says, with the pause that a
// collector asks for.
func TestStatusesOfCalls(t *testing.T) {
	info := base64.RawStdEncoding.EncodeToString([]byte("\x1a\x30\x0a\x28type.googleapis.com/google.rpc.RetryInfo\x12\x04\x0a\x02\x08\x07"))
	for status := range 17 {
		want := permanentFailure
		switch status {
		case 0:
			want = delivered
		case 1, 4, 10, 11, 14, 15:
			want = retryable
		}
		if got, _ := classifyGRPCStatus(status, ""); got != want {
			t.Errorf("status %d: %v", status, got)
		}
	}
	if v, d := classifyGRPCStatus(8, info); v != retryable || d != 7*time.Second {
		t.Errorf("exhausted, with a pause: %v %v", v, d)
	}
	for _, bad := range []string{"", "!", base64.RawStdEncoding.EncodeToString([]byte("\x1a\xff")), info[:20]} {
		if v, _ := classifyGRPCStatus(8, bad); v != permanentFailure {
			t.Errorf("details %q: %v", bad, v)
		}
	}
}

func FuzzRetryInfo(f *testing.F) {
	f.Add("GjAKKHR5cGUuZ29vZ2xlYXBpcy5jb20vZ29vZ2xlLnJwYy5SZXRyeUluZm8SBAoCCAc")
	f.Fuzz(func(t *testing.T, details string) {
		if d, ok := retryInfo(details); d < 0 || d > maxRetryAfter+time.Second || !ok && d != 0 {
			t.Fatal(d, ok)
		}
	})
}

// A hundred thousand accounts make no series more.
func TestAccountsMakeNoSeries(t *testing.T) {
	c := newCollector(t)
	set := settings(c.Address("g0"))
	set.Tracing.SampleRatio = 0
	x := Start(set, now, figures, quiet)
	for i := range 100_000 {
		at := now()
		b := &traces.Begin{Client: fmt.Sprint(i), Method: "GET", Sent: at}
		x.Record(traces.Event{Kind: traces.Began, At: at, Begin: b})
		x.Record(traces.Event{Kind: traces.Answered, At: at, Begin: b, Status: 429})
		if i%1000 == 999 {
			until(t, "the events are taken", x.idle)
		}
	}
	x.Close()
	if got := c.Sum("elderyard.request.ends", "elderyard.outcome=refused: no quota"); got != 100_000 {
		t.Errorf("%g refusals", got)
	}
	if n := c.SeriesCount(); n > 60 {
		t.Errorf("%d series", n)
	}
	noFlaws(t, c)
}

// Recording an event allocates nothing.
func TestRecordAllocatesNothing(t *testing.T) {
	x := &Telemetry{events: newEventBuffer(4)}
	e := traces.Event{Kind: traces.Ended}
	if n := testing.AllocsPerRun(100, func() { x.Record(e) }); n != 0 {
		t.Errorf("%g allocations", n)
	}
	if x.missed[traces.Ended].Load() == 0 {
		t.Error("events without room were not counted")
	}
}

func TestBackoff(t *testing.T) {
	var b backoff
	last := time.Duration(0)
	for range 20 {
		d := b.next(0)
		if d < b.pause/2 || d > b.pause || b.pause > maxBackoff || b.pause < last {
			t.Fatalf("%v of %v", d, b.pause)
		}
		last = b.pause
	}
	if d := b.next(5 * time.Second); d < 5*time.Second || d > 5*time.Second+initialBackoff {
		t.Errorf("%v where 5s were advised", d)
	}
	b.reset()
	if b.next(0); b.pause != initialBackoff {
		t.Errorf("%v after a success", b.pause)
	}
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for text, want := range map[string]time.Duration{"": 0, "7": 7 * time.Second, "99999": maxRetryAfter, "-1": 0, "soon": 0,
		at.Add(3 * time.Second).Format(http.TimeFormat): 3 * time.Second, at.Add(-time.Hour).Format(http.TimeFormat): 0} {
		if got := retryAfter(http.Header{"Retry-After": {text}}, at); got != want {
			t.Errorf("Retry-After %q: %v, want %v", text, got, want)
		}
	}
	for status, want := range map[int]deliveryResult{200: delivered, 202: delivered, 307: permanentFailure, 400: permanentFailure, 401: permanentFailure, 404: permanentFailure, 413: permanentFailure,
		429: retryable, 500: permanentFailure, 501: permanentFailure, 502: retryable, 503: retryable, 504: retryable} {
		if got := classifyHTTPStatus(status, nil); got != want {
			t.Errorf("status %d: %v", status, got)
		}
	}
	if classifyHTTPStatus(0, errors.New("x")) != retryable {
		t.Error("no answer is final")
	}
}

func TestSettings(t *testing.T) {
	env := func(list ...string) func(string) string {
		return func(name string) string {
			for _, p := range list {
				if k, v, _ := strings.Cut(p, "="); k == name {
					return v
				}
			}
			return ""
		}
	}
	off := site.Defaults().Telemetry
	if s, err := FromSite(off, env(), "g0"); s != nil || err != nil {
		t.Fatalf("on by default: %+v %v", s, err)
	}
	if s, err := FromSite(off, env("OTEL_EXPORTER_OTLP_ENDPOINT=http://127.0.0.1:1", "OTEL_SDK_DISABLED=true"), "g0"); s != nil || err != nil {
		t.Fatalf("%+v %v", s, err)
	}
	s, err := FromSite(off, env("OTEL_EXPORTER_OTLP_ENDPOINT=http://127.0.0.1:1/x/", "OTEL_EXPORTER_OTLP_HEADERS=a=b%20c, d=e", "OTEL_SERVICE_NAME=pl",
		"OTEL_RESOURCE_ATTRIBUTES=team=ops,service.name=no", "OTEL_EXPORTER_OTLP_TIMEOUT=250", "OTEL_TRACES_SAMPLER=traceidratio", "OTEL_TRACES_SAMPLER_ARG=0.25"), "g0")
	if err != nil || s.Endpoint != "http://127.0.0.1:1/x" || s.Headers["a"] != "b c" || s.Headers["d"] != "e" || s.Timeout != 250*time.Millisecond ||
		s.Tracing.SampleRatio != 0.25 || fmt.Sprint(s.Resource) != "[{service.name pl} {service.instance.id g0} {team ops}]" || !s.Tracing.Keep.Late || s.Tracing.Keep.Refused {
		t.Fatalf("%+v %v", s, err)
	}
	on := off
	on.Endpoint, on.Share, on.Service = "https://collector:4318", 0.5, "x"
	if s, err = FromSite(on, env("OTEL_EXPORTER_OTLP_ENDPOINT=http://127.0.0.1:1", "OTEL_SERVICE_NAME=pl", "OTEL_TRACES_SAMPLER=always_on"), "g0"); err != nil ||
		s.Endpoint != on.Endpoint || s.Tracing.SampleRatio != 0.5 || s.Resource[0].Value != "x" {
		t.Errorf("the file comes first: %+v %v", s, err)
	}
	for _, bad := range []string{"OTEL_EXPORTER_OTLP_ENDPOINT=ftp://x", "OTEL_EXPORTER_OTLP_PROTOCOL=http/json", "OTEL_EXPORTER_OTLP_HEADERS=a", "OTEL_EXPORTER_OTLP_TIMEOUT=0",
		"OTEL_METRIC_EXPORT_INTERVAL=x", "OTEL_TRACES_SAMPLER=some", "OTEL_TRACES_SAMPLER=traceidratio", "OTEL_RESOURCE_ATTRIBUTES=a=%zz"} {
		if s, err := FromSite(off, env(bad, "OTEL_EXPORTER_OTLP_ENDPOINT=http://127.0.0.1:1"), "g0"); err == nil {
			t.Errorf("%s was taken: %+v", bad, s)
		} else if name, _, _ := strings.Cut(bad, "="); !strings.Contains(err.Error(), name) && name != "OTEL_EXPORTER_OTLP_ENDPOINT" {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

// The operators' page has the list of metrics as the code has it.
func TestThePageHasAllMetrics(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/otlp.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Page()) {
		t.Errorf("docs/operate/otlp.md lacks the present list:\n%s", Page())
	}
}

// BenchmarkRecord measures what an event costs the request path, and what it costs in all.
func BenchmarkRecord(b *testing.B) {
	x, _ := newTelemetry(Settings{Endpoint: "http://127.0.0.1:1", Interval: time.Hour, Timeout: time.Second, QueueBytes: 1 << 20, Traces: true,
		Tracing: traces.Settings{Classes: []string{"lookup"}, Plans: []string{"basic"}, LatencyTargets: []float64{0.5}, SampleRatio: 0.01}}, now, figures, quiet)
	b.ReportAllocs()
	for i := range b.N {
		request(x, i)
		if i%1000 == 999 {
			x.handleEvents()
		}
	}
}
