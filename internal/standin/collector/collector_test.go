package collector

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracegrpc"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	common "go.opentelemetry.io/proto/otlp/common/v1"
	metrics "go.opentelemetry.io/proto/otlp/metrics/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"elderyard/internal/otlpfile"
	"elderyard/internal/standin/link"
	"elderyard/internal/testpeer"
)

func start(t *testing.T) *Collector {
	t.Helper()
	l, err := link.Listen("x")
	if err != nil {
		t.Fatal(err)
	}
	c := Start(1, l)
	t.Cleanup(c.Close)
	return c
}

// The exporters of the OpenTelemetry SDK can export to the stand-in over HTTP and gRPC, and what they send violates
// none of the rules that it checks.
func TestPublishedExporters(t *testing.T) {
	for name, open := range map[string]func(address string) (*otlptrace.Exporter, error){
		"http": func(a string) (*otlptrace.Exporter, error) {
			return otlptracehttp.New(context.Background(), otlptracehttp.WithEndpoint(a), otlptracehttp.WithInsecure(), otlptracehttp.WithCompression(otlptracehttp.GzipCompression))
		},
		"grpc": func(a string) (*otlptrace.Exporter, error) {
			return otlptracegrpc.New(context.Background(), otlptracegrpc.WithEndpoint(a), otlptracegrpc.WithInsecure(), otlptracegrpc.WithCompressor("gzip"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := start(t)
			e, err := open(c.Address("x"))
			if err != nil {
				t.Fatal(err)
			}
			p := sdktrace.NewTracerProvider(sdktrace.WithSyncer(e), sdktrace.WithResource(resource.NewSchemaless(
				attribute.String("service.name", "s"), attribute.String("service.instance.id", "i"))))
			ctx, root := p.Tracer("t").Start(context.Background(), "root")
			_, child := p.Tracer("t").Start(ctx, "below")
			child.End()
			root.End()
			if err := p.Shutdown(context.Background()); err != nil {
				t.Fatal(err)
			}
			spans := c.Trace(root.SpanContext().TraceID().String()[:9])
			if len(spans) != 2 || spans[0].Name != "below" || spans[0].Instance != "i" || !bytes.Equal(spans[0].ParentSpanId, spans[1].SpanId) || len(c.Flaws()) > 0 {
				t.Errorf("%v %v", spans, c.Flaws())
			}
			resp, err := http.Get("http://" + c.Address("x") + TracesPath + "?id=" + root.SpanContext().TraceID().String())
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if list, err := otlpfile.Read(resp.Body); err != nil || len(list) != 1 || len(list[0].ScopeSpans[0].Spans) != 2 {
				t.Errorf("%v %v", list, err)
			}
		})
	}
}

func pair(key, value string) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: value}}}
}

// Each rule that the stand-in checks for spans reports its violation.
func TestFlawsOfSpans(t *testing.T) {
	valid := func() *trace.Span {
		return &trace.Span{TraceId: bytes.Repeat([]byte{1}, 16), SpanId: bytes.Repeat([]byte{2}, 8), ParentSpanId: bytes.Repeat([]byte{3}, 8), Name: "x",
			Kind: trace.Span_SPAN_KIND_SERVER, StartTimeUnixNano: 1, EndTimeUnixNano: 2, TraceState: "a=1", Attributes: []*common.KeyValue{pair("k", "v")}}
	}
	if f := spanFlaws(valid()); len(f) > 0 {
		t.Fatal(f)
	}
	for want, corrupt := range map[string]func(*trace.Span){
		"trace id": func(s *trace.Span) { s.TraceId = make([]byte, 16) }, "span id": func(s *trace.Span) { s.SpanId = s.SpanId[:7] },
		"parent's id": func(s *trace.Span) { s.ParentSpanId = make([]byte, 8) }, "its own parent": func(s *trace.Span) { s.ParentSpanId = s.SpanId },
		"no name": func(s *trace.Span) { s.Name = "" }, "kind": func(s *trace.Span) { s.Kind = 0 }, "times": func(s *trace.Span) { s.EndTimeUnixNano = 0 },
		"tracestate": func(s *trace.Span) { s.TraceState = "A=1" }, "stands twice": func(s *trace.Span) { s.Attributes = append(s.Attributes, pair("k", "w")) },
		"a message without": func(s *trace.Span) { s.Status = &trace.Status{Message: "x"} },
	} {
		s := valid()
		corrupt(s)
		if f := spanFlaws(s); len(f) != 1 || !strings.Contains(f[0], want) {
			t.Errorf("%s: %v", want, f)
		}
	}
}

