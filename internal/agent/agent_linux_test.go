package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/leader"
	"elderyard/internal/loopback"
	"elderyard/internal/pki"
	"elderyard/internal/process"
	"elderyard/internal/replica"
	"elderyard/internal/strict"
	"elderyard/revisions"
	"elderyard/rollout"
	"elderyard/supervise"
)

const (
	asGateway   = "AGENT_TEST_AS_GATEWAY"
	testTimeout = time.Minute
	// What the gateway that stands in does is told by its discovery's address.
	fine    = "127.0.0.1:1"
	crashes = "127.0.0.1:2" // soon after it was ready
	silent  = "127.0.0.1:3" // it is never ready
	ends    = "127.0.0.1:4" // at once
)

func TestMain(m *testing.M) {
	if os.Getenv(asGateway) != "" {
		if err := standIn(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if os.Getenv(asVoter) != "" {
		if err := runVoter(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// standIn is a gateway as far as an agent can tell. It does not outlive the
// test: its parent is the test's process, and that one's end is its own.
func standIn() error {
	var c struct{ Listen, Discovery string }
	read := func() error {
		text, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
		if err != nil {
			return err
		}
		return json.Unmarshal(text, &c)
	}
	if err := read(); err != nil {
		return err
	}
	if c.Discovery == ends {
		return errors.New("it ends at once")
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	crash := make(chan bool, 1)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.Discovery == silent {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if c.Discovery == crashes {
			crash <- true
		}
	}))
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP)
	parent := os.Getppid()
	tick := time.NewTicker(100 * time.Millisecond)
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGTERM {
				return nil
			}
			if err := read(); err != nil {
				return err
			}
		case <-crash:
			time.Sleep(50 * time.Millisecond)
			panic("this revision is bad")
		case <-tick.C:
			if os.Getppid() != parent {
				return nil
			}
		}
	}
}

// file is a revision's file.
func file(discovery, plan string) string {
	return fmt.Sprintf(`
[gateway]
discovery = %q
counter = "127.0.0.1:9"
limits = { cores = 1.0, memory_mb = 64, sockets = 512 }
[gateway.settings]
fleetSize = 1
tickS = 0.002
allowed = { connectTimeoutS = 0.2, keepaliveS = 10.0, mostTries = 3 }
familyInfo = { hasCounter = true, counterTimeoutS = 0.05 }
obligations = { answerSlackS = 0.01 }
classes = [{ name = "lookup", deadlineS = 1.0, objectiveS = 0.4, points = 1.0 }]
packages = [{ name = %q, unitsPerS = 10.0, depth = 20.0 }]
[rollout]
waves = [0.5, 1.0]
ready_within = "10s"
soak_for = "500ms"
silent_after = "4s"
rollback_within = "20s"
`, discovery, plan)
}

// machine is one agent of a test.
type machine struct {
	t      testing.TB
	config Config
	cancel context.CancelFunc
	done   chan error
	client *agentapi.Client
}

func instances(t testing.TB, names ...string) (list []InstanceEntry) {
	for _, n := range names {
		at, err := loopback.Free()
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, InstanceEntry{Name: n, Listen: at, Env: []string{asGateway + "=1"}})
	}
	return list
}

// newMachine describes an agent; others are the addresses of voters.
func newMachine(t testing.TB, name string, voter bool, others []string, list ...InstanceEntry) *machine {
	t.Helper()
	dir, err := os.MkdirTemp("", "agent") // short: a socket's path is bounded
	if err != nil {
		t.Fatal(err)
	}
	c := defaults()
	d := func(d time.Duration) strict.Duration { return strict.Duration(d) }
	at := loopback.Host() + ":0"
	c.Name, c.Dir, c.Listen, c.Advertise, c.Plain, c.Voter, c.Voters, c.Gateway, c.Instances = name, dir, at, at, true, voter, others, os.Args[0], list
	c.Socket = filepath.Join(dir, "agent.sock")
	c.Timing.Report, c.Timing.Heartbeat, c.Timing.Settle, c.Timing.FetchTimeout = d(50*time.Millisecond), d(500*time.Millisecond), d(2*time.Second), d(3*time.Second)
	c.Timing.InitialBackoff = d(100 * time.Millisecond)
	m := &machine{t: t, config: c}
	t.Cleanup(func() {
		m.end()
		for _, e := range list { // what the agent left, this test ends
			var saved struct {
				PID     int
				Started string
			}
			text, err := os.ReadFile(filepath.Join(c.instanceDir(e.Name), "state.json"))
			if err == nil && json.Unmarshal(text, &saved) == nil && saved.PID != 0 && process.StartTime(saved.PID) == saved.Started {
				syscall.Kill(saved.PID, syscall.SIGKILL)
			}
		}
		os.RemoveAll(dir)
	})
	return m
}

