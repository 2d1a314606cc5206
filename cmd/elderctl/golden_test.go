package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"elderyard/internal/agent"
	"elderyard/internal/agentapi"
	"elderyard/internal/golden"
	"elderyard/internal/lab"
	"elderyard/internal/lab/audit"
	"elderyard/internal/lab/load"
	"elderyard/internal/peers"
	"elderyard/records"
	"elderyard/revisions"
)

// The golden files in testdata/golden hold the tool's interface: verbs, flags, exit statuses, printed texts, --json
// and what is sent to an agent. The agent's and the gateways' answers are the files in testdata/answers.

// reply is one answer of a fake server. A body that begins with @ names a file of testdata/answers.
type reply struct {
	status int
	body   string
}

func (r reply) text(t *testing.T) []byte {
	t.Helper()
	name, isFile := strings.CutPrefix(r.body, "@")
	if !isFile {
		return []byte(r.body)
	}
	text, err := os.ReadFile(filepath.Join("testdata", "answers", name))
	if err != nil {
		t.Error(err)
	}
	return text
}

// fakeServer answers calls, by method and URI, from lists of replies, of which the last is repeated, and records what
// it was sent.
type fakeServer struct {
	t       *testing.T
	address string // of its listener

	mu      sync.Mutex
	replies map[string][]reply
	calls   []string
	count   int
}

func newFakeServer(t *testing.T, l net.Listener) *fakeServer {
	t.Helper()
	s := &fakeServer{t: t, address: l.Addr().String()}
	server := &http.Server{Handler: s}
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(l) // ends with the server
	}()
	t.Cleanup(func() { server.Close(); <-served })
	return s
}

// fakeAgent is a server on a local socket.
func fakeAgent(t *testing.T) *fakeServer {
	t.Helper()
	dir, err := os.MkdirTemp("", "golden") // short: a socket's path is bounded
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	l, err := net.Listen("unix", filepath.Join(dir, "agent.sock"))
	if err != nil {
		t.Fatal(err)
	}
	return newFakeServer(t, l)
}

// fakeGateway is a server on a loopback address.
func fakeGateway(t *testing.T, replies map[string][]reply) *fakeServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newFakeServer(t, l)
	s.prepare(replies)
	return s
}

func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.t.Error(err)
	}
	call := r.Method + " " + r.URL.RequestURI()
	s.mu.Lock()
	line := call
	if len(body) > 0 {
		line += " " + string(body)
	}
	if !slices.Contains(s.calls, line) { // a state that is polled for is listed once
		s.calls = append(s.calls, line)
	}
	s.count++
	list := s.replies[call]
	answer := reply{http.StatusNotFound, `{"code":"not found","error":"no answer was prepared for ` + call + `"}`}
	if len(list) > 0 {
		answer = list[0]
	}
	if len(list) > 1 {
		s.replies[call] = list[1:]
	}
	s.mu.Unlock()
	w.WriteHeader(answer.status)
	w.Write(answer.text(s.t))
}

// prepare sets the replies of the next runs and forgets the calls of the last.
func (s *fakeServer) prepare(replies map[string][]reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replies, s.calls, s.count = replies, nil, 0
}

func (s *fakeServer) forgetCalls() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls, s.count = nil, 0
}

// waitForCalls waits until so many calls have come.
func (s *fakeServer) waitForCalls(count int) {
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		s.mu.Lock()
		came := s.count
		s.mu.Unlock()
		if came >= count {
			return
		}
		if time.Now().After(end) {
			s.t.Errorf("%d calls of %d", came, count)
			return
		}
	}
}

func (s *fakeServer) sent() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// session runs the tool and writes down the command, what it sent, its exit status and all that it printed.
type session struct {
	t       *testing.T
	agent   *fakeServer
	written strings.Builder

	// What differs from run to run, and its placeholder.
	hide     [][2]string
	patterns []pattern
}

type pattern struct {
	what *regexp.Regexp
	with string
}

func newSession(t *testing.T) *session {
	t.Helper()
	s := &session{t: t, agent: fakeAgent(t)}
	s.hide = append(s.hide, [2]string{filepath.Dir(s.agent.address), "DIR"})
	s.patterns = []pattern{{requestID, `"request":"REQUEST"`}, {tempFile, "/TEMPORARY"}}
	return s
}

