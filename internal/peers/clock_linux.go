package peers

import (
	"time"

	"golang.org/x/sys/unix"

	"elderyard/members"
)

// clock counts from the process's start, and on while it or its machine sleeps;
// the wall clock may be set as it likes.
type clock struct{ began time.Duration }

func newClock() clock { return clock{sinceBoot()} }

func (c clock) now() members.Time { return sinceBoot() - c.began }

func sinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // never: every Linux that runs this program has that clock
	}
	return time.Duration(t.Nano())
}
