package telemetry

import (
	"fmt"
	"strconv"
	"strings"

	common "go.opentelemetry.io/proto/slim/otlp/common/v1"
	metrics "go.opentelemetry.io/proto/slim/otlp/metrics/v1"

	"elderyard/rules"
	"elderyard/traces"
)

// Metric describes one metric. The output of `elderctl site metrics` and the operators' page are generated from these
// descriptions.
type Metric struct{ Name, Unit, Kind, Attributes, Description string }

// The kinds of metric.
const (
	kindSum       = "sum"
	kindGauge     = "gauge"
	kindHistogram = "exponential histogram"
)

// Metrics returns all metrics of a gateway. Sums are cumulative since the start of the process.
func Metrics() []Metric {
	return []Metric{
		{"elderyard.requests", "{request}", kindSum, "elderyard.class, elderyard.plan, elderyard.first", "tries that were taken in; first: their clients did not mark them as another try"},
		{"elderyard.requests.in_time", "{request}", kindSum, "elderyard.class, elderyard.plan", "tries that were served within the aim of their class, from when they were whole"},
		{"elderyard.request.ends", "{request}", kindSum, "elderyard.class, elderyard.outcome", "final answers, and clients that left before theirs"},
		{"http.server.request.duration", "s", kindHistogram, "elderyard.class", "time to the final answer of what was served; the exemplar is the longest of the last minute"},
		{"elderyard.attempts", "{attempt}", kindSum, "elderyard.outcome", "attempts at backends by what became of them"},
		{"elderyard.counter.calls", "{call}", kindSum, "elderyard.outcome", "calls to the shared counter by what became of them"},
		{"elderyard.bound", "{attempt}", kindGauge, "", "attempts that may be in flight at present"},
		{"elderyard.in_flight", "{attempt}", kindGauge, "", "attempts in flight"},
		{"elderyard.held", "{request}", kindGauge, "elderyard.level", "requests held back for a place, by level; the highest number is the top"},
		{"elderyard.waiting", "{request}", kindGauge, "", "requests and takes that wait for units of their account"},
		{"elderyard.backends", "{backend}", kindGauge, "elderyard.health", "listed backends: well, left out (trials only), cold, by hand, not ready"},
		{"elderyard.accounts", "{account}", kindGauge, "", "accounts seen of late"},
		{"elderyard.units.leased", "{unit}", kindGauge, "", "units leased and not spent"},
		{"elderyard.stories", "{story}", kindSum, "elderyard.kept", "requests whose story was kept, or left out by the sampling"},
		{"elderyard.telemetry.items", "{item}", kindSum, "elderyard.signal, elderyard.state", "spans and points by what became of them: sent, dropped (no room), rejected (by the collector)"},
		{"elderyard.telemetry.missed", "{event}", kindSum, "elderyard.kind", "events that found no room on their way from the request path; what they would have told is in no story and no count"},
		{"elderyard.telemetry.queue", "By", kindGauge, "elderyard.signal", "bytes that wait for the collector"},
	}
}

// exportState is the state from which metrics are generated.
type exportState struct {
	tally         *traces.Tally
	recorder      *traces.Recorder
	stats         GatewayStats
	droppedEvents [traces.EventKindCount]uint64 // events that found the buffer full
	spanSender    *sender
	pointSender   *sender
}

// GatewayStats are the statistics that the event loop reports for the decision module.
type GatewayStats struct {
	rules.Stats
	CounterCalls [traces.OutcomeCount]uint64 // calls to the shared counter, by outcome
}

// metricBuilder collects the data points of one export. Start and now are in Unix nanoseconds.
type metricBuilder struct {
	start, now uint64
	list       []*metrics.Metric
	byName     map[string]*metrics.Metric
}

