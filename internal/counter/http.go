// Package counter implements clients of the counter that all gateways share. It
// distinguishes precisely what happened to a call: the amount was added, was rejected,
// may have been added, or was confirmed late.
package counter

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"elderyard/internal/site"
	"elderyard/internal/sockets"
	"elderyard/rules"
)

const (
	pipelineCount     = 8               // pipelines of calls, each on a connection of its own
	maxPipelineConns  = 4               // connections of a pipeline, stalled ones included
	maxQueuedCalls    = 512             // calls waiting in a pipeline
	httpIdleTimeout   = 5 * time.Second // well below the 10 s after which the counter closes
	ioTimeout         = 1 * time.Second // of writing a call and of awaiting a response; then the connection is closed
	idleCheckInterval = 1 * time.Second // between checks for idle connections
	maxTotalBytes     = 64              // bytes of a total
	countPath         = "/v1/count/"
	maxResponseBytes  = 16 << 10 // bytes of a response with its headers
)

// Client makes calls to a shared counter.
type Client interface {
	Add(*Call) bool          // queues a call without blocking; false if the queue is full
	Run(ctx context.Context) // makes the queued calls until ctx ends
	Retarget(address string) // sets the address for all further calls
}

// Open returns the client that the site file specifies, nil if the settings have no
// counter. No connection is made before the first call.
func Open(s site.Counter, set rules.Settings, address string) (Client, error) {
	timeout := time.Duration(set.CounterTimeout * float64(time.Second))
	switch {
	case !set.HasCounter:
		return nil, nil
	case s.Kind != "resp":
		return NewHTTP(address, timeout), nil
	}
	config := RESPConfig{Address: address, User: s.User, Password: s.Password, Prefix: s.Prefix, Timeout: timeout}
	if s.CA != "" {
		roots, err := sockets.LoadCertPool(s.CA)
		if err != nil {
			return nil, fmt.Errorf("operator's file: counter: %w", err)
		}
		config.TLS = &tls.Config{RootCAs: roots, ServerName: s.Name, MinVersion: tls.VersionTLS12}
		if s.Name == "" {
			if config.TLS.ServerName, _, err = net.SplitHostPort(address); err != nil {
				return nil, fmt.Errorf("counter: %w", err)
			}
		}
	}
	return NewRESP(config), nil
}

// callQueues holds the calls that wait to be sent. Calls for the same key share a queue, so
// they are sent in order.
type callQueues struct {
	queues [pipelineCount]chan *Call
}

func newCallQueues() (q callQueues) {
	for i := range q.queues {
		q.queues[i] = make(chan *Call, maxQueuedCalls)
	}
	return q
}

// Add queues a call without blocking. It returns false if the queue is full.
func (q *callQueues) Add(k *Call) bool {
	select {
	case q.queues[k.Key%pipelineCount] <- k:
		return true
	default:
		return false
	}
}

// Call is one addition on the counter.
type Call struct {
	Key    uint64
	Amount float64
	TTL    time.Duration // of a key that the call creates
	// Report is called once with the outcome of the call, from a goroutine of the client: Served
	// with the total, Overloaded or ConnectFailed (nothing was added), Errored (the amount was
	// added, the total is unknown), ConnectionBroken or TimedOut (it may have been added).
	Report func(k *Call, o rules.Outcome, total float64)

	idle            time.Duration // of its connection before the call; 0: not idle
	abandoned       atomic.Bool   // must not be written any more
	responseStarted atomic.Bool   // the first byte of its response has arrived
}

// Abandon tells the client that nothing waits for the result. A call that has not been
// written yet is never written.
func (k *Call) Abandon() { k.abandoned.Store(true) }

// ResponseStarted reports whether the response has begun to arrive.
func (k *Call) ResponseStarted() bool { return k.responseStarted.Load() }

// HTTP makes calls over a few pipelined HTTP connections. Calls for the same key use the
// same pipeline, so they are sent in order. A pipeline replaces a stalled connection with a
// new one. The counter accepts 32 connections from a gateway.
type HTTP struct {
	address       atomic.Pointer[string]
	timeout       time.Duration
	idleEstimator sockets.IdleEstimator
	callQueues
	readers sync.WaitGroup // one for each connection
}

