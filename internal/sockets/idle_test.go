package sockets

import (
	"math"
	"testing"
	"time"
)

// An idle time becomes unsafe only if enough of its uses fail, and is forgotten after a while.
func TestIdleEstimator(t *testing.T) {
	const forever = time.Duration(math.MaxInt64)
	for _, c := range []struct {
		name              string
		idle              time.Duration
		succeeded, broken int
		later             time.Duration
		want              time.Duration
	}{
		{"no uses", time.Second, 0, 0, 0, forever},
		{"no failures", time.Second, 9, 0, 0, forever},
		{"only failures", 300 * time.Millisecond, 0, 9, 0, 200 * time.Millisecond},
		{"too few failures", 300 * time.Millisecond, 0, 2, 0, forever},
		{"random failures", 300 * time.Millisecond, 80, 10, 0, forever},
		{"idle time below the minimum", time.Millisecond, 0, 9, 0, forever},
		{"beyond the longest step", time.Hour, 0, 9, 0, MinIdle << (idleSteps - 1)},
		{"failures long ago", 300 * time.Millisecond, 0, 9, 3 * idleMemory, forever},
	} {
		var estimator IdleEstimator
		now := time.Now()
		for range c.succeeded {
			estimator.Record(now, c.idle, false)
		}
		for range c.broken {
			estimator.Record(now, c.idle, true)
		}
		if got := estimator.Limit(now.Add(c.later)); got != c.want {
			t.Errorf("%s: limit %v, want %v", c.name, got, c.want)
		}
	}
}
