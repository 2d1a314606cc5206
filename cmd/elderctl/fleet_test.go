package main

import (
	"context"
	"fmt"
	"testing"

	"elderyard/internal/agentapi"
	"elderyard/rollout"
)

// TestFleet applies revisions to a fleet of real gateways under load, through faults: a machine that dies during a
// rollout, a leader that does, a leader that stalls, two operators at once, a revision that crashes the gateway later,
// and agents that are killed. The lab's auditor finds no rule broken.
func TestFleet(t *testing.T) {
	t.Parallel()
	s := openFleet(t, *fleetGateways, 3)
	ctx, stop := context.WithCancel(t.Context())
	played := make(chan error, 1)
	go func() { played <- s.Play(ctx) }() // ends with ctx

	s.applyWhileMachineDies()
	s.applyWhileLeaderDies()
	wanted := uint64(3)
	if *fleetGateways > 4 {
		s.applyWhileLeaderStalls()
		wanted++
	}
	s.applyTwiceAtOnce()
	wanted++
	s.waitForState(noInstance, rollout.Applied, wanted)
	s.applyPoisoned(wanted)
	s.restartAgents(wanted)

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

// applyWhileMachineDies kills an agent and its gateway during the rollout of revision 2.
func (s *fleetSite) applyWhileMachineDies() {
	s.t.Helper()
	last := s.gateways - 1
	done := s.startApply(1, s.revision("second", 300))
	s.waitForInstance("one is assigned the revision", func(g agentapi.InstanceStatus) bool { return g.Assigned == 2 })
	s.must(s.KillAgent(last))
	s.must(s.KillGateway(last))
	if status := <-done; status != exitPartial {
		s.t.Fatalf("status %d", status)
	}
	s.waitForState(last, rollout.PartlyApplied, 2)
	s.must(s.StartAgent(last))
	s.waitForState(noInstance, rollout.Applied, 2)
}

// applyWhileLeaderDies kills the leading agent during the rollout of revision 3.
func (s *fleetSite) applyWhileLeaderDies() {
	s.t.Helper()
	leader := s.leader()
	done := s.startApply((leader+1)%s.gateways, s.revision("third", 350))
	s.waitForInstance("one runs the revision", func(g agentapi.InstanceStatus) bool { return g.Running == 3 })
	s.must(s.KillAgent(leader))
	if status := <-done; status != exitOK && status != exitPartial {
		s.t.Fatalf("status %d", status)
	}
	s.must(s.StartAgent(leader))
	s.waitForState(noInstance, rollout.Applied, 3)
}

// applyWhileLeaderStalls stops the leading agent during the rollout of revision 4, and resumes it when another leads.
func (s *fleetSite) applyWhileLeaderStalls() {
	s.t.Helper()
	leader := s.leader()
	at := (leader + 1) % s.gateways
	done := s.startApply(at, s.revision("still", 330))
	s.waitForInstance("one runs the revision", func(g agentapi.InstanceStatus) bool { return g.Running == 4 })
	resume, err := s.StopAgent(leader)
	s.must(err)
	s.waitFor("another leads", func() bool { st := s.status(at); return st.Stale == "" && st.Leader != s.AgentName(leader) })
	s.must(resume())
	if status := <-done; status != exitOK && status != exitPartial {
		s.t.Fatalf("status %d", status)
	}
	s.waitForState(noInstance, rollout.Applied, 4)
}

// applyTwiceAtOnce applies two revisions through two agents: one is accepted, the other is a conflict.
func (s *fleetSite) applyTwiceAtOnce() {
	s.t.Helper()
	a, b := s.startApply(0, s.revision("fourth", 310)), s.startApply(s.gateways-1, s.revision("fifth", 320))
	if x, y := <-a, <-b; x+y != exitOK+exitConflict || x != exitOK && y != exitOK {
		s.t.Fatalf("statuses %d and %d", x, y)
	}
}

// applyPoisoned applies a revision that passes every check and kills the gateway later: it is rolled back.
func (s *fleetSite) applyPoisoned(wanted uint64) {
	s.t.Helper()
	var ends []func()
	for i := range s.gateways {
		ends = append(ends, s.Excuse(i, "poisoned"))
	}
	if status := <-s.startApply(2, s.revision("bad", poison)); status != exitRefused {
		s.t.Fatalf("status %d", status)
	}
	s.waitForState(noInstance, rollout.RolledBack, wanted)
	for _, end := range ends {
		end()
	}
}

// restartAgents kills and starts the leader and the last agent: no gateway restarts.
func (s *fleetSite) restartAgents(wanted uint64) {
	s.t.Helper()
	before := s.pids()
	for _, i := range []int{s.leader(), s.gateways - 1} {
		s.must(s.KillAgent(i))
		s.must(s.StartAgent(i))
	}
	s.waitForState(noInstance, rollout.RolledBack, wanted)
	if after := s.pids(); fmt.Sprint(after) != fmt.Sprint(before) {
		s.t.Errorf("gateways %v became %v", before, after)
	}
}
