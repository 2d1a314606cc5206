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
	"elderyard/internal/wait"
)

// Settings are the settings of a server.
type Settings struct {
	Users          []User // none: every client may run all commands for all accounts
	MaxConnections int
	IdleTimeout    time.Duration
	Stop           StopTimeouts
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
	stopTimeouts   StopTimeouts
	tls            *tls.Config
	buffers        sync.Pool // of *buffers, for connections that are not idle

	lastID       atomic.Int64
	connections  atomic.Int64
	failedLogins atomic.Int64

	mu       sync.Mutex
	sessions map[*session]struct{}

	// The phases of the end, each a channel that is closed when it begins; see endSessions.
	stopping  chan struct{}
	finishing chan struct{}
	aborted   chan struct{}
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
	s := &Server{limiter: l, users: set.Users, maxConnections: set.MaxConnections, idleTimeout: set.IdleTimeout, stopTimeouts: set.Stop, tls: set.TLS,
		sessions: map[*session]struct{}{}, stopping: make(chan struct{}), finishing: make(chan struct{}), aborted: make(chan struct{})}
	s.buffers.New = func() any { return &buffers{reader: resp.NewReader(nil, commandLimits)} }
	return s
}

// Serve accepts connections until ctx ends or listener is closed, and returns when all have
// ended. Each first replies to the commands that it has read, as endSessions describes. The
// limiter's event loop must run until Serve returns. Serve may be called once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	var running sync.WaitGroup
	s.accept(ctx, listener, &running)
	s.endSessions(&running)
}

// accept starts a session for each connection until the listener is closed.
func (s *Server) accept(ctx context.Context, listener net.Listener, running *sync.WaitGroup) {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			s.startSession(conn, running)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			log.Printf("resp: failed to accept connection: %v", err)
			wait.For(ctx, acceptBackoff)
		}
	}
}

// startSession serves a connection in a goroutine of its own, or rejects it if there are too many.
func (s *Server) startSession(conn net.Conn, running *sync.WaitGroup) {
	session := &session{server: s, raw: conn, conn: conn, version: 2}
	if s.tls != nil {
		session.state = receiving
	}
	s.mu.Lock()
	full := len(s.sessions) >= s.maxConnections
	if !full {
		s.sessions[session] = struct{}{}
	}
	s.mu.Unlock()
	if full {
		conn.SetWriteDeadline(time.Now().Add(acceptBackoff))
		conn.Write([]byte("-ERR max number of clients reached\r\n"))
		conn.Close()
		return
	}
	session.id = s.lastID.Add(1)
	s.connections.Add(1)
	running.Go(func() {
		defer s.connections.Add(-1)
		if session.handshake() {
			session.run()
			session.end()
		}
		s.mu.Lock()
		delete(s.sessions, session)
		s.mu.Unlock()
		conn.Close()
	})
}
