package gateway

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
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
	maxPreallocatedBody = 4 << 10                // bytes that a body may claim and get memory for at once
	maxBufferedResponse = 128 << 10              // bytes of an answer with its headers and framing, up to where it passes through
	maxInterimResponses = 8                      // 1xx answers before the real one
	idleMargin          = time.Second            // a connection is not used again so close to the backend's limit
	reuseDelay          = 10 * time.Millisecond  // after an answer, before the connection is used again
	sweepInterval       = 500 * time.Millisecond // between searches for connections idle too long
	unprocessedHeader   = "X-Unprocessed"
	timeLeftHeader      = "X-Time-Left-Ms"
	loadHeader          = "X-Backend-Load"
)

// result is what became of an attempt.
type result struct {
	outcome            rules.Outcome
	header             http.Header // of a served answer
	body               []byte
	stream             *download // in place of body, where it passes through
	clientDisconnected bool      // nothing was written: the client has gone
	loadText           string    // the answer's load report; "": none
	load               []float64 // what it tells, in the order of the settings
}

// attempt is one sending of a request to a backend. The loop owns all but what
// mu guards.
type attempt struct {
	exchange       *exchange
	loop           *Loop
	number         int
	backend        rules.BackendID
	sentAt         float64
	deadline       float64
	socketDeadline time.Time // the deadline for sockets
	writeDeadline  time.Time // when the last byte must have been written; zero: any time before until
	traceParent    string    // the header traceparent; "": what the client sent goes on
	ended          bool
	neverRan       bool // that is proved
	streaming      bool // its answer passes through

	ctx    context.Context // of the dial
	cancel context.CancelFunc

	onSent      func()              // the body that passes through has gone whole; nil where none does
	onStreamEnd func(rules.Outcome) // the answer that passed through has ended

	mu      sync.Mutex
	conn    *backendConn
	aborted bool // off
	sent    bool // whole
}

// callOff ends the attempt's sending and waiting. Once it has returned, no byte
// of the request leaves any more: a dial that is up later finds it called off,
// and a connection in use is closed.
func (a *attempt) abort() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if a.conn != nil {
		a.conn.Close()
	}
}

// withhold calls off what has not gone out whole of a request that is over. What has
// is the module's to cancel, where the settings allow that.
func (ex *exchange) abortUnsent() {
	for _, a := range ex.attempts {
		if !a.ended && !a.isSent() {
			a.abort()
		}
	}
}

// deserted tells whether the client has gone. Danger: on a machine that has just stood
// still, or is short of CPU, what the client sent and its end lie there together, and work
// would go out for one that left long ago. So the last look comes before the write.
func (ex *exchange) clientDisconnected() bool { return ex.conn != nil && ex.conn.clientDisconnected() }

// isWritten tells whether the request has been written to its end.
func (a *attempt) isSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.sent
}

// went notes that the request has been written whole.
func (a *attempt) markSent() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent = true
}

// unsent is what an attempt comes to whose request did not go out whole.
func (a *attempt) unsentResult() result {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted || !a.writeDeadline.IsZero() && !time.Now().Before(a.writeDeadline) {
		return result{outcome: rules.NotSent} // none of the backend's doing
	}
	return result{outcome: rules.ConnectFailed}
}

// hold takes a connection for the attempt, unless it was called off.
func (a *attempt) setConn(c *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.aborted {
		a.conn = c
	}
	return !a.aborted
}

// release gives the connection up. It tells whether it may be used again.
func (a *attempt) releaseConn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.aborted
}

// backendConn is one connection to a backend, for one request at a time.
type backendConn struct {
	net.Conn
	limit     *io.LimitedReader // what an answer may still take, headers among it
	reader    *bufio.Reader     // on left
	writer    *bufio.Writer
	endpoint  *endpoint
	idleSince time.Time     // since when
	idleFor   time.Duration // before the present use; 0: it is new
}

// target is one life of a backend at one address. All of its connections end
// with it.
type endpoint struct {
	address   string
	startedAt float64
	ctx       context.Context // ends with the target; dials hang on it
	cancel    context.CancelFunc
	conns     map[*backendConn]struct{}
	idle      []*backendConn // the most recently used last
	retired   bool
}

// pools holds the connections to all backends.
type pools struct {
	connectTimeout time.Duration
	idleLimit      time.Duration
	maxOpen        int // connections in all
	dialContext    func(ctx context.Context, network, address string) (net.Conn, error)
	trust          sockets.IdleEstimator
	dials          atomic.Int64 // since they were last counted

	mu        sync.Mutex
	endpoints map[rules.BackendID]*endpoint
	openConns int // connections and dials
}

