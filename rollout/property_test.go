package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAnyInterleavingConverges has random faults and commands occur at 2 to 50 instances. The bound on unavailable instances
// is checked at every assignment, and once the faults are over all instances have the wanted revision.
func TestAnyInterleavingConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := policy()
		p.Canaries = rapid.IntRange(1, 3).Draw(r, "canaries")
		p.MaxUnavailable = rapid.IntRange(1, 5).Draw(r, "unavailable")
		p.MaxSilent = rapid.IntRange(0, 3).Draw(r, "silent")
		s := newSite(t, p, rapid.IntRange(2, 50).Draw(r, "instances"))
		s.drawFaults(r)
		s.start(t)
		for range rapid.IntRange(0, 30).Draw(r, "steps") {
			s.drawEvent(r)
			s.pass(time.Duration(rapid.IntRange(1, 20).Draw(r, "seconds")) * time.Second)
		}
		s.heal()
		s.event(Resume{"a"})
		s.event(ServiceReported{1})
		s.pass(20 * time.Minute)
		status := s.m.Status()
		if !status.State.Ended() {
			r.Fatalf("%s: %s", status.State, status.Reason)
		}
		for name, n := range s.nodes {
			if n.Revision != status.Desired {
				r.Fatalf("%s: %s; %s has revision %d where %d is wanted\n%s", status.State, status.Reason, name, n.Revision, status.Desired, strings.Join(s.changes, "\n"))
			}
		}
		if status.State != Applied && status.State != RolledBack {
			r.Fatalf("without faults it ends %s: %s\n%s", status.State, status.Reason, strings.Join(s.changes, "\n"))
		}
	})
}

// drawFaults gives the instances random update durations and faults.
func (s *site) drawFaults(r *rapid.T) {
	for _, name := range s.names() {
		n := s.nodes[name]
		n.updateDuration = time.Duration(rapid.IntRange(0, 25).Draw(r, "update duration")) * time.Second
		n.dead = rapid.IntRange(0, 9).Draw(r, "dead") == 0
		switch rapid.IntRange(0, 60).Draw(r, "fault") {
		case 0:
			n.crashesWith, n.crashDelay = 2, time.Duration(rapid.IntRange(0, 20).Draw(r, "crash delay"))*time.Second
		case 1:
			n.rejects = 2
		}
	}
}

// drawEvent has one random event occur.
func (s *site) drawEvent(r *rapid.T) {
	names := s.names()
	n := s.nodes[rapid.SampledFrom(names).Draw(r, "instance")]
	switch rapid.IntRange(0, 9).Draw(r, "event") {
	case 0:
		n.dead = true
	case 1, 2:
		n.dead = false
	case 3: // it crashes
		n.Crashes++
		n.Ready, n.readyAt = false, s.now.Add(n.updateDuration)
	case 4:
		s.event(Pause{"a"})
	case 5:
		s.event(Resume{"a"})
	case 6:
		if rapid.IntRange(0, 5).Draw(r, "abort") == 0 {
			s.event(Abort{"a"})
		}
	case 7:
		name := fmt.Sprintf("new%d", len(s.nodes))
		s.nodes[name] = &fakeInstance{Observed: Observed{Revision: 1, Ready: true}, updateDuration: time.Second}
	case 8:
		if len(names) > 2 {
			removed := rapid.SampledFrom(names).Draw(r, "removed")
			delete(s.nodes, removed)
			s.event(InstanceRemoved{removed})
		}
	case 9:
		s.event(ServiceReported{rapid.Float64Range(0.5, 1).Draw(r, "service")})
	}
}