var (
	elapsedTime = regexp.MustCompile(`(?m)^ *\d+\.\ds  `)        // since a rollout's start
	requestID   = regexp.MustCompile(`"request":"[0-9a-f]{32}"`) // drawn for each change
	clockTime   = regexp.MustCompile(`(?m)^\d\d:\d\d:\d\d  `)    // of a line of peers watch
	watchTime   = regexp.MustCompile(`(?m)^(  "at": ")[^"]*"`)   // the same as JSON
	tempFile    = regexp.MustCompile(`/\.next-\d+`)              // of a file that is written whole
)

func (s *session) run(about string, args ...string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), testTimeout)
	defer cancel()
	s.finish(about, s.command(ctx, args...), nil)
}

// command is the tool with the fake agent and in a fixed time zone.
func (s *session) command(ctx context.Context, args ...string) *exec.Cmd {
	cmd := command(ctx, args...)
	cmd.Env = append(cmd.Env, "TZ=UTC", "ELDERCTL_AGENT="+s.agent.address, "ELDERCTL_CA=", "ELDERCTL_CERT=", "ELDERCTL_KEY=", "ELDERCTL_PEERS=",
		"GORACE=atexit_sleep_ms=0") // else each command of a test with the race detector sleeps for a second
	return cmd
}

// finish runs a command and writes it down. During, if set, is called while it runs.
func (s *session) finish(about string, cmd *exec.Cmd, during func(*exec.Cmd)) {
	s.t.Helper()
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	if during != nil {
		during(cmd)
	}
	cmd.Wait() // its status is written down
	fmt.Fprintf(&s.written, "=== %s\n$ elderctl %s\n", about, s.normal(strings.Join(cmd.Args[1:], " ")))
	for _, call := range s.agent.sent() {
		fmt.Fprintf(&s.written, "sent %s\n", s.normal(call))
	}
	fmt.Fprintf(&s.written, "status %d\n", cmd.ProcessState.ExitCode())
	for _, part := range []struct{ name, text string }{{"stdout", out.String()}, {"stderr", errs.String()}} {
		if part.text != "" {
			fmt.Fprintf(&s.written, "--- %s\n%s", part.name, s.normal(part.text))
		}
	}
}

// normal puts placeholders in the place of what differs from run to run.
func (s *session) normal(text string) string {
	for _, h := range s.hide {
		text = strings.ReplaceAll(text, h[0], h[1])
	}
	for _, p := range s.patterns {
		text = p.what.ReplaceAllString(text, p.with)
	}
	return text
}

// with runs the tool against an agent that has these answers.
func (s *session) with(replies map[string][]reply, about string, args ...string) {
	s.t.Helper()
	s.agent.prepare(replies)
	s.run(about, args...)
}

func ok(bodies ...string) (list []reply) {
	for _, b := range bodies {
		list = append(list, reply{http.StatusOK, b})
	}
	return list
}

func failure(code, text string) []reply {
	body, err := json.Marshal(map[string]string{"code": code, "error": text})
	if err != nil {
		panic(err)
	}
	return []reply{{http.StatusConflict, string(body)}}
}

// The fixed answers set every field of the messages that the tool reads, and each is read and written again as it was.
func TestAnswersOfGoldenFilesHaveEveryField(t *testing.T) {
	for _, k := range []struct {
		value any
		files []string
	}{
		{&agent.Status{}, []string{"status.json", "status-stale.json", "status-applied.json", "status-partly.json", "status-back.json", "status-hears.json", "status-advancing.json", "status-another.json", "status-new.json", "status-before.json"}},
		{&agent.Revisions{}, []string{"revisions.json"}},
		{&revisions.Revision{}, []string{"revision-12.json", "revision-11.json"}},
		{&agent.Members{}, []string{"members.json"}},
		{&agent.Audit{}, []string{"audit.json", "refused.json"}},
		{&[]agent.Probe{}, []string{"probe.json", "probe-bad.json", "probe-silent.json"}},
		{&agent.ApplyResult{}, []string{"applied-busy.json", "applied-accepted.json", "applied-no-change.json", "applied-conflict.json", "applied-unknown.json"}},
		{&agent.MemberChange{}, []string{"change.json"}},
		{&agentapi.RecordsList{}, []string{"records.json", "record.json", "record-none.json"}},
		{&agentapi.RecordsVersions{}, []string{"records-versions.json"}},
		{&agentapi.RecordsDiff{}, []string{"records-diff.json"}},
		{&agentapi.RecordsLag{}, []string{"records-lag.json", "records-lag-behind.json", "records-lag-good.json"}},
		{&records.Result{}, []string{"result-invalid.json", "result-accepted.json", "result-unchanged.json", "result-conflict.json"}},
		{&peers.Status{}, []string{"peer-g2.json", "peer-g0.json", "peer-g1.json", "peer-g2-joining.json"}},
		{&peers.EvidenceReport{}, []string{"why-g0.json", "why-g1.json"}},
	} {
		var values []any
		for _, name := range k.files {
			text := reply{body: "@" + name}.text(t)
			v := reflect.New(reflect.TypeOf(k.value).Elem())
			d := json.NewDecoder(bytes.NewReader(text))
			d.DisallowUnknownFields()
			if err := d.Decode(v.Interface()); err != nil {
				t.Errorf("%s: %v", name, err)
				continue
			}
			again, err := json.MarshalIndent(v.Interface(), "", "  ")
			if err != nil || string(again)+"\n" != string(text) {
				t.Errorf("%s is written as (%v)\n%s", name, err, again)
			}
			values = append(values, v.Elem().Interface())
		}
		for _, field := range golden.UnsetFields(values...) {
			t.Errorf("%s is set in none of %v", field, k.files)
		}
	}
}

