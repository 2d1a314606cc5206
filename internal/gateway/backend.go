package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"elderyard/internal/sockets"
	"elderyard/rules"
)

const (
	maxPreallocatedBody = 4 << 10                // bytes that are allocated at once on the word of a Content-Length
	maxBufferedResponse = 128 << 10              // bytes of a response, including headers and framing, before it is streamed
	maxInterimResponses = 8                      // 1xx responses before the final one
	idleMargin          = time.Second            // connections are not reused this close to the backend's idle timeout
	reuseDelay          = 10 * time.Millisecond  // after a response, before the connection is reused
	sweepInterval       = 500 * time.Millisecond // between searches for expired idle connections
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
	streaming      bool // its response is being streamed

	ctx    context.Context // of the dial
	cancel context.CancelFunc

	onSent      func()              // called when a streamed body has been written; nil if there is none
	onStreamEnd func(rules.Outcome) // called when a streamed response has ended

	mu      sync.Mutex
	conn    *backendConn
	aborted bool // by abort
	sent    bool // completely
}

// abort stops the attempt. Once it has returned, no more bytes of the request are sent: a dial that
// completes later finds the attempt aborted, and a connection in use is closed.
func (a *attempt) abort() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.conn != nil {
		a.conn.Close()
	}
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

// backendConn is a connection to a backend. It carries one request at a time.
type backendConn struct {
	net.Conn
	limit     *io.LimitedReader // bytes that a response may still have, including its headers
	reader    *bufio.Reader     // reads from limit
	writer    *bufio.Writer
	endpoint  *endpoint
	connected time.Time
	idleSince time.Time     // zero while in use
	idleFor   time.Duration // idle time before the current use; 0 for a new connection
}

// endpoint is a backend at one address. All of its connections end with it.
type endpoint struct {
	address   string
	startedAt float64         // of the backend's current process, as far as discovery has reported it
	restarted time.Time       // connections established before are to an earlier process; zero: none are
	ctx       context.Context // ends with the endpoint; cancels its dials
	cancel    context.CancelFunc
	conns     map[*backendConn]struct{}
	idle      []*backendConn // most recently used last
	retired   bool
}

// pools holds the connections to all backends.
type pools struct {
	connectTimeout time.Duration
	idleLimit      time.Duration
	maxOpen        int // connections to all backends
	dialContext    func(ctx context.Context, network, address string) (net.Conn, error)
	idleEstimator  sockets.IdleEstimator
	dials          atomic.Int64 // since the last rollup

	mu        sync.Mutex
	endpoints map[rules.BackendID]*endpoint
	openConns int // connections and dials in progress
}

func newPools(connectTimeout, idleTimeout time.Duration, maxOpen int) *pools {
	dialer := net.Dialer{KeepAlive: -1} // probes would notice a silent machine too late
	return &pools{dialContext: dialer.DialContext, connectTimeout: connectTimeout, idleLimit: max(idleTimeout-idleMargin, idleTimeout/2),
		maxOpen: maxOpen, endpoints: map[rules.BackendID]*endpoint{}}
}

// update sets the address and the start time of a ready backend. A new address retires the old connections. A restart
// ends those to the earlier process, but discovery may report it seconds late: connections that were established since
// belong to the new process, and so will pending dials.
func (p *pools) update(id rules.BackendID, address string, startedAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.endpoints[id]; old != nil {
		if old.startedAt < startedAt {
			old.startedAt, old.restarted = startedAt, restartTime(startedAt)
			p.closeEarlierProcess(old)
		}
		if old.address == address {
			return
		}
		p.retire(old, false)
	}
	next := &endpoint{address: address, startedAt: startedAt, conns: map[*backendConn]struct{}{}}
	next.ctx, next.cancel = context.WithCancel(context.Background())
	p.endpoints[id] = next
}

