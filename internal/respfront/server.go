package respfront

import (
	"context"
	"crypto/tls"
	"errors"
	"log"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"elderyard/internal/resp"
)

// Settings are the settings of a server.
type Settings struct {
	Users          []User // none: every client may run all commands for all accounts
	MaxConnections int
	IdleTimeout    time.Duration
	TLS            *tls.Config // nil: plain connections
}

// commandLimits are the maximum sizes of one command. The longest has a dozen words.
var commandLimits = resp.Limits{Args: 256, Bulk: 4 << 10, Total: 16 << 10, Depth: 1}

const (
	maxBatch               = 256                   // commands of a pipeline that are decided together
	writeTimeout           = 5 * time.Second       // a client that doesn't read its replies for so long is disconnected
	handshakeTimeout       = 10 * time.Second      // of TLS
	disconnectPollInterval = 50 * time.Millisecond // between checks for disconnected clients; nothing begins for them more than 0.1 s later
	acceptBackoff          = 20 * time.Millisecond // after a failed accept
)

// Server serves limit commands on a listener.
type Server struct {
	limiter        *Limiter
	users          users
	maxConnections int
	idleTimeout    time.Duration
	tls            *tls.Config
	buffers        sync.Pool // of *buffers, for connections that are not idle

	lastID       atomic.Int64
	connections  atomic.Int64
	failedLogins atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// buffers are what a connection needs while it has commands.
type buffers struct {
	reader  *resp.Reader
	args    [][]byte
	text    []byte // of all arguments of a pipeline
	lengths []int  // for each command of a pipeline, the number of its arguments and the bytes of each
	out     []byte
	free    []*queuedReply // of earlier pipelines
	batch   *batch         // decided, for reuse
}

// newReply returns the reply of an earlier pipeline for reuse, or a new one.
func (b *buffers) newReply() *queuedReply {
	n := len(b.free)
	if n == 0 {
		return &queuedReply{}
	}
	r := b.free[n-1]
	b.free = b.free[:n-1]
	return r
}

// newBatch returns an empty batch.
func (b *buffers) newBatch() *batch {
	if b.batch == nil {
		b.batch = &batch{done: make(chan struct{}, 1)}
	}
	return b.batch
}

// New returns a server for a limiter.
func New(l *Limiter, set Settings) *Server {
	s := &Server{limiter: l, users: set.Users, maxConnections: set.MaxConnections, idleTimeout: set.IdleTimeout, tls: set.TLS, conns: map[net.Conn]struct{}{}}
	s.buffers.New = func() any { return &buffers{reader: resp.NewReader(nil, commandLimits)} }
	return s
}

// Serve accepts connections from listener until ctx ends, and returns when all have
// ended. Each first replies to the commands that it has read.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		for conn := range s.conns {
			conn.SetReadDeadline(time.Now()) // wakes idle connections; replies can still be written
		}
	})
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			log.Printf("resp: failed to accept connection: %v", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(acceptBackoff):
			}
			continue
		}
		s.mu.Lock()
		full := len(s.conns) >= s.maxConnections || ctx.Err() != nil
		if !full {
			s.conns[conn] = struct{}{}
		}
		s.mu.Unlock()
		if full {
			conn.SetWriteDeadline(time.Now().Add(acceptBackoff))
			conn.Write([]byte("-ERR max number of clients reached\r\n"))
			conn.Close()
			continue
		}
		s.connections.Add(1)
		wg.Go(func() {
			defer s.connections.Add(-1)
			s.serveConn(ctx, conn)
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
			conn.Close()
		})
	}
}

// serveConn serves one connection until it ends.
func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	session := &session{server: s, raw: conn, conn: conn, version: 2, id: s.lastID.Add(1)}
	if s.tls != nil {
		tlsConn := tls.Server(conn, s.tls)
		handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		err := tlsConn.HandshakeContext(handshakeCtx)
		cancel()
		if err != nil {
			return
		}
		session.conn = tlsConn
	}
	session.run(ctx)
}
