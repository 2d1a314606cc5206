// Package lease is both sides of a lease that is measured in durations: a Holder that may act on a resource for a while,
// and a Granter that gives the same resource to nobody else meanwhile. It is for duties that at most one process may
// perform at a time, on machines whose clocks are not synchronized: neither side reads the other's clock. The holder
// counts from before it sent a request, the granter from after it received it, and the agreed bound on clock drift lies
// between the two. So whatever the network does to messages, the holder stops before the granter grants again.
//
// It is pure: messages and the time go in, messages come out. There is no goroutine, clock or socket, and nothing is
// stored. A Holder and a Granter are each owned by one goroutine, which calls Valid right before every effect.
//
// It is not a fencing mechanism by itself. A lease can't prevent an effect that began in time and arrives late, from a
// process that was stopped in between: the receiver of the effect must compare its Session, which only grows, and reject
// one that is lower than the highest it has seen. It does not elect a holder either; an authority, such as a replicated
// log, assigns the sessions.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Errors that callers tell apart by errors.Is.
var (
	// ErrInvalidTerms reports that a lease on the terms could not be held or renewed.
	ErrInvalidTerms = errors.New("invalid lease terms")
	// ErrSessionNotNew reports that a session's number is not above all numbers that were opened before.
	ErrSessionNotNew = errors.New("session number is not new")
)

// Time is a moment on one side's own monotonic clock, as a duration since a start of that side's choice. Values of two
// sides can't be compared.
type Time = time.Duration

// Terms are what both sides agreed on beforehand. Both must use the same.
type Terms struct {
	Duration      time.Duration // length of a grant by the granter's clock
	Drift         float64       // share by which a clock runs too fast or too slow at most, such as 0.001
	Margin        time.Duration // the holder stops this much before its end: the longest that an effect under way takes
	RenewInterval time.Duration // between two requests of the holder; several must fit into a grant
	MaxTickGap    time.Duration // a holder without a Tick for this long was suspended
}

// Check returns an error that matches ErrInvalidTerms for terms under which nobody could ever hold a lease, or one lost
// message would end it.
func (t *Terms) Check() error {
	switch {
	case !(t.Drift >= 0 && t.Drift < 0.5): // in this form it rejects NaN
		return fmt.Errorf("%w: drift %g is not between 0 and 0.5", ErrInvalidTerms, t.Drift)
	case t.Duration <= 0 || t.RenewInterval <= 0 || t.MaxTickGap <= 0 || t.Margin < 0:
		return fmt.Errorf("%w: duration %v, renew interval %v and tick gap %v must be above 0, margin %v not below",
			ErrInvalidTerms, t.Duration, t.RenewInterval, t.MaxTickGap, t.Margin)
	case t.holderDuration() < 3*t.RenewInterval:
		return fmt.Errorf("%w: a grant of %v lasts %v at the holder, which is less than three renew intervals of %v",
			ErrInvalidTerms, t.Duration, t.holderDuration(), t.RenewInterval)
	}
	return nil
}

// holderDuration returns how long a holder may act after it sent a request, by its own clock. If that clock is slow and
// the granter's is fast, each by the drift, Duration by the granter's clock is no more than this by the holder's.
func (t *Terms) holderDuration() time.Duration {
	return time.Duration(float64(t.Duration)*(1-t.Drift)/(1+t.Drift)) - t.Margin
}

// Session identifies one uninterrupted tenure of a holder. The authority gives each tenure a number above all that it
// gave before.
type Session uint64

// Request is sent by a holder to renew or to release its session.
type Request struct {
	Session Session
	Number  uint64 // of this request within the session, rising
	Release bool
}

// Response is the granter's answer to one request.
type Response struct {
	Session Session
	Number  uint64 // of the request
	Granted bool   // for Terms.Duration from its receipt; else the session has ended for good
}
