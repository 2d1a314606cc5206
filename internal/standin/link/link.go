// Package link gives a stand-in its sockets: one listener for each pair of a
// caller and a stand-in, on loopback, with switches for what a network and a
// dying machine do to it. Because every pair has a listener of its own, a
// partition can be played for one gateway alone, and the stand-in knows whose
// connection it holds without believing what comes over it.
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
	backlog     = 1024
	fillWait    = 40 * time.Millisecond // for a connection that is to wait in the full backlog
	mostFills   = 4
	pendingWait = 2 * time.Millisecond   // to find that nothing waits in the backlog any more
	reopenFor   = 500 * time.Millisecond // tries to get the old port back
)

// ErrClosed is what calls on a closed link return.
var ErrClosed = errors.New("link: closed")

// Link is one listener with its connections. It is safe for concurrent use.
type Link struct {
	peer string

	mu      sync.Mutex
	changed *sync.Cond // on mu: any of what follows has changed
	ln      *net.TCPListener
	addr    string
	conns   map[*Conn]struct{}
	cut     bool
	closed  bool
	fills   map[string]bool // our own connections that keep a backlog full
	filling []net.Conn
}

// Listen opens a link on a free loopback port. Peer names who will call.
func Listen(peer string) (*Link, error) {
	l := &Link{peer: peer, conns: map[*Conn]struct{}{}, fills: map[string]bool{}}
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

// Address returns where the link listens, or last did.
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

// Accept waits for the next connection. While the link is cut off or down it
// returns none; once it is closed it returns ErrClosed.
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
				continue // the link was cut off or taken down; the wait above decides
			}
			return nil, fmt.Errorf("link for %s: %w", l.peer, err)
		}
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
	}
}

// Serve serves each connection in a goroutine of its own, until the link ends
// and the last of these has. Admit is asked for each one what is to serve it; one
// that it has nothing for is reset.
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

// AddressFor returns where a caller finds a stand-in that has the given links:
// the first that is for it, or "".
func AddressFor(links []*Link, peer string) string {
	for _, l := range links {
		if l.Peer() == peer {
			return l.Address()
		}
	}
	return ""
}

func (l *Link) admit(tcp *net.TCPConn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	remote := tcp.RemoteAddr().String()
	if l.closed || l.ln == nil || l.fills[remote] {
		delete(l.fills, remote)
		reset(tcp)
		return nil
	}
	c := &Conn{TCPConn: tcp, link: l}
	l.conns[c] = struct{}{}
	return c
}

// Cut makes the link silent, as a machine that has vanished is: open
// connections stay open and carry nothing, new ones never come up.
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
	// A listener without room in its backlog drops what asks for a connection,
	// so the caller sees the silence that it would see from a machine that is
	// gone. The room is taken by connections of our own.
	for range mostFills {
		conn, err := net.DialTimeout("tcp", addr, fillWait)
		if err != nil {
			return
		}
		l.mu.Lock()
		if !l.cut {
			l.mu.Unlock()
			conn.Close()
			return
		}
		l.fills[conn.LocalAddr().String()] = true
		l.filling = append(l.filling, conn)
		l.mu.Unlock()
	}
}

// Heal ends a cut. What was held back on open connections goes on its way, or,
// with reset, those connections are reset, as by a machine that is back but has
// forgotten them.
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
		if c.dying {
			c.gone = true
			c.TCPConn.Close()
			delete(l.conns, c)
		}
	}
	for _, c := range l.filling {
		c.Close()
	}
	l.filling = nil
	clear(l.fills)
	if l.ln != nil {
		setBacklog(l.ln, backlog)
		l.ln.SetDeadline(time.Time{})
	}
	l.changed.Broadcast()
}

// dropPendingLocked resets the connections that nobody has accepted: our own
// that filled the backlog, and any that slipped in while the link was being cut
// off. Danger: nobody knows when what these have to say was sent, and the record
// would have it sent at the end of the cut.
func (l *Link) dropPendingLocked() {
	l.ln.SetDeadline(time.Now().Add(pendingWait))
	for {
		c, err := l.ln.AcceptTCP()
		if err != nil {
			return
		}
		reset(c)
	}
}

// Reset resets all open connections; new ones come up.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resetLocked()
	l.changed.Broadcast()
}

func (l *Link) resetLocked() {
	for c := range l.conns {
		c.gone = true
		reset(c.TCPConn)
		delete(l.conns, c)
	}
}

// Down is a process that has died: open connections are reset, new ones refused.
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

// Up listens again after Down, at the old address or, where another socket has
// taken that meanwhile, at a new one; Address tells.
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

// Close ends the link and resets its connections.
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
	link *Link
	came time.Time // owned by the reader

	// Guarded by the link's mu:
	gone  bool // closed at this end
	dying bool // to be closed as soon as the other side may hear of it
}

// ArrivedAt returns when what was read last had arrived, before the link held it
// back. It belongs to the goroutine that reads.
func (c *Conn) ArrivedAt() time.Time { return c.came }

// Peer returns the name of the caller.
func (c *Conn) Peer() string { return c.link.peer }

// pass waits while the link is cut off. It fails once the connection is closed.
func (c *Conn) pass() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	for c.link.cut && !c.gone && !c.dying {
		c.link.changed.Wait()
	}
	if c.gone || c.dying {
		return net.ErrClosed
	}
	return nil
}

// Read hands on what has arrived, the end of the connection among it, once the
// link lets it through.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.came = time.Now()
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err // of our own end: the network has no part in it
	}
	if gone := c.pass(); gone != nil {
		return 0, gone
	}
	return n, err
}

// Write sends once the link lets it through.
func (c *Conn) Write(b []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// ReadFrom keeps io.Copy on Write, and so on the link's switches.
func (c *Conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close ends the connection. While the link is cut off the other side does not
// hear of it: the socket is closed when the link heals or ends.
func (c *Conn) Close() error {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	if c.gone {
		return nil
	}
	if c.link.cut {
		c.dying = true
		c.link.changed.Broadcast()
		return nil
	}
	c.gone = true
	delete(c.link.conns, c)
	c.link.changed.Broadcast()
	return c.TCPConn.Close()
}

// Reset ends the connection with a reset.
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
		return // the listener is closed, and so needs no backlog
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), n) })
}