// start starts the agent, and waits until it answers. An address that is in use is waited for: the agents of a test
// are in one process, and a child that another test has just forked holds a copy of a closed listener until it executes
// its program.
func (m *machine) start() *machine {
	m.t.Helper()
	for limit := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		err := m.run()
		if err == nil {
			break
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(limit) {
			m.t.Fatal(err)
		}
	}
	var err error
	if m.client, err = agentapi.NewClient(agentapi.Target{Socket: m.config.Socket}); err != nil {
		m.t.Fatal(err)
	}
	until(m.t, m.config.Name+" answers", func() bool { _, err := m.client.Status(context.Background()); return err == nil })
	return m
}

// run has the agent run until end is called. It returns the agent's error where it ends before it listens; end then has
// nothing to wait for.
func (m *machine) run() error {
	ctx, cancel := context.WithCancel(context.Background())
	started := make(chan string, 1)
	if m.config.Listen == "" {
		started <- ""
	}
	config, done := m.config, make(chan error, 1)
	go func() {
		done <- Run(ctx, config, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Started: func(a string) { started <- a }})
	}()
	select {
	case a := <-started:
		m.config.Listen, m.config.Advertise = a, a
		m.cancel, m.done = cancel, done
		return nil
	case err := <-done:
		cancel()
		return err
	}
}

// end ends the agent, and leaves its gateways.
func (m *machine) end() {
	if m.cancel != nil {
		m.cancel()
		if err := <-m.done; err != nil {
			m.t.Error(err)
		}
		m.client.Close()
		m.cancel = nil
	}
}

func until(t testing.TB, what string, is func() bool) {
	t.Helper()
	for limit := time.Now().Add(testTimeout); !is(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("never: %s", what)
		}
	}
}

func (m *machine) status() agentapi.Status {
	m.t.Helper()
	var s agentapi.Status
	until(m.t, "a status", func() (is bool) {
		var err error
		s, err = m.client.Status(context.Background())
		return err == nil && s.Stale == ""
	})
	return s
}

func (m *machine) apply(request string, parent uint64, text string) agentapi.ApplyResult {
	m.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	a, err := m.client.Apply(ctx, agentapi.ApplyRequest{Request: request, Parent: parent, Content: &revisions.Content{File: text}, Message: "test"})
	if err != nil {
		m.t.Fatal(err)
	}
	return a
}

// ended waits for the end of the rollout of a revision.
func (m *machine) ended(n uint64) agentapi.Status {
	m.t.Helper()
	var s agentapi.Status
	until(m.t, fmt.Sprintf("the end of the rollout of revision %d", n), func() bool {
		s = m.status()
		return s.Rollout.New == n && s.Rollout.State.Ended()
	})
	return s
}

func (m *machine) is(s agentapi.Status, want rollout.State, running uint64) {
	m.t.Helper()
	if s.Rollout.State != want {
		m.t.Fatalf("%s (%s), want %s: %+v", s.Rollout.State, s.Rollout.Reason, want, s.Instances)
	}
	for _, i := range s.Instances {
		if i.Running != running || !i.Ready {
			m.t.Fatalf("%s runs %d and is %s, want %d: %+v", i.Name, i.Running, i.State, running, i)
		}
	}
}

func pids(s agentapi.Status) map[string]int {
	list := map[string]int{}
	for _, i := range s.Instances {
		list[i.Name] = i.PID
	}
	return list
}

