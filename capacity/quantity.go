package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// MaxExtrapolation is the ratio of a size to the largest measured size up to which a fit is trusted. Beyond it a
// value is unknown.
const MaxExtrapolation = 2.0

// quantity is a value, or the reason why it is unknown. The upper bound adds the largest residual of the fit to
// the value; verdicts are based on the upper bound.
type quantity struct {
	value, upperBound float64
	lowerBound        float64  // the known part of a sum; equals the value if that is known
	unknownReason     string   // empty: the value is known
	measures          []string // names of the measures from which it is derived
	trial             bool     // one of the measures is from a trial
}

// computed returns a quantity that depends on no slope.
func computed(value float64) quantity {
	return quantity{value: value, upperBound: value, lowerBound: value}
}

// scale multiplies a quantity by a known factor.
func (q quantity) scale(factor float64) quantity {
	q.value *= factor
	q.upperBound *= factor
	q.lowerBound *= factor
	return q
}

// add returns the sum of two quantities. It is known if both are; its lower bound is always set.
func (q quantity) add(other quantity) quantity {
	sum := q.combine(other, func(a, b float64) float64 { return a + b })
	sum.lowerBound = q.lowerBound + other.lowerBound
	return sum
}

// multiply returns the product of two quantities. It is known if both are.
func (q quantity) multiply(other quantity) quantity {
	product := q.combine(other, func(a, b float64) float64 { return a * b })
	if product.unknownReason == "" {
		product.lowerBound = product.value
	}
	return product
}

// combine applies an operation to values and upper bounds, and merges reasons, measures and trial.
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

// text formats the quantity with its unit, for use in a sentence.
func (q quantity) text(unit string) string {
	if q.unknownReason != "" {
		return "not known"
	}
	return formatWithUnit(q.value, unit)
}

// estimates holds the fits of all slopes by the name of their measure.
type estimates struct {
	slopes map[string]fittedSlope
}

// fittedSlope is a slope with its fit.
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

// estimate returns the value of a measure at a size.
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
