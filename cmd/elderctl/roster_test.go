package main

import (
	"context"
	"encoding/json"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/internal/lab"
	"elderyard/internal/peers"
	"elderyard/members"
)

// rosterSite is a site of three agents, each with a gateway of elderyard-peers.
type rosterSite struct {
	t *testing.T
	*lab.Lab
}

func startRosterSite(t *testing.T) *rosterSite {
	t.Helper()
	program, err := lab.FindPeers("")
	if err != nil {
		t.Fatal(err)
	}
	testLab, err := lab.OpenFleet(t.Context(), lab.Site{Gateways: 3, Nodes: 1, Peers: true, Every: 200 * time.Millisecond, For: time.Minute, Log: t.Logf},
		lab.Fleet{Voters: 1, Gateway: program, Rollout: map[string]any{"waves": []float64{1}, "most_away": 3, "ready_within": "30s", "soak_for": "1s"},
			Tool: func(args ...string) *exec.Cmd { return command(context.Background(), args...) }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(testLab.Close)
	return &rosterSite{t, testLab}
}

// waitFor polls until the condition holds.
func (s *rosterSite) waitFor(what string, condition func() bool) {
	s.t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			out, _ := s.Tool(s.t.Context(), 0, "instances")
			s.t.Fatalf("not within %v: %s\n%s", testTimeout, what, out)
		}
	}
}

// reports returns a function that checks a condition on the status of a gateway.
func (s *rosterSite) reports(name string, condition func(*peers.Status) bool) func() bool {
	return func() bool {
		status, err := s.Answer(s.t.Context(), name)
		return err == nil && condition(&status)
	}
}

func (s *rosterSite) instances() (list []agentapi.InstanceStatus) {
	out, _ := s.Tool(s.t.Context(), 0, "instances", "--json")
	if err := json.Unmarshal([]byte(out), &list); err != nil {
		s.t.Logf("%v: %s", err, out)
	}
	return list
}

// With three agents and a gateway each, the voters agree on the roster and the gateways receive it. A gateway that dies
// with its agent is unreachable for the others. One that is removed from the site is in no gateway's roster, also after
// a restart.
func TestVotersAgreeOnRoster(t *testing.T) {
	t.Parallel()
	s := startRosterSite(t)
	var epoch uint64
	for _, name := range []string{"g0", "g1", "g2"} {
		s.waitFor(name+" has a complete view of all three", s.reports(name, func(status *peers.Status) bool {
			epoch = status.View.Epoch
			return status.View.Verdict == members.Complete && status.View.RosterSize == 3 && status.View.QuotaDivisor == 3
		}))
	}
	s.waitFor("instances shows the view of each", func() bool {
		list := s.instances()
		return len(list) == 3 && !slices.ContainsFunc(list, func(i agentapi.InstanceStatus) bool { return !strings.HasPrefix(i.MembershipView, "whole for") })
	})
	if err := s.KillAgent(2); err != nil {
		t.Fatal(err)
	}
	if err := s.KillGateway(2); err != nil {
		t.Fatal(err)
	}
	s.waitFor("g2 is unreachable from the others", func() bool {
		list := s.instances()
		return len(list) == 3 && slices.Equal(list[2].UnreachableFrom, []string{"g0", "g1"})
	})
	for _, name := range []string{"g0", "g1"} {
		if status, err := s.Answer(t.Context(), name); err != nil || status.View.RosterSize != 3 || status.View.SafeCount != 3 {
			t.Errorf("%s counts %d of %d: nobody has agreed that g2 left (%v)", name, status.View.SafeCount, status.View.RosterSize, err)
		}
	}
	if out, status := s.Tool(t.Context(), 0, "members", "remove", s.AgentName(2), "--agent-too"); status != 0 {
		t.Fatalf("status %d: %s", status, out)
	}
	for _, name := range []string{"g0", "g1"} {
		s.waitFor(name+" has the next epoch", s.reports(name, func(status *peers.Status) bool {
			return status.View.Epoch > epoch && status.View.RosterSize == 2 && status.View.QuotaDivisor == 2 && status.View.Verdict == members.Complete
		}))
	}
	if err := s.KillGateway(1); err != nil {
		t.Fatal(err)
	}
	s.waitFor("g1 is back with the roster that it had", s.reports("g1", func(status *peers.Status) bool {
		return status.View.Epoch > epoch && status.View.RosterSize == 2 && status.View.Verdict == members.Complete
	}))
}