func TestGoldenStatus(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	status := func(name string) map[string][]reply {
		return map[string][]reply{"GET /v1/status": ok("@" + name)}
	}
	s.with(status("status.json"), "a rollout that goes on", "status")
	s.with(status("status.json"), "a rollout that goes on", "status", "--json")
	s.with(status("status-stale.json"), "no leader", "status")
	s.with(status("status-stale.json"), "no leader", "status", "--json")
	s.with(status("status-applied.json"), "all applied", "status")
	s.with(status("status-partly.json"), "an instance is silent", "status")
	s.with(status("status-back.json"), "rolled back", "status")
	s.with(status("status-new.json"), "a new site", "status")
	s.with(status("status.json"), "a rollout that goes on", "instances")
	s.with(status("status.json"), "a rollout that goes on", "instances", "--json")
	s.with(status("status-stale.json"), "no leader", "instances")
	golden.Text(t, "status.txt", s.written.String())
}

func TestGoldenRevisions(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	answers := func() map[string][]reply {
		return map[string][]reply{
			"GET /v1/revisions":    ok("@revisions.json"),
			"GET /v1/revisions/11": ok("@revision-11.json"),
			"GET /v1/revisions/12": ok("@revision-12.json"),
			"GET /v1/revisions/77": failure("not found", "revision 77 is not in the history"),
		}
	}
	s.with(answers(), "the history", "history")
	s.with(answers(), "the history", "history", "--json")
	s.with(answers(), "a revision", "show", "12")
	s.with(answers(), "a revision", "show", "12", "--json")
	s.with(answers(), "a revision without a message", "show", "11")
	s.with(answers(), "a revision that is not there", "show", "77")
	s.with(answers(), "no number", "show", "twelve")
	s.with(answers(), "two revisions", "diff", "11", "12")
	s.with(answers(), "two revisions", "diff", "11", "12", "--json")
	s.with(answers(), "a revision with itself", "diff", "12", "12")
	golden.Text(t, "revisions.txt", s.written.String())
}

func TestGoldenMembersAndAudit(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	answers := func() map[string][]reply {
		return map[string][]reply{
			"GET /v1/members":         ok("@members.json"),
			"GET /v1/audit":           ok("@audit.json"),
			"GET /v1/refused":         ok("@refused.json"),
			"POST /v1/members/add":    ok(`{}`),
			"POST /v1/replicas/add":   ok(`{}`),
			"POST /v1/members/remove": ok("@change.json"),
			"POST /v1/agents/remove":  ok(`{}`),
		}
	}
	s.with(answers(), "voters and agents", "members", "list")
	s.with(answers(), "voters and agents", "members", "list", "--json")
	s.with(answers(), "the audit log", "audit")
	s.with(answers(), "the audit log", "audit", "--json")
	s.with(answers(), "another voter", "members", "add", "a5", "10.0.0.5:7946")
	s.with(answers(), "another replica", "members", "add", "a5", "10.0.0.5:7946", "--non-voter")
	s.with(answers(), "a voter less, which some have yet to note", "members", "remove", "a2")
	s.with(answers(), "a voter and its agent less", "members", "remove", "a2", "--agent-too")
	s.with(answers(), "an agent that is no voter", "members", "remove", "a4", "--agent-too")
	refused := answers()
	refused["POST /v1/members/remove"] = failure("refused", "a1 is the only voter")
	s.with(refused, "the last voter", "members", "remove", "a1")
	golden.Text(t, "members.txt", s.written.String())
}