func TestOneMachine(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0", "g1")...).start()
	if a := m.apply("1", 0, file(fine, "basic")); a.Answer != revisions.Accepted || a.Revision.Number != 1 || a.Revision.Author == "" {
		t.Fatalf("%+v", a)
	}
	s := m.ended(1)
	m.is(s, rollout.Applied, 1)
	first := pids(s)

	// Another counter needs a reload, and no start.
	m.apply("2", 1, strings.Replace(file(fine, "basic"), "127.0.0.1:9", "127.0.0.1:8", 1))
	s = m.ended(2)
	m.is(s, rollout.Applied, 2)
	if now := pids(s); now["g0"] != first["g0"] || now["g1"] != first["g1"] {
		t.Fatalf("%v became %v by a reload", first, now)
	}
	// Another plan needs a start, one at a time.
	m.apply("3", 2, file(fine, "gold"))
	s = m.ended(3)
	m.is(s, rollout.Applied, 3)
	if now := pids(s); now["g0"] == first["g0"] || now["g1"] == first["g1"] {
		t.Fatalf("%v became %v by a restart", first, now)
	}

	if a := m.apply("4", 2, file(fine, "x")); a.Answer != revisions.Conflict || a.Revision.Number != 3 {
		t.Fatalf("%+v", a)
	}
	if a := m.apply("3", 2, file(fine, "gold")); a.Answer != revisions.Accepted || a.Revision.Number != 3 {
		t.Fatalf("a repeat: %+v", a)
	}
	_, err := m.client.Apply(context.Background(), agentapi.ApplyRequest{Request: "5", Parent: 3, Content: &revisions.Content{File: "[gatewya]"}})
	var f *agentapi.Failure
	if !errors.As(err, &f) || !f.BadRequest() || !strings.Contains(err.Error(), "file:1: gatewya") {
		t.Fatalf("a file that makes no sense: %v", err)
	}

	ctx := context.Background()
	if err := m.client.Do(ctx, "drain", agentapi.ChangeRequest{Name: "g1"}); err != nil {
		t.Fatal(err)
	}
	until(t, "g1 is down", func() bool { s = m.status(); return s.Instances[1].State == supervise.Down && s.Instances[1].Drained })
	if err := m.client.Do(ctx, "undrain", agentapi.ChangeRequest{Name: "g1"}); err != nil {
		t.Fatal(err)
	}
	until(t, "g1 is back", func() bool { s = m.status(); return s.Instances[1].Ready && s.Instances[1].Running == 3 })

	probes, err := m.client.Probe(ctx, revisions.Content{File: file(fine, "silver")})
	if err != nil || len(probes) != 2 || probes[0].Step != supervise.StepRestart {
		t.Fatalf("%v %+v", err, probes)
	}
	log, err := m.client.Audit(ctx)
	if err != nil || len(log.Changes) < 6 || len(log.Refused) == 0 {
		t.Fatalf("%v %+v", err, log)
	}
}

func TestCrashingRevisionRollsBack(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0", "g1", "g2")...).start()
	m.apply("1", 0, file(fine, "basic"))
	m.is(m.ended(1), rollout.Applied, 1)
	for n, bad := range []string{crashes, ends, silent} {
		number := uint64(n + 2)
		text := strings.Replace(file(bad, fmt.Sprint("plan", n)), `ready_within = "10s"`, `ready_within = "2s"`, 1)
		if a := m.apply(fmt.Sprint("bad", n), number-1, text); a.Answer != revisions.Accepted {
			t.Fatalf("%+v", a)
		}
		s := m.ended(number)
		m.is(s, rollout.RolledBack, 1)
		if s.Wanted != 1 || s.Head != number || !strings.Contains(s.Rollout.Reason, "revision 1") {
			t.Fatalf("%+v", s)
		}
		if s.Instances[2].Crashes != 0 {
			t.Fatal("it went past the first wave")
		}
	}
}

func TestServiceFallRollsBack(t *testing.T) {
	t.Parallel()
	var level atomic.Value
	level.Store("0.95\n")
	monitor := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, level.Load().(string)) }))
	defer monitor.Close()
	m := newMachine(t, "a1", true, nil, instances(t, "g0", "g1")...)
	m.config.ServiceFrom = monitor.URL
	m.start()
	text := func(plan string) string {
		return strings.Replace(file(fine, plan), `soak_for = "500ms"`, "soak_for = \"30s\"\nservice_fall = 0.1\nservice_for = \"1s\"", 1)
	}
	m.apply("1", 0, file(fine, "basic"))
	m.is(m.ended(1), rollout.Applied, 1)
	level.Store("nonsense") // says nothing
	time.Sleep(2 * leader.ServicePollInterval)
	level.Store("0.94")
	time.Sleep(2 * leader.ServicePollInterval)
	m.apply("2", 1, text("gold"))
	until(t, "the canary has it", func() bool { return m.status().Instances[0].Running == 2 })
	level.Store("0.7")
	s := m.ended(2)
	m.is(s, rollout.RolledBack, 1)
	if !strings.Contains(s.Rollout.Reason, "the service is at 0.700") {
		t.Fatal(s.Rollout.Reason)
	}
}

