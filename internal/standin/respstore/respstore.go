// Package respstore is a stand-in for a RESP server, for tests. It implements what a shared counter needs of the
// published protocol: increments, expiry, transactions and AUTH. Faults can be changed while it runs.
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

// Fault is a fault that the store injects into transactions.
type Fault struct {
	// Queue is the error reply to INCRBYFLOAT in a transaction, which discards the transaction. Exec is the error reply
	// to EXEC; nothing is added. Both are complete errors such as "OOM no room".
	Queue, Exec string
	// These add the amount. NoReply then closes the connection without a reply to EXEC; Truncated sends half of the
	// reply before that; Malformed sends a reply without a number.
	NoReply, Truncated, Malformed bool
	Delay                         time.Duration // before each reply to EXEC
}

// RandomFaults are the faults that the store injects into a fraction of the transactions. The zero value injects none.
type RandomFaults struct {
	Delay     time.Duration // added to the time of each reply
	Refuse    float64       // fraction refused with a LOADING error
	Malformed float64       // fraction added but answered without a number
	Endless   float64       // fraction added, with a reply that is never completed
	Double    float64       // fraction added twice
}

// Store is a running stand-in.
type Store struct {
	password  string
	listeners []net.Listener // one for each caller, or one for all
	wg        sync.WaitGroup

	mu           sync.Mutex
	closed       bool
	fault        Fault
	randomFaults RandomFaults
	rng          *rand.Rand
	halfOf       map[string]int      // which half each caller uses; nil: not split
	halves       [2]map[string]*item // the second is used only while the store is split
	conns        map[net.Conn]struct{}
	transactions int // transactions that added
	connections  int
}

// item is one number.
type item struct {
	total     float64
	expiresAt time.Time // zero: never
}

// New starts a store on a loopback address, with TLS if a configuration is given. An empty password disables
// authentication.
func New(config *tls.Config, password string) (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return NewWithListeners(config, password, 1, l), nil
}

// NewWithListeners starts a store on existing listeners. If their connections have a Peer method that names the
// caller, the store can be split by caller. Seed determines which transactions random faults affect.
func NewWithListeners(config *tls.Config, password string, seed uint64, listeners ...net.Listener) *Store {
	s := &Store{password: password, listeners: listeners, halves: [2]map[string]*item{{}, {}}, conns: map[net.Conn]struct{}{},
		rng: rand.New(rand.NewPCG(seed, 8))}
	for _, l := range listeners {
		if config != nil {
			l = tls.NewListener(l, config)
		}
		s.wg.Go(func() { s.accept(l) })
	}
	return s
}

// Address returns the address of its first listener.
func (s *Store) Address() string { return s.listeners[0].Addr().String() }

// Close stops the store and closes its connections.
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

// SetRandomFaults replaces the random faults.
func (s *Store) SetRandomFaults(t RandomFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.randomFaults = t
}

// Split assigns each caller to one of two halves, which start from the same numbers and don't exchange updates. A
// caller that is not in the map uses half 0.
func (s *Store) Split(half map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halfOf = maps.Clone(half)
	s.halves[1] = map[string]*item{}
	for name, it := range s.halves[0] {
		copied := *it
		s.halves[1][name] = &copied
	}
}

// Heal ends a split. The numbers of the given half are kept; those of the other are lost.
func (s *Store) Heal(half int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halfOf = nil
	s.halves = [2]map[string]*item{s.halves[half&1], {}}
}

// SetFault replaces the fault of all transactions.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// DeleteAll deletes all numbers.
func (s *Store) DeleteAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.halves[0])
	clear(s.halves[1])
}

// Put sets a number without expiry.
func (s *Store) Put(name string, total float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.halves[0][name] = &item{total: total}
}

// Total returns the value of a number and its remaining time to live, which is 0 if it has no expiry or doesn't exist.
func (s *Store) Total(name string) (total float64, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it := s.item(0, name)
	if it == nil {
		return 0, 0
	}
	if !it.expiresAt.IsZero() {
		ttl = time.Until(it.expiresAt)
	}
	return it.total, ttl
}

// Counts returns the number of transactions that were executed and of connections accepted.
func (s *Store) Counts() (transactions, connections int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.transactions, s.connections
}

