package agent

import (
	"bytes"
	"cmp"
	"context"
	"encoding"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/pelletier/go-toml/v2"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/leader"
	"elderyard/internal/pki"
	"elderyard/internal/replica"
	"elderyard/internal/site"
	"elderyard/internal/strict"
	"elderyard/members"
	"elderyard/records"
	"elderyard/revisions"
	"elderyard/rollout"
	"elderyard/supervise"
)

// The files in testdata are what the released program stores, sends and answers. They
// are read by agents, voters and tools of other releases, so an existing file is never
// written anew: -update only adds files for forms that have none yet.
var update = flag.Bool("update", false, "write golden files that do not exist yet; an existing one is never written")

func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && *update {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n got %s\nwant %s", path, got, want)
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// unsetFields lists the fields below v that have their zero value.
func unsetFields(v reflect.Value, path string) (unset []string) {
	if _, isText := v.Interface().(encoding.TextMarshaler); isText && v.Kind() != reflect.Pointer {
		if v.IsZero() {
			return []string{path}
		}
		return nil
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return []string{path}
		}
		return unsetFields(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			unset = append(unset, unsetFields(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
	case reflect.Slice:
		if v.Len() == 0 {
			return []string{path}
		}
		for i := range v.Len() {
			unset = append(unset, unsetFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
	case reflect.Map:
		if v.Len() == 0 {
			return []string{path}
		}
		for _, key := range v.MapKeys() {
			unset = append(unset, unsetFields(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key))...)
		}
	default:
		if v.IsZero() {
			return []string{path}
		}
	}
	return unset
}

func checkAllSet(t *testing.T, v any) {
	t.Helper()
	if unset := unsetFields(reflect.ValueOf(v), reflect.TypeOf(v).String()); len(unset) > 0 {
		t.Errorf("fields without a value in the golden form: %v", unset)
	}
}

// checkAnswer compares an answer with every field set with its golden file, as the HTTP
// interface writes it, and what a client reads of that file with the answer.
func checkAnswer[T any](t *testing.T, name string, answer T) {
	t.Helper()
	checkAllSet(t, answer)
	checkAnswerOf(t, name, answer)
}

func checkAnswerOf[T any](t *testing.T, name string, answer T) {
	t.Helper()
	recorder := httptest.NewRecorder()
	writeJSON(recorder, http.StatusOK, answer)
	checkGolden(t, name, recorder.Body.Bytes())
	if got := recorder.Header().Get("Content-Type"); got != "application/json" || recorder.Code != http.StatusOK {
		t.Errorf("%s: %d, %q", name, recorder.Code, got)
	}
	var decoded T
	response := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(readGolden(t, name)))}
	if err := agentapi.ReadResponse(response, &decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, answer) {
		t.Errorf("%s decodes to %+v, want %+v", name, decoded, answer)
	}
}

// checkRequest does the same for a request as the client sends it and an agent reads it.
func checkRequest[T any](t *testing.T, name string, request T) {
	t.Helper()
	checkAllSet(t, request)
	encoded, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, name, encoded)
	var decoded T
	if err := (&call{body: readGolden(t, name)}).read(&decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, request) {
		t.Errorf("%s decodes to %+v, want %+v", name, decoded, request)
	}
}

var goldenTime = time.Date(2026, 3, 4, 5, 6, 7, 800, time.UTC)

func goldenRevision() revisions.Revision {
	r := revisions.Revision{Number: 4, Parent: 3, Author: "ann", Message: "raise <limits>", At: goldenTime,
		Content: revisions.Content{File: "[gateway]\n", Overlays: map[string]string{"g0": "[site]\n"}, RestartGeneration: 2}}
	r.Checksum = r.Content.Sum()
	return r
}

func TestGoldenAnswers(t *testing.T) {
	checkAnswer(t, "status.json", agentapi.Status{Agent: "a1", Leader: "a2", Stale: "no leader is known", At: goldenTime, Head: 5, Wanted: 4,
		Rollout: fleet.Rollout{New: 5, Previous: 4, State: rollout.Advancing, Reason: "wave 2", By: "ann", At: goldenTime}, Wave: 2, Waves: 3,
		Instances: []agentapi.InstanceStatus{{Name: "g0", Agent: "a1", Running: 4, Assigned: 5, State: supervise.Ready, Ready: true, Phase: rollout.PhaseSoaking,
			Why: "it ended", Crashes: 2, PID: 4711, Drained: true, Silent: true, ReportedAt: goldenTime, MembershipView: "3 of 4 there", UnreachableFrom: []string{"g7"}}},
		Store: "the disk is full"})
	checkAnswerOf(t, "status-minimal.json", agentapi.Status{Agent: "a1", Instances: []agentapi.InstanceStatus{{Name: "g0"}}})
	checkAnswer(t, "applied.json", agentapi.ApplyResult{Answer: revisions.Conflict, Revision: goldenRevision(), Why: "the rollout of revision 4 is advancing"})
	checkAnswer(t, "probes.json", []agentapi.Probe{{Agent: "a1", Instance: "g0", Step: supervise.StepRestart, Error: "no such key", Silent: true}})
	checkAnswerOf(t, "probes-minimal.json", []agentapi.Probe{{Agent: "a1"}})
	checkAnswer(t, "revisions.json", agentapi.Revisions{Stale: "no leader is known", Wanted: 4, Revisions: []revisions.Revision{goldenRevision()}})
	checkAnswer(t, "revision.json", goldenRevision())
	checkAnswer(t, "members.json", agentapi.Members{Stale: "no leader is known", Voters: []agentapi.Member{{Name: "a1", Address: "10.0.0.1:7946", Leader: true, NonVoter: true}},
		Agents: []fleet.Agent{{Name: "a1", Address: "10.0.0.1:7946", Instances: []string{"g0"}}}})
	checkAnswerOf(t, "members-minimal.json", agentapi.Members{Voters: []agentapi.Member{{}}, Agents: []fleet.Agent{}})
	checkAnswer(t, "member-change.json", agentapi.MemberChange{Behind: []string{"a3"}})
	checkAnswerOf(t, "member-change-minimal.json", agentapi.MemberChange{})
	checkAnswer(t, "audit.json", agentapi.Audit{Stale: "no leader is known", Changes: []fleet.Event{{At: goldenTime, Who: "ann", What: "drained g0"}},
		Refused: []fleet.Event{{At: goldenTime, Who: "vic", What: "POST /v1/apply, which the role \"viewer\" may not"}}})
	checkAnswer(t, "records-result.json", records.Result{Status: records.Invalid, Version: 7,
		Problem: &records.Problem{Key: "plan/gold", Field: "burst", Reason: "it is negative"}})
	checkAnswerOf(t, "nothing.json", struct{}{})
}

func TestGoldenRequests(t *testing.T) {
	content := goldenRevision().Content
	checkRequest(t, "apply.json", agentapi.ApplyRequest{Request: "r1", Parent: 4, Restore: 3, Content: &content, Message: "why"})
	checkRequest(t, "verb.json", agentapi.ChangeRequest{Name: "g0", Address: "10.0.0.1:7946"})
	checkRequest(t, "probe-content.json", content)

	// Calls of older tools lack the optional keys; an unknown key refuses the call.
	for text, want := range map[string]any{
		`{"request":"r1","parent":0}`: agentapi.ApplyRequest{Request: "r1"},
		`{}`:                          agentapi.ChangeRequest{},
	} {
		got := reflect.New(reflect.TypeOf(want))
		if err := (&call{body: []byte(text)}).read(got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	err := (&call{body: []byte(`{"name":"g0","mood":1}`)}).read(&agentapi.ChangeRequest{})
	var f *agentapi.Failure
	if !errors.As(err, &f) || f.Code != "bad request" || f.Text != `json: unknown field "mood"` {
		t.Errorf("an unknown key: %v", err)
	}
}

// A tool reads what agents of other releases answer: a missing key is a zero value, an
// unknown one is passed over.
func TestAnswersOfOtherReleases(t *testing.T) {
	for text, want := range map[string]any{
		`{"agent":"a1","leader":"a1","at":"2026-03-04T05:06:07.0000008Z","head":1,"wanted":1,"rollout":{"new":1,"before":0,"state":"applied","why":"","by":"ann","at":"2026-03-04T05:06:07.0000008Z"},"wave":1,"waves":1,"instances":[{"name":"g0","agent":"a1","running":1,"told":1,"state":"ready","ready":true,"crashes":0,"heard":"2026-03-04T05:06:07.0000008Z"}]}`: agentapi.Status{Agent: "a1", Leader: "a1", At: goldenTime, Head: 1, Wanted: 1, Wave: 1, Waves: 1, Rollout: fleet.Rollout{New: 1, State: rollout.Applied, By: "ann", At: goldenTime},
			Instances: []agentapi.InstanceStatus{{Name: "g0", Agent: "a1", Running: 1, Assigned: 1, State: supervise.Ready, Ready: true, ReportedAt: goldenTime}}},
		`{"voters":[{"name":"a1","address":"","leader":true}],"agents":[],"mood":{"x":1}}`: agentapi.Members{Voters: []agentapi.Member{{Name: "a1", Leader: true}}, Agents: []fleet.Agent{}},
		`{}`: agentapi.MemberChange{},
	} {
		got := reflect.New(reflect.TypeOf(want))
		response := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}
		if err := agentapi.ReadResponse(response, got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
}

// Each failure has its code, its HTTP status and its body; a client reads the same
// failure of the body.
func TestGoldenFailures(t *testing.T) {
	var lines bytes.Buffer
	for _, one := range []struct {
		name string
		err  error
	}{
		{"bad request", &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: "it is bad"}},
		{"refused", &agentapi.Failure{Code: agentapi.CodeRefused, Text: "it is refused"}},
		{"forbidden", &agentapi.Failure{Code: agentapi.CodeForbidden, Text: "it is forbidden"}},
		{"not found", &agentapi.Failure{Code: agentapi.CodeNotFound, Text: "it is not there"}},
		{"unreachable", &agentapi.Failure{Code: agentapi.CodeUnreachable, Text: "it can't be reached"}},
		{"in doubt", &agentapi.Failure{Code: agentapi.CodeOutcomeUnknown, Text: "it is in doubt"}},
		{"wrapped failure", fmt.Errorf("first: %w", &agentapi.Failure{Code: agentapi.CodeRefused, Text: "it is refused"})},
		{"failure of a later release", &agentapi.Failure{Code: "moody", Text: "it is moody"}},
		{"refused by the site's state", &leader.RejectedError{Reason: "it fits no more"}},
		{"refused by the machine", fmt.Errorf("first: %w", &leader.RejectedError{Reason: "it fits no more"})},
		{"store does not know", fmt.Errorf("first: %w", replica.ErrUnknown)},
		{"time limit", context.DeadlineExceeded},
		{"does not lead", leader.ErrNotLeading},
		{"store has no leader", fmt.Errorf("first: %w", replica.ErrNoLeader)},
		{"anything else", errors.New("the store is closed")},
	} {
		f, status := asFailure(one.err)
		recorder := httptest.NewRecorder()
		writeJSON(recorder, status, f)
		fmt.Fprintf(&lines, "%s: %d %s", one.name, status, recorder.Body)
		var read *agentapi.Failure
		if err := agentapi.ReadResponse(recorder.Result(), &struct{}{}); !errors.As(err, &read) || *read != *f {
			t.Errorf("%s is read as %v", one.name, err)
		}
		fmt.Fprintf(&lines, "    refused %v, bad %v, forbidden %v, in doubt %v\n", read.Refused(), read.BadRequest(), read.Forbidden(), read.OutcomeUnknown())
	}
	for _, one := range []struct {
		status int
		body   string
	}{{http.StatusBadGateway, "<html>"}, {http.StatusConflict, `{"error":"no code"}`}, {http.StatusOK, "<html>"}} {
		recorder := httptest.NewRecorder()
		recorder.WriteHeader(one.status)
		recorder.WriteString(one.body)
		var read *agentapi.Failure
		if err := agentapi.ReadResponse(recorder.Result(), &struct{}{}); !errors.As(err, &read) {
			t.Fatal(err)
		}
		text, _, _ := strings.Cut(read.Text, ":") // what follows is the decoder's
		fmt.Fprintf(&lines, "%d %s: %s: %s\n", one.status, one.body, read.Code, text)
	}
	checkGolden(t, "failures.txt", lines.Bytes())
}

// goldenAgent is an agent without a store, processes or a port: as much as the HTTP
// interface needs to say who may call what.
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

func answerTo(a *Agent, c caller, method, path string, header http.Header) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, nil)
	r = r.WithContext(context.WithValue(r.Context(), callerKey{}, c))
	for key, values := range header {
		r.Header[key] = values
	}
	recorder := httptest.NewRecorder()
	a.routes().ServeHTTP(recorder, r)
	return recorder
}

// Each call has its method, its path, the least role that may make it and, where no
// leader is known, a stale answer or none.
func TestGoldenEndpoints(t *testing.T) {
	calls := []string{"POST /v1/report", "GET /v1/status", "GET /v1/revisions", "GET /v1/revisions/1", "GET /v1/members", "GET /v1/audit", "GET /v1/refused",
		"GET /v1/snapshot", "POST /v1/snapshot", "POST /v1/apply", "POST /v1/probe", "POST /v1/probe-here", "POST /v1/pause", "POST /v1/resume", "POST /v1/abort",
		"POST /v1/drain", "POST /v1/undrain", "POST /v1/members/add", "POST /v1/replicas/add", "POST /v1/members/remove", "POST /v1/agents/remove",
		"POST /v1/records/change", "GET /v1/records/get", "GET /v1/records/list", "GET /v1/records/versions", "GET /v1/records/diff", "GET /v1/records/lag",
		"GET /v1/records/changes", "GET /v1/records/ranges", "GET /v1/records/ranges/content",
		// Not calls: another method, another path.
		"GET /v1/apply", "POST /v1/status", "DELETE /v1/agents/remove", "GET /v1", "GET /", "GET /v1/records/mood", "POST /v1/records/list"}
	for name, a := range map[string]*Agent{"endpoints.txt": goldenAgent(t, true), "endpoints-without-records.txt": goldenAgent(t, false)} {
		var lines bytes.Buffer
		for _, one := range calls {
			method, path, _ := strings.Cut(one, " ")
			fmt.Fprintf(&lines, "%s:", one)
			for _, role := range append([]pki.Role{""}, pki.Roles()...) {
				fmt.Fprintf(&lines, " %s %d", cmp.Or(string(role), "nobody"), answerTo(a, caller{"x", role}, method, path, nil).Code)
			}
			fmt.Fprintln(&lines)
		}
		checkGolden(t, name, lines.Bytes())
	}
}

// The answers of the interface's own, with the headers between agents that change them.
func TestGoldenRefusals(t *testing.T) {
	on, off := goldenAgent(t, true), goldenAgent(t, false)
	var lines bytes.Buffer
	for _, one := range []struct {
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
		method, path, _ := strings.Cut(one.call, " ")
		got := answerTo(one.a, caller{"x", one.role}, method, path, one.header)
		fmt.Fprintf(&lines, "%s: %d %s", one.name, got.Code, got.Body)
	}
	checkGolden(t, "refusals.txt", lines.Bytes())
}

// TestGoldenStaleStatus pins what an agent without a leader tells of itself.
func TestGoldenStaleStatus(t *testing.T) {
	got := answerTo(goldenAgent(t, true), caller{"x", pki.Viewer}, http.MethodGet, "/v1/status", nil)
	var s agentapi.Status
	if err := json.Unmarshal(got.Body.Bytes(), &s); err != nil || time.Since(s.At) > time.Hour {
		t.Fatalf("%v %+v", err, s)
	}
	s.At = goldenTime
	checkAnswerOf(t, "status-stale.json", s)
}

// recordedCall is an HTTP request as a server saw it.
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

// Each method of the client makes one call: its method, path, query and body.
func TestGoldenClientCalls(t *testing.T) {
	var lines bytes.Buffer
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(&lines, recordedCall(r))
		io.WriteString(w, "null")
	}))
	defer server.Close()
	c, err := agentapi.NewClient(agentapi.Target{Address: server.Listener.Addr().String(), Plain: true})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, content := t.Context(), goldenRevision().Content
	verb := agentapi.ChangeRequest{Name: "a3", Address: "10.0.0.3:7946"}
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Error(err)
		}
	}
	call := func(_ any, err error) { t.Helper(); check(err) }
	call(c.Status(ctx))
	call(c.Revisions(ctx))
	call(c.Revision(ctx, 4))
	call(c.Members(ctx))
	call(c.Audit(ctx))
	call(c.Apply(ctx, agentapi.ApplyRequest{Request: "r1", Parent: 4, Content: &content, Message: "why"}))
	call(c.Probe(ctx, content))
	for _, name := range []string{"pause", "resume", "abort", "drain", "undrain", "agents/remove"} {
		check(c.Do(ctx, name, agentapi.ChangeRequest{Name: "g0"}))
	}
	call(c.AddMember(ctx, verb))
	call(c.AddNonVoter(ctx, verb))
	call(c.RemoveMember(ctx, agentapi.ChangeRequest{Name: "a3"}))
	call(c.Snapshot(ctx))
	check(c.Restore(ctx, []byte(`{"form":1}`)))
	call(c.ChangeRecords(ctx, agentapi.RecordsChange{Request: "r1", Message: "why"}))
	call(c.Record(ctx, records.Key{Kind: records.Plan, Name: "gold"}))
	call(c.RecordsOf(ctx, records.Tenant, "ac", 10))
	call(c.RecordsVersions(ctx, 3))
	call(c.RecordsDiff(ctx, 5, 7))
	call(c.RecordsLag(ctx))
	checkGolden(t, "client-calls.txt", lines.Bytes())
}

