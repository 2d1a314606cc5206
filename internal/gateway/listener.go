package gateway

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"elderyard/internal/sockets"
)

const (
	softLimitRatio      = 0.8                    // of the connections; above it newcomers replace those that stand idle
	idleGrace           = 2 * time.Second        // a connection is left alone so long after connecting or its last request
	minIdleGrace        = 100 * time.Millisecond // and so long where there is no room at all
	evictPollInterval   = 10 * time.Millisecond  // between looks for room
	maxFirstRequestWait = 500 * time.Millisecond // a request may be on its way for so long on one that was just made, when the last are taken
	backlogPollTime     = 50 * time.Millisecond  // for the backlog before the listener closes
	maxBacklogTime      = 300 * time.Millisecond // and in all, where more and more come
)

// clients keeps the connections of clients within a bound. Danger: a listener
// that only stops accepting at its bound hands the gateway over to whoever
// connects and says nothing; usual clients then wait in the backlog behind
// them. Here a newcomer takes the place of the connection that has been without an
// open request for the longest.
type clientListener struct {
	net.Listener
	limit            int
	firstRequestWait time.Duration // a first request is waited for so long once the last connections are taken
	freed            chan struct{} // a connection has ended
	acceptDeadline   atomic.Int64  // Unix nanoseconds by when the last must have been taken; 0: no end was asked for

	mu    sync.Mutex
	conns map[net.Conn]*list.Element // its place in quiet; nil while a request is open
	idle  list.List                  // of quietConn, the longest first
}

// quietConn is a connection without an open request.
type idleConn struct {
	net.Conn
	since  time.Time
	unused bool // none has come on it yet
}

func newClientListener(l net.Listener, limit int) *clientListener {
	return &clientListener{Listener: l, limit: limit, firstRequestWait: maxFirstRequestWait, freed: make(chan struct{}, 1), conns: map[net.Conn]*list.Element{}}
}

// Accept returns the next connection that there is room for. One for which none
// could be made soon is closed.
func (c *clientListener) Accept() (net.Conn, error) {
	for {
		conn, err := c.acceptNext()
		if err != nil {
			return nil, err
		}
		for remaining := minIdleGrace; ; remaining -= evictPollInterval {
			if c.evictIdle() {
				if tcp, ok := conn.(*net.TCPConn); ok {
					return &clientConn{TCPConn: tcp}, nil
				}
				return conn, nil
			}
			if remaining <= 0 {
				break
			}
			select {
			case <-c.freed:
			case <-time.After(evictPollInterval):
			}
		}
		conn.Close()
	}
}

// makeRoom closes connections that have been quiet for long enough, once the
// soft bound is passed. It tells whether one more fits.
func (c *clientListener) evictIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, closed := time.Now(), 0
	for element := c.idle.Front(); element != nil && closed < 2 && len(c.conns) > int(softLimitRatio*float64(c.limit)); {
		candidate, nextElement := element.Value.(idleConn), element.Next()
		age := now.Sub(candidate.since)
		if age < minIdleGrace || age < idleGrace && len(c.conns) < c.limit {
			break // all others have been quiet for less
		}
		if closeIfIdle(candidate.Conn) {
			c.untrack(candidate.Conn)
			closed++
		}
		element = nextElement
	}
	return len(c.conns) < c.limit
}

// state follows what the server does with a connection.
func (c *clientListener) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element, tracked := c.conns[conn]
	if !tracked && state != http.StateNew {
		return // it was closed to make room
	}
	if element != nil {
		c.idle.Remove(element)
		c.conns[conn] = nil
	}
	if cc, ok := conn.(*clientConn); ok {
		cc.onStateChange(state)
	}
	switch state {
	case http.StateNew, http.StateIdle:
		c.conns[conn] = c.idle.PushBack(idleConn{conn, time.Now(), state == http.StateNew})
	case http.StateClosed, http.StateHijacked:
		c.untrack(conn)
	}
}

// forget takes a connection off the books.
func (c *clientListener) untrack(conn net.Conn) {
	if e := c.conns[conn]; e != nil {
		c.idle.Remove(e)
	}
	delete(c.conns, conn)
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

// closeIdle closes a connection that no request has begun on.
func closeIfIdle(conn net.Conn) bool {
	if cc, ok := conn.(*clientConn); ok {
		return cc.closeIfIdle()
	}
	if !sockets.Alive(conn) {
		return false
	}
	conn.Close()
	return true
}

// closeQuiet closes the connections that have had no open request for the given
// time, one for those that have had a request and one for those that never had. One on
// which a request has begun stays, and is closed after its answer.
func (c *clientListener) closeIdleConns(usedFor, unusedFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for element := c.idle.Front(); element != nil; {
		candidate, nextElement := element.Value.(idleConn), element.Next()
		minIdle := usedFor
		if candidate.unused {
			minIdle = unusedFor
		}
		if now.Sub(candidate.since) >= minIdle && closeIfIdle(candidate.Conn) {
			c.untrack(candidate.Conn)
		}
		element = nextElement
	}
}

// finish ends the taking of new connections. Danger: what waits in the backlog when
// the listener closes is reset, with its request. So the last of them are taken
// first; Accept closes the listener when none is left.
func (c *clientListener) drainBacklog() {
	c.acceptDeadline.Store(time.Now().Add(maxBacklogTime).UnixNano())
	if l, ok := c.Listener.(interface{ SetDeadline(time.Time) error }); !ok || l.SetDeadline(time.Now()) != nil {
		c.Close()
	}
}

// next is the listener's next connection. Once the end was asked for, each look at the
// backlog has time of its own: one that is over before it begins finds nothing.
func (c *clientListener) acceptNext() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	end := c.acceptDeadline.Load()
	if end == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	if time.Now().UnixNano() > end {
		c.Close()
		return nil, net.ErrClosed
	}
	if err := c.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Now().Add(backlogPollTime)); err != nil {
		return nil, err
	}
	if conn, err = c.Listener.Accept(); err != nil {
		c.Close()
		return nil, net.ErrClosed
	}
	return conn, nil
}

// open is how many connections there are.
func (c *clientListener) openConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
