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

// Metric describes one metric. `elderctl site metrics` and the operators' page are generated from these
// descriptions.
type Metric struct{ Name, Unit, Kind, Attributes, About string }

// The kinds of metric.
const (
	kindSum       = "sum"
	kindGauge     = "gauge"
	kindHistogram = "exponential histogram"
)

// Metrics lists the metrics that a gateway exports. Sums are cumulative from the start of the process.
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

// exportState is the state from which metrics are made.
type exportState struct {
	tally       *traces.Tally
	recorder    *traces.Recorder
	figures     Figures
	missed      [traces.EventKindCount]uint64
	spanSender  *sender
	pointSender *sender
}

// Figures are gauges and counters that the owner of the rules module reports.
type Figures struct {
	rules.Figures
	Calls [traces.OutcomeCount]uint64 // calls to the counter, by outcome
}

// metricBuilder collects the points of one export. Start and now are OTLP times.
type metricBuilder struct {
	start, now uint64
	list       []*metrics.Metric
	at         map[string]*metrics.Metric
}

func (g *metricBuilder) metric(name string) *metrics.Metric {
	if m := g.at[name]; m != nil {
		return m
	}
	for _, d := range Metrics() {
		if d.Name != name {
			continue
		}
		m := &metrics.Metric{Name: name, Unit: d.Unit, Description: d.About}
		switch d.Kind {
		case kindSum:
			m.Data = &metrics.Metric_Sum{Sum: &metrics.Sum{IsMonotonic: true, AggregationTemporality: metrics.AggregationTemporality_AGGREGATION_TEMPORALITY_CUMULATIVE}}
		case kindGauge:
			m.Data = &metrics.Metric_Gauge{Gauge: &metrics.Gauge{}}
		case kindHistogram:
			m.Data = &metrics.Metric_ExponentialHistogram{ExponentialHistogram: &metrics.ExponentialHistogram{
				AggregationTemporality: metrics.AggregationTemporality_AGGREGATION_TEMPORALITY_CUMULATIVE}}
		}
		g.list = append(g.list, m)
		g.at[name] = m
		return m
	}
	panic("metric " + name + " is not on the list") // a test exports every metric
}

func (g *metricBuilder) sum(name string, n uint64, attrs ...traces.Attr) {
	s := g.metric(name).GetSum()
	s.DataPoints = append(s.DataPoints, &metrics.NumberDataPoint{Attributes: attributes(attrs), StartTimeUnixNano: g.start, TimeUnixNano: g.now,
		Value: &metrics.NumberDataPoint_AsInt{AsInt: int64(n)}})
}

func (g *metricBuilder) gauge(name string, x float64, attrs ...traces.Attr) {
	s := g.metric(name).GetGauge()
	s.DataPoints = append(s.DataPoints, &metrics.NumberDataPoint{Attributes: attributes(attrs), TimeUnixNano: g.now,
		Value: &metrics.NumberDataPoint_AsDouble{AsDouble: x}})
}

func (g *metricBuilder) histogram(name string, h *traces.Histogram, attrs ...traces.Attr) {
	p := &metrics.ExponentialHistogramDataPoint{Attributes: attributes(attrs), StartTimeUnixNano: g.start, TimeUnixNano: g.now, Count: h.Count,
		Scale: int32(h.Scale), ZeroCount: h.Zero, Positive: &metrics.ExponentialHistogramDataPoint_Buckets{Offset: int32(h.Offset),
			BucketCounts: append([]uint64(nil), h.Buckets...)}}
	if sum := h.Sum; h.Count > 0 {
		least, most := h.Min, h.Max
		p.Sum, p.Min, p.Max = &sum, &least, &most
	}
	if e := h.Exemplar; e.Context.Trace != (traces.TraceID{}) {
		p.Exemplars = []*metrics.Exemplar{{TimeUnixNano: traces.Nanos(e.At), Value: &metrics.Exemplar_AsDouble{AsDouble: e.Value},
			TraceId: e.Context.Trace[:], SpanId: e.Context.Span[:], FilteredAttributes: []*common.KeyValue{}}}
	}
	s := g.metric(name).GetExponentialHistogram()
	s.DataPoints = append(s.DataPoints, p)
}

