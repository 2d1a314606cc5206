package records

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever faults servers, logs, followers and their files have, a replica is always at one of
// the accepted versions and does not go back, and after the last fault all reach the newest one.
func TestFollowersConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4, 4, smallStore(t))
		server := func() *worldServer { return rapid.SampledFrom(w.servers).Draw(t, "server") }
		follower := func() *worldFollower { return rapid.SampledFrom(w.followers).Draw(t, "follower") }
		number := 0
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				number++
				operations := []Operation{urgent(number)}
				if rapid.Bool().Draw(t, "more") {
					operations = append(operations, largeRecord(number), put("service/search", serviceValue))
				}
				if _, found := w.newest.Get(key("plan/brief")); found {
					operations = append(operations, remove("plan/brief"))
				} else {
					operations = append(operations, put("plan/brief", planValue))
				}
				w.change(operations...)
			},
			"fault":   func(t *rapid.T) { w.setFault(server(), rapid.SampledFrom(faults()).Draw(t, "fault")) },
			"healthy": func(t *rapid.T) { w.setFault(server(), healthy) },
			"cut":     func(t *rapid.T) { f := follower(); f.disconnected = !f.disconnected },
			"compact": func(t *rapid.T) {
				log := &server().store.log
				log.compact(rapid.IntRange(0, len(log.entries)).Draw(t, "count"))
			},
			"restart": func(t *rapid.T) { w.restart(follower()) },
			"empty":   func(t *rapid.T) { w.start(follower(), &Replica{}) },
			"head":    func(*rapid.T) { w.announceHead() },
			"run": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 20_000).Draw(t, "milliseconds")) * time.Millisecond)
			},
		})
		for _, each := range w.servers {
			w.setFault(each, healthy)
		}
		for _, f := range w.followers {
			f.disconnected = false
		}
		w.announceHead()
		w.mustReach(time.Minute)
		w.run(30 * time.Second)
		for _, f := range w.followers {
			status := f.follower.Status(w.now)
			if age, known := status.Age(w.now); status.State != Following || !known || age > 10*time.Second {
				t.Fatalf("%s: %+v", f.name, status)
			}
		}
	})
}