// NewHTTP returns a client of the counter at address. A call fails if connecting takes longer
// than timeout.
func NewHTTP(address string, timeout time.Duration) *HTTP {
	c := &HTTP{timeout: timeout, callQueues: newCallQueues()}
	c.Retarget(address)
	return c
}

// Retarget sends all further calls to another address. Calls in flight at the old address
// may still be answered there.
func (c *HTTP) Retarget(address string) { c.address.Store(&address) }

// Run runs the pipelines until ctx ends.
func (c *HTTP) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, calls := range c.queues {
		wg.Go(func() { c.runPipeline(ctx, calls) })
	}
	wg.Wait()
	c.readers.Wait()
}

// runPipeline writes the calls of one queue.
func (c *HTTP) runPipeline(ctx context.Context, calls <-chan *Call) {
	var conn *httpConn
	var openConns atomic.Int64
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	idleCheck := time.NewTicker(idleCheckInterval)
	defer idleCheck.Stop()
	lastUsed := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idleCheck.C:
			if conn != nil && (time.Since(lastUsed) > httpIdleTimeout || conn.host != *c.address.Load()) {
				conn.retire()
				conn = nil
			}
		case k := <-calls:
			if k.abandoned.Load() {
				k.Report(k, rules.TimedOut, 0) // abandoned before it was written, so never added
				continue
			}
			idle := time.Since(lastUsed)
			if conn != nil && (conn.host != *c.address.Load() || !conn.usable(idle) || conn.stalled()) {
				conn.retire()
				conn = nil
			}
			if conn != nil && conn.inFlight.Load() == 0 {
				k.idle = idle
			}
			if conn == nil {
				var err error
				if conn, err = c.dial(ctx, &openConns); err != nil {
					conn = nil
					k.Report(k, rules.ConnectFailed, 0)
					continue
				}
			}
			lastUsed = time.Now()
			conn.send(k)
		}
	}
}

// httpConn is a connection on which responses arrive in the order of the calls. An abandoned
// call keeps its place, so that its late response is not taken for that of the next call.
type httpConn struct {
	net.Conn
	host          string
	dead          atomic.Bool
	inFlight      atomic.Int64         // calls without a response
	current       atomic.Pointer[Call] // whose response is due next
	sent          chan *Call           // written, in order
	openConns     *atomic.Int64        // open connections of its pipeline
	idleEstimator *sockets.IdleEstimator
	retireOnce    sync.Once
}

// dial opens a connection and counts it in openConns until it has ended.
func (c *HTTP) dial(ctx context.Context, openConns *atomic.Int64) (*httpConn, error) {
	d := net.Dialer{Timeout: c.timeout, KeepAlive: -1}
	address := *c.address.Load()
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &httpConn{Conn: nc, host: address, sent: make(chan *Call, maxQueuedCalls), openConns: openConns,
		idleEstimator: &c.idleEstimator}
	openConns.Add(1)
	c.readers.Go(func() {
		defer openConns.Add(-1)
		conn.readResponses()
	})
	return conn, nil
}

// retire makes the connection accept no more calls. It is closed by its reader, once all
// calls in flight have been answered or have timed out. Only the pipeline's writer may call it,
// since nothing may be sent on c.sent afterwards.
func (c *httpConn) retire() { c.retireOnce.Do(func() { close(c.sent) }) }

// Close closes the connection at once; its reader reports the calls in flight.
func (c *httpConn) Close() error {
	c.retire()
	return c.Conn.Close()
}

// usable reports whether another call may be written after the connection was idle for the
// given time. The counter may close an idle connection earlier than agreed, and it would be
// unknown whether a call written then was added.
func (c *httpConn) usable(idle time.Duration) bool {
	return !c.dead.Load() && idle <= httpIdleTimeout &&
		(c.inFlight.Load() > 0 || idle < c.idleEstimator.Limit(time.Now()) && sockets.Alive(c.Conn))
}

