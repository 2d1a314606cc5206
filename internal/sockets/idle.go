package sockets

import (
	"math"
	"sync"
	"time"
)

// Limits of IdleEstimator.
const (
	MinIdle       = 25 * time.Millisecond // shorter idle times are always considered safe
	idleSteps     = 10                    // number of idle times that are distinguished, each twice the one before
	MinIdleBreaks = 3.0                   // failures, at least, that make an idle time unsafe
	minBreakRatio = 1.0 / 3               // and the ratio of failures to uses, at least
	idleMemory    = 20 * time.Second      // time constant of the decay of the counts
)

// IdleEstimator learns how long a connection may be idle and still be used. A middlebox may
// drop idle connections silently, or the peer may close them far earlier than agreed. Data
// written to such a connection causes a reset that proves nothing: the outcome of an attempt is
// unknown, its backend appears unhealthy, and a call to the counter may have been added. Peers that
// fail at random do so at any idle time, so an idle time is judged by the ratio of failures to
// uses. The drawback is that a few uses that happen to fail cause new connections to be
// made for a while.
type IdleEstimator struct {
	mu        sync.Mutex
	steps     [idleSteps]struct{ succeeded, broken float64 }
	decayedAt time.Time // when the counts were last decayed
}

// Record records whether a connection broke when it was used after an idle time.
func (e *IdleEstimator) Record(now time.Time, idle time.Duration, broke bool) {
	if idle < MinIdle {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	s := &e.steps[min(int(math.Log2(float64(idle)/float64(MinIdle))), idleSteps-1)]
	if broke {
		s.broken++
	} else {
		s.succeeded++
	}
}

// Limit returns the shortest idle time after which connections must not be used.
func (e *IdleEstimator) Limit(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.decay(now)
	for i, s := range e.steps {
		if s.broken >= MinIdleBreaks && s.broken >= minBreakRatio*(s.succeeded+s.broken) {
			return MinIdle << i
		}
	}
	return math.MaxInt64
}

// decay reduces the counts by the time since the last call.
func (e *IdleEstimator) decay(now time.Time) {
	factor := math.Exp(-float64(max(now.Sub(e.decayedAt), 0)) / float64(idleMemory))
	e.decayedAt = now
	for i := range e.steps {
		e.steps[i].succeeded *= factor
		e.steps[i].broken *= factor
	}
}
