package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"elderyard/internal/agent"
	"elderyard/internal/lab"
	"elderyard/rollout"
)

var (
	fleetGateways = flag.Int("fleet-gateways", 4, "gateways of the fleet's test on the lab, each with an agent")
	fleetRate     = flag.Float64("fleet-rate", 60, "requests a second on them")
)

const (
	// asPoisoned has this test binary run the gateway that the next variable names,
	// and kill it some time later if its operator's file holds a certain figure: a
	// revision that passes every check and ends the gateway after it was ready.
	asPoisoned  = "ELDERCTL_TEST_AS_POISONED"
	poison      = 401
	poisonAfter = 700 * time.Millisecond
)

// runPoisoned becomes the gateway.
func runPoisoned() error {
	program := os.Getenv(asPoisoned)
	text, err := os.ReadFile(os.Getenv("ELDERYARD_SITE"))
	if err != nil {
		return err
	}
	if strings.Contains(string(text), strconv.Itoa(poison)) {
		killer := exec.Command("/bin/sh", "-c", fmt.Sprintf("sleep %g; kill -9 %d", poisonAfter.Seconds(), os.Getpid()))
		if err := killer.Start(); err != nil {
			return err
		}
	}
	return syscall.Exec(program, []string{program}, os.Environ())
}

// fleetSite is a fleet under load.
type fleetSite struct {
	t *testing.T
	*lab.Lab
	n int
}