func TestGatewaysSurviveAgentRestart(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0", "g1")...).start()
	m.apply("1", 0, file(fine, "basic"))
	before := pids(m.ended(1))
	m.end()
	for name, pid := range before {
		if process.StartTime(pid) == "" {
			t.Fatalf("%s died with its agent", name)
		}
	}
	m.start()
	until(t, "both are known", func() bool {
		s := m.status()
		return s.Wave > 0 && s.Instances[0].Ready && s.Instances[1].Ready && s.Instances[0].Running == 1
	})
	if now := pids(m.status()); now["g0"] != before["g0"] || now["g1"] != before["g1"] {
		t.Fatalf("%v became %v", before, now)
	}
	// The new agent sees the end of one that it did not start.
	syscall.Kill(before["g0"], syscall.SIGKILL)
	until(t, "g0 is started again", func() bool {
		s := m.status()
		return s.Instances[0].Ready && s.Instances[0].PID != before["g0"] && s.Instances[0].Crashes == 1
	})
}

// site starts three voters and an agent that only follows, each with one gateway.
func newSite(t *testing.T) (list []*machine) {
	t.Helper()
	first := newMachine(t, "a0", true, nil, instances(t, "g0")...).start()
	list = append(list, first)
	for i := 1; i < 4; i++ {
		m := newMachine(t, fmt.Sprint("a", i), i < 3, []string{first.config.Listen}, instances(t, fmt.Sprint("g", i))...).start()
		list = append(list, m)
		if i < 3 {
			if m, err := first.client.AddMember(context.Background(), agentapi.ChangeRequest{Name: m.config.Name, Address: m.config.Listen}); err != nil || m.Behind != nil {
				t.Fatal(m, err)
			}
		}
	}
	// The follower must know more than one voter to outlive the first.
	list[3].end()
	list[3].config.Voters = []string{list[0].config.Listen, list[1].config.Listen, list[2].config.Listen}
	list[3].start()
	until(t, "all are known", func() bool { return len(list[3].status().Instances) == 4 })
	return list
}

func leaderOf(list []*machine) (leader *machine, others []*machine) {
	name := list[3].status().Leader
	for _, m := range list {
		if m.config.Name == name {
			leader = m
		} else {
			others = append(others, m)
		}
	}
	return leader, others
}

func TestLeaderStopsDuringRollout(t *testing.T) {
	t.Parallel()
	list := newSite(t)
	list[3].apply("1", 0, file(fine, "basic"))
	list[3].is(list[3].ended(1), rollout.Applied, 1)
	leader, rest := leaderOf(list)
	list[3].apply("2", 1, file(fine, "gold"))
	until(t, "one has it", func() bool {
		for _, i := range list[3].status().Instances {
			if i.Running == 2 {
				return true
			}
		}
		return false
	})
	leader.end()
	s := list[3].ended(2)
	if s.Leader == leader.config.Name {
		t.Fatal("the dead one leads")
	}
	if s.Rollout.State != rollout.PartlyApplied && s.Rollout.State != rollout.Applied {
		t.Fatalf("%+v", s.Rollout)
	}
	for _, m := range rest {
		if other := m.status(); other.Rollout != s.Rollout && other.Rollout.New != 2 || other.Wanted != 2 {
			t.Fatalf("%s says %+v, another %+v", m.config.Name, other.Rollout, s.Rollout)
		}
	}
	leader.start()
	until(t, "the one that was away has it", func() bool {
		s = leader.status()
		return s.Rollout.State == rollout.Applied
	})
	leader.is(s, rollout.Applied, 2)
	if n := len(s.Instances); n != 4 {
		t.Fatal(n)
	}
}

