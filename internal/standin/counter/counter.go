// Package counter is a stand-in for the shared counter: names with lives, to
// which callers add and whose totals they get back. It takes a stated number of
// calls a second, and can be told to vanish, split, forget, add twice, answer
// late or answer what can't be read. It keeps an exact account of what it did.
package counter

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"elderyard/internal/standin/link"
	"elderyard/internal/wait"
)

const (
	path      = "/v1/count/"
	mostName  = 64
	mostAdd   = 1e9
	mostLife  = 60 * time.Second
	mostQueue = 256 // answers that wait on one connection; a caller that sends more is not read
	sweepGap  = time.Second
)

// Config states what a counter bears.
type Config struct {
	PerSecond  float64       // calls a second, shared evenly by the parts; 0: no bound
	Parts      int           // 1 or 2, split by name
	Service    time.Duration // that a call takes beside waiting
	Conns      int           // of one caller; further ones are reset
	Idle       time.Duration
	Seed       uint64
	MaxRecords int // calls recorded one by one; what comes beyond is in the sums only
}

// Faults is what a counter can be told to do wrong. The zero value is none.
type Faults struct {
	Delay     time.Duration // answers come so much later
	Refuse    float64       // share turned away
	Malformed float64       // share added but answered without a number
	Endless   float64       // share added whose answer has no end
	Double    float64       // share added twice
}

// Outcome is what became of a call.
type Outcome string

// The ends.
const (
	Added      Outcome = "added"
	Doubled    Outcome = "added twice"
	Refused    Outcome = "turned away"
	BadRequest Outcome = "bad call"
)

// Call is one call that the counter took in.
type Call struct {
	Peer      string
	Name      string
	Amount    float64
	Total     float64
	At        time.Time // of its turn
	Outcome   Outcome
	TotalSent bool // its answer had the total in it
	Half      int  // of a split counter
}

// Sums counts the calls of one caller by their end.
type Sums struct {
	Calls      map[Outcome]int
	Unrecorded int // calls recorded in the sums alone
}

type number struct {
	total float64
	until time.Time
}

// Counter is a running stand-in.
type Counter struct {
	c    Config
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu      sync.Mutex
	links   []*link.Link
	trouble Faults
	split   map[string]int       // the half that a caller sees; nil: all see one
	halves  [2]map[string]number // the second is used while split alone
	free    []time.Time          // when a part has its next turn free
	conns   map[string]int
	records []Call
	sums    map[string]*Sums
	rng     *rand.Rand
}

// Start runs a counter behind the given links, one for each caller, until Close.
func Start(c Config, links ...*link.Link) (*Counter, error) {
	if c.Parts < 1 || c.Parts > 2 || c.Conns < 1 || c.MaxRecords < 0 || c.PerSecond < 0 {
		return nil, errors.New("counter: parts must be 1 or 2, connections above 0, the rest not below it")
	}
	k := &Counter{c: c, links: links, halves: [2]map[string]number{{}, {}}, free: make([]time.Time, c.Parts),
		conns: map[string]int{}, sums: map[string]*Sums{}, rng: rand.New(rand.NewPCG(c.Seed, 7))}
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	for _, l := range links {
		k.wg.Go(func() { k.accept(ctx, l) })
	}
	k.wg.Go(func() { k.sweep(ctx) })
	return k, nil
}

// Close ends the counter and waits for all that it started.
func (k *Counter) Close() {
	k.stop()
	for _, l := range k.links {
		l.Close()
	}
	k.wg.Wait()
}

// Address returns where a caller finds it.
func (k *Counter) Address(peer string) string {
	return link.AddressFor(k.links, peer)
}

// Links returns the sockets, for faults of the network.
func (k *Counter) Links() []*link.Link { return k.links }

// SetFaults replaces what goes wrong from now on.
func (k *Counter) SetFaults(t Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.trouble = t
}

// Split gives each caller one of two halves, which go on from the same totals
// and do not hear of each other. A caller that is not named sees half 0.
func (k *Counter) Split(half map[string]int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.split = map[string]int{}
	for peer, h := range half {
		k.split[peer] = h & 1
	}
	k.halves[1] = map[string]number{}
	for name, n := range k.halves[0] {
		k.halves[1][name] = n
	}
}

// Heal ends a split. The totals of the given half stay; the other's are lost.
func (k *Counter) Heal(keep int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.split = nil
	k.halves = [2]map[string]number{k.halves[keep&1], {}}
}

// Reset empties the counter, as one that was replaced.
func (k *Counter) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.halves = [2]map[string]number{{}, {}}
}

// Record returns the calls recorded one by one, and the sums of all for each caller.
func (k *Counter) Record() ([]Call, map[string]Sums) {
	k.mu.Lock()
	defer k.mu.Unlock()
	sums := map[string]Sums{}
	for peer, s := range k.sums {
		calls := map[Outcome]int{}
		for e, n := range s.Calls {
			calls[e] = n
		}
		sums[peer] = Sums{calls, s.Unrecorded}
	}
	return append([]Call(nil), k.records...), sums
}

// sweep forgets names whose life is over.
func (k *Counter) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepGap)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			k.mu.Lock()
			for _, half := range k.halves {
				for name, n := range half {
					if !now.Before(n.until) {
						delete(half, name)
					}
				}
			}
			k.mu.Unlock()
		}
	}
}

