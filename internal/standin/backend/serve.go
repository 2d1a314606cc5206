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
	maxBodyLen      = 64 << 10
	endlessFor      = 5 * time.Second // duration of an endless answer, unless the client closes the connection
	endlessInterval = 20 * time.Millisecond
)

func (b *Backend) accept(ctx context.Context, l *link.Link) {
	l.Serve(func() func(*link.Conn) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if b.conns >= b.c.Conns || ctx.Err() != nil {
			return nil
		}
		b.conns++
		processCtx := b.processCtx
		return func(c *link.Conn) {
			b.serve(processCtx, c)
			c.Close()
			b.mu.Lock()
			defer b.mu.Unlock()
			b.conns--
		}
	})
}

// firstByte is a connection that records when the first byte of a request arrived.
type firstByte struct {
	*link.Conn
	at time.Time
}

// Read reads from the connection, and records the arrival of the first byte.
func (f *firstByte) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	if n > 0 && f.at.IsZero() {
		f.at = f.ArrivedAt()
	}
	return n, err
}

// serve answers the requests of one connection in order, until it is closed or idle too long, or the backend is killed.
func (b *Backend) serve(processCtx context.Context, c *link.Conn) {
	defer context.AfterFunc(processCtx, func() { c.Close() })()
	first := &firstByte{Conn: c}
	r := bufio.NewReaderSize(first, 4096)
	for n := 0; ; n++ {
		c.SetReadDeadline(time.Now().Add(b.c.Idle))
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Now().Add(b.c.Idle))
		req, body, err := read(r)
		received := time.Now()
		firstByteAt := first.at
		first.at = time.Time{}
		if err != nil {
			if !connectionEnded(err) {
				io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			}
			return
		}
		c.SetReadDeadline(time.Time{})
		if !b.handle(processCtx, c, r, &Attempt{Backend: b.c.ID, Cell: b.c.Cell, Peer: c.Peer(), FirstByte: firstByteAt, Received: received},
			req, len(body), n == 0) {
			return
		}
	}
}

// connectionEnded reports whether an error means that the connection ended or timed out.
func connectionEnded(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &ne)
}

func read(r *bufio.Reader) (*http.Request, []byte, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(req.Body, maxBodyLen+1))
	if err == nil && len(body) > maxBodyLen {
		err = errors.New("the body is too long")
	}
	return req, body, err
}

// plannedOutcome is the outcome of a request, drawn on admission. The zero value means normal processing.
type plannedOutcome struct {
	end       Outcome // if not "", the request ends at once with it
	malformed bool
	endless   bool
	duplicate bool
	ran       bool // its work was completed
}

