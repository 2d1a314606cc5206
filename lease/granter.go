package lease

import "fmt"

// Granter is the side that reserves a session's resource for one holder. It stores nothing: after a change of granters
// the next one waits until every grant that its predecessor may have made has ended, see Recover. It is not safe for
// concurrent use; NewGranter makes one.
type Granter struct {
	terms    Terms
	sessions map[Session]*grant
	highest  Session // that was ever opened
}

type grant struct{ until Time }

// NewGranter returns a granter without sessions. The error matches ErrInvalidTerms.
func NewGranter(terms Terms) (*Granter, error) {
	if err := terms.Check(); err != nil {
		return nil, err
	}
	return &Granter{terms: terms, sessions: map[Session]*grant{}}, nil
}

// Open begins a session. Its number must be above all before; otherwise nothing changes and the error matches
// ErrSessionNotNew.
func (g *Granter) Open(now Time, session Session) error {
	if session <= g.highest {
		return fmt.Errorf("%w: %d is not above %d", ErrSessionNotNew, session, g.highest)
	}
	g.highest = session
	g.sessions[session] = &grant{until: now + g.terms.Duration}
	return nil
}

// Recover takes over the open sessions of another granter, of which highest was its highest number. The predecessor
// may have granted each at its last moment, which was before now, so each counts as granted now.
func (g *Granter) Recover(now Time, open []Session, highest Session) {
	g.highest = max(g.highest, highest)
	for _, session := range open {
		g.highest = max(g.highest, session)
		g.sessions[session] = &grant{until: now + g.terms.Duration}
	}
}

// Handle answers a holder's request. A session that has ended stays ended, whatever arrives late or twice.
func (g *Granter) Handle(now Time, request Request) Response {
	current := g.sessions[request.Session]
	if current == nil || now >= current.until || request.Release {
		delete(g.sessions, request.Session)
		return Response{Session: request.Session, Number: request.Number}
	}
	// A late or repeated request is granted as any other: its holder counts from when it sent it, and so stops earlier.
	current.until = max(current.until, now+g.terms.Duration)
	return Response{request.Session, request.Number, true}
}

// Expire removes the sessions whose grants have ended and returns them, in no order. Their resources may be granted to
// others.
func (g *Granter) Expire(now Time) (expired []Session) {
	for session, grant := range g.sessions {
		if now >= grant.until {
			delete(g.sessions, session)
			expired = append(expired, session)
		}
	}
	return expired
}

// Active reports whether the holder of a session may still be acting.
func (g *Granter) Active(now Time, session Session) bool {
	grant := g.sessions[session]
	return grant != nil && now < grant.until
}

// HighestSession returns the highest session number that was ever opened.
func (g *Granter) HighestSession() Session { return g.highest }