// Each rule that the stand-in checks for metrics reports its violation.
func TestFlawsOfMetrics(t *testing.T) {
	cumulative := metrics.AggregationTemporality_AGGREGATION_TEMPORALITY_CUMULATIVE
	sum := func(n int64, from, at uint64) *metrics.Metric {
		return &metrics.Metric{Name: "n", Data: &metrics.Metric_Sum{Sum: &metrics.Sum{IsMonotonic: true, AggregationTemporality: cumulative,
			DataPoints: []*metrics.NumberDataPoint{{StartTimeUnixNano: from, TimeUnixNano: at, Value: &metrics.NumberDataPoint_AsInt{AsInt: n}}}}}}
	}
	histogram := func(count uint64, total float64) *metrics.Metric {
		least, most := 1.0, 2.0
		return &metrics.Metric{Name: "h", Data: &metrics.Metric_ExponentialHistogram{ExponentialHistogram: &metrics.ExponentialHistogram{AggregationTemporality: cumulative,
			DataPoints: []*metrics.ExponentialHistogramDataPoint{{StartTimeUnixNano: 1, TimeUnixNano: 2, Count: count, Sum: &total, Min: &least, Max: &most,
				Positive: &metrics.ExponentialHistogramDataPoint_Buckets{BucketCounts: []uint64{1, 1}}}}}}}
	}
	for name, k := range map[string]struct {
		list []*metrics.Metric
		want string
	}{
		"good":          {[]*metrics.Metric{sum(1, 1, 2), sum(2, 1, 3), sum(0, 4, 5), histogram(2, 3)}, ""},
		"an older one":  {[]*metrics.Metric{sum(5, 1, 9), sum(4, 1, 8)}, ""},
		"down":          {[]*metrics.Metric{sum(2, 1, 2), sum(1, 1, 3)}, "went down"},
		"start back":    {[]*metrics.Metric{sum(2, 5, 6), sum(3, 4, 7)}, "went back"},
		"no start":      {[]*metrics.Metric{sum(2, 0, 6)}, "start time"},
		"below 0":       {[]*metrics.Metric{sum(-1, 1, 6)}, "below 0"},
		"no data":       {[]*metrics.Metric{{Name: "x"}}, "no known kind"},
		"buckets":       {[]*metrics.Metric{histogram(3, 4)}, "buckets hold 2 of 3"},
		"sum too large": {[]*metrics.Metric{histogram(2, 9)}, "sum, least and most"},
	} {
		c := start(t)
		var flaws []string
		for _, m := range k.list {
			c.mu.Lock()
			flaws = append(flaws, c.acceptMetric("i", m)...)
			c.mu.Unlock()
		}
		if k.want == "" && len(flaws) > 0 || k.want != "" && (len(flaws) != 1 || !strings.Contains(flaws[0], k.want)) {
			t.Errorf("%s: %v", name, flaws)
		}
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	c := start(t)
	text, err := proto.Marshal(&trace.TracesData{})
	if err != nil {
		t.Fatal(err)
	}
	for name, k := range map[string]struct {
		kind, encoding string
		body           []byte
		want           int
	}{
		"good": {"application/x-protobuf", "", text, 200}, "json": {"application/json", "", text, 400}, "noise": {"application/x-protobuf", "", []byte("noise"), 400},
		"not packed": {"application/x-protobuf", "gzip", text, 400}, "otherwise packed": {"application/x-protobuf", "br", text, 400},
	} {
		req, err := http.NewRequest("POST", "http://"+c.Address("x")+"/v1/traces", bytes.NewReader(k.body))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", k.kind)
		req.Header.Set("Content-Encoding", k.encoding)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if resp.Body.Close(); resp.StatusCode != k.want {
			t.Errorf("%s: %s", name, resp.Status)
		}
	}
	if len(c.Flaws()) != 4 {
		t.Error(errors.New(strings.Join(c.Flaws(), "; ")))
	}
}

// A call that its caller aborts half way is not reported as a violation, neither over HTTP nor over gRPC. A complete
// body that can't be decoded is reported, and so is a gRPC frame whose length does not match.
func TestAbortedCallIsNoFlaw(t *testing.T) {
	for name, k := range map[string]struct{ path, kind string }{
		"http": {"/v1/traces", "application/x-protobuf"},
		"grpc": {"/opentelemetry.proto.collector.trace.v1.TraceService/Export", "application/grpc"},
	} {
		t.Run(name, func(t *testing.T) {
			c := start(t)
			protocols := new(http.Protocols)
			protocols.SetHTTP1(name == "http")
			protocols.SetUnencryptedHTTP2(name == "grpc")
			transport := &http.Transport{Protocols: protocols, ExpectContinueTimeout: testpeer.Timeout}
			defer transport.CloseIdleConnections()
			call := func(ctx context.Context, body io.Reader) error {
				req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address("x")+k.path, body)
				if err != nil {
					t.Fatal(err)
				}
				req.Header.Set("Content-Type", k.kind)
				req.Header.Set("Te", "trailers")
				req.Header.Set("Expect", "100-continue") // the server sends 100 when the handler reads the body
				resp, err := transport.RoundTrip(req)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				return err
			}
			reading := make(chan struct{})
			ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{Got100Continue: func() { close(reading) }})
			bodyReader, bodyWriter := io.Pipe()
			defer bodyWriter.Close()
			done := make(chan error, 1)
			go func() { done <- call(ctx, bodyReader) }()
			testpeer.Receive(t, reading, "read the body")
			if _, err := bodyWriter.Write([]byte{0, 0}); err != nil {
				t.Fatal(err)
			}
			bodyWriter.CloseWithError(errors.New("aborted"))
			if err := <-done; err == nil {
				t.Error("an aborted call was answered")
			}
			for end := time.Now().Add(testpeer.Timeout); c.Aborted() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			if c.Aborted() != 1 || len(c.Flaws()) != 0 {
				t.Errorf("%d aborted, flaws %q", c.Aborted(), c.Flaws())
			}
			if err := call(context.Background(), bytes.NewReader([]byte{0, 0, 0, 0, 9, 1})); err != nil {
				t.Fatal(err)
			}
			if c.Aborted() != 1 || len(c.Flaws()) != 1 {
				t.Errorf("after an invalid message: %d aborted, flaws %q", c.Aborted(), c.Flaws())
			}
		})
	}
}
