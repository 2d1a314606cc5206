package main

import (
	"context"
	"fmt"
	"testing"

	"elderyard/internal/agentapi"
	"elderyard/rollout"
)

// TestFleet applies revisions to a fleet of real gateways under load, with faults: a machine or a leader that dies
// during a rollout, a leader that stalls, two concurrent operators, a revision that crashes the gateway once it is
// ready, and killed agents. The lab's auditor must find no broken rule.
func TestFleet(t *testing.T) {
	t.Parallel()
	s := startFleet(t, *fleetGateways, 3)
	ctx, stop := context.WithCancel(t.Context())
	played := make(chan error, 1)
	go func() { played <- s.Play(ctx) }() // ends with ctx

	s.applyWhileMachineDies()
	s.applyWhileLeaderDies()
	revision := uint64(3)
	if *fleetGateways > 4 {
		s.applyWhileLeaderStalls()
		revision++
	}
	s.applyConcurrently()
	revision++
	s.waitForState(noInstance, rollout.Applied, revision)
	s.applyCrashingRevision(revision)
	s.restartAgents(revision)

	stop()
	<-played
	verdict := s.Verdict()
	for _, finding := range verdict.Findings {
		if finding.Broken > 0 {
			t.Errorf("%s: broken %d times: %v", finding.Rule, finding.Broken, finding.Evidence)
		}
	}
	t.Logf("service %.3f; %+v", verdict.Service, verdict.Counts)
}

// applyWhileMachineDies kills an agent and its gateway during the rollout of revision 2.
func (s *fleetSite) applyWhileMachineDies() {
	s.t.Helper()
	last := s.gateways - 1
	done := s.startApply(1, s.revision("second", 300))
	s.waitForInstance("an instance is assigned the revision", func(g agentapi.InstanceStatus) bool { return g.Assigned == 2 })
	s.mustSucceed(s.KillAgent(last))
	s.mustSucceed(s.KillGateway(last))
	if status := <-done; status != exitPartial {
		s.t.Fatalf("status %d", status)
	}
	s.waitForState(last, rollout.PartlyApplied, 2)
	s.mustSucceed(s.StartAgent(last))
	s.waitForState(noInstance, rollout.Applied, 2)
}

// applyWhileLeaderDies kills the leading agent during the rollout of revision 3.
func (s *fleetSite) applyWhileLeaderDies() {
	s.t.Helper()
	leader := s.leader()
	done := s.startApply((leader+1)%s.gateways, s.revision("third", 350))
	s.waitForInstance("an instance runs the revision", func(g agentapi.InstanceStatus) bool { return g.Running == 3 })
	s.mustSucceed(s.KillAgent(leader))
	if status := <-done; status != exitOK && status != exitPartial {
		s.t.Fatalf("status %d", status)
	}
	s.mustSucceed(s.StartAgent(leader))
	s.waitForState(noInstance, rollout.Applied, 3)
}

// applyWhileLeaderStalls pauses the leading agent during the rollout of revision 4, and resumes it when another one
// leads.
func (s *fleetSite) applyWhileLeaderStalls() {
	s.t.Helper()
	leader := s.leader()
	at := (leader + 1) % s.gateways
	done := s.startApply(at, s.revision("still", 330))
	s.waitForInstance("an instance runs the revision", func(g agentapi.InstanceStatus) bool { return g.Running == 4 })
	resume, err := s.StopAgent(leader)
	s.mustSucceed(err)
	s.waitFor("another agent leads", func() bool { st := s.status(at); return st.Stale == "" && st.Leader != s.AgentName(leader) })
	s.mustSucceed(resume())
	if status := <-done; status != exitOK && status != exitPartial {
		s.t.Fatalf("status %d", status)
	}
	s.waitForState(noInstance, rollout.Applied, 4)
}

// applyConcurrently applies two revisions through two agents: one must be accepted, the other is a conflict.
func (s *fleetSite) applyConcurrently() {
	s.t.Helper()
	a, b := s.startApply(0, s.revision("fourth", 310)), s.startApply(s.gateways-1, s.revision("fifth", 320))
	if firstStatus, secondStatus := <-a, <-b; firstStatus+secondStatus != exitOK+exitConflict || firstStatus != exitOK && secondStatus != exitOK {
		s.t.Fatalf("statuses %d and %d", firstStatus, secondStatus)
	}
}

// applyCrashingRevision applies a revision that passes every check and crashes the gateway later. It must be rolled
// back.
func (s *fleetSite) applyCrashingRevision(revision uint64) {
	s.t.Helper()
	var ends []func()
	for i := range s.gateways {
		ends = append(ends, s.Excuse(i, "poisoned"))
	}
	if status := <-s.startApply(2, s.revision("bad", crashHeapGrow)); status != exitRefused {
		s.t.Fatalf("status %d", status)
	}
	s.waitForState(noInstance, rollout.RolledBack, revision)
	for _, end := range ends {
		end()
	}
}

// restartAgents kills and starts the leader and the last agent. No gateway may restart.
func (s *fleetSite) restartAgents(revision uint64) {
	s.t.Helper()
	before := s.pids()
	for _, i := range []int{s.leader(), s.gateways - 1} {
		s.mustSucceed(s.KillAgent(i))
		s.mustSucceed(s.StartAgent(i))
	}
	s.waitForState(noInstance, rollout.RolledBack, revision)
	if after := s.pids(); fmt.Sprint(after) != fmt.Sprint(before) {
		s.t.Errorf("gateway processes %v became %v", before, after)
	}
}
