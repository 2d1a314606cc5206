package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/internal/loopback"
	"elderyard/internal/pki"
	"elderyard/internal/process"
	"elderyard/internal/strict"
	"elderyard/revisions"
	"elderyard/rollout"
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
		at, err := loopback.FreeAddress()
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

// addVoter makes another agent's store a voter, and waits until all voters have that. An election meanwhile, as on a
// machine with too few cores, leaves the call unanswered or its outcome unknown; the same call again changes nothing.
func (m *machine) addVoter(other *machine) {
	m.t.Helper()
	request := agentapi.ChangeRequest{Name: other.config.Name, Address: other.config.Listen}
	until(m.t, request.Name+" is a voter", func() bool {
		change, err := m.client.AddMember(context.Background(), request)
		return err == nil && change.Behind == nil
	})
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

// site starts three voters and an agent that only follows, each with one gateway.
func newSite(t *testing.T) (list []*machine) {
	t.Helper()
	first := newMachine(t, "a0", true, nil, instances(t, "g0")...).start()
	list = append(list, first)
	for i := 1; i < 4; i++ {
		m := newMachine(t, fmt.Sprint("a", i), i < 3, []string{first.config.Listen}, instances(t, fmt.Sprint("g", i))...).start()
		list = append(list, m)
		if i < 3 {
			first.addVoter(m)
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

// issueCertificates makes an authority and certificates by name, and returns the files
// of one.
func issueCertificates(t *testing.T, roles map[string]pki.Role) func(name string) pki.Files {
	t.Helper()
	ca := filepath.Join(t.TempDir(), "ca")
	if err := pki.Init(ca); err != nil {
		t.Fatal(err)
	}
	for name, role := range roles {
		if err := pki.Issue(ca, name, role, 30); err != nil {
			t.Fatal(err)
		}
	}
	return func(name string) pki.Files {
		return pki.Files{CA: filepath.Join(ca, "ca.pem"), Cert: filepath.Join(ca, name+".pem"), Key: filepath.Join(ca, name+"-key.pem")}
	}
}
