package members

import (
	"testing"
	"time"
)

func TestVerdictFallsAsMembersFail(t *testing.T) {
	m := completeMachine(t, 5)
	for i, want := range []Verdict{Majority, Majority, Minority} {
		m.fail(memberNames(5)[i+1])
		m.wantVerdict(want)
	}
	m.fail("g4")
	m.wantVerdict(Alone)
	if p := m.View(m.now); p.SafeCount != 5 || p.LikelyCount != 1 {
		t.Errorf("safe %d and likely %d, want 5 and 1: silence removes nobody from the roster", p.SafeCount, p.LikelyCount)
	}
}

func TestHalfIsNoMajority(t *testing.T) {
	m := completeMachine(t, 4)
	m.fail("g1", "g2")
	m.wantVerdict(Even)
	if allowed, _ := m.Allows(m.now, ExerciseLease); allowed {
		t.Error("half of the roster may exercise a lease, and so may the other half")
	}
}

func TestSingleMemberIsComplete(t *testing.T) {
	m := newTestMachine(t, rosterOf(1))
	m.advance(seconds(3))
	m.wantVerdict(Complete)
}

// Nothing is known right after a start, and a better verdict is adopted after the settle time.
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

// A process that nobody answers is alone after the silence timeout, not at once.
func TestUnansweredStartBecomesAlone(t *testing.T) {
	m := newTestMachine(t, rosterOf(3))
	m.advance(seconds(11))
	m.wantVerdict(Unsure)
	m.advance(seconds(4))
	m.wantVerdict(Alone)
}

// A process that was suspended is unsure until somebody answers, whatever its detector concluded from the silence; without
// an answer it is alone after the silence timeout.
func TestSuspensionMakesUnsure(t *testing.T) {
	m := completeMachine(t, 3)
	m.now += seconds(30)
	m.handle(Failed{"g1", 100}, Failed{"g2", 100}) // its own timers, which expired meanwhile
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

func TestShortDelayIsNoSuspension(t *testing.T) {
	m := completeMachine(t, 3)
	m.now += seconds(1.2)
	m.handle(Tick{})
	m.wantVerdict(Complete)
}

// A process that is partitioned from a large site detects it long before its detector counts all the others as failed.
func TestFailedOwnProbesMakeUnsure(t *testing.T) {
	m := completeMachine(t, 100)
	for i := range 3 {
		m.handle(Suspected{memberNames(100)[i+1], 100, "g0"})
	}
	m.wantVerdict(Complete)
	m.handle(Suspected{"g4", 100, "g0"})
	m.wantVerdict(Unsure)
	// Unanswered probes of members that have failed are no evidence.
	m = completeMachine(t, 100)
	for i := range 6 {
		m.handle(Failed{memberNames(100)[i+1], 100}, Suspected{memberNames(100)[i+1], 100, "g0"})
	}
	m.wantVerdict(Majority)
}

// A link that flaps for ten minutes changes the verdict a few times only.
func TestFlappingLinkChangesVerdictSeldom(t *testing.T) {
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
		t.Errorf("%d changes of the verdict in ten minutes", changes)
	}
	m.advance(seconds(200), "g1", "g2")
	m.wantVerdict(Complete)
}

// However a link flaps, the settle time bounds how often the verdict rises: it doubles with each fall.
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
			t.Errorf("half period of %g s: %d rises in ten minutes", half, rises)
		}
	}
}