func openFleet(t *testing.T, n, voters int) *fleetSite {
	t.Helper()
	program := gateway(t)
	l, err := lab.OpenFleet(t.Context(), lab.Site{Gateways: n, Nodes: 6, Rate: *fleetRate, For: 10 * time.Minute, Log: t.Logf},
		lab.Fleet{Voters: voters, Gateway: os.Args[0],
			Tool: func(args ...string) *exec.Cmd {
				cmd := exec.Command(os.Args[0], args...)
				cmd.Env = append(os.Environ(), asTool+"=1", asPoisoned+"=")
				if len(args) > 1 && args[0] == "agent" { // its gateways are the poisoned one
					cmd.Env = append(os.Environ(), asTool+"=1", asPoisoned+"="+program)
				}
				return cmd
			},
			Rollout: map[string]any{"waves": []float64{0.5, 1}, "most_away": max(1, n/4), "ready_within": "15s", "soak_for": "1s", "silent_after": "4s", "rollback_within": "1m"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return &fleetSite{t, l, n}
}

// revision writes a revision whose heap_grow is so many percent.
func (s *fleetSite) revision(name string, grow int) []string {
	s.t.Helper()
	path, overlays, err := s.WriteRevision(name, func(file map[string]any) {
		file["site"] = map[string]any{"memory": map[string]any{"heap_grow": grow}}
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return append([]string{"apply", path}, overlays...)
}

func (s *fleetSite) status(at int) (st agent.Status) {
	out, _ := s.Tool(s.t.Context(), at, "status", "--json")
	out, _, _ = strings.Cut(out, "\nelderctl:")
	json.Unmarshal([]byte(out), &st)
	return st
}

func (s *fleetSite) until(what string, is func() bool) {
	s.t.Helper()
	for limit := time.Now().Add(testTimeout); !is(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			s.t.Fatalf("never: %s\n%+v\n%s", what, s.status(0), s.AgentOutput(0))
		}
	}
}

// agree holds every agent that runs to one stated state.
func (s *fleetSite) agree(but int, want rollout.State, running uint64) {
	s.t.Helper()
	for i := range s.n {
		if i == but {
			continue
		}
		var st agent.Status
		s.until(fmt.Sprintf("agent %d says %s", i, want), func() bool {
			st = s.status(i)
			for _, g := range st.Instances {
				if at, _ := strconv.Atoi(g.Name[1:]); at != but && (g.Running != running || !g.Ready) {
					return false
				}
			}
			return st.Stale == "" && st.Rollout.State == want && len(st.Instances) == s.n
		})
		if st.Wanted != running {
			s.t.Fatalf("agent %d: %d is wanted, not %d", i, st.Wanted, running)
		}
	}
}

func (s *fleetSite) pids() (list []int) {
	for i := range s.n {
		list = append(list, s.PID(i))
	}
	return list
}

// push runs an apply beside what the test does.
func (s *fleetSite) push(at int, args []string) <-chan int {
	done := make(chan int, 1)
	go func() {
		out, status := s.Tool(s.t.Context(), at, args...)
		s.t.Logf("apply at agent %d ended with %d:\n%s", at, status, out)
		done <- status
	}()
	return done
}

func (s *fleetSite) some(what string, is func(agent.InstanceStatus) bool) {
	s.t.Helper()
	s.until(what, func() bool {
		for _, g := range s.status(s.n - 1).Instances {
			if is(g) {
				return true
			}
		}
		return false
	})
}

// TestFleet plays what an operator fears to a fleet of real gateways under load:
// a machine that dies in a push, a leader that does, two operators at once, a
// revision that crashes the gateway later, and an agent that is killed.
func TestFleet(t *testing.T) {
	t.Parallel()
	s := openFleet(t, *fleetGateways, 3)
	ctx, stop := context.WithCancel(t.Context())
	played := make(chan error, 1)
	go func() { played <- s.Play(ctx) }()

	// A machine dies in a push: its agent and its gateway.
	last := s.n - 1
	done := s.push(1, s.revision("second", 300))
	s.some("one takes it", func(g agent.InstanceStatus) bool { return g.Assigned == 2 })
	if err := s.KillAgent(last); err != nil {
		t.Fatal(err)
	}
	if err := s.KillGateway(last); err != nil {
		t.Fatal(err)
	}
	if status := <-done; status != exitPartly {
		t.Fatalf("status %d", status)
	}
	s.agree(last, rollout.PartlyApplied, 2)
	if err := s.StartAgent(last); err != nil {
		t.Fatal(err)
	}
	s.agree(-1, rollout.Applied, 2)

	// The leader dies in a push.
	leader := s.leader()
	at := (leader + 1) % s.n
	done = s.push(at, s.revision("third", 350))
	s.some("one has it", func(g agent.InstanceStatus) bool { return g.Running == 3 })
	if err := s.KillAgent(leader); err != nil {
		t.Fatal(err)
	}
	if status := <-done; status != exitOK && status != exitPartly {
		t.Fatalf("status %d", status)
	}
	if err := s.StartAgent(leader); err != nil {
		t.Fatal(err)
	}
	s.agree(-1, rollout.Applied, 3)

	// The leader stands still in a push, and wakes when another leads.
	running := 3
	if *fleetGateways > 4 {
		running++
		leader = s.leader()
		at = (leader + 1) % s.n
		done = s.push(at, s.revision("still", 330))
		s.some("one has it", func(g agent.InstanceStatus) bool { return g.Running == 4 })
		resume, err := s.StopAgent(leader)
		if err != nil {
			t.Fatal(err)
		}
		s.until("another leads", func() bool { st := s.status(at); return st.Stale == "" && st.Leader != s.AgentName(leader) })
		if err := resume(); err != nil {
			t.Fatal(err)
		}
		if status := <-done; status != exitOK && status != exitPartly {
			t.Fatalf("status %d", status)
		}
		s.agree(-1, rollout.Applied, 4)
	}

	// Two operators push at once, through two agents.
	a, b := s.push(0, s.revision("fourth", 310)), s.push(last, s.revision("fifth", 320))
	if x, y := <-a, <-b; x+y != exitOK+exitConflict || x != exitOK && y != exitOK {
		t.Fatalf("statuses %d and %d", x, y)
	}
	running++
	s.agree(-1, rollout.Applied, uint64(running))

	// A revision passes every check and kills the gateway later.
	var ends []func()
	for i := range s.n {
		ends = append(ends, s.Excuse(i, "poisoned"))
	}
	if status := <-s.push(2, s.revision("bad", poison)); status != exitRefused {
		t.Fatalf("status %d", status)
	}
	s.agree(-1, rollout.RolledBack, uint64(running))
	for _, end := range ends {
		end()
	}

	// An agent is killed and starts again: no gateway does.
	before := s.pids()
	for _, i := range []int{s.leader(), last} {
		if err := s.KillAgent(i); err != nil {
			t.Fatal(err)
		}
		if err := s.StartAgent(i); err != nil {
			t.Fatal(err)
		}
	}
	s.agree(-1, rollout.RolledBack, uint64(running))
	if after := s.pids(); fmt.Sprint(after) != fmt.Sprint(before) {
		t.Errorf("gateways %v became %v", before, after)
	}

	stop()
	<-played
	v := s.Verdict()
	for _, f := range v.Findings {
		if f.Broken > 0 {
			t.Errorf("%s: broken %d times: %v", f.Rule, f.Broken, f.Evidence)
		}
	}
	t.Logf("service %.3f; %+v", v.Service, v.Counts)
}

// TestFleetVerbs has the tool do on a small site all that a push is not.
func TestFleetVerbs(t *testing.T) {
	t.Parallel()
	s := openFleet(t, 2, 1)
	run := func(want int, args ...string) string {
		t.Helper()
		out, status := s.Tool(t.Context(), 0, args...)
		if status != want {
			t.Fatalf("%v: status %d, want %d\n%s\n%s", args, status, want, out, s.AgentOutput(0))
		}
		return out
	}
	says := func(out string, want ...string) {
		t.Helper()
		for _, w := range want {
			if !strings.Contains(out, w) {
				t.Fatalf("no %q in\n%s", w, out)
			}
		}
	}
	second := s.revision("second", 300)
	says(run(exitOK, append([]string{"plan"}, second[1:]...)...), "+heap_grow = 300", "g0", "restart")
	says(run(exitOK, append([]string{"check", "--all"}, second[1:]...)...), "g1")
	run(exitOK, append(second, "--message", "larger heap")...)
	says(run(exitOK, append(second, "--message", "again")...), "revision 2 says this already")
	says(run(exitConflict, append(s.revision("third", 200), "--parent", "1")...), "revision 2 came first", "-heap_grow = 300", "nothing was changed")
	says(run(exitOK, "history"), "2 *", "larger heap")
	says(run(exitOK, "show", "2"), "heap_grow = 300", "overlay of g1")
	says(run(exitOK, "diff", "1", "2"), "+heap_grow = 300")
	says(run(exitRefused, "show", "77"), "revision 77 is not in the history")
	says(run(exitRefused, "abort"), "can't be aborted")
	says(run(exitOK, "status"), "wanted revision 2", "applied", "g1")
	var st agent.Status
	if err := json.Unmarshal([]byte(run(exitOK, "status", "--json")), &st); err != nil || st.Wanted != 2 || len(st.Instances) != 2 {
		t.Fatalf("%v %+v", err, st)
	}
	saved := filepath.Join(t.TempDir(), "saved")
	run(exitOK, "snapshot", "save", saved)

	before := s.pids()
	run(exitOK, "restart", "--rolling")
	s.agree(-1, rollout.Applied, 3)
	s.until("both have other processes", func() bool { now := s.pids(); return now[0] != before[0] && now[1] != before[1] })
	run(exitOK, "rollback", "1")
	s.agree(-1, rollout.Applied, 4)
	says(run(exitOK, "diff", "1", "4"), "no difference")

	run(exitOK, "drain", "g1")
	s.until("g1 is down", func() bool { st := s.status(0); return st.Instances[1].PID == 0 && st.Instances[1].Drained })
	run(exitOK, "undrain", "g1")
	s.agree(-1, rollout.Applied, 4)
	says(run(exitRefused, "drain", "g9"), "there is no instance g9")
	says(run(exitRefused, "members", "remove", "a0"), "the only voter")
	says(run(exitOK, "members", "list"), "voter, leads", "a1")

	run(exitOK, "snapshot", "restore", saved)
	s.agree(-1, rollout.Applied, 2)
	says(run(exitOK, "audit"), "larger heap", "a saved state was restored", "refused: ")
	if status, out, _ := tool(t, "completion", "bash"); status != exitOK || !strings.Contains(out, "elderctl") {
		t.Fatal(out)
	}
}

func (s *fleetSite) leader() int {
	name := ""
	s.until("one leads", func() bool {
		st := s.status(s.n - 1)
		name = st.Leader
		return st.Stale == "" && name != ""
	})
	i, err := strconv.Atoi(name[1:])
	if err != nil {
		s.t.Fatal(err)
	}
	return i
}

// TestFleetVerbsWithBadInput: whatever is wrong, the error is clear, the status
// is the documented one, and nothing changes.
func TestFleetVerbsWithBadInput(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	huge := write("huge", strings.Repeat("#", 300<<10))
	hostile := write("hostile", "[gateway.settings]\nrank = \"\x00\"\n")
	wrongKey := write("wrong", "[gateway]\ndiscvery = 'x'\n")
	nobody := filepath.Join(dir, "none.sock")
	for _, c := range []struct {
		status int
		want   string
		args   []string
	}{
		{exitUsage, "accepts 1 arg", []string{"check"}},
		{exitUsage, "no such file", []string{"check", filepath.Join(dir, "nothing")}},
		{exitUsage, "is a folder", []string{"check", dir}},
		{exitUsage, "more than 262144 bytes", []string{"check", huge}},
		{exitUsage, "hostile", []string{"check", hostile}},
		{exitUsage, `did you mean "discovery"`, []string{"check", wrongKey}},
		{exitUsage, "NAME=FILE", []string{"check", wrongKey, "--overlay", "x"}},
		{exitUsage, "no agent is named", []string{"status", "--agent", ""}},
		{exitUnreachable, "can't be reached", []string{"status", "--agent", nobody}},
		{exitUnreachable, "can't be reached", []string{"apply", wrongKey, "--agent", nobody}},
		{exitUnreachable, "can't be reached", []string{"status", "--agent", "127.0.0.1:1", "--plain"}},
		{exitUsage, "loopback", []string{"status", "--agent", "192.0.2.1:1", "--plain"}},
		{exitUsage, "authority", []string{"status", "--agent", "127.0.0.1:1"}},
		{exitUsage, "is no revision's number", []string{"show", "x", "--agent", nobody}},
		{exitUsage, "is no revision's number", []string{"diff", "1", "0", "--agent", nobody}},
		{exitUsage, "say --rolling", []string{"restart", "--agent", nobody}},
		{exitUsage, "accepts 1 arg", []string{"drain", "--agent", nobody}},
		{exitUsage, "accepts 2 arg", []string{"members", "add", "x", "--agent", nobody}},
		{exitUsage, "snapshot", []string{"snapshot", "restore", huge, "--agent", nobody}},
		{exitUsage, "unknown flag", []string{"history", "--what"}},
		{exitUsage, "name what to do", []string{"members"}},
		{exitUsage, "agent's file", []string{"agent", "run", filepath.Join(dir, "nothing")}},
		{exitUsage, "wrong:1: gateway", []string{"agent", "run", wrongKey}},
		{exitUsage, "NAME=HOST:PORT", []string{"agent", "init", filepath.Join(dir, "a"), "--instance", "x"}},
		{exitUsage, "instance[0].listen", []string{"agent", "init", filepath.Join(dir, "b"), "--instance", "x=y"}},
		{exitUsage, "role", []string{"ca", "issue", "x", "--dir", dir, "--role", "king"}},
		{exitUsage, "a name has letters", []string{"ca", "issue", "../x", "--dir", dir, "--role", "viewer"}},
		{exitUsage, "no such file", []string{"ca", "renew", "x", "--dir", dir}},
	} {
		status, out, errs := tool(t, c.args...)
		if status != c.status || !strings.Contains(errs, c.want) || strings.Contains(errs, "panic") {
			t.Errorf("%v: status %d, want %d; %q, want %q\n%s", c.args, status, c.status, errs, c.want, out)
		}
	}
	list, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range list {
		if strings.HasSuffix(e.Name(), ".pem") || strings.HasSuffix(e.Name(), "agent.toml") {
			t.Errorf("%s was left", e.Name())
		}
	}
}
