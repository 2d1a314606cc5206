package agent

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/golden"
	"elderyard/internal/site"
	"elderyard/internal/strict"
	"elderyard/members"
	"elderyard/revisions"
)

// The cache file of revisions, which a start without a leader reads, must keep its format.
// The revision is fetched from a voter, written, and read by the next start.
func TestGoldenCachedRevisions(t *testing.T) {
	revision := goldenRevision()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI != "/v1/revisions/4" {
			t.Errorf("unexpected request for %s", r.RequestURI)
		}
		writeJSON(w, http.StatusOK, revision)
	}))
	defer server.Close()
	a := goldenAgent(t, false)
	a.config.Voters, a.peerClient = []string{server.Listener.Addr().String()}, http.DefaultClient
	if got, err := a.fetchRevision(t.Context(), agentapi.Order{Revision: 4, Checksum: revision.Checksum}); err != nil || !reflect.DeepEqual(got, revision) {
		t.Fatalf("%+v, %v", got, err)
	}
	path := filepath.Join(a.config.Dir, "revision.json")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "cached-revisions.json", text)
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
	next := goldenAgent(t, false)
	if err := os.WriteFile(filepath.Join(next.config.Dir, "revision.json"), readGolden(t, "cached-revisions.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	next.loadCachedRevisions()
	if want := map[uint64]revisions.Revision{4: revision}; !reflect.DeepEqual(next.cachedRevisions, want) {
		t.Errorf("read %+v, want %+v", next.cachedRevisions, want)
	}
}

// The lines of the log of refused calls must keep their format.
func TestGoldenRefusedLog(t *testing.T) {
	events := []fleet.Event{{At: goldenTime, Who: "vic", What: `POST /v1/apply, which the role "viewer" may not`},
		{At: goldenTime.Add(time.Second), Who: "agent", What: "3 more refusals were not written down"}}
	checkAllSet(t, events)
	path := filepath.Join(t.TempDir(), "refused.log")
	log, err := openRefusals(path)
	if err != nil {
		t.Fatal(err)
	}
	defer log.close()
	for _, e := range events {
		log.write(e)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "refused.log", text)
	if err := os.WriteFile(path+".1", readGolden(t, "refused.log"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := log.list(); err != nil || !reflect.DeepEqual(got, append(events, events...)) {
		t.Errorf("%+v, %v", got, err)
	}
}

// The file from which the gateways read the roster must keep its format.
func TestGoldenRosterFile(t *testing.T) {
	a := goldenAgent(t, false)
	r := &members.Roster{Epoch: 10, Members: []members.Member{{Name: "g0", Since: 2}}}
	checkAllSet(t, *r)
	a.cacheRoster(r)
	text, err := os.ReadFile(filepath.Join(a.config.Dir, "roster.toml"))
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "roster.toml", text)
	if epoch := a.cachedRosterEpoch(); epoch != 10 {
		t.Errorf("read epoch %d, want 10", epoch)
	}
}

// The keys of an agent's configuration file, their documentation and their defaults must
// not change.
func TestGoldenConfigKeys(t *testing.T) {
	var lines bytes.Buffer
	for _, key := range Keys() {
		fmt.Fprintf(&lines, "%s: %s\n", key[0], key[1])
	}
	golden.File(t, "agent-keys.txt", lines.Bytes())
	text, err := toml.Marshal(defaults())
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "agent-defaults.toml", text)
}

// An agent's configuration file with every key set must keep its format.
func TestGoldenConfig(t *testing.T) {
	ms := func(n int) strict.Duration { return strict.Duration(time.Duration(n) * time.Millisecond) }
	config := Config{Name: "a1", Dir: "/d", Listen: "127.0.0.1:7946", Advertise: "127.0.0.1:7947", Socket: "/d/s", Plain: true, Voter: true,
		Voters: []string{"10.0.0.2:7946"}, Roster: true, Records: true, RecordBytes: 7000, Gateway: "/bin/elderyard", ServiceFrom: "http://10.0.0.9/level",
		TLS:    TLS{CA: "/ca.pem", Cert: "/a1.pem", Key: "/a1-key.pem"},
		Timing: Timing{Report: ms(1001), FetchTimeout: ms(1002), Heartbeat: ms(1003), Settle: ms(1004), InitialBackoff: ms(1005), MaxBackoff: ms(1006), BackoffResetAfter: ms(1007), KillMargin: ms(1008)},
		RESP: site.RESP{Listen: "127.0.0.1:6379", Most: 8, Idle: ms(60000), Cert: "/r.pem", Key: "/r-key.pem", CA: "/r-ca.pem", Plan: "gold",
			Account: []site.RESPAccount{{ID: "0000000000000001", Plan: "gold"}},
			User:    []site.RESPUser{{Name: "ann", Password: strings.Repeat("0", 64), Accounts: []string{"*"}, Commands: []string{"*"}}}},
		Instances: []InstanceEntry{{Name: "g0", Listen: "127.0.0.1:8080", Env: []string{"EDGE_OPERATOR=127.0.0.1:9080"}}}}
	checkAllSet(t, config)
	text, err := toml.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "agent.toml", text)
	got, err := parseConfig("agent.toml", readGolden(t, "agent.toml"))
	if err != nil || !reflect.DeepEqual(got, config) {
		t.Errorf("%+v, %v, want %+v", got, err, config)
	}
	if address := got.Instances[0].adminAddress(); address != "127.0.0.1:9080" {
		t.Errorf("the admin address of the instance is %q", address)
	}
}
