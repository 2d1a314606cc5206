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

// Settings are a front's.
type Settings struct {
	Users []User // none: whoever connects may ask for all accounts
	Most  int    // connections
	Idle  time.Duration
	TLS   *tls.Config // nil: plain
}

// bounds of one command. The longest has a dozen words.
var bounds = resp.Limits{Args: 256, Bulk: 4 << 10, Total: 16 << 10, Depth: 1}

const (
	mostBatch = 256                   // commands of a pipeline that are handed on together
	sendWait  = 5 * time.Second       // a client that takes nothing for so long is cut off
	helloWait = 10 * time.Second      // for a TLS handshake
	goneLook  = 50 * time.Millisecond // between looks for clients that left; at most 0.1 s later nothing begins for them
	acceptGap = 20 * time.Millisecond // after a failed accept
)

// Front serves limit commands on a listener.
type Front struct {
	desk    *Desk
	users   users
	most    int
	idle    time.Duration
	tls     *tls.Config
	buffers sync.Pool // of *buffers, for connections that are not idle

	ids     atomic.Int64
	open    atomic.Int64
	refused atomic.Int64 // logins

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// buffers are what a connection needs while commands come.
type buffers struct {
	reader  *resp.Reader
	words   [][]byte
	text    []byte // of all words of a pipeline
	lengths []int  // for each command of it, how many words, and the bytes of each
	out     []byte
	spare   []*slot // of earlier pipelines
	batch   *batch  // decided, and used again
}

// slot is one of an earlier pipeline, or a new one.
func (b *buffers) slot() *slot {
	n := len(b.spare)
	if n == 0 {
		return &slot{}
	}
	r := b.spare[n-1]
	b.spare = b.spare[:n-1]
	return r
}

// batchOf is an empty batch.
func (b *buffers) batchOf() *batch {
	if b.batch == nil {
		b.batch = &batch{done: make(chan struct{}, 1)}
	}
	return b.batch
}

// New makes a front for a desk.
func New(d *Desk, set Settings) *Front {
	f := &Front{desk: d, users: set.Users, most: set.Most, idle: set.Idle, tls: set.TLS, conns: map[net.Conn]struct{}{}}
	f.buffers.New = func() any { return &buffers{reader: resp.NewReader(nil, bounds)} }
	return f
}

// Serve takes connections from l until ctx ends, and returns when all have ended:
// each answers the commands that it has read first.
func (f *Front) Serve(ctx context.Context, l net.Listener) {
	var wg sync.WaitGroup
	defer wg.Wait()
	stop := context.AfterFunc(ctx, func() {
		l.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		for c := range f.conns {
			c.SetReadDeadline(time.Now()) // whoever rests wakes; what is being answered is
		}
	})
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			log.Printf("resp: %v", err)
			select {
			case <-ctx.Done():
				return
			case <-time.After(acceptGap):
			}
			continue
		}
		f.mu.Lock()
		full := len(f.conns) >= f.most || ctx.Err() != nil
		if !full {
			f.conns[conn] = struct{}{}
		}
		f.mu.Unlock()
		if full {
			conn.SetWriteDeadline(time.Now().Add(acceptGap))
			conn.Write([]byte("-ERR max number of clients reached\r\n"))
			conn.Close()
			continue
		}
		f.open.Add(1)
		wg.Go(func() {
			defer f.open.Add(-1)
			f.serve(ctx, conn)
			f.mu.Lock()
			delete(f.conns, conn)
			f.mu.Unlock()
			conn.Close()
		})
	}
}

// serve is one connection.
func (f *Front) serve(ctx context.Context, conn net.Conn) {
	s := &session{front: f, raw: conn, conn: conn, version: 2, id: f.ids.Add(1)}
	if f.tls != nil {
		t := tls.Server(conn, f.tls)
		hctx, cancel := context.WithTimeout(ctx, helloWait)
		err := t.HandshakeContext(hctx)
		cancel()
		if err != nil {
			return
		}
		s.conn = t
	}
	s.run(ctx)
}
