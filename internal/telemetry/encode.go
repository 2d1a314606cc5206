package telemetry

import (
	"bytes"
	"compress/gzip"
	"fmt"

	colmetrics "go.opentelemetry.io/proto/slim/otlp/collector/metrics/v1"
	coltrace "go.opentelemetry.io/proto/slim/otlp/collector/trace/v1"
	common "go.opentelemetry.io/proto/slim/otlp/common/v1"
	metrics "go.opentelemetry.io/proto/slim/otlp/metrics/v1"
	resource "go.opentelemetry.io/proto/slim/otlp/resource/v1"
	trace "go.opentelemetry.io/proto/slim/otlp/trace/v1"
	"google.golang.org/protobuf/proto"

	"elderyard/traces"
)

// scopeName is the instrumentation scope of all signals.
const scopeName = "elderyard"

// Bits of a span's flags: the sampled bit of W3C Trace Context, and the bits of OTLP for a parent in another process.
const (
	flagSampled   = 0x1
	flagHasRemote = 0x100
	flagIsRemote  = 0x200
)

// anyValue converts the value of an attribute.
func anyValue(v any) *common.AnyValue {
	switch v := v.(type) {
	case string:
		return &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: v}}
	case bool:
		return &common.AnyValue{Value: &common.AnyValue_BoolValue{BoolValue: v}}
	case int64:
		return &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: v}}
	case float64:
		return &common.AnyValue{Value: &common.AnyValue_DoubleValue{DoubleValue: v}}
	}
	panic(fmt.Sprintf("unsupported attribute type %T", v)) // no caller sets another type
}

func attributes(list []traces.Attr) (out []*common.KeyValue) {
	for _, a := range list {
		out = append(out, &common.KeyValue{Key: a.Key, Value: anyValue(a.Value)})
	}
	return out
}

// encoder encodes OTLP messages with the resource of this process.
type encoder struct {
	resource *resource.Resource
	scope    *common.InstrumentationScope
	buffer   []byte       // the last uncompressed message, reused
	gzip     *gzip.Writer // reused: its tables are large
}

func newEncoder(attrs []traces.Attr) *encoder {
	writer, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return &encoder{resource: &resource.Resource{Attributes: attributes(attrs)}, scope: &common.InstrumentationScope{Name: scopeName}, gzip: writer}
}

// spans encodes spans as one batch.
func (e *encoder) spans(list []traces.Span) (batch, error) {
	out := &trace.ScopeSpans{Scope: e.scope}
	for i := range list {
		s := &list[i]
		span := &trace.Span{TraceId: s.Trace[:], SpanId: s.ID[:], TraceState: s.TraceState, Name: s.Name, Kind: trace.Span_SpanKind(s.Kind),
			StartTimeUnixNano: traces.UnixNanos(s.Start), EndTimeUnixNano: traces.UnixNanos(s.End), Attributes: attributes(s.Attrs),
			Flags: flagHasRemote, Status: &trace.Status{}}
		if s.Parent != (traces.SpanID{}) {
			span.ParentSpanId = s.Parent[:]
			if s.Kind == traces.Server {
				span.Flags |= flagIsRemote
			}
		}
		if s.Sampled {
			span.Flags |= flagSampled
		}
		if s.Failed {
			span.Status = &trace.Status{Code: trace.Status_STATUS_CODE_ERROR, Message: s.Message}
		}
		out.Spans = append(out.Spans, span)
	}
	return e.encode(&coltrace.ExportTraceServiceRequest{ResourceSpans: []*trace.ResourceSpans{{Resource: e.resource, ScopeSpans: []*trace.ScopeSpans{out}}}}, len(list))
}

// metrics encodes metrics as one batch.
func (e *encoder) metrics(list []*metrics.Metric) (batch, error) {
	points := 0
	for _, m := range list {
		points += len(m.GetSum().GetDataPoints()) + len(m.GetGauge().GetDataPoints()) + len(m.GetExponentialHistogram().GetDataPoints())
	}
	return e.encode(&colmetrics.ExportMetricsServiceRequest{ResourceMetrics: []*metrics.ResourceMetrics{{Resource: e.resource,
		ScopeMetrics: []*metrics.ScopeMetrics{{Scope: e.scope, Metrics: list}}}}}, points)
}

// encode marshals and compresses a message with the given number of items.
func (e *encoder) encode(m proto.Message, items int) (b batch, err error) {
	if e.buffer, err = (proto.MarshalOptions{}).MarshalAppend(e.buffer[:0], m); err != nil {
		return batch{}, fmt.Errorf("telemetry: %w", err)
	}
	var compressed bytes.Buffer
	e.gzip.Reset(&compressed)
	e.gzip.Write(e.buffer) // writing to memory cannot fail
	if err := e.gzip.Close(); err != nil {
		return batch{}, fmt.Errorf("telemetry: %w", err)
	}
	return batch{compressed.Bytes(), items}, nil
}

// The responses to accepted messages, by signal.
type (
	traceResponse struct {
		coltrace.ExportTraceServiceResponse
	}
	metricsResponse struct {
		colmetrics.ExportMetricsServiceResponse
	}
)

func (r *traceResponse) rejected() int64   { return r.GetPartialSuccess().GetRejectedSpans() }
func (r *metricsResponse) rejected() int64 { return r.GetPartialSuccess().GetRejectedDataPoints() }
