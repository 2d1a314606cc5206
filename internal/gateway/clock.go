package gateway

import "time"

// clock is the module's time: Unix time in seconds, read once at the start and
// carried on by the monotonic clock, so that a step of the system's clock moves
// no deadline. All gateways must share its origin: the windows of their leases
// are cut from it.
type clock struct {
	base time.Time
	unix float64
}

func newClock() clock {
	base := time.Now()
	return clock{base: base, unix: float64(base.UnixNano()) / 1e9}
}

func (c clock) now() float64 { return c.unix + time.Since(c.base).Seconds() }

// at is the moment t for deadlines of sockets.
func (c clock) at(t float64) time.Time {
	return c.base.Add(time.Duration((t - c.unix) * float64(time.Second)))
}
