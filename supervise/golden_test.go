package supervise

import (
	"testing"
	"time"

	"elderyard/internal/golden"
)

// The golden files of this package pin what an agent stores about each process, and the responses of the agents'
// interface about it.

func goldenSpec(revision uint64) Spec {
	return Spec{Revision: revision, ContentChecksum: "c0ffee", FilesChecksum: "f11e5", StartupChecksum: "f1bed", MaxRequestDuration: 90 * time.Second}
}

func TestGoldenSpec(t *testing.T) {
	spec := goldenSpec(7)
	golden.Complete(t, spec)
	golden.JSON(t, "spec.json", spec)
}

func TestGoldenStatus(t *testing.T) {
	running, desired := goldenSpec(7), goldenSpec(8)
	status := Status{State: BackingOff, Reason: "it ended: exit status 1", Running: &running, Desired: &desired, Crashes: 4}
	golden.Complete(t, status)
	golden.JSON(t, "status.json", status)
}

func TestGoldenTexts(t *testing.T) {
	golden.Constants(t, map[string]string{
		string(StepNone):    "nothing",
		string(StepReload):  "reload",
		string(StepRestart): "restart",
		string(StepStart):   "start",
		string(StepStop):    "stop",

		string(Down):        "down",
		string(BackingOff):  "pausing",
		string(Starting):    "starting",
		string(Ready):       "ready",
		string(Terminating): "leaving",
	})
}
