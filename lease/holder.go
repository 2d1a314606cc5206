package lease

// Holder is the side that acts on the resource. It is not safe for concurrent use. Create it with NewHolder.
type Holder struct {
	terms         Terms
	session       Session
	lastNumber    uint64
	pending       map[uint64]Time // by number, when each request without a response was sent
	lastRequestAt Time
	expiresAt     Time // the end of the lease
	lastTick      Time
	ended         bool
}

// maxPendingRequests limits the number of pending requests. Since at least three requests fit into a grant, a response
// to an older one could only extend the lease to a time that has passed.
const maxPendingRequests = 64

// NewHolder returns the holder of a session that the authority has assigned. The lease is measured from requestedAt, a
// time before the session was requested. The error matches ErrInvalidTerms.
func NewHolder(terms Terms, session Session, requestedAt, now Time) (*Holder, error) {
	if err := terms.Check(); err != nil {
		return nil, err
	}
	return &Holder{terms: terms, session: session, pending: map[uint64]Time{}, lastRequestAt: requestedAt,
		expiresAt: requestedAt + terms.holderDuration(), lastTick: now}, nil
}

// Tick advances the holder's time and returns a renewal request if one is due. It must be called more often than every
// Terms.MaxTickGap. Otherwise Valid assumes that the process was suspended.
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

// HandleResponse handles a response. A late or repeated one, or one of another session, changes nothing: the end of the
// lease only moves forward, and only to a time measured from when a request of this session was sent.
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
	h.expiresAt = max(h.expiresAt, sentAt+h.terms.holderDuration())
}

// Valid reports whether the holder may act now and, if not, why. It must be called right before each effect: otherwise
// a suspension of the process between the call and the effect is not detected.
func (h *Holder) Valid(now Time) (valid bool, reason string) {
	switch {
	case h.ended:
		return false, "the session has ended"
	case now >= h.expiresAt:
		return false, "the lease has expired"
	case now-h.lastTick >= h.terms.MaxTickGap:
		return false, "the process was suspended"
	}
	return true, ""
}

// ExpiresAt returns the end of the lease on the holder's clock. A response may still extend it.
func (h *Holder) ExpiresAt() Time { return h.expiresAt }

// Session returns the session, which must accompany each effect.
func (h *Holder) Session() Session { return h.session }

// Release ends the session and returns a request by which the granter can end it too, before the grant expires. The
// holder must have stopped acting before the call.
func (h *Holder) Release(now Time) Request {
	h.lastTick = max(h.lastTick, now)
	h.ended = true
	return h.newRequest(true)
}
