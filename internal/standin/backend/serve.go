package backend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"elderyard/internal/standin/link"
	"elderyard/internal/wait"
)

const (
	mostBody   = 64 << 10
	endlessFor = 5 * time.Second // an endless answer comes in drops for so long, unless its reader leaves
	endlessGap = 20 * time.Millisecond
)

func (b *Backend) accept(ctx context.Context, l *link.Link) {
	l.Serve(func() func(*link.Conn) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.conns >= b.c.Conns || ctx.Err() != nil {
			return nil
		}
		b.conns++
		life := b.lifeCtx
		return func(c *link.Conn) {
			b.serve(life, c)
			c.Close()
			b.mu.Lock()
			defer b.mu.Unlock()
			b.conns--
		}
	})
}

// firstByte notes when the first byte of a request came to this machine.
type firstByte struct {
	*link.Conn
	at time.Time
}

func (f *firstByte) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if n > 0 && f.at.IsZero() {
		f.at = f.Came()
	}
	return n, err
}

// serve answers the requests of one connection, one after another, until it
// ends, stands idle too long or the life of the backend is over.
func (b *Backend) serve(life context.Context, c *link.Conn) {
	defer context.AfterFunc(life, func() { c.Close() })()
	first := &firstByte{Conn: c}
	r := bufio.NewReaderSize(first, 4096)
	for n := 0; ; n++ {
		c.SetReadDeadline(time.Now().Add(b.c.Idle))
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(b.c.Idle))
		req, body, err := read(r)
		whole := time.Now()
		began := first.at
		first.at = time.Time{}
		if err != nil {
			if !gone(err) {
				io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			}
			return
		}
		c.SetReadDeadline(time.Time{})
		if !b.handle(life, c, r, &Attempt{Backend: b.c.ID, Cell: b.c.Cell, Peer: c.Peer(), FirstByte: began, Received: whole},
			req, len(body), n == 0) {
			return
		}
	}
}

func gone(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &ne)
}

func read(r *bufio.Reader) (*http.Request, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, mostBody+1))
	if err == nil && len(body) > mostBody {
		err = errors.New("the body is too long")
	}
	return req, body, err
}

// fate is what is to become of a request, drawn when it comes. The zero value
// is work as usual.
type fate struct {
	end     Outcome // not "": at once, without any work
	spoil   bool
	endless bool
	copies  bool
	ran     bool // its work was done
}

// handle sees one request through. It tells whether the connection may go on.
func (b *Backend) handle(life context.Context, c *link.Conn, r *bufio.Reader, a *Attempt, req *http.Request, length int, fresh bool) bool {
	a.ID, a.Key = req.Header.Get("X-Correlation-Id"), req.Header.Get("Idempotency-Key")
	a.Class, _, _ = strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	left, err := strconv.Atoi(req.Header.Get("X-Time-Left-Ms"))
	if err == nil {
		a.TimeLeft = time.Duration(left) * time.Millisecond
	}
	if a.ID == "" {
		io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	work := b.work(a.Class, a.ID)
	f, fell := b.admit(a, work)
	if fell {
		b.wg.Go(b.Kill)
		b.finish(a, fate{end: Died}, 0)
		return false
	}
	ctx, cancel := context.WithCancel(life)
	defer cancel()
	if f.end == "" {
		unwatch := watch(ctx, cancel, c, r)
		f.end, f.ran = b.perform(ctx, a, f, work, fresh)
		if f.end == Canceled && life.Err() != nil {
			f.end = Died
		}
		if f.end == Canceled || f.end == Died {
			b.finish(a, f, 0)
			c.Close()
			unwatch()
			return false
		}
		if !f.endless && !f.spoil {
			unwatch()
		} else {
			defer func() { c.Close(); unwatch() }()
		}
	}
	return b.answer(ctx, c, a, f, length)
}

// watch ends ctx when the other side gives its request up by closing the
// connection, since work stops then. The function that it returns ends the
// watch and leaves the reader to its owner.
func watch(ctx context.Context, cancel context.CancelFunc, c *link.Conn, r *bufio.Reader) func() {
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		if _, err := r.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
	}()
	return func() {
		c.SetReadDeadline(time.Unix(1, 0))
		<-watched
		c.SetReadDeadline(time.Time{})
	}
}

