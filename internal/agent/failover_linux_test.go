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

func TestGatewaysSurviveAgentRestart(t *testing.T) {
	t.Parallel()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1")...).start()
	m.apply("1", 0, revisionFile(healthyGateway, "basic"))
	before := gatewayPIDs(m.waitRolloutEnd(1))
	m.stop()
	for name, pid := range before {
		if process.StartTime(pid) == "" {
			t.Fatalf("%s died with its agent", name)
		}
	}
	m.start()
	waitFor(t, "both are known", func() bool {
		s := m.status()
		return s.Wave > 0 && s.Instances[0].Ready && s.Instances[1].Ready && s.Instances[0].Running == 1
	})
	if now := gatewayPIDs(m.status()); now["g0"] != before["g0"] || now["g1"] != before["g1"] {
		t.Fatalf("%v became %v", before, now)
	}
	// The new agent sees the end of one that it did not start.
	syscall.Kill(before["g0"], syscall.SIGKILL)
	waitFor(t, "g0 is started again", func() bool {
		s := m.status()
		return s.Instances[0].Ready && s.Instances[0].PID != before["g0"] && s.Instances[0].Crashes == 1
	})
}

func TestLeaderStopsDuringRollout(t *testing.T) {
	t.Parallel()
	list := startSite(t)
	list[3].apply("1", 0, revisionFile(healthyGateway, "basic"))
	list[3].requireAll(list[3].waitRolloutEnd(1), rollout.Applied, 1)
	leader, rest := splitLeader(list)
	list[3].apply("2", 1, revisionFile(healthyGateway, "gold"))
	waitFor(t, "one has it", func() bool {
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
		t.Fatal("the dead one leads")
	}
	if s.Rollout.State != rollout.PartlyApplied && s.Rollout.State != rollout.Applied {
		t.Fatalf("%+v", s.Rollout)
	}
	for _, m := range rest {
		if other := m.status(); other.Rollout != s.Rollout && other.Rollout.New != 2 || other.Desired != 2 {
			t.Fatalf("%s says %+v, another %+v", m.config.Name, other.Rollout, s.Rollout)
		}
	}
	leader.start()
	waitFor(t, "the one that was away has it", func() bool {
		s = leader.status()
		return s.Rollout.State == rollout.Applied
	})
	leader.requireAll(s, rollout.Applied, 2)
	if n := len(s.Instances); n != 4 {
		t.Fatal(n)
	}
}

func TestDamagedVoterReportsItAndGatewayRuns(t *testing.T) {
	t.Parallel()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0")...).start()
	m.apply("1", 0, revisionFile(healthyGateway, "basic"))
	pid := gatewayPIDs(m.waitRolloutEnd(1))["g0"]
	m.stop()
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

func TestPartitionedAgentsServeStaleStatus(t *testing.T) {
	t.Parallel()
	list := startSite(t)
	list[0].apply("1", 0, revisionFile(healthyGateway, "basic"))
	before := gatewayPIDs(list[0].waitRolloutEnd(1))
	m := list[0]
	stale := func() agentapi.Status {
		var s agentapi.Status
		waitFor(t, "it says that it is cut off", func() bool {
			var err error
			s, err = m.client.Status(context.Background())
			return err == nil && s.Stale != ""
		})
		return s
	}
	// One voter of three is a minority: it takes nothing, and shows what it knows.
	list[1].stop()
	list[2].stop()
	if s := stale(); len(s.Instances) != 4 || s.Desired != 1 || s.Rollout.State != rollout.Applied {
		t.Fatalf("%+v", s)
	}
	var f *agentapi.Failure
	short, cancelShort := context.WithTimeout(context.Background(), time.Second)
	defer cancelShort()
	if _, err := m.client.Apply(short, agentapi.ApplyRequest{IdempotencyKey: "1b", Parent: 1, Content: &revisions.Content{File: revisionFile(healthyGateway, "gold")}}); err == nil {
		t.Fatal("a minority took a change")
	}
	if err := m.client.Do(context.Background(), "drain", agentapi.ChangeRequest{Name: "g0"}); !errors.As(err, &f) || f.Refused() {
		t.Fatalf("a minority drained: %v", err)
	}
	m.stop()
	m = list[3]
	if s := stale(); len(s.Instances) != 1 || !s.Instances[0].Ready || s.Instances[0].Running != 1 {
		t.Fatalf("%+v", s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, err := m.client.Apply(ctx, agentapi.ApplyRequest{IdempotencyKey: "2", Parent: 1, Content: &revisions.Content{File: revisionFile(healthyGateway, "gold")}}); err == nil {
		t.Fatal("a site without voters took a change")
	}
	// Its machine goes down and up: without a leader, what ran last runs again.
	m.stop()
	syscall.Kill(before["g3"], syscall.SIGKILL)
	waitFor(t, "g3 has ended", func() bool { return process.StartTime(before["g3"]) == "" })
	m.start()
	waitFor(t, "g3 serves again", func() bool {
		s := stale()
		return s.Instances[0].Ready && s.Instances[0].Running == 1 && s.Instances[0].PID != before["g3"]
	})
}

// TestNewSiteKeepsRunningGateways: voters lost all they had, and the gateways of
// the site before still run.
func TestNewSiteKeepsRunningGateways(t *testing.T) {
	t.Parallel()
	m := newTestAgent(t, "a1", true, nil, newInstances(t, "g0", "g1")...).start()
	m.apply("1", 0, revisionFile(healthyGateway, "basic"))
	before := gatewayPIDs(m.waitRolloutEnd(1))
	m.stop()
	if err := os.RemoveAll(filepath.Join(m.config.Dir, "voter")); err != nil {
		t.Fatal(err)
	}
	m.start()
	waitFor(t, "both are known", func() bool {
		s := m.status()
		return len(s.Instances) == 2 && s.Instances[0].Ready && s.Instances[1].Ready
	})
	// The new site's first revision has the number of what runs, and says something else.
	m.apply("2", 0, strings.Replace(revisionFile(healthyGateway, "gold"), `soak_for = "500ms"`, `soak_for = "2s"`, 1))
	waitFor(t, "the canary has it", func() bool { s := m.status(); return s.Instances[0].PID != before["g0"] && s.Instances[0].Ready })
	if process.StartTime(before["g1"]) == "" {
		t.Fatal("the one that was not told has ended")
	}
	m.requireAll(m.waitRolloutEnd(1), rollout.Applied, 1)
	waitFor(t, "both have the new one", func() bool {
		s := m.status()
		return s.Instances[1].PID != before["g1"] && s.Instances[0].Ready && s.Instances[1].Ready
	})
}
