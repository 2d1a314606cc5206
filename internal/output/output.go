// Package output reads what a program said before it ended.
package output

import "strings"

// FailureLine is the line that says why: that of a crash, else the last one; "" for
// nothing.
func FailureLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	// A crash of a Go program begins with the line that matters.
	for _, line := range lines {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return line
		}
	}
	return lines[len(lines)-1]
}
