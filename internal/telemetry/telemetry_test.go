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

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

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
		Traces: true, Metrics: true, Interval: 100 * time.Millisecond, Timeout: testpeer.Timeout, FlushTimeout: testpeer.Timeout, QueueBytes: 1 << 20,
		Tracing: traces.Settings{Classes: []string{"lookup"}, Plans: []string{"basic"}, LatencyObjectives: []float64{0.5}, SampleRatio: 1}}
}

func testStats(context.Context) (GatewayStats, error) {
	return GatewayStats{Stats: rules.Stats{ConcurrencyLimit: 4, InFlight: 1, Queued: []int{0, 2}, Healthy: 3}, CounterCalls: [traces.OutcomeCount]uint64{7}}, nil
}

// recordRequest records the events of one served request, the nth of the test.
func recordRequest(exporter *Exporter, n int) {
	var self traces.Context
	binary.BigEndian.PutUint64(self.Trace[:8], uint64(n)+1)
	binary.BigEndian.PutUint64(self.Trace[8:], uint64(n+1)*0x9e3779b97f4a7c15) // golden ratio: spreads the IDs like random ones
	binary.BigEndian.PutUint64(self.Span[:], uint64(n)+1)
	at := now()
	b := &traces.Request{SpanContext: self, Method: "GET", SentAt: at, IsRetry: n%4 == 3}
	span := self.Span
	span[0] = 1
	exporter.Record(traces.Event{Kind: traces.RequestAccepted, At: at, Request: b})
	exporter.Record(traces.Event{Kind: traces.AttemptStarted, At: at, Request: b, SpanID: span, Backend: "n0", AdmittedAt: at})
	exporter.Record(traces.Event{Kind: traces.AttemptEnded, At: at + 0.01, Request: b, Outcome: rules.Served})
	exporter.Record(traces.Event{Kind: traces.FinalResponse, At: at + 0.01, Request: b, Status: 200})
}

// idle reports whether the exporter has fetched all recorded events.
func (t *Exporter) idle() bool {
	t.events.mu.Lock()
	defer t.events.mu.Unlock()
	return len(t.events.list) == 0
}

// waitUntil waits for a condition and fails the test if it does not hold in time.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testpeer.Timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out before %s", what)
		}
	}
}

// checkNoViolations fails the test for each violation of the OTLP specification that the collector found.
func checkNoViolations(t *testing.T, c *collector.Collector) {
	t.Helper()
	for _, f := range c.Flaws() {
		t.Errorf("the specification is violated: %s", f)
	}
}

// All recorded events are exported, and so is every metric in Metrics.
func TestExportsAllEvents(t *testing.T) {
	c := newCollector(t)
	exporter := Start(settings(c.Address("g0")), now, testStats, discardLogger)
	const n = 1000
	for i := range n {
		recordRequest(exporter, i)
		if i%100 == 99 {
			waitUntil(t, "the events are fetched", exporter.idle)
		}
	}
	exporter.Close()
	if spans := c.Spans(); len(spans) != 2*n {
		t.Errorf("%d spans exported of %d", len(spans), 2*n)
	}
	for _, tc := range []struct {
		metric, attribute string
		want              float64
	}{{"elderyard.requests", "elderyard.class=lookup", n}, {"elderyard.requests", "elderyard.first=true", n * 3 / 4},
		{"elderyard.request.ends", "elderyard.outcome=served", n}, {"elderyard.counter.calls", "elderyard.outcome=answered", 7},
		{"elderyard.held", "elderyard.level=1", 2}, {"elderyard.attempts", "elderyard.outcome=served", n}} {
		if got := c.Sum(tc.metric, tc.attribute); got != tc.want {
			t.Errorf("%s, %s: %g, want %g", tc.metric, tc.attribute, got, tc.want)
		}
	}
	for _, m := range Metrics() {
		found := false
		for _, attrs := range []string{"", "elderyard.class=lookup"} {
			_, ok := c.Get("g0", m.Name, attrs)
			found = found || ok
		}
		if !found && c.Sum(m.Name) == 0 && m.Attributes == "" {
			t.Errorf("%s was not exported", m.Name)
		}
	}
	if h, _ := c.Get("g0", "http.server.request.duration", "elderyard.class=lookup"); h.Value != n || len(h.Histogram.Exemplars) != 1 {
		t.Errorf("%+v", h)
	}
	checkNoViolations(t, c)
}

