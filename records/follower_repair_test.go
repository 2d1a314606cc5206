package records

import (
	"fmt"
	"testing"
	"time"
)

// A disconnected follower retains its version and reports its state. Once it is connected again, it repairs only the
// ranges that differ, since the servers have compacted their logs in the meantime.
func TestFollowerRepairsAfterDisconnection(t *testing.T) {
	sim := newSimulation(t, 3, 4, largeStore(t, 1000))
	sim.requireConvergence(2 * time.Minute)
	sim.run(time.Minute)
	last := sim.version
	f := sim.followers[0]
	f.disconnected = true
	for i := range 300 {
		sim.change(urgentOperation(i), put(fmt.Sprintf("plan/p%d", i%5), planValue), put("service/x", fmt.Sprintf(`{"class":"c%d"}`, i)))
		sim.run(time.Second)
	}
	if !sim.converged() {
		t.Fatal("the connected followers have not converged")
	}
	status := f.follower.Status(sim.now)
	if age, known := status.Age(sim.now); status.State != Disconnected || status.Version != last || !known || age < 280*time.Second || status.Reason == "" {
		t.Errorf("disconnected: %+v, age %v", status, age)
	}
	if f.requests > 400 {
		t.Errorf("sent %d requests while disconnected, want at most 400", f.requests)
	}
	for _, server := range sim.servers {
		server.store.log.compact(len(server.store.log.entries))
	}
	f.disconnected = false
	f.received = 0
	sim.announceHead()
	sim.requireConvergence(maxPropagation)
	if f.received > 20_000 {
		t.Errorf("received %d bytes to repair a few ranges, want at most 20,000", f.received)
	}
	if status := f.follower.Status(sim.now); status.State != Following || status.Reason != "" {
		t.Errorf("%+v", status)
	}
}

// An empty replica is repaired within its traffic budget. When servers fail, the repair resumes with the ranges that
// were already fetched.
func TestRepairStaysWithinBudget(t *testing.T) {
	const bytesPerSecond = 1000
	sim := newSimulation(t, 3, 0, largeStore(t, 3000))
	sim.bytesPerSecond = bytesPerSecond
	for _, server := range sim.servers {
		server.store.log.compact(len(server.store.log.entries))
	}
	for i := range 3 {
		sim.addFollower(fmt.Sprintf("gateway-%d", i), &Replica{})
	}
	// One response, a compressed chunk, may exceed the budget.
	budget := func(elapsed time.Duration) int {
		return 4*bytesPerSecond + int(elapsed.Seconds()*bytesPerSecond) + chunkRequestBytes/4
	}
	start := sim.now
	for second := range 200 {
		if sim.converged() {
			break
		}
		// The servers fail one after the other and recover.
		for i, server := range sim.servers {
			sim.setFault(server, healthy)
			if second/7%3 == i {
				sim.setFault(server, refusing)
			}
		}
		if second%5 == 0 {
			sim.change(urgentOperation(second))
		}
		sim.run(time.Second)
		for _, f := range sim.followers {
			if limit := budget(sim.now.Sub(start)); f.received > limit {
				t.Fatalf("%s received %d bytes in %v, the budget is %d", f.name, f.received, sim.now.Sub(start), limit)
			}
		}
	}
	sim.requireConvergence(maxPropagation)
	for _, f := range sim.followers {
		if f.received < 40_000 || f.received > 90_000 {
			t.Errorf("%s received %d bytes, want 40,000 to 90,000", f.name, f.received)
		}
	}
	t.Logf("repaired 3,000 records in %v with %d bytes", sim.now.Sub(start), sim.followers[0].received)
}

// Guards against a long repair that delays new changes: while it runs, the follower finds a server that still has the
// changes since the replica's version, and applies them first.
func TestChangesHavePriorityOverRepair(t *testing.T) {
	sim := newSimulation(t, 2, 0, largeStore(t, 2000))
	sim.bytesPerSecond = 500
	replica := fullReplica(t, sim.newest)
	var bulk []Operation
	for i := range 2000 {
		bulk = append(bulk, put(fmt.Sprintf("tenant/bulk-%d", i), fmt.Sprintf(`{"plan":"free","burst":%d}`, i+1)))
	}
	sim.change(bulk...)
	compacted, complete := sim.servers[0], sim.servers[1]
	compacted.store.log.compact(len(compacted.store.log.entries))
	sim.setFault(complete, refusing)
	f := sim.addFollower("gateway", replica)
	sim.run(10 * time.Second)
	if status := f.follower.Status(sim.now); status.State != Repairing || status.RangesPending == 0 {
		t.Fatalf("%+v", status)
	}
	sim.setFault(complete, healthy)
	sim.setFault(compacted, refusing)
	sim.change(urgentOperation(1))
	sim.announceHead()
	sim.requireConvergence(maxPropagation)
	if status := f.follower.Status(sim.now); status.State != Following {
		t.Errorf("%+v", status)
	}
}

// All followers apply a change of 5,000 records in time, and so they do a small one right after it.
func TestLargeChangeDoesNotDelayNextChange(t *testing.T) {
	sim := convergedSimulation(t, 6, 6)
	var bulk []Operation
	for i := range 5000 {
		bulk = append(bulk, largeRecord(i))
	}
	sim.change(bulk...)
	sim.requireConvergence(maxPropagation)
	sim.change(urgentOperation(1))
	sim.requireConvergence(maxPropagation)
}

// A replica is repaired if all servers have a different digest of its version.
func TestDivergentReplicaIsRepaired(t *testing.T) {
	sim := newSimulation(t, 3, 0, smallStore(t))
	divergent := smallStore(t)
	apply(t, divergent, 2, change(urgentOperation(99)), Accepted)
	replica := fullReplica(t, divergent)
	sim.change(urgentOperation(1))
	sim.change(urgentOperation(2))
	sim.accepted[2] = divergent.Digest() // so that check accepts the divergent replica
	f := sim.addFollower("gateway", replica)
	sim.requireConvergence(maxPropagation)
	if status := f.follower.Status(sim.now); status.State != Following || status.Reason != "" {
		t.Errorf("%+v", status)
	}
}