// metric returns the metric with the given name. It adds the metric on first use.
func (b *metricBuilder) metric(name string) *metrics.Metric {
	if m := b.byName[name]; m != nil {
		return m
	}
	for _, d := range Metrics() {
		if d.Name != name {
			continue
		}
		m := &metrics.Metric{Name: name, Unit: d.Unit, Description: d.Description}
		switch d.Kind {
		case kindSum:
			m.Data = &metrics.Metric_Sum{Sum: &metrics.Sum{IsMonotonic: true, AggregationTemporality: metrics.AggregationTemporality_AGGREGATION_TEMPORALITY_CUMULATIVE}}
		case kindGauge:
			m.Data = &metrics.Metric_Gauge{Gauge: &metrics.Gauge{}}
		case kindHistogram:
			m.Data = &metrics.Metric_ExponentialHistogram{ExponentialHistogram: &metrics.ExponentialHistogram{
				AggregationTemporality: metrics.AggregationTemporality_AGGREGATION_TEMPORALITY_CUMULATIVE}}
		}
		b.list = append(b.list, m)
		b.byName[name] = m
		return m
	}
	panic("metric " + name + " is not in Metrics") // cannot happen: a test exports every metric
}

func (b *metricBuilder) sum(name string, n uint64, attrs ...traces.Attr) {
	s := b.metric(name).GetSum()
	s.DataPoints = append(s.DataPoints, &metrics.NumberDataPoint{Attributes: attributes(attrs), StartTimeUnixNano: b.start, TimeUnixNano: b.now,
		Value: &metrics.NumberDataPoint_AsInt{AsInt: int64(n)}})
}

func (b *metricBuilder) gauge(name string, value float64, attrs ...traces.Attr) {
	s := b.metric(name).GetGauge()
	s.DataPoints = append(s.DataPoints, &metrics.NumberDataPoint{Attributes: attributes(attrs), TimeUnixNano: b.now,
		Value: &metrics.NumberDataPoint_AsDouble{AsDouble: value}})
}

func (b *metricBuilder) histogram(name string, h *traces.Histogram, attrs ...traces.Attr) {
	p := &metrics.ExponentialHistogramDataPoint{Attributes: attributes(attrs), StartTimeUnixNano: b.start, TimeUnixNano: b.now, Count: h.Count,
		Scale: int32(h.Scale), ZeroCount: h.Zero, Positive: &metrics.ExponentialHistogramDataPoint_Buckets{Offset: int32(h.Offset),
			BucketCounts: append([]uint64(nil), h.Buckets...)}}
	if sum := h.Sum; h.Count > 0 {
		lowest, highest := h.Min, h.Max
		p.Sum, p.Min, p.Max = &sum, &lowest, &highest
	}
	if e := h.Exemplar; e.Context.Trace != (traces.TraceID{}) {
		p.Exemplars = []*metrics.Exemplar{{TimeUnixNano: traces.UnixNanos(e.At), Value: &metrics.Exemplar_AsDouble{AsDouble: e.Value},
			TraceId: e.Context.Trace[:], SpanId: e.Context.Span[:], FilteredAttributes: []*common.KeyValue{}}}
	}
	s := b.metric(name).GetExponentialHistogram()
	s.DataPoints = append(s.DataPoints, p)
}

func attr(key string, v any) traces.Attr { return traces.Attr{Key: key, Value: v} }

// metrics returns the current metrics. Start and now are in seconds.
func (s *exportState) metrics(set *traces.Settings, start, now float64) []*metrics.Metric {
	b := &metricBuilder{start: traces.UnixNanos(start), now: traces.UnixNanos(max(now, start)), byName: map[string]*metrics.Metric{}}
	b.addRequests(s.tally, set)
	b.addGatewayStats(&s.stats)
	b.addSampling(s.recorder)
	b.addSignal("traces", s.spanSender)
	b.addSignal("metrics", s.pointSender)
	for kind, n := range s.droppedEvents {
		b.sum("elderyard.telemetry.missed", n, attr("elderyard.kind", traces.EventKind(kind).String()))
	}
	return b.list
}