func attr(key string, v any) traces.Attr { return traces.Attr{Key: key, Value: v} }

// metrics returns the current metrics. Start and now are in seconds.
func (c *exportState) metrics(set *traces.Settings, start, now float64) []*metrics.Metric {
	g := &metricBuilder{start: traces.Nanos(start), now: traces.Nanos(max(now, start)), at: map[string]*metrics.Metric{}}
	t := c.tally
	for class, name := range set.Classes {
		of := attr("elderyard.class", name)
		for plan, bought := range set.Plans {
			at := t.Index(class, plan)
			by := attr("elderyard.plan", bought)
			g.sum("elderyard.requests", t.FirstTries[at], of, by, attr("elderyard.first", true))
			g.sum("elderyard.requests", t.Requests[at]-t.FirstTries[at], of, by, attr("elderyard.first", false))
			g.sum("elderyard.requests.in_time", t.InTime[at], of, by)
		}
		for end, n := range t.Ends[class] {
			g.sum("elderyard.request.ends", n, of, attr("elderyard.outcome", traces.End(end).Name()))
		}
		g.histogram("http.server.request.duration", t.Latency[class], of)
	}
	for o, n := range t.Attempts {
		g.sum("elderyard.attempts", n, attr("elderyard.outcome", traces.OutcomeName(rules.Outcome(o))))
	}
	f := &c.figures
	for o, n := range f.Calls {
		g.sum("elderyard.counter.calls", n, attr("elderyard.outcome", callOutcome(rules.Outcome(o))))
	}
	g.gauge("elderyard.bound", f.Bound)
	g.gauge("elderyard.in_flight", float64(f.InFlight))
	for level, n := range f.Held {
		g.gauge("elderyard.held", float64(n), attr("elderyard.level", strconv.Itoa(level)))
	}
	g.gauge("elderyard.waiting", float64(f.Waiting))
	for _, h := range []struct {
		name string
		n    int
	}{{"well", f.Well}, {"left out", f.LeftOut}, {"cold", f.Cold}, {"by hand", f.ByHand}, {"not ready", f.NotReady}} {
		g.gauge("elderyard.backends", float64(h.n), attr("elderyard.health", h.name))
	}
	g.gauge("elderyard.accounts", float64(f.Customers))
	g.gauge("elderyard.units.leased", f.Leased)
	g.sum("elderyard.stories", uint64(c.recorder.Kept), attr("elderyard.kept", true))
	g.sum("elderyard.stories", uint64(c.recorder.Discarded), attr("elderyard.kept", false))
	for _, s := range []struct {
		name string
		s    *sender
	}{{"traces", c.spanSender}, {"metrics", c.pointSender}} {
		bytes, dropped := s.s.queue.state()
		signal := attr("elderyard.signal", s.name)
		g.sum("elderyard.telemetry.items", s.s.sent.Load(), signal, attr("elderyard.state", "sent"))
		g.sum("elderyard.telemetry.items", dropped, signal, attr("elderyard.state", "dropped"))
		g.sum("elderyard.telemetry.items", s.s.rejected.Load(), signal, attr("elderyard.state", "rejected"))
		g.gauge("elderyard.telemetry.queue", float64(bytes), signal)
	}
	for kind, n := range c.missed {
		g.sum("elderyard.telemetry.missed", n, attr("elderyard.kind", traces.EventKind(kind).String()))
	}
	return g.list
}

// callOutcome returns the exported name of the outcome of a call to the counter.
func callOutcome(o rules.Outcome) string {
	switch o {
	case rules.Served:
		return "answered"
	case rules.Errored:
		return "added without a total"
	}
	return traces.OutcomeName(o)
}

// Page returns the list of metrics as it stands on the operators' page.
func Page() string {
	var b strings.Builder
	b.WriteString("| metric | unit | kind | attributes | what it is |\n| --- | --- | --- | --- | --- |\n")
	for _, m := range Metrics() {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.Name, m.Unit, m.Kind, m.Attributes, m.About)
	}
	return b.String()
}
