package capacity

import (
	"fmt"
	"math"
	"strings"
)

// byteUnits lists the larger units of bytes with the number of bytes from which each is used and its size.
var byteUnits = []struct {
	threshold, size float64
	name            string
}{{1e9, 1e9, "GB"}, {1e6, 1e6, "MB"}, {1e4, 1e3, "kB"}}

// formatWithUnit formats a value with its unit. Large numbers of bytes are scaled to a larger unit.
func formatWithUnit(v float64, unit string) string {
	if unit == "B" || unit == "B/s" {
		for _, larger := range byteUnits {
			if v >= larger.threshold {
				v /= larger.size
				unit = larger.name + strings.TrimPrefix(unit, "B")
				break
			}
		}
	}
	switch unit {
	case "", "1":
		return formatNumber(v)
	case "1/s":
		return formatNumber(v) + "/s"
	}
	return formatNumber(v) + " " + unit
}

// formatNumber formats a value with three significant digits, or as an integer with thousands separators from
// 1000 on. Only values below 0.001 get an exponent.
func formatNumber(v float64) string {
	magnitude := math.Abs(v)
	switch {
	case v == 0:
		return "0"
	case magnitude >= 1000:
		return groupThousands(math.Round(v))
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", v)
	case magnitude < 0.001:
		return fmt.Sprintf("%.2e", v)
	}
	return fmt.Sprintf("%.3g", v)
}

// groupThousands formats a whole number with thousands separators.
func groupThousands(v float64) string {
	text := fmt.Sprintf("%.0f", math.Abs(v))
	for i := len(text) - 3; i > 0; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	if v < 0 {
		return "-" + text
	}
	return text
}
