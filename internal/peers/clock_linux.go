package peers

import (
	"time"

	"golang.org/x/sys/unix"

	"elderyard/members"
)

// clock counts from its creation, also while the process or the machine is suspended, and independently of the wall clock.
type clock struct{ start time.Duration }

func newClock() clock { return clock{sinceBoot()} }

func (c clock) now() members.Time { return sinceBoot() - c.start }

// sinceBoot returns the time since the machine started, including the time that it was suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // unreachable: the Go runtime needs a newer kernel than this clock
	}
	return time.Duration(t.Nano())
}
