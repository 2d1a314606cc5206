// Package respstore is a store that speaks RESP, as far as a shared counter needs
// one: numbers that grow, ends of life, transactions, a login. Written from the published
// protocol, for tests; its faults can be switched while it runs.
package respstore

import (
	"crypto/subtle"
	"crypto/tls"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"elderyard/internal/resp"
)

// Fault is what the store does to transactions.
type Fault struct {
	// Queue answers INCRBYFLOAT in a transaction, which drops the transaction; Exec answers EXEC, and
	// nothing is added. Both are whole errors such as "OOM no room".
	Queue, Exec string
	// Lost adds and ends the connection without an answer to EXEC; Cut answers half of it; Spoilt answers
	// it with what is no number.
	Lost, Cut, Spoilt bool
	Delay             time.Duration // before each answer to EXEC
}

// Trouble is what the store does wrong to a share of the transactions. The zero
// value is none.
type Trouble struct {
	Late    time.Duration // answers come so much later
	Refuse  float64       // share turned away: it loads
	Spoil   float64       // share added but answered without a number
	Endless float64       // share added whose answer has no end
	Double  float64       // share added twice
}

// Store is one store.
type Store struct {
	password  string
	listeners []net.Listener // one for each caller, or one for all
	wg        sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	fault   Fault
	trouble Trouble
	rng     *rand.Rand
	split   map[string]int      // the half that a caller sees; nil: all see one
	halves  [2]map[string]*item // the second is used while split alone
	conns   map[net.Conn]struct{}
	calls   int // transactions that added
	dials   int
}

type item struct {
	total float64
	ends  time.Time // zero: never
}

// New opens a store on a loopback address. Set is for TLS, or nil; an empty
// password lets everybody in.
func New(set *tls.Config, password string) (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return Over(set, password, 1, l), nil
}

// Over opens a store behind listeners that the caller has made. Where their
// connections tell whose they are (Peer), the store can be split by caller. Seed draws which
// transactions have trouble.
func Over(set *tls.Config, password string, seed uint64, listeners ...net.Listener) *Store {
	s := &Store{password: password, listeners: listeners, halves: [2]map[string]*item{{}, {}}, conns: map[net.Conn]struct{}{},
		rng: rand.New(rand.NewPCG(seed, 8))}
	for _, l := range listeners {
		if set != nil {
			l = tls.NewListener(l, set)
		}
		s.wg.Go(func() { s.accept(l) })
	}
	return s
}

// Address is where it listens, the first of its listeners.
func (s *Store) Address() string { return s.listeners[0].Addr().String() }

// Close ends it with all connections.
func (s *Store) Close() {
	for _, l := range s.listeners {
		l.Close()
	}
	s.mu.Lock()
	s.closed = true
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// SetTrouble replaces what goes wrong from now on.
func (s *Store) SetTrouble(t Trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
}

// Split gives each caller one of two halves, which go on from the same numbers and
// do not hear of each other. A caller that is not named sees half 0.
func (s *Store) Split(half map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.split = maps.Clone(half)
	s.halves[1] = map[string]*item{}
	for name, it := range s.halves[0] {
		same := *it
		s.halves[1][name] = &same
	}
}

// Join ends a split. The numbers of the given half stay; the other's are lost.
func (s *Store) Join(keep int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.split = nil
	s.halves = [2]map[string]*item{s.halves[keep&1], {}}
}

// Set switches faults.
func (s *Store) Set(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Empty forgets all numbers.
func (s *Store) Empty() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.halves[0])
	clear(s.halves[1])
}

// Put sets a number, which never ends.
func (s *Store) Put(name string, total float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halves[0][name] = &item{total: total}
}

// Total is a number's present value, and how long it still has; 0: for ever, or
// it is not there.
func (s *Store) Total(name string) (total float64, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.item(0, name)
	if it == nil {
		return 0, 0
	}
	if !it.ends.IsZero() {
		left = time.Until(it.ends)
	}
	return it.total, left
}

// Counts are how many transactions added, and how many connections there were.
func (s *Store) Counts() (calls, dials int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.dials
}

// item returns what lives under a name of a half, or nil. The lock is held.
func (s *Store) item(half int, name string) *item {
	it := s.halves[half][name]
	if it != nil && !it.ends.IsZero() && !time.Now().Before(it.ends) {
		delete(s.halves[half], name)
		return nil
	}
	return it
}

func (s *Store) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.closed {
			s.mu.Unlock()
			conn.Close()
			return
		}
		s.conns[conn] = struct{}{}
		s.dials++
		s.mu.Unlock()
		s.wg.Go(func() {
			s.serve(conn)
			conn.Close()
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
		})
	}
}

// client is one connection.
type client struct {
	w      resp.Writer
	in     bool // logged in
	multi  bool
	failed bool // what was queued has an error
	queue  [][]string
	stuck  bool   // its last answer has no end
	peer   string // whose connection it is, where that is known
	came   func() time.Time
}