func TestGoldenPlanAndCheck(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	answers := func(probe string) map[string][]reply {
		return map[string][]reply{"GET /v1/status": ok("@status-before.json"), "GET /v1/revisions/11": ok("@revision-11.json"), "POST /v1/probe": ok("@" + probe)}
	}
	site := "testdata/site.toml"
	s.with(answers("probe.json"), "what would change", "plan", site)
	s.with(answers("probe.json"), "what would change", "plan", site, "--json")
	s.with(answers("probe-bad.json"), "an instance would refuse it", "plan", site, "--overlay", "g1=")
	s.with(answers("probe-silent.json"), "an agent is silent", "plan", site)
	s.with(answers("probe.json"), "every agent checks it", "check", site, "--all")
	s.with(answers("probe-bad.json"), "every agent checks it", "check", site, "--all", "--json")
	s.with(nil, "checked here", "check", site)
	s.with(nil, "checked here", "check", site, "--json")
	stale := answers("probe.json")
	stale["GET /v1/status"] = ok("@status-stale.json")
	s.with(stale, "no leader", "plan", site)
	golden.Text(t, "plan.txt", s.written.String())
}

func TestGoldenApply(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.patterns = append(s.patterns, pattern{elapsedTime, "  ELAPSED  "})
	site := "testdata/site.toml"
	answers := func(apply string, states ...string) map[string][]reply {
		for i := range states {
			states[i] = "@" + states[i]
		}
		return map[string][]reply{"GET /v1/status": ok(append([]string{"@status-before.json"}, states...)...),
			"GET /v1/revisions/11": ok("@revision-11.json"), "POST /v1/apply": ok("@" + apply)}
	}
	s.with(answers("applied-accepted.json", "status-hears.json", "status-advancing.json", "status-applied.json"), "followed to its end", "apply", site, "--message", "a larger heap")
	s.with(answers("applied-accepted.json", "status-applied.json"), "followed to its end", "apply", site, "--json")
	s.with(answers("applied-accepted.json", "status-partly.json"), "some are missing", "apply", site)
	s.with(answers("applied-accepted.json", "status-back.json"), "it goes back", "apply", site)
	s.with(answers("applied-accepted.json", "status-another.json"), "another takes its place", "apply", site)
	s.with(answers("applied-accepted.json"), "not followed", "apply", site, "--no-wait", "--overlay", "g1=testdata/overlay.toml", "--again", "--parent", "7")
	s.with(answers("applied-no-change.json", "status-applied.json"), "nothing new", "apply", site)
	s.with(answers("applied-no-change.json", "status-back.json"), "nothing new, and it went back", "apply", site)
	s.with(answers("applied-conflict.json"), "another came first", "apply", site)
	s.with(answers("applied-conflict.json"), "another came first", "apply", site, "--json")
	s.with(answers("applied-busy.json"), "another is on its way", "apply", site)
	s.with(answers("applied-busy.json"), "another is on its way", "apply", site, "--json")
	s.with(answers("applied-accepted.json"), "the revision before", "rollback", "--no-wait")
	s.with(answers("applied-accepted.json"), "a named revision", "rollback", "11", "--no-wait", "--message", "as it was")
	s.with(answers("applied-unknown.json"), "a revision that is not there", "rollback", "3")
	s.with(map[string][]reply{"GET /v1/status": ok("@status-new.json")}, "there is none before", "rollback")
	s.with(answers("applied-accepted.json"), "wave by wave", "restart", "--rolling", "--no-wait")
	s.with(answers("applied-accepted.json"), "all at once", "restart")
	s.with(map[string][]reply{"GET /v1/status": ok("@status-new.json")}, "nothing runs", "restart", "--rolling")
	refused := answers("applied-accepted.json")
	refused["POST /v1/apply"] = failure("forbidden", `vic has the role "viewer", and operator is needed`)
	s.with(refused, "the role does not allow it", "apply", site)
	golden.Text(t, "apply.txt", s.written.String())
}

