// Package counter makes calls to the counter that all gateways share. What became of
// a call is told with care: added, turned away, in doubt, late.
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
	lanes           = 8               // streams of calls to the counter, each on a connection of its own
	laneConns       = 4               // connections of a lane at most, those that stand still among them
	mostCalls       = 512             // calls that wait on one lane
	counterIdle     = 5 * time.Second // well below the 10 s after which the counter closes
	counterStuck    = 1 * time.Second // an answer so late is given up with its connection
	counterIdleLook = 1 * time.Second // between looks for idle lanes
	mostTotal       = 64              // bytes of a total
	countPath       = "/v1/count/"
	mostCounterHead = 16 << 10 // bytes of an answer with its headers
)

// Client makes calls to a shared counter.
type Client interface {
	Add(*Call) bool            // false where too many wait; it never waits itself
	Run(ctx context.Context)   // until ctx ends
	SetAddress(address string) // for all further calls
}

// Open makes the client that the operator's file asks for; nil where the settings
// have no counter. No connection is made before the first call.
func Open(s site.Counter, set rules.Settings, address string) (Client, error) {
	timeout := time.Duration(set.CounterTimeout * float64(time.Second))
	switch {
	case !set.HasCounter:
		return nil, nil
	case s.Kind != "resp":
		return NewHTTP(address, timeout), nil
	}
	store := RESPConfig{Address: address, User: s.User, Password: s.Password, Prefix: s.Prefix, Timeout: timeout}
	if s.CA != "" {
		roots, err := sockets.LoadCertPool(s.CA)
		if err != nil {
			return nil, fmt.Errorf("operator's file: counter: %w", err)
		}
		store.TLS = &tls.Config{RootCAs: roots, ServerName: s.Name, MinVersion: tls.VersionTLS12}
		if s.Name == "" {
			if store.TLS.ServerName, _, err = net.SplitHostPort(address); err != nil {
				return nil, fmt.Errorf("counter: %w", err)
			}
		}
	}
	return NewRESP(store), nil
}

// lines are the calls that wait. Those for one name stand in one line, so they go out
// in order.
type lines struct{ lanes [lanes]chan *Call }

func newLines() (l lines) {
	for i := range l.lanes {
		l.lanes[i] = make(chan *Call, mostCalls)
	}
	return l
}

// Add hands a call over without waiting. It returns false where too many wait.
func (c *lines) Add(k *Call) bool {
	select {
	case c.lanes[k.Name%lanes] <- k:
		return true
	default:
		return false
	}
}

// Call is one addition on the counter.
type Call struct {
	Name   uint64
	Amount float64
	TTL    time.Duration // a new name lives so long
	// Report is told once what became of the call, from a goroutine of the client's: Served
	// with the total, Full (nothing was added), ConnectFailed (nothing was), Errored (it was, the
	// total is lost), Broken and TimedOut (it may have been).
	Report func(k *Call, o rules.Outcome, total float64)

	rest    time.Duration // of its connection before it; 0: none
	givenUp atomic.Bool   // not to be written any more
	begun   atomic.Bool   // its answer has begun to come
}

// Abandon tells the client that nobody waits. A call that has not been written never is.
func (k *Call) Abandon() { k.givenUp.Store(true) }

// ResponseStarted tells whether the answer has begun to come.
func (k *Call) ResponseStarted() bool { return k.begun.Load() }

// HTTP makes calls over a few pipelined connections. The calls for one name
// keep to one lane, so they go out in order; a lane leaves a connection that
// stands still for a new one. The counter holds 32 connections of a gateway.
type HTTP struct {
	address atomic.Pointer[string]
	timeout time.Duration
	trust   sockets.IdleEstimator
	lines
	readers sync.WaitGroup // one for each connection
}

// NewHTTP calls the counter at address; one that takes longer than timeout to connect to has failed.
func NewHTTP(address string, timeout time.Duration) *HTTP {
	c := &HTTP{timeout: timeout, lines: newLines()}
	c.SetAddress(address)
	return c
}

// SetAddress sends all further calls to another address. What is out on the old one
// may still be answered there.
func (c *HTTP) SetAddress(address string) { c.address.Store(&address) }

// Run keeps the lanes until ctx ends.
func (c *HTTP) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, calls := range c.lanes {
		wg.Go(func() { c.lane(ctx, calls) })
	}
	wg.Wait()
	c.readers.Wait()
}

// lane writes the calls of one channel.
func (c *HTTP) lane(ctx context.Context, calls <-chan *Call) {
	var conn *counterConn
	var open atomic.Int64
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	look := time.NewTicker(counterIdleLook)
	defer look.Stop()
	used := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
			if conn != nil && (time.Since(used) > counterIdle || conn.host != *c.address.Load()) {
				conn.retire()
				conn = nil
			}
		case k := <-calls:
			if k.givenUp.Load() {
				k.Report(k, rules.TimedOut, 0) // nobody waits; never written, so never added
				continue
			}
			rest := time.Since(used)
			if conn != nil && (conn.host != *c.address.Load() || !conn.usable(rest) || conn.stands()) {
				conn.retire()
				conn = nil
			}
			if conn != nil && conn.out.Load() == 0 {
				k.rest = rest
			}
			if conn == nil {
				var err error
				if conn, err = c.dial(ctx, &open); err != nil {
					conn = nil
					k.Report(k, rules.ConnectFailed, 0)
					continue
				}
			}
			used = time.Now()
			conn.call(k)
		}
	}
}

