package rig

import "fmt"

// Settings returns the settings of a small deployment, with the figures of the operators' pages. The classes are JSON.
func Settings(fleet, rank int, classes string) string {
	return fmt.Sprintf(`{"fleetSize": %d, "rank": %d, "tickS": 0.002, "tier": 0,
	"localities": ["block-a", "block-b"], "locality": 0, "kinds": ["std-2core"], "discovery": "push", "weights": "rough",
	"allowed": {"cancel": true, "connectTimeoutS": 0.25, "keepaliveS": 15.0, "maxRetryAfterS": 0.5, "mayDuplicate": true, "mostTries": 4,
		"retryAfter": true, "peers": false, "probes": false, "maxOpen": 20000, "multiplex": 1},
	"familyInfo": {"hasCounter": true, "counterTimeoutS": 0.05, "counterPrice": 0.02, "mostUnits": 1, "truedUp": false, "usePeriodS": 0.0},
	"loadReport": {"how": "inline", "fields": ["busy_reqs", "pending"]},
	"obligations": {"answerSlackS": 0.008, "askEveryS": 10.0, "coldFrom": 0.15, "coldS": 17.0, "drainGraceS": 2.0, "fallMultiple": 2.0, "overloadForS": 2.0},
	"prices": {"crossZone": 0.005, "waste": 0.08, "lateFail": 0.03},
	"classes": [%s],
	"packages": [
		{"name": "basic", "unitsPerS": 0.81, "depth": 4.0, "pays": 0.45, "beyondCosts": 1.2},
		{"name": "enterprise", "unitsPerS": 14.0, "depth": 17.0, "pays": 1.6, "beyondCosts": 0.5}]}`, fleet, rank, classes)
}

// Classes are the request classes of the deployment.
const Classes = `{"name": "lookup", "objectiveS": 0.8, "deadlineS": 2.0, "points": 1.0, "lateWorth": 0.0, "effect": "repeatable"},
	{"name": "booking", "objectiveS": 1.0, "deadlineS": 3.0, "points": 3.0, "lateWorth": 0.0, "effect": "by_key", "keyScope": "cell", "windowS": 2.0}`
