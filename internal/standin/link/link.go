// Package link provides the listeners of a stand-in: one on loopback for each pair of a caller and a stand-in, into
// which faults of a network or a dying machine can be injected. Because every pair has its own listener, a partition
// can be simulated for a single gateway, and the stand-in knows the caller of a connection without trusting what it
// sends.
package link

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"elderyard/internal/loopback"
)

const (
	backlog      = 1024
	fillTimeout  = 40 * time.Millisecond // dial timeout of a connection that fills the backlog
	maxFillers   = 4
	drainTimeout = 2 * time.Millisecond   // after which the backlog counts as empty
	reopenFor    = 500 * time.Millisecond // how long Up tries to listen on the old port
)

// ErrClosed is returned by calls on a closed link.
var ErrClosed = errors.New("link: closed")

// Link is one listener with its connections. It is safe for concurrent use.
type Link struct {
	peer string

	mu          sync.Mutex
	changed     *sync.Cond // on mu: one of the fields below has changed
	ln          *net.TCPListener
	addr        string
	conns       map[*Conn]struct{}
	cut         bool
	closed      bool
	fillers     map[string]bool // local addresses of our own connections that keep the backlog full
	fillerConns []net.Conn
}

// Listen opens a link on a free loopback port. Peer is the name of the caller that will use it.
func Listen(peer string) (*Link, error) {
	l := &Link{peer: peer, conns: map[*Conn]struct{}{}, fillers: map[string]bool{}}
	l.changed = sync.NewCond(&l.mu)
	if err := l.open(loopback.Host() + ":0"); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Link) open(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("link for %s: %w", l.peer, err)
	}
	l.ln, l.addr = ln.(*net.TCPListener), ln.Addr().String()
	return nil
}

// Peer returns the name of the caller that the link is for.
func (l *Link) Peer() string { return l.peer }

// Address returns the address that the link listens on, or last listened on.
func (l *Link) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Addr makes a Link a net.Listener.
func (l *Link) Addr() net.Addr { return address(l.Address()) }

type address string

// Network returns "tcp".
func (address) Network() string { return "tcp" }

// String returns the address as host:port.
func (a address) String() string { return string(a) }

// Accept waits for the next connection. It blocks while the link is cut or down, and returns ErrClosed once it is
// closed.
func (l *Link) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		for (l.cut || l.ln == nil) && !l.closed {
			l.changed.Wait()
		}
		if l.closed {
			l.mu.Unlock()
			return nil, ErrClosed
		}
		ln := l.ln
		l.mu.Unlock()
		tcp, err := ln.AcceptTCP()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
				continue // the link was cut, taken down or closed, which the loop above handles
			}
			return nil, fmt.Errorf("link for %s: %w", l.peer, err)
		}
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
	}
}

// Serve serves each connection in a goroutine of its own. It returns once the link is closed and these goroutines have
// ended. Admit is called for each connection and returns the function that serves it, or nil to reset the connection.
func (l *Link) Serve(admit func() func(*Conn)) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		c := conn.(*Conn)
		serve := admit()
		if serve == nil {
			c.Reset()
			continue
		}
		wg.Go(func() { serve(c) })
	}
}

// AddressFor returns the address of the first of a stand-in's links that is for a caller, or "" if there is none.
func AddressFor(links []*Link, peer string) string {
	for _, l := range links {
		if l.Peer() == peer {
			return l.Address()
		}
	}
	return ""
}

// admit registers an accepted connection. It resets one that fills the backlog, or that came up while the link was
// taken down.
func (l *Link) admit(tcp *net.TCPConn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	remote := tcp.RemoteAddr().String()
	if l.closed || l.ln == nil || l.fillers[remote] {
		delete(l.fillers, remote)
		reset(tcp)
		return nil
	}
	c := &Conn{TCPConn: tcp, link: l}
	l.conns[c] = struct{}{}
	return c
}

// Cut simulates a machine that has disappeared from the network: open connections stay open but carry no data, and new
// ones are never established.
func (l *Link) Cut() {
	l.mu.Lock()
	if l.cut || l.closed || l.ln == nil {
		l.mu.Unlock()
		return
	}
	l.cut = true
	ln, addr := l.ln, l.addr
	l.changed.Broadcast()
	l.mu.Unlock()

	ln.SetDeadline(time.Unix(1, 0))
	setBacklog(ln, 0)
	// A listener with a full backlog drops connection requests, so the caller gets no response, as from a machine that
	// has disappeared. The backlog is filled with connections of our own.
	for range maxFillers {
		conn, err := net.DialTimeout("tcp", addr, fillTimeout)
		if err != nil {
			return
		}
		l.mu.Lock()
		if !l.cut {
			l.mu.Unlock()
			conn.Close()
			return
		}
		l.fillers[conn.LocalAddr().String()] = true
		l.fillerConns = append(l.fillerConns, conn)
		l.mu.Unlock()
	}
}

