package peers

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"elderyard/internal/golden"
	"elderyard/internal/site"
	"elderyard/internal/strict"
	"elderyard/members"
)

// The key file and the roster file of operators keep their formats.
func TestGoldenOperatorsFiles(t *testing.T) {
	keys, err := readKeys(filepath.Join("testdata", "keys"))
	if err != nil || len(keys) != 3 || string(keys[0]) != strings.Repeat("b", 32) || string(keys[1]) != strings.Repeat("a", 24) || string(keys[2]) != strings.Repeat("c", 16) {
		t.Errorf("keys: %q, %v", keys, err)
	}
	r, err := readRoster(filepath.Join("testdata", "roster.toml"))
	if err != nil || !reflect.DeepEqual(r, goldenRoster()) {
		t.Errorf("roster: %+v, %v", r, err)
	}
}

// Each key of [peers] sets its field, and the roster file of the environment takes precedence over that of [peers].
func TestGoldenSettings(t *testing.T) {
	config := site.Peers{Listen: "127.0.0.2:7000", Advertise: "127.0.0.3:7000", Site: "north", KeyFile: "keys", Roster: "roster.toml", Dir: "dir",
		Seeds: []string{"g1"}, Every: strict.Duration(time.Second), MostKB: 3, Reach: []site.PeerReach{{Name: "g1", Address: "127.0.0.4:7000"}}}
	golden.EveryField(t, config)
	want := Settings{Self: "g0", Site: "north", Listen: "127.0.0.2:7000", Advertise: "127.0.0.3:7000", AdminAddress: "127.0.0.2:8000", Dir: "dir", KeyFile: "keys",
		RosterFile: "roster.toml", Seeds: []string{"g1"}, AddressOverrides: map[string]string{"g1": "127.0.0.4:7000"}, ProbeInterval: time.Second, MaxBytesPerSecond: 3072}
	env := map[string]string{}
	read := func() *Settings {
		t.Helper()
		s, err := FromSite(config, "g0", "127.0.0.2:8000", func(name string) string { return env[name] }, nil)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	if got := read(); !reflect.DeepEqual(*got, want) {
		t.Errorf("%+v, want %+v", *got, want)
	}
	env["ELDERYARD_ROSTER"] = "agent.toml"
	if got := read(); got.RosterFile != "agent.toml" {
		t.Errorf("roster %q", got.RosterFile)
	}
	machine := members.Settings{Self: "g0", Incarnation: 9, TickInterval: 250 * time.Millisecond, StallThreshold: 1500 * time.Millisecond, MinSettleTime: 2 * time.Second,
		MaxSettleTime: time.Minute, SilenceTimeout: 12 * time.Second}
	if got := want.machineSettings(9); got != machine {
		t.Errorf("%+v, want %+v", got, machine)
	}
}
