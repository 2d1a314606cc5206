package testpeer

// Settings is a gateway's settings document as the platform writes it. It has no quotas, so that tests of sockets
// make no calls to a counter.
const Settings = `{"fleetSize": 2, "rank": 1, "tickS": 0.002, "localities": ["a", "b"], "kinds": ["m"],
	"allowed": {"cancel": true, "mostTries": 4, "connectTimeoutS": 5, "keepaliveS": 15, "retryAfter": true, "maxRetryAfterS": 0.5},
	"obligations": {"answerSlackS": 0.01, "drainGraceS": 2},
	"classes": [
		{"name": "lookup", "objectiveS": 10, "deadlineS": 20, "points": 1, "effect": "repeatable"},
		{"name": "booking", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "by_key", "keyScope": "cell", "windowS": 2},
		{"name": "payment", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "once"},
		{"name": "glance", "objectiveS": 0.2, "deadlineS": 20, "points": 1, "effect": "repeatable"}],
	"packages": [{"name": "basic", "pays": 1}, {"name": "council", "pays": 2}],
	"familyInfo": {"mostUnits": 4}}`

// ConfigText returns a complete gateway configuration with this discovery address and settings document.
func ConfigText(discovery, settings string) string {
	return `{"name": "n3", "listen": "127.0.0.1:0", "discovery": "` + discovery + `", "seed": "8c1f30d27a5be964",
	"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "counter": "127.0.0.1:1",
	"known": {"generation": 41, "reset": true, "instances": []}, "settings": ` + settings + `}`
}
