package supervise

import (
	"testing"
	"time"

	"elderyard/internal/golden"
)

// The golden files of this package are what an agent keeps on its disk of each process
// and answers about it.

func goldenSpec(revision uint64) Spec {
	return Spec{Revision: revision, Content: "c0ffee", Files: "f11e5", Fixed: "f1bed", Longest: 90 * time.Second}
}

func TestGoldenSpec(t *testing.T) {
	spec := goldenSpec(7)
	golden.Complete(t, spec)
	golden.JSON(t, "spec.json", spec)
}

func TestGoldenStatus(t *testing.T) {
	running, wanted := goldenSpec(7), goldenSpec(8)
	status := Status{State: Pausing, Why: "it ended: exit status 1", Running: &running, Wanted: &wanted, Crashes: 4}
	golden.Complete(t, status)
	golden.JSON(t, "status.json", status)
}

func TestGoldenTexts(t *testing.T) {
	golden.Constants(t, map[string]string{
		string(Nothing): "nothing",
		string(Reload):  "reload",
		string(Restart): "restart",
		string(Start):   "start",
		string(Stop):    "stop",

		string(Down):     "down",
		string(Pausing):  "pausing",
		string(Starting): "starting",
		string(Ready):    "ready",
		string(Leaving):  "leaving",
	})
}
