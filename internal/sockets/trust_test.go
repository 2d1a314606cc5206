package sockets

import (
	"math"
	"testing"
	"time"
)

func TestIdleTrust(t *testing.T) {
	const forever = time.Duration(math.MaxInt64)
	for _, c := range []struct {
		name         string
		rest         time.Duration
		held, broken int
		later        time.Duration
		want         time.Duration
	}{
		{"nothing is known", time.Second, 0, 0, 0, forever},
		{"all hold", time.Second, 9, 0, 0, forever},
		{"all break", 300 * time.Millisecond, 0, 9, 0, 200 * time.Millisecond},
		{"two may be chance", 300 * time.Millisecond, 0, 2, 0, forever},
		{"breaks at random", 300 * time.Millisecond, 80, 10, 0, forever},
		{"a rest that is always trusted", time.Millisecond, 0, 9, 0, forever},
		{"beyond the longest step", time.Hour, 0, 9, 0, MinIdle << (idleSteps - 1)},
		{"long ago", 300 * time.Millisecond, 0, 9, 3 * idleSpan, forever},
	} {
		var trust IdleEstimator
		now := time.Now()
		for range c.held {
			trust.Record(now, c.rest, false)
		}
		for range c.broken {
			trust.Record(now, c.rest, true)
		}
		if got := trust.Limit(now.Add(c.later)); got != c.want {
			t.Errorf("%s: limit %v, want %v", c.name, got, c.want)
		}
	}
}
