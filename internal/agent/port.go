package agent

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"elderyard/internal/pki"
)

// One port serves both the voters' raft streams and HTTP: a raft stream begins with a byte
// that no HTTP request begins with.
const (
	raftStreamByte   = 0
	handshakeTimeout = 10 * time.Second // for the handshake and the first byte
	maxOpenConns     = 4096
	acceptRetryDelay = 50 * time.Millisecond
	dialTimeout      = 3 * time.Second
	maxPendingConns  = 16
)

// caller is the identity at the other end of a connection.
type caller struct {
	name string
	role pki.Role
}

type callerKey struct{}

// callerOf returns the caller from a call's context, or the zero value, which has no role,
// if it is unknown.
func callerOf(ctx context.Context) caller {
	c, _ := ctx.Value(callerKey{}).(caller)
	return c
}

// identifiedConn is a connection of an identified caller. Its first byte is already
// buffered.
type identifiedConn struct {
	net.Conn
	reader  *bufio.Reader
	caller  caller
	release func()
}

// Read reads from the buffer, and then from the connection.
func (c *identifiedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// Close closes the connection and releases its slot.
func (c *identifiedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// port is the agent's TCP port. Its goroutines end when it is closed.
type port struct {
	listener   net.Listener
	server     *tls.Config // nil: plain
	client     *tls.Config
	logRefusal func(who, what string)
	http       *connListener
	raft       *connListener
	slots      chan struct{}
	wg         sync.WaitGroup
	stop       context.CancelFunc
}

// connListener is a net.Listener for connections that were accepted elsewhere.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func newConnListener(addr net.Addr) *connListener {
	return &connListener{conns: make(chan net.Conn, maxPendingConns), done: make(chan struct{}), addr: addr}
}

// Accept waits for the next connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener. It may be called more than once.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns the address that the listener was created with.
func (l *connListener) Addr() net.Addr { return l.addr }

// deliver passes a connection to Accept, or closes it if the listener is closed.
func (l *connListener) deliver(c net.Conn) {
	select {
	case l.conns <- c:
	case <-l.done:
		c.Close()
	}
}

// openPort listens and accepts connections until close is called. Voters call each other
// at the advertised address.
func openPort(config *Config, refused func(who, what string)) (*port, error) {
	p := &port{logRefusal: refused, slots: make(chan struct{}, maxOpenConns)}
	if !config.Plain {
		var err error
		if p.server, err = config.files().ServerConfig(); err != nil {
			return nil, err
		}
		if p.client, err = config.files().ClientConfig(); err != nil {
			return nil, err
		}
	}
	l, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	p.listener = l
	p.http, p.raft = newConnListener(l.Addr()), newConnListener(advertisedAddr(config.Advertise))
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	p.wg.Go(func() { p.accept(ctx) })
	return p, nil
}

// advertisedAddr is a net.Addr with the address at which voters call this agent. A voter without a
// port uses its name instead, which none can call.
type advertisedAddr string

// Network returns "tcp".
func (advertisedAddr) Network() string { return "tcp" }

// String returns the address as host:port.
func (a advertisedAddr) String() string { return string(a) }

// close closes the port and waits for its goroutines.
func (p *port) close() {
	p.stop()
	p.listener.Close()
	p.http.Close()
	p.raft.Close()
	p.wg.Wait()
}

// accept accepts connections until the listener is closed.
func (p *port) accept(ctx context.Context) {
	for {
		c, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of file descriptors: retry when other connections have closed
			select {
			case <-ctx.Done():
				return
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		select {
		case p.slots <- struct{}{}:
		default:
			c.Close()
			continue
		}
		p.wg.Go(func() { p.identify(ctx, c) })
	}
}

// identify authenticates the caller, reads the first byte and passes the connection to the
// raft listener or to the HTTP listener.
func (p *port) identify(ctx context.Context, raw net.Conn) {
	var once sync.Once
	release := func() { once.Do(func() { <-p.slots }) }
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	raw.SetDeadline(time.Now().Add(handshakeTimeout))
	peer := caller{"loopback", pki.Agent}
	conn := raw
	if p.server != nil {
		t := tls.Server(raw, p.server)
		err := t.HandshakeContext(ctx)
		if err == nil {
			peer.name, peer.role, err = pki.Identity(t.ConnectionState().PeerCertificates[0])
		}
		if err != nil {
			p.logRefusal(raw.RemoteAddr().String(), "no certificate of this site: "+err.Error())
			release()
			raw.Close()
			return
		}
		conn = t
	}
	c := &identifiedConn{conn, bufio.NewReader(conn), peer, release}
	first, err := c.reader.Peek(1)
	if err != nil {
		c.Close()
		return
	}
	raw.SetDeadline(time.Time{})
	if first[0] != raftStreamByte {
		p.http.deliver(c)
		return
	}
	c.reader.Discard(1)
	if !peer.role.Covers(pki.Agent) {
		p.logRefusal(peer.name, "a voter's stream, which an agent alone may open")
		c.Close()
		return
	}
	p.raft.deliver(c)
}

// dial opens a connection to another agent.
func (p *port) dial(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if p.client == nil {
		return d.DialContext(ctx, "tcp", address)
	}
	t := tls.Dialer{NetDialer: &d, Config: p.client}
	return t.DialContext(ctx, "tcp", address)
}

// raftStreams is the stream layer of raft on the agent's port.
type raftStreams struct {
	*connListener
	port *port
}

// Dial opens a connection to another voter.
func (s raftStreams) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c, err := s.port.dial(ctx, string(address))
	if err != nil {
		return nil, err
	}
	if _, err := c.Write([]byte{raftStreamByte}); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// noStreams is the stream layer of raft for a voter without a port.
type noStreams struct{ *connListener }

// Dial always fails, because a voter without a port can't reach any other.
func (noStreams) Dial(address raft.ServerAddress, _ time.Duration) (net.Conn, error) {
	return nil, fmt.Errorf("%s: this agent has no port", address)
}