func (s *Store) serve(conn net.Conn) {
	r := resp.NewReader(conn, resp.Limits{Args: 64, Bulk: 64 << 10, Total: 256 << 10})
	c := &client{in: s.password == "", w: resp.Writer{Version: 2}, came: time.Now}
	if whose, ok := conn.(interface {
		Peer() string
		Came() time.Time
	}); ok {
		c.peer, c.came = whose.Peer(), whose.Came
	}
	for {
		words, _, err := r.Command(nil, nil)
		if err != nil {
			return
		}
		if len(words) == 0 {
			continue
		}
		args := make([]string, len(words))
		for i, word := range words {
			args[i] = string(word)
		}
		c.w.Buf = c.w.Buf[:0]
		goOn := s.command(c, args)
		if _, err := conn.Write(c.w.Buf); err != nil || !goOn {
			return
		}
		if c.stuck {
			io.Copy(io.Discard, conn) // of no further use, but it stays open until its caller leaves
			return
		}
	}
}

// command answers one command. It returns false to end the connection.
func (s *Store) command(c *client, args []string) bool {
	name := strings.ToUpper(args[0])
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch {
	case name == "AUTH" && len(args) <= 3 && len(args) >= 2:
		if subtle.ConstantTimeCompare([]byte(args[len(args)-1]), []byte(s.password)) != 1 {
			c.w.Error("WRONGPASS invalid username-password pair or user is disabled.")
		} else {
			c.in = true
			c.w.Simple("OK")
		}
	case !c.in:
		c.w.Error("NOAUTH Authentication required.")
	case name == "MULTI":
		c.multi, c.failed, c.queue = true, false, nil
		c.w.Simple("OK")
	case name == "EXEC" && !c.multi:
		c.w.Error("ERR EXEC without MULTI")
	case name == "EXEC":
		return s.exec(c, fault)
	case c.multi && name == "INCRBYFLOAT" && fault.Queue != "":
		c.failed = true
		c.w.Error(fault.Queue)
	case c.multi:
		c.queue = append(c.queue, args)
		c.w.Simple("QUEUED")
	case name == "PING":
		c.w.Simple("PONG")
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.run(&c.w, s.split[c.peer], args)
	}
	return true
}

func (s *Store) chance(share float64) bool { return share > 0 && s.rng.Float64() < share }

func (s *Store) exec(c *client, fault Fault) bool {
	c.multi = false
	time.Sleep(fault.Delay)
	s.mu.Lock()
	trouble := s.trouble
	double := s.chance(trouble.Double)
	endless := s.chance(trouble.Endless)
	if s.chance(trouble.Spoil) {
		fault.Spoilt = true
	}
	if s.chance(trouble.Refuse) {
		fault.Exec = "LOADING the dataset is being read"
	}
	s.mu.Unlock()
	time.Sleep(time.Until(c.came().Add(trouble.Late)))
	switch {
	case c.failed:
		c.w.Error("EXECABORT Transaction discarded because of previous errors.")
		return true
	case fault.Exec != "":
		c.w.Error(fault.Exec)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	c.w.Array(len(c.queue))
	half := s.split[c.peer]
	for _, args := range c.queue {
		if double {
			s.run(&resp.Writer{Version: 2}, half, args)
		}
		s.run(&c.w, half, args)
	}
	switch {
	case endless:
		c.w.Buf, c.stuck = []byte("*2\r\n$1000\r\n1"), true
	case fault.Lost:
		c.w.Buf = nil
		return false
	case fault.Cut:
		c.w.Buf = c.w.Buf[:len(c.w.Buf)/2]
		return false
	case fault.Spoilt:
		c.w.Buf = []byte("*2\r\n$4\r\nmuch\r\n:1\r\n")
	}
	return true
}

// run answers what works on numbers. The lock is held.
func (s *Store) run(w *resp.Writer, half int, args []string) {
	switch name := strings.ToUpper(args[0]); {
	case name == "INCRBYFLOAT" && len(args) == 3:
		n, err := strconv.ParseFloat(args[2], 64)
		if err != nil {
			w.Error("ERR value is not a valid float")
			return
		}
		it := s.item(half, args[1])
		if it == nil {
			it = &item{}
			s.halves[half][args[1]] = it
		}
		it.total += n
		w.Bulk(strconv.FormatFloat(it.total, 'f', -1, 64))
	case name == "PEXPIRE" && len(args) == 4 && strings.ToUpper(args[3]) == "NX":
		n, err := strconv.ParseInt(args[2], 10, 64)
		it := s.item(half, args[1])
		switch {
		case err != nil:
			w.Error("ERR value is not an integer or out of range")
		case it == nil || !it.ends.IsZero():
			w.Int(0)
		default:
			it.ends = time.Now().Add(time.Duration(n) * time.Millisecond)
			w.Int(1)
		}
	default:
		w.Error(fmt.Sprintf("ERR unknown command '%s'", args[0]))
	}
}
