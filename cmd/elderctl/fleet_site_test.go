package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
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
