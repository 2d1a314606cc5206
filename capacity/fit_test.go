package capacity

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

func TestFitPoints(t *testing.T) {
	for _, c := range []struct {
		name        string
		form        Form
		points      []Point
		size        float64
		want        float64
		undefined   bool // no value at the size
		rms         float64
		maxResidual float64
		formText    string
	}{
		{"constant is the mean", Constant, []Point{{5, 200}, {20, 202}, {50, 204}}, 610, 202, false, 1.632993, 2, "202"},
		{"constant of one point", Constant, []Point{{610, 320}}, 610, 320, false, 0, 0, "320"},
		{"line through two points", Linear, []Point{{100, 10}, {200, 20}}, 1000, 100, false, 0, 0, "0 + 0.1 n"},
		{"line with an intercept", Linear, []Point{{0.5, 6}, {1, 7}, {2, 9}}, 10, 25, false, 0, 0, "5 + 2 n"},
		{"line with residuals", Linear, []Point{{1, 1}, {2, 3}, {3, 2}}, 2, 2, false, 0.707107, 1, "1 + 0.5 n"},
		{"unsorted points", Linear, []Point{{200, 20}, {100, 10}}, 150, 15, false, 0, 0, "0 + 0.1 n"},
		{"logarithm", Logarithmic, []Point{{1, 2}, {math.E, 5}}, math.E * math.E, 8, false, 0, 0, "2 + 3 ln n"},
		{"line of one size, at that size", Linear, []Point{{610, 0.14}, {610, 0.18}}, 610, 0.16, false, 0.02, 0.02, "one size"},
		{"line of one size, at another size", Linear, []Point{{610, 0.14}, {610, 0.18}}, 611, 0, true, 0.02, 0.02, "one size"},
		{"interpolation between two points", Interpolated, []Point{{5, 0.2}, {50, 1.1}, {610, 1}}, 10, 0.3, false, 0, 0, "between points"},
		{"interpolation at a point", Interpolated, []Point{{5, 0.2}, {50, 1.1}, {610, 1}}, 50, 1.1, false, 0, 0, "between points"},
		{"interpolation beyond the last point", Interpolated, []Point{{5, 0.2}, {610, 1}}, 611, 0, true, 0, 0, "between points"},
		{"interpolation before the first point", Interpolated, []Point{{5, 0.2}, {610, 1}}, 4, 0, true, 0, 0, "between points"},
	} {
		t.Run(c.name, func(t *testing.T) {
			fit := FitPoints(c.form, c.points)
			got, ok := fit.At(c.size)
			if ok == c.undefined || !approximatelyEqual(got, c.want) {
				t.Errorf("at %g: %g, %v; want %g, %v", c.size, got, ok, c.want, !c.undefined)
			}
			if !approximatelyEqual(fit.RMS, c.rms) || !approximatelyEqual(fit.MaxResidual, c.maxResidual) {
				t.Errorf("RMS %g, largest residual %g; want %g, %g", fit.RMS, fit.MaxResidual, c.rms, c.maxResidual)
			}
			if fit.String() != c.formText {
				t.Errorf("%q, want %q", fit.String(), c.formText)
			}
		})
	}
}

// approximatelyEqual compares with a tolerance of 1e-6, relative for magnitudes above 1.
func approximatelyEqual(a, b float64) bool {
	return math.Abs(a-b) <= 1e-6*max(1, math.Abs(a), math.Abs(b))
}

// No other line has a smaller sum of squared residuals than the fitted one.
func TestLinearFitMinimizesSquaredResiduals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := rapid.Float64Range(0, 1000)
		points := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Point {
			return Point{rapid.Float64Range(1, 1000).Draw(t, "size"), value.Draw(t, "value")}
		}), 2, 20).Draw(t, "points")
		fit := FitPoints(Linear, points)
		if fit.Form != Linear || fit.LargestSize-fit.SmallestSize < 1 {
			t.Skip("sizes are too close to each other for a line")
		}
		squares := func(intercept, slope float64) (sum float64) {
			for _, p := range points {
				distance := p.Value - intercept - slope*p.Size
				sum += distance * distance
			}
			return sum
		}
		best := squares(fit.Intercept, fit.Slope)
		intercept := fit.Intercept + rapid.Float64Range(-10, 10).Draw(t, "other intercept")
		slope := fit.Slope + rapid.Float64Range(-1, 1).Draw(t, "other slope")
		if other := squares(intercept, slope); other < best-1e-6*max(1, best) {
			t.Fatalf("%v has the sum of squares %g, but %g + %g n has %g", fit.String(), best, intercept, slope, other)
		}
		if !approximatelyEqual(fit.RMS, math.Sqrt(best/float64(len(points)))) || fit.MaxResidual < fit.RMS-1e-9 {
			t.Fatalf("RMS %g, largest residual %g, sum of squares %g", fit.RMS, fit.MaxResidual, best)
		}
	})
}

func TestFormatWithUnit(t *testing.T) {
	for _, c := range []struct {
		value float64
		unit  string
		want  string
	}{
		{0, "s", "0 s"}, {0.00012, "s", "1.20e-04 s"}, {0.0192, "ms", "0.0192 ms"}, {12, "s", "12 s"}, {999.6, "us", "1000 us"},
		{8800, "", "8,800"}, {1234567, "1/s", "1,234,567/s"}, {0.98, "1", "0.98"}, {-1234, "s", "-1,234 s"},
		{6000, "B/s", "6,000 B/s"}, {17531, "B/s", "17.5 kB/s"}, {2.97e6, "B", "2.97 MB"}, {1.8117e9, "B", "1.81 GB"}, {64, "MB", "64 MB"},
	} {
		if got := formatWithUnit(c.value, c.unit); got != c.want {
			t.Errorf("%g %s: %q, want %q", c.value, c.unit, got, c.want)
		}
	}
}
