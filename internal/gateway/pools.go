package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"elderyard/internal/sockets"
	"elderyard/rules"
)

const (
	idleMargin    = time.Second            // connections are not reused this close to the backend's idle timeout
	reuseDelay    = 10 * time.Millisecond  // after a response, before the connection is reused
	sweepInterval = 500 * time.Millisecond // between searches for expired idle connections
)

// backendConn is a connection to a backend. It carries one request at a time.
type backendConn struct {
	net.Conn
	limit     *io.LimitedReader // bytes that a response may still have, including its headers
	reader    *bufio.Reader     // reads from limit
	writer    *bufio.Writer
	endpoint  *endpoint
	bodies    *bodyBudget
	connected time.Time
	idleSince time.Time     // zero while in use
	idleFor   time.Duration // idle time before the current use; 0 for a new connection

	unconfirmedUntil time.Time // until then it may lead to another process than discovery reports
}

// dropUnsent has the next Close discard what the kernel has not sent yet, and reset the connection. Where the end of a body
// waits there behind megabytes, a backend that reads them would begin a request that has been given up.
func (c *backendConn) dropUnsent() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0) // fails only on a connection that is closed
	}
}

// endpoint is a backend at one address. All of its connections end with it.
type endpoint struct {
	address   string
	startedAt float64         // of the backend's current process, as far as discovery has reported it
	restarted time.Time       // connections established before are to an earlier process; zero: none are
	endedAt   time.Time       // when the backend was last seen to have ended a connection or accepted none
	ctx       context.Context // ends with the endpoint; cancels its dials
	cancel    context.CancelFunc
	conns     map[*backendConn]struct{}
	idle      []*backendConn // most recently used last
	retired   bool
}

// pools holds the connections to all backends.
type pools struct {
	connectTimeout time.Duration
	idleLimit      time.Duration
	maxOpen        int         // connections to all backends
	bodies         *bodyBudget // for response bodies
	dialContext    func(ctx context.Context, network, address string) (net.Conn, error)
	idleEstimator  sockets.IdleEstimator
	dials          atomic.Int64 // since the last rollup

	mu        sync.Mutex
	endpoints map[rules.BackendID]*endpoint
	openConns int // connections and dials in progress
}

func newPools(connectTimeout, idleTimeout time.Duration, maxOpen int) *pools {
	dialer := net.Dialer{KeepAlive: -1} // probes would notice a silent machine too late
	return &pools{dialContext: dialer.DialContext, connectTimeout: connectTimeout, idleLimit: max(idleTimeout-idleMargin, idleTimeout/2),
		maxOpen: maxOpen, endpoints: map[rules.BackendID]*endpoint{}}
}

// update sets the address and the start time of a ready backend. A new address retires the old connections. A restart
// ends those to the earlier process, but discovery may report it seconds late: connections that were established since
// belong to the new process, and so will pending dials.
func (p *pools) update(id rules.BackendID, address string, startedAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.endpoints[id]; old != nil {
		if old.startedAt < startedAt {
			old.startedAt, old.restarted = startedAt, restartTime(startedAt)
			p.closeEarlierProcess(old)
			old.confirm()
		}
		if old.address == address {
			return
		}
		p.retire(old, false)
	}
	next := &endpoint{address: address, startedAt: startedAt, conns: map[*backendConn]struct{}{}}
	next.ctx, next.cancel = context.WithCancel(context.Background())
	p.endpoints[id] = next
}

// restartTime converts a start time that discovery has just reported. By a clock that is ahead the backend may have
// started in the future, but it has started by now.
func restartTime(startedAt float64) time.Time {
	start, now := time.UnixMilli(int64(math.Round(startedAt*1000))), time.Now()
	if start.After(now) {
		return now
	}
	return start
}

// closeEarlierProcess closes the connections to an earlier process of the backend. Requests in flight on them will never
// get a response.
func (p *pools) closeEarlierProcess(e *endpoint) {
	for c := range e.conns {
		if c.toEarlierProcess() {
			c.Close()
		}
	}
	e.idle = slices.DeleteFunc(e.idle, func(c *backendConn) bool {
		earlier := c.toEarlierProcess()
		if earlier {
			p.untrack(c)
		}
		return earlier
	})
}

// toEarlierProcess reports whether the backend has restarted since the connection was established.
func (c *backendConn) toEarlierProcess() bool { return c.connected.Before(c.endpoint.restarted) }

// remove stops sending to a backend that drains or is gone, and cancels its pending dials. Requests in
// flight may still get a response.
func (p *pools) remove(id rules.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		p.retire(e, false)
		delete(p.endpoints, id)
	}
}

