package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAnyInterleavingConverges runs rollouts to 2 to 50 instances with random faults and commands. No assignment may
// exceed MaxUnavailable, and once all faults have cleared, all instances must have the desired revision.
func TestAnyInterleavingConverges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		policy := testPolicy()
		policy.Canaries = rapid.IntRange(1, 3).Draw(r, "canaries")
		policy.MaxUnavailable = rapid.IntRange(1, 5).Draw(r, "unavailable")
		policy.MaxSilent = rapid.IntRange(0, 3).Draw(r, "silent")
		s := newSite(t, policy, rapid.IntRange(2, 50).Draw(r, "instances"))
		s.drawFaults(r)
		s.start(t)
		for range rapid.IntRange(0, 30).Draw(r, "steps") {
			s.drawEvent(r)
			s.advance(time.Duration(rapid.IntRange(1, 20).Draw(r, "seconds")) * time.Second)
		}
		s.clearFaults()
		s.handle(Resume{"a"})
		s.handle(ServiceReported{1})
		s.advance(20 * time.Minute)
		status := s.machine.Status()
		if !status.State.Ended() {
			r.Fatalf("%s: %s", status.State, status.Reason)
		}
		for name, inst := range s.instances {
			if inst.Revision != status.Desired {
				r.Fatalf("%s: %s; %s has revision %d, want %d\n%s", status.State, status.Reason, name, inst.Revision, status.Desired, strings.Join(s.transitions, "\n"))
			}
		}
		if status.State != Applied && status.State != RolledBack {
			r.Fatalf("after all faults cleared the rollout is %s: %s\n%s", status.State, status.Reason, strings.Join(s.transitions, "\n"))
		}
	})
}

// drawFaults draws the update durations and faults of the instances.
func (s *site) drawFaults(r *rapid.T) {
	for _, name := range s.names() {
		inst := s.instances[name]
		inst.updateDuration = time.Duration(rapid.IntRange(0, 25).Draw(r, "update duration")) * time.Second
		inst.dead = rapid.IntRange(0, 9).Draw(r, "dead") == 0
		switch rapid.IntRange(0, 60).Draw(r, "fault") {
		case 0:
			inst.crashesOnRevision, inst.crashDelay = 2, time.Duration(rapid.IntRange(0, 20).Draw(r, "crash delay"))*time.Second
		case 1:
			inst.rejectsRevision = 2
		}
	}
}

// drawEvent draws one event and applies it.
func (s *site) drawEvent(r *rapid.T) {
	names := s.names()
	inst := s.instances[rapid.SampledFrom(names).Draw(r, "instance")]
	switch rapid.IntRange(0, 9).Draw(r, "event") {
	case 0:
		inst.dead = true
	case 1, 2:
		inst.dead = false
	case 3: // the instance crashes
		inst.Crashes++
		inst.Ready, inst.readyAt = false, s.now.Add(inst.updateDuration)
	case 4:
		s.handle(Pause{"a"})
	case 5:
		s.handle(Resume{"a"})
	case 6:
		if rapid.IntRange(0, 5).Draw(r, "abort") == 0 {
			s.handle(Abort{"a"})
		}
	case 7:
		name := fmt.Sprintf("new%d", len(s.instances))
		s.instances[name] = &fakeInstance{Observed: Observed{Revision: 1, Ready: true}, updateDuration: time.Second}
	case 8:
		if len(names) > 2 {
			removed := rapid.SampledFrom(names).Draw(r, "removed")
			delete(s.instances, removed)
			s.handle(InstanceRemoved{removed})
		}
	case 9:
		s.handle(ServiceReported{rapid.Float64Range(0.5, 1).Draw(r, "service")})
	}
}
