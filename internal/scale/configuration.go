package scale

import (
	"fmt"
	"strings"
)

const (
	fileHead = `
[gateway]
discovery = "127.0.0.1:1"
counter = "127.0.0.1:9"
limits = { cores = 1.0, memory_mb = 64, sockets = 512 }
[rollout]
waves = [1.0]
canaries = %d
most_away = %d
ready_within = "10m"
soak_for = "0s"
silent_after = "5m"
most_silent = 1
deadline = "20m"
rollback_within = "10m"
[gateway.settings]
fleetSize = 1
tickS = 0.002
allowed = { connectTimeoutS = 0.2, keepaliveS = 10.0, mostTries = 3 }
familyInfo = { hasCounter = true, counterTimeoutS = 0.05 }
obligations = { answerSlackS = 0.01 }
classes = [{ name = "lookup", deadlineS = 1.0, objectiveS = 0.4, points = 1.0 }]
packages = [
`
	fileTail  = "]\n"
	fileEntry = `{ name = "tenant-%05d", pays = 1.0, unitsPerS = %7.1f, depth = 20000.0, atOnce = 100.0, overWorth = 0.001 },` + "\n"
)

// WholeFile is a site's file with many entries of some 110 bytes. It goes out to
// all gateways at once and without soak. Another edit changes one entry.
func WholeFile(gateways, entries, edit int) string {
	var b strings.Builder
	fmt.Fprintf(&b, fileHead, gateways, gateways)
	for i := range entries {
		rate := 100.0
		if i == edit%entries {
			rate += float64(edit)
		}
		fmt.Fprintf(&b, fileEntry, i, rate)
	}
	b.WriteString(fileTail)
	return b.String()
}