// During an outage of the collector no request waits and the queue stays within its limit. After the outage, the items
// received and dropped add up to all that were recorded.
func TestCollectorOutage(t *testing.T) {
	c := newCollector(t)
	set := settings(c.Address("g0"))
	set.QueueBytes = 16 << 10
	exporter := Start(set, now, testStats, discardLogger)
	c.Links()[0].Down()
	const n = 6000
	for i := range n {
		recordRequest(exporter, i)
		if i%500 == 499 {
			waitUntil(t, "the events are fetched", exporter.idle)
			if bytes, _ := exporter.state.spanSender.queue.stats(); bytes > set.QueueBytes {
				t.Fatalf("%d bytes are queued", bytes)
			}
		}
	}
	waitUntil(t, "spans are dropped", func() bool { _, dropped := exporter.state.spanSender.queue.stats(); return dropped > 0 })
	if err := c.Links()[0].Up(); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "the dropped spans are reported", func() bool {
		return c.Sum("elderyard.telemetry.items", "elderyard.signal=traces", "elderyard.state=dropped") > 0
	})
	exporter.Close()
	_, dropped := exporter.state.spanSender.queue.stats()
	droppedEvents := uint64(0)
	for i := range exporter.droppedEvents {
		droppedEvents += exporter.droppedEvents[i].Load()
	}
	if received := len(c.Spans()); droppedEvents != 0 || uint64(received)+dropped != 2*n || received == 0 {
		t.Errorf("%d spans received and %d dropped of %d; %d events dropped", received, dropped, 2*n, droppedEvents)
	}
	if got := c.Sum("elderyard.telemetry.items", "elderyard.signal=traces", "elderyard.state=dropped"); got != float64(dropped) {
		t.Errorf("%g spans reported as dropped, want %d", got, dropped)
	}
	if got := c.Sum("elderyard.requests"); got != n {
		t.Errorf("%g requests reported of %d", got, n)
	}
	checkNoViolations(t, c)
}

// A collector that accepts requests and never responds blocks neither Record nor Close.
func TestUnresponsiveCollector(t *testing.T) {
	c := newCollector(t)
	c.SetFaults(collector.Faults{Silent: true})
	set := settings(c.Address("g0"))
	set.FlushTimeout = 100 * time.Millisecond
	exporter := Start(set, now, testStats, discardLogger)
	for i := range 3 * maxEvents { // more events than the buffer holds, without waiting
		recordRequest(exporter, i)
	}
	done := make(chan struct{})
	go func() { exporter.Close(); close(done) }()
	testpeer.Receive(t, done, "Close")
	_, dropped := exporter.state.spanSender.queue.stats()
	if dropped == 0 || exporter.state.spanSender.sent.Load() != 0 {
		t.Errorf("%d spans dropped, %d sent", dropped, exporter.state.spanSender.sent.Load())
	}
	accepted := uint64(0)
	for _, n := range exporter.state.tally.Requests {
		accepted += n
	}
	if accepted+exporter.droppedEvents[traces.RequestAccepted].Load() != 3*maxEvents {
		t.Errorf("%d requests counted and %d dropped of %d", accepted, exporter.droppedEvents[traces.RequestAccepted].Load(), 3*maxEvents)
	}
}

// Responses of a collector lead to a retry, a drop or a partial success as the OTLP specification requires.
func TestCollectorResponses(t *testing.T) {
	for name, tc := range map[string]struct {
		trouble                     collector.Faults
		recovers                    bool
		received, dropped, rejected uint64 // of two spans
	}{
		"temporarily overloaded":  {collector.Faults{Status: 429, RetryAfter: "1"}, true, 2, 0, 0},
		"temporarily unavailable": {collector.Faults{Status: 503}, true, 2, 0, 0},
		"unauthorized":            {collector.Faults{Status: 401}, false, 0, 0, 2},
		"bad request":             {collector.Faults{Status: 400}, false, 0, 0, 2},
		"partial success":         {collector.Faults{Refuse: 1}, false, 1, 0, 1},
		"no response":             {collector.Faults{NoReply: 1}, true, 2, 0, 0},
		"endless response":        {collector.Faults{Endless: true}, false, 2, 0, 0},
		"redirect":                {collector.Faults{Status: 307}, false, 0, 0, 2},
	} {
		for _, grpc := range []bool{false, true} {
			if name == "endless response" && grpc {
				continue // over gRPC, the status follows the end of the response
			}
			t.Run(fmt.Sprintf("%s, gRPC %v", name, grpc), func(t *testing.T) {
				t.Parallel()
				c := newCollector(t)
				c.SetFaults(tc.trouble)
				set := settings(c.Address("g0"))
				set.Metrics, set.GRPC = false, grpc
				exporter := Start(set, now, testStats, discardLogger)
				recordRequest(exporter, 0)
				s := exporter.state.spanSender
				waitUntil(t, "the first delivery ends", func() bool { return s.failures.Load()+s.sent.Load()+s.rejected.Load() > 0 })
				if tc.recovers {
					c.SetFaults(collector.Faults{})
				}
				waitUntil(t, "all spans are sent or rejected", func() bool { return s.sent.Load()+s.rejected.Load() == 2 })
				exporter.Close()
				_, dropped := s.queue.stats()
				if uint64(len(c.Spans())) != tc.received || dropped != tc.dropped || s.rejected.Load() != tc.rejected {
					t.Errorf("%d received, %d dropped, %d rejected", len(c.Spans()), dropped, s.rejected.Load())
				}
				checkNoViolations(t, c)
			})
		}
	}
}

