package rollout

import (
	"testing"

	"elderyard/internal/golden"
)

// TestGoldenTexts pins the values that leave the process: states are stored in the voters' log and snapshots, and
// states and phases are returned by the agents' interface.
func TestGoldenTexts(t *testing.T) {
	golden.Constants(t, map[string]string{
		string(Idle):             "idle",
		string(Advancing):        "advancing",
		string(Paused):           "paused",
		string(RollingBack):      "rolling back",
		string(Applied):          "applied",
		string(PartlyApplied):    "applied, some missing",
		string(RolledBack):       "rolled back",
		string(PartlyRolledBack): "rolled back, some missing",

		string(PhasePending):     "waiting",
		string(PhaseUpdating):    "taking",
		string(PhaseSoaking):     "being watched",
		string(PhaseUpdated):     "took it",
		string(PhaseRejected):    "refused it",
		string(PhaseFailed):      "broke",
		string(PhaseSilent):      "silent",
		string(PhaseRollingBack): "going back",
		string(PhaseRolledBack):  "went back",
	})
}
