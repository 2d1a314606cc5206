package lease

import "fmt"

// Granter is the side that keeps a session to one holder. What it grants it does
// not write down: after a change of granters the next one waits out what the last
// may have granted (Recover). It belongs to one goroutine.
type Granter struct {
	terms    Terms
	sessions map[Session]*grant
	last     Session // the highest that was ever opened
}

type grant struct{ until Time }

// NewGranter makes a granter without sessions.
func NewGranter(terms Terms) (*Granter, error) {
	if err := terms.Check(); err != nil {
		return nil, err
	}
	return &Granter{terms: terms, sessions: map[Session]*grant{}}, nil
}

// Open begins a session under a number above all before it.
func (g *Granter) Open(now Time, s Session) error {
	if s <= g.last {
		return fmt.Errorf("session %d is not above %d", s, g.last)
	}
	g.last = s
	g.sessions[s] = &grant{until: now + g.terms.Duration}
	return nil
}

// Recover takes over sessions that another granter had open. Each may have been
// granted at the other's last moment, which was before now: it is waited out whole.
func (g *Granter) Recover(now Time, open []Session, last Session) {
	g.last = max(g.last, last)
	for _, s := range open {
		g.last = max(g.last, s)
		g.sessions[s] = &grant{until: now + g.terms.Duration}
	}
}

// Handle answers a holder. A session that has ended stays ended, whatever comes late
// or twice.
func (g *Granter) Handle(now Time, a Request) Response {
	s := g.sessions[a.Session]
	if s == nil || now >= s.until {
		delete(g.sessions, a.Session)
		return Response{Session: a.Session, Number: a.Number}
	}
	if a.Release {
		delete(g.sessions, a.Session)
		return Response{Session: a.Session, Number: a.Number}
	}
	// An ask that comes late or twice is granted like any other: its holder counts
	// from when it sent it, and so stops before this.
	s.until = max(s.until, now+g.terms.Duration)
	return Response{a.Session, a.Number, true}
}

// Expire takes out the sessions that have run out, and returns them: what they held
// may be given to others.
func (g *Granter) Expire(now Time) (list []Session) {
	for s, grant := range g.sessions {
		if now >= grant.until {
			delete(g.sessions, s)
			list = append(list, s)
		}
	}
	return list
}

// Active tells whether a session may still be acting.
func (g *Granter) Active(now Time, s Session) bool {
	grant := g.sessions[s]
	return grant != nil && now < grant.until
}

// Last is the highest number that was ever opened.
func (g *Granter) Last() Session { return g.last }
