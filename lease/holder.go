package lease

// Holder is the side that acts. It is not safe for concurrent use; NewHolder makes one.
type Holder struct {
	terms         Terms
	session       Session
	lastNumber    uint64
	pending       map[uint64]Time // when each request without a response was sent, by number
	lastRequestAt Time
	until         Time
	lastTick      Time
	ended         bool
}

// maxPendingRequests bounds the requests that are remembered. With at least three requests within a grant, a response
// to an older one could only extend the lease to a moment that has passed.
const maxPendingRequests = 64

// NewHolder returns the holder of a session that the authority assigned. The lease counts from requestedAt, the moment
// before the session was asked for; now is the present moment. The error matches ErrInvalidTerms.
func NewHolder(terms Terms, session Session, requestedAt, now Time) (*Holder, error) {
	if err := terms.Check(); err != nil {
		return nil, err
	}
	return &Holder{terms: terms, session: session, pending: map[uint64]Time{}, lastRequestAt: requestedAt,
		until: requestedAt + terms.holderDuration(), lastTick: now}, nil
}

// Tick advances the holder's time and returns a renewal if one is due. It must be called more often than
// Terms.MaxTickGap, else Valid takes the process for suspended.
func (h *Holder) Tick(now Time) (request Request, due bool) {
	h.lastTick = max(h.lastTick, now)
	if h.ended || h.lastTick-h.lastRequestAt < h.terms.RenewInterval {
		return Request{}, false
	}
	return h.newRequest(false), true
}

func (h *Holder) newRequest(release bool) Request {
	h.lastNumber++
	h.lastRequestAt = h.lastTick
	h.pending[h.lastNumber] = h.lastTick
	delete(h.pending, h.lastNumber-maxPendingRequests)
	return Request{h.session, h.lastNumber, release}
}

// HandleResponse handles a response. An old, repeated or foreign one changes nothing: the end of the lease only moves
// forward, and only by the time at which a request of this session was sent.
func (h *Holder) HandleResponse(response Response) {
	if response.Session != h.session || h.ended {
		return
	}
	if !response.Granted {
		h.ended = true
		return
	}
	sentAt, found := h.pending[response.Number]
	if !found {
		return
	}
	delete(h.pending, response.Number)
	h.until = max(h.until, sentAt+h.terms.holderDuration())
}

// Valid reports whether the holder may act now, and if not, why. It must be called right before each effect: otherwise
// a suspension of the process between the call and the effect remains unnoticed.
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

// ExpiresAt returns the end of the lease by the holder's own clock, unless a response extends it before.
func (h *Holder) ExpiresAt() Time { return h.until }

// Session returns the number that must accompany each effect.
func (h *Holder) Session() Session { return h.session }

// Release ends the session and returns the request that spares the granter from waiting for its end. The holder must
// have stopped acting before.
func (h *Holder) Release(now Time) Request {
	h.lastTick = max(h.lastTick, now)
	h.ended = true
	return h.newRequest(true)
}
