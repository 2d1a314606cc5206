//go:build !linux

package peers

import (
	"time"

	"elderyard/members"
)

// clock counts from the process's start. Where the system's monotonic clock stops
// while the machine sleeps, such a sleep is not noticed.
type clock struct{ began time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() members.Time { return time.Since(c.began) }
