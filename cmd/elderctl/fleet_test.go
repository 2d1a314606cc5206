package main

import (
	"context"
	"fmt"
	"testing"

	"elderyard/internal/agent"
	"elderyard/rollout"
)

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