// Heal ends a cut. Data held back on open connections is delivered; with resetOpen, the connections are reset instead,
// as by a machine that has lost their state.
func (l *Link) Heal(resetOpen bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.cut {
		return
	}
	if resetOpen {
		l.resetLocked()
	}
	if l.ln != nil {
		l.dropPendingLocked()
	}
	l.cut = false
	for c := range l.conns {
		if c.closePending {
			c.closed = true
			c.TCPConn.Close()
			delete(l.conns, c)
		}
	}
	for _, c := range l.fillerConns {
		c.Close()
	}
	l.fillerConns = nil
	clear(l.fillers)
	if l.ln != nil {
		setBacklog(l.ln, backlog)
		l.ln.SetDeadline(time.Time{})
	}
	l.changed.Broadcast()
}

// dropPendingLocked resets the connections that have not been accepted: our own that filled the backlog, and any that
// were established while the link was being cut. These must not be accepted after the cut: the time at which their data
// was sent is unknown, and the record would show the end of the cut.
func (l *Link) dropPendingLocked() {
	l.ln.SetDeadline(time.Now().Add(drainTimeout))
	for {
		c, err := l.ln.AcceptTCP()
		if err != nil {
			return
		}
		reset(c)
	}
}

// Reset resets all open connections. New ones are accepted.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetLocked()
	l.changed.Broadcast()
}

func (l *Link) resetLocked() {
	for c := range l.conns {
		c.closed = true
		reset(c.TCPConn)
		delete(l.conns, c)
	}
}

// Down simulates the death of the process: open connections are reset, new ones refused.
func (l *Link) Down() {
	l.Heal(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	l.resetLocked()
	l.changed.Broadcast()
}

// Up listens again after Down, on the old address or, if that is in use, on a new one, which Address returns.
func (l *Link) Up() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return ErrClosed
	}
	if l.ln != nil {
		return nil
	}
	defer l.changed.Broadcast()
	for end := time.Now().Add(reopenFor); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if l.open(l.addr) == nil {
			return nil
		}
	}
	return l.open(loopback.Host() + ":0")
}

// Close closes the link and resets its connections.
func (l *Link) Close() error {
	l.Heal(true)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.ln != nil {
		l.ln.Close()
		l.ln = nil
	}
	l.resetLocked()
	l.changed.Broadcast()
	return nil
}

// Conn is a connection of a link.
type Conn struct {
	*net.TCPConn
	link      *Link
	arrivedAt time.Time // when the last data was read; owned by the reader

	// Guarded by the link's mu:
	closed       bool // closed on this side
	closePending bool // closed during a cut: the socket is closed when the link heals
}

// ArrivedAt returns when the data read last had arrived, before the link held it back. Only the goroutine that reads
// may call it.
func (c *Conn) ArrivedAt() time.Time { return c.arrivedAt }

// Peer returns the name of the caller.
func (c *Conn) Peer() string { return c.link.peer }

// waitUncut waits while the link is cut. It returns an error once the connection is closed.
func (c *Conn) waitUncut() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	for c.link.cut && !c.closed && !c.closePending {
		c.link.changed.Wait()
	}
	if c.closed || c.closePending {
		return net.ErrClosed
	}
	return nil
}

// Read returns received data, or the end of the connection, once the link is not cut.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.arrivedAt = time.Now()
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err // our own deadline does not depend on the network
	}
	if closedErr := c.waitUncut(); closedErr != nil {
		return 0, closedErr
	}
	return n, err
}

// Write sends once the link is not cut.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.waitUncut(); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// ReadFrom makes io.Copy use Write, so that a cut applies to it.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close closes the connection. While the link is cut the other side does not notice: the socket is closed when the link
// heals or is closed.
func (c *Conn) Close() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.closed {
		return nil
	}
	if c.link.cut {
		c.closePending = true
		c.link.changed.Broadcast()
		return nil
	}
	c.closed = true
	delete(c.link.conns, c)
	c.link.changed.Broadcast()
	return c.TCPConn.Close()
}

// Reset resets the connection.
func (c *Conn) Reset() {
	c.TCPConn.SetLinger(0)
	c.Close()
}

func reset(c *net.TCPConn) {
	c.SetLinger(0)
	c.Close()
}

func setBacklog(ln *net.TCPListener, n int) {
	raw, err := ln.SyscallConn()
	if err != nil {
		return // the listener is closed and has no backlog
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}
