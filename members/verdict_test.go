package members

import (
	"testing"
	"time"
)

// The verdict follows the number of failed members, and the safe count still includes them.
func TestVerdictFallsAsMembersFail(t *testing.T) {
	m := completeMachine(t, 5)
	for i, want := range []Verdict{Majority, Majority, Minority} {
		m.fail(memberNames(5)[i+1])
		m.wantVerdict(want)
	}
	m.fail("g4")
	m.wantVerdict(Alone)
	if view := m.View(m.now); view.SafeCount != 5 || view.LikelyCount != 1 {
		t.Errorf("safe count %d and likely count %d, want 5 and 1: failed members remain in the roster", view.SafeCount, view.LikelyCount)
	}
}

// Guards against two leaseholders: half of the roster must not exercise a lease, since the other half could do the
// same.
func TestHalfIsNoMajority(t *testing.T) {
	m := completeMachine(t, 4)
	m.fail("g1", "g2")
	m.wantVerdict(Even)
	if allowed, _ := m.Allows(m.now, ExerciseLease); allowed {
		t.Error("half of the roster may exercise a lease")
	}
}

// The only member of a roster needs no answers.
func TestSingleMemberIsComplete(t *testing.T) {
	m := newTestMachine(t, rosterOf(1))
	m.advance(seconds(3))
	m.wantVerdict(Complete)
}

// After its start a process is Unsure until the evidence has supported a better verdict for the settle time.
func TestStartIsUnsureUntilSettled(t *testing.T) {
	m := newTestMachine(t, rosterOf(3))
	m.wantVerdict(Unsure)
	m.join("g1", "g2")
	m.wantVerdict(Unsure)
	m.advance(seconds(1.5), "g1", "g2")
	m.wantVerdict(Unsure)
	m.advance(seconds(1), "g1", "g2")
	m.wantVerdict(Complete)
}

// A process without any answer since its start is Alone only after the silence timeout.
func TestUnansweredStartBecomesAlone(t *testing.T) {
	m := newTestMachine(t, rosterOf(3))
	m.advance(seconds(11))
	m.wantVerdict(Unsure)
	m.advance(seconds(4))
	m.wantVerdict(Alone)
}

// A process that was suspended is Unsure until a peer answers, even if its detector declared peers failed because their
// answers were not processed in time. Without an answer it is Alone after the silence timeout.
func TestSuspensionMakesUnsure(t *testing.T) {
	m := completeMachine(t, 3)
	m.now += seconds(30)
	m.handle(Failed{"g1", 100}, Failed{"g2", 100}) // the detector's timers expired during the suspension
	m.wantVerdict(Unsure)
	m.advance(seconds(5))
	m.wantVerdict(Unsure)
	m.join("g1", "g2")
	m.advance(seconds(5), "g1", "g2")
	m.wantVerdict(Complete)

	m.now += seconds(30)
	m.handle(Failed{"g1", 100}, Failed{"g2", 100})
	m.advance(seconds(25))
	m.wantVerdict(Alone)
}

// A tick that is late by less than the stall threshold has no effect.
func TestShortDelayIsNoSuspension(t *testing.T) {
	m := completeMachine(t, 3)
	m.now += seconds(1.2)
	m.handle(Tick{})
	m.wantVerdict(Complete)
}

// Guards against late detection of a partition in a large site: several unanswered probes make a process Unsure long
// before its detector has declared all other members failed.
func TestFailedOwnProbesMakeUnsure(t *testing.T) {
	m := completeMachine(t, 100)
	for i := range 3 {
		m.handle(Suspected{memberNames(100)[i+1], 100, "g0"})
	}
	m.wantVerdict(Complete)
	m.handle(Suspected{"g4", 100, "g0"})
	m.wantVerdict(Unsure)
	// Unanswered probes of failed members do not count.
	m = completeMachine(t, 100)
	for i := range 6 {
		m.handle(Failed{memberNames(100)[i+1], 100}, Suspected{memberNames(100)[i+1], 100, "g0"})
	}
	m.wantVerdict(Majority)
}

// A link that flaps for ten minutes changes the verdict only a few times.
func TestFlappingLinkRarelyChangesVerdict(t *testing.T) {
	m := completeMachine(t, 3)
	changes, last := 0, m.View(m.now).Verdict
	for range 600 {
		m.fail("g1")
		m.advance(seconds(0.5), "g2")
		m.join("g1")
		m.advance(seconds(0.5), "g1", "g2")
		if v := m.View(m.now).Verdict; v != last {
			changes, last = changes+1, v
		}
	}
	if changes > 4 {
		t.Errorf("%d changes of the verdict in ten minutes, want at most 4", changes)
	}
	m.advance(seconds(200), "g1", "g2")
	m.wantVerdict(Complete)
}

// The settle time, which doubles with each fall, limits the number of rises of the verdict for any period of flapping.
func TestVerdictRisesAreBoundedWhileFlapping(t *testing.T) {
	for _, half := range []float64{1, 2.2, 3, 5, 9, 17, 33} {
		m := completeMachine(t, 3)
		rises, last, at := 0, m.View(m.now).Verdict, m.now
		for m.now-at < 600*time.Second {
			m.fail("g1")
			m.advance(seconds(half), "g2")
			m.join("g1")
			for range int(half * 4) {
				m.advance(seconds(0.25), "g1", "g2")
				v := m.View(m.now).Verdict
				if v > last {
					rises++
				}
				last = v
			}
			last = m.View(m.now).Verdict
		}
		if rises > 22 {
			t.Errorf("half period of %g s: %d rises in ten minutes, want at most 22", half, rises)
		}
	}
}