// perform does the work of one request and says how it ended.
func (b *Backend) perform(ctx context.Context, a *Attempt, f fate, work float64, fresh bool) (end Outcome, ran bool) {
	if fresh && b.c.Handshake > 0 {
		wait.For(ctx, b.c.Handshake)
	}
	if b.c.Keyed[a.Class] && a.Key != "" {
		e, mine := b.c.Dedupe.claim(ctx, a.Key)
		switch {
		case ctx.Err() != nil:
			if mine {
				b.c.Dedupe.settle(a.Key, e, false)
			}
			return Canceled, false
		case !mine:
			return Repeat, false
		}
		defer func() { b.c.Dedupe.settle(a.Key, e, ran) }()
	}
	if !b.run(ctx, work) {
		if ctx.Err() != nil {
			return Canceled, false
		}
		return Refused, false
	}
	if f.spoil || f.endless {
		return Malformed, true
	}
	return Served, true
}

// admit draws what becomes of a request and records it.
func (b *Backend) admit(a *Attempt, work float64) (f fate, fell bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Restarts = b.life
	if len(b.records) < b.c.MaxRecords {
		b.records = append(b.records, a)
	} else {
		b.beyond++
	}
	t := &b.trouble
	switch {
	case work == 0:
		f.end = Invalid
	case b.draining || b.chance(t.Refuse):
		f.end = Refused
	case b.chance(t.Errors):
		f.end = Failed
	case b.chance(t.Malformed):
		f.spoil = true
	case b.chance(t.Endless):
		f.endless = true
	default:
		f.copies = b.chance(t.Duplicate)
	}
	if f.end == "" {
		fell = b.pushLocked(a.Received, work, a.Peer)
	}
	return f, fell
}

func (b *Backend) finish(a *Attempt, f fate, sum uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Outcome, a.Ran, a.Sum, a.Ended = f.end, f.ran, sum, time.Now()
}

// run does the work. It tells whether it was done.
func (b *Backend) run(ctx context.Context, work float64) bool {
	done := make(chan struct{})
	j := &job{work: work, done: func() { close(done) }}
	if !b.cpu.add(j) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return !b.cpu.cancel(j)
	}
}

// answer writes what the request gets. It tells whether the connection may go on.
func (b *Backend) answer(ctx context.Context, c *link.Conn, a *Attempt, f fate, length int) bool {
	switch f.end {
	case Refused:
		b.finish(a, f, 0)
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\n%sContent-Length: 0\r\n\r\n", b.report())
		return err == nil
	case Failed:
		b.finish(a, f, 0)
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 0\r\n\r\n", b.report())
		return err == nil
	case Invalid:
		b.finish(a, f, 0)
		_, err := io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case Malformed:
		b.finish(a, f, 0)
		b.spoil(ctx, c, f.endless)
		return false
	}
	body := fmt.Appendf(nil, `{"id":%q,"node":%q,"life":%d,"bytes":%d}`, a.ID, a.Backend, a.Restarts, length)
	b.finish(a, f, Sum(body)) // before the client can have it
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n", b.report(), len(body))
	text := head + string(body)
	if f.copies {
		text += text
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// spoil answers with what can't be read, in one of several ways.
func (b *Backend) spoil(ctx context.Context, c *link.Conn, endless bool) {
	if endless {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
		for end := time.Now().Add(endlessFor); time.Now().Before(end) && ctx.Err() == nil; wait.For(ctx, endlessGap) {
			if _, err := io.WriteString(c, strings.Repeat("x", 512)); err != nil {
				return
			}
		}
		return
	}
	b.mu.Lock()
	kind := b.rng.IntN(4)
	b.mu.Unlock()
	switch kind {
	case 0:
		io.WriteString(c, "\x00\x17\x03\x03 noise\r\n\r\n")
	case 1:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n")
	case 2:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Long: "+strings.Repeat("y", 2048))
	case 3:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\nshort")
	}
	// The connection stays open and is of no further use, until its reader leaves.
	wait.For(ctx, endlessFor)
}

// report is the load report, as old as reports are.
func (b *Backend) report() string {
	if b.c.ReportInterval <= 0 {
		return ""
	}
	now := time.Now()
	held, queued := b.cpu.load()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.reported) >= b.c.ReportInterval {
		b.reported, b.held, b.queued = now, held, queued
	}
	return fmt.Sprintf("X-Backend-Load: {\"inflight\":%d,\"queue\":%d}\r\n", b.held, b.queued)
}
