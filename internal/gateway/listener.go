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
	softShare  = 0.8                    // of the connections; above it newcomers replace those that stand idle
	quietGrace = 2 * time.Second        // a connection is left alone so long after connecting or its last request
	leastGrace = 100 * time.Millisecond // and so long where there is no room at all
	roomLook   = 10 * time.Millisecond  // between looks for room
	crossMost  = 500 * time.Millisecond // a request may be on its way for so long on one that was just made, when the last are taken
	lastLook   = 50 * time.Millisecond  // for the backlog before the listener closes
	lastMost   = 300 * time.Millisecond // and in all, where more and more come
)

// clients keeps the connections of clients within a bound. Danger: a listener
// that only stops accepting at its bound hands the gateway over to whoever
// connects and says nothing; usual clients then wait in the backlog behind
// them. Here a newcomer takes the place of the connection that has been without an
// open request for the longest.
type clients struct {
	net.Listener
	most   int
	cross  time.Duration // a first request is waited for so long once the last connections are taken
	freed  chan struct{} // a connection has ended
	ending atomic.Int64  // Unix nanoseconds by when the last must have been taken; 0: no end was asked for

	mu    sync.Mutex
	conns map[net.Conn]*list.Element // its place in quiet; nil while a request is open
	quiet list.List                  // of quietConn, the longest first
}

// quietConn is a connection without an open request.
type quietConn struct {
	net.Conn
	since time.Time
	fresh bool // none has come on it yet
}

func newClients(l net.Listener, most int) *clients {
	return &clients{Listener: l, most: most, cross: crossMost, freed: make(chan struct{}, 1), conns: map[net.Conn]*list.Element{}}
}

// Accept returns the next connection that there is room for. One for which none
// could be made soon is closed.
func (c *clients) Accept() (net.Conn, error) {
	for {
		conn, err := c.next()
		if err != nil {
			return nil, err
		}
		for left := leastGrace; ; left -= roomLook {
			if c.makeRoom() {
				if tcp, ok := conn.(*net.TCPConn); ok {
					return &guard{TCPConn: tcp}, nil
				}
				return conn, nil
			}
			if left <= 0 {
				break
			}
			select {
			case <-c.freed:
			case <-time.After(roomLook):
			}
		}
		conn.Close()
	}
}

// makeRoom closes connections that have been quiet for long enough, once the
// soft bound is passed. It tells whether one more fits.
func (c *clients) makeRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, gone := time.Now(), 0
	for e := c.quiet.Front(); e != nil && gone < 2 && len(c.conns) > int(softShare*float64(c.most)); {
		q, next := e.Value.(quietConn), e.Next()
		age := now.Sub(q.since)
		if age < leastGrace || age < quietGrace && len(c.conns) < c.most {
			break // all others have been quiet for less
		}
		if closeIdle(q.Conn) {
			c.forget(q.Conn)
			gone++
		}
		e = next
	}
	return len(c.conns) < c.most
}

// state follows what the server does with a connection.
func (c *clients) state(conn net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, here := c.conns[conn]
	if !here && s != http.StateNew {
		return // it was closed to make room
	}
	if e != nil {
		c.quiet.Remove(e)
		c.conns[conn] = nil
	}
	if g, ok := conn.(*guard); ok {
		g.follow(s)
	}
	switch s {
	case http.StateNew, http.StateIdle:
		c.conns[conn] = c.quiet.PushBack(quietConn{conn, time.Now(), s == http.StateNew})
	case http.StateClosed, http.StateHijacked:
		c.forget(conn)
	}
}

// forget takes a connection off the books.
func (c *clients) forget(conn net.Conn) {
	if e := c.conns[conn]; e != nil {
		c.quiet.Remove(e)
	}
	delete(c.conns, conn)
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

// closeIdle closes a connection that no request has begun on.
func closeIdle(conn net.Conn) bool {
	if g, ok := conn.(*guard); ok {
		return g.closeIdle()
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
func (c *clients) closeQuiet(used, fresh time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for e := c.quiet.Front(); e != nil; {
		q, next := e.Value.(quietConn), e.Next()
		age := used
		if q.fresh {
			age = fresh
		}
		if now.Sub(q.since) >= age && closeIdle(q.Conn) {
			c.forget(q.Conn)
		}
		e = next
	}
}

// finish ends the taking of new connections. Danger: what waits in the backlog when
// the listener closes is reset, with its request. So the last of them are taken
// first; Accept closes the listener when none is left.
func (c *clients) finish() {
	c.ending.Store(time.Now().Add(lastMost).UnixNano())
	if l, ok := c.Listener.(interface{ SetDeadline(time.Time) error }); !ok || l.SetDeadline(time.Now()) != nil {
		c.Close()
	}
}

// next is the listener's next connection. Once the end was asked for, each look at the
// backlog has time of its own: one that is over before it begins finds nothing.
func (c *clients) next() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	end := c.ending.Load()
	if end == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return conn, err
	}
	if time.Now().UnixNano() > end {
		c.Close()
		return nil, net.ErrClosed
	}
	if err := c.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(time.Now().Add(lastLook)); err != nil {
		return nil, err
	}
	if conn, err = c.Listener.Accept(); err != nil {
		c.Close()
		return nil, net.ErrClosed
	}
	return conn, nil
}

// open is how many connections there are.
func (c *clients) open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
