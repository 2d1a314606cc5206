package collector

import (
	"fmt"
	"math"
	"slices"
	"strings"

	common "go.opentelemetry.io/proto/otlp/common/v1"
	metrics "go.opentelemetry.io/proto/otlp/metrics/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"

	"elderyard/internal/otlpfile"
	"elderyard/traces"
)

// Series identifies a time series: a metric of a process with its attributes, written as key=value in order of the
// keys.
type Series struct{ Instance, Metric, Attributes string }

// Point is the newest value of a series.
type Point struct {
	Value       float64 // of a sum or a gauge; for a histogram its count
	Start, Time uint64
	Histogram   *metrics.ExponentialHistogramDataPoint
}

// Get returns the newest point of a series, with attributes written as in Series.
func (c *Collector) Get(instance, metric, attributes string) (Point, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.points[Series{instance, metric, attributes}]
	return p, ok
}

// Sum adds up the newest values of a metric's series, over all processes, that have all of the given attributes, each
// written as key=value.
func (c *Collector) Sum(metric string, attributes ...string) (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, p := range c.points {
		has := strings.Split(s.Attributes, ",")
		if s.Metric == metric && !slices.ContainsFunc(attributes, func(a string) bool { return !slices.Contains(has, a) }) {
			sum += p.Value
		}
	}
	return sum
}

// SeriesCount returns the number of series.
func (c *Collector) SeriesCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.points)
}

// instance checks the attributes of a resource and returns its service.instance.id. The caller holds mu.
func (c *Collector) instance(attrs []*common.KeyValue) (name string) {
	service := ""
	for _, a := range attrs {
		switch a.Key {
		case "service.instance.id":
			name = a.Value.GetStringValue()
		case "service.name":
			service = a.Value.GetStringValue()
		}
	}
	if name == "" || service == "" {
		c.addFlawLocked("a resource without service.name or service.instance.id: %v", attrs)
	}
	return name
}

// formatAttributes formats attributes as in Series, and returns the rules that they violate.
func formatAttributes(attrs []*common.KeyValue) (text string, flaws []string) {
	seenKeys := map[string]bool{}
	var parts []string
	for _, a := range attrs {
		if a.Key == "" || seenKeys[a.Key] || a.Value.GetValue() == nil {
			flaws = append(flaws, fmt.Sprintf("attribute %q has no name or value, or stands twice", a.Key))
		}
		seenKeys[a.Key] = true
		parts = append(parts, a.Key+"="+otlpfile.FormatValue(a.Value))
	}
	slices.Sort(parts)
	return strings.Join(parts, ","), flaws
}

func anySet(id []byte) bool { return slices.ContainsFunc(id, func(b byte) bool { return b != 0 }) }

