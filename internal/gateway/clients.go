package gateway

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"

	"linnetbend/internal/sockets"
)

const (
	softShare  = 0.8                    // of the connections; above it newcomers replace those that stand idle
	quietGrace = 2 * time.Second        // a connection is left alone so long after connecting or its last request
	leastGrace = 100 * time.Millisecond // and so long where there is no room at all
	roomLook   = 10 * time.Millisecond  // between looks for room
	crossFor   = 100 * time.Millisecond // a request may be on its way for so long on a connection that was just made
	crossMost  = 500 * time.Millisecond // and for so long where the machine is slow
)

// clients keeps the connections of clients within a bound. Danger: a listener
// that only stops accepting at its bound hands the gateway over to whoever
// connects and says nothing; usual clients then wait in the backlog behind
// them. Here a newcomer takes the place of the connection that has been without an
// open request for the longest.
type clients struct {
	net.Listener
	most  int
	cross time.Duration
	freed chan struct{} // a connection has ended

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
	return &clients{Listener: l, most: most, cross: crossFor, freed: make(chan struct{}, 1), conns: map[net.Conn]*list.Element{}}
}

// Accept returns the next connection that there is room for. One for which none
// could be made soon is closed.
func (c *clients) Accept() (net.Conn, error) {
	for {
		conn, err := c.Listener.Accept()
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
		// Danger: a request may just have arrived that the server has not read.
		if sockets.Alive(q.Conn) {
			q.Close()
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

// closeQuiet closes the connections that have had no open request for the given
// time. Danger: a request may have arrived that the server has not read; its
// connection stays, and is closed after the answer.
func (c *clients) closeQuiet(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for e := c.quiet.Front(); e != nil; {
		q, next := e.Value.(quietConn), e.Next()
		if now.Sub(q.since) < age {
			return
		}
		if sockets.Alive(q.Conn) {
			q.Close()
			c.forget(q.Conn)
		}
		e = next
	}
}

// takeLast ends the taking of new connections and waits for the requests on the
// last ones. Danger: the server drops what it reads once it has been told to end,
// and the client would see that in place of an answer.
func (c *clients) takeLast() {
	c.Close()
	time.Sleep(c.cross)
	for end := time.Now().Add(crossMost - c.cross); c.awaits(crossMost) && time.Now().Before(end); {
		time.Sleep(roomLook)
	}
}

// awaits tells whether a connection younger than that has had no request yet. On a
// slow machine one may lie there unread, or be a while on its way.
func (c *clients) awaits(age time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.quiet.Back(); e != nil; e = e.Prev() {
		q := e.Value.(quietConn)
		if time.Since(q.since) >= age {
			return false
		}
		if q.fresh {
			return true
		}
	}
	return false
}

// closeFresh closes the connections that no request has come on. The server
// counts them as busy for seconds, and would hold up the gateway's end for them.
func (c *clients) closeFresh() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e := c.quiet.Front(); e != nil; e = e.Next() {
		if q := e.Value.(quietConn); q.fresh {
			q.Close()
		}
	}
}
