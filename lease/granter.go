package lease

import "fmt"

// Granter is the side that reserves a session's resource for its holder. It persists nothing: after a change of
// granters the new one waits until every grant that its predecessor may have made has expired, see Recover. It is not
// safe for concurrent use. Create it with NewGranter.
type Granter struct {
	terms    Terms
	sessions map[Session]*grant
	highest  Session // the highest session that was ever opened
}

// grant is the latest grant of a session.
type grant struct{ expiresAt Time }

// NewGranter returns a granter without sessions. The error matches ErrInvalidTerms.
func NewGranter(terms Terms) (*Granter, error) {
	if err := terms.Check(); err != nil {
		return nil, err
	}
	return &Granter{terms: terms, sessions: map[Session]*grant{}}, nil
}

// Open opens a session. If its number is not above those of all earlier sessions, the error matches ErrSessionNotNew
// and nothing changes.
func (g *Granter) Open(now Time, session Session) error {
	if session <= g.highest {
		return fmt.Errorf("%w: %d is not above %d", ErrSessionNotNew, session, g.highest)
	}
	g.highest = session
	g.sessions[session] = &grant{expiresAt: now + g.terms.Duration}
	return nil
}

// Recover takes over the open sessions of a previous granter, and the highest session that it ever opened. The previous
// granter may have renewed each session until just before now, so each one counts as granted now.
func (g *Granter) Recover(now Time, open []Session, highest Session) {
	g.highest = max(g.highest, highest)
	for _, session := range open {
		g.highest = max(g.highest, session)
		g.sessions[session] = &grant{expiresAt: now + g.terms.Duration}
	}
}

// Handle handles a holder's request and returns the response. A session that has ended stays so, whatever requests
// arrive late or repeatedly.
func (g *Granter) Handle(now Time, request Request) Response {
	current := g.sessions[request.Session]
	if current == nil || now >= current.expiresAt || request.Release {
		delete(g.sessions, request.Session)
		return Response{Session: request.Session, Number: request.Number}
	}
	// A late or repeated request is granted like any other: the holder measures the lease from when it sent the
	// request, and so stops earlier.
	current.expiresAt = max(current.expiresAt, now+g.terms.Duration)
	return Response{request.Session, request.Number, true}
}

// Expire removes the sessions whose grants have expired and returns them in no particular order. Their resources may be
// granted to other holders.
func (g *Granter) Expire(now Time) (expired []Session) {
	for session, grant := range g.sessions {
		if now >= grant.expiresAt {
			delete(g.sessions, session)
			expired = append(expired, session)
		}
	}
	return expired
}

// Active reports whether the holder of a session may still act.
func (g *Granter) Active(now Time, session Session) bool {
	grant := g.sessions[session]
	return grant != nil && now < grant.expiresAt
}

// HighestSession returns the highest session that was ever opened.
func (g *Granter) HighestSession() Session { return g.highest }
