package records

import (
	"fmt"
	"testing"
	"time"
)

// maxPropagation is the longest time in which all connected followers must apply a change.
const maxPropagation = 19 * time.Second

func urgentOperation(number int) Operation {
	return put("tenant/urgent", fmt.Sprintf(`{"plan":"gold","requests_per_second":%d}`, number+1))
}

// convergedSimulation returns a simulation with all followers at the newest version.
func convergedSimulation(t *testing.T, servers, followers int) *simulation {
	t.Helper()
	sim := newSimulation(t, servers, followers, smallStore(t))
	sim.requireConvergence(5 * time.Second)
	return sim
}

// Without changes, followers poll once per LongPollWait, distributed over the servers. They still receive a change at
// once.
func TestIdleFollowersPollSparingly(t *testing.T) {
	sim := convergedSimulation(t, 6, 60)
	for _, server := range sim.servers {
		server.requests = 0
	}
	for _, f := range sim.followers {
		f.requests, f.received = 0, 0
	}
	sim.run(10 * time.Minute)
	for _, server := range sim.servers {
		// 60 followers send a request every 8 seconds, distributed over six servers.
		if server.requests < 200 || server.requests > 1800 {
			t.Errorf("%s received %d requests, want 200 to 1800", server.name, server.requests)
		}
	}
	for _, f := range sim.followers {
		if f.requests > 80 || f.received > 80*200 {
			t.Errorf("%s sent %d requests and received %d bytes", f.name, f.requests, f.received)
		}
		status := f.follower.Status(sim.now)
		if age, known := status.Age(sim.now); status.State != Following || !known || age > 10*time.Second || status.Reason != "" {
			t.Errorf("%s: %+v", f.name, status)
		}
	}
	sim.change(urgentOperation(1))
	sim.requireConvergence(time.Second)
	for _, f := range sim.followers {
		if f.persistedVersion != sim.version || f.persistCount != 2 {
			t.Errorf("%s persisted %d times, last version %d; want 2 and %d", f.name, f.persistCount, f.persistedVersion, sim.version)
		}
	}
}

// With one change per second, each change reaches all followers within a second, at limited traffic.
func TestOneChangePerSecond(t *testing.T) {
	sim := convergedSimulation(t, 6, 6)
	for _, f := range sim.followers {
		f.received = 0
	}
	for i := range 600 {
		sim.change(urgentOperation(i))
		sim.announceHead()
		sim.run(time.Second)
		if !sim.converged() {
			t.Fatalf("change %d has not reached all followers after a second", i)
		}
	}
	for _, f := range sim.followers {
		if f.received > 600*400 {
			t.Errorf("%s received %d bytes, want at most %d", f.name, f.received, 600*400)
		}
	}
}

// With the same fault in all servers but one, a change reaches all followers in time once its version is announced.
func TestChangePropagatesDespiteFaultyServers(t *testing.T) {
	for _, fault := range faults() {
		t.Run(fault.String(), func(t *testing.T) {
			sim := convergedSimulation(t, 6, 30)
			for _, server := range sim.servers[1:] {
				sim.setFault(server, fault)
			}
			sim.run(3 * time.Second)
			sim.change(urgentOperation(1), put("service/new", serviceValue))
			sim.announceHead()
			sim.requireConvergence(maxPropagation)
			// The faulty servers have been ejected.
			sim.change(urgentOperation(2))
			sim.announceHead()
			sim.requireConvergence(maxPropagation)
			for _, server := range sim.servers {
				sim.setFault(server, healthy)
			}
			sim.change(urgentOperation(3))
			sim.announceHead()
			sim.requireConvergence(maxPropagation)
		})
	}
}

// A server that does not respond is ejected even if no new version is announced, and is used again after it recovers.
func TestUnresponsiveServerIsEjected(t *testing.T) {
	sim := convergedSimulation(t, 2, 10)
	sim.setFault(sim.servers[0], unresponsive)
	sim.change(urgentOperation(1))
	sim.requireConvergence(maxPropagation)
	sim.setFault(sim.servers[0], healthy)
	sim.servers[0].requests = 0
	sim.run(time.Minute)
	if sim.servers[0].requests == 0 {
		t.Error("no follower sends requests to the recovered server")
	}
}

