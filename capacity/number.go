package capacity

import (
	"fmt"
	"math"
	"strings"
)

// byteUnits are the larger units of bytes: from how many bytes each is used, and
// how many it stands for.
var byteUnits = []struct {
	threshold, size float64
	name            string
}{{1e9, 1e9, "GB"}, {1e6, 1e6, "MB"}, {1e4, 1e3, "kB"}}

// formatWithUnit is a figure with its unit; large numbers of bytes get a larger one.
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

// formatNumber is a figure in three digits, without an exponent where a person reads it
// easily.
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

// groupThousands writes a whole number with its thousands apart.
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