// restartTime converts a start time that discovery has just reported. By a clock that is ahead the backend may have
// started in the future, but it has started by now.
func restartTime(startedAt float64) time.Time {
	start, now := time.UnixMilli(int64(math.Round(startedAt*1000))), time.Now()
	if start.After(now) {
		return now
	}
	return start
}

// closeEarlierProcess closes the connections to an earlier process of the backend. Requests in flight on them will never
// get a response.
func (p *pools) closeEarlierProcess(e *endpoint) {
	for c := range e.conns {
		if c.toEarlierProcess() {
			c.Close()
		}
	}
	e.idle = slices.DeleteFunc(e.idle, func(c *backendConn) bool {
		earlier := c.toEarlierProcess()
		if earlier {
			p.untrack(c)
		}
		return earlier
	})
}

// toEarlierProcess reports whether the backend has restarted since the connection was established.
func (c *backendConn) toEarlierProcess() bool { return c.connected.Before(c.endpoint.restarted) }

// remove stops sending to a backend that drains or is gone, and cancels its pending dials. Requests in
// flight may still get a response.
func (p *pools) remove(id rules.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		p.retire(e, false)
		delete(p.endpoints, id)
	}
}

// retire ends an endpoint: it cancels the dials and closes the idle connections, and those in use if inUse.
func (p *pools) retire(e *endpoint, inUse bool) {
	e.retired = true
	e.cancel()
	for c := range e.conns {
		if inUse || !c.idleSince.IsZero() {
			c.Close()
		}
	}
	for _, c := range e.idle {
		p.untrack(c)
	}
	e.idle = nil
}

// untrack removes a closed connection from the pool's accounting.
func (p *pools) untrack(c *backendConn) {
	if _, here := c.endpoint.conns[c]; here {
		delete(c.endpoint.conns, c)
		p.openConns--
	}
}

// discard closes a connection that can't be reused.
func (p *pools) discard(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.untrack(c)
}

// put returns a connection to the pool.
func (p *pools) put(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.retired || c.toEarlierProcess() {
		c.Close()
		p.untrack(c)
		return
	}
	c.idleSince = time.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// sweep closes expired idle connections until ctx ends.
func (p *pools) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			for id, e := range p.endpoints {
				p.retire(e, true)
				delete(p.endpoints, id)
			}
			return
		case <-tick.C:
			p.mu.Lock()
			for _, e := range p.endpoints {
				p.closeIdleBefore(e, time.Now().Add(-p.idleLimit))
			}
			p.mu.Unlock()
		}
	}
}

// closeIdleBefore closes the connections that have been idle since before the given time.
func (p *pools) closeIdleBefore(e *endpoint, before time.Time) {
	closed := 0
	for ; closed < len(e.idle) && e.idle[closed].idleSince.Before(before); closed++ {
		e.idle[closed].Close()
		p.untrack(e.idle[closed])
	}
	e.idle = append(e.idle[:0], e.idle[closed:]...)
}

// closeOldestIdle closes the connection to any backend that has been idle longest, so that idle
// connections to other backends don't prevent a new one.
func (p *pools) closeOldestIdle() bool {
	var oldest *backendConn
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince.Before(oldest.idleSince)) {
			oldest = e.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.endpoint.idle = slices.Delete(oldest.endpoint.idle, 0, 1)
	oldest.Close()
	p.untrack(oldest)
	return true
}

var errNoConnection = errors.New("no connection available")

// reusable returns how many idle connections have been idle for reuseDelay. They come first, since the
// most recently used are last. Under full load a backend has dozens of them, and reading the clock for
// each was 3% of the CPU.
func (e *endpoint) reusable(now time.Time) int {
	return sort.Search(len(e.idle), func(i int) bool { return now.Sub(e.idle[i].idleSince) < reuseDelay })
}

