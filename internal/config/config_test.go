package config

import (
	"strings"
	"testing"

	"elderyard/internal/testpeer"
)

func TestConfig(t *testing.T) {
	c, err := Parse([]byte(testpeer.ConfigText("127.0.0.1:1", testpeer.Settings)))
	if err != nil {
		t.Fatal(err)
	}
	if c.Seed != 0x8c1f30d27a5be964 || c.Rank != 1 || c.ClassNames[1] != "booking" || c.PlanNames[1] != "council" ||
		c.KeepaliveTimeout != 15 || c.Sockets != 1024 || c.InitialBackends.Generation != 41 || c.Zones[1] != "b" {
		t.Errorf("parsed %+v", c)
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
		withCounter := strings.Replace(testpeer.Settings, `"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 0.05`, 1)
		text := testpeer.ConfigText("127.0.0.1:1", withCounter)
		if !strings.Contains(text, bad[0]) {
			t.Fatalf("%s is not in the configuration", bad[0])
		}
		_, err := Parse([]byte(strings.Replace(text, bad[0], bad[1], 1)))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s instead of %s: error %v, want one line", bad[1], bad[0], err)
		}
	}
	if _, err := Read(t.TempDir() + "/none"); err == nil {
		t.Error("a missing file was read without an error")
	}
}