// counterConn is one connection: calls go out in order and so do the answers
// come. A call that was given up keeps its place, so that its late answer is
// not taken for the next call's.
type counterConn struct {
	net.Conn
	host    string
	dead    atomic.Bool
	out     atomic.Int64           // calls without an answer
	head    atomic.Pointer[Call]   // whose answer comes next
	waiting chan *Call             // written, in order
	open    *atomic.Int64          // connections of its lane
	trust   *sockets.IdleEstimator // the counter's
	once    sync.Once
}

// dial opens a connection and counts it in open until it has ended.
func (c *HTTP) dial(ctx context.Context, open *atomic.Int64) (*counterConn, error) {
	d := net.Dialer{Timeout: c.timeout, KeepAlive: -1}
	address := *c.address.Load()
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &counterConn{Conn: nc, host: address, waiting: make(chan *Call, mostCalls), open: open, trust: &c.trust}
	open.Add(1)
	c.readers.Go(func() {
		defer open.Add(-1)
		conn.read()
	})
	return conn, nil
}

// retire takes no more calls; the connection ends with its reader, once what is
// out has been answered or given up. Only the lane's writer calls it, so nothing
// joins waiting afterwards.
func (c *counterConn) retire() { c.once.Do(func() { close(c.waiting) }) }

// Close ends the connection at once; its reader reports what is still out.
func (c *counterConn) Close() error {
	c.retire()
	return c.Conn.Close()
}

// usable tells whether another call may be written after a rest. The counter may
// close an idle connection sooner than agreed, and a call written then is in doubt.
func (c *counterConn) usable(rest time.Duration) bool {
	return !c.dead.Load() && rest <= counterIdle &&
		(c.out.Load() > 0 || rest < c.trust.Limit(time.Now()) && sockets.Alive(c.Conn))
}

// stands tells whether the lane should leave a connection, since the call whose
// answer is due has been given up and another connection may be had. Danger: an
// answer that never ends holds up all answers behind it, and so calls that the
// counter has served would time out, for many customers, as if it were crowded.
// This covers a lost or silent connection as well. It could hurt with a counter
// that is slow for all, which gets more connections from it, so these are few;
// an answer that comes late is still read where it comes.
func (c *counterConn) stands() bool {
	k := c.head.Load()
	return k != nil && k.givenUp.Load() && c.open.Load() < laneConns
}

// call writes one call. Its answer is read only once it stands in the line;
// where the line is full the connection is stuck.
func (c *counterConn) call(k *Call) {
	if len(c.waiting) == cap(c.waiting) {
		k.Report(k, rules.ConnectFailed, 0)
		return
	}
	text := fmt.Appendf(nil, "POST %s%016x?add=%s&ttl_ms=%d HTTP/1.1\r\nHost: %s\r\nContent-Length: 0\r\n\r\n",
		countPath, k.Name, strconv.FormatFloat(k.Amount, 'f', -1, 64), k.TTL.Milliseconds(), c.host)
	c.out.Add(1)
	c.SetWriteDeadline(time.Now().Add(counterStuck))
	if _, err := c.Write(text); err != nil {
		// The last byte was not written, so nothing was added.
		c.dead.Store(true)
		k.Report(k, rules.ConnectFailed, 0)
		return
	}
	c.waiting <- k
}

// read takes the answers in. What is out when the connection ends may have been
// added.
func (c *counterConn) read() {
	defer c.Conn.Close()
	left := &io.LimitedReader{R: c.Conn}
	r := bufio.NewReader(left)
	asked := &http.Request{Method: http.MethodPost}
	failed := false
	for k := range c.waiting {
		if failed {
			k.Report(k, rules.ConnectionBroken, 0)
			continue
		}
		c.head.Store(k)
		left.N = mostCounterHead
		c.SetReadDeadline(time.Now().Add(counterStuck))
		outcome, total, err := rules.Errored, 0.0, error(nil)
		if _, err = r.Peek(1); err != nil {
			outcome = sockets.ReadErrorOutcome(err)
			c.trust.Record(time.Now(), k.rest, outcome == rules.ConnectionBroken)
		} else {
			c.trust.Record(time.Now(), k.rest, false)
			k.begun.Store(true)
			outcome, total, err = readTotal(r, asked)
		}
		if err != nil {
			failed = true
			c.dead.Store(true)
			c.Conn.Close()
		}
		c.head.Store(nil)
		c.out.Add(-1)
		k.Report(k, outcome, total)
	}
}

var errNoTotal = errors.New("no total")

// readTotal reads the answer to a call. Danger: an answer that can't be read
// says that the amount was added and no more. After it, and where a body has no
// end of its own, the connection can't be trusted with the next call's.
func readTotal(r *bufio.Reader, asked *http.Request) (rules.Outcome, float64, error) {
	resp, err := http.ReadResponse(r, asked)
	if err != nil {
		return rules.Errored, 0, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, mostTotal+1))
	resp.Body.Close()
	switch {
	case err != nil:
		return rules.Errored, 0, err
	case len(body) > mostTotal, !sockets.Delimited(resp):
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
	return rules.ConnectionBroken, 0, fmt.Errorf("status %s", resp.Status) // which proves nothing
}
