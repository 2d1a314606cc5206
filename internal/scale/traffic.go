package scale

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
)

// Traffic counts the TCP payload bytes of connections. Its zero value is ready to use. It is safe for concurrent use.
type Traffic struct{ received, sent atomic.Int64 }

// Received returns the number of bytes received.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Sent returns the number of bytes sent.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Total returns the number of bytes received and sent.
func (t *Traffic) Total() int64 { return t.Received() + t.Sent() }

// Link simulates the network between a gateway and the control machines. Its zero value passes all traffic. It is safe
// for concurrent use.
type Link struct {
	mu         sync.Mutex
	blocked    map[string]bool // unreachable addresses
	corrupting bool            // flip one bit in each read
}

// Block makes addresses unreachable until Heal. Data on an open connection to them is silently dropped, and a
// connection used meanwhile stays unusable after Heal.
func (l *Link) Block(addresses ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blocked == nil {
		l.blocked = map[string]bool{}
	}
	for _, address := range addresses {
		l.blocked[address] = true
	}
}

// Corrupt flips one bit in each read until Heal.
func (l *Link) Corrupt() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.corrupting = true
}

// corruptRead flips one random bit if corruption is on.
func (l *Link) corruptRead(data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.corrupting && len(data) > 0 {
		data[rand.IntN(len(data))] ^= 1 << rand.IntN(8)
	}
}

// Heal ends blocking and corruption.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.blocked)
	l.corrupting = false
}

func (l *Link) isBlocked(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blocked[address]
}

var errBlocked = errors.New("address is unreachable")

// dialer opens connections over a simulated link and counts their traffic.
type dialer struct {
	net.Dialer
	link    *Link
	traffic *Traffic
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.link.isBlocked(address) {
		ctx, cancel := context.WithTimeout(ctx, d.Timeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: errBlocked}
	}
	connection, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: connection, address: address, link: d.link, traffic: d.traffic, closed: make(chan struct{})}, nil
}

// meteredConn counts the traffic of a connection and applies the faults of its link.
type meteredConn struct {
	net.Conn
	address string
	link    *Link
	traffic *Traffic
	severed atomic.Bool // used while its address was blocked
	once    sync.Once
	closed  chan struct{}
}

// checkSevered reports whether the connection has been used while its address was blocked.
func (c *meteredConn) checkSevered() bool {
	if c.link.isBlocked(c.address) {
		c.severed.Store(true)
	}
	return c.severed.Load()
}

// Read blocks until Close on a severed connection, as on one whose peer no longer responds.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.checkSevered() {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.traffic.received.Add(int64(n))
	c.link.corruptRead(p[:n])
	return n, err
}

// Write discards data on a severed connection and reports success, as a send buffer does.
func (c *meteredConn) Write(p []byte) (int, error) {
	if c.checkSevered() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// Close closes the connection and unblocks Read. It may be called more than once.
func (c *meteredConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
