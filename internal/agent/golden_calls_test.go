package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/golden"
	"elderyard/internal/pki"
	"elderyard/revisions"
)

// goldenAgent returns an agent without a store, processes and a port, which is enough to
// test the HTTP interface.
func goldenAgent(t *testing.T, withRecords bool) *Agent {
	t.Helper()
	dir := t.TempDir()
	log, err := openRefusals(filepath.Join(dir, "refused.log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(log.close)
	a := &Agent{config: Config{Name: "a1", Dir: dir, Plain: true, Records: withRecords}, self: fleet.Agent{Name: "a1", Address: "10.0.0.1:7946", Instances: []string{}},
		log: slog.New(slog.DiscardHandler), refusals: log, checkSlots: make(chan struct{}, maxConcurrentChecks), cachedRevisions: map[uint64]revisions.Revision{}}
	if withRecords {
		a.recordsHandler = a.newRecordsHandler()
	}
	return a
}

// serveTestCall lets an agent handle a call and returns the response.
func serveTestCall(a *Agent, c caller, method, path string, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, nil)
	r = r.WithContext(context.WithValue(r.Context(), callerKey{}, c))
	for key, values := range header {
		r.Header[key] = values
	}
	recorder := httptest.NewRecorder()
	a.routes().ServeHTTP(recorder, r)
	return recorder
}

// The method, path and minimum role of each call must not change, and neither must the
// calls that have a stale response if no leader is known.
func TestGoldenEndpoints(t *testing.T) {
	calls := []string{"POST /v1/report", "GET /v1/status", "GET /v1/revisions", "GET /v1/revisions/1", "GET /v1/members", "GET /v1/audit", "GET /v1/refused",
		"GET /v1/snapshot", "POST /v1/snapshot", "POST /v1/apply", "POST /v1/probe", "POST /v1/probe-here", "POST /v1/pause", "POST /v1/resume", "POST /v1/abort",
		"POST /v1/drain", "POST /v1/undrain", "POST /v1/members/add", "POST /v1/replicas/add", "POST /v1/members/remove", "POST /v1/agents/remove",
		"POST /v1/records/change", "GET /v1/records/get", "GET /v1/records/list", "GET /v1/records/versions", "GET /v1/records/diff", "GET /v1/records/lag",
		"GET /v1/records/changes", "GET /v1/records/ranges", "GET /v1/records/ranges/content",
		// Unknown methods and paths.
		"GET /v1/apply", "POST /v1/status", "DELETE /v1/agents/remove", "GET /v1", "GET /", "GET /v1/records/mood", "POST /v1/records/list"}
	for name, a := range map[string]*Agent{"endpoints.txt": goldenAgent(t, true), "endpoints-without-records.txt": goldenAgent(t, false)} {
		// No call is served that is missing in the list.
		served := slices.AppendSeq(slices.Collect(maps.Keys(a.endpoints())), maps.Keys(a.followerHandlers()))
		for _, pattern := range served {
			if served := strings.Replace(pattern, "{n}", "1", 1); !slices.Contains(calls, served) {
				t.Errorf("%s is served but missing in the list of calls", pattern)
			}
		}
		var lines bytes.Buffer
		for _, line := range calls {
			method, path, _ := strings.Cut(line, " ")
			fmt.Fprintf(&lines, "%s:", line)
			for _, role := range append([]pki.Role{""}, pki.Roles()...) {
				fmt.Fprintf(&lines, " %s %d", cmp.Or(string(role), "nobody"), serveTestCall(a, caller{"x", role}, method, path, nil).Code)
			}
			fmt.Fprintln(&lines)
		}
		golden.File(t, name, lines.Bytes())
	}
}

// The responses that the interface itself generates must not change, and neither must the
// effect of the headers between agents.
func TestGoldenRefusals(t *testing.T) {
	on, off := goldenAgent(t, true), goldenAgent(t, false)
	var lines bytes.Buffer
	for _, test := range []struct {
		name   string
		a      *Agent
		role   pki.Role
		call   string
		header http.Header
	}{
		{"role too low", on, pki.Viewer, "POST /v1/pause", nil},
		{"agent speaks for a viewer", on, pki.Agent, "POST /v1/pause", http.Header{"X-Elderyard-For": {"vic;viewer"}}},
		{"agent speaks for an operator", on, pki.Agent, "POST /v1/pause", http.Header{"X-Elderyard-For": {"ann;operator"}}},
		{"agent speaks for an unknown role", on, pki.Agent, "POST /v1/pause", http.Header{"X-Elderyard-For": {"ann;king"}}},
		{"operator can't speak for an agent", on, pki.Operator, "POST /v1/report", http.Header{"X-Elderyard-For": {"a2;agent"}}},
		{"no leader is known", on, pki.Operator, "POST /v1/pause", nil},
		{"first hop to one that is no voter", on, pki.Operator, "POST /v1/pause", http.Header{"X-Elderyard-Hop": {"0"}}},
		{"second hop", on, pki.Operator, "POST /v1/pause", http.Header{"X-Elderyard-Hop": {"1"}}},
		{"stale revisions", on, pki.Viewer, "GET /v1/revisions", nil},
		{"stale members", on, pki.Viewer, "GET /v1/members", nil},
		{"stale audit", on, pki.Viewer, "GET /v1/audit", nil},
		{"stale records", on, pki.Viewer, "GET /v1/records/lag", nil},
		{"no such call", on, pki.Viewer, "GET /v1/mood", nil},
		{"records are off", off, pki.Viewer, "GET /v1/records/lag", nil},
		{"follower asks one that is no voter", on, pki.Agent, "GET /v1/records/changes", nil},
		{"viewer asks as a follower", on, pki.Viewer, "GET /v1/records/changes", nil},
	} {
		method, path, _ := strings.Cut(test.call, " ")
		got := serveTestCall(test.a, caller{"x", test.role}, method, path, test.header)
		fmt.Fprintf(&lines, "%s: %d %s", test.name, got.Code, got.Body)
	}
	golden.File(t, "refusals.txt", lines.Bytes())
}

// The status that an agent reports of itself without a leader must keep its format.
func TestGoldenStaleStatus(t *testing.T) {
	got := serveTestCall(goldenAgent(t, true), caller{"x", pki.Viewer}, http.MethodGet, "/v1/status", nil)
	var s agentapi.Status
	if err := json.Unmarshal(got.Body.Bytes(), &s); err != nil || time.Since(s.At) > time.Hour {
		t.Fatalf("%v %+v", err, s)
	}
	s.At = goldenTime
	checkAnswerOf(t, "status-stale.json", s)
}

// recordedCall formats an HTTP request as the server received it.
func recordedCall(r *http.Request) string {
	body, _ := io.ReadAll(r.Body)
	text := fmt.Sprintf("%s %s %s", r.Method, r.RequestURI, body)
	for _, key := range []string{"Content-Type", "X-Elderyard-Hop", "X-Elderyard-For"} {
		if value := r.Header.Get(key); value != "" {
			text += fmt.Sprintf(" %s=%s", key, value)
		}
	}
	return text
}

// The calls between agents must not change, and neither must their headers for the hop count
// and the original caller.
func TestGoldenPeerCalls(t *testing.T) {
	var lines bytes.Buffer
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(&lines, recordedCall(r))
		io.WriteString(w, "{}")
	}))
	defer server.Close()
	address := server.Listener.Addr().String()
	a := goldenAgent(t, false)
	a.config.Voters, a.peerClient = []string{address}, http.DefaultClient
	send := func(c caller, method, path string, hop string) {
		t.Helper()
		header := http.Header{}
		if hop != "" {
			header.Set("X-Elderyard-Hop", hop)
		}
		if got := serveTestCall(a, c, method, path, header); got.Code != http.StatusOK || got.Body.String() != "{}" {
			t.Errorf("%s %s: %d %s", method, path, got.Code, got.Body)
		}
	}
	send(caller{"ann", pki.Operator}, http.MethodPost, "/v1/pause", "")
	send(caller{"vic", pki.Viewer}, http.MethodGet, "/v1/status?x=1", "")
	if _, err := a.sendReport(t.Context()); err != nil {
		t.Error(err)
	}
	a.leaderAddress = address // a call to the known leader must not be forwarded again
	send(caller{"ann", pki.Operator}, http.MethodPost, "/v1/pause", "")
	if _, err := a.sendReport(t.Context()); err != nil {
		t.Error(err)
	}
	golden.File(t, "peer-calls.txt", lines.Bytes())
}

// A raft stream must begin with a byte that no HTTP request begins with.
func TestGoldenStreamByte(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	outgoing, err := raftStreams{port: &port{}}.Dial(raft.ServerAddress(listener.Addr().String()), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer outgoing.Close()
	incoming, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer incoming.Close()
	first := []byte{0xff}
	if _, err := incoming.Read(first); err != nil || first[0] != 0 {
		t.Errorf("the first byte is %d, %v", first[0], err)
	}
}
