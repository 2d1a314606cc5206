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
	fakeGatewayEnv = "AGENT_TEST_AS_GATEWAY"
	testTimeout    = time.Minute
	// The discovery address in the configuration selects the behavior of a fake gateway.
	healthyGateway    = "127.0.0.1:1"
	crashingGateway   = "127.0.0.1:2" // panics soon after it became ready
	neverReadyGateway = "127.0.0.1:3"
	exitingGateway    = "127.0.0.1:4" // exits at once
)

func TestMain(m *testing.M) {
	if os.Getenv(fakeGatewayEnv) != "" {
		if err := runFakeGateway(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	if os.Getenv(voterProcessEnv) != "" {
		if err := runVoter(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// runFakeGateway serves the readiness check and handles signals like a gateway. It exits
// when its parent, the test's process, has ended.
func runFakeGateway() error {
	var c struct{ Listen, Discovery string }
	loadConfig := func() error {
		text, err := os.ReadFile(os.Getenv("EDGE_CONFIG"))
		if err != nil {
			return err
		}
		return json.Unmarshal(text, &c)
	}
	if err := loadConfig(); err != nil {
		return err
	}
	if c.Discovery == exitingGateway {
		return errors.New("configured to exit at once")
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	crash := make(chan bool, 1)
	go http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.Discovery == neverReadyGateway {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		if c.Discovery == crashingGateway {
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
			if err := loadConfig(); err != nil {
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

// revisionFile returns the content of a revision.
func revisionFile(discovery, plan string) string {
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

// testAgent is one agent of a test.
type testAgent struct {
	t      testing.TB
	config Config
	cancel context.CancelFunc
	done   chan error
	client *agentapi.Client
}

// newInstances returns instances with these names, free addresses and fake gateways.
func newInstances(t testing.TB, names ...string) (list []InstanceEntry) {
	for _, n := range names {
		address, err := loopback.FreeAddress()
		if err != nil {
			t.Fatal(err)
		}
		list = append(list, InstanceEntry{Name: n, Listen: address, Env: []string{fakeGatewayEnv + "=1"}})
	}
	return list
}

// newTestAgent returns an agent that is not started yet. voters are the addresses of voters.
func newTestAgent(t testing.TB, name string, voter bool, voters []string, list ...InstanceEntry) *testAgent {
	t.Helper()
	dir, err := os.MkdirTemp("", "agent") // the path must be short: the length of a socket's path is limited
	if err != nil {
		t.Fatal(err)
	}
	c := defaults()
	d := func(d time.Duration) strict.Duration { return strict.Duration(d) }
	address := loopback.Host() + ":0"
	c.Name, c.Dir, c.Listen, c.Advertise, c.Plain, c.Voter, c.Voters, c.Gateway, c.Instances = name, dir, address, address, true, voter, voters, os.Args[0], list
	c.Socket = filepath.Join(dir, "agent.sock")
	c.Timing.Report, c.Timing.Heartbeat, c.Timing.Settle, c.Timing.FetchTimeout = d(50*time.Millisecond), d(500*time.Millisecond), d(2*time.Second), d(3*time.Second)
	c.Timing.InitialBackoff = d(100 * time.Millisecond)
	agent := &testAgent{t: t, config: c}
	t.Cleanup(func() {
		agent.stop()
		for _, e := range list { // kill the gateways that the agent has left running
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
	return agent
}

// start starts the agent and waits until it responds. It retries while the address is in use: all tests run in one
// process, and a child that another test has just forked holds a copy of a closed listener until it executes its
// program.
func (agent *testAgent) start() *testAgent {
	agent.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		err := agent.startOnce()
		if err == nil {
			break
		}
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			agent.t.Fatal(err)
		}
	}
	var err error
	if agent.client, err = agentapi.NewClient(agentapi.Target{Socket: agent.config.Socket}); err != nil {
		agent.t.Fatal(err)
	}
	waitFor(agent.t, agent.config.Name+" responds", func() bool { _, err := agent.client.Status(context.Background()); return err == nil })
	return agent
}

// startOnce runs the agent until stop is called. If the agent ends before it listens, startOnce returns its error, and
// there is nothing to stop.
func (agent *testAgent) startOnce() error {
	ctx, cancel := context.WithCancel(context.Background())
	started := make(chan string, 1)
	if agent.config.Listen == "" {
		started <- ""
	}
	config, done := agent.config, make(chan error, 1)
	go func() {
		done <- Run(ctx, config, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Started: func(address string) { started <- address }})
	}()
	select {
	case address := <-started:
		agent.config.Listen, agent.config.Advertise = address, address
		agent.cancel, agent.done = cancel, done
		return nil
	case err := <-done:
		cancel()
		return err
	}
}

// addVoter makes another agent a voter and waits until all voters have applied that. An election meanwhile, as on a
// machine with too few cores, makes the call fail or its outcome unknown; repeating the call is safe.
func (agent *testAgent) addVoter(other *testAgent) {
	agent.t.Helper()
	request := agentapi.ChangeRequest{Name: other.config.Name, Address: other.config.Listen}
	waitFor(agent.t, request.Name+" is a voter", func() bool {
		change, err := agent.client.AddMember(context.Background(), request)
		return err == nil && change.Behind == nil
	})
}

// stop stops the agent and leaves its gateways running.
func (agent *testAgent) stop() {
	if agent.cancel != nil {
		agent.cancel()
		if err := <-agent.done; err != nil {
			agent.t.Error(err)
		}
		agent.client.Close()
		agent.cancel = nil
	}
}

// waitFor polls a condition and fails the test if it does not hold within testTimeout.
func waitFor(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}

// status returns the state of the site from the leader.
func (agent *testAgent) status() agentapi.Status {
	agent.t.Helper()
	var s agentapi.Status
	waitFor(agent.t, "the leader responds with a status", func() bool {
		var err error
		s, err = agent.client.Status(context.Background())
		return err == nil && s.Stale == ""
	})
	return s
}

// apply applies a content with an idempotency key and returns the result.
func (agent *testAgent) apply(request string, parent uint64, text string) agentapi.ApplyResult {
	agent.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	result, err := agent.client.Apply(ctx, agentapi.ApplyRequest{IdempotencyKey: request, Parent: parent, Content: &revisions.Content{File: text}, Message: "test"})
	if err != nil {
		agent.t.Fatal(err)
	}
	return result
}

// waitRolloutEnd waits for the end of the rollout of a revision.
func (agent *testAgent) waitRolloutEnd(n uint64) agentapi.Status {
	agent.t.Helper()
	var s agentapi.Status
	waitFor(agent.t, fmt.Sprintf("the rollout of revision %d has ended", n), func() bool {
		s = agent.status()
		return s.Rollout.New == n && s.Rollout.State.Ended()
	})
	return s
}

// requireAll fails the test unless the rollout has a state and all instances are ready with
// a revision.
func (agent *testAgent) requireAll(s agentapi.Status, want rollout.State, running uint64) {
	agent.t.Helper()
	if s.Rollout.State != want {
		agent.t.Fatalf("%s (%s), want %s: %+v", s.Rollout.State, s.Rollout.Reason, want, s.Instances)
	}
	for _, i := range s.Instances {
		if i.Running != running || !i.Ready {
			agent.t.Fatalf("%s runs %d and is %s, want %d: %+v", i.Name, i.Running, i.State, running, i)
		}
	}
}

// gatewayPIDs returns the process ids of the gateways by instance.
func gatewayPIDs(s agentapi.Status) map[string]int {
	list := map[string]int{}
	for _, i := range s.Instances {
		list[i.Name] = i.PID
	}
	return list
}

// startSite starts three voters and an agent that is no voter, each with one gateway.
func startSite(t *testing.T) (list []*testAgent) {
	t.Helper()
	first := newTestAgent(t, "a0", true, nil, newInstances(t, "g0")...).start()
	list = append(list, first)
	for i := 1; i < 4; i++ {
		agent := newTestAgent(t, fmt.Sprint("a", i), i < 3, []string{first.config.Listen}, newInstances(t, fmt.Sprint("g", i))...).start()
		list = append(list, agent)
		if i < 3 {
			first.addVoter(agent)
		}
	}
	// The last agent must know all voters, so that it can work without the first.
	list[3].stop()
	list[3].config.Voters = []string{list[0].config.Listen, list[1].config.Listen, list[2].config.Listen}
	list[3].start()
	waitFor(t, "all instances are enrolled", func() bool { return len(list[3].status().Instances) == 4 })
	return list
}

// splitLeader returns the leader and the other agents of a site.
func splitLeader(list []*testAgent) (leader *testAgent, others []*testAgent) {
	name := list[3].status().Leader
	for _, agent := range list {
		if agent.config.Name == name {
			leader = agent
		} else {
			others = append(others, agent)
		}
	}
	return leader, others
}

// issueCertificates creates a certificate authority and a certificate for each name. The
// returned function returns the files of one of them.
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
