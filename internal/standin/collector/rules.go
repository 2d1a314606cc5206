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

// Series is one stream of points: a metric of a process with its attributes, written
// key=value in order of the keys.
type Series struct{ Instance, Metric, Attributes string }

// Point is the newest value of a series.
type Point struct {
	Value       float64 // of a sum or a gauge; the count of a histogram
	Start, Time uint64
	Histogram   *metrics.ExponentialHistogramDataPoint
}

// Get returns the newest value of a series, with attributes written as in Series.
func (c *Collector) Get(instance, metric, attributes string) (Point, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.points[Series{instance, metric, attributes}]
	return p, ok
}

// Sum adds up the newest values of a metric's series, of all processes, that have all
// the attributes named, each written key=value.
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

// SeriesCount is how many series there are.
func (c *Collector) SeriesCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.points)
}

// instance checks a resource's attributes and returns whose they are. The lock is held.
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
		c.flawLocked("a resource without service.name or service.instance.id: %v", attrs)
	}
	return name
}

func write(attrs []*common.KeyValue) (text string, flaws []string) {
	seen := map[string]bool{}
	var parts []string
	for _, a := range attrs {
		if a.Key == "" || seen[a.Key] || a.Value.GetValue() == nil {
			flaws = append(flaws, fmt.Sprintf("attribute %q has no name or value, or stands twice", a.Key))
		}
		seen[a.Key] = true
		parts = append(parts, a.Key+"="+otlpfile.FormatValue(a.Value))
	}
	slices.Sort(parts)
	return strings.Join(parts, ","), flaws
}

func anySet(id []byte) bool { return slices.ContainsFunc(id, func(b byte) bool { return b != 0 }) }

// spanFlaws holds a span to the specification.
func spanFlaws(s *trace.Span) (flaws []string) {
	flaw := func(bad bool, what string) {
		if bad {
			flaws = append(flaws, what)
		}
	}
	flaw(len(s.TraceId) != 16 || !anySet(s.TraceId), "trace id")
	flaw(len(s.SpanId) != 8 || !anySet(s.SpanId), "span id")
	flaw(len(s.ParentSpanId) != 0 && (len(s.ParentSpanId) != 8 || !anySet(s.ParentSpanId)), "parent's id")
	flaw(slices.Equal(s.ParentSpanId, s.SpanId), "its own parent")
	flaw(s.Name == "", "no name")
	flaw(s.Kind < trace.Span_SPAN_KIND_INTERNAL || s.Kind > trace.Span_SPAN_KIND_CONSUMER, "kind")
	flaw(s.StartTimeUnixNano == 0 || s.EndTimeUnixNano < s.StartTimeUnixNano, "times")
	flaw(s.Status != nil && s.Status.Code != trace.Status_STATUS_CODE_ERROR && s.Status.Message != "", "a message without an error")
	if s.TraceState != "" {
		c, _ := traces.ParseContext([]string{"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}, []string{s.TraceState})
		flaw(c.TraceState != s.TraceState, "tracestate")
	}
	_, bad := write(s.Attributes)
	return append(flaws, bad...)
}

// takeMetric holds a metric to the specification and keeps its points. The lock is held.
func (c *Collector) takeMetric(instance string, m *metrics.Metric) (flaws []string) {
	flaw := func(bad bool, format string, a ...any) {
		if bad {
			flaws = append(flaws, fmt.Sprintf(format, a...))
		}
	}
	flaw(m.Name == "" || len(m.Name) > 255, "name")
	cumulative := metrics.AggregationTemporality_AGGREGATION_TEMPORALITY_CUMULATIVE
	keep := func(attrs []*common.KeyValue, p Point, sum bool) {
		text, bad := write(attrs)
		flaws = append(flaws, bad...)
		k := Series{instance, m.Name, text}
		old, known := c.points[k]
		flaw(p.Time == 0, "no time")
		if sum {
			flaw(p.Start == 0 || p.Start > p.Time, "start time of %s", text)
			flaw(known && p.Start == old.Start && p.Time >= old.Time && p.Value < old.Value, "the sum of %s went down from %g to %g", text, old.Value, p.Value)
			flaw(known && p.Start < old.Start && p.Time > old.Time, "the start of %s went back", text)
		}
		if !known || p.Time >= old.Time { // an older message may come late
			c.points[k] = p
		}
	}
	number := func(n *metrics.NumberDataPoint) float64 {
		if v, ok := n.Value.(*metrics.NumberDataPoint_AsInt); ok {
			return float64(v.AsInt)
		}
		x := n.GetAsDouble()
		flaw(n.Value == nil || math.IsNaN(x), "a point without a number")
		return x
	}
	switch d := m.Data.(type) {
	case *metrics.Metric_Sum:
		flaw(d.Sum.AggregationTemporality != cumulative, "temporality")
		flaw(len(d.Sum.DataPoints) == 0, "no points")
		for _, p := range d.Sum.DataPoints {
			x := number(p)
			flaw(d.Sum.IsMonotonic && x < 0, "a monotonic sum below 0")
			keep(p.Attributes, Point{Value: x, Start: p.StartTimeUnixNano, Time: p.TimeUnixNano}, d.Sum.IsMonotonic)
		}
	case *metrics.Metric_Gauge:
		flaw(len(d.Gauge.DataPoints) == 0, "no points")
		for _, p := range d.Gauge.DataPoints {
			keep(p.Attributes, Point{Value: number(p), Time: p.TimeUnixNano}, false)
		}
	case *metrics.Metric_ExponentialHistogram:
		flaw(d.ExponentialHistogram.AggregationTemporality != cumulative, "temporality")
		for _, p := range d.ExponentialHistogram.DataPoints {
			in := p.ZeroCount
			for _, n := range append(slices.Clone(p.GetPositive().GetBucketCounts()), p.GetNegative().GetBucketCounts()...) {
				in += n
			}
			flaw(in != p.Count, "buckets hold %d of %d", in, p.Count)
			flaw(p.Scale < -10 || p.Scale > 20, "scale %d", p.Scale)
			flaw(p.Count > 0 && (p.Sum == nil || p.Min == nil || p.Max == nil || p.GetMin() > p.GetMax() ||
				p.GetSum() > p.GetMax()*float64(p.Count)*(1+1e-9) || p.GetSum() < p.GetMin()*float64(p.Count)*(1-1e-9)), "sum, least and most")
			for _, e := range p.Exemplars {
				flaw(len(e.TraceId) != 16 || len(e.SpanId) != 8 || e.TimeUnixNano == 0, "exemplar")
				x := e.GetAsDouble()
				flaw(x < p.GetMin() || x > p.GetMax(), "an exemplar of %g outside", x)
			}
			keep(p.Attributes, Point{Value: float64(p.Count), Start: p.StartTimeUnixNano, Time: p.TimeUnixNano, Histogram: p}, true)
		}
	default:
		flaw(true, "data of no known kind")
	}
	return flaws
}
