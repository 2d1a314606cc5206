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
	trustedBody  = 4 << 10                // bytes that a body may claim and get memory for at once
	mostAnswer   = 128 << 10              // bytes of an answer with its headers and framing, up to where it passes through
	mostInterim  = 8                      // 1xx answers before the real one
	idleMargin   = time.Second            // a connection is not used again so close to the backend's limit
	settleTime   = 10 * time.Millisecond  // after an answer, before the connection is used again
	sweepGap     = 500 * time.Millisecond // between searches for connections idle too long
	notRunHeader = "X-Unprocessed"
	leftHeader   = "X-Time-Left-Ms"
	loadHeader   = "X-Backend-Load"
)

// result is what became of an attempt.
type result struct {
	outcome rules.Outcome
	header  http.Header // of a served answer
	body    []byte
	rest    *download // in place of body, where it passes through
	left    bool      // nothing was written: the client has gone
	load    string    // the answer's load report; "": none
	told    []float64 // what it tells, in the order of the settings
}

// attempt is one sending of a request to a backend. The loop owns all but what
// mu guards.
type attempt struct {
	x        *exchange
	loop     *Loop
	number   int
	backend  rules.BackendID
	sent     float64
	deadline float64
	until    time.Time // the deadline for sockets
	latest   time.Time // when the last byte must have been written; zero: any time before until
	context  string    // the header traceparent; "": what the client sent goes on
	ended    bool
	neverRan bool // that is proved
	streams  bool // its answer passes through

	ctx    context.Context // of the dial
	cancel context.CancelFunc

	whole  func()              // the body that passes through has gone whole; nil where none does
	passed func(rules.Outcome) // the answer that passed through has ended

	mu      sync.Mutex
	conn    *backendConn
	called  bool // off
	written bool // whole
}

// callOff ends the attempt's sending and waiting. Once it has returned, no byte
// of the request leaves any more: a dial that is up later finds it called off,
// and a connection in use is closed.
func (a *attempt) callOff() {
	a.cancel()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.called = true
	if a.conn != nil {
		a.conn.Close()
	}
}

// withhold calls off what has not gone out whole of a request that is over. What has
// is the module's to cancel, where the settings allow that.
func (x *exchange) withhold() {
	for _, a := range x.attempts {
		if !a.ended && !a.isWritten() {
			a.callOff()
		}
	}
}

// deserted tells whether the client has gone. Danger: on a machine that has just stood
// still, or is short of CPU, what the client sent and its end lie there together, and work
// would go out for one that left long ago. So the last look comes before the write.
func (x *exchange) deserted() bool { return x.conn != nil && x.conn.deserted() }

// isWritten tells whether the request has been written to its end.
func (a *attempt) isWritten() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.written
}

// went notes that the request has been written whole.
func (a *attempt) went() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.written = true
}

// unsent is what an attempt comes to whose request did not go out whole.
func (a *attempt) unsent() result {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.called || !a.latest.IsZero() && !time.Now().Before(a.latest) {
		return result{outcome: rules.NotSent} // none of the backend's doing
	}
	return result{outcome: rules.ConnectFailed}
}

// hold takes a connection for the attempt, unless it was called off.
func (a *attempt) hold(c *backendConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.called {
		a.conn = c
	}
	return !a.called
}

// release gives the connection up. It tells whether it may be used again.
func (a *attempt) release() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conn = nil
	return !a.called
}

// backendConn is one connection to a backend, for one request at a time.
type backendConn struct {
	net.Conn
	left *io.LimitedReader // what an answer may still take, headers among it
	r    *bufio.Reader     // on left
	w    *bufio.Writer
	home *target
	idle time.Time     // since when
	rest time.Duration // before the present use; 0: it is new
}

// target is one life of a backend at one address. All of its connections end
// with it.
type target struct {
	address string
	born    float64
	ctx     context.Context // ends with the target; dials hang on it
	cancel  context.CancelFunc
	conns   map[*backendConn]struct{}
	idle    []*backendConn // the most recently used last
	retired bool
}