// The calls between agents, with the headers that say how far and for whom.
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
		if got := answerTo(a, c, method, path, header); got.Code != http.StatusOK || got.Body.String() != "{}" {
			t.Errorf("%s %s: %d %s", method, path, got.Code, got.Body)
		}
	}
	send(caller{"ann", pki.Operator}, http.MethodPost, "/v1/pause", "")
	send(caller{"vic", pki.Viewer}, http.MethodGet, "/v1/status?x=1", "")
	if _, err := a.reportOnce(t.Context()); err != nil {
		t.Error(err)
	}
	a.leaderAddress = address // one that is known to lead may not forward the call
	send(caller{"ann", pki.Operator}, http.MethodPost, "/v1/pause", "")
	if _, err := a.reportOnce(t.Context()); err != nil {
		t.Error(err)
	}
	checkGolden(t, "peer-calls.txt", lines.Bytes())
}

// TestGoldenCachedRevisions pins the file of the revisions that a start without a leader
// goes by: fetched from a voter, written, and read by the next start.
func TestGoldenCachedRevisions(t *testing.T) {
	revision := goldenRevision()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.RequestURI != "/v1/revisions/4" {
			t.Errorf("%s is asked for", r.RequestURI)
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
	checkGolden(t, "cached-revisions.json", text)
	if info, err := os.Stat(path); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("%v, %v", info.Mode(), err)
	}
	next := goldenAgent(t, false)
	if err := os.WriteFile(filepath.Join(next.config.Dir, "revision.json"), readGolden(t, "cached-revisions.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	next.loadCachedRevisions()
	if want := map[uint64]revisions.Revision{4: revision}; !reflect.DeepEqual(next.cachedRevisions, want) {
		t.Errorf("%+v is read, want %+v", next.cachedRevisions, want)
	}
}

// TestGoldenRefusedLog pins the lines of the log of refused calls.
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
	checkGolden(t, "refused.log", text)
	if err := os.WriteFile(path+".1", readGolden(t, "refused.log"), 0o600); err != nil {
		t.Fatal(err)
	}
	if got, err := log.list(); err != nil || !reflect.DeepEqual(got, append(events, events...)) {
		t.Errorf("%+v, %v", got, err)
	}
}

// TestGoldenRosterFile pins the file by which an agent hands the roster to its gateways.
func TestGoldenRosterFile(t *testing.T) {
	a := goldenAgent(t, false)
	r := &members.Roster{Epoch: 10, Members: []members.Member{{Name: "g0", Since: 2}}}
	checkAllSet(t, *r)
	a.cacheRoster(r)
	text, err := os.ReadFile(filepath.Join(a.config.Dir, "roster.toml"))
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "roster.toml", text)
	if epoch := a.cachedRosterEpoch(); epoch != 10 {
		t.Errorf("epoch %d is read", epoch)
	}
}

