package traces

import "math"

// Histogram is OTLP's exponential histogram: its bucket bounds are powers of 2^(2^-Scale). It halves its resolution
// when it would need more than maxBuckets.
type Histogram struct {
	Scale    int
	Count    uint64
	Sum      float64
	Min, Max float64
	Zero     uint64 // values of 0 or less
	Offset   int    // index of the first bucket
	Buckets  []uint64
	Exemplar Exemplar
}

// Exemplar is a measured value and the trace context of the measurement.
type Exemplar struct {
	Value, At float64 // At in seconds
	Context   Context
}

const (
	exemplarLifetime = 60 // seconds until a smaller value may replace the exemplar
	maxBuckets       = 160
	initialScale     = 6
	minScale         = -10
)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{Scale: initialScale, Min: math.Inf(1), Max: math.Inf(-1)}
}

// index returns the bucket of a positive value; bucket i holds (base^i, base^(i+1)].
func (h *Histogram) index(x float64) int {
	return int(math.Ceil(math.Log2(x)*math.Exp2(float64(h.Scale)))) - 1
}

// Add counts a value measured at the given time in seconds. The largest value of the last exemplarLifetime becomes
// the exemplar. NaN and infinite values are ignored.
func (h *Histogram) Add(x float64, traceContext Context, at float64) {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return
	}
	h.Count++
	h.Sum += x
	h.Min, h.Max = min(h.Min, x), max(h.Max, x)
	if traceContext.Trace != (TraceID{}) && (x >= h.Exemplar.Value || at-h.Exemplar.At > exemplarLifetime) {
		h.Exemplar = Exemplar{Value: x, At: at, Context: traceContext}
	}
	if x <= 0 {
		h.Zero++
		return
	}
	h.addToBucket(x)
}

// addToBucket counts a positive value. It lowers the scale until the value fits, then adds missing buckets.
func (h *Histogram) addToBucket(x float64) {
	i := h.index(x)
	for !h.fits(i) && h.Scale > minScale {
		h.downscale()
		i = h.index(x)
	}
	if len(h.Buckets) == 0 {
		h.Offset = i
	}
	if missing := h.Offset - i; missing > 0 {
		h.Buckets = append(make([]uint64, missing, missing+len(h.Buckets)), h.Buckets...)
		h.Offset = i
	}
	if missing := i - h.Offset - len(h.Buckets) + 1; missing > 0 {
		h.Buckets = append(h.Buckets, make([]uint64, missing)...)
	}
	h.Buckets[i-h.Offset]++
}

// fits reports whether the histogram has at most maxBuckets once it includes bucket i.
func (h *Histogram) fits(i int) bool {
	if len(h.Buckets) == 0 {
		return true
	}
	return max(i, h.Offset+len(h.Buckets)-1)-min(i, h.Offset) < maxBuckets
}

// downscale lowers the scale by one, which halves the resolution, by merging neighbouring buckets.
func (h *Histogram) downscale() {
	h.Scale--
	first := h.Offset >> 1
	merged := make([]uint64, (h.Offset+len(h.Buckets)-1)>>1-first+1)
	for i, n := range h.Buckets {
		merged[(h.Offset+i)>>1-first] += n
	}
	h.Offset, h.Buckets = first, merged
}