// retire ends an endpoint: it cancels the dials and closes the idle connections, and those in use if inUse.
func (p *pools) retire(e *endpoint, inUse bool) {
	e.retired = true
	e.cancel()
	for c := range e.conns {
		if inUse || !c.idleSince.IsZero() {
			c.Close()
		}
	}
	for _, c := range e.idle {
		p.untrack(c)
	}
	e.idle = nil
}

// untrack removes a closed connection from the pool's accounting.
func (p *pools) untrack(c *backendConn) {
	if _, here := c.endpoint.conns[c]; here {
		delete(c.endpoint.conns, c)
		p.openConns--
	}
}

// discard closes a connection that can't be reused.
func (p *pools) discard(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.untrack(c)
}

// put returns a connection to the pool.
func (p *pools) put(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.retired || c.toEarlierProcess() {
		c.Close()
		p.untrack(c)
		return
	}
	c.idleSince = time.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// sweep closes expired idle connections until ctx ends.
func (p *pools) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			for id, e := range p.endpoints {
				p.retire(e, true)
				delete(p.endpoints, id)
			}
			return
		case <-tick.C:
			p.mu.Lock()
			for _, e := range p.endpoints {
				p.closeIdleBefore(e, time.Now().Add(-p.idleLimit))
			}
			p.mu.Unlock()
		}
	}
}

// closeIdleBefore closes the connections that have been idle since before the given time.
func (p *pools) closeIdleBefore(e *endpoint, before time.Time) {
	closed := 0
	for ; closed < len(e.idle) && e.idle[closed].idleSince.Before(before); closed++ {
		e.idle[closed].Close()
		p.untrack(e.idle[closed])
	}
	e.idle = append(e.idle[:0], e.idle[closed:]...)
}

// closeOldestIdle closes the connection to any backend that has been idle longest, so that idle
// connections to other backends don't prevent a new one.
func (p *pools) closeOldestIdle() bool {
	var oldest *backendConn
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = e.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.endpoint.idle = slices.Delete(oldest.endpoint.idle, 0, 1)
	oldest.Close()
	p.untrack(oldest)
	return true
}

// idleLimitAt returns how long a connection may have been idle that is reused.
func (p *pools) idleLimitAt(now time.Time) time.Duration {
	return min(p.idleLimit, p.idleEstimator.Limit(now))
}

var errNoConnection = errors.New("no connection available")

// reusable returns how many idle connections have been idle for reuseDelay. They come first, since the
// most recently used are last. Under full load a backend has dozens of them, and reading the clock for
// each was 3% of the CPU.
func (e *endpoint) reusable(now time.Time) int {
	return sort.Search(len(e.idle), func(i int) bool { return now.Sub(e.idle[i].idleSince) < reuseDelay })
}

// conn returns an idle connection to the backend, or dials a new one.
func (p *pools) conn(ctx context.Context, id rules.BackendID) (*backendConn, error) {
	p.mu.Lock()
	e := p.endpoints[id]
	if e == nil {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	now := time.Now()
	idleLimit := p.idleLimitAt(now)
	// Surplus bytes after the last response may still be in transit and would be read as the next response,
	// so a connection must not be reused before reuseDelay. This also holds at the connection limit, where
	// such a connection is closed to make room for a new one.
	for n := e.reusable(now) - 1; n >= 0; n-- {
		c := e.idle[n]
		age := now.Sub(c.idleSince)
		e.idle = slices.Delete(e.idle, n, n+1)
		if age < idleLimit {
			if sockets.Alive(c.Conn) {
				c.idleSince, c.idleFor = time.Time{}, age
				p.mu.Unlock()
				return c, nil
			}
			e.recordIfEnded(c)
		}
		c.Close()
		p.untrack(c)
	}
	if p.openConns >= p.maxOpen && !p.closeOldestIdle() {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	p.openConns++
	p.mu.Unlock()
	c, err := p.dial(ctx, e)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		e.endedAt = time.Now()
	}
	if err == nil && (e.retired || c.toEarlierProcess()) {
		c.Close()
		err = errNoConnection
	}
	if err != nil {
		p.openConns--
		return nil, err
	}
	c.unconfirmedUntil = e.unconfirmedUntil(idleLimit)
	e.conns[c] = struct{}{}
	return c, nil
}

func (p *pools) dial(ctx context.Context, e *endpoint) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	defer context.AfterFunc(e.ctx, cancel)()
	p.dials.Add(1)
	conn, err := p.dialContext(ctx, "tcp", e.address)
	if err != nil {
		return nil, err
	}
	backend := newBackendConn(conn, e)
	backend.bodies = p.bodies
	return backend, nil
}

func newBackendConn(conn net.Conn, endpoint *endpoint) *backendConn {
	limit := &io.LimitedReader{R: conn}
	return &backendConn{Conn: conn, limit: limit, reader: bufio.NewReader(limit), writer: bufio.NewWriter(conn), endpoint: endpoint, connected: time.Now()}
}