func newPools(connectTimeout, idleTimeout time.Duration, maxOpen int) *pools {
	dialer := net.Dialer{KeepAlive: -1} // it would not notice a silent machine in time
	return &pools{dialContext: dialer.DialContext, connectTimeout: connectTimeout, idleLimit: max(idleTimeout-idleMargin, idleTimeout/2),
		maxOpen: maxOpen, endpoints: map[rules.BackendID]*endpoint{}}
}

// update tells where a ready backend is. A new start or address retires the
// connections of the old.
func (p *pools) update(id rules.BackendID, address string, startedAt float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.endpoints[id]
	if old != nil && old.address == address && old.startedAt >= startedAt {
		return
	}
	if old != nil {
		// What is out at an earlier life will never be answered.
		p.retire(old, old.startedAt < startedAt)
	}
	next := &endpoint{address: address, startedAt: startedAt, conns: map[*backendConn]struct{}{}}
	next.ctx, next.cancel = context.WithCancel(context.Background())
	p.endpoints[id] = next
}

// remove ends all new sending to a backend that drains or is gone, dials that
// wait among it. What is out there may still be answered.
func (p *pools) remove(id rules.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		p.retire(e, false)
		delete(p.endpoints, id)
	}
}

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

// forget takes a closed connection off the books.
func (p *pools) untrack(c *backendConn) {
	if _, here := c.endpoint.conns[c]; here {
		delete(c.endpoint.conns, c)
		p.openConns--
	}
}

// discard closes a connection that may not be used again.
func (p *pools) discard(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.untrack(c)
}

// put keeps a connection for the next attempt.
func (p *pools) put(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.endpoint.retired {
		c.Close()
		p.untrack(c)
		return
	}
	c.idleSince = time.Now()
	c.endpoint.idle = append(c.endpoint.idle, c)
}

// sweep closes what has been idle too long, until ctx ends.
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

func (p *pools) closeIdleBefore(e *endpoint, before time.Time) {
	closed := 0
	for ; closed < len(e.idle) && e.idle[closed].idleSince.Before(before); closed++ {
		e.idle[closed].Close()
		p.untrack(e.idle[closed])
	}
	e.idle = append(e.idle[:0], e.idle[closed:]...)
}

// closeSpare closes the connection that has been idle for the longest, to
// whatever backend, so that those to others don't keep one out.
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

var errNoConnection = errors.New("no connection to be had")

// settled is how many idle connections have rested for long enough. They come
// first, since the most recently used stand last. Under full load dozens of a
// backend's rest at once, and a look at the clock for each of them was 3% of the CPU.
func (e *endpoint) reusable(now time.Time) int {
	return sort.Search(len(e.idle), func(i int) bool { return now.Sub(e.idle[i].idleSince) < reuseDelay })
}

// conn returns an idle connection to the backend, or a new one.
func (p *pools) conn(ctx context.Context, id rules.BackendID) (*backendConn, error) {
	p.mu.Lock()
	e := p.endpoints[id]
	if e == nil {
		p.mu.Unlock()
		return nil, errNoConnection
	}
	now := time.Now()
	idleLimit := min(p.idleLimit, p.trust.Limit(now))
	// Danger: more than belonged to the last answer may be on its way, and would be read as the next. At the
	// bound as well: there one that has not settled makes room for a new one.
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
	if err == nil && e.retired {
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
	return &backendConn{Conn: conn, limit: limit, reader: bufio.NewReader(limit), writer: bufio.NewWriter(conn), endpoint: endpoint}
}

// attempt sends the request and waits for what comes back. An error before the
// last byte is written proves that nothing ran; any later one proves nothing.
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
			return result{outcome: rules.Cancelled} // the client's doing, not the backend's
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
		p.trust.Record(time.Now(), conn.idleFor, droppedIdle)
	}
	if notAborted && reuse {
		p.put(conn)
	} else {
		p.discard(conn)
	}
	return result
}

// pass writes the request. Where its body comes as it passes through, whole is
// called when that is over, and the client's time runs from there.
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

// request is what goes to the backend: the client's own, with the time that
// this attempt has.
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

// untilEnd is a body that has no end but its connection's. Danger: a reset is no end, since
// a process that dies leaves one, and neither is the bound on what an answer may take.
type closeDelimitedBody struct {
	io.ReadCloser
	limit *io.LimitedReader
}

func (b closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.limit.N <= 0 {
		err = errTooLong
	}
	return n, err
}

// answer reads what comes back, a short body whole, and tells whether the
// connection may be used again. Of a long one the rest is left to be passed on.
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
			c.limit.N += maxStreamedBody + maxStreamedBody/8 // chunks have sizes and ends
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

// short reads a body whole if it is short, and tells whether it is. Danger: a
// length is a claim; memory for a long one is taken only as the bytes come. One of
// unknown length that comes slowly passes through early: its first bytes may be
// what the client waits for.
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