// conn returns an idle connection to the backend, or dials a new one.
func (p *pools) conn(ctx context.Context, id rules.BackendID) (*backendConn, error) {
	p.mu.Lock()
	e := p.endpoints[id]
	if e == nil {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	now := time.Now()
	idleLimit := min(p.idleLimit, p.idleEstimator.Limit(now))
	// Surplus bytes after the last response may still be in transit and would be read as the next response,
	// so a connection must not be reused before reuseDelay. This also holds at the connection limit, where
	// such a connection is closed to make room for a new one.
	for n := e.reusable(now) - 1; n >= 0; n-- {
		c := e.idle[n]
		age := now.Sub(c.idleSince)
		e.idle = slices.Delete(e.idle, n, n+1)
		if age < idleLimit && sockets.Alive(c.Conn) {
			c.idleSince, c.idleFor = time.Time{}, age
			p.mu.Unlock()
			return c, nil
		}
		c.Close()
		p.untrack(c)
	}
	if p.openConns >= p.maxOpen && !p.closeOldestIdle() {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	p.openConns++
	p.mu.Unlock()
	c, err := p.dial(ctx, e)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && (e.retired || c.toEarlierProcess()) {
		c.Close()
		err = errNoConnection
	}
	if err != nil {
		p.openConns--
		return nil, err
	}
	e.conns[c] = struct{}{}
	return c, nil
}

func (p *pools) dial(ctx context.Context, e *endpoint) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	defer context.AfterFunc(e.ctx, cancel)()
	p.dials.Add(1)
	conn, err := p.dialContext(ctx, "tcp", e.address)
	if err != nil {
		return nil, err
	}
	return newBackendConn(conn, e), nil
}

func newBackendConn(conn net.Conn, endpoint *endpoint) *backendConn {
	limit := &io.LimitedReader{R: conn}
	return &backendConn{Conn: conn, limit: limit, reader: bufio.NewReader(limit), writer: bufio.NewWriter(conn), endpoint: endpoint, connected: time.Now()}
}

// send writes the request and waits for the response. An error before the last byte is written proves
// that nothing ran; a later one proves nothing.
func (p *pools) send(attempt *attempt) result {
	conn, err := p.conn(attempt.ctx, attempt.backend)
	if err != nil {
		return attempt.unsentResult()
	}
	if !attempt.setConn(conn) {
		p.discard(conn)
		return attempt.unsentResult()
	}
	if attempt.exchange.clientDisconnected() {
		attempt.releaseConn()
		p.discard(conn)
		return result{outcome: rules.NotSent, clientDisconnected: true}
	}
	conn.SetDeadline(attempt.socketDeadline)
	if !attempt.writeDeadline.IsZero() && attempt.writeDeadline.Before(attempt.socketDeadline) {
		conn.SetWriteDeadline(attempt.writeDeadline)
	}
	if err := attempt.writeRequest(conn); err != nil {
		attempt.releaseConn()
		p.discard(conn)
		if upload := attempt.exchange.upload; upload != nil && upload.failed {
			return result{outcome: rules.Cancelled} // the client's fault, not the backend's
		}
		return attempt.unsentResult()
	}
	result, reuse := conn.readResponse(attempt.exchange.method)
	if stream := result.stream; stream != nil {
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

// writeRequest writes the request. After a streamed body it calls onSent, and the client's time limit
// starts then.
func (a *attempt) writeRequest(c *backendConn) error {
	ex, timeLeft := a.exchange, time.Until(a.socketDeadline)
	if ex.upload != nil {
		if !ex.upload.claim() {
			return errRequestOver
		}
		defer close(ex.upload.finished)
		timeLeft = seconds(ex.timeLeft)
	}
	if err := a.buildRequest(timeLeft).Write(c.writer); err != nil {
		return err
	}
	if err := c.writer.Flush(); err != nil {
		return err
	}
	a.markSent()
	if ex.upload != nil {
		a.onSent()
		c.SetDeadline(time.Now().Add(seconds(ex.timeLeft)))
	}
	return nil
}

// buildRequest returns the request for the backend: the client's own, with the time that this attempt has
// left.
func (a *attempt) buildRequest(timeLeft time.Duration) *http.Request {
	ex := a.exchange
	header := make(http.Header, len(ex.header))
	for k, v := range ex.header {
		header[k] = v
	}
	header[timeLeftHeader] = []string{strconv.FormatInt(max(timeLeft.Milliseconds(), 1), 10)}
	if a.traceParent != "" {
		header[parentHeader] = []string{a.traceParent}
	}
	request := &http.Request{Method: ex.method, Host: ex.host, Header: header, URL: &url.URL{Opaque: ex.uri}}
	switch {
	case ex.upload != nil && ex.upload.length >= 0:
		request.Body, request.ContentLength = io.NopCloser(ex.upload), ex.upload.length
	case ex.upload != nil:
		request.Body, request.ContentLength, request.TransferEncoding = io.NopCloser(ex.upload), -1, []string{"chunked"}
	case len(ex.body) > 0:
		request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(ex.body)), int64(len(ex.body))
	}
	return request
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
// may be reused. The rest of a long body is left to be streamed.
func (c *backendConn) readResponse(method string) (result, bool) {
	request := &http.Request{Method: method}
	c.limit.N = maxBufferedResponse
	for range maxInterimResponses {
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return result{outcome: sockets.ReadErrorOutcome(err)}, false
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if !sockets.Delimited(resp) {
			resp.Body = closeDelimitedBody{resp.Body, c.limit}
		}
		if resp.ContentLength > maxStreamedBody {
			return result{outcome: rules.ConnectionBroken}, false
		}
		if resp.StatusCode != http.StatusOK && resp.ContentLength > maxBufferedBody {
			return result{outcome: rules.Errored}, false
		}
		body, complete, err := c.readBody(resp)
		if err != nil {
			return result{outcome: sockets.ReadErrorOutcome(err)}, false
		}
		if !complete {
			if resp.StatusCode != http.StatusOK {
				return result{outcome: rules.Errored}, false
			}
			c.limit.N += maxStreamedBody + maxStreamedBody/8 // room for the framing of chunks
			return result{outcome: rules.Served, header: resp.Header,
				stream: &download{length: resp.ContentLength, prefix: body, body: resp.Body, conn: c}}, !resp.Close
		}
		reuse, load := !resp.Close && c.reader.Buffered() == 0, resp.Header.Get(loadHeader)
		switch {
		case resp.StatusCode == http.StatusOK:
			return result{outcome: rules.Served, header: resp.Header, body: body, loadText: load}, reuse
		case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
			resp.Header.Get(unprocessedHeader) == "1":
			return result{outcome: rules.Overloaded, loadText: load}, reuse
		}
		return result{outcome: rules.Errored, loadText: load}, reuse
	}
	return result{outcome: rules.Errored}, false
}

// readBody reads a short body and reports whether that was all of it. A Content-Length is only a claim, so
// memory for a long body is allocated only as its bytes arrive. A slow body of unknown length is streamed
// early, as the client may be waiting for its first bytes.
func (c *backendConn) readBody(resp *http.Response) (body []byte, complete bool, err error) {
	length := resp.ContentLength
	switch {
	case length > maxBufferedBody:
		return nil, false, nil
	case length >= 0 && length <= maxPreallocatedBody:
		body = make([]byte, length)
		_, err = io.ReadFull(resp.Body, body)
		return body, true, err
	case length >= 0:
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody))
		if err == nil && int64(len(body)) < length {
			err = io.ErrUnexpectedEOF
		}
		return body, true, err
	}
	start := time.Now()
	for {
		if len(body) == cap(body) {
			body = append(body, make([]byte, max(len(body), maxPreallocatedBody))...)[:len(body)]
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) >= chunkedBufferLimit, time.Since(start) > chunkedBufferTime:
			return body, false, nil
		}
	}
}
