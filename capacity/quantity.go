package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// TrustedReach is how far beyond the largest measured size a fit is trusted: up
// to this many times that size. Beyond it a figure is not known.
const TrustedReach = 2.0

// quantity is a figure, or why it is not known. Its upper value adds to it the
// largest distance of a measured point from its fit; verdicts go by the upper
// value.
type quantity struct {
	value, upper float64
	least        float64  // the known part of a sum; the value, where it is known
	unknown      string   // why it is not known; empty: it is
	from         []string // names of the measures it comes from
	trial        bool     // one of these is a trial
}

// arithmetic is a figure that needs no slope.
func arithmetic(value float64) quantity { return quantity{value: value, upper: value, least: value} }

func (q quantity) times(factor float64) quantity {
	q.value *= factor
	q.upper *= factor
	q.least *= factor
	return q
}

// plus adds figures; the sum is known if both are, and else its known part is.
func (q quantity) plus(other quantity) quantity {
	sum := q.combine(other, func(a, b float64) float64 { return a + b })
	sum.least = q.least + other.least
	return sum
}

// multiply is the product of two figures; it is known if both are.
func (q quantity) multiply(other quantity) quantity {
	product := q.combine(other, func(a, b float64) float64 { return a * b })
	if product.unknown == "" {
		product.least = product.value
	}
	return product
}

func (q quantity) combine(other quantity, operation func(a, b float64) float64) quantity {
	result := quantity{
		value:   operation(q.value, other.value),
		upper:   operation(q.upper, other.upper),
		unknown: q.unknown,
		from:    slices.Clone(q.from),
		trial:   q.trial || other.trial,
	}
	for _, name := range other.from {
		if !slices.Contains(result.from, name) {
			result.from = append(result.from, name)
		}
	}
	switch {
	case result.unknown == "":
		result.unknown = other.unknown
	case other.unknown != "" && !strings.Contains(result.unknown, other.unknown):
		result.unknown += "; " + other.unknown
	}
	return result
}

// text is the figure with its unit, for a sentence.
func (q quantity) text(unit string) string {
	if q.unknown != "" {
		return "not known"
	}
	return withUnit(q.value, unit)
}

// estimates are the fits of all slopes.
type estimates struct {
	slopes map[string]fitted
}

type fitted struct {
	slope Slope
	fit   Fit
}

func newEstimates(slopes []Slope) estimates {
	e := estimates{slopes: map[string]fitted{}}
	for _, s := range slopes {
		measure, _ := measureOf(s.Measure)
		e.slopes[s.Measure] = fitted{s, FitPoints(measure.Form, s.Points)}
	}
	return e
}

// at is a measure's figure at a size.
func (e estimates) at(name string, size float64) quantity {
	f, measured := e.slopes[name]
	if !measured {
		return quantity{unknown: name + " is not measured", from: []string{name}}
	}
	q := quantity{from: []string{name}, trial: f.slope.Trial}
	if size > f.fit.Largest*TrustedReach {
		q.unknown = fmt.Sprintf("%s is measured up to %s alone", name, number(f.fit.Largest))
		return q
	}
	value, ok := f.fit.At(size)
	if !ok {
		q.unknown = fmt.Sprintf("%s is measured from %s to %s alone", name, number(f.fit.Least), number(f.fit.Largest))
		return q
	}
	q.value = max(value, 0)
	q.upper = q.value + f.fit.Worst
	q.least = q.value
	return q
}
