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

// One port serves both the voters' streams and HTTP: a stream of voters begins
// with a byte that no HTTP request begins with.
const (
	raftStreamByte   = 0
	handshakeTimeout = 10 * time.Second // for the handshake and the first byte
	maxOpenConns     = 4096             // connections at once
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

// callerOf returns the caller of a call; the zero value, without a role, if it is unknown.
func callerOf(ctx context.Context) caller {
	c, _ := ctx.Value(callerKey{}).(caller)
	return c
}

// identifiedConn is a connection of a known caller, with its first byte read ahead.
type identifiedConn struct {
	net.Conn
	read    *bufio.Reader
	caller  caller
	release func()
}

// Read reads what follows the bytes that identified the connection.
func (c *identifiedConn) Read(p []byte) (int, error) { return c.read.Read(p) }

// Close closes the connection and frees its place.
func (c *identifiedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// port is the agent's TCP port. Its goroutines end with close.
type port struct {
	listener net.Listener
	server   *tls.Config // nil: plain
	client   *tls.Config
	refused  func(who, what string)
	http     *connListener
	raft     *connListener
	slots    chan struct{}
	wg       sync.WaitGroup
	stop     context.CancelFunc
}

// connListener is a listener of connections that were accepted elsewhere.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func newConnListener(a net.Addr) *connListener {
	return &connListener{conns: make(chan net.Conn, maxPendingConns), done: make(chan struct{}), addr: a}
}

// Accept waits for the next connection.
func (h *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener. It may be called more than once.
func (h *connListener) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr returns the address that the listener was made with.
func (h *connListener) Addr() net.Addr { return h.addr }

// handOver passes a connection to Accept, or closes it if the listener is closed.
func (h *connListener) handOver(c net.Conn) {
	select {
	case h.conns <- c:
	case <-h.done:
		c.Close()
	}
}

// openPort listens and accepts connections until close. The advertised address is that
// by which voters call each other.
func openPort(config *Config, refused func(who, what string)) (*port, error) {
	p := &port{refused: refused, slots: make(chan struct{}, maxOpenConns)}
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

// advertisedAddr is the address by which other agents reach this one.
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
		if err != nil { // out of descriptors: retry when others have closed
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

// identify authenticates the caller, reads the first byte and passes the connection to
// the voters' streams or to HTTP.
func (p *port) identify(ctx context.Context, raw net.Conn) {
	var once sync.Once
	free := func() { once.Do(func() { <-p.slots }) }
	defer context.AfterFunc(ctx, func() { raw.Close() })()
	raw.SetDeadline(time.Now().Add(handshakeTimeout))
	who := caller{"loopback", pki.Agent}
	conn := raw
	if p.server != nil {
		t := tls.Server(raw, p.server)
		err := t.HandshakeContext(ctx)
		if err == nil {
			who.name, who.role, err = pki.Identity(t.ConnectionState().PeerCertificates[0])
		}
		if err != nil {
			p.refused(raw.RemoteAddr().String(), "no certificate of this site: "+err.Error())
			free()
			raw.Close()
			return
		}
		conn = t
	}
	c := &identifiedConn{conn, bufio.NewReader(conn), who, free}
	first, err := c.read.Peek(1)
	if err != nil {
		c.Close()
		return
	}
	raw.SetDeadline(time.Time{})
	if first[0] != raftStreamByte {
		p.http.handOver(c)
		return
	}
	c.read.Discard(1)
	if !who.role.Covers(pki.Agent) {
		p.refused(who.name, "a voter's stream, which an agent alone may open")
		c.Close()
		return
	}
	p.raft.handOver(c)
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

// raftStreams are the voters' part of the port.
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

// noStreams are the streams of a voter that has no port.
type noStreams struct{ *connListener }

// Dial always fails: without a port no other voter can be reached.
func (noStreams) Dial(address raft.ServerAddress, _ time.Duration) (net.Conn, error) {
	return nil, fmt.Errorf("%s: this agent has no port", address)
}
