package agent

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/internal/process"
	"elderyard/internal/replica"
	"elderyard/revisions"
	"elderyard/rollout"
)

// A restart of the agent must leave its gateways running, and the new agent must notice
// when one of them ends.
func TestGatewaysSurviveAgentRestart(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1")...).start()
	agent.apply("1", 0, revisionFile(healthyGateway, "basic"))
	before := gatewayPIDs(agent.waitRolloutEnd(1))
	agent.stop()
	for name, pid := range before {
		if process.StartTime(pid) == "" {
			t.Fatalf("gateway %s ended with its agent", name)
		}
	}
	agent.start()
	waitFor(t, "both gateways are adopted", func() bool {
		s := agent.status()
		return s.Wave > 0 && s.Instances[0].Ready && s.Instances[1].Ready && s.Instances[0].Running == 1
	})
	if now := gatewayPIDs(agent.status()); now["g0"] != before["g0"] || now["g1"] != before["g1"] {
		t.Fatalf("process ids are %v after the restart, were %v before", now, before)
	}
	// The new agent notices the end of a gateway that it has not started itself.
	syscall.Kill(before["g0"], syscall.SIGKILL)
	waitFor(t, "g0 is restarted", func() bool {
		s := agent.status()
		return s.Instances[0].Ready && s.Instances[0].PID != before["g0"] && s.Instances[0].Crashes == 1
	})
}

// If the leader stops during a rollout, the next leader must complete it.
func TestLeaderStopsDuringRollout(t *testing.T) {
	t.Parallel()
	list := startSite(t)
	list[3].apply("1", 0, revisionFile(healthyGateway, "basic"))
	list[3].requireAll(list[3].waitRolloutEnd(1), rollout.Applied, 1)
	leader, rest := splitLeader(list)
	list[3].apply("2", 1, revisionFile(healthyGateway, "gold"))
	waitFor(t, "one instance runs revision 2", func() bool {
		for _, i := range list[3].status().Instances {
			if i.Running == 2 {
				return true
			}
		}
		return false
	})
	leader.stop()
	s := list[3].waitRolloutEnd(2)
	if s.Leader == leader.config.Name {
		t.Fatal("the stopped agent is still the leader")
	}
	if s.Rollout.State != rollout.PartlyApplied && s.Rollout.State != rollout.Applied {
		t.Fatalf("%+v", s.Rollout)
	}
	for _, agent := range rest {
		if other := agent.status(); other.Rollout != s.Rollout && other.Rollout.New != 2 || other.Desired != 2 {
			t.Fatalf("%s reports %+v, another agent %+v", agent.config.Name, other.Rollout, s.Rollout)
		}
	}
	leader.start()
	waitFor(t, "the rollout is applied after the restart", func() bool {
		s = leader.status()
		return s.Rollout.State == rollout.Applied
	})
	leader.requireAll(s, rollout.Applied, 2)
	if n := len(s.Instances); n != 4 {
		t.Fatalf("%d instances, want 4", n)
	}
}