// handle processes one request. It returns whether the connection can be used further.
func (b *Backend) handle(processCtx context.Context, c *link.Conn, r *bufio.Reader, a *Attempt, req *http.Request, length int, fresh bool) bool {
	a.ID, a.Key = req.Header.Get("X-Correlation-Id"), req.Header.Get("Idempotency-Key")
	a.Class, _, _ = strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	timeLeft, err := strconv.Atoi(req.Header.Get("X-Time-Left-Ms"))
	if err == nil {
		a.TimeLeft = time.Duration(timeLeft) * time.Millisecond
	}
	if a.ID == "" {
		io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	work := b.work(a.Class, a.ID)
	f, broken := b.admit(a, work)
	if broken {
		b.wg.Go(b.Kill)
		b.finish(a, plannedOutcome{end: Died}, 0)
		return false
	}
	ctx, cancel := context.WithCancel(processCtx)
	defer cancel()
	if f.end == "" {
		unwatch := watch(ctx, cancel, c, r)
		f.end, f.ran = b.perform(ctx, a, f, work, fresh)
		if f.end == Canceled && processCtx.Err() != nil {
			f.end = Died
		}
		if f.end == Canceled || f.end == Died {
			b.finish(a, f, 0)
			c.Close()
			unwatch()
			return false
		}
		if !f.endless && !f.malformed {
			unwatch()
		} else {
			defer func() { c.Close(); unwatch() }()
		}
	}
	return b.answer(ctx, c, a, f, length)
}

// watch cancels ctx when the client closes the connection, so that work on the request stops. The returned function
// ends the watch; only then may the caller use the reader again.
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

// perform does the work of one request and returns its outcome.
func (b *Backend) perform(ctx context.Context, a *Attempt, f plannedOutcome, work float64, fresh bool) (end Outcome, ran bool) {
	if fresh && b.c.Handshake > 0 {
		wait.For(ctx, b.c.Handshake)
	}
	if b.c.Keyed[a.Class] && a.Key != "" {
		e, claimed := b.c.Dedupe.claim(ctx, a.Key)
		switch {
		case ctx.Err() != nil:
			if claimed {
				b.c.Dedupe.settle(a.Key, e, false)
			}
			return Canceled, false
		case !claimed:
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
	if f.malformed || f.endless {
		return Malformed, true
	}
	return Served, true
}

// admit records a request and draws its planned outcome. It returns true if the backend breaks down under it.
func (b *Backend) admit(a *Attempt, work float64) (f plannedOutcome, broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Restarts = b.restarts
	if len(b.records) < b.c.MaxRecords {
		b.records = append(b.records, a)
	} else {
		b.unrecorded++
	}
	t := &b.faults
	switch {
	case work == 0:
		f.end = Invalid
	case b.draining || b.happens(t.Refuse):
		f.end = Refused
	case b.happens(t.Errors):
		f.end = Failed
	case b.happens(t.Malformed):
		f.malformed = true
	case b.happens(t.Endless):
		f.endless = true
	default:
		f.duplicate = b.happens(t.Duplicate)
	}
	if f.end == "" {
		broken = b.recordColdWorkLocked(a.Received, work, a.Peer)
	}
	return f, broken
}

// finish completes the record of a request.
func (b *Backend) finish(a *Attempt, f plannedOutcome, sum uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a.Outcome, a.Ran, a.Sum, a.Ended = f.end, f.ran, sum, time.Now()
}

// run runs work on the processor, and returns whether it was completed.
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

// answer writes the answer to a request. It returns whether the connection can be used further.
func (b *Backend) answer(ctx context.Context, c *link.Conn, a *Attempt, f plannedOutcome, length int) bool {
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
		b.writeMalformed(ctx, c, f.endless)
		return false
	}
	body := fmt.Appendf(nil, `{"id":%q,"node":%q,"life":%d,"bytes":%d}`, a.ID, a.Backend, a.Restarts, length)
	b.finish(a, f, Sum(body)) // before the client can receive it
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%sContent-Length: %d\r\n\r\n", b.report(), len(body))
	text := head + string(body)
	if f.duplicate {
		text += text
	}
	_, err := io.WriteString(c, text)
	return err == nil
}

// writeMalformed writes an answer that is malformed in one of several ways, or never completed.
func (b *Backend) writeMalformed(ctx context.Context, c *link.Conn, endless bool) {
	if endless {
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
		for end := time.Now().Add(endlessFor); time.Now().Before(end) && ctx.Err() == nil; wait.For(ctx, endlessInterval) {
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
	// The connection is no longer usable, but stays open until the client closes it or endlessFor has passed.
	wait.For(ctx, endlessFor)
}

// report returns the header with the load report, which is up to ReportInterval old.
func (b *Backend) report() string {
	if b.c.ReportInterval <= 0 {
		return ""
	}
	now := time.Now()
	inFlight, queued := b.cpu.load()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.reported) >= b.c.ReportInterval {
		b.reported, b.inFlight, b.queued = now, inFlight, queued
	}
	return fmt.Sprintf("X-Backend-Load: {\"inflight\":%d,\"queue\":%d}\r\n", b.inFlight, b.queued)
}
