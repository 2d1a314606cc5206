package records

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// With random faults of servers, compactions, disconnections and restarts, a replica always has the content of an
// accepted version, and its version does not decrease while it runs. After the last fault, all replicas reach the
// newest version.
func TestFollowersConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, 4, 4, smallStore(t))
		server := func() *simulatedServer { return rapid.SampledFrom(sim.servers).Draw(t, "server") }
		follower := func() *simulatedFollower { return rapid.SampledFrom(sim.followers).Draw(t, "follower") }
		number := 0
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				number++
				operations := []Operation{urgentOperation(number)}
				if rapid.Bool().Draw(t, "more") {
					operations = append(operations, largeRecord(number), put("service/search", serviceValue))
				}
				if _, found := sim.newest.Get(key("plan/brief")); found {
					operations = append(operations, remove("plan/brief"))
				} else {
					operations = append(operations, put("plan/brief", planValue))
				}
				sim.change(operations...)
			},
			"fault":   func(t *rapid.T) { sim.setFault(server(), rapid.SampledFrom(faults()).Draw(t, "fault")) },
			"healthy": func(t *rapid.T) { sim.setFault(server(), healthy) },
			"cut":     func(t *rapid.T) { f := follower(); f.disconnected = !f.disconnected },
			"compact": func(t *rapid.T) {
				log := &server().store.log
				log.compact(rapid.IntRange(0, len(log.entries)).Draw(t, "count"))
			},
			"restart": func(t *rapid.T) { sim.restart(follower()) },
			"empty":   func(t *rapid.T) { sim.start(follower(), &Replica{}) },
			"head":    func(*rapid.T) { sim.announceHead() },
			"run": func(t *rapid.T) {
				sim.run(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "milliseconds")) * time.Millisecond)
			},
		})
		for _, each := range sim.servers {
			sim.setFault(each, healthy)
		}
		for _, f := range sim.followers {
			f.disconnected = false
		}
		sim.announceHead()
		sim.requireConvergence(time.Minute)
		sim.run(30 * time.Second)
		for _, f := range sim.followers {
			status := f.follower.Status(sim.now)
			if age, known := status.Age(sim.now); status.State != Following || !known || age > 10*time.Second {
				t.Fatalf("%s: %+v", f.name, status)
			}
		}
	})
}
