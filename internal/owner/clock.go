package owner

import "time"

// Clock is the module's time: Unix time in seconds, read once at the start and
// advanced by the monotonic clock, so that a step of the system clock moves no
// deadline. All gateways must share its origin, since the windows of their leases
// are derived from it.
type Clock struct {
	base time.Time
	unix float64
}

// NewClock returns a clock that starts at the present time.
func NewClock() Clock {
	base := time.Now()
	return Clock{base: base, unix: float64(base.UnixNano()) / 1e9}
}

// Now returns the present time in seconds.
func (c Clock) Now() float64 { return c.unix + time.Since(c.base).Seconds() }

// At converts a time of the clock for use as a socket deadline.
func (c Clock) At(t float64) time.Time {
	return c.base.Add(time.Duration((t - c.unix) * float64(time.Second)))
}
