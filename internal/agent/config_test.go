package agent

import (
	"strings"
	"testing"
)

func TestConfigStrict(t *testing.T) {
	valid := "name = 'a1'\ndir = 'd'\nvoter = true\nlisten = '127.0.0.1:7946'\nplain = true\n[[instance]]\nname = 'g1'\nlisten = ':8081'\n[[instance]]\nname = 'g0'\nlisten = ':8080'\n"
	c, err := parseConfig("/etc/agent.toml", []byte(valid))
	if err != nil || c.Dir != "/etc/d" || c.Socket != "/etc/d/agent.sock" || c.Advertise != c.Listen || c.Instances[0].Name != "g0" {
		t.Fatalf("%v %+v", err, c)
	}
	for _, change := range [][3]string{
		{"name = 'a1'", "name = '../x'", "f:1: name: agent"},
		{"dir = 'd'", "dri = 'd'", `f:2: dri: there is no such key; did you mean "dir"?`},
		{"dir = 'd'", "", "f: dir: is missing"},
		{"voter = true", "voter = false", "f: voters: an agent that is no voter needs the address of one"},
		{"127.0.0.1:7946", "0.0.0.0:7946", "f:5: plain: without TLS the agent listens on a loopback address only"},
		{"127.0.0.1:7946", "localhost:7946", "f:5: plain: without TLS"},
		{"127.0.0.1:7946", "127.0.0.1", `f:4: listen: "127.0.0.1" is not an address with a port`},
		{"plain = true", "", "ca, cert and key are needed"},
		{"plain = true", "plain = true\nvoters = ['x']", `f:6: voters: number 1, "x", is not an address`},
		{"plain = true", "plain = true\nservice_from = 'ftp://x'", `f:6: service_from: "ftp://x" is no URL`},
		{"':8081'", "':8080'", "instance[1]: g0 or :8080 stands twice"},
		{"'g1'", "'g0'", "stands twice"},
		{"':8081'", "':8081'\nenv = ['x']", `f:9: instance[0].env: "x" is not KEY=VALUE`},
		{"plain = true\n[[instance]]\nname = 'g1'", "plain = true\nroster = true\n[[instance]]\nname = '" + strings.Repeat("g", 65) + "'", "f:8: instance[0].name: with roster"},
		{"plain = true", "plain = true\n[timing]\nreport = '-1s'", "f:6: timing: report"},
		{"plain = true", "plain = true\n[timing]\nreport = 'soon'", "is not a time"},
		{"plain = true", "plain = true\n[timing]\nmost_pause = '1ms'", "f:6: timing: supervise"},
	} {
		if _, err := parseConfig("f", []byte(strings.Replace(valid, change[0], change[1], 1))); err == nil || !strings.Contains(err.Error(), change[2]) {
			t.Errorf("%s: %v, want %s", change[1], err, change[2])
		}
	}
}

func TestEveryKeyIsDocumented(t *testing.T) {
	for _, k := range Keys() {
		if k[1] == "" {
			t.Errorf("%s has no description", k[0])
		}
	}
}

func FuzzConfig(f *testing.F) {
	f.Add("name = 'a1'\ndir = 'd'\nvoter = true\n[[instance]]\nname='g'\nlisten=':1'")
	f.Fuzz(func(t *testing.T, text string) {
		if c, err := parseConfig("f", []byte(text)); err == nil && (c.Name == "" || c.Dir == "" || c.Timing.Report <= 0) {
			t.Fatalf("%+v", c)
		}
	})
}
