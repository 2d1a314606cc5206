package scale

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
)

// Traffic counts the bytes of connections as TCP's payload. Its zero value is
// ready; it may be used by several goroutines.
type Traffic struct{ received, sent atomic.Int64 }

// Received returns how many bytes have come in.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Sent returns how many bytes have gone out.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// Total returns how many bytes have come in and gone out.
func (t *Traffic) Total() int64 { return t.Received() + t.Sent() }

// Link is a gateway's way to the control machines. Its zero value lets all
// through; it may be used by several goroutines.
type Link struct {
	mu      sync.Mutex
	blocked map[string]bool // addresses that can't be reached
	damaged bool            // a byte of whatever is read is changed
}

// Cut has an address answer no more, until Heal. What crosses an open connection
// to it is lost without a word, and that connection stays dead.
func (l *Link) Cut(addresses ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.blocked == nil {
		l.blocked = map[string]bool{}
	}
	for _, address := range addresses {
		l.blocked[address] = true
	}
}

// Damage changes a byte of whatever is read at once, until Heal.
func (l *Link) Damage() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.damaged = true
}

// damage changes a byte where that is wanted.
func (l *Link) damage(read []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.damaged && len(read) > 0 {
		read[rand.IntN(len(read))] ^= 1 << rand.IntN(8)
	}
}

// Heal lets all through again.
func (l *Link) Heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.blocked)
	l.damaged = false
}

func (l *Link) cut(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.blocked[address]
}

var errCut = errors.New("the address does not answer")

// dialer opens connections over a link, and counts what crosses them.
type dialer struct {
	net.Dialer
	link    *Link
	traffic *Traffic
}

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if d.link.cut(address) {
		ctx, cancel := context.WithTimeout(ctx, d.Timeout)
		defer cancel()
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: errCut}
	}
	connection, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConnection{Conn: connection, address: address, link: d.link, traffic: d.traffic, closed: make(chan struct{})}, nil
}

type countedConnection struct {
	net.Conn
	address string
	link    *Link
	traffic *Traffic
	dead    atomic.Bool // it has been used while the link was cut
	once    sync.Once
	closed  chan struct{}
}

// lost tells whether the connection has been cut.
func (c *countedConnection) lost() bool {
	if c.link.cut(c.address) {
		c.dead.Store(true)
	}
	return c.dead.Load()
}

func (c *countedConnection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.lost() {
		<-c.closed
		return 0, net.ErrClosed
	}
	c.traffic.received.Add(int64(n))
	c.link.damage(p[:n])
	return n, err
}

func (c *countedConnection) Write(p []byte) (int, error) {
	if c.lost() {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

// Close closes the connection; it may be called more than once.
func (c *countedConnection) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
