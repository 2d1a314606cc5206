package gateway

import (
	"encoding/hex"
	"net/http"
	"strings"
	"testing"
	"time"

	trace "go.opentelemetry.io/proto/otlp/trace/v1"

	"elderyard/internal/standin/collector"
	"elderyard/internal/standin/link"
	"elderyard/internal/telemetry"
	"elderyard/internal/testpeer"
	"elderyard/traces"
)

const (
	clientTrace  = "4bf92f3577b34da6a3ce929d0e0e4736"
	clientParent = "00-" + clientTrace + "-00f067aa0ba902b7-01"
)

func newCollector(t *testing.T) *collector.Collector {
	t.Helper()
	l, err := link.Listen("")
	if err != nil {
		t.Fatal(err)
	}
	c := collector.Start(1, l)
	t.Cleanup(c.Close)
	return c
}

// exporting returns the settings of a gateway that exports all traces.
func exporting(c *collector.Collector, name string) *telemetry.Settings {
	return &telemetry.Settings{Endpoint: "http://" + c.Address(""), Traces: true, Metrics: true, Interval: 100 * time.Millisecond, Timeout: testTimeout,
		FlushTimeout: testTimeout, QueueBytes: 1 << 20, Tracing: traces.Settings{SampleRatio: 1},
		Resource: []traces.Attr{{Key: "service.name", Value: "elderyard"}, {Key: "service.instance.id", Value: name}}}
}

func unchanged(text string) string { return text }

// stopAndWait stops a gateway, which exports its remaining data.
func (gw *testGateway) stopAndWait(t *testing.T) {
	t.Helper()
	gw.stop()
	if err := testpeer.Receive(t, gw.runErr, "end"); err != nil {
		t.Fatal(err)
	}
}

func expectNoFlaws(t *testing.T, c *collector.Collector) {
	t.Helper()
	for _, f := range c.Flaws() {
		t.Errorf("violation of the specification: %s", f)
	}
}

// A client's trace context is forwarded to the backend under the span of the attempt, and all spans of the
// request are part of the client's trace.
func TestClientTraceIsContinued(t *testing.T) {
	c, backend := newCollector(t), newPeer(t)
	gw := startExportingGateway(t, exporting(c, "g0"), unchanged, backend)
	_, responses := gw.send(t, requestText("POST", "booking", "x", "Traceparent", clientParent, "Tracestate", "rojo=1"))
	conn, br := backend.Accept(t)
	req, _ := readRequest(t, br)
	total(conn, 200, "ok")
	if got := wait(t, responses, "response"); got.StatusCode != 200 {
		t.Fatal(got.Status)
	}
	forwarded, ok := traces.ParseContext(req.Header["Traceparent"], req.Header["Tracestate"])
	if !ok || hex.EncodeToString(forwarded.Trace[:]) != clientTrace || forwarded.TraceState != "rojo=1" || !forwarded.Sampled {
		t.Errorf("forwarded: %v", req.Header)
	}
	gw.stopAndWait(t)
	kinds := map[trace.Span_SpanKind]collector.Span{}
	for _, s := range c.Trace(clientTrace) {
		kinds[s.Kind] = s
	}
	server, attempt := kinds[trace.Span_SPAN_KIND_SERVER], kinds[trace.Span_SPAN_KIND_CLIENT]
	if server.Span == nil || attempt.Span == nil || hex.EncodeToString(server.ParentSpanId) != "00f067aa0ba902b7" ||
		string(attempt.ParentSpanId) != string(server.SpanId) || string(attempt.SpanId) != string(forwarded.Span[:]) || server.Instance != "g0" {
		t.Errorf("%+v", kinds)
	}
	expectNoFlaws(t, c)
}

