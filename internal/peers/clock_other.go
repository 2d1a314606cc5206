//go:build !linux

package peers

import (
	"time"

	"elderyard/members"
)

// clock measures the time since its creation. If the system's monotonic clock stops while the machine is suspended,
// package members does not detect the suspension.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() members.Time { return time.Since(c.start) }
