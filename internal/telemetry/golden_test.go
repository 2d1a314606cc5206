package telemetry

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	common "go.opentelemetry.io/proto/slim/otlp/common/v1"

	"elderyard/internal/golden"
	"elderyard/internal/site"
	"elderyard/rules"
	"elderyard/traces"
)

// Every metric that is exported, with its series: TestThePageHasAllMetrics holds the list to the operators' page.
func TestGoldenMetrics(t *testing.T) {
	set := settings("127.0.0.1:1")
	set.Tracing.Classes, set.Tracing.LatencyTargets = []string{"lookup", "booking"}, []float64{0.5, 0.5}
	x, client := newTelemetry(set, func() float64 { return 100 }, figures, quiet)
	defer client.CloseIdleConnections()
	self := traces.Context{Trace: traces.TraceID{1}, Span: traces.SpanID{2}}
	b := &traces.Begin{Self: self, Method: "GET", Sent: 100}
	for _, e := range []traces.Event{{Kind: traces.Began, At: 100}, {Kind: traces.Sent, At: 100, Span: traces.SpanID{3}, Backend: "n0"}, {Kind: traces.Ended, At: 100.25}, {Kind: traces.Answered, At: 100.25, Status: 200}} {
		e.Begin = b
		x.state.tally.Handle(e)
		x.state.recorder.Handle(e, nil)
	}
	x.state.figures = Figures{Stats: rules.Stats{ConcurrencyLimit: 4, InFlight: 1, Queued: []int{0, 2}, WaitingForQuota: 3, Healthy: 5, Ejected: 6, Cold: 7, Detached: 8, NotReady: 9, Customers: 10, LeasedUnits: 11.5}}
	for i := range x.state.figures.Calls {
		x.state.figures.Calls[i] = uint64(20 + i)
	}
	for i := range x.state.missed {
		x.state.missed[i] = uint64(40 + i)
	}
	if unset := golden.UnsetFields(x.state.figures); len(unset) > 0 {
		t.Errorf("figures without a value: %v", unset)
	}
	var out strings.Builder
	labels := func(list []*common.KeyValue) string {
		var parts []string
		for _, a := range list {
			switch v := a.Value.GetValue().(type) { // its text form differs from build to build
			case *common.AnyValue_StringValue:
				parts = append(parts, fmt.Sprintf("%s=%q", a.Key, v.StringValue))
			case *common.AnyValue_BoolValue:
				parts = append(parts, fmt.Sprintf("%s=%t", a.Key, v.BoolValue))
			default:
				t.Errorf("%s has a %T", a.Key, v)
			}
		}
		return strings.Join(parts, ", ")
	}
	exported := map[string]bool{}
	for _, m := range x.state.metrics(&set.Tracing, 100, 101) {
		exported[m.Name] = true
		fmt.Fprintf(&out, "%s unit %s: %s\n", m.Name, m.Unit, m.Description)
		if s := m.GetSum(); s != nil {
			fmt.Fprintf(&out, "  sum, monotonic %t, temporality %d\n", s.IsMonotonic, s.AggregationTemporality)
			for _, p := range s.DataPoints {
				fmt.Fprintf(&out, "  {%s} %d\n", labels(p.Attributes), p.GetAsInt())
			}
		}
		if g := m.GetGauge(); g != nil {
			fmt.Fprintln(&out, "  gauge")
			for _, p := range g.DataPoints {
				fmt.Fprintf(&out, "  {%s} %g\n", labels(p.Attributes), p.GetAsDouble())
			}
		}
		if h := m.GetExponentialHistogram(); h != nil {
			fmt.Fprintf(&out, "  exponential histogram, temporality %d\n", h.AggregationTemporality)
			for _, p := range h.DataPoints {
				fmt.Fprintf(&out, "  {%s} count %d, %d exemplars\n", labels(p.Attributes), p.Count, len(p.Exemplars))
			}
		}
	}
	for _, m := range Metrics() {
		if !exported[m.Name] {
			t.Errorf("%s is not exported", m.Name)
		}
	}
	fmt.Fprintf(&out, "scope %s\n", scopeName)
	golden.Text(t, "metrics.txt", out.String())
}

// The environment variables that are read, the resource's attributes and the collector's paths.
func TestGoldenSettings(t *testing.T) {
	values := map[string]string{
		"OTEL_EXPORTER_OTLP_ENDPOINT": "http://127.0.0.1:4318/", "OTEL_EXPORTER_OTLP_PROTOCOL": "grpc", "OTEL_EXPORTER_OTLP_HEADERS": "token=t",
		"OTEL_EXPORTER_OTLP_TIMEOUT": "250", "OTEL_METRIC_EXPORT_INTERVAL": "500", "OTEL_TRACES_SAMPLER": "traceidratio", "OTEL_TRACES_SAMPLER_ARG": "0.25",
		"OTEL_RESOURCE_ATTRIBUTES": "team=ops",
	}
	var asked []string
	set, err := FromSite(site.Defaults().Telemetry, func(name string) string {
		if !slices.Contains(asked, name) {
			asked = append(asked, name)
		}
		return values[name]
	}, "g0")
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, name := range asked {
		fmt.Fprintf(&b, "%s=%s\n", name, values[name])
	}
	fmt.Fprintf(&b, "endpoint %s, gRPC %t, headers %v, timeout %v, interval %v, flush %v, queue %d bytes, sample ratio %g\n",
		set.Endpoint, set.GRPC, set.Headers, set.Timeout, set.Interval, set.Flush, set.QueueBytes, set.Tracing.SampleRatio)
	for _, a := range set.Resource {
		fmt.Fprintf(&b, "resource %s=%v\n", a.Key, a.Value)
	}
	fmt.Fprintf(&b, "paths %s %s, gRPC calls %s %s\n", tracesPath, metricsPath, tracesCall, metricsCall)
	golden.Text(t, "settings.txt", b.String())
}
