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

// Bits of a span's flags: W3C's sampled bit, and OTLP's bits for whether the parent is in another process.
const (
	flagSampled   = 0x1
	flagHasRemote = 0x100
	flagIsRemote  = 0x200
)

func value(v any) *common.AnyValue {
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
	panic(fmt.Sprintf("attribute of type %T", v)) // this program sets no others
}

func attributes(list []traces.Attr) (out []*common.KeyValue) {
	for _, a := range list {
		out = append(out, &common.KeyValue{Key: a.Key, Value: value(a.Value)})
	}
	return out
}

// encoder encodes the messages of one process.
type encoder struct {
	resource *resource.Resource
	scope    *common.InstrumentationScope
	text     []byte       // buffer of the last message, reused
	zip      *gzip.Writer // reused, as its tables are large
}

func newEncoder(attrs []traces.Attr) *encoder {
	z, err := gzip.NewWriterLevel(nil, gzip.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return &encoder{resource: &resource.Resource{Attributes: attributes(attrs)}, scope: &common.InstrumentationScope{Name: scopeName}, zip: z}
}

// spans encodes spans as one message.
func (e *encoder) spans(list []traces.Span) (batch, error) {
	made := &trace.ScopeSpans{Scope: e.scope}
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
		made.Spans = append(made.Spans, span)
	}
	return e.pack(&coltrace.ExportTraceServiceRequest{ResourceSpans: []*trace.ResourceSpans{{Resource: e.resource, ScopeSpans: []*trace.ScopeSpans{made}}}}, len(list))
}

// metrics encodes metrics as one message.
func (e *encoder) metrics(list []*metrics.Metric) (batch, error) {
	points := 0
	for _, m := range list {
		points += len(m.GetSum().GetDataPoints()) + len(m.GetGauge().GetDataPoints()) + len(m.GetExponentialHistogram().GetDataPoints())
	}
	return e.pack(&colmetrics.ExportMetricsServiceRequest{ResourceMetrics: []*metrics.ResourceMetrics{{Resource: e.resource,
		ScopeMetrics: []*metrics.ScopeMetrics{{Scope: e.scope, Metrics: list}}}}}, points)
}

// pack marshals and compresses a message of so many items.
func (e *encoder) pack(m proto.Message, items int) (b batch, err error) {
	if e.text, err = (proto.MarshalOptions{}).MarshalAppend(e.text[:0], m); err != nil {
		return batch{}, fmt.Errorf("telemetry: %w", err)
	}
	var packed bytes.Buffer
	e.zip.Reset(&packed)
	e.zip.Write(e.text) // writing to memory can't fail
	if err := e.zip.Close(); err != nil {
		return batch{}, fmt.Errorf("telemetry: %w", err)
	}
	return batch{packed.Bytes(), items}, nil
}

// The collector's replies to accepted messages.
type (
	traceReply struct {
		coltrace.ExportTraceServiceResponse
	}
	metricsReply struct {
		colmetrics.ExportMetricsServiceResponse
	}
)

func (r *traceReply) rejected() int64   { return r.GetPartialSuccess().GetRejectedSpans() }
func (r *metricsReply) rejected() int64 { return r.GetPartialSuccess().GetRejectedDataPoints() }