func TestPauseResumeAbort(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0", "g1", "g2")...).start()
	m.apply("1", 0, file(fine, "basic"))
	m.is(m.ended(1), rollout.Applied, 1)
	ctx := context.Background()
	var f *agentapi.Failure
	if err := m.client.Do(ctx, "pause", agentapi.ChangeRequest{}); !errors.As(err, &f) || !f.Refused() || !strings.Contains(err.Error(), "it is applied, and can't be paused") {
		t.Fatal(err)
	}
	m.apply("2", 1, file(fine, "gold"))
	if err := m.client.Do(ctx, "pause", agentapi.ChangeRequest{}); err != nil {
		t.Fatal(err)
	}
	until(t, "the canary has it", func() bool { return m.status().Instances[0].Phase == rollout.PhaseUpdated })
	time.Sleep(10 * time.Duration(m.config.Timing.Report)) // others would be told by now
	if s := m.status(); s.Rollout.State != rollout.Paused || s.Instances[1].Running != 1 || !strings.Contains(s.Rollout.Reason, "paused by") {
		t.Fatalf("%+v", s)
	}
	// A new start of the leader forgets neither.
	m.end()
	m.start()
	until(t, "it is still paused", func() bool { s := m.status(); return s.Wave > 0 && s.Rollout.State == rollout.Paused })
	if err := m.client.Do(ctx, "resume", agentapi.ChangeRequest{}); err != nil {
		t.Fatal(err)
	}
	until(t, "the next has it", func() bool { return m.status().Instances[1].Running == 2 })
	if err := m.client.Do(ctx, "abort", agentapi.ChangeRequest{}); err != nil {
		t.Fatal(err)
	}
	s := m.ended(2)
	m.is(s, rollout.RolledBack, 1)
	if !strings.Contains(s.Rollout.Reason, "aborted by") {
		t.Fatal(s.Rollout.Reason)
	}
}

func TestApplyRepeatedAfterLostConnection(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0")...).start()
	// The call is sent and nobody waits for its answer.
	text, err := json.Marshal(agentapi.ApplyRequest{Request: "1", Content: &revisions.Content{File: file(fine, "basic")}})
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("unix", m.config.Socket)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /v1/apply HTTP/1.1\r\nHost: agent\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	c.Close()
	// Taken or not, there is one end. The repeat of another machine is no second revision.
	if a := m.apply("1", 0, file(fine, "basic")); a.Answer != revisions.Accepted || a.Revision.Number != 1 {
		t.Fatalf("%+v", a)
	}
	m.is(m.ended(1), rollout.Applied, 1)
}

