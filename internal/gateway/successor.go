package gateway

import (
	"sync/atomic"
	"time"

	"elderyard/internal/sockets"
	"elderyard/rules"
)

// Another process may come up at the address of a backend that has gone, before discovery reports either. It may belong to
// another group of backends, which doesn't know the keys that the old one's group has seen. All that a gateway sees of this
// is that its connections to the address have ended.

const unconfirmedTime = 6 * time.Second // in which discovery reports a new process at a backend's address

// recordEnd records that the backend has ended a connection or accepted none.
func (p *pools) recordEnd(e *endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e.endedAt = time.Now()
}

// recordIfEnded records the end of a connection that the backend had kept open.
func (e *endpoint) recordIfEnded(c *backendConn) {
	if sockets.PeerClosed(c.Conn) {
		e.endedAt = time.Now()
	}
}

// unconfirmedUntil returns until when a new connection may lead to another process than the one that discovery reports;
// zero: it does not. While an earlier connection is open, the process that accepted it still has the address. Connections
// that have been idle for idleLimit say nothing: the backend may have closed them for that.
func (e *endpoint) unconfirmedUntil(idleLimit time.Duration) time.Time {
	for earlier := range e.conns {
		ended := sockets.PeerClosed(earlier.Conn)
		if !ended && !earlier.isUnconfirmed() {
			return time.Time{}
		}
		if ended && !earlier.idleSince.IsZero() && time.Since(earlier.idleSince) < idleLimit {
			e.endedAt = time.Now()
		}
	}
	if e.endedAt.IsZero() {
		return time.Time{}
	}
	return e.endedAt.Add(unconfirmedTime)
}

// mayBeReplaced reports whether another process than the one that discovery reports may have the backend's address.
func (p *pools) mayBeReplaced(id rules.BackendID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	e := p.endpoints[id]
	return e != nil && now.Before(e.unconfirmedUntil(p.idleLimitAt(now)))
}

// isUnconfirmed reports whether the connection may lead to another process than the one that discovery reports.
func (c *backendConn) isUnconfirmed() bool { return time.Now().Before(c.unconfirmedUntil) }

// confirm records that discovery has reported the process that has the address now.
func (e *endpoint) confirm() {
	e.endedAt = time.Time{}
	for c := range e.conns {
		c.unconfirmedUntil = time.Time{}
	}
}

// isUnconfirmed is isUnconfirmed of a connection that an attempt holds.
func (p *pools) isUnconfirmed(c *backendConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.isUnconfirmed()
}

// putBack returns a connection on which an attempt has written nothing to the pool.
func (p *pools) putBack(a *attempt, c *backendConn) {
	if a.releaseConn() {
		p.put(c)
	} else {
		p.discard(c)
	}
}

// singleRun keeps a request whose duplicates are dropped only within a group of backends from running a second time where
// the group of an attempt is unknown. Nil: duplicates are dropped anywhere, or the request is never sent twice.
type singleRun struct {
	attempts     atomic.Int32 // that may run or have run
	groupUnknown atomic.Bool  // one of them is at a backend that may have been replaced
}

// newSingleRun returns nil for a class whose requests need none.
func newSingleRun(class *rules.Class) *singleRun {
	if class.Idempotency != rules.IdempotentByKey || class.Scope == rules.ScopeAll {
		return nil
	}
	return &singleRun{}
}

// begin counts a new attempt and reports whether it may run.
func (s *singleRun) begin() bool {
	if s == nil {
		return true
	}
	s.attempts.Add(1)
	return !s.groupUnknown.Load()
}

// isRepeat reports whether another attempt may run or have run.
func (s *singleRun) isRepeat() bool { return s != nil && s.attempts.Load() > 1 }

// sendToUnknownGroup reports whether an attempt may be sent to a backend that may have been replaced. If so, no other may
// run from then on.
func (s *singleRun) sendToUnknownGroup() bool {
	if s == nil {
		return true
	}
	s.groupUnknown.Store(true)
	if s.isRepeat() {
		s.groupUnknown.Store(false) // nothing is sent
		return false
	}
	return true
}

// neverRan takes back an attempt that is proven not to have run.
func (s *singleRun) neverRan() {
	if s == nil {
		return
	}
	if s.attempts.Add(-1) == 0 {
		s.groupUnknown.Store(false)
	}
}
