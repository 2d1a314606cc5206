// Package lease implements both sides of a lease that is measured in durations: the Holder, which may act on a resource
// until the lease expires, and the Granter, which grants the resource to no other holder before. It is for tasks that
// at most one process may perform at a time, on machines whose clocks are not synchronized: neither side reads the
// other's clock. The holder measures the lease from before it sends a request, the granter from after it receives the
// request, and the holder subtracts an allowance for clock drift. So the holder stops before the granter grants the
// resource again, whatever the network does to messages.
//
// The package is pure: messages and the time go in, messages come out. There is no goroutine, clock or socket, and
// nothing is stored. A Holder and a Granter are each owned by one goroutine. That of the Holder must call Valid right
// before every effect.
//
// A lease is not a fencing mechanism by itself. It can't prevent an effect that started in time but arrives late
// because the process was suspended in between. The receiver of the effects must therefore check their Session, which
// only increases, and reject one that is lower than the highest it has seen. The package does not elect a holder
// either: an authority such as a replicated log assigns the sessions.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Errors that callers distinguish with errors.Is.
var (
	// ErrInvalidTerms reports terms under which a lease could not be held or renewed.
	ErrInvalidTerms = errors.New("invalid lease terms")
	// ErrSessionNotNew reports a session whose number is not above those of all earlier sessions.
	ErrSessionNotNew = errors.New("session number is not new")
)

// Time is a time on one side's monotonic clock, as a duration since an arbitrary start. Times of different sides can't
// be compared.
type Time = time.Duration

// Terms are the parameters of a lease. Both sides must use the same.
type Terms struct {
	Duration      time.Duration // length of a grant on the granter's clock
	Drift         float64       // fraction by which a clock may run too fast or too slow, such as 0.001
	Margin        time.Duration // the holder stops this long before the end: the longest duration of an effect
	RenewInterval time.Duration // time between two requests of the holder; at least three must fit into a grant
	MaxTickGap    time.Duration // a holder that has had no Tick for this long was suspended
}

// Check returns an error that matches ErrInvalidTerms for terms under which no lease could be held, or under which a
// single lost message would end it.
func (t *Terms) Check() error {
	switch {
	case !(t.Drift >= 0 && t.Drift < 0.5): // written so that NaN is rejected
		return fmt.Errorf("%w: drift %g is not between 0 and 0.5", ErrInvalidTerms, t.Drift)
	case t.Duration <= 0 || t.RenewInterval <= 0 || t.MaxTickGap <= 0 || t.Margin < 0:
		return fmt.Errorf("%w: duration %v, renew interval %v and tick gap %v must be above 0, and margin %v must not be below 0",
			ErrInvalidTerms, t.Duration, t.RenewInterval, t.MaxTickGap, t.Margin)
	case t.holderDuration() < 3*t.RenewInterval:
		return fmt.Errorf("%w: duration %v leaves the holder %v, less than three renew intervals of %v",
			ErrInvalidTerms, t.Duration, t.holderDuration(), t.RenewInterval)
	}
	return nil
}

// holderDuration returns how long the holder may act after it sent a request, on its own clock. Even if that clock is
// slow and the granter's is fast, each by Drift, this time plus Margin is over before Duration has passed on the
// granter's clock.
func (t *Terms) holderDuration() time.Duration {
	return time.Duration(float64(t.Duration)*(1-t.Drift)/(1+t.Drift)) - t.Margin
}

// Session identifies one uninterrupted lease of a holder, over all renewals. The authority assigns each session a
// number above those of all earlier sessions.
type Session uint64

// Request is sent by a holder to renew or to release its session.
type Request struct {
	Session Session
	Number  uint64 // of this request within the session; increases with each request
	Release bool
}

// Response is the granter's response to a Request.
type Response struct {
	Session Session
	Number  uint64 // of the request
	Granted bool   // true: for Terms.Duration after receipt of the request; false: the session has ended for good
}