func TestGoldenVerbsThatChange(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	for _, verb := range []string{"pause", "resume", "abort"} {
		s.with(map[string][]reply{"POST /v1/" + verb: ok(`{}`)}, "done", verb)
	}
	for _, verb := range []string{"drain", "undrain"} {
		s.with(map[string][]reply{"POST /v1/" + verb: ok(`{}`)}, "done", verb, "g1")
	}
	s.with(map[string][]reply{"POST /v1/abort": failure("refused", "the rollout of revision 12 is applied, and can't be aborted")}, "refused", "abort")
	s.with(map[string][]reply{"POST /v1/drain": failure("not found", "there is no instance g9")}, "not found", "drain", "g9")
	s.with(map[string][]reply{"POST /v1/drain": failure("bad request", "a name has letters")}, "bad", "drain", "/")
	s.with(map[string][]reply{"POST /v1/pause": failure("unreachable", "no leader is known")}, "no leader", "pause")
	s.with(map[string][]reply{"POST /v1/pause": failure("in doubt", "no majority has answered")}, "in doubt", "pause")
	s.with(map[string][]reply{"POST /v1/pause": {{http.StatusBadGateway, "another server"}}}, "no agent's answer", "pause")
	s.with(map[string][]reply{"POST /v1/pause": ok("nonsense")}, "no agent's answer", "pause")
	dir := t.TempDir()
	s.hide = append(s.hide, [2]string{dir, "TMP"})
	saved := map[string][]reply{"GET /v1/snapshot": ok(`{"form":1}`)}
	s.with(saved, "saved", "snapshot", "save", filepath.Join(dir, "saved"))
	s.with(saved, "the file can't be written", "snapshot", "save", "testdata/none/saved")
	s.with(nil, "not what was saved", "snapshot", "restore", "testdata/site.toml")
	golden.Text(t, "changes.txt", s.written.String())
}

func TestGoldenRecords(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	read := func(uri, name string, args ...string) {
		t.Helper()
		s.with(map[string][]reply{"GET /v1/records/" + uri: ok("@" + name)}, name, append([]string{"records"}, args...)...)
	}
	for _, flags := range [][]string{nil, {"--json"}} {
		read("get?key=tenant%2Facme", "record.json", append([]string{"get", "tenant/acme"}, flags...)...)
		read("list?kind=tenant&limit=5&prefix=ac", "records.json", append([]string{"list", "tenant", "ac", "--limit", "5"}, flags...)...)
		read("list?kind=tenant&limit=0&prefix=", "record-none.json", append([]string{"list", "tenant"}, flags...)...)
		read("versions?limit=20", "records-versions.json", append([]string{"versions"}, flags...)...)
		read("diff?from=811&to=0", "records-diff.json", append([]string{"diff", "811"}, flags...)...)
	}
	read("diff?from=811&to=830", "records-diff.json", "diff", "811", "830")
	read("get?key=tenant%2Facme", "record-none.json", "get", "tenant/acme")
	read("lag", "records-lag.json", "lag", "--json")
	read("lag", "records-lag-behind.json", "lag", "--json")
	read("lag", "records-lag-good.json", "lag", "--json")
	change := func(name string, args ...string) {
		t.Helper()
		s.with(map[string][]reply{"POST /v1/records/change": ok("@" + name), "GET /v1/records/lag": ok("@records-lag-behind.json")}, name, append([]string{"records"}, args...)...)
	}
	for _, flags := range [][]string{nil, {"--json"}} {
		change("result-accepted.json", append([]string{"put", "tenant/acme", "--value", `{"plan":"gold"}`, "--if", "812", "--message", "m", "--request", "k1"}, flags...)...)
		change("result-unchanged.json", append([]string{"put", "--from", "testdata/changes.json"}, flags...)...)
		change("result-conflict.json", append([]string{"delete", "tenant/acme", "--if", "811"}, flags...)...)
		change("result-invalid.json", append([]string{"put", "tenant/zed", "--file", "testdata/value.json"}, flags...)...)
	}
	change("result-accepted.json", "delete", "tenant/acme", "plan/gold", "--wait", "1ms")
	golden.Text(t, "records.txt", s.written.String())

	var lag agentapi.RecordsLag
	if err := json.Unmarshal(reply{body: "@records-lag.json"}.text(t), &lag); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	printRecordsLag(&out, lag, time.Date(2026, 3, 4, 5, 7, 0, 0, time.UTC))
	golden.Text(t, "records-lag.txt", out.String())
}

