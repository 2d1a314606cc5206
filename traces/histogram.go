package traces

import "math"

// Histogram is OTLP's exponential histogram: buckets whose bounds are powers of
// 2^(2^-Scale). It halves its resolution when it would need more than maxBuckets.
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

// Exemplar is a value and the trace context that it was measured in.
type Exemplar struct {
	Value, At float64 // At in seconds
	Context   Context
}

const (
	exemplarLifetime = 60 // seconds that the largest value stays the exemplar
	maxBuckets       = 160
	initialScale     = 6
	minScale         = -10
)

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{Scale: initialScale, Min: math.Inf(1), Max: math.Inf(-1)}
}

// index returns the bucket of a value above 0, which holds (base^index, base^(index+1)].
func (h *Histogram) index(x float64) int {
	return int(math.Ceil(math.Log2(x)*math.Exp2(float64(h.Scale)))) - 1
}

// Add counts a value that was measured at a time in seconds. The largest value of the last exemplarLifetime
// becomes the exemplar; NaN and infinite values are ignored.
func (h *Histogram) Add(x float64, c Context, at float64) {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return
	}
	h.Count++
	h.Sum += x
	h.Min, h.Max = min(h.Min, x), max(h.Max, x)
	if c.Trace != (TraceID{}) && (x >= h.Exemplar.Value || at-h.Exemplar.At > exemplarLifetime) {
		h.Exemplar = Exemplar{Value: x, At: at, Context: c}
	}
	if x <= 0 {
		h.Zero++
		return
	}
	h.addToBucket(x)
}

// addToBucket counts a value above 0 in its bucket, which is created if needed.
func (h *Histogram) addToBucket(x float64) {
	i := h.index(x)
	for !h.fits(i) && h.Scale > minScale {
		h.halve()
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

// fits reports whether the histogram, with bucket i, has at most maxBuckets.
func (h *Histogram) fits(i int) bool {
	if len(h.Buckets) == 0 {
		return true
	}
	return max(i, h.Offset+len(h.Buckets)-1)-min(i, h.Offset) < maxBuckets
}

// halve halves the resolution by merging neighbouring buckets.
func (h *Histogram) halve() {
	h.Scale--
	from := h.Offset >> 1
	merged := make([]uint64, (h.Offset+len(h.Buckets)-1)>>1-from+1)
	for i, n := range h.Buckets {
		merged[(h.Offset+i)>>1-from] += n
	}
	h.Offset, h.Buckets = from, merged
}