// An agent whose voter's log is damaged must fail with an error that names the file, and
// leave its gateways running.
func TestDamagedVoterReportsItAndGatewayRuns(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...).start()
	agent.apply("1", 0, revisionFile(healthyGateway, "basic"))
	pid := gatewayPIDs(agent.waitRolloutEnd(1))["g0"]
	agent.stop()
	path := filepath.Join(agent.config.Dir, "voter", replica.LogFileName)
	if err := os.Truncate(path, 20000); err != nil {
		t.Fatal(err)
	}
	err := Run(context.Background(), agent.config, Options{Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	if err == nil || !strings.Contains(err.Error(), path+" is damaged: it is cut short") {
		t.Fatal(err)
	}
	if process.StartTime(pid) == "" {
		t.Fatal("the gateway has ended")
	}
}

// Agents without a majority of voters must accept no changes and serve the state that they
// know, marked as stale.
func TestPartitionedAgentsServeStaleStatus(t *testing.T) {
	t.Parallel()
	list := startSite(t)
	list[0].apply("1", 0, revisionFile(healthyGateway, "basic"))
	before := gatewayPIDs(list[0].waitRolloutEnd(1))
	agent := list[0]
	stale := func() agentapi.Status {
		var s agentapi.Status
		waitFor(t, "the status is marked as stale", func() bool {
			var err error
			s, err = agent.client.Status(context.Background())
			return err == nil && s.Stale != ""
		})
		return s
	}
	// One voter of three has no majority.
	list[1].stop()
	list[2].stop()
	if s := stale(); len(s.Instances) != 4 || s.Desired != 1 || s.Rollout.State != rollout.Applied {
		t.Fatalf("%+v", s)
	}
	var f *agentapi.Failure
	applyCtx, cancelApply := context.WithTimeout(context.Background(), time.Second)
	defer cancelApply()
	if _, err := agent.client.Apply(applyCtx, agentapi.ApplyRequest{IdempotencyKey: "1b", Parent: 1, Content: &revisions.Content{File: revisionFile(healthyGateway, "gold")}}); err == nil {
		t.Fatal("a minority accepted a change")
	}
	if err := agent.client.Do(context.Background(), "drain", agentapi.ChangeRequest{Name: "g0"}); !errors.As(err, &f) || f.Refused() {
		t.Fatalf("a minority drained an instance: %v", err)
	}
	agent.stop()
	agent = list[3]
	if s := stale(); len(s.Instances) != 1 || !s.Instances[0].Ready || s.Instances[0].Running != 1 {
		t.Fatalf("%+v", s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := agent.client.Apply(ctx, agentapi.ApplyRequest{IdempotencyKey: "2", Parent: 1, Content: &revisions.Content{File: revisionFile(healthyGateway, "gold")}}); err == nil {
		t.Fatal("an agent accepted a change without voters")
	}
	// After a restart of the machine without a leader, the last revision is started.
	agent.stop()
	syscall.Kill(before["g3"], syscall.SIGKILL)
	waitFor(t, "g3 has ended", func() bool { return process.StartTime(before["g3"]) == "" })
	agent.start()
	waitFor(t, "g3 is ready again", func() bool {
		s := stale()
		return s.Instances[0].Ready && s.Instances[0].Running == 1 && s.Instances[0].PID != before["g3"]
	})
}

// If the voters have lost their state, the gateways of the previous site must keep running
// until the rollout of the new site reaches them.
func TestNewSiteKeepsRunningGateways(t *testing.T) {
	t.Parallel()
	agent := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1")...).start()
	agent.apply("1", 0, revisionFile(healthyGateway, "basic"))
	before := gatewayPIDs(agent.waitRolloutEnd(1))
	agent.stop()
	if err := os.RemoveAll(filepath.Join(agent.config.Dir, "voter")); err != nil {
		t.Fatal(err)
	}
	agent.start()
	waitFor(t, "both gateways are adopted", func() bool {
		s := agent.status()
		return len(s.Instances) == 2 && s.Instances[0].Ready && s.Instances[1].Ready
	})
	// The new site's first revision has the same number as the running one, and other content.
	agent.apply("2", 0, strings.Replace(revisionFile(healthyGateway, "gold"), `soak_for = "500ms"`, `soak_for = "2s"`, 1))
	waitFor(t, "the first wave runs the new revision", func() bool { s := agent.status(); return s.Instances[0].PID != before["g0"] && s.Instances[0].Ready })
	if process.StartTime(before["g1"]) == "" {
		t.Fatal("the gateway without an order has ended")
	}
	agent.requireAll(agent.waitRolloutEnd(1), rollout.Applied, 1)
	waitFor(t, "both instances run the new revision", func() bool {
		s := agent.status()
		return s.Instances[1].PID != before["g1"] && s.Instances[0].Ready && s.Instances[1].Ready
	})
}
