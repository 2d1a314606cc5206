package otlpfile

import (
	"bytes"
	"strings"
	"testing"

	common "go.opentelemetry.io/proto/otlp/common/v1"
	resource "go.opentelemetry.io/proto/otlp/resource/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"
	"google.golang.org/protobuf/proto"
)

// testSpans returns one span. It has an attribute with the name of an ID field, whose value must not be converted, and
// an integer that JSON numbers cannot represent exactly.
func testSpans() []*trace.ResourceSpans {
	text := func(s string) *common.AnyValue {
		return &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: s}}
	}
	return []*trace.ResourceSpans{{Resource: &resource.Resource{Attributes: []*common.KeyValue{{Key: "service.instance.id", Value: text("g0")}}},
		ScopeSpans: []*trace.ScopeSpans{{Spans: []*trace.Span{{TraceId: bytes.Repeat([]byte{0xab}, 16), SpanId: bytes.Repeat([]byte{1}, 8),
			ParentSpanId: bytes.Repeat([]byte{2}, 8), Name: "GET /lookup", Kind: trace.Span_SPAN_KIND_SERVER, StartTimeUnixNano: 1 << 60,
			Attributes: []*common.KeyValue{{Key: "traceId", Value: text("not an id")}, {Key: "n", Value: &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: 1 << 60}}}}}}}}}}
}

// Written spans have the IDs and numbers of OTLP's JSON and are read back unchanged.
func TestWriteAndRead(t *testing.T) {
	var out bytes.Buffer
	for range 2 {
		if err := Write(&out, testSpans()); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{`"traceId":"abababababababababababababababab"`, `"spanId":"0101010101010101"`, `"kind":2`, `"startTimeUnixNano":"1152921504606846976"`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in %s", want, out.String())
		}
	}
	list, err := Read(&out)
	if err != nil || len(list) != 2 || !proto.Equal(list[1], testSpans()[0]) {
		t.Fatalf("%v %v", err, list)
	}
}

// Errors contain the line number and the invalid field. Unknown fields of later versions are ignored.
func TestReadErrors(t *testing.T) {
	for text, want := range map[string]string{"\n{\n": "line 2", `{"resourceSpans":[{"scopeSpans":[{"spans":[{"traceId":"xyz"}]}]}]}`: `traceId "xyz"`, "{}\n[]\n": "line 2"} {
		if _, err := Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if list, err := Read(strings.NewReader(`{"resourceSpans":[],"later":{"a":1}}`)); err != nil || len(list) != 0 {
		t.Errorf("unknown field: %v", err)
	}
}

func FuzzRead(f *testing.F) {
	var out bytes.Buffer
	if err := Write(&out, testSpans()); err != nil {
		f.Fatal(err)
	}
	f.Add(out.Bytes())
	f.Add([]byte(`{"resourceSpans":[{}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Read(bytes.NewReader(text))
		if err != nil || len(list) == 0 {
			return
		}
		var out bytes.Buffer
		if err := Write(&out, list); err != nil {
			t.Fatal(err)
		}
		if again, err := Read(&out); err != nil || len(again) != len(list) {
			t.Fatalf("%v: %d of %d", err, len(again), len(list))
		}
	})
}