// stalled reports whether the pipeline should replace the connection, because the call whose
// response is due has been abandoned and the pipeline may open another connection.
// Without this, a response that never ends would block all responses behind it, and
// calls that the counter has served would time out for many customers, as if the counter
// were overloaded. It also covers a lost or silent connection. The drawback is that a
// counter that is slow for everyone receives more connections, so their number is limited
// to maxPipelineConns. A response that arrives late is still read on the old connection.
func (c *httpConn) stalled() bool {
	k := c.current.Load()
	return k != nil && k.abandoned.Load() && c.openConns.Load() < maxPipelineConns
}

// send writes a call and queues it for the reader, which reads the response only after that.
// If the reader's queue is full, the connection is stuck and the call fails.
func (c *httpConn) send(k *Call) {
	if len(c.sent) == cap(c.sent) {
		k.Report(k, rules.ConnectFailed, 0)
		return
	}
	text := fmt.Appendf(nil, "POST %s%016x?add=%s&ttl_ms=%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n",
		countPath, k.Key, strconv.FormatFloat(k.Amount, 'f', -1, 64), k.TTL.Milliseconds(), c.host)
	c.inFlight.Add(1)
	c.SetWriteDeadline(time.Now().Add(ioTimeout))
	if _, err := c.Write(text); err != nil {
		// The request was not written completely, so nothing was added.
		c.dead.Store(true)
		k.Report(k, rules.ConnectFailed, 0)
		return
	}
	c.sent <- k
}

// readResponses reads the responses in order. Calls that are in flight when the connection
// ends may have been added.
func (c *httpConn) readResponses() {
	defer c.Conn.Close()
	limited := &io.LimitedReader{R: c.Conn}
	r := bufio.NewReader(limited)
	request := &http.Request{Method: http.MethodPost}
	failed := false
	for k := range c.sent {
		if failed {
			k.Report(k, rules.ConnectionBroken, 0)
			continue
		}
		c.current.Store(k)
		limited.N = maxResponseBytes
		c.SetReadDeadline(time.Now().Add(ioTimeout))
		outcome, total, err := rules.Errored, 0.0, error(nil)
		if _, err = r.Peek(1); err != nil {
			outcome = sockets.ReadErrorOutcome(err)
			c.idleEstimator.Record(time.Now(), k.idle, outcome == rules.ConnectionBroken)
		} else {
			c.idleEstimator.Record(time.Now(), k.idle, false)
			k.responseStarted.Store(true)
			outcome, total, err = readTotal(r, request)
		}
		if err != nil {
			failed = true
			c.dead.Store(true)
			c.Conn.Close()
		}
		c.current.Store(nil)
		c.inFlight.Add(-1)
		k.Report(k, outcome, total)
	}
}

var errNoTotal = errors.New("response has no valid total")

// readTotal reads the response to a call. An unreadable response only shows that the amount
// was added. After it, and after a body without a delimited end, the connection must not be
// used for another call.
func readTotal(r *bufio.Reader, request *http.Request) (rules.Outcome, float64, error) {
	resp, err := http.ReadResponse(r, request)
	if err != nil {
		return rules.Errored, 0, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTotalBytes+1))
	resp.Body.Close()
	switch {
	case err != nil:
		return rules.Errored, 0, err
	case len(body) > maxTotalBytes, !sockets.Delimited(resp):
		return rules.Errored, 0, errNoTotal
	}
	switch resp.StatusCode {
	case http.StatusOK:
		total, err := strconv.ParseFloat(strings.TrimSpace(string(body)), 64)
		if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
			return rules.Errored, 0, errNoTotal
		}
		return rules.Served, total, nil
	case http.StatusServiceUnavailable:
		return rules.Overloaded, 0, nil
	case http.StatusBadRequest, http.StatusNotFound:
		return rules.ConnectFailed, 0, nil // nothing was added
	}
	return rules.ConnectionBroken, 0, fmt.Errorf("status %s", resp.Status) // proves nothing about the addition
}