func TestDamagedVoterReportsItAndGatewayRuns(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0")...).start()
	m.apply("1", 0, file(fine, "basic"))
	pid := pids(m.ended(1))["g0"]
	m.end()
	path := filepath.Join(m.config.Dir, "voter", replica.LogFileName)
	if err := os.Truncate(path, 20000); err != nil {
		t.Fatal(err)
	}
	err := Run(context.Background(), m.config, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err == nil || !strings.Contains(err.Error(), path+" is damaged: it is cut short") {
		t.Fatal(err)
	}
	if process.StartTime(pid) == "" {
		t.Fatal("its gateway ended")
	}
}

func TestConcurrentAppliesOneAccepted(t *testing.T) {
	t.Parallel()
	list := newSite(t)
	list[0].apply("1", 0, file(fine, "basic"))
	list[0].ended(1)
	answers := make(chan agentapi.ApplyResult, 2)
	for i, m := range []*machine{list[1], list[3]} {
		go func() {
			a, _ := m.client.Apply(context.Background(), agentapi.ApplyRequest{Request: fmt.Sprint("both", i), Parent: 1, Content: &revisions.Content{File: file(fine, fmt.Sprint("plan", i))}})
			answers <- a
		}()
	}
	a, b := <-answers, <-answers
	if b.Answer == revisions.Accepted {
		a, b = b, a
	}
	if a.Answer != revisions.Accepted || b.Answer != fleet.Busy && b.Answer != revisions.Conflict || b.Revision.Number != 2 || b.Revision.Checksum != a.Revision.Checksum {
		t.Fatalf("%+v\n%+v", a, b)
	}
	list[2].is(list[2].ended(2), rollout.Applied, 2)
}

func TestPartitionedAgentsServeStaleStatus(t *testing.T) {
	t.Parallel()
	list := newSite(t)
	list[0].apply("1", 0, file(fine, "basic"))
	before := pids(list[0].ended(1))
	m := list[0]
	stale := func() agentapi.Status {
		var s agentapi.Status
		until(t, "it says that it is cut off", func() bool {
			var err error
			s, err = m.client.Status(context.Background())
			return err == nil && s.Stale != ""
		})
		return s
	}
	// One voter of three is a minority: it takes nothing, and shows what it knows.
	list[1].end()
	list[2].end()
	if s := stale(); len(s.Instances) != 4 || s.Wanted != 1 || s.Rollout.State != rollout.Applied {
		t.Fatalf("%+v", s)
	}
	var f *agentapi.Failure
	short, cancelShort := context.WithTimeout(context.Background(), time.Second)
	defer cancelShort()
	if _, err := m.client.Apply(short, agentapi.ApplyRequest{Request: "1b", Parent: 1, Content: &revisions.Content{File: file(fine, "gold")}}); err == nil {
		t.Fatal("a minority took a change")
	}
	if err := m.client.Do(context.Background(), "drain", agentapi.ChangeRequest{Name: "g0"}); !errors.As(err, &f) || f.Refused() {
		t.Fatalf("a minority drained: %v", err)
	}
	m.end()
	m = list[3]
	if s := stale(); len(s.Instances) != 1 || !s.Instances[0].Ready || s.Instances[0].Running != 1 {
		t.Fatalf("%+v", s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := m.client.Apply(ctx, agentapi.ApplyRequest{Request: "2", Parent: 1, Content: &revisions.Content{File: file(fine, "gold")}}); err == nil {
		t.Fatal("a site without voters took a change")
	}
	// Its machine goes down and up: without a leader, what ran last runs again.
	m.end()
	syscall.Kill(before["g3"], syscall.SIGKILL)
	until(t, "g3 has ended", func() bool { return process.StartTime(before["g3"]) == "" })
	m.start()
	until(t, "g3 serves again", func() bool {
		s := stale()
		return s.Instances[0].Ready && s.Instances[0].Running == 1 && s.Instances[0].PID != before["g3"]
	})
}

// TestNewSiteKeepsRunningGateways: voters lost all they had, and the gateways of
// the site before still run.
func TestNewSiteKeepsRunningGateways(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0", "g1")...).start()
	m.apply("1", 0, file(fine, "basic"))
	before := pids(m.ended(1))
	m.end()
	if err := os.RemoveAll(filepath.Join(m.config.Dir, "voter")); err != nil {
		t.Fatal(err)
	}
	m.start()
	until(t, "both are known", func() bool {
		s := m.status()
		return len(s.Instances) == 2 && s.Instances[0].Ready && s.Instances[1].Ready
	})
	// The new site's first revision has the number of what runs, and says something else.
	m.apply("2", 0, strings.Replace(file(fine, "gold"), `soak_for = "500ms"`, `soak_for = "2s"`, 1))
	until(t, "the canary has it", func() bool { s := m.status(); return s.Instances[0].PID != before["g0"] && s.Instances[0].Ready })
	if process.StartTime(before["g1"]) == "" {
		t.Fatal("the one that was not told has ended")
	}
	m.is(m.ended(1), rollout.Applied, 1)
	until(t, "both have the new one", func() bool {
		s := m.status()
		return s.Instances[1].PID != before["g1"] && s.Instances[0].Ready && s.Instances[1].Ready
	})
}

// TestSiteGrowsFromOneMachine: a voter that had no port gets one, and others
// join.
func TestSiteGrowsFromOneMachine(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0")...)
	m.config.Listen, m.config.Advertise, m.config.Plain = "", "", false
	m.start()
	m.apply("1", 0, file(fine, "basic"))
	m.ended(1)
	m.end()
	m.config.Listen, m.config.Advertise, m.config.Plain = "127.0.0.1:0", "127.0.0.1:0", true
	m.start()
	other := newMachine(t, "a2", true, []string{m.config.Listen}, instances(t, "g1")...).start()
	if m, err := m.client.AddMember(context.Background(), agentapi.ChangeRequest{Name: "a2", Address: other.config.Listen}); err != nil || m.Behind != nil {
		t.Fatal(m, err)
	}
	list, err := other.client.Members(context.Background())
	if err != nil || len(list.Voters) != 2 || list.Voters[0].Address != m.config.Listen {
		t.Fatalf("%v %+v", err, list)
	}
	until(t, "the other's gateway has the revision", func() bool {
		s := other.status()
		return len(s.Instances) == 2 && s.Instances[1].Ready && s.Instances[1].Running == 1
	})
}

// postReport posts a report with a certificate, and returns the agent's failure.
func postReport(t *testing.T, files pki.Files, to *machine, report agentapi.Report) error {
	t.Helper()
	config, err := files.Client()
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{TLSClientConfig: config}}
	defer client.CloseIdleConnections()
	response, err := client.Post("https://"+to.config.Listen+agentapi.ReportPath, "application/json", bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return agentapi.ReadResponse(response, &agentapi.Orders{})
}

func TestRolesAllowOnlyTheirCalls(t *testing.T) {
	t.Parallel()
	ca := filepath.Join(t.TempDir(), "ca")
	if err := pki.Init(ca); err != nil {
		t.Fatal(err)
	}
	files := func(name string) pki.Files {
		return pki.Files{CA: filepath.Join(ca, "ca.pem"), Cert: filepath.Join(ca, name+".pem"), Key: filepath.Join(ca, name+"-key.pem")}
	}
	for name, role := range map[string]pki.Role{"a1": pki.Agent, "a2": pki.Agent, "ann": pki.Operator, "vic": pki.Viewer} {
		if err := pki.Issue(ca, name, role, 30); err != nil {
			t.Fatal(err)
		}
	}
	secure := func(m *machine) *machine {
		f := files(m.config.Name)
		m.config.Plain, m.config.TLS = false, TLS{CA: f.CA, Cert: f.Cert, Key: f.Key}
		return m
	}
	m := secure(newMachine(t, "a1", true, nil, instances(t, "g0")...)).start()
	other := secure(newMachine(t, "a2", true, []string{m.config.Listen}, instances(t, "g1")...)).start()
	if m, err := m.client.AddMember(context.Background(), agentapi.ChangeRequest{Name: "a2", Address: other.config.Listen}); err != nil || m.Behind != nil {
		t.Fatal(m, err)
	}
	as := func(name string, at *machine) *agentapi.Client {
		c, err := agentapi.NewClient(agentapi.Target{Address: at.config.Listen, Files: files(name)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	ctx := context.Background()
	call := agentapi.ApplyRequest{Request: "1", Content: &revisions.Content{File: file(fine, "basic")}}
	_, err := as("vic", other).Apply(ctx, call)
	var f *agentapi.Failure
	if !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("a viewer applied: %v", err)
	}
	if _, err := as("vic", other).Status(ctx); err != nil {
		t.Fatal(err)
	}
	// The leader knows who asked, whichever agent was asked.
	for _, at := range []*machine{other, m} {
		a, err := as("ann", at).Apply(ctx, call)
		if err != nil || a.Answer != revisions.Accepted || a.Revision.Author != "ann" {
			t.Fatalf("%v %+v", err, a)
		}
	}
	m.is(m.ended(1), rollout.Applied, 1)
	if err := postReport(t, files("ann"), m, agentapi.Report{}); !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("an operator reported as an agent: %v", err)
	}
	if err := postReport(t, files("a2"), m, agentapi.Report{Agent: fleet.Agent{Name: "a1"}}); !errors.As(err, &f) || !f.Forbidden() {
		t.Fatalf("one agent reported as another: %v", err)
	}
	// A stranger speaks for nobody.
	resp, err := (&http.Client{Timeout: testTimeout}).Get("http://" + m.config.Listen + "/v1/status")
	if err == nil {
		resp.Body.Close()
		t.Fatalf("one without a certificate was answered: %s", resp.Status)
	}
	log, err := as("vic", other).Audit(ctx)
	if err != nil || len(log.Refused) != 1 || log.Refused[0].Who != "vic" {
		t.Fatalf("%v %+v", err, log.Refused)
	}
	until(t, "the stranger is in the log", func() bool {
		log, err := as("vic", m).Audit(ctx)
		return err == nil && len(log.Refused) >= 3 && strings.Contains(fmt.Sprint(log.Refused), "no certificate of this site")
	})
}

// limits says a line to an agent's limit commands and returns the whole reply, "" for none.
func limits(address, line string) string {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "%s\r\nQUIT\r\n", line)
	text, _ := io.ReadAll(conn)
	return string(text)
}

// An agent's limit commands go by what its instance runs with: they come with the
// first revision that counts them, change with the next, and outlive the agent's restart.
func TestLimitCommandsFollowTheRevision(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0")...)
	l, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	m.config.RESP.Listen = l.Addr().String()
	l.Close()
	m.start()
	at := m.config.RESP.Listen
	m.apply("1", 0, file(fine, "basic"))
	m.ended(1)
	if got := limits(at, "PING"); got != "" {
		t.Fatalf("served although the gateways don't count this front: %q", got)
	}
	counted := "\n[site.quotas]\nfronts = 1\n"
	m.apply("2", 1, file(fine, "basic")+counted)
	m.ended(2)
	until(t, "the plan of the second revision", func() bool {
		return strings.Contains(limits(at, "LIMIT.PLAN 0000000000000001 PLAN basic"), "units_per_s")
	})
	if got := limits(at, "LIMIT.TAKE 0000000000000001 1 PLAN basic"); !strings.Contains(got, "granted\r\n$1\r\n1\r\n") || !strings.Contains(got, "local") {
		t.Errorf("with no counter there: %q", got)
	}
	m.apply("3", 2, file(fine, "gold")+counted)
	m.ended(3)
	until(t, "the plan of the third", func() bool {
		return strings.Contains(limits(at, "LIMIT.PLAN 0000000000000001 PLAN basic"), `there is no plan "basic"; there are gold`)
	})
	m.end()
	if got := limits(at, "PING"); got != "" {
		t.Errorf("served by an agent that has ended: %q", got)
	}
	m.start()
	until(t, "the plan after a restart", func() bool {
		return strings.Contains(limits(at, "LIMIT.PLAN 0000000000000001 PLAN gold"), "units_per_s")
	})
}

// The front's address may be in use for a moment, by a program that is just being started or by somebody else.
func TestLimitCommandsWaitForTheirAddress(t *testing.T) {
	t.Parallel()
	m := newMachine(t, "a1", true, nil, instances(t, "g0")...)
	l, err := net.Listen("tcp", loopback.Host()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	m.config.RESP.Listen = l.Addr().String()
	m.start()
	m.apply("1", 0, file(fine, "basic")+"\n[site.quotas]\nfronts = 1\n")
	m.ended(1)
	time.Sleep(4 * limitsPollInterval) // the front has been started and has failed
	l.Close()
	until(t, "the front serves", func() bool {
		return strings.Contains(limits(m.config.RESP.Listen, "LIMIT.PLAN 0000000000000001 PLAN basic"), "units_per_s")
	})
}

// An add stands although a voter has died, and whoever asks another agent than the leader must hear that, with the name
// of the dead one, before that agent gives the call up as in doubt.
func TestAddMemberWithDeadVoterHasKnownOutcome(t *testing.T) {
	t.Parallel()
	var list []*machine
	for i := range 4 {
		var others []string
		if i > 0 {
			others = []string{list[0].config.Listen}
		}
		m := newMachine(t, fmt.Sprint("a", i), true, others, instances(t, fmt.Sprint("g", i))...)
		m.config.Timing.Heartbeat = strict.Duration(leaderTimeout/10 + 200*time.Millisecond) // a call between voters may outlast leaderTimeout
		list = append(list, m.start())
		if i == 1 || i == 2 {
			if c, err := list[0].client.AddMember(context.Background(), agentapi.ChangeRequest{Name: m.config.Name, Address: m.config.Listen}); err != nil || c.Behind != nil {
				t.Fatal(c, err)
			}
		}
	}
	list[2].end()
	c, err := list[1].client.AddMember(context.Background(), agentapi.ChangeRequest{Name: "a3", Address: list[3].config.Listen})
	if err != nil || len(c.Behind) != 1 || c.Behind[0] != "a2" {
		t.Fatalf("%+v, %v", c, err)
	}
}