func TestGoldenPeers(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.patterns = append(s.patterns, pattern{clockTime, "TIME  "}, pattern{watchTime, `${1}TIME"`})
	gateway := func(name string) *fakeServer {
		g := fakeGateway(t, map[string][]reply{"GET /_peers": ok("@peer-" + name + ".json"), "GET /_peers/why?name=g2": ok("@why-" + name + ".json")})
		s.hide = append(s.hide, [2]string{g.address, "ADDRESS-OF-" + name})
		return g
	}
	g0, g1, g2, joining := gateway("g0"), gateway("g1"), gateway("g2"), gateway("g2-joining")
	none := fakeGateway(t, nil)
	s.hide = append(s.hide, [2]string{none.address, "ADDRESS-OF-none"})
	run := func(about string, at []*fakeServer, args ...string) {
		t.Helper()
		args = append([]string{"peers"}, args...)
		for _, g := range at {
			args = append(args, "--at", g.address)
		}
		s.run(about, args...)
	}
	agree, differ := []*fakeServer{g0, g1}, []*fakeServer{g0, g2}
	for _, flags := range [][]string{nil, {"--json"}} {
		run("all agree", agree, append([]string{"list"}, flags...)...)
		run("all agree", agree, append([]string{"view"}, flags...)...)
		run("all agree", agree, append([]string{"view", "g1"}, flags...)...)
		run("all agree", agree, append([]string{"diff"}, flags...)...)
		run("what was learned", agree, append([]string{"why", "g2"}, flags...)...)
		run("they differ", differ, append([]string{"list"}, flags...)...)
		run("they differ", differ, append([]string{"view"}, flags...)...)
		run("they differ", differ, append([]string{"diff"}, flags...)...)
		run("one knows no others", []*fakeServer{g0, none}, append([]string{"diff"}, flags...)...)
	}
	run("no such gateway", agree, "view", "g7")
	run("one joins", []*fakeServer{joining}, "view")
	run("nobody answers", []*fakeServer{none}, "diff")
	run("no address", nil, "list")
	for _, flags := range [][]string{nil, {"--json"}} {
		g0.forgetCalls()
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		s.finish("until interrupted", s.command(ctx, append([]string{"peers", "watch", "--at", g0.address}, flags...)...), func(cmd *exec.Cmd) {
			g0.waitForCalls(2) // what the first showed has been printed
			cmd.Process.Signal(syscall.SIGINT)
		})
		cancel()
	}
	golden.Text(t, "peers.txt", s.written.String())
}

// What the tool prints of files on this machine.
func TestGoldenLocalVerbs(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	dir := t.TempDir()
	s.hide = append(s.hide, [2]string{dir, "TMP"})
	for _, flags := range [][]string{nil, {"--json"}} {
		for _, verb := range [][]string{{"site", "keys"}, {"agent", "keys"}, {"lab", "list"}, {"lab", "faults"}, {"lab", "read", "testdata/moments", "--every", "1s"}} {
			s.run("a list", append(verb, flags...)...)
		}
		s.run("traces", append([]string{"trace", "testdata/traces.jsonl"}, flags...)...)
		s.run("one trace", append([]string{"trace", "testdata/traces.jsonl", "AAAA"}, flags...)...)
		s.run("the capacity", append([]string{"capacity", "--size", "testdata/size.toml", "--slopes", "testdata/slopes.json"}, flags...)...)
	}
	s.run("the capacity, all tables", "capacity", "--size", "testdata/size.toml", "--slopes", "testdata/slopes.json", "--all")
	s.run("the operator's file", "site", "check", "testdata/overlay-site.toml")
	s.run("the authority", "ca", "init", "--dir", filepath.Join(dir, "ca"))
	s.run("the authority, again", "ca", "init", "--dir", filepath.Join(dir, "ca"))
	s.run("a certificate", "ca", "issue", "ann", "--role", "operator", "--dir", filepath.Join(dir, "ca"))
	s.run("a certificate, renewed", "ca", "renew", "ann", "--days", "30", "--dir", filepath.Join(dir, "ca"))
	s.run("the authority's own name", "ca", "issue", "ca", "--role", "operator", "--dir", filepath.Join(dir, "ca"))
	s.run("an agent's file", "agent", "init", filepath.Join(dir, "a"), "--name", "a1", "--gateway", "/bin/true", "--instance", "g0=127.0.0.1:8080")
	s.run("an agent's file, again", "agent", "init", filepath.Join(dir, "a"), "--name", "a1")
	s.run("gateways' configurations", "import", "--out", filepath.Join(dir, "site"), "testdata/g0.json", "testdata/g1.json", "testdata/g2.json")
	for _, path := range []string{"a/agent.toml", "site/site.toml", "site/g1.toml"} {
		fmt.Fprintf(&s.written, "=== %s\n%s", path, readFile(t, filepath.Join(dir, path)))
	}
	golden.Text(t, "local.txt", s.written.String())
}

