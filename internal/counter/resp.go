package counter

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"elderyard/internal/resp"
	"elderyard/internal/sockets"
	"elderyard/rules"
)

// RESPConfig specifies how to reach a RESP store.
type RESPConfig struct {
	Address        string
	User, Password string      // empty password: no AUTH
	TLS            *tls.Config // nil: plaintext
	Prefix         string      // of all keys
	Timeout        time.Duration
}

// RESP makes calls on a store that speaks RESP. A call is one transaction that increments the
// number and sets an expiry on a key that has none. It requires INCRBYFLOAT, and PEXPIRE with
// NX. Calls for the same key use the same pipeline, so they are sent in order. A pipeline has one
// connection, which it replaces with a new one when a response is overdue.
type RESP struct {
	config  RESPConfig
	address atomic.Pointer[string]
	callQueues
	readers sync.WaitGroup
}

// replyBounds limits the replies on one connection.
var replyBounds = resp.Limits{Args: 8, Bulk: 1 << 10, Total: 4 << 10, Depth: 2}

const (
	maxReplies      = 5               // of MULTI, INCRBYFLOAT, PEXPIRE and EXEC, and one of AUTH, which dial reads
	respIdleTimeout = 5 * time.Second // after which a connection is no longer used
	maxRedirects    = 4               // to another address in a row
)

// NewRESP returns a client of a RESP store.
func NewRESP(config RESPConfig) *RESP {
	c := &RESP{config: config, callQueues: newCallQueues()}
	c.Retarget(config.Address)
	return c
}

// Retarget sends all further calls to another address.
func (c *RESP) Retarget(address string) { c.address.Store(&address) }

// Run runs the pipelines until ctx ends.
func (c *RESP) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, calls := range c.queues {
		wg.Go(func() { (&respPipeline{client: c, calls: calls}).run(ctx) })
	}
	wg.Wait()
	c.readers.Wait()
}

// respPipeline writes the calls of one queue.
type respPipeline struct {
	client    *RESP
	calls     <-chan *Call
	conn      *respConn
	redirect  atomic.Pointer[string] // address that the store redirected this pipeline to; nil: none
	redirects atomic.Int64           // redirects and failed dials since the last success
	lastUsed  time.Time
}

func (p *respPipeline) run(ctx context.Context) {
	defer func() {
		if p.conn != nil {
			p.conn.retire()
			p.conn.Close()
		}
	}()
	idleCheck := time.NewTicker(idleCheckInterval)
	defer idleCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idleCheck.C:
			if p.conn != nil && time.Since(p.lastUsed) > respIdleTimeout {
				p.retireConn()
			}
		case k := <-p.calls:
			p.send(ctx, k)
		}
	}
}

func (p *respPipeline) retireConn() {
	p.conn.retire()
	p.conn = nil
}

// target returns the address for the next call. After maxRedirects redirects or failed
// dials without a success it returns to the configured address.
func (p *respPipeline) target() string {
	if to := p.redirect.Load(); to != nil && p.redirects.Load() < maxRedirects {
		return *to
	}
	p.redirect.Store(nil)
	p.redirects.Store(0)
	return *p.client.address.Load()
}

// send writes a call, on a new connection if the present one is not usable.
func (p *respPipeline) send(ctx context.Context, k *Call) {
	if k.abandoned.Load() {
		k.Report(k, rules.TimedOut, 0) // abandoned before it was written, so never added
		return
	}
	address := p.target()
	if c := p.conn; c != nil && (c.dead.Load() || c.address != address || time.Since(p.lastUsed) > respIdleTimeout || c.stalled() ||
		c.inFlight.Load() == 0 && !sockets.Alive(c.raw)) {
		p.retireConn()
	}
	if p.conn == nil {
		conn, err := p.dial(ctx, address)
		if err != nil {
			p.redirects.Add(1)
			k.Report(k, rules.ConnectFailed, 0)
			return
		}
		p.conn = conn
	}
	p.lastUsed = time.Now()
	p.conn.write(k, p.client.config.Prefix)
}

// respConn is a connection on which replies arrive in the order of the transactions.
type respConn struct {
	net.Conn
	raw        net.Conn // below TLS
	address    string
	pipeline   *respPipeline
	dead       atomic.Bool
	inFlight   atomic.Int64         // calls without a response
	current    atomic.Pointer[Call] // whose response is due next
	sent       chan *Call           // written, in order
	retireOnce sync.Once
}

var errLogin = errors.New("store rejected the login")

// dial opens a connection and authenticates. If it fails, nothing has been added.
func (p *respPipeline) dial(ctx context.Context, address string) (*respConn, error) {
	config := &p.client.config
	ctx, cancel := context.WithTimeout(ctx, max(config.Timeout, time.Millisecond))
	defer cancel()
	raw, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &respConn{Conn: raw, raw: raw, address: address, pipeline: p, sent: make(chan *Call, maxQueuedCalls)}
	if config.TLS != nil {
		t := tls.Client(raw, config.TLS)
		if err := t.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		conn.Conn = t
	}
	r := resp.NewReader(conn.Conn, replyBounds)
	if config.Password != "" {
		w := resp.Writer{}
		if config.User != "" {
			w.Command("AUTH", config.User, config.Password)
		} else {
			w.Command("AUTH", config.Password)
		}
		deadline, _ := ctx.Deadline()
		conn.SetDeadline(deadline)
		_, err := conn.Write(w.Buf)
		var v resp.Value
		if err == nil {
			v, err = r.Reply()
		}
		if err == nil && v.Kind != resp.Simple {
			err = errLogin
		}
		if err != nil {
			conn.Close()
			return nil, err
		}
		conn.SetDeadline(time.Time{})
	}
	p.client.readers.Go(func() { conn.readResponses(r) })
	return conn, nil
}