// A keyed request that fails at one gateway and is served through another, linked only by its key, is one
// trace with the spans of both.
func TestSameKeyAtTwoGatewaysIsOneTrace(t *testing.T) {
	c, backend := newCollector(t), newPeer(t)
	one, two := startExportingGateway(t, exporting(c, "g0"), unchanged, backend), startExportingGateway(t, exporting(c, "g1"), unchanged, backend)
	for i, gw := range []*testGateway{one, two} {
		_, responses := gw.send(t, requestText("POST", "payment", "x", "Traceparent", "00-hostile", "Tracestate", "a=1"))
		conn, br := backend.Accept(t)
		req, _ := readRequest(t, br)
		if req.Header.Get("Tracestate") != "" {
			t.Error("the state of an invalid context was forwarded")
		}
		if i == 0 {
			conn.Close() // after the last byte: the request may have run
			if got := wait(t, responses, "response"); got.StatusCode == 200 {
				t.Fatal(got.Status)
			}
			continue
		}
		total(conn, 200, "ok")
		if got := wait(t, responses, "response"); got.StatusCode != 200 {
			t.Fatal(got.Status)
		}
	}
	one.stopAndWait(t)
	two.stopAndWait(t)
	roots := map[string]string{}
	for _, s := range c.Spans() {
		if s.Kind == trace.Span_SPAN_KIND_SERVER {
			roots[s.Instance] = hex.EncodeToString(s.TraceId)
		}
	}
	if len(roots) != 2 || roots["g0"] != roots["g1"] {
		t.Errorf("traces by gateway: %v", roots)
	}
	if n := c.Sum("elderyard.request.ends", "elderyard.outcome=served"); n != 1 {
		t.Errorf("%g were served", n)
	}
	expectNoFlaws(t, c)
}

// Without an exporter a request's headers are forwarded unchanged, including its trace context.
func TestNoExporterForwardsContextUnchanged(t *testing.T) {
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, responses := gw.send(t, requestText("GET", "lookup", "", "Traceparent", "00-hostile", "Tracestate", "a=1", "Baggage", "x=y"))
	conn, br := backend.Accept(t)
	req, _ := readRequest(t, br)
	total(conn, 200, "ok")
	wait(t, responses, "response")
	for name, want := range map[string]string{"Traceparent": "00-hostile", "Tracestate": "a=1", "Baggage": "x=y"} {
		if req.Header.Get(name) != want {
			t.Errorf("%s: %q", name, req.Header.Get(name))
		}
	}
}

// A request with an invalid trace context is served and starts a trace of its own.
func TestInvalidTraceContexts(t *testing.T) {
	c, backend := newCollector(t), newPeer(t)
	gw := startExportingGateway(t, exporting(c, "g0"), unchanged, backend)
	for _, parent := range []string{"", "00-" + strings.Repeat("0", 32) + "-" + strings.Repeat("0", 16) + "-01", strings.Repeat("f", 4000), "ff" + clientParent[2:]} {
		_, responses := gw.send(t, requestText("GET", "lookup", "", "Traceparent", parent, "Tracestate", strings.Repeat("a=1,", 900), "Connection", "close"))
		conn, br := backend.Accept(t)
		req, _ := readRequest(t, br)
		total(conn, 200, "ok")
		conn.Close()
		if got := wait(t, responses, "response"); got.StatusCode != http.StatusOK {
			t.Fatal(got.Status)
		}
		if _, ok := traces.ParseContext(req.Header["Traceparent"], req.Header["Tracestate"]); !ok || req.Header.Get("Tracestate") != "" {
			t.Errorf("%.20q was forwarded as %v", parent, req.Header)
		}
	}
	gw.stopAndWait(t)
	expectNoFlaws(t, c)
}

// If the collector never responds, requests are served as usual and the gateway ends in time.
func TestSilentCollectorDelaysNothing(t *testing.T) {
	c, backend := newCollector(t), newPeer(t)
	c.SetFaults(collector.Faults{Silent: true})
	set := exporting(c, "g0")
	set.FlushTimeout = 100 * time.Millisecond
	gw := startExportingGateway(t, set, unchanged, backend)
	_, responses := gw.send(t, requestText("GET", "lookup", ""))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	total(conn, 200, "ok")
	if got := wait(t, responses, "response"); got.StatusCode != http.StatusOK {
		t.Fatal(got.Status)
	}
	gw.stopAndWait(t)
}
