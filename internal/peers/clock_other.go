//go:build !linux

package peers

import (
	"time"

	"elderyard/members"
)

// clock counts from its creation. Where the system's monotonic clock stops while the machine is suspended, package members
// does not detect that.
type clock struct{ start time.Time }

func newClock() clock { return clock{time.Now()} }

func (c clock) now() members.Time { return time.Since(c.start) }
