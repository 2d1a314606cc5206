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

	"elderyard/internal/agentapi"
	"elderyard/internal/lab"
	"elderyard/rollout"
)

var (
	fleetGateways = flag.Int("fleet-gateways", 4, "gateways of the fleet's test on the lab, each with an agent")
	fleetRate     = flag.Float64("fleet-rate", 60, "requests a second on them")
)

const (
	// asPoisoned has this test binary run the gateway that the next variable names,
	// and kill it some time later if its operator's file condition a certain figure: a
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
	gateways int // each with an agent
}

// noInstance is the index of no instance.
const noInstance = -1

// openFleet starts a fleet with so many gateways and voters, and ends it with the test.
func openFleet(t *testing.T, gateways, voters int) *fleetSite {
	t.Helper()
	program := gateway(t)
	l, err := lab.OpenFleet(t.Context(), lab.Site{Gateways: gateways, Nodes: 6, Rate: *fleetRate, For: 10 * time.Minute, Log: t.Logf},
		lab.Fleet{Voters: voters, Gateway: os.Args[0],
			Tool: func(args ...string) *exec.Cmd {
				cmd := exec.Command(os.Args[0], args...)
				cmd.Env = append(os.Environ(), asTool+"=1", asPoisoned+"=")
				if len(args) > 1 && args[0] == "agent" { // its gateways are the poisoned one
					cmd.Env = append(os.Environ(), asTool+"=1", asPoisoned+"="+program)
				}
				return cmd
			},
			Rollout: map[string]any{"waves": []float64{0.5, 1}, "most_away": max(1, gateways/4), "ready_within": "15s", "soak_for": "1s", "silent_after": "4s", "rollback_within": "1m"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return &fleetSite{t, l, gateways}
}

// revision writes a revision whose heap_grow is so many percent, and returns the arguments that apply it.
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

// status returns what an agent says of the site, or the zero status if it does not answer.
func (s *fleetSite) status(at int) (st agentapi.Status) {
	out, _ := s.Tool(s.t.Context(), at, "status", "--json")
	out, _, _ = strings.Cut(out, "\nelderctl:")
	json.Unmarshal([]byte(out), &st)
	return st
}

// waitFor polls until the condition condition.
func (s *fleetSite) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for limit := time.Now().Add(testTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			s.t.Fatalf("never: %s\n%+v\n%s", what, s.status(0), s.AgentOutput(0))
		}
	}
}

// waitForState waits until every agent, but for one that is down, reports the state of the rollout and every other
// instance ready with the revision.
func (s *fleetSite) waitForState(down int, want rollout.State, running uint64) {
	s.t.Helper()
	for i := range s.gateways {
		if i == down {
			continue
		}
		var st agentapi.Status
		s.waitFor(fmt.Sprintf("agent %d says %s", i, want), func() bool {
			st = s.status(i)
			for _, g := range st.Instances {
				if at, _ := strconv.Atoi(g.Name[1:]); at != down && (g.Running != running || !g.Ready) {
					return false
				}
			}
			return st.Stale == "" && st.Rollout.State == want && len(st.Instances) == s.gateways
		})
		if st.Desired != running {
			s.t.Fatalf("agent %d: %d is wanted, not %d", i, st.Desired, running)
		}
	}
}

// must fails the test on an error.
func (s *fleetSite) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *fleetSite) pids() (list []int) {
	for i := range s.gateways {
		list = append(list, s.PID(i))
	}
	return list
}

// startApply runs an apply at an agent while the test goes on, and sends its exit status.
func (s *fleetSite) startApply(at int, args []string) <-chan int {
	done := make(chan int, 1)
	go func() {
		out, status := s.Tool(s.t.Context(), at, args...)
		s.t.Logf("apply at agent %d ended with %d:\n%s", at, status, out)
		done <- status
	}()
	return done
}

// waitForInstance waits until the condition condition for one instance, by the last agent's status.
func (s *fleetSite) waitForInstance(what string, condition func(agentapi.InstanceStatus) bool) {
	s.t.Helper()
	s.waitFor(what, func() bool {
		for _, g := range s.status(s.gateways - 1).Instances {
			if condition(g) {
				return true
			}
		}
		return false
	})
}

// leader returns the index of the leading agent.
func (s *fleetSite) leader() int {
	name := ""
	s.waitFor("an agent leads", func() bool {
		st := s.status(s.gateways - 1)
		name = st.Leader
		return st.Stale == "" && name != ""
	})
	i, err := strconv.Atoi(name[1:])
	if err != nil {
		s.t.Fatal(err)
	}
	return i
}