// A single server whose content diverges from that of all others causes no repair.
func TestDivergentServerCausesNoRepair(t *testing.T) {
	sim := convergedSimulation(t, 3, 9)
	// The first server has different content at the same version.
	divergent := smallStore(t)
	apply(t, divergent, 2, change(urgentOperation(99)), Accepted)
	sim.servers[0].store = divergent
	sim.servers[0].applied = 1
	sim.change(urgentOperation(1))
	sim.announceHead()
	sim.requireConvergence(maxPropagation)
	sim.run(time.Minute)
	for _, f := range sim.followers {
		if f.follower.repair != nil {
			t.Errorf("%s repairs: %+v", f.name, f.follower.Status(sim.now))
		}
	}
}

// A follower's server order and start delay depend only on its name and start time, and followers with different names
// are distributed over servers and time.
func TestFollowersAreSpreadOverServersAndTime(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	first := map[string]int{}
	startTimes := map[time.Time]bool{}
	for i := range 610 {
		name := fmt.Sprintf("gateway-%d", i)
		follower := NewFollower(FollowerConfig{Name: name, Servers: names}, &Replica{}, testTime)
		again := NewFollower(FollowerConfig{Name: name, Servers: names}, &Replica{}, testTime)
		if follower.NextTick() != again.NextTick() || follower.servers.pick(testTime, false) != again.servers.pick(testTime, false) {
			t.Fatal("two followers with the same name and start time differ")
		}
		first[follower.servers.pick(testTime, false)]++
		startTimes[follower.NextTick()] = true
		if wait := follower.NextTick().Sub(testTime); wait < 0 || wait >= maxStartDelay {
			t.Fatalf("first request after %v, want less than %v", wait, maxStartDelay)
		}
	}
	for _, name := range names {
		if first[name] < 70 || first[name] > 140 {
			t.Errorf("%s is the preferred server of %d followers, want 70 to 140", name, first[name])
		}
	}
	if len(startTimes) < 600 {
		t.Errorf("%d different start times, want at least 600", len(startTimes))
	}
}

// Late, repeated and unexpected responses have no effect.
func TestStrayResponsesHaveNoEffect(t *testing.T) {
	store := smallStore(t)
	replica := &Replica{}
	follower := NewFollower(FollowerConfig{Name: "g", Servers: []string{"a", "b"}}, replica, testTime)
	body, err := EncodeChangesResponse(store.HandleChanges(ChangesRequest{}))
	if err != nil {
		t.Fatal(err)
	}
	now := follower.NextTick()
	send := follower.Handle(now, Tick{})[0].(Send)
	if actions := follower.Handle(now, Tick{}); len(actions) != 0 {
		t.Errorf("actions of a second tick: %v", actions)
	}
	if actions := follower.Handle(now, ResponseReceived{ID: send.ID + 1, Body: body}); len(actions) != 0 || replica.Version() != 0 {
		t.Errorf("actions of a response with an unknown ID: %v", actions)
	}
	late := now.Add(send.Timeout)
	if follower.NextTick() != late {
		t.Errorf("next tick at %v, want %v", follower.NextTick(), late)
	}
	actions := follower.Handle(late, Tick{})
	if len(actions) != 1 || actions[0] != (Cancel{ID: send.ID}) {
		t.Fatalf("actions at the timeout: %v, want a Cancel", actions)
	}
	if actions := follower.Handle(late, ResponseReceived{ID: send.ID, Body: body}); len(actions) != 0 || replica.Version() != 0 {
		t.Errorf("actions of a response to the cancelled request: %v", actions)
	}
	next := follower.Handle(follower.NextTick(), Tick{})[0].(Send)
	if next.Server == send.Server || next.ID == send.ID {
		t.Errorf("sent %+v again, want a new request to the other server", next)
	}
	actions = follower.Handle(follower.now, ResponseReceived{ID: next.ID, Body: body})
	if persist, ok := actions[0].(Persist); !ok || persist.Version != 1 || persist.Delta == nil || replica.Version() != 1 {
		t.Errorf("actions of the response: %+v, want a Persist of version 1", actions)
	}
	none := NewFollower(FollowerConfig{Name: "g"}, &Replica{}, testTime)
	if actions := none.Handle(testTime.Add(time.Minute), Tick{}); len(actions) != 0 || !none.NextTick().After(testTime.Add(time.Minute)) {
		t.Errorf("actions without servers: %v", actions)
	}
}
