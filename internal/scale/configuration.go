package scale

import (
	"fmt"
	"strings"
)

const (
	siteFileHeader = `
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
	siteFileFooter     = "]\n"
	packageEntryFormat = `{ name = "tenant-%05d", pays = 1.0, unitsPerS = %7.1f, depth = 20000.0, atOnce = 100.0, overWorth = 0.001 },` + "\n"
)

// SiteFile returns the configuration file of a site with the given number of package entries of some 110 bytes
// each. Its rollout covers all gateways in one wave and has no soak time. Another edit number changes one entry.
func SiteFile(gateways, entries, edit int) string {
	var file strings.Builder
	fmt.Fprintf(&file, siteFileHeader, gateways, gateways)
	for i := range entries {
		rate := 100.0
		if i == edit%entries {
			rate += float64(edit)
		}
		fmt.Fprintf(&file, packageEntryFormat, i, rate)
	}
	file.WriteString(siteFileFooter)
	return file.String()
}
