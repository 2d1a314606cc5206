// Package output extracts the cause of a failure from the output of a process.
package output

import "strings"

// FailureLine returns the line that describes the failure: the first line of a Go crash, else the last line, "" if
// there is no output.
func FailureLine(text string) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	// The cause of a Go crash is at its start, before the stack traces.
	for _, line := range lines {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			return line
		}
	}
	return lines[len(lines)-1]
}