// pools holds the connections to all backends.
type pools struct {
	connectTimeout time.Duration
	idleLimit      time.Duration
	mostOpen       int // connections in all
	connect        func(ctx context.Context, network, address string) (net.Conn, error)
	trust          sockets.IdleEstimator
	dials          atomic.Int64 // since they were last counted

	mu      sync.Mutex
	targets map[rules.BackendID]*target
	open    int // connections and dials
}

func newPools(connectTimeout, keepAlive time.Duration, mostOpen int) *pools {
	d := net.Dialer{KeepAlive: -1} // it would not notice a silent machine in time
	return &pools{connect: d.DialContext, connectTimeout: connectTimeout, idleLimit: max(keepAlive-idleMargin, keepAlive/2),
		mostOpen: mostOpen, targets: map[rules.BackendID]*target{}}
}

// update tells where a ready backend is. A new start or address retires the
// connections of the old.
func (p *pools) update(id rules.BackendID, address string, born float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.targets[id]
	if old != nil && old.address == address && old.born >= born {
		return
	}
	if old != nil {
		// What is out at an earlier life will never be answered.
		p.retire(old, old.born < born)
	}
	t := &target{address: address, born: born, conns: map[*backendConn]struct{}{}}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	p.targets[id] = t
}

// remove ends all new sending to a backend that drains or is gone, dials that
// wait among it. What is out there may still be answered.
func (p *pools) remove(id rules.BackendID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.targets[id]; t != nil {
		p.retire(t, false)
		delete(p.targets, id)
	}
}

func (p *pools) retire(t *target, inUse bool) {
	t.retired = true
	t.cancel()
	for c := range t.conns {
		if inUse || !c.idle.IsZero() {
			c.Close()
		}
	}
	for _, c := range t.idle {
		p.forget(c)
	}
	t.idle = nil
}

// forget takes a closed connection off the books.
func (p *pools) forget(c *backendConn) {
	if _, here := c.home.conns[c]; here {
		delete(c.home.conns, c)
		p.open--
	}
}

// discard closes a connection that may not be used again.
func (p *pools) discard(c *backendConn) {
	c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(c)
}

// put keeps a connection for the next attempt.
func (p *pools) put(c *backendConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.home.retired {
		c.Close()
		p.forget(c)
		return
	}
	c.idle = time.Now()
	c.home.idle = append(c.home.idle, c)
}

// sweep closes what has been idle too long, until ctx ends.
func (p *pools) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepGap)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			p.mu.Lock()
			defer p.mu.Unlock()
			for id, t := range p.targets {
				p.retire(t, true)
				delete(p.targets, id)
			}
			return
		case <-tick.C:
			p.mu.Lock()
			for _, t := range p.targets {
				p.closeOldest(t, time.Now().Add(-p.idleLimit))
			}
			p.mu.Unlock()
		}
	}
}

func (p *pools) closeOldest(t *target, before time.Time) {
	n := 0
	for ; n < len(t.idle) && t.idle[n].idle.Before(before); n++ {
		t.idle[n].Close()
		p.forget(t.idle[n])
	}
	t.idle = append(t.idle[:0], t.idle[n:]...)
}

