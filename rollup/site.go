package rollup

import (
	"fmt"
	"maps"
	"math"
	"slices"
)

// Counter is one field of Counts.
type Counter struct {
	Name  string
	value func(*Counts) float64
}

// Counters lists all counters in the order of a line.
var Counters = []Counter{
	{"requests", func(c *Counts) float64 { return float64(c.Requests) }},
	{"sends", func(c *Counts) float64 { return float64(c.Attempts) }},
	{"connects", func(c *Counts) float64 { return float64(c.Dials) }},
	{"calls", func(c *Counts) float64 { return float64(c.CounterCalls) }},
	{"units", func(c *Counts) float64 { return c.Units }},
	{"full", func(c *Counts) float64 { return float64(c.CallsRejected) }},
	{"silent", func(c *Counts) float64 { return float64(c.CallsUnanswered) }},
	{"no_quota", func(c *Counts) float64 { return float64(c.QuotaExceeded) }},
	{"no_place", func(c *Counts) float64 { return float64(c.NoCapacity) }},
	{"no_answer", func(c *Counts) float64 { return float64(c.AttemptsFailed) }},
	{"failed", func(c *Counts) float64 { return float64(c.Failed) }},
	{"changes", func(c *Counts) float64 { return float64(c.BackendChanges) }},
}

// Interval is the sum over all gateways in one interval.
type Interval struct {
	At     float64            `json:"at"`     // seconds since the first
	Active int                `json:"active"` // gateways with counts in the interval
	Counts map[string]float64 `json:"counts"` // by counter
}

// Total describes the distribution of one counter over time and over gateways.
type Total struct {
	Counter   string  `json:"kind"`
	Sum       float64 `json:"sum"`
	PerSecond float64 `json:"per_s"`
	Peak      float64 `json:"peak"`    // highest sum of an interval
	PeakAt    float64 `json:"peak_at"` // seconds since the first interval
	// Dispersion is the variance of the counts per interval over their mean (the index of dispersion): 1 for
	// independent events, more for events that come in bursts, 0 if there are none.
	Dispersion float64 `json:"in_step"`
	// PeakToMean is the busiest gateway's sum over the mean of all gateways' sums.
	PeakToMean float64 `json:"uneven"`
	// SpreadTime is the time in seconds from the first count of any gateway until 90 % of the gateways with a count
	// have had their first.
	SpreadTime float64 `json:"reached_s"`
}

// Site is the sum over all gateways of a site.
type Site struct {
	Gateways  int        `json:"gateways"`
	Seconds   float64    `json:"seconds"`
	Totals    []Total    `json:"totals"`
	Intervals []Interval `json:"spans"`
}

// MaxIntervals is the limit of intervals in a Site.
const MaxIntervals = 1_000_000

// Sum aggregates the lines of all gateways, in any order, into intervals of the given length in seconds. It fails if
// the lines span MaxIntervals or more: then a clock is wrong, or the files are of different days.
func Sum(lines []Line, interval float64) (Site, error) {
	if len(lines) == 0 {
		return Site{}, nil
	}
	first, last := math.Inf(1), math.Inf(-1)
	for i := range lines {
		first, last = min(first, lines[i].At), max(last, lines[i].At)
	}
	first = math.Floor(first/interval) * interval
	if (last-first)/interval >= MaxIntervals {
		return Site{}, fmt.Errorf("the lines lie %.0f s apart: more than %d spans of %g s", last-first, MaxIntervals, interval)
	}
	s := newSummary(first, interval, int((last-first)/interval)+1)
	for i := range lines {
		s.add(&lines[i])
	}
	return s.site(), nil
}

// counterSums holds the sums of the counters that are not 0, by name.
type counterSums map[string]float64

// summary is a Site under construction.
type summary struct {
	first, interval float64                       // seconds
	sums            []counterSums                 // by interval
	active          []map[string]bool             // names of gateways, by interval
	byGateway       map[string]counterSums        // by gateway
	firstCounts     map[string]map[string]float64 // time of the first count, by counter and gateway
}

func newSummary(first, interval float64, intervals int) *summary {
	return &summary{
		first:       first,
		interval:    interval,
		sums:        make([]counterSums, intervals),
		active:      make([]map[string]bool, intervals),
		byGateway:   map[string]counterSums{},
		firstCounts: map[string]map[string]float64{},
	}
}

// add adds one line.
func (s *summary) add(line *Line) {
	i := int((line.At - s.first) / s.interval)
	if s.sums[i] == nil {
		s.sums[i], s.active[i] = counterSums{}, map[string]bool{}
	}
	if s.byGateway[line.Gateway] == nil {
		s.byGateway[line.Gateway] = counterSums{}
	}
	s.active[i][line.Gateway] = true
	for _, counter := range Counters {
		value := counter.value(&line.Counts)
		if value == 0 {
			continue
		}
		s.sums[i][counter.Name] += value
		s.byGateway[line.Gateway][counter.Name] += value
		s.updateFirst(counter.Name, line)
	}
}

// updateFirst updates the time of the gateway's first count of a counter.
func (s *summary) updateFirst(counter string, line *Line) {
	if s.firstCounts[counter] == nil {
		s.firstCounts[counter] = map[string]float64{}
	}
	if earliest, ok := s.firstCounts[counter][line.Gateway]; !ok || line.At < earliest {
		s.firstCounts[counter][line.Gateway] = line.At
	}
}

// site returns the Site of all lines added.
func (s *summary) site() Site {
	site := Site{Gateways: len(s.byGateway), Seconds: float64(len(s.sums)) * s.interval}
	for i, sums := range s.sums {
		if sums != nil {
			site.Intervals = append(site.Intervals, Interval{At: float64(i) * s.interval, Active: len(s.active[i]), Counts: sums})
		}
	}
	for _, counter := range Counters {
		site.Totals = append(site.Totals, s.total(counter.Name))
	}
	return site
}

// total returns the Total of one counter.
func (s *summary) total(counter string) Total {
	t := Total{Counter: counter}
	intervals, squares := float64(len(s.sums)), 0.0
	for i, sums := range s.sums {
		value := sums[counter]
		t.Sum += value
		squares += value * value
		if value > t.Peak {
			t.Peak, t.PeakAt = value, float64(i)*s.interval
		}
	}
	t.PerSecond = t.Sum / (intervals * s.interval)
	if mean := t.Sum / intervals; mean > 0 {
		t.Dispersion = (squares/intervals - mean*mean) / mean
	}
	if t.Sum > 0 {
		t.PeakToMean = s.maxPerGateway(counter) * float64(len(s.byGateway)) / t.Sum
	}
	t.SpreadTime = spreadTime(s.firstCounts[counter])
	return t
}

// maxPerGateway returns the largest sum of a counter on one gateway, at least 0.
func (s *summary) maxPerGateway(counter string) float64 {
	largest := 0.0
	for _, sums := range s.byGateway {
		largest = max(largest, sums[counter])
	}
	return largest
}

// spreadTime returns the time from the earliest of some times to their 90th percentile, 0 if there are none.
func spreadTime(times map[string]float64) float64 {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(maps.Values(times))
	return sorted[(9*len(sorted)-1)/10] - sorted[0]
}