// Each exit status with an error that leads to it. Those of a broken rule and of a late machine (3 and 4) need a whole
// lab, and are pinned by their numbers alone.
func TestGoldenExitStatuses(t *testing.T) {
	t.Parallel()
	s := newSession(t)
	s.patterns = append(s.patterns, pattern{elapsedTime, "  ELAPSED  "})
	fmt.Fprintf(&s.written, "ok %d, failed %d, usage %d, rule %d, void %d, refused %d, conflict %d, partly %d, unreachable %d, differ %d, interrupted %d\n",
		exitOK, exitFailed, exitUsage, exitRule, exitVoid, exitRefused, exitConflict, exitPartly, exitUnreachable, exitDiffer, exitInterrupted)
	status := func(name string) map[string][]reply {
		return map[string][]reply{"GET /v1/status": ok("@" + name)}
	}
	s.with(nil, "no verb", "--help")
	s.with(nil, "an unknown verb", "statuss")
	s.with(nil, "an unknown flag", "status", "--what")
	s.with(nil, "a wrong flag", "records", "list", "tenant", "--limit", "x")
	s.with(nil, "a group without a verb", "members")
	s.with(nil, "too few arguments", "diff", "1")
	s.with(nil, "too many arguments", "rollback", "1", "2")
	s.with(nil, "too few arguments", "import")
	s.with(nil, "no agent is named", "status", "--agent", "")
	s.with(nil, "an agent without certificates", "status", "--agent", "127.0.0.1:1")
	s.with(nil, "an address without TLS that is not loopback", "status", "--agent", "192.0.2.1:1", "--plain")
	s.with(nil, "a folder that can't be written", "capacity", "--size", "testdata/size.toml", "--slopes", "testdata/slopes.json", "--curves", "testdata/none/x.svg")
	s.with(nil, "no server", "status", "--agent", "testdata/none.sock")
	s.with(status("status-stale.json"), "no leader", "status")
	s.with(status("status-partly.json"), "a silent instance", "status")
	s.with(nil, "a missing file", "check", "testdata/none.toml")
	s.with(nil, "a wrong overlay", "check", "testdata/site.toml", "--overlay", "x")
	s.with(nil, "no operations", "records", "put", "tenant/acme")
	s.with(nil, "a wrong version", "records", "diff", "yesterday")
	s.with(nil, "one condition for two", "records", "delete", "plan/a", "plan/b", "--if", "1")

	// What was accepted goes on when the tool is interrupted.
	s.agent.prepare(map[string][]reply{"GET /v1/status": ok("@status-before.json", "@status-advancing.json"), "GET /v1/revisions/11": ok("@revision-11.json"),
		"POST /v1/apply": ok("@applied-accepted.json")})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	s.finish("interrupted", s.command(ctx, "apply", "testdata/site.toml"), func(cmd *exec.Cmd) {
		s.agent.waitForCalls(5) // status, revision, apply, and the status twice: what the first showed has been printed
		cmd.Process.Signal(syscall.SIGINT)
	})
	golden.Text(t, "exit.txt", s.written.String())
}

