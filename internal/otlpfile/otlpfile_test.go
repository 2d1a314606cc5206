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

func sample() []*trace.ResourceSpans {
	text := func(s string) *common.AnyValue {
		return &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: s}}
	}
	return []*trace.ResourceSpans{{Resource: &resource.Resource{Attributes: []*common.KeyValue{{Key: "service.instance.id", Value: text("g0")}}},
		ScopeSpans: []*trace.ScopeSpans{{Spans: []*trace.Span{{TraceId: bytes.Repeat([]byte{0xab}, 16), SpanId: bytes.Repeat([]byte{1}, 8),
			ParentSpanId: bytes.Repeat([]byte{2}, 8), Name: "GET /lookup", Kind: trace.Span_SPAN_KIND_SERVER, StartTimeUnixNano: 1 << 60,
			Attributes: []*common.KeyValue{{Key: "traceId", Value: text("not an id")}, {Key: "n", Value: &common.AnyValue{Value: &common.AnyValue_IntValue{IntValue: 1 << 60}}}}}}}}}}
}

func TestWhatIsWrittenIsRead(t *testing.T) {
	var b bytes.Buffer
	for range 2 {
		if err := Write(&b, sample()); err != nil {
			t.Fatal(err)
		}
	}
	for _, want := range []string{`"traceId":"abababababababababababababababab"`, `"spanId":"0101010101010101"`, `"kind":2`, `"startTimeUnixNano":"1152921504606846976"`} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %s in %s", want, b.String())
		}
	}
	list, err := Read(&b)
	if err != nil || len(list) != 2 || !proto.Equal(list[1], sample()[0]) {
		t.Fatalf("%v %v", err, list)
	}
}

func TestBadLinesAreNamed(t *testing.T) {
	for text, want := range map[string]string{"\n{\n": "line 2", `{"resourceSpans":[{"scopeSpans":[{"spans":[{"traceId":"xyz"}]}]}]}`: `traceId "xyz"`, "{}\n[]\n": "line 2"} {
		if _, err := Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if list, err := Read(strings.NewReader(`{"resourceSpans":[],"later":{"a":1}}`)); err != nil || len(list) != 0 {
		t.Errorf("a later field: %v", err)
	}
}

func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	if err := Write(&b, sample()); err != nil {
		f.Fatal(err)
	}
	f.Add(b.Bytes())
	f.Add([]byte(`{"resourceSpans":[{}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Read(bytes.NewReader(text))
		if err != nil || len(list) == 0 {
			return
		}
		var b bytes.Buffer
		if err := Write(&b, list); err != nil {
			t.Fatal(err)
		}
		if again, err := Read(&b); err != nil || len(again) != len(list) {
			t.Fatalf("%v: %d of %d", err, len(again), len(list))
		}
	})
}
