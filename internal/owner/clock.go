package owner

import "time"

// Clock is the module's time: Unix time in seconds, read once at the start and
// carried on by the monotonic clock, so that a step of the system's clock moves
// no deadline. All gateways must share its origin: the windows of their leases
// are cut from it.
type Clock struct {
	base time.Time
	unix float64
}

// NewClock starts a clock at the present time.
func NewClock() Clock {
	base := time.Now()
	return Clock{base: base, unix: float64(base.UnixNano()) / 1e9}
}

// Now is the present time in seconds.
func (c Clock) Now() float64 { return c.unix + time.Since(c.base).Seconds() }

// At is the moment t for deadlines of sockets.
func (c Clock) At(t float64) time.Time {
	return c.base.Add(time.Duration((t - c.unix) * float64(time.Second)))
}