// All recorded events are exported over gRPC, too.
func TestExportsAllEventsOverGRPC(t *testing.T) {
	c := newCollector(t)
	set := settings(c.Address("g0"))
	set.GRPC = true
	exporter := Start(set, now, testStats, discardLogger)
	const n = 200
	for i := range n {
		recordRequest(exporter, i)
	}
	exporter.Close()
	if spans := len(c.Spans()); spans != 2*n || c.Sum("elderyard.requests") != n {
		t.Errorf("%d spans exported of %d, %g requests of %d", spans, 2*n, c.Sum("elderyard.requests"), n)
	}
	checkNoViolations(t, c)
}

// gRPC statuses are classified as the OTLP specification requires, with the delay that the collector requests.
func TestClassifyGRPCStatus(t *testing.T) {
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
		t.Errorf("resource exhausted with a retry delay: %v %v", v, d)
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

// The number of series does not depend on the number of accounts, here 100000.
func TestSeriesDoNotGrowWithAccounts(t *testing.T) {
	c := newCollector(t)
	set := settings(c.Address("g0"))
	set.Tracing.SampleRatio = 0
	exporter := Start(set, now, testStats, discardLogger)
	for i := range 100_000 {
		at := now()
		b := &traces.Request{RequestID: fmt.Sprint(i), Method: "GET", SentAt: at}
		exporter.Record(traces.Event{Kind: traces.RequestAccepted, At: at, Request: b})
		exporter.Record(traces.Event{Kind: traces.FinalResponse, At: at, Request: b, Status: 429})
		if i%1000 == 999 {
			waitUntil(t, "the events are fetched", exporter.idle)
		}
	}
	exporter.Close()
	if got := c.Sum("elderyard.request.ends", "elderyard.outcome=refused: no quota"); got != 100_000 {
		t.Errorf("%g refusals", got)
	}
	if n := c.SeriesCount(); n > 60 {
		t.Errorf("%d series", n)
	}
	checkNoViolations(t, c)
}

// Recording an event does not allocate.
func TestRecordDoesNotAllocate(t *testing.T) {
	exporter := &Exporter{events: newEventBuffer(4)}
	e := traces.Event{Kind: traces.AttemptEnded}
	if n := testing.AllocsPerRun(100, func() { exporter.Record(e) }); n != 0 {
		t.Errorf("%g allocations", n)
	}
	if exporter.droppedEvents[traces.AttemptEnded].Load() == 0 {
		t.Error("events that did not fit were not counted")
	}
}

func TestBackoff(t *testing.T) {
	var b backoff
	last := time.Duration(0)
	for range 20 {
		d := b.next(0)
		if d < b.limit/2 || d > b.limit || b.limit > maxBackoff || b.limit < last {
			t.Fatalf("%v of %v", d, b.limit)
		}
		last = b.limit
	}
	if d := b.next(5 * time.Second); d < 5*time.Second || d > 5*time.Second+initialBackoff {
		t.Errorf("%v, where the collector requested 5s", d)
	}
	b.reset()
	if b.next(0); b.limit != initialBackoff {
		t.Errorf("%v after a success", b.limit)
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
		t.Error("a delivery without a response is not retryable")
	}
}

func TestSettings(t *testing.T) {
	env := func(list ...string) func(string) string {
		return func(name string) string {
			for _, p := range list {
				if key, v, _ := strings.Cut(p, "="); key == name {
					return v
				}
			}
			return ""
		}
	}
	disabled := site.Defaults().Telemetry
	if s, err := FromSite(disabled, env(), "g0"); s != nil || err != nil {
		t.Fatalf("enabled by default: %+v %v", s, err)
	}
	if s, err := FromSite(disabled, env("OTEL_EXPORTER_OTLP_ENDPOINT=http://127.0.0.1:1", "OTEL_SDK_DISABLED=true"), "g0"); s != nil || err != nil {
		t.Fatalf("%+v %v", s, err)
	}
	s, err := FromSite(disabled, env("OTEL_EXPORTER_OTLP_ENDPOINT=http://127.0.0.1:1/x/", "OTEL_EXPORTER_OTLP_HEADERS=a=b%20c, d=e", "OTEL_SERVICE_NAME=pl",
		"OTEL_RESOURCE_ATTRIBUTES=team=ops,service.name=no", "OTEL_EXPORTER_OTLP_TIMEOUT=250", "OTEL_TRACES_SAMPLER=traceidratio", "OTEL_TRACES_SAMPLER_ARG=0.25"), "g0")
	if err != nil || s.Endpoint != "http://127.0.0.1:1/x" || s.Headers["a"] != "b c" || s.Headers["d"] != "e" || s.Timeout != 250*time.Millisecond ||
		s.Tracing.SampleRatio != 0.25 || fmt.Sprint(s.Resource) != "[{service.name pl} {service.instance.id g0} {team ops}]" || !s.Tracing.AlwaysSample.Late || s.Tracing.AlwaysSample.Refused {
		t.Fatalf("%+v %v", s, err)
	}
	configured := disabled
	configured.Endpoint, configured.Share, configured.Service = "https://collector:4318", 0.5, "x"
	if s, err = FromSite(configured, env("OTEL_EXPORTER_OTLP_ENDPOINT=http://127.0.0.1:1", "OTEL_SERVICE_NAME=pl", "OTEL_TRACES_SAMPLER=always_on"), "g0"); err != nil ||
		s.Endpoint != configured.Endpoint || s.Tracing.SampleRatio != 0.5 || s.Resource[0].Value != "x" {
		t.Errorf("the environment overrides the site file: %+v %v", s, err)
	}
	for _, bad := range []string{"OTEL_EXPORTER_OTLP_ENDPOINT=ftp://x", "OTEL_EXPORTER_OTLP_PROTOCOL=http/json", "OTEL_EXPORTER_OTLP_HEADERS=a", "OTEL_EXPORTER_OTLP_TIMEOUT=0",
		"OTEL_METRIC_EXPORT_INTERVAL=x", "OTEL_TRACES_SAMPLER=some", "OTEL_TRACES_SAMPLER=traceidratio", "OTEL_RESOURCE_ATTRIBUTES=a=%zz"} {
		if s, err := FromSite(disabled, env(bad, "OTEL_EXPORTER_OTLP_ENDPOINT=http://127.0.0.1:1"), "g0"); err == nil {
			t.Errorf("%s was accepted: %+v", bad, s)
		} else if name, _, _ := strings.Cut(bad, "="); !strings.Contains(err.Error(), name) && name != "OTEL_EXPORTER_OTLP_ENDPOINT" {
			t.Errorf("%s: %v", bad, err)
		}
	}
}

// The table of metrics on the operators' page is current.
func TestMetricsPageIsCurrent(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/otlp.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), MetricsTable()) {
		t.Errorf("docs/operate/otlp.md lacks the current table:\n%s", MetricsTable())
	}
}

// BenchmarkRecord measures the cost of the events of a request, including their handling in the exporter.
func BenchmarkRecord(b *testing.B) {
	exporter, _ := newExporter(Settings{Endpoint: "http://127.0.0.1:1", Interval: time.Hour, Timeout: time.Second, QueueBytes: 1 << 20, Traces: true,
		Tracing: traces.Settings{Classes: []string{"lookup"}, Plans: []string{"basic"}, LatencyObjectives: []float64{0.5}, SampleRatio: 0.01}}, now, testStats, discardLogger)
	b.ReportAllocs()
	for i := range b.N {
		recordRequest(exporter, i)
		if i%1000 == 999 {
			exporter.handleEvents()
		}
	}
}
