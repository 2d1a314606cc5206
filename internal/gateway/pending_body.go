package gateway

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"elderyard/rules"
)

// pendingBody is the body of a response whose length is unknown. As it may turn out to be short, the goroutine of its
// attempt reads it into memory. If that takes long, the loop passes the response on as it arrives: the client may be
// waiting for its first bytes, and its time must not end while a backend is giving the answer.
type pendingBody struct {
	conn *backendConn
	resp *http.Response

	mu      sync.Mutex
	buffer  []byte // what has been read
	ended   bool   // the body is complete, failed, too long to be buffered or passed on
	resumed chan readResult
}

// lastChunk ends a chunked body that has no trailer.
var lastChunk = []byte("0\r\n\r\n")

// readResult is what a read returned that was in progress when the response was passed on.
type readResult struct {
	data []byte
	err  error
}

func newPendingBody(conn *backendConn, resp *http.Response) *pendingBody {
	return &pendingBody{conn: conn, resp: resp, buffer: make([]byte, 0, maxPreallocatedBody), resumed: make(chan readResult, 1)}
}

// read reads the body until it has ended. Unless all of it is there, it first calls onPending, and passOn may be called
// from then on; the result of a body that was passed on has no meaning.
func (b *pendingBody) read(onPending func(*pendingBody)) result {
	b.conn.SetReadDeadline(time.Now().Add(chunkedBufferTime + responseStallTimeout))
	if onPending != nil && !b.isBuffered() {
		onPending(b)
	}
	for {
		space := b.space()
		n, err := b.resp.Body.Read(space)
		switch length, passedOn := b.add(space[:n], err); {
		case passedOn:
			return result{passedOn: true}
		case err == io.EOF:
			return result{outcome: rules.Served, header: b.resp.Header, body: b.buffer, loadText: b.resp.Header.Get(loadHeader)}
		case err != nil:
			return b.conn.failedResult(err)
		case length >= chunkedBufferLimit:
			return b.conn.streamedResult(b.resp, b.buffer, b.resp.Body)
		}
	}
}

// isBuffered reports whether the whole body has been read from the connection already.
func (b *pendingBody) isBuffered() bool {
	unread, err := b.conn.reader.Peek(b.conn.reader.Buffered())
	return err == nil && len(b.resp.TransferEncoding) > 0 && bytes.HasSuffix(unread, lastChunk)
}

// space returns the free part of the buffer, which is enlarged if it is full.
func (b *pendingBody) space() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.buffer) == cap(b.buffer) {
		b.buffer = slices.Grow(b.buffer, len(b.buffer))
	}
	return b.buffer[len(b.buffer):cap(b.buffer)]
}

// add records what a read returned, and reports whether the response has been passed on meanwhile.
func (b *pendingBody) add(data []byte, err error) (length int, passedOn bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		b.resumed <- readResult{data, err}
		return 0, true
	}
	b.buffer = b.buffer[:len(b.buffer)+len(data)]
	b.ended = err != nil || len(b.buffer) >= chunkedBufferLimit
	return len(b.buffer), false
}

// passOn returns the response to be streamed, what is still to come included. ok is false if the body has ended.
func (b *pendingBody) passOn() (streamed result, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return result{}, false
	}
	b.ended = true
	return b.conn.streamedResult(b.resp, b.buffer, &resumedBody{resumed: b.resumed, body: b.resp.Body}), true
}

// resumedBody reads the rest of a body that was passed on, beginning with what the read in progress brings.
type resumedBody struct {
	resumed chan readResult
	begun   bool
	first   readResult
	body    io.Reader // to be read behind that
}

// Read reads the rest of the body.
func (r *resumedBody) Read(p []byte) (int, error) {
	if !r.begun {
		r.begun, r.first = true, <-r.resumed
	}
	if len(r.first.data) > 0 {
		n := copy(p, r.first.data)
		if r.first.data = r.first.data[n:]; len(r.first.data) == 0 {
			r.first.data = nil
		}
		return n, nil
	}
	if r.first.err != nil {
		return 0, r.first.err
	}
	return r.body.Read(p)
}

// passOnTimeout passes a response on if its body has not ended by then.
type passOnTimeout struct {
	attempt *attempt
	body    *pendingBody
}

// onResponsePending lets the decision module know that a backend is giving an answer, and arranges that it is passed on
// if its body takes long.
func (l *Loop) onResponsePending(attempt *attempt, body *pendingBody) {
	ex := attempt.exchange
	if attempt.ended || !ex.open {
		return
	}
	attempt.responding = true
	l.Handle(rules.ResponsePending{Request: ex.request.ID, Attempt: attempt.number})
	l.ScheduleTimeout(min(l.Clock.Now()+chunkedBufferTime.Seconds(), ex.request.Deadline), passOnTimeout{attempt, body})
}

// Finished reports whether the response has ended or been passed on.
func (t passOnTimeout) Finished() bool { return t.attempt.ended || t.attempt.streaming }

// Expire passes the response on.
func (t passOnTimeout) Expire() {
	streamed, ok := t.body.passOn()
	if !ok {
		return
	}
	loop := t.attempt.loop
	loop.pools.attachStream(t.attempt, streamed.stream, !t.body.resp.Close)
	loop.beginStream(t.attempt, streamed)
}
