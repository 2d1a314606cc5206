package peers

import (
	"time"

	"golang.org/x/sys/unix"

	"elderyard/members"
)

// clock measures the time since its creation, including the time that the process or the machine was suspended. It does
// not depend on the wall clock.
type clock struct{ start time.Duration }

func newClock() clock { return clock{sinceBoot()} }

func (c clock) now() members.Time { return sinceBoot() - c.start }

// sinceBoot returns the time since the machine started, including the time that it was suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // unreachable: every kernel that the Go runtime supports has this clock
	}
	return time.Duration(t.Nano())
}
