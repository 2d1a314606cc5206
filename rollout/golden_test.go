package rollout

import (
	"testing"

	"elderyard/internal/golden"
)

// TestGoldenTexts: states stand in the voters' log and snapshots, states and phases in
// the answers of the agents' interface.
func TestGoldenTexts(t *testing.T) {
	golden.Constants(t, map[string]string{
		string(Idle):        "idle",
		string(Advancing):   "advancing",
		string(Paused):      "paused",
		string(RollingBack): "rolling back",
		string(Applied):     "applied",
		string(Partly):      "applied, some missing",
		string(RolledBack):  "rolled back",
		string(BackPartly):  "rolled back, some missing",

		string(Waiting): "waiting",
		string(Taking):  "taking",
		string(Soaking): "being watched",
		string(Took):    "took it",
		string(Refused): "refused it",
		string(Broke):   "broke",
		string(Silent):  "silent",
		string(Back):    "going back",
		string(Was):     "went back",
	})
}
