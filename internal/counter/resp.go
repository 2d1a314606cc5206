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

// RESPConfig says how a RESP store is reached.
type RESPConfig struct {
	Address        string
	User, Password string      // empty password: no AUTH
	TLS            *tls.Config // nil: plain
	Prefix         string      // of all names
	Timeout        time.Duration
}

// RESP makes calls on a store that speaks RESP. One call is one transaction: the
// number grows, and a name that has no end yet is given one. It needs the store's INCRBYFLOAT,
// and PEXPIRE with NX. Calls for one name keep to one lane and so to their order; a lane has one
// connection, which it leaves for a new one when an answer is overdue.
type RESP struct {
	store   RESPConfig
	address atomic.Pointer[string]
	lines
	readers sync.WaitGroup
}

// replyBounds are what the answers of one connection may hold.
var replyBounds = resp.Limits{Args: 8, Bulk: 1 << 10, Total: 4 << 10, Depth: 2}

const (
	callReplies = 5               // MULTI, two queued, EXEC: four; the greeting counts for itself
	storeRest   = 5 * time.Second // a connection rests so long at most
	mostMoves   = 4               // redirections to another address in a row
)

// NewRESP calls a RESP store.
func NewRESP(s RESPConfig) *RESP {
	c := &RESP{store: s, lines: newLines()}
	c.SetAddress(s.Address)
	return c
}

// SetAddress sends all further calls to another address.
func (c *RESP) SetAddress(address string) { c.address.Store(&address) }

// Run keeps the lanes until ctx ends.
func (c *RESP) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, calls := range c.lanes {
		wg.Go(func() { (&storeLane{c: c, calls: calls}).run(ctx) })
	}
	wg.Wait()
	c.readers.Wait()
}

// storeLane writes the calls of one channel.
type storeLane struct {
	c     *RESP
	calls <-chan *Call
	conn  *storeConn
	moved atomic.Pointer[string] // where the store sent this lane; nil: nowhere
	moves atomic.Int64
	used  time.Time
}

func (l *storeLane) run(ctx context.Context) {
	defer func() {
		if l.conn != nil {
			l.conn.retire()
			l.conn.Close()
		}
	}()
	look := time.NewTicker(counterIdleLook)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
			if l.conn != nil && time.Since(l.used) > storeRest {
				l.leave()
			}
		case k := <-l.calls:
			l.call(ctx, k)
		}
	}
}

func (l *storeLane) leave() {
	l.conn.retire()
	l.conn = nil
}

// target is the address for the next call. A move that leads nowhere is forgotten.
func (l *storeLane) target() string {
	if to := l.moved.Load(); to != nil && l.moves.Load() < mostMoves {
		return *to
	}
	l.moved.Store(nil)
	l.moves.Store(0)
	return *l.c.address.Load()
}

func (l *storeLane) call(ctx context.Context, k *Call) {
	if k.givenUp.Load() {
		k.Report(k, rules.TimedOut, 0) // nobody waits; never written, so never added
		return
	}
	address := l.target()
	if c := l.conn; c != nil && (c.dead.Load() || c.address != address || time.Since(l.used) > storeRest || c.stands() ||
		c.out.Load() == 0 && !sockets.Alive(c.raw)) {
		l.leave()
	}
	if l.conn == nil {
		conn, err := l.dial(ctx, address)
		if err != nil {
			l.moves.Add(1)
			k.Report(k, rules.ConnectFailed, 0)
			return
		}
		l.conn = conn
	}
	l.used = time.Now()
	l.conn.write(k, l.c.store.Prefix)
}

// storeConn is one connection: transactions go out in order, and so come their
// answers.
type storeConn struct {
	net.Conn
	raw     net.Conn // below TLS
	address string
	lane    *storeLane
	dead    atomic.Bool
	out     atomic.Int64
	head    atomic.Pointer[Call]
	waiting chan *Call
	once    sync.Once
}

var errLogin = errors.New("the store does not let us in")