// retire makes the connection accept no more calls. It is closed by its reader. Only the
// pipeline's writer may call it.
func (c *respConn) retire() { c.retireOnce.Do(func() { close(c.sent) }) }

// stalled reports whether the call whose response is due has been abandoned: it would delay
// the calls behind it.
func (c *respConn) stalled() bool {
	k := c.current.Load()
	return k != nil && k.abandoned.Load()
}

// write sends a call as one transaction and queues it for the reader.
func (c *respConn) write(k *Call, prefix string) {
	if len(c.sent) == cap(c.sent) {
		k.Report(k, rules.ConnectFailed, 0)
		return
	}
	key := prefix + strconv.FormatUint(k.Key, 16)
	var w resp.Writer
	w.Command("MULTI")
	w.Command("INCRBYFLOAT", key, strconv.FormatFloat(k.Amount, 'f', -1, 64))
	w.Command("PEXPIRE", key, strconv.FormatInt(max(k.TTL.Milliseconds(), 1), 10), "NX")
	w.Command("EXEC")
	c.inFlight.Add(1)
	c.SetWriteDeadline(time.Now().Add(ioTimeout))
	if _, err := c.Conn.Write(w.Buf); err != nil {
		// EXEC was not written completely, so nothing was added.
		c.dead.Store(true)
		k.Report(k, rules.ConnectFailed, 0)
		return
	}
	c.sent <- k
}

// readResponses reads the responses in order. Calls that are in flight when the connection
// ends may have been added.
func (c *respConn) readResponses(r *resp.Reader) {
	defer c.Close()
	failed := false
	for k := range c.sent {
		if failed {
			k.Report(k, rules.ConnectionBroken, 0)
			continue
		}
		c.current.Store(k)
		c.SetReadDeadline(time.Now().Add(ioTimeout))
		outcome, total, err := c.readTransaction(r)
		if err != nil {
			failed = true
			c.dead.Store(true)
			c.Close()
		}
		c.current.Store(nil)
		c.inFlight.Add(-1)
		k.Report(k, outcome, total)
	}
}

var errUnusable = errors.New("connection can't be used for further calls")

// readTransaction reads the four replies of a transaction. The outcome is unknown until the
// reply to EXEC. An unreadable reply to EXEC shows that the amount was added. After an error in
// an earlier reply the store discards the whole transaction.
func (c *respConn) readTransaction(r *resp.Reader) (outcome rules.Outcome, total float64, err error) {
	var errorReply string
	for i := range maxReplies - 1 {
		v, err := r.Reply()
		if err != nil {
			if errors.Is(err, resp.ErrProtocol) && i == maxReplies-2 {
				return rules.Errored, 0, err // EXEC was answered, though not readably
			}
			return sockets.ReadErrorOutcome(err), 0, err
		}
		switch {
		case i < maxReplies-2 && v.Kind == resp.Error:
			if errorReply == "" {
				errorReply = v.Str
			}
		case i < maxReplies-2 && v.Kind != resp.Simple:
			return rules.ConnectionBroken, 0, errUnusable // not a reply to this command: no later reply can be attributed either
		case i < maxReplies-2:
		case v.Kind == resp.Error:
			if errorReply == "" || !strings.HasPrefix(v.Str, "EXECABORT") && !strings.HasPrefix(errorReply, "NOAUTH") {
				errorReply = v.Str
			}
			return c.rejected(errorReply)
		case v.Kind == resp.Null:
			return rules.Overloaded, 0, nil // the store discarded the transaction
		case v.Kind != resp.Array || len(v.Elements) != 2:
			return rules.Errored, 0, errUnusable
		case v.Elements[0].Kind == resp.Error:
			return c.rejected(v.Elements[0].Str) // the stored value is not a number, or too large: nothing was added
		default:
			text := v.Elements[0].Str
			if v.Elements[0].Kind == resp.Double {
				total = v.Elements[0].Float
			} else if total, err = strconv.ParseFloat(text, 64); err != nil || v.Elements[0].Kind != resp.Bulk {
				return rules.Errored, 0, errUnusable
			}
			if total != total || total-total != 0 {
				return rules.Errored, 0, errUnusable
			}
			c.pipeline.redirects.Store(0)
			return rules.Served, total, nil
		}
	}
	return rules.Errored, 0, errUnusable
}

// rejected maps an error reply to the outcome of the call. The returned error is non-nil if
// the connection must not be used any more. In all cases nothing was added.
func (c *respConn) rejected(text string) (rules.Outcome, float64, error) {
	code, arguments, _ := strings.Cut(text, " ")
	switch code {
	case "LOADING", "OOM", "BUSY", "TRYAGAIN", "CLUSTERDOWN", "MASTERDOWN":
		return rules.Overloaded, 0, nil // temporarily unable, as a counter that sheds load
	case "MOVED", "ASK":
		// Another node serves this key. ASK applies to a single call and would require an ASKING command
		// before it. Its call counts as rejected until the migration ends and the reply is MOVED.
		if words := strings.Fields(arguments); code == "MOVED" && len(words) == 2 {
			if _, port, err := net.SplitHostPort(words[1]); err == nil && port != "" {
				c.pipeline.redirects.Add(1)
				c.pipeline.redirect.Store(&words[1])
			}
		}
		return rules.Overloaded, 0, nil
	case "READONLY":
		return rules.Overloaded, 0, errUnusable // a replica: a new connection may reach the primary
	case "NOAUTH", "WRONGPASS", "NOPERM":
		return rules.ConnectFailed, 0, errUnusable
	}
	return rules.ConnectFailed, 0, nil
}
