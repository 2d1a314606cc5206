package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"sync"
	"time"

	"elderyard/internal/sockets"
	"elderyard/rules"
)

const (
	maxPreallocatedBody = 4 << 10   // bytes that are allocated at once on the word of a Content-Length
	maxBufferedResponse = 128 << 10 // bytes of a response, including headers and framing, before it is streamed
	maxInterimResponses = 8         // 1xx responses before the final one
	unprocessedHeader   = "X-Unprocessed"
	timeLeftHeader      = "X-Time-Left-Ms"
	loadHeader          = "X-Backend-Load"
)

// result is the outcome of an attempt.
type result struct {
	outcome            rules.Outcome
	header             http.Header // of a successful response
	body               []byte
	stream             *download // replaces body if the response is streamed
	connectionEnded    bool      // by the backend, without a whole response
	passedOn           bool      // the loop has the response already and streams it
	clientDisconnected bool      // the client has disconnected, and nothing was written
	loadText           string    // the load report of the response; empty if there is none
	load               []float64 // the values of the load report, in the order of the settings
}

// attempt is one transmission of a request to a backend. The loop owns all fields but those that mu
// protects.
type attempt struct {
	exchange       *exchange
	loop           *Loop
	number         int
	backend        rules.BackendID
	sentAt         float64
	deadline       float64
	socketDeadline time.Time // deadline as a wall-clock time
	writeDeadline  time.Time // when the last byte must have been written; zero: any time before socketDeadline
	traceParent    string    // the traceparent header; if empty, the client's header is forwarded
	ended          bool
	neverRan       bool // proven not to have run
	responding     bool // the start of its response has come
	streaming      bool // its response is being streamed

	ctx    context.Context // of the dial
	cancel context.CancelFunc

	onSent      func()              // called when a streamed body has been written; nil if there is none
	onPending   func(*pendingBody)  // called while a response of unknown length is read; nil: it is not passed on
	onStreamEnd func(rules.Outcome) // called when a streamed response has ended

	mu      sync.Mutex
	conn    *backendConn
	aborted bool // by abort
	ending  bool // the end of a streamed body is about to be written, or has been
	sent    bool // completely
}

// abort stops the attempt. Once it has returned, no more bytes of the request are sent: a dial that
// completes later finds the attempt aborted, and a connection in use is closed.
func (a *attempt) abort() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.conn == nil {
		return
	}
	if a.ending {
		a.conn.dropUnsent()
	}
	a.conn.Close()
}

// abortUnsent aborts the attempts of a finished request that have not been written completely. The
// decision module cancels the others, where the settings allow that.
func (ex *exchange) abortUnsent() {
	for _, a := range ex.attempts {
		if !a.ended && !a.isSent() {
			a.abort()
		}
	}
}

// clientDisconnected reports whether the client has disconnected. On a machine that was suspended or is short of
// CPU, a request and the disconnect that followed it may arrive together, and a backend would work for a
// client that left long ago. So this must be checked right before the write.
func (ex *exchange) clientDisconnected() bool { return ex.conn != nil && ex.conn.clientDisconnected() }

// isSent reports whether the request has been written completely.
func (a *attempt) isSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

// beginEnd must succeed before the end of a streamed body is written. It fails if the client has left: what it sent before
// may have waited to be read, and with the end a backend would begin the request.
func (a *attempt) beginEnd() error {
	if a.exchange.clientDisconnected() {
		return errClientLeft
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ending = true
	return nil
}

// markSent records that the request has been written completely.
func (a *attempt) markSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = true
}

// unsentResult returns the result of an attempt whose request was not written completely.
func (a *attempt) unsentResult() result {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted || !a.writeDeadline.IsZero() && !time.Now().Before(a.writeDeadline) {
		return result{outcome: rules.NotSent} // not the backend's fault
	}
	return result{outcome: rules.ConnectFailed}
}

// setConn assigns a connection to the attempt and reports false if the attempt was aborted.
func (a *attempt) setConn(c *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.aborted {
		a.conn = c
	}
	return !a.aborted
}

// releaseConn detaches the connection from the attempt and reports whether it may be reused.
func (a *attempt) releaseConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.aborted
}