func (k *Counter) accept(ctx context.Context, l *link.Link) {
	peer := l.Peer()
	l.Serve(func() func(*link.Conn) {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.conns[peer] >= k.c.Conns || ctx.Err() != nil {
			return nil
		}
		k.conns[peer]++
		return func(c *link.Conn) {
			k.serve(ctx, c)
			k.mu.Lock()
			defer k.mu.Unlock()
			k.conns[peer]--
		}
	})
}

// answer is what a call gets, when it has had its turn.
type answer struct {
	call    *pending
	at      time.Time
	refused bool
	bad     bool
}

type pending struct {
	name   string
	amount float64
	life   time.Duration
}

// serve reads calls, which may come one behind another, and answers them in order.
func (k *Counter) serve(ctx context.Context, c *link.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	answers := make(chan answer, mostQueue)
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer cancel()
		k.write(ctx, c, answers)
	}()
	defer func() { <-written }()
	defer close(answers)
	r := bufio.NewReader(c)
	for {
		if k.c.Idle > 0 {
			c.SetReadDeadline(time.Now().Add(k.c.Idle))
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(req.Body, 1<<10)); err != nil {
			return
		}
		p, ok := parse(req)
		a := answer{call: p, bad: !ok}
		if ok {
			a.at, a.refused = k.turn(p.name)
		}
		select {
		case answers <- a:
		case <-ctx.Done():
			return
		}
	}
}

// parse reads a call.
func parse(r *http.Request) (*pending, bool) {
	name, found := strings.CutPrefix(r.URL.EscapedPath(), path)
	q, err := url.ParseQuery(r.URL.RawQuery)
	if r.Method != http.MethodPost || !found || err != nil || name == "" || len(name) > mostName || strings.Contains(name, "/") {
		return nil, false
	}
	amount, err := strconv.ParseFloat(q.Get("add"), 64)
	if err != nil || math.IsNaN(amount) || math.Abs(amount) > mostAdd {
		return nil, false
	}
	ms, err := strconv.ParseInt(q.Get("ttl_ms"), 10, 64)
	if err != nil || ms < 1 {
		return nil, false
	}
	return &pending{name, amount, min(time.Duration(min(ms, mostLife.Milliseconds()))*time.Millisecond, mostLife)}, true
}

// turn gives a call its turn at the part that has its name.
func (k *Counter) turn(name string) (at time.Time, refused bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.chance(k.trouble.Refuse) {
		return time.Now(), true
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	part := &k.free[int(h.Sum32()>>3)%k.c.Parts]
	at = time.Now()
	if part.After(at) {
		at = *part
	}
	if k.c.PerSecond > 0 {
		*part = at.Add(time.Duration(float64(time.Second) * float64(k.c.Parts) / k.c.PerSecond))
	}
	return at.Add(k.c.Service + k.trouble.Delay), false
}

func (k *Counter) chance(share float64) bool { return share > 0 && k.rng.Float64() < share }

func (k *Counter) write(ctx context.Context, c *link.Conn, answers <-chan answer) {
	w := bufio.NewWriter(c)
	for a := range answers {
		if time.Until(a.at) > 0 {
			if w.Buffered() > 0 && w.Flush() != nil {
				return
			}
			if !wait.Until(ctx, a.at) {
				return
			}
		}
		if !k.reply(c.Peer(), w, a) {
			// Of no further use, but it stays open until its caller leaves.
			w.Flush()
			<-ctx.Done()
			return
		}
		if len(answers) == 0 && w.Flush() != nil {
			return
		}
	}
}

// reply carries a call out and writes its answer. It returns false for one that
// spoils the connection.
func (k *Counter) reply(peer string, w io.Writer, a answer) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case a.bad:
		k.record(Call{Peer: peer, At: time.Now(), Outcome: BadRequest})
		io.WriteString(w, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	case a.refused:
		k.record(Call{Peer: peer, Name: a.call.name, Amount: a.call.amount, At: time.Now(), Outcome: Refused})
		io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	done := Call{Peer: peer, Name: a.call.name, Amount: a.call.amount, At: time.Now(), Outcome: Added, TotalSent: true, Half: k.split[peer]}
	half := k.halves[done.Half]
	n, here := half[a.call.name]
	if !here || !done.At.Before(n.until) {
		n = number{until: done.At.Add(a.call.life)}
	}
	n.total += a.call.amount
	if k.chance(k.trouble.Double) {
		n.total += a.call.amount
		done.Outcome = Doubled
	}
	half[a.call.name], done.Total = n, n.total
	switch {
	case k.chance(k.trouble.Malformed):
		done.TotalSent = false
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nNaN?!\n")
	case k.chance(k.trouble.Endless):
		done.TotalSent = false
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n1")
	default:
		total := strconv.FormatFloat(n.total, 'g', 15, 64)
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(total), total)
	}
	k.record(done)
	return done.TotalSent
}

func (k *Counter) record(c Call) {
	s := k.sums[c.Peer]
	if s == nil {
		s = &Sums{Calls: map[Outcome]int{}}
		k.sums[c.Peer] = s
	}
	s.Calls[c.Outcome]++
	if len(k.records) < k.c.MaxRecords {
		k.records = append(k.records, c)
	} else {
		s.Unrecorded++
	}
}
