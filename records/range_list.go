package records

import (
	"fmt"
	"strconv"
	"strings"
)

// FormatRanges formats ranges in ascending order, such as "0-9,12".
func FormatRanges(ranges []int) string {
	var text strings.Builder
	for i := 0; i < len(ranges); {
		last := i
		for last+1 < len(ranges) && ranges[last+1] == ranges[last]+1 {
			last++
		}
		if i > 0 {
			text.WriteByte(',')
		}
		text.WriteString(strconv.Itoa(ranges[i]))
		if last > i {
			text.WriteByte('-')
			text.WriteString(strconv.Itoa(ranges[last]))
		}
		i = last + 1
	}
	return text.String()
}

// ParseRanges reverses FormatRanges. Anything but one or more existing ranges in ascending order is an error.
func ParseRanges(text string) ([]int, error) {
	var ranges []int
	next := 0
	for item := range strings.SplitSeq(text, ",") {
		firstText, lastText, isSpan := strings.Cut(item, "-")
		if !isSpan {
			lastText = firstText
		}
		first, firstErr := strconv.Atoi(firstText)
		last, lastErr := strconv.Atoi(lastText)
		if firstErr != nil || lastErr != nil {
			return nil, fmt.Errorf("ranges: %.32q: want a number or FIRST-LAST", item)
		}
		if first < next || last < first || last >= RangeCount {
			return nil, fmt.Errorf("ranges: %.32q: want numbers in ascending order from 0 to %d", item, RangeCount-1)
		}
		for index := first; index <= last; index++ {
			ranges = append(ranges, index)
		}
		next = last + 1
	}
	return ranges, nil
}
