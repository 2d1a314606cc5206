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
	softLimitRatio      = 0.8                    // of the limit; above it new connections replace idle ones
	idleGrace           = 2 * time.Second        // a connection is not closed this soon after connecting or its last request
	minIdleGrace        = 100 * time.Millisecond // and not this soon where no slot is free at all
	evictPollInterval   = 10 * time.Millisecond  // between attempts to free a slot
	maxFirstRequestWait = 500 * time.Millisecond // at shutdown, a client may take this long to send the first request on a new connection
	backlogPollTime     = 50 * time.Millisecond  // per read of the backlog before the listener closes
	maxBacklogTime      = 300 * time.Millisecond // for all of it, where more connections keep arriving
)

// clientListener limits the number of client connections. If it only stopped accepting at its limit,
// clients that connect and send nothing could take over the gateway while others wait in the backlog.
// So a new connection replaces the one that has been without an open request for longest.
type clientListener struct {
	net.Listener
	limit            int
	firstRequestWait time.Duration // at shutdown, for the first request on a new connection
	freed            chan struct{} // signals that a connection has ended
	acceptDeadline   atomic.Int64  // Unix nanoseconds by which the backlog must be drained; 0: not shutting down

	mu    sync.Mutex
	conns map[net.Conn]*list.Element // the element in idle; nil while a request is open
	idle  list.List                  // of idleConn, longest idle first
}

// idleConn is a connection without an open request.
type idleConn struct {
	net.Conn
	since  time.Time
	unused bool // no request has arrived on it yet
}

func newClientListener(l net.Listener, limit int) *clientListener {
	return &clientListener{Listener: l, limit: limit, firstRequestWait: maxFirstRequestWait, freed: make(chan struct{}, 1), conns: map[net.Conn]*list.Element{}}
}

// Accept returns the next connection for which there is a slot. A connection for which none is freed in
// time is closed.
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

// evictIdle closes connections that have been idle long enough, once the soft limit is exceeded. It
// reports whether one more connection fits.
func (c *clientListener) evictIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, closed := time.Now(), 0
	for element := c.idle.Front(); element != nil && closed < 2 && len(c.conns) > int(softLimitRatio*float64(c.limit)); {
		candidate, nextElement := element.Value.(idleConn), element.Next()
		age := now.Sub(candidate.since)
		if age < minIdleGrace || age < idleGrace && len(c.conns) < c.limit {
			break // all others have been idle for less
		}
		if closeIfIdle(candidate.Conn) {
			c.untrack(candidate.Conn)
			closed++
		}
		element = nextElement
	}
	return len(c.conns) < c.limit
}

// onStateChange follows the state of a connection in the HTTP server.
func (c *clientListener) onStateChange(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element, tracked := c.conns[conn]
	if !tracked && state != http.StateNew {
		return // evicted earlier
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

// untrack removes a connection from the accounting.
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

// closeIfIdle closes a connection unless a request has started on it.
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

// closeIdleConns closes the connections without an open request that have been idle for the given times:
// usedFor where there has been a request, unusedFor where there has been none. A connection on which a
// request has started stays open until its response.
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

// drainBacklog ends the accepting of connections. Connections still in the backlog when the listener
// closes are reset along with their requests, so they are accepted first; Accept closes the listener once
// none is left.
func (c *clientListener) drainBacklog() {
	c.acceptDeadline.Store(time.Now().Add(maxBacklogTime).UnixNano())
	if l, ok := c.Listener.(interface{ SetDeadline(time.Time) error }); !ok || l.SetDeadline(time.Now()) != nil {
		c.Close()
	}
}

// acceptNext returns the listener's next connection. While the backlog is drained, each accept gets a
// deadline of its own: one that has already expired would find nothing.
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

// openConns returns the number of connections.
func (c *clientListener) openConns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}
