package main

import (
	"context"
	"encoding/json"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"elderyard/internal/agent"
	"elderyard/internal/lab"
	"elderyard/internal/peers"
	"elderyard/members"
)

// Three agents with a gateway each: the voters agree on the roster and the gateways receive it; a gateway that dies with
// its agent is unreachable for the others; one that is removed from the site is in no gateway's roster, also after a
// restart.
func TestVotersAgreeOnRoster(t *testing.T) {
	t.Parallel()
	program, err := lab.FindPeers("")
	if err != nil {
		t.Fatal(err)
	}
	l, err := lab.OpenFleet(t.Context(), lab.Site{Gateways: 3, Nodes: 1, Peers: true, Every: 200 * time.Millisecond, For: time.Minute, Log: t.Logf},
		lab.Fleet{Voters: 1, Gateway: program, Rollout: map[string]any{"waves": []float64{1}, "most_away": 3, "ready_within": "30s", "soak_for": "1s"},
			Tool: func(args ...string) *exec.Cmd { return command(context.Background(), args...) }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	until := func(what string, is func() bool) {
		t.Helper()
		for end := time.Now().Add(testTimeout); !is(); time.Sleep(100 * time.Millisecond) {
			if time.Now().After(end) {
				out, _ := l.Tool(t.Context(), 0, "instances")
				t.Fatalf("not within %v: %s\n%s", testTimeout, what, out)
			}
		}
	}
	reports := func(name string, is func(*peers.Status) bool) func() bool {
		return func() bool {
			a, err := l.Answer(t.Context(), name)
			return err == nil && is(&a)
		}
	}
	instances := func() (list []agent.InstanceStatus) {
		out, _ := l.Tool(t.Context(), 0, "instances", "--json")
		if err := json.Unmarshal([]byte(out), &list); err != nil {
			t.Logf("%v: %s", err, out)
		}
		return list
	}
	var epoch uint64
	for _, name := range []string{"g0", "g1", "g2"} {
		until(name+" has a complete view of all three", reports(name, func(a *peers.Status) bool {
			epoch = a.View.Epoch
			return a.View.Verdict == members.Complete && a.View.RosterSize == 3 && a.View.QuotaDivisor == 3
		}))
	}
	until("instances shows the view of each", func() bool {
		list := instances()
		return len(list) == 3 && !slices.ContainsFunc(list, func(i agent.InstanceStatus) bool { return !strings.HasPrefix(i.MembershipView, "whole for") })
	})
	if err := l.KillAgent(2); err != nil {
		t.Fatal(err)
	}
	if err := l.KillGateway(2); err != nil {
		t.Fatal(err)
	}
	until("g2 is unreachable from the others", func() bool {
		list := instances()
		return len(list) == 3 && slices.Equal(list[2].UnreachableFrom, []string{"g0", "g1"})
	})
	for _, name := range []string{"g0", "g1"} {
		if a, err := l.Answer(t.Context(), name); err != nil || a.View.RosterSize != 3 || a.View.SafeCount != 3 {
			t.Errorf("%s counts %d of %d: nobody has agreed that g2 left (%v)", name, a.View.SafeCount, a.View.RosterSize, err)
		}
	}
	if out, status := l.Tool(t.Context(), 0, "members", "remove", l.AgentName(2), "--agent-too"); status != 0 {
		t.Fatalf("status %d: %s", status, out)
	}
	for _, name := range []string{"g0", "g1"} {
		until(name+" has the next epoch", reports(name, func(a *peers.Status) bool {
			return a.View.Epoch > epoch && a.View.RosterSize == 2 && a.View.QuotaDivisor == 2 && a.View.Verdict == members.Complete
		}))
	}
	if err := l.KillGateway(1); err != nil {
		t.Fatal(err)
	}
	until("g1 is back with the roster that it had", reports("g1", func(a *peers.Status) bool {
		return a.View.Epoch > epoch && a.View.RosterSize == 2 && a.View.Verdict == members.Complete
	}))
}
