// Package procfs reads what Linux tells of a process under /proc, see proc(5).
package procfs

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Kilobyte is the unit of the memory figures in a status file, in bytes.
const Kilobyte = 1024

// Path returns the path of a file about a process.
func Path(pid int, name string) string { return fmt.Sprintf("/proc/%d/%s", pid, name) }

// Fields returns the numeric values of a file with lines such as "VmRSS: 12 kB".
func Fields(path string) (map[string]int64, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fields := map[string]int64{}
	for line := range strings.Lines(string(content)) {
		name, rest, found := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if !found || len(words) == 0 {
			continue
		}
		if n, err := strconv.ParseInt(words[0], 10, 64); err == nil {
			fields[name] = n
		}
	}
	return fields, nil
}