// spanFlaws returns the rules of the specification that a span violates.
func spanFlaws(s *trace.Span) (flaws []string) {
	check := func(failed bool, what string) {
		if failed {
			flaws = append(flaws, what)
		}
	}
	check(len(s.TraceId) != 16 || !anySet(s.TraceId), "trace id")
	check(len(s.SpanId) != 8 || !anySet(s.SpanId), "span id")
	check(len(s.ParentSpanId) != 0 && (len(s.ParentSpanId) != 8 || !anySet(s.ParentSpanId)), "parent's id")
	check(slices.Equal(s.ParentSpanId, s.SpanId), "its own parent")
	check(s.Name == "", "no name")
	check(s.Kind < trace.Span_SPAN_KIND_INTERNAL || s.Kind > trace.Span_SPAN_KIND_CONSUMER, "kind")
	check(s.StartTimeUnixNano == 0 || s.EndTimeUnixNano < s.StartTimeUnixNano, "times")
	check(s.Status != nil && s.Status.Code != trace.Status_STATUS_CODE_ERROR && s.Status.Message != "", "a message without an error")
	if s.TraceState != "" {
		c, _ := traces.ParseContext([]string{"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}, []string{s.TraceState})
		check(c.TraceState != s.TraceState, "tracestate")
	}
	_, attrsFlaws := formatAttributes(s.Attributes)
	return append(flaws, attrsFlaws...)
}

// acceptMetric checks a metric against the specification and stores its points. The caller holds mu.
func (c *Collector) acceptMetric(instance string, m *metrics.Metric) (flaws []string) {
	check := func(failed bool, format string, a ...any) {
		if failed {
			flaws = append(flaws, fmt.Sprintf(format, a...))
		}
	}
	check(m.Name == "" || len(m.Name) > 255, "name")
	cumulative := metrics.AggregationTemporality_AGGREGATION_TEMPORALITY_CUMULATIVE
	store := func(attrs []*common.KeyValue, p Point, sum bool) {
		text, attrsFlaws := formatAttributes(attrs)
		flaws = append(flaws, attrsFlaws...)
		k := Series{instance, m.Name, text}
		last, known := c.points[k]
		check(p.Time == 0, "no time")
		if sum {
			check(p.Start == 0 || p.Start > p.Time, "start time of %s", text)
			check(known && p.Start == last.Start && p.Time >= last.Time && p.Value < last.Value, "the sum of %s went down from %g to %g", text, last.Value, p.Value)
			check(known && p.Start < last.Start && p.Time > last.Time, "the start of %s went back", text)
		}
		if !known || p.Time >= last.Time { // an older message may arrive late
			c.points[k] = p
		}
	}
	number := func(n *metrics.NumberDataPoint) float64 {
		if v, ok := n.Value.(*metrics.NumberDataPoint_AsInt); ok {
			return float64(v.AsInt)
		}
		x := n.GetAsDouble()
		check(n.Value == nil || math.IsNaN(x), "a point without a number")
		return x
	}
	switch d := m.Data.(type) {
	case *metrics.Metric_Sum:
		check(d.Sum.AggregationTemporality != cumulative, "temporality")
		check(len(d.Sum.DataPoints) == 0, "no points")
		for _, p := range d.Sum.DataPoints {
			x := number(p)
			check(d.Sum.IsMonotonic && x < 0, "a monotonic sum below 0")
			store(p.Attributes, Point{Value: x, Start: p.StartTimeUnixNano, Time: p.TimeUnixNano}, d.Sum.IsMonotonic)
		}
	case *metrics.Metric_Gauge:
		check(len(d.Gauge.DataPoints) == 0, "no points")
		for _, p := range d.Gauge.DataPoints {
			store(p.Attributes, Point{Value: number(p), Time: p.TimeUnixNano}, false)
		}
	case *metrics.Metric_ExponentialHistogram:
		check(d.ExponentialHistogram.AggregationTemporality != cumulative, "temporality")
		for _, p := range d.ExponentialHistogram.DataPoints {
			bucketTotal := p.ZeroCount
			for _, n := range append(slices.Clone(p.GetPositive().GetBucketCounts()), p.GetNegative().GetBucketCounts()...) {
				bucketTotal += n
			}
			check(bucketTotal != p.Count, "buckets hold %d of %d", bucketTotal, p.Count)
			check(p.Scale < -10 || p.Scale > 20, "scale %d", p.Scale)
			check(p.Count > 0 && (p.Sum == nil || p.Min == nil || p.Max == nil || p.GetMin() > p.GetMax() ||
				p.GetSum() > p.GetMax()*float64(p.Count)*(1+1e-9) || p.GetSum() < p.GetMin()*float64(p.Count)*(1-1e-9)), "sum, least and most")
			for _, e := range p.Exemplars {
				check(len(e.TraceId) != 16 || len(e.SpanId) != 8 || e.TimeUnixNano == 0, "exemplar")
				x := e.GetAsDouble()
				check(x < p.GetMin() || x > p.GetMax(), "an exemplar of %g outside", x)
			}
			store(p.Attributes, Point{Value: float64(p.Count), Start: p.StartTimeUnixNano, Time: p.TimeUnixNano, Histogram: p}, true)
		}
	default:
		check(true, "data of no known kind")
	}
	return flaws
}
