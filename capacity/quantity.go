package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// MaxExtrapolation is how far beyond the largest measured size a fit is trusted: up
// to this many times that size. Beyond it a figure is not known.
const MaxExtrapolation = 2.0

// quantity is a figure, or why it is not known. Its upper value adds to it the
// largest distance of a measured point from its fit; verdicts go by the upper
// value.
type quantity struct {
	value, upperBound float64
	lowerBound        float64  // the known part of a sum; the value, where it is known
	unknownReason     string   // why it is not known; empty: it is
	measures          []string // names of the measures it comes from
	trial             bool     // one of these is a trial
}

// computed is a figure that needs no slope.
func computed(value float64) quantity {
	return quantity{value: value, upperBound: value, lowerBound: value}
}

func (q quantity) scale(factor float64) quantity {
	q.value *= factor
	q.upperBound *= factor
	q.lowerBound *= factor
	return q
}

// add adds figures; the sum is known if both are, and else its known part is.
func (q quantity) add(other quantity) quantity {
	sum := q.combine(other, func(a, b float64) float64 { return a + b })
	sum.lowerBound = q.lowerBound + other.lowerBound
	return sum
}

// multiply is the product of two figures; it is known if both are.
func (q quantity) multiply(other quantity) quantity {
	product := q.combine(other, func(a, b float64) float64 { return a * b })
	if product.unknownReason == "" {
		product.lowerBound = product.value
	}
	return product
}

func (q quantity) combine(other quantity, operation func(a, b float64) float64) quantity {
	result := quantity{
		value:         operation(q.value, other.value),
		upperBound:    operation(q.upperBound, other.upperBound),
		unknownReason: q.unknownReason,
		measures:      slices.Clone(q.measures),
		trial:         q.trial || other.trial,
	}
	for _, name := range other.measures {
		if !slices.Contains(result.measures, name) {
			result.measures = append(result.measures, name)
		}
	}
	switch {
	case result.unknownReason == "":
		result.unknownReason = other.unknownReason
	case other.unknownReason != "" && !strings.Contains(result.unknownReason, other.unknownReason):
		result.unknownReason += "; " + other.unknownReason
	}
	return result
}

// text is the figure with its unit, for a sentence.
func (q quantity) text(unit string) string {
	if q.unknownReason != "" {
		return "not known"
	}
	return formatWithUnit(q.value, unit)
}

// estimates are the fits of all slopes.
type estimates struct {
	slopes map[string]fittedSlope
}

type fittedSlope struct {
	slope Slope
	fit   Fit
}

func newEstimates(slopes []Slope) estimates {
	e := estimates{slopes: map[string]fittedSlope{}}
	for _, s := range slopes {
		measure, _ := findMeasure(s.Measure)
		e.slopes[s.Measure] = fittedSlope{s, FitPoints(measure.Form, s.Points)}
	}
	return e
}

// estimate is a measure's figure estimate a size.
func (e estimates) estimate(name string, size float64) quantity {
	f, measured := e.slopes[name]
	if !measured {
		return quantity{unknownReason: name + " is not measured", measures: []string{name}}
	}
	q := quantity{measures: []string{name}, trial: f.slope.Trial}
	if size > f.fit.LargestSize*MaxExtrapolation {
		q.unknownReason = fmt.Sprintf("%s is measured up to %s alone", name, formatNumber(f.fit.LargestSize))
		return q
	}
	value, ok := f.fit.At(size)
	if !ok {
		q.unknownReason = fmt.Sprintf("%s is measured from %s to %s alone", name, formatNumber(f.fit.SmallestSize), formatNumber(f.fit.LargestSize))
		return q
	}
	q.value = max(value, 0)
	q.upperBound = q.value + f.fit.MaxResidual
	q.lowerBound = q.value
	return q
}