// dial opens a connection and says who we are. Nothing has been added if it fails.
func (l *storeLane) dial(ctx context.Context, address string) (*storeConn, error) {
	s := &l.c.store
	ctx, cancel := context.WithTimeout(ctx, max(s.Timeout, time.Millisecond))
	defer cancel()
	raw, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	conn := &storeConn{Conn: raw, raw: raw, address: address, lane: l, waiting: make(chan *Call, mostCalls)}
	if s.TLS != nil {
		t := tls.Client(raw, s.TLS)
		if err := t.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, err
		}
		conn.Conn = t
	}
	r := resp.NewReader(conn.Conn, replyBounds)
	if s.Password != "" {
		w := resp.Writer{}
		if s.User != "" {
			w.Command("AUTH", s.User, s.Password)
		} else {
			w.Command("AUTH", s.Password)
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
	l.c.readers.Go(func() { conn.read(r) })
	return conn, nil
}

// retire takes no more calls; the connection ends with its reader. Only the lane
// calls it.
func (c *storeConn) retire() { c.once.Do(func() { close(c.waiting) }) }

// stands tells whether the call whose answer is due has been given up: what is
// behind it would be held up.
func (c *storeConn) stands() bool {
	k := c.head.Load()
	return k != nil && k.givenUp.Load()
}

// write sends a call as one transaction.
func (c *storeConn) write(k *Call, prefix string) {
	if len(c.waiting) == cap(c.waiting) {
		k.Report(k, rules.ConnectFailed, 0)
		return
	}
	name := prefix + strconv.FormatUint(k.Name, 16)
	var w resp.Writer
	w.Command("MULTI")
	w.Command("INCRBYFLOAT", name, strconv.FormatFloat(k.Amount, 'f', -1, 64))
	w.Command("PEXPIRE", name, strconv.FormatInt(max(k.TTL.Milliseconds(), 1), 10), "NX")
	w.Command("EXEC")
	c.out.Add(1)
	c.SetWriteDeadline(time.Now().Add(counterStuck))
	if _, err := c.Conn.Write(w.Buf); err != nil {
		// EXEC was not written whole, so nothing was added.
		c.dead.Store(true)
		k.Report(k, rules.ConnectFailed, 0)
		return
	}
	c.waiting <- k
}

// read takes the answers in. What is out when the connection ends may have been added.
func (c *storeConn) read(r *resp.Reader) {
	defer c.Close()
	failed := false
	for k := range c.waiting {
		if failed {
			k.Report(k, rules.ConnectionLost, 0)
			continue
		}
		c.head.Store(k)
		c.SetReadDeadline(time.Now().Add(counterStuck))
		outcome, total, err := c.answer(r)
		if err != nil {
			failed = true
			c.dead.Store(true)
			c.Close()
		}
		c.head.Store(nil)
		c.out.Add(-1)
		k.Report(k, outcome, total)
	}
}

var errLeave = errors.New("the connection is of no further use")

// answer reads the four replies of a transaction. Danger: until EXEC has answered
// with the total nothing is known, and an answer to it that can't be read says that
// it was added; an error before it has the store drop all of it.
func (c *storeConn) answer(r *resp.Reader) (outcome rules.Outcome, total float64, err error) {
	var refusal string
	for i := range callReplies - 1 {
		v, err := r.Reply()
		if err != nil {
			if errors.Is(err, resp.ErrProtocol) && i == callReplies-2 {
				return rules.Errored, 0, err // EXEC was answered, in whatever words
			}
			return sockets.ReadErrorOutcome(err), 0, err
		}
		switch {
		case i < callReplies-2 && v.Kind == resp.Error:
			if refusal == "" {
				refusal = v.Str
			}
		case i < callReplies-2 && v.Kind != resp.Simple:
			return rules.ConnectionLost, 0, errLeave // not the answer to what was asked: all behind it is in doubt
		case i < callReplies-2:
		case v.Kind == resp.Error:
			if refusal == "" || !strings.HasPrefix(v.Str, "EXECABORT") && !strings.HasPrefix(refusal, "NOAUTH") {
				refusal = v.Str
			}
			return c.refused(refusal)
		case v.Kind == resp.Null:
			return rules.Overloaded, 0, nil // dropped as a whole
		case v.Kind != resp.Array || len(v.Elements) != 2:
			return rules.Errored, 0, errLeave
		case v.Elements[0].Kind == resp.Error:
			return c.refused(v.Elements[0].Str) // the number is no number, or too large: nothing was added
		default:
			text := v.Elements[0].Str
			if v.Elements[0].Kind == resp.Double {
				total = v.Elements[0].Float
			} else if total, err = strconv.ParseFloat(text, 64); err != nil || v.Elements[0].Kind != resp.Bulk {
				return rules.Errored, 0, errLeave
			}
			if total != total || total-total != 0 {
				return rules.Errored, 0, errLeave
			}
			c.lane.moves.Store(0)
			return rules.Served, total, nil
		}
	}
	return rules.Errored, 0, errLeave
}

// refused tells what an error means for the call and its connection. In all of them
// nothing was added.
func (c *storeConn) refused(text string) (rules.Outcome, float64, error) {
	code, rest, _ := strings.Cut(text, " ")
	switch code {
	case "LOADING", "OOM", "BUSY", "TRYAGAIN", "CLUSTERDOWN", "MASTERDOWN":
		return rules.Overloaded, 0, nil // the store is there and can't now: as a counter that turns calls away
	case "MOVED", "ASK":
		// This name lives elsewhere. ASK holds for one call alone, and would need a word before it: it
		// counts as turned away, until the move is over and the answer is MOVED.
		if words := strings.Fields(rest); code == "MOVED" && len(words) == 2 {
			if _, port, err := net.SplitHostPort(words[1]); err == nil && port != "" {
				c.lane.moves.Add(1)
				c.lane.moved.Store(&words[1])
			}
		}
		return rules.Overloaded, 0, nil
	case "READONLY":
		return rules.Overloaded, 0, errLeave // a copy: the next connection may meet the one that writes
	case "NOAUTH", "WRONGPASS", "NOPERM":
		return rules.ConnectFailed, 0, errLeave
	}
	return rules.ConnectFailed, 0, nil
}
