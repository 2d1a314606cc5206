// Package lease is both sides of a lease on durations: a holder that may act for a
// while, and a granter that gives the same to nobody else meanwhile. Neither reads
// the other's clock. The holder counts from before it asked, the granter from after
// it answered, and a stated drift lies between; so whatever the network does to
// messages, the holder stops before the granter gives again. It is pure: messages
// and the time go in, messages come out.
//
// What a lease alone can't keep is an effect that was begun in time and arrives
// late, from a process that was stopped in between. That takes a number that only
// grows (Session), checked where the effect happens.
package lease

import (
	"errors"
	"fmt"
	"time"
)

// Time is a moment on one side's own monotonic clock, as a duration since some start
// of its own.
type Time = time.Duration

// Terms are what both sides have agreed on before.
type Terms struct {
	Duration      time.Duration // a grant, by the granter's clock
	Drift         float64       // a clock is so much too fast or too slow at most, such as 0.001
	Margin        time.Duration // the holder stops so long before its end: an effect under way takes that long at most
	RenewInterval time.Duration // between the holder's asks; several must fit into a grant
	MaxTickGap    time.Duration // a holder that has not been told the time for so long must have slept
}

// Check finds terms under which nobody could ever hold, or one lost message would
// end a lease.
func (t *Terms) Check() error {
	switch {
	case !(t.Drift >= 0 && t.Drift < 0.5):
		return fmt.Errorf("drift: %g is not between 0 and 0.5", t.Drift)
	case t.Duration <= 0 || t.RenewInterval <= 0 || t.MaxTickGap <= 0 || t.Margin < 0:
		return errors.New("for, renew and stall must be above 0, margin not below")
	case t.holderDuration() < 3*t.RenewInterval:
		return fmt.Errorf("a grant of %v lasts %v at the holder, which is less than three asks, %v apart", t.Duration, t.holderDuration(), t.RenewInterval)
	}
	return nil
}

// holderDuration is how long a holder may act after it asked, by its own clock. Its clock may
// be slow and the granter's fast, each by the drift: For by the granter's clock may
// be as little as this by the holder's.
func (t *Terms) holderDuration() time.Duration {
	return time.Duration(float64(t.Duration)*(1-t.Drift)/(1+t.Drift)) - t.Margin
}

// Session is the number of one holder's time of holding. The authority gives each
// its own, above all that it ever gave.
type Session uint64

// Request is what a holder sends: to go on with a session, or to end it.
type Request struct {
	Session Session
	Number  uint64 // of this ask, among the session's; they only grow
	Release bool
}

// Response is what comes back.
type Response struct {
	Session Session
	Number  uint64 // of the ask
	Granted bool   // for Terms.For from now on; else the session has ended, for good
}

// Holder is the side that acts. It belongs to one goroutine.
type Holder struct {
	terms         Terms
	session       Session
	number        uint64
	pending       map[uint64]Time // asks without an answer, by number
	lastRequestAt Time
	until         Time
	lastTick      Time // the time as last told
	ended         bool
}

// maxPendingRequests bounds the asks that are remembered: an answer to an older one would
// tell of a grant that has run out.
const maxPendingRequests = 64

// NewHolder makes the holder of a session that was asked for at a time, and given.
func NewHolder(terms Terms, session Session, requestedAt, now Time) (*Holder, error) {
	if err := terms.Check(); err != nil {
		return nil, err
	}
	return &Holder{terms: terms, session: session, pending: map[uint64]Time{}, lastRequestAt: requestedAt, until: requestedAt + terms.holderDuration(), lastTick: now}, nil
}

// Tick tells the time, and returns an ask if one is due.
func (h *Holder) Tick(now Time) (request Request, due bool) {
	h.lastTick = max(h.lastTick, now)
	if h.ended || h.lastTick-h.lastRequestAt < h.terms.RenewInterval {
		return Request{}, false
	}
	return h.newRequest(false), true
}

func (h *Holder) newRequest(release bool) Request {
	h.number++
	h.lastRequestAt = h.lastTick
	h.pending[h.number] = h.lastTick
	delete(h.pending, h.number-maxPendingRequests)
	return Request{h.session, h.number, release}
}

// HandleResponse takes an answer. One that is old, comes twice or belongs to another
// session changes nothing that it should not: an end only moves on, and only by
// what was asked for.
func (h *Holder) HandleResponse(a Response) {
	if a.Session != h.session || h.ended {
		return
	}
	if !a.Granted {
		h.ended = true
		return
	}
	at, known := h.pending[a.Number]
	if !known {
		return
	}
	delete(h.pending, a.Number)
	h.until = max(h.until, at+h.terms.holderDuration())
}

// Valid tells whether the holder may act at this moment, and why not. It is asked
// right before each effect: a sleep is noticed here, not afterwards.
func (h *Holder) Valid(now Time) (valid bool, reason string) {
	switch {
	case h.ended:
		return false, "the session has ended"
	case now >= h.until:
		return false, "the lease has run out"
	case now-h.lastTick >= h.terms.MaxTickGap:
		return false, "this process slept"
	}
	return true, ""
}

// Until is when the holder stops unless it is answered before, by its own clock.
func (h *Holder) Until() Time { return h.until }

// Session is the number that goes with each effect.
func (h *Holder) Session() Session { return h.session }

// Release ends the session: the holder has stopped, and the granter need not wait.
func (h *Holder) Release(now Time) Request {
	h.lastTick = max(h.lastTick, now)
	h.ended = true
	return h.newRequest(true)
}
