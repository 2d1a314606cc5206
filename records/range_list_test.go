package records

import (
	"slices"
	"testing"
)

// Each list of ranges has exactly one text, and other texts are rejected.
func TestRangesText(t *testing.T) {
	for text, want := range map[string][]int{
		"0":          {0},
		"1023":       {1023},
		"0-2,5,7-8":  {0, 1, 2, 5, 7, 8},
		"1020-1023":  {1020, 1021, 1022, 1023},
		"3,1000-100": nil,
		"5,5":        nil,
		"5-7,7":      nil,
		"1024":       nil,
		"-1":         nil,
		"":           nil,
		"1,":         nil,
		"a":          nil,
		"1-2-3":      nil,
	} {
		ranges, err := ParseRanges(text)
		if (err != nil) != (want == nil) || !slices.Equal(ranges, want) {
			t.Errorf("%q: %v, %v; want %v", text, ranges, err, want)
		}
		if err == nil && FormatRanges(ranges) != text {
			t.Errorf("%q: formatted as %q", text, FormatRanges(ranges))
		}
	}
}