// item returns the number with a name in a half, or nil if there is none or it has expired. The caller holds mu.
func (s *Store) item(half int, name string) *item {
	it := s.halves[half][name]
	if it != nil && !it.expiresAt.IsZero() && !time.Now().Before(it.expiresAt) {
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
		s.connections++
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

// client is the state of one connection.
type client struct {
	w             resp.Writer
	authenticated bool // authenticated, or no password is set
	multi         bool
	queueFailed   bool // a queued command was answered with an error, so EXEC is refused
	queue         [][]string
	unfinished    bool             // its last reply is never completed
	peer          string           // the caller, "" if unknown
	arrivedAt     func() time.Time // when the last read data arrived
}

func (s *Store) serve(conn net.Conn) {
	r := resp.NewReader(conn, resp.Limits{Args: 64, Bulk: 64 << 10, Total: 256 << 10})
	c := &client{authenticated: s.password == "", w: resp.Writer{Version: 2}, arrivedAt: time.Now}
	if withPeer, ok := conn.(interface {
		Peer() string
		ArrivedAt() time.Time
	}); ok {
		c.peer, c.arrivedAt = withPeer.Peer(), withPeer.ArrivedAt
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
		holdOpen := s.command(c, args)
		if _, err := conn.Write(c.w.Buf); err != nil || !holdOpen {
			return
		}
		if c.unfinished {
			io.Copy(io.Discard, conn) // no longer usable, but stays open until the caller closes it
			return
		}
	}
}

// command handles one command. It returns false to end the connection.
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
			c.authenticated = true
			c.w.Simple("OK")
		}
	case !c.authenticated:
		c.w.Error("NOAUTH Authentication required.")
	case name == "MULTI":
		c.multi, c.queueFailed, c.queue = true, false, nil
		c.w.Simple("OK")
	case name == "EXEC" && !c.multi:
		c.w.Error("ERR EXEC without MULTI")
	case name == "EXEC":
		return s.exec(c, fault)
	case c.multi && name == "INCRBYFLOAT" && fault.Queue != "":
		c.queueFailed = true
		c.w.Error(fault.Queue)
	case c.multi:
		c.queue = append(c.queue, args)
		c.w.Simple("QUEUED")
	case name == "PING":
		c.w.Simple("PONG")
	default:
		s.mu.Lock()
		defer s.mu.Unlock()
		s.run(&c.w, s.halfOf[c.peer], args)
	}
	return true
}

func (s *Store) happens(fraction float64) bool { return fraction > 0 && s.rng.Float64() < fraction }

// exec executes the queued commands of a transaction. It returns false to end the connection.
func (s *Store) exec(c *client, fault Fault) bool {
	c.multi = false
	time.Sleep(fault.Delay)
	s.mu.Lock()
	randomFaults := s.randomFaults
	double := s.happens(randomFaults.Double)
	endless := s.happens(randomFaults.Endless)
	if s.happens(randomFaults.Malformed) {
		fault.Malformed = true
	}
	if s.happens(randomFaults.Refuse) {
		fault.Exec = "LOADING the dataset is being read"
	}
	s.mu.Unlock()
	time.Sleep(time.Until(c.arrivedAt().Add(randomFaults.Delay)))
	switch {
	case c.queueFailed:
		c.w.Error("EXECABORT Transaction discarded because of previous errors.")
		return true
	case fault.Exec != "":
		c.w.Error(fault.Exec)
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.transactions++
	c.w.Array(len(c.queue))
	half := s.halfOf[c.peer]
	for _, args := range c.queue {
		if double {
			s.run(&resp.Writer{Version: 2}, half, args)
		}
		s.run(&c.w, half, args)
	}
	switch {
	case endless:
		c.w.Buf, c.unfinished = []byte("*2\r\n$1000\r\n1"), true
	case fault.NoReply:
		c.w.Buf = nil
		return false
	case fault.Truncated:
		c.w.Buf = c.w.Buf[:len(c.w.Buf)/2]
		return false
	case fault.Malformed:
		c.w.Buf = []byte("*2\r\n$4\r\nmuch\r\n:1\r\n")
	}
	return true
}

// run executes a command on a number. The caller holds mu.
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
		case it == nil || !it.expiresAt.IsZero():
			w.Int(0)
		default:
			it.expiresAt = time.Now().Add(time.Duration(n) * time.Millisecond)
			w.Int(1)
		}
	default:
		w.Error(fmt.Sprintf("ERR unknown command '%s'", args[0]))
	}
}
