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
	// runAsCrashingGateway makes this test binary run the gateway program in the variable's value, and kill it after
	// crashDelay if its site file contains crashHeapGrow: a revision that passes every check and crashes the gateway
	// once it is ready.
	runAsCrashingGateway = "ELDERCTL_TEST_AS_POISONED"
	crashHeapGrow        = 401
	crashDelay           = 700 * time.Millisecond
)

// runCrashingGateway replaces this process with the gateway.
func runCrashingGateway() error {
	program := os.Getenv(runAsCrashingGateway)
	text, err := os.ReadFile(os.Getenv("ELDERYARD_SITE"))
	if err != nil {
		return err
	}
	if strings.Contains(string(text), strconv.Itoa(crashHeapGrow)) {
		killer := exec.Command("/bin/sh", "-c", fmt.Sprintf("sleep %g; kill -9 %d", crashDelay.Seconds(), os.Getpid()))
		if err := killer.Start(); err != nil {
			return err
		}
	}
	return syscall.Exec(program, []string{program}, os.Environ())
}

// fleetSite is a fleet under load in a lab.
type fleetSite struct {
	t *testing.T
	*lab.Lab
	gateways int // each with an agent
}

// noInstance is an index that no instance has.
const noInstance = -1

// startFleet starts a fleet with the given numbers of gateways and voters, and stops it at the end of the test.
func startFleet(t *testing.T, gateways, voters int) *fleetSite {
	t.Helper()
	program := gateway(t)
	testLab, err := lab.OpenFleet(t.Context(), lab.Site{Gateways: gateways, Nodes: 6, Rate: *fleetRate, For: 10 * time.Minute, Log: t.Logf},
		lab.Fleet{Voters: voters, Gateway: os.Args[0],
			Tool: func(args ...string) *exec.Cmd {
				cmd := exec.Command(os.Args[0], args...)
				cmd.Env = append(os.Environ(), runAsTool+"=1", runAsCrashingGateway+"=")
				if len(args) > 1 && args[0] == "agent" { // its gateways run as crashing gateways
					cmd.Env = append(os.Environ(), runAsTool+"=1", runAsCrashingGateway+"="+program)
				}
				return cmd
			},
			Rollout: map[string]any{"waves": []float64{0.5, 1}, "most_away": max(1, gateways/4), "ready_within": "15s", "soak_for": "1s", "silent_after": "4s", "rollback_within": "1m"}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(testLab.Close)
	return &fleetSite{t, testLab, gateways}
}

// revision writes a revision with the given heap_grow in percent, and returns the arguments that apply it.
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

// status returns the status of the site from an agent, the zero status if the agent does not respond.
func (s *fleetSite) status(at int) (status agentapi.Status) {
	out, _ := s.Tool(s.t.Context(), at, "status", "--json")
	out, _, _ = strings.Cut(out, "\nelderctl:")
	json.Unmarshal([]byte(out), &status)
	return status
}

// waitFor polls until the condition is true.
func (s *fleetSite) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for limit := time.Now().Add(testTimeout); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			s.t.Fatalf("timed out before %s\n%+v\n%s", what, s.status(0), s.AgentOutput(0))
		}
	}
}

// waitForState waits until every agent except the one that is down reports the state of the rollout, and all other
// instances ready with the revision.
func (s *fleetSite) waitForState(down int, want rollout.State, running uint64) {
	s.t.Helper()
	for i := range s.gateways {
		if i == down {
			continue
		}
		var status agentapi.Status
		s.waitFor(fmt.Sprintf("agent %d reports %s", i, want), func() bool {
			status = s.status(i)
			for _, instance := range status.Instances {
				if at, _ := strconv.Atoi(instance.Name[1:]); at != down && (instance.Running != running || !instance.Ready) {
					return false
				}
			}
			return status.Stale == "" && status.Rollout.State == want && len(status.Instances) == s.gateways
		})
		if status.Desired != running {
			s.t.Fatalf("agent %d: desired revision %d, want %d", i, status.Desired, running)
		}
	}
}

// mustSucceed fails the test on an error.
func (s *fleetSite) mustSucceed(err error) {
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

// startApply starts an apply at an agent and returns a channel that receives its exit status.
func (s *fleetSite) startApply(at int, args []string) <-chan int {
	done := make(chan int, 1)
	go func() {
		out, status := s.Tool(s.t.Context(), at, args...)
		s.t.Logf("apply at agent %d ended with %d:\n%s", at, status, out)
		done <- status
	}()
	return done
}

// waitForInstance waits until the condition is true for an instance in the last agent's status.
func (s *fleetSite) waitForInstance(what string, condition func(agentapi.InstanceStatus) bool) {
	s.t.Helper()
	s.waitFor(what, func() bool {
		for _, instance := range s.status(s.gateways - 1).Instances {
			if condition(instance) {
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
		status := s.status(s.gateways - 1)
		name = status.Leader
		return status.Stale == "" && name != ""
	})
	i, err := strconv.Atoi(name[1:])
	if err != nil {
		s.t.Fatal(err)
	}
	return i
}
