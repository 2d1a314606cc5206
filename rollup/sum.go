package rollup

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Kind is one of the things that are counted.
type Kind struct {
	Name string
	of   func(*Counts) float64
}

// Kinds are all of them, in the order of a line.
var Kinds = []Kind{
	{"requests", func(c *Counts) float64 { return float64(c.Requests) }},
	{"sends", func(c *Counts) float64 { return float64(c.Sends) }},
	{"connects", func(c *Counts) float64 { return float64(c.Connects) }},
	{"calls", func(c *Counts) float64 { return float64(c.Calls) }},
	{"units", func(c *Counts) float64 { return c.Units }},
	{"full", func(c *Counts) float64 { return float64(c.Full) }},
	{"silent", func(c *Counts) float64 { return float64(c.Silent) }},
	{"no_quota", func(c *Counts) float64 { return float64(c.NoQuota) }},
	{"no_place", func(c *Counts) float64 { return float64(c.NoPlace) }},
	{"no_answer", func(c *Counts) float64 { return float64(c.NoAnswer) }},
	{"failed", func(c *Counts) float64 { return float64(c.Failed) }},
	{"changes", func(c *Counts) float64 { return float64(c.Changes) }},
}

// Span is a span of the whole site.
type Span struct {
	At     float64            `json:"at"` // seconds since the first
	Active int                `json:"active"`
	Counts map[string]float64 `json:"counts"`
}

// Total says how one kind is spread over time and over gateways.
type Total struct {
	Kind   string  `json:"kind"`
	Sum    float64 `json:"sum"`
	PerS   float64 `json:"per_s"`
	Peak   float64 `json:"peak"`    // most in one span
	PeakAt float64 `json:"peak_at"` // seconds since the first
	// InStep is the variance of a span's count over its mean: 1 where each thing comes by chance, more where many come
	// together. 0 where there is nothing.
	InStep float64 `json:"in_step"`
	// Uneven is what the busiest gateway counts, over the mean of those that are known.
	Uneven float64 `json:"uneven"`
	// Reached is how long after the first gateway nine in ten of those that ever counted one had.
	Reached float64 `json:"reached_s"`
}

// Site is the sum over all gateways.
type Site struct {
	Gateways int     `json:"gateways"`
	Seconds  float64 `json:"seconds"`
	Totals   []Total `json:"totals"`
	Spans    []Span  `json:"spans"`
}

// MostSpans is how many spans a sum may have.
const MostSpans = 1_000_000

// Sum adds lines of any gateways up, in spans of every seconds. Lines may come in any order. Times that lie further
// apart than MostSpans are an error: a clock is wrong, or the files are of different days.
func Sum(lines []Line, every float64) (Site, error) {
	if len(lines) == 0 {
		return Site{}, nil
	}
	first, last := math.Inf(1), math.Inf(-1)
	for i := range lines {
		first, last = min(first, lines[i].At), max(last, lines[i].At)
	}
	first = math.Floor(first/every) * every
	if (last-first)/every >= MostSpans {
		return Site{}, fmt.Errorf("the lines lie %.0f s apart: more than %d spans of %g s", last-first, MostSpans, every)
	}
	n := int((last-first)/every) + 1
	s := Site{Seconds: float64(n) * every}
	known := map[string]map[string]float64{} // by gateway and kind
	active := make([]map[string]bool, n)
	sums := make([]map[string]float64, n)
	began := map[string]map[string]float64{} // by kind and gateway: when it counted the first
	for i := range lines {
		l := &lines[i]
		at := int((l.At - first) / every)
		if sums[at] == nil {
			sums[at], active[at] = map[string]float64{}, map[string]bool{}
		}
		if known[l.Gateway] == nil {
			known[l.Gateway] = map[string]float64{}
		}
		active[at][l.Gateway] = true
		for _, k := range Kinds {
			v := k.of(&l.Counts)
			if v == 0 {
				continue
			}
			sums[at][k.Name] += v
			known[l.Gateway][k.Name] += v
			if began[k.Name] == nil {
				began[k.Name] = map[string]float64{}
			}
			if was, ok := began[k.Name][l.Gateway]; !ok || l.At < was {
				began[k.Name][l.Gateway] = l.At
			}
		}
	}
	s.Gateways = len(known)
	for at := range sums {
		if sums[at] != nil {
			s.Spans = append(s.Spans, Span{float64(at) * every, len(active[at]), sums[at]})
		}
	}
	for _, k := range Kinds {
		s.Totals = append(s.Totals, total(k.Name, sums, known, began[k.Name], every))
	}
	return s, nil
}

func total(kind string, sums []map[string]float64, known map[string]map[string]float64, began map[string]float64, every float64) Total {
	t := Total{Kind: kind}
	n, squares, most := float64(len(sums)), 0.0, 0.0
	for at, c := range sums {
		v := c[kind]
		t.Sum += v
		squares += v * v
		if v > t.Peak {
			t.Peak, t.PeakAt = v, float64(at)*every
		}
	}
	t.PerS = t.Sum / (n * every)
	if mean := t.Sum / n; mean > 0 {
		t.InStep = (squares/n - mean*mean) / mean
	}
	for _, counts := range known {
		most = max(most, counts[kind])
	}
	if t.Sum > 0 {
		t.Uneven = most * float64(len(known)) / t.Sum
	}
	var firsts []float64
	for _, at := range began {
		firsts = append(firsts, at)
	}
	if slices.SortFunc(firsts, cmp.Compare); len(firsts) > 0 {
		t.Reached = firsts[(9*len(firsts)-1)/10] - firsts[0]
	}
	return t
}