// acquire returns a connection for an attempt, or nil and the attempt's result.
func (p *pools) acquire(attempt *attempt) (*backendConn, result) {
	if attempt.exchange.singleRun.isRepeat() && p.mayBeReplaced(attempt.backend) {
		return nil, result{outcome: rules.NotSent}
	}
	conn, err := p.conn(attempt.ctx, attempt.backend)
	if err != nil {
		return nil, attempt.unsentResult()
	}
	if !attempt.setConn(conn) {
		p.discard(conn)
		return nil, attempt.unsentResult()
	}
	if attempt.exchange.clientDisconnected() {
		attempt.releaseConn()
		p.discard(conn)
		return nil, result{outcome: rules.NotSent, clientDisconnected: true}
	}
	if p.isUnconfirmed(conn) && !attempt.exchange.singleRun.sendToUnknownGroup() {
		p.putBack(attempt, conn)
		return nil, result{outcome: rules.NotSent}
	}
	return conn, result{}
}

// failWrite returns the result of an attempt whose request could not be written.
func (p *pools) failWrite(attempt *attempt, conn *backendConn, err error) result {
	attempt.releaseConn()
	p.discard(conn)
	if errors.Is(err, errClientLeft) {
		return result{outcome: rules.NotSent, clientDisconnected: true}
	}
	if upload := attempt.exchange.upload; upload != nil && upload.failed {
		return result{outcome: rules.Cancelled} // the client's fault, not the backend's
	}
	unsent := attempt.unsentResult()
	if unsent.outcome == rules.ConnectFailed {
		p.recordEnd(conn.endpoint)
	}
	return unsent
}

// send writes the request and waits for the response. An error before the last byte is written proves
// that nothing ran; a later one proves nothing.
func (p *pools) send(attempt *attempt) result {
	conn, unsent := p.acquire(attempt)
	if conn == nil {
		return unsent
	}
	conn.SetDeadline(attempt.socketDeadline)
	if !attempt.writeDeadline.IsZero() && attempt.writeDeadline.Before(attempt.socketDeadline) {
		conn.SetWriteDeadline(attempt.writeDeadline)
	}
	if err := attempt.writeRequest(conn); err != nil {
		return p.failWrite(attempt, conn, err)
	}
	result, reuse := conn.readResponse(attempt.exchange.method, attempt.onPending)
	if result.connectionEnded {
		p.recordEnd(conn.endpoint)
	}
	if result.passedOn {
		return result
	}
	if result.stream != nil {
		p.attachStream(attempt, result.stream, reuse)
		return result
	}
	notAborted := attempt.releaseConn()
	if droppedIdle := result.outcome == rules.ConnectionBroken && conn.limit.N == maxBufferedResponse; notAborted && conn.idleFor > 0 {
		p.idleEstimator.Record(time.Now(), conn.idleFor, droppedIdle)
	}
	if notAborted && reuse {
		p.put(conn)
	} else {
		p.discard(conn)
	}
	return result
}

// attachStream sets what happens to the connection at the end of a streamed response. reuse reports whether the
// connection may be reused if the response is read to its end.
func (p *pools) attachStream(attempt *attempt, stream *download, reuse bool) {
	conn := stream.conn
	stream.onDrop = func() { attempt.releaseConn(); p.discard(conn) }
	stream.onEnd = func(complete bool) {
		if attempt.releaseConn() && complete && reuse && conn.reader.Buffered() == 0 {
			p.put(conn)
		} else {
			p.discard(conn)
		}
		if complete {
			attempt.onStreamEnd(rules.Served)
		} else {
			attempt.onStreamEnd(rules.ConnectionBroken)
		}
	}
}

// closeDelimitedBody is a body that ends with its connection. A reset must not count as its end, since a
// process that crashes causes one, and neither must the size limit of a response.
type closeDelimitedBody struct {
	io.ReadCloser
	limit *io.LimitedReader
}

// Read reads the body, and reports errTooLong where the size limit has been reached.
func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.limit.N <= 0 {
		err = errTooLong
	}
	return n, err
}

// readResponse reads a response, with its whole body if that is short, and reports whether the connection
// may be reused. The rest of a long body is left to be streamed. onPending is called where it is unknown whether
// a body is short; it may be nil.
func (c *backendConn) readResponse(method string, onPending func(*pendingBody)) (result, bool) {
	request := &http.Request{Method: method}
	c.limit.N = maxBufferedResponse
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return c.failedResult(err), false
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		return c.readFinalResponse(resp, onPending)
	}
	return result{outcome: rules.Errored}, false
}

