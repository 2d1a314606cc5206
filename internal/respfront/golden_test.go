package respfront

import (
	"fmt"
	"strings"
	"testing"

	"elderyard/internal/golden"
)

// The replies that describe the commands and the server. TestCommands has the replies of all commands.
func TestGoldenCommands(t *testing.T) {
	r := newRig(t, Settings{})
	c := r.dial(t)
	var b strings.Builder
	for _, command := range []string{"COMMAND", "COMMAND DOCS", "HELLO 3", "INFO", "LIMIT.STATS", "LIMIT.PLAN " + gold, "LIMIT.PEEK " + free, "LIMIT.TAKE " + free + " 1"} {
		got := c.do(command)[0]
		got = strings.ReplaceAll(got, "\r\n", "\n")
		if strings.HasPrefix(command, "COMMAND") { // one command per line
			got = strings.ReplaceAll(strings.ReplaceAll(got, "] [", "]\n["), "]] ", "]]\n")
		}
		fmt.Fprintf(&b, "=== %s\n%s\n", command, got)
	}
	golden.Text(t, "commands.txt", b.String())
}
