package gateway

import (
	"strings"
	"testing"

	"linnetbend/internal/site"
)

// testSettings have no quotas, so that the tests here are about sockets alone.
const testSettings = `{"fleetSize": 2, "rank": 1, "tickS": 0.002, "localities": ["a", "b"], "kinds": ["m"],
	"allowed": {"cancel": true, "mostTries": 4, "connectTimeoutS": 5, "keepaliveS": 15, "retryAfter": true, "maxRetryAfterS": 0.5},
	"obligations": {"answerSlackS": 0.01, "drainGraceS": 2},
	"classes": [
		{"name": "lookup", "objectiveS": 10, "deadlineS": 20, "points": 1, "effect": "repeatable"},
		{"name": "booking", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "by_key", "keyScope": "cell", "windowS": 2},
		{"name": "payment", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "once"},
		{"name": "glance", "objectiveS": 0.2, "deadlineS": 20, "points": 1, "effect": "repeatable"}],
	"packages": [{"name": "basic", "pays": 1}, {"name": "council", "pays": 2}],
	"familyInfo": {"mostUnits": 4}}`

func configText(discovery, settings string) string {
	return `{"name": "n3", "listen": "127.0.0.1:0", "discovery": "` + discovery + `", "seed": "8c1f30d27a5be964",
	"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "counter": "127.0.0.1:1",
	"known": {"generation": 41, "reset": true, "instances": []}, "settings": ` + settings + `}`
}

func TestConfig(t *testing.T) {
	c, err := ParseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.Rank != 1 || c.ClassNames[1] != "booking" || c.PlanNames[1] != "council" ||
		c.KeepAlive != 15 || c.Sockets != 1024 || c.Known.Generation != 41 || c.Zones[1] != "b" {
		t.Errorf("read %+v", c)
	}
	for _, bad := range [][2]string{
		{`{`, ``},
		{`"seed": "8c1f30d27a5be964"`, `"seed": "x"`},
		{`"listen": "127.0.0.1:0"`, `"listen": "127.0.0.1"`},
		{`"discovery": "127.0.0.1:1"`, `"discovery": ""`},
		{`"counter": "127.0.0.1:1"`, `"counter": ""`},
		{`"sockets": 1024`, `"sockets": 10`},
		{`"cores": 1.0`, `"cores": 0`},
		{`"memory_mb": 192`, `"memory_mb": "much"`},
		{`"rank": 1`, `"rank": 2`},
		{`"tickS": 0.002`, `"tickS": 0`},
		{`"keepaliveS": 15`, `"keepaliveS": 0`},
		{`"name": "booking"`, `"name": "lookup"`},
		{`"name": "council"`, `"name": ""`},
		{`"effect": "once"`, `"effect": "twice"`},
		{`"settings"`, `"other"`},
	} {
		withCounter := strings.Replace(testSettings, `"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 0.05`, 1)
		text := configText("127.0.0.1:1", withCounter)
		if !strings.Contains(text, bad[0]) {
			t.Fatalf("%s is not in the configuration", bad[0])
		}
		_, err := ParseConfig([]byte(strings.Replace(text, bad[0], bad[1], 1)))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", bad[1], err)
		}
	}
	if _, err := ReadConfig(t.TempDir() + "/none"); err == nil {
		t.Error("a missing file was read")
	}
}

// Where memory is short it bounds the clients' connections before descriptors
// do, but leaves room for the third of these that requests may take.
func TestMostClients(t *testing.T) {
	for _, c := range []struct{ memory, sockets, want int }{
		{192, 1024, 720}, {192, 256, 144}, {32, 256, 144}, {32, 1024, 341},
	} {
		if got := (&Config{Site: site.Defaults(), MemoryMB: c.memory, Sockets: c.sockets}).mostClients(); got != c.want {
			t.Errorf("%d MB, %d sockets: %d, want %d", c.memory, c.sockets, got, c.want)
		}
	}
}
