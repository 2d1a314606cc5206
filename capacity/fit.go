package capacity

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Form is the function by which a quantity is expected to grow with size.
type Form string

// Forms of a slope.
const (
	Constant     Form = "constant"     // a
	Linear       Form = "linear"       // a + b*size
	Logarithmic  Form = "logarithmic"  // a + b*ln(size)
	Interpolated Form = "interpolated" // piecewise linear between neighboring points, undefined beyond them
)

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Fit is a least-squares fit of measured points to a form.
type Fit struct {
	Form         Form
	Intercept    float64
	Slope        float64 // 0 for Constant and Interpolated
	RMS          float64 // root mean square of the residuals, in the unit of the measure
	MaxResidual  float64 // the largest absolute residual, in the unit of the measure
	SmallestSize float64 // the smallest size measured
	LargestSize  float64 // the largest size measured

	points []Point
}

// FitPoints fits points to a form. Linear and logarithmic fits need two different sizes; with a single size the
// result is Interpolated, which holds at that size alone. There must be at least one point and all sizes must be
// positive; callers have validated that.
func FitPoints(form Form, points []Point) Fit {
	points = slices.Clone(points)
	slices.SortStableFunc(points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	fit := Fit{Form: form, SmallestSize: points[0].Size, LargestSize: points[len(points)-1].Size, points: points}
	if fit.SmallestSize == fit.LargestSize && form != Constant {
		fit.Form = Interpolated
	}
	switch fit.Form {
	case Constant:
		fit.Intercept = mean(points, func(p Point) float64 { return p.Value })
	case Linear, Logarithmic:
		fit.fitLine()
	}
	fit.computeResiduals()
	return fit
}

// fitLine computes the intercept and slope by least squares over the transformed sizes.
func (f *Fit) fitLine() {
	meanX := mean(f.points, func(p Point) float64 { return f.transform(p.Size) })
	meanY := mean(f.points, func(p Point) float64 { return p.Value })
	var covariance, variance float64
	for _, p := range f.points {
		dx := f.transform(p.Size) - meanX
		covariance += dx * (p.Value - meanY)
		variance += dx * dx
	}
	f.Slope = covariance / variance
	f.Intercept = meanY - f.Slope*meanX
}

// transform maps a size to the variable in which the form is linear.
func (f *Fit) transform(size float64) float64 {
	if f.Form == Logarithmic {
		return math.Log(size)
	}
	return size
}

// computeResiduals sets RMS and MaxResidual.
func (f *Fit) computeResiduals() {
	var squares float64
	for _, p := range f.points {
		value, _ := f.At(p.Size)
		distance := math.Abs(p.Value - value)
		squares += distance * distance
		f.MaxResidual = max(f.MaxResidual, distance)
	}
	f.RMS = math.Sqrt(squares / float64(len(f.points)))
}

// At returns the fitted value at a size, and false if the form is undefined there.
func (f *Fit) At(size float64) (float64, bool) {
	if f.Form == Interpolated {
		return f.interpolate(size)
	}
	return f.Intercept + f.Slope*f.transform(size), true
}

// interpolate returns the value on the straight line between the neighboring points. Points of the same size
// count as their mean.
func (f *Fit) interpolate(size float64) (float64, bool) {
	if size < f.SmallestSize || size > f.LargestSize {
		return 0, false
	}
	low, high := f.SmallestSize, f.LargestSize
	for _, p := range f.points {
		if p.Size <= size {
			low = p.Size
		}
		if p.Size >= size && p.Size < high {
			high = p.Size
		}
	}
	at := func(size float64) float64 {
		var same []Point
		for _, p := range f.points {
			if p.Size == size {
				same = append(same, p)
			}
		}
		return mean(same, func(p Point) float64 { return p.Value })
	}
	if low == high {
		return at(low), true
	}
	fraction := (size - low) / (high - low)
	return at(low) + fraction*(at(high)-at(low)), true
}

// String returns the fit as a formula in n, the size.
func (f *Fit) String() string {
	switch f.Form {
	case Constant:
		return formatNumber(f.Intercept)
	case Linear:
		return fmt.Sprintf("%s + %s n", formatNumber(f.Intercept), formatNumber(f.Slope))
	case Logarithmic:
		return fmt.Sprintf("%s + %s ln n", formatNumber(f.Intercept), formatNumber(f.Slope))
	}
	if f.SmallestSize == f.LargestSize {
		return "one size"
	}
	return "between points"
}

// mean returns the mean of a coordinate of the points.
func mean(points []Point, of func(Point) float64) float64 {
	var sum float64
	for _, p := range points {
		sum += of(p)
	}
	return sum / float64(len(points))
}
