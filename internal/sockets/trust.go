package sockets

import (
	"math"
	"sync"
	"time"
)

// Limits of IdleEstimator, which learns for how long an idle connection stays usable.
const (
	MinIdle       = 25 * time.Millisecond // a rest so short is always trusted
	idleSteps     = 10                    // lengths of rest that are told apart, each twice the one before
	MinIdleBreaks = 3.0                   // so many breaks, at least, make a length suspect
	idleShare     = 1.0 / 3               // and this share of its uses
	idleSpan      = 20 * time.Second      // over which what was learnt fades
)

// IdleEstimator learns how long a connection may rest and still be used. Danger:
// something on the way may forget idle connections and say nothing, or the peer
// may close them far sooner than agreed. What is written to one ends as a reset
// that proves nothing: an attempt is in doubt, its backend looks sick, and a call of
// the counter may have been added. Peers that break at random look alike at any
// age, so a length is judged by the share of its uses. It could hurt where few
// uses happen to break: then new connections are made for a while instead.
type IdleEstimator struct {
	mu     sync.Mutex
	steps  [idleSteps]struct{ held, broken float64 }
	fadeAt time.Time // up to when what was learnt has faded
}

// Record tells what came of using a connection after a rest.
func (t *IdleEstimator) Record(now time.Time, rest time.Duration, broke bool) {
	if rest < MinIdle {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fade(now)
	s := &t.steps[min(int(math.Log2(float64(rest)/float64(MinIdle))), idleSteps-1)]
	if broke {
		s.broken++
	} else {
		s.held++
	}
}

// Limit is the rest from which on connections are not to be used.
func (t *IdleEstimator) Limit(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fade(now)
	for i, s := range t.steps {
		if s.broken >= MinIdleBreaks && s.broken >= idleShare*(s.held+s.broken) {
			return MinIdle << i
		}
	}
	return math.MaxInt64
}

func (t *IdleEstimator) fade(now time.Time) {
	part := math.Exp(-float64(max(now.Sub(t.fadeAt), 0)) / float64(idleSpan))
	t.fadeAt = now
	for i := range t.steps {
		t.steps[i].held *= part
		t.steps[i].broken *= part
	}
}
