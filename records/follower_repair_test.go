package records

import (
	"fmt"
	"testing"
	"time"
)

// A follower that is cut off retains its version and reports the state, and afterwards repairs
// the ranges that differ, since the log has been compacted meanwhile.
func TestFollowerReturnsAfterBeingCutOff(t *testing.T) {
	w := newWorld(t, 3, 4, largeStore(t, 1000))
	w.mustReach(2 * time.Minute)
	w.run(time.Minute)
	last := w.version
	f := w.followers[0]
	f.disconnected = true
	for i := range 300 {
		w.change(urgent(i), put(fmt.Sprintf("plan/p%d", i%5), planValue), put("service/x", fmt.Sprintf(`{"class":"c%d"}`, i)))
		w.run(time.Second)
	}
	if !w.everywhere() {
		t.Fatal("the others have not gone on")
	}
	status := f.follower.Status(w.now)
	if age, known := status.Age(w.now); status.State != Disconnected || status.Version != last || !known || age < 280*time.Second || status.Reason == "" {
		t.Errorf("%+v, age %v", status, age)
	}
	if f.requests > 400 {
		t.Errorf("sent %d requests", f.requests)
	}
	for _, server := range w.servers {
		server.store.log.compact(len(server.store.log.entries))
	}
	f.disconnected = false
	f.received = 0
	w.announceHead()
	w.mustReach(maxPropagation)
	if f.received > 20_000 {
		t.Errorf("received %d bytes for a few ranges", f.received)
	}
	if status := f.follower.Status(w.now); status.State != Following || status.Reason != "" {
		t.Errorf("%+v", status)
	}
}

// An empty replica is repaired within its budget, and resumes with the ranges that it has
// fetched when servers fail.
func TestRepairStaysWithinBudget(t *testing.T) {
	const bytesPerSecond = 1000
	w := newWorld(t, 3, 0, largeStore(t, 3000))
	w.bytesPerSecond = bytesPerSecond
	for _, server := range w.servers {
		server.store.log.compact(len(server.store.log.entries))
	}
	for i := range 3 {
		w.addFollower(fmt.Sprintf("gateway-%d", i), &Replica{})
	}
	// One response may go beyond the budget: a chunk, compressed.
	budget := func(elapsed time.Duration) int {
		return 4*bytesPerSecond + int(elapsed.Seconds()*bytesPerSecond) + chunkRequestBytes/4
	}
	start := w.now
	for second := range 200 {
		if w.everywhere() {
			break
		}
		// Every server fails in turn and recovers.
		for i, server := range w.servers {
			w.setFault(server, healthy)
			if second/7%3 == i {
				w.setFault(server, refusing)
			}
		}
		if second%5 == 0 {
			w.change(urgent(second))
		}
		w.run(time.Second)
		for _, f := range w.followers {
			if limit := budget(w.now.Sub(start)); f.received > limit {
				t.Fatalf("%s received %d bytes in %v, the budget is %d", f.name, f.received, w.now.Sub(start), limit)
			}
		}
	}
	w.mustReach(maxPropagation)
	for _, f := range w.followers {
		if f.received < 40_000 || f.received > 90_000 {
			t.Errorf("%s received %d bytes", f.name, f.received)
		}
	}
	t.Logf("3,000 records in %v, %d bytes", w.now.Sub(start), w.followers[0].received)
}

// During a long repair, a server that has the changes since the replica's version is found, and
// they are applied first.
func TestChangesGoBeforeRepairRanges(t *testing.T) {
	w := newWorld(t, 2, 0, largeStore(t, 2000))
	w.bytesPerSecond = 500
	replica := fullReplica(t, w.newest)
	var bulk []Operation
	for i := range 2000 {
		bulk = append(bulk, put(fmt.Sprintf("tenant/bulk-%d", i), fmt.Sprintf(`{"plan":"free","burst":%d}`, i+1)))
	}
	w.change(bulk...)
	compacted, complete := w.servers[0], w.servers[1]
	compacted.store.log.compact(len(compacted.store.log.entries))
	w.setFault(complete, refusing)
	f := w.addFollower("gateway", replica)
	w.run(10 * time.Second)
	if status := f.follower.Status(w.now); status.State != Repairing || status.RangesPending == 0 {
		t.Fatalf("%+v", status)
	}
	w.setFault(complete, healthy)
	w.setFault(compacted, refusing)
	w.change(urgent(1))
	w.announceHead()
	w.mustReach(maxPropagation)
	if status := f.follower.Status(w.now); status.State != Following {
		t.Errorf("%+v", status)
	}
}

// One change of 5,000 records is everywhere in time, and so is an urgent one after it.
func TestLargeChangeDelaysNoUrgentOne(t *testing.T) {
	w := settledWorld(t, 6, 6)
	var bulk []Operation
	for i := range 5000 {
		bulk = append(bulk, largeRecord(i))
	}
	w.change(bulk...)
	w.mustReach(maxPropagation)
	w.change(urgent(1))
	w.mustReach(maxPropagation)
}

// A replica whose digest is disputed by all servers is repaired.
func TestReplicaWithAnotherDigestIsRepaired(t *testing.T) {
	w := newWorld(t, 3, 0, smallStore(t))
	forged := smallStore(t)
	apply(t, forged, 2, change(urgent(99)), Accepted)
	replica := fullReplica(t, forged)
	w.change(urgent(1))
	w.change(urgent(2))
	w.accepted[2] = forged.Digest() // the version of the replica
	f := w.addFollower("gateway", replica)
	w.mustReach(maxPropagation)
	if status := f.follower.Status(w.now); status.State != Following || status.Reason != "" {
		t.Errorf("%+v", status)
	}
}