// addRequests adds the counts of requests and attempts.
func (b *metricBuilder) addRequests(t *traces.Tally, set *traces.Settings) {
	for class, className := range set.Classes {
		byClass := attr("elderyard.class", className)
		for plan, planName := range set.Plans {
			i := t.Index(class, plan)
			byPlan := attr("elderyard.plan", planName)
			b.sum("elderyard.requests", t.InitialRequests[i], byClass, byPlan, attr("elderyard.first", true))
			b.sum("elderyard.requests", t.Requests[i]-t.InitialRequests[i], byClass, byPlan, attr("elderyard.first", false))
			b.sum("elderyard.requests.in_time", t.WithinObjective[i], byClass, byPlan)
		}
		for end, n := range t.Ends[class] {
			b.sum("elderyard.request.ends", n, byClass, attr("elderyard.outcome", traces.End(end).Name()))
		}
		b.histogram("http.server.request.duration", t.Latency[class], byClass)
	}
	for outcome, n := range t.Attempts {
		b.sum("elderyard.attempts", n, attr("elderyard.outcome", traces.OutcomeName(rules.Outcome(outcome))))
	}
}

// addGatewayStats adds the statistics of the event loop.
func (b *metricBuilder) addGatewayStats(stats *GatewayStats) {
	for outcome, n := range stats.CounterCalls {
		b.sum("elderyard.counter.calls", n, attr("elderyard.outcome", callOutcome(rules.Outcome(outcome))))
	}
	b.gauge("elderyard.bound", stats.ConcurrencyLimit)
	b.gauge("elderyard.in_flight", float64(stats.InFlight))
	for level, n := range stats.Queued {
		b.gauge("elderyard.held", float64(n), attr("elderyard.level", strconv.Itoa(level)))
	}
	b.gauge("elderyard.waiting", float64(stats.WaitingForQuota))
	for _, backends := range []struct {
		health string
		count  int
	}{{"well", stats.Healthy}, {"left out", stats.Ejected}, {"cold", stats.Cold}, {"by hand", stats.Detached}, {"not ready", stats.NotReady}} {
		b.gauge("elderyard.backends", float64(backends.count), attr("elderyard.health", backends.health))
	}
	b.gauge("elderyard.accounts", float64(stats.Customers))
	b.gauge("elderyard.units.leased", stats.LeasedUnits)
}

// addSampling adds the numbers of sampled and discarded traces.
func (b *metricBuilder) addSampling(r *traces.Recorder) {
	b.sum("elderyard.stories", uint64(r.Sampled), attr("elderyard.kept", true))
	b.sum("elderyard.stories", uint64(r.Discarded), attr("elderyard.kept", false))
}

// addSignal adds the delivery counts and the queue length of one signal.
func (b *metricBuilder) addSignal(name string, s *sender) {
	queued, dropped := s.queue.stats()
	signal := attr("elderyard.signal", name)
	b.sum("elderyard.telemetry.items", s.sent.Load(), signal, attr("elderyard.state", "sent"))
	b.sum("elderyard.telemetry.items", dropped, signal, attr("elderyard.state", "dropped"))
	b.sum("elderyard.telemetry.items", s.rejected.Load(), signal, attr("elderyard.state", "rejected"))
	b.gauge("elderyard.telemetry.queue", float64(queued), signal)
}

// callOutcome returns the exported name of the outcome of a call to the shared counter.
func callOutcome(o rules.Outcome) string {
	switch o {
	case rules.Served:
		return "answered"
	case rules.Errored:
		return "added without a total"
	}
	return traces.OutcomeName(o)
}

// MetricsTable returns the table of metrics on the operators' page.
func MetricsTable() string {
	var b strings.Builder
	b.WriteString("| metric | unit | kind | attributes | what it is |\n| --- | --- | --- | --- | --- |\n")
	for _, m := range Metrics() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.Name, m.Unit, m.Kind, m.Attributes, m.Description)
	}
	return b.String()
}
