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

// Pins every exported metric with its series. TestMetricsPageIsCurrent compares the list with the operators' page.
func TestGoldenMetrics(t *testing.T) {
	set := settings("127.0.0.1:1")
	set.Tracing.Classes, set.Tracing.LatencyObjectives = []string{"lookup", "booking"}, []float64{0.5, 0.5}
	exporter, client := newExporter(set, func() float64 { return 100 }, testStats, discardLogger)
	defer client.CloseIdleConnections()
	self := traces.Context{Trace: traces.TraceID{1}, Span: traces.SpanID{2}}
	req := &traces.Request{SpanContext: self, Method: "GET", SentAt: 100}
	for _, e := range []traces.Event{{Kind: traces.RequestAccepted, At: 100}, {Kind: traces.AttemptStarted, At: 100, SpanID: traces.SpanID{3}, Backend: "n0"}, {Kind: traces.AttemptEnded, At: 100.25}, {Kind: traces.FinalResponse, At: 100.25, Status: 200}} {
		e.Request = req
		exporter.state.tally.Handle(e)
		exporter.state.recorder.Handle(e, nil)
	}
	exporter.state.stats = GatewayStats{Stats: rules.Stats{ConcurrencyLimit: 4, InFlight: 1, Queued: []int{0, 2}, WaitingForQuota: 3, Healthy: 5, Ejected: 6, Cold: 7, Detached: 8, NotReady: 9, Customers: 10, LeasedUnits: 11.5}}
	for i := range exporter.state.stats.CounterCalls {
		exporter.state.stats.CounterCalls[i] = uint64(20 + i)
	}
	for i := range exporter.state.droppedEvents {
		exporter.state.droppedEvents[i] = uint64(40 + i)
	}
	if unset := golden.UnsetFields(exporter.state.stats); len(unset) > 0 {
		t.Errorf("statistics without a value: %v", unset)
	}
	var out strings.Builder
	labels := func(list []*common.KeyValue) string {
		var parts []string
		for _, a := range list {
			switch v := a.Value.GetValue().(type) { // protobuf's text format differs between builds
			case *common.AnyValue_StringValue:
				parts = append(parts, fmt.Sprintf("%s=%q", a.Key, v.StringValue))
			case *common.AnyValue_BoolValue:
				parts = append(parts, fmt.Sprintf("%s=%t", a.Key, v.BoolValue))
			default:
				t.Errorf("attribute %s has the unsupported type %T", a.Key, v)
			}
		}
		return strings.Join(parts, ", ")
	}
	exported := map[string]bool{}
	for _, m := range exporter.state.metrics(&set.Tracing, 100, 101) {
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

// Pins the environment variables that are read, the attributes of the resource and the paths at the collector.
func TestGoldenSettings(t *testing.T) {
	values := map[string]string{
		"OTEL_EXPORTER_OTLP_ENDPOINT": "http://127.0.0.1:4318/", "OTEL_EXPORTER_OTLP_PROTOCOL": "grpc", "OTEL_EXPORTER_OTLP_HEADERS": "token=t",
		"OTEL_EXPORTER_OTLP_TIMEOUT": "250", "OTEL_METRIC_EXPORT_INTERVAL": "500", "OTEL_TRACES_SAMPLER": "traceidratio", "OTEL_TRACES_SAMPLER_ARG": "0.25",
		"OTEL_RESOURCE_ATTRIBUTES": "team=ops",
	}
	var names []string
	set, err := FromSite(site.Defaults().Telemetry, func(name string) string {
		if !slices.Contains(names, name) {
			names = append(names, name)
		}
		return values[name]
	}, "g0")
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	for _, name := range names {
		fmt.Fprintf(&out, "%s=%s\n", name, values[name])
	}
	fmt.Fprintf(&out, "endpoint %s, gRPC %t, headers %v, timeout %v, interval %v, flush %v, queue %d bytes, sample ratio %g\n",
		set.Endpoint, set.GRPC, set.Headers, set.Timeout, set.Interval, set.FlushTimeout, set.QueueBytes, set.Tracing.SampleRatio)
	for _, a := range set.Resource {
		fmt.Fprintf(&out, "resource %s=%v\n", a.Key, a.Value)
	}
	fmt.Fprintf(&out, "paths %s %s, gRPC calls %s %s\n", tracesPath, metricsPath, tracesCall, metricsCall)
	golden.Text(t, "settings.txt", out.String())
}