// closeSpare closes the connection that has been idle for the longest, to
// whatever backend, so that those to others don't keep one out.
func (p *pools) closeSpare() bool {
	var oldest *backendConn
	for _, t := range p.targets {
		if len(t.idle) > 0 && (oldest == nil || t.idle[0].idle.Before(oldest.idle)) {
			oldest = t.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.home.idle = slices.Delete(oldest.home.idle, 0, 1)
	oldest.Close()
	p.forget(oldest)
	return true
}

var errNoConn = errors.New("no connection to be had")

// settled is how many idle connections have rested for long enough. They come
// first, since the most recently used stand last. Under full load dozens of a
// backend's rest at once, and a look at the clock for each of them was 3% of the CPU.
func (t *target) settled(now time.Time) int {
	return sort.Search(len(t.idle), func(i int) bool { return now.Sub(t.idle[i].idle) < settleTime })
}

// conn returns an idle connection to the backend, or a new one.
func (p *pools) conn(ctx context.Context, id rules.BackendID) (*backendConn, error) {
	p.mu.Lock()
	t := p.targets[id]
	if t == nil {
		p.mu.Unlock()
		return nil, errNoConn
	}
	now := time.Now()
	idleLimit := min(p.idleLimit, p.trust.Limit(now))
	// Danger: more than belonged to the last answer may be on its way, and would be read as the next. At the
	// bound as well: there one that has not settled makes room for a new one.
	for n := t.settled(now) - 1; n >= 0; n-- {
		c := t.idle[n]
		age := now.Sub(c.idle)
		t.idle = slices.Delete(t.idle, n, n+1)
		if age < idleLimit && sockets.Alive(c.Conn) {
			c.idle, c.rest = time.Time{}, age
			p.mu.Unlock()
			return c, nil
		}
		c.Close()
		p.forget(c)
	}
	if p.open >= p.mostOpen && !p.closeSpare() {
		p.mu.Unlock()
		return nil, errNoConn
	}
	p.open++
	p.mu.Unlock()
	c, err := p.dial(ctx, t)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil && t.retired {
		c.Close()
		err = errNoConn
	}
	if err != nil {
		p.open--
		return nil, err
	}
	t.conns[c] = struct{}{}
	return c, nil
}

func (p *pools) dial(ctx context.Context, t *target) (*backendConn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	p.dials.Add(1)
	conn, err := p.connect(ctx, "tcp", t.address)
	if err != nil {
		return nil, err
	}
	return newBackendConn(conn, t), nil
}

func newBackendConn(conn net.Conn, home *target) *backendConn {
	left := &io.LimitedReader{R: conn}
	return &backendConn{Conn: conn, left: left, r: bufio.NewReader(left), w: bufio.NewWriter(conn), home: home}
}

// attempt sends the request and waits for what comes back. An error before the
// last byte is written proves that nothing ran; any later one proves nothing.
func (p *pools) attempt(a *attempt) result {
	c, err := p.conn(a.ctx, a.backend)
	if err != nil {
		return a.unsent()
	}
	if !a.hold(c) {
		p.discard(c)
		return a.unsent()
	}
	if a.x.deserted() {
		a.release()
		p.discard(c)
		return result{outcome: rules.NotSent, left: true}
	}
	c.SetDeadline(a.until)
	if !a.latest.IsZero() && a.latest.Before(a.until) {
		c.SetWriteDeadline(a.latest)
	}
	if err := a.pass(c); err != nil {
		a.release()
		p.discard(c)
		if up := a.x.upload; up != nil && up.broken {
			return result{outcome: rules.Cancelled} // the client's doing, not the backend's
		}
		return a.unsent()
	}
	res, reuse := c.answer(a.x.method)
	if rest := res.rest; rest != nil {
		rest.drop = func() { a.release(); p.discard(c) }
		rest.end = func(sound bool) {
			if a.release() && sound && reuse && c.r.Buffered() == 0 {
				p.put(c)
			} else {
				p.discard(c)
			}
			if sound {
				a.passed(rules.Served)
			} else {
				a.passed(rules.ConnectionBroken)
			}
		}
		return res
	}
	ours := a.release()
	if forgotten := res.outcome == rules.ConnectionBroken && c.left.N == mostAnswer; ours && c.rest > 0 {
		p.trust.Record(time.Now(), c.rest, forgotten)
	}
	if ours && reuse {
		p.put(c)
	} else {
		p.discard(c)
	}
	return res
}

// pass writes the request. Where its body comes as it passes through, whole is
// called when that is over, and the client's time runs from there.
func (a *attempt) pass(c *backendConn) error {
	x, left := a.x, time.Until(a.until)
	if x.upload != nil {
		if !x.upload.take() {
			return errUploadOver
		}
		defer close(x.upload.finished)
		left = seconds(x.left)
	}
	if err := a.request(left).Write(c.w); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	a.went()
	if x.upload != nil {
		a.whole()
		c.SetDeadline(time.Now().Add(seconds(x.left)))
	}
	return nil
}

// request is what goes to the backend: the client's own, with the time that
// this attempt has.
func (a *attempt) request(left time.Duration) *http.Request {
	x := a.x
	header := make(http.Header, len(x.header))
	for k, v := range x.header {
		header[k] = v
	}
	header[leftHeader] = []string{strconv.FormatInt(max(left.Milliseconds(), 1), 10)}
	if a.context != "" {
		header[parentHeader] = []string{a.context}
	}
	r := &http.Request{Method: x.method, Host: x.host, Header: header, URL: &url.URL{Opaque: x.uri}}
	switch {
	case x.upload != nil && x.upload.length >= 0:
		r.Body, r.ContentLength = io.NopCloser(x.upload), x.upload.length
	case x.upload != nil:
		r.Body, r.ContentLength, r.TransferEncoding = io.NopCloser(x.upload), -1, []string{"chunked"}
	case len(x.body) > 0:
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(x.body)), int64(len(x.body))
	}
	return r
}

// untilEnd is a body that has no end but its connection's. Danger: a reset is no end, since
// a process that dies leaves one, and neither is the bound on what an answer may take.
type untilEnd struct {
	io.ReadCloser
	left *io.LimitedReader
}

func (b untilEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && b.left.N <= 0 {
		err = errTooLong
	}
	return n, err
}

// answer reads what comes back, a short body whole, and tells whether the
// connection may be used again. Of a long one the rest is left to be passed on.
func (c *backendConn) answer(method string) (result, bool) {
	asked := &http.Request{Method: method}
	c.left.N = mostAnswer
	for range mostInterim {
		resp, err := http.ReadResponse(c.r, asked)
		if err != nil {
			return result{outcome: sockets.ReadErrorOutcome(err)}, false
		}
		if resp.StatusCode/100 == 1 {
			continue
		}
		if !sockets.Delimited(resp) {
			resp.Body = untilEnd{resp.Body, c.left}
		}
		if resp.ContentLength > mostBulk {
			return result{outcome: rules.ConnectionBroken}, false
		}
		if resp.StatusCode != http.StatusOK && resp.ContentLength > inlineBody {
			return result{outcome: rules.Errored}, false
		}
		body, all, err := c.short(resp)
		if err != nil {
			return result{outcome: sockets.ReadErrorOutcome(err)}, false
		}
		if !all {
			if resp.StatusCode != http.StatusOK {
				return result{outcome: rules.Errored}, false
			}
			c.left.N += mostBulk + mostBulk/8 // chunks have sizes and ends
			return result{outcome: rules.Served, header: resp.Header,
				rest: &download{length: resp.ContentLength, prefix: body, body: resp.Body, conn: c}}, !resp.Close
		}
		reuse, load := !resp.Close && c.r.Buffered() == 0, resp.Header.Get(loadHeader)
		switch {
		case resp.StatusCode == http.StatusOK:
			return result{outcome: rules.Served, header: resp.Header, body: body, load: load}, reuse
		case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
			resp.Header.Get(notRunHeader) == "1":
			return result{outcome: rules.Overloaded, load: load}, reuse
		}
		return result{outcome: rules.Errored, load: load}, reuse
	}
	return result{outcome: rules.Errored}, false
}

// short reads a body whole if it is short, and tells whether it is. Danger: a
// length is a claim; memory for a long one is taken only as the bytes come. One of
// unknown length that comes slowly passes through early: its first bytes may be
// what the client waits for.
func (c *backendConn) short(resp *http.Response) (body []byte, all bool, err error) {
	length := resp.ContentLength
	switch {
	case length > inlineBody:
		return nil, false, nil
	case length >= 0 && length <= trustedBody:
		body = make([]byte, length)
		_, err = io.ReadFull(resp.Body, body)
		return body, true, err
	case length >= 0:
		body, err = io.ReadAll(io.LimitReader(resp.Body, inlineBody))
		if err == nil && int64(len(body)) < length {
			err = io.ErrUnexpectedEOF
		}
		return body, true, err
	}
	from := time.Now()
	for {
		if len(body) == cap(body) {
			body = append(body, make([]byte, max(len(body), trustedBody))...)[:len(body)]
		}
		n, err := resp.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, true, nil
		case err != nil:
			return nil, false, err
		case len(body) >= chunkedHold, time.Since(from) > chunkedWait:
			return body, false, nil
		}
	}
}