// readFinalResponse reads the body of the response that is no interim one, as readResponse does.
func (c *backendConn) readFinalResponse(resp *http.Response, onPending func(*pendingBody)) (result, bool) {
	served := resp.StatusCode == http.StatusOK
	switch {
	case resp.ContentLength > maxStreamedBody:
		return result{outcome: rules.ConnectionBroken}, false
	case !served && resp.ContentLength > maxBufferedBody:
		return result{outcome: rules.Errored}, false
	case served && resp.ContentLength < 0:
		r := c.readUnknownLength(resp, onPending)
		if r.passedOn { // the connection is another goroutine's now
			return r, false
		}
		return r, r.outcome == rules.Served && !resp.Close && (r.stream != nil || c.reader.Buffered() == 0)
	}
	reserved, ok := c.reserveBody(resp)
	defer c.bodies.release(reserved)
	if served && !ok {
		c.limit.N = math.MaxInt64
		return c.streamedResult(resp, nil, resp.Body), !resp.Close
	}
	if resp.ContentLength < 0 { // of an error, whose body is read only so that the connection can be reused
		c.SetReadDeadline(time.Now().Add(chunkedBufferTime))
	}
	body, err := readShortResponse(resp)
	if err != nil {
		if resp.ContentLength < 0 && (errors.Is(err, errTooLong) || errors.Is(err, os.ErrDeadlineExceeded)) {
			return result{outcome: rules.Errored}, false
		}
		return c.failedResult(err), false
	}
	reuse, load := !resp.Close && c.reader.Buffered() == 0, resp.Header.Get(loadHeader)
	switch {
	case served:
		return result{outcome: rules.Served, header: resp.Header, body: body, loadText: load}, reuse
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get(unprocessedHeader) == "1":
		return result{outcome: rules.Overloaded, loadText: load}, reuse
	}
	return result{outcome: rules.Errored, loadText: load}, reuse
}

// readUnknownLength reads a successful response whose length is unknown.
func (c *backendConn) readUnknownLength(resp *http.Response, onPending func(*pendingBody)) result {
	if c.limit.N < chunkedBufferLimit { // the header took the rest of maxBufferedResponse
		return result{outcome: rules.ConnectionBroken}
	}
	if sockets.Delimited(resp) {
		c.limit.N = math.MaxInt64 // the framing of small chunks is longer than their data, and net/http limits it
		resp.Body = http.MaxBytesReader(nil, resp.Body, maxStreamedBody)
	} else {
		c.limit.N = maxStreamedBody
		resp.Body = closeDelimitedBody{resp.Body, c.limit}
	}
	return newPendingBody(c, resp).read(onPending)
}

// reserveBody reserves memory for a response that is to be buffered, and returns how many bytes. ok is false if the
// response is too long for that, or there is no memory. Short ones need none.
func (c *backendConn) reserveBody(resp *http.Response) (bytes int, ok bool) {
	length := int(resp.ContentLength)
	switch {
	case length <= maxPreallocatedBody:
		return 0, true
	case length > maxBufferedBody || !c.bodies.reserve(length):
		return 0, false
	}
	return length, true
}

// readShortResponse reads the body of a response of at most maxBufferedBody. A Content-Length is only a claim, so memory is
// allocated only as its bytes arrive.
func readShortResponse(resp *http.Response) ([]byte, error) {
	length := resp.ContentLength
	if length >= 0 && length <= maxPreallocatedBody {
		body := make([]byte, length)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(body)) < length:
		return nil, io.ErrUnexpectedEOF
	case len(body) > maxBufferedBody:
		return nil, errTooLong
	}
	return body, nil
}

// streamedResult returns a response with what has been read of it and a reader of what is still to come.
func (c *backendConn) streamedResult(resp *http.Response, prefix []byte, body io.Reader) result {
	return result{outcome: rules.Served, header: resp.Header,
		stream: &download{length: resp.ContentLength, prefix: prefix, body: body, conn: c}}
}

// failedResult returns the result of a response that could not be read. Where its size limit was reached, the end is not
// the backend's.
func (c *backendConn) failedResult(err error) result {
	return result{outcome: sockets.ReadErrorOutcome(err), connectionEnded: c.limit.N > 0 && sockets.IsEnd(err)}
}