// TestGoldenConfigKeys pins the keys of an agent's file with their documentation, and
// their defaults.
func TestGoldenConfigKeys(t *testing.T) {
	var lines bytes.Buffer
	for _, key := range Keys() {
		fmt.Fprintf(&lines, "%s: %s\n", key[0], key[1])
	}
	checkGolden(t, "agent-keys.txt", lines.Bytes())
	text, err := toml.Marshal(defaults())
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "agent-defaults.toml", text)
}

// TestGoldenConfig pins an agent's file with every key set.
func TestGoldenConfig(t *testing.T) {
	d := func(n int) strict.Duration { return strict.Duration(time.Duration(n) * time.Millisecond) }
	config := Config{Name: "a1", Dir: "/d", Listen: "127.0.0.1:7946", Advertise: "127.0.0.1:7947", Socket: "/d/s", Plain: true, Voter: true,
		Voters: []string{"10.0.0.2:7946"}, Roster: true, Records: true, RecordBytes: 7000, Gateway: "/bin/elderyard", ServiceFrom: "http://10.0.0.9/level",
		TLS:    TLS{CA: "/ca.pem", Cert: "/a1.pem", Key: "/a1-key.pem"},
		Timing: Timing{Report: d(1001), FetchTimeout: d(1002), Heartbeat: d(1003), Settle: d(1004), InitialBackoff: d(1005), MaxBackoff: d(1006), BackoffResetAfter: d(1007), KillMargin: d(1008)},
		RESP: site.RESP{Listen: "127.0.0.1:6379", Most: 8, Idle: d(60000), Cert: "/r.pem", Key: "/r-key.pem", CA: "/r-ca.pem", Plan: "gold",
			Account: []site.RESPAccount{{ID: "0000000000000001", Plan: "gold"}},
			User:    []site.RESPUser{{Name: "ann", Password: strings.Repeat("0", 64), Accounts: []string{"*"}, Commands: []string{"*"}}}},
		Instances: []InstanceEntry{{Name: "g0", Listen: "127.0.0.1:8080", Env: []string{"EDGE_OPERATOR=127.0.0.1:9080"}}}}
	checkAllSet(t, config)
	text, err := toml.Marshal(config)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "agent.toml", text)
	got, err := parseConfig("agent.toml", readGolden(t, "agent.toml"))
	if err != nil || !reflect.DeepEqual(got, config) {
		t.Errorf("%+v, %v, want %+v", got, err, config)
	}
	if at := got.Instances[0].adminAddress(); at != "127.0.0.1:9080" {
		t.Errorf("the instance's operators call %q", at)
	}
}

// A stream between voters begins with a byte that no HTTP request begins with.
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