// The tree of verbs with all their flags. Where a default comes from the machine a placeholder stands; cobra's own
// verbs, help and completion, are left out.
func TestGoldenCommandTree(t *testing.T) {
	for _, name := range []string{"ELDERCTL_AGENT", "ELDERCTL_CA", "ELDERCTL_CERT", "ELDERCTL_KEY"} {
		t.Setenv(name, "")
	}
	host, err := os.Hostname()
	if err != nil || host == "" {
		host = "agent"
	}
	var b strings.Builder
	var walk func(cmd *cobra.Command)
	walk = func(cmd *cobra.Command) {
		fmt.Fprintf(&b, "=== %s\n", cmd.CommandPath())
		for _, part := range [][2]string{{"use", cmd.Use}, {"short", cmd.Short}, {"long", cmd.Long}, {"example", cmd.Example}, {"aliases", strings.Join(cmd.Aliases, " ")}, {"deprecated", cmd.Deprecated}} {
			if part[1] != "" {
				fmt.Fprintf(&b, "%s: %s\n", part[0], part[1])
			}
		}
		if cmd.Hidden {
			fmt.Fprintln(&b, "hidden")
		}
		if cmd.Runnable() {
			fmt.Fprintln(&b, "runs")
		}
		flags := func(kind string, set *pflag.FlagSet) {
			set.VisitAll(func(f *pflag.Flag) {
				value := f.DefValue
				if cmd.Name() == "init" && f.Name == "name" && value == host {
					value = "HOST"
				}
				fmt.Fprintf(&b, "%s --%s shorthand=%q type=%s default=%q without-value=%q hidden=%t: %s\n", kind, f.Name, f.Shorthand, f.Value.Type(), value, f.NoOptDefVal, f.Hidden, f.Usage)
			})
		}
		flags("flag", cmd.LocalNonPersistentFlags())
		flags("persistent flag", cmd.PersistentFlags())
		for _, c := range cmd.Commands() {
			walk(c)
		}
	}
	walk(rootCommand())
	golden.Text(t, "commands.txt", b.String())
}

// What the lab's verbs print of a run, and write with --json.
func TestGoldenLabReports(t *testing.T) {
	var b strings.Builder
	var verdict audit.Verdict
	fillAll(reflect.ValueOf(&verdict).Elem(), new(int))
	verdict.Counts.Outcomes = map[audit.Outcome]int{audit.Served: 3, audit.Refused: 4, audit.Failed: 5, audit.NoAnswer: 6, audit.Closed: 7, audit.NotTaken: 8, audit.Unfinished: 9}
	var r report
	fillAll(reflect.ValueOf(&r).Elem(), new(int))
	r.Verdict = verdict
	var result lab.Result
	fillAll(reflect.ValueOf(&result).Elem(), new(int))
	for _, v := range []any{r, result} {
		if err := writeJSON(&b, "-", v); err != nil {
			t.Fatal(err)
		}
	}
	printVerdict(&b, &verdict, r.Cost)
	kept := audit.Verdict{Findings: []audit.Finding{{Rule: audit.RuleQuota}, {Rule: audit.RuleDrain, Void: 2}}, Counts: audit.Counts{Outcomes: map[audit.Outcome]int{}}}
	printVerdict(&b, &kept, lab.Cost{})
	printRatios(&b, &result)
	shot := lab.Snapshot{At: 2 * time.Second, Of: 10 * time.Second, Classes: []string{"lookup", "booking"}, Plans: []string{"basic"}, Faults: []string{"node-kill n0"}, Late: 3,
		Progress: load.Progress{First: 10, Done: 9, Served: 5, Refused: 2, Failed: 1, Unhandled: 1, Retries: 4, Takes: 6, Granted: 5, ByClass: [][2]int{{6, 3}, {0, 0}}, ByPlan: [][2]int{{10, 5}}},
		Gateways: []lab.GatewayShot{{Name: "g0", State: "ready", PeakMB: 31.5, Files: 12, CPU: 1500 * time.Millisecond, Taken: 10}},
		Nodes:    []lab.NodeShot{{Name: "n0", Down: true}, {Name: "n1", Held: 3, Waiting: 1}}}
	v := newView(&b, "quiet", "nothing happens")
	v.show(shot)
	shot.Faults, shot.Progress.Takes = nil, 0
	v.show(shot)
	b.WriteString(v.draw(shot))
	golden.Text(t, "lab.txt", b.String())
}

// fillAll sets every field below a value: numbers count up, and a text is its field's number.
func fillAll(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillAll(v.Field(i), n)
		}
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillAll(v.Elem(), n)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fillAll(v.Index(0), n)
		fillAll(v.Index(1), n)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fillAll(key, n)
		fillAll(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
		if v.Type() == reflect.TypeFor[time.Duration]() {
			v.SetInt(int64(*n) * int64(time.Millisecond))
		}
	default:
		panic("a field of type " + v.Type().String()) // give it a value here
	}
}
