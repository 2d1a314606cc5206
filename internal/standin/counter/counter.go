// Package counter is a stand-in for the shared counter: an HTTP server with one expiring counter per name. Callers add
// to a counter and get its total back. It serves a configured number of calls per second. Faults can be injected: it
// can disappear, split into two halves, lose its state, add twice, answer late or answer with an unparsable body. It
// keeps an exact record of what it did.
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
	path             = "/v1/count/"
	maxNameLen       = 64
	maxAmount        = 1e9
	maxTTL           = 60 * time.Second
	maxQueuedAnswers = 256 // queued answers per connection; while the queue is full, nothing more is read
	sweepInterval    = time.Second
)

// Config sets the capacity and limits of a counter.
type Config struct {
	PerSecond  float64       // calls per second, shared evenly by the parts; 0: no limit
	Parts      int           // 1 or 2; names are distributed among them by hash
	Service    time.Duration // service time of a call, without queueing
	Conns      int           // limit per caller; further connections are reset
	Idle       time.Duration
	Seed       uint64
	MaxRecords int // calls recorded one by one; later ones are counted in the sums only
}

// Faults are the faults that a counter injects. The zero value injects none.
type Faults struct {
	Delay     time.Duration // added to the time of each answer
	Refuse    float64       // fraction of calls refused
	Malformed float64       // fraction added but answered without a number
	Endless   float64       // fraction added, with an answer that is never completed
	Double    float64       // fraction added twice
}

// Outcome is the result of a call.
type Outcome string

// The outcomes of a call.
const (
	Added      Outcome = "added"
	Doubled    Outcome = "added twice"
	Refused    Outcome = "turned away"
	BadRequest Outcome = "bad call"
)

// Call is the record of one call.
type Call struct {
	Peer      string
	Name      string
	Amount    float64
	Total     float64
	At        time.Time // when the call was carried out
	Outcome   Outcome
	TotalSent bool // whether the answer contained the total
	Half      int  // which half of a split counter served it
}

// Sums counts the calls of one caller by outcome.
type Sums struct {
	Calls      map[Outcome]int
	Unrecorded int // calls that are counted here but not recorded one by one
}

// entry is the total of one name.
type entry struct {
	total      float64
	validUntil time.Time
}

// Counter is a running stand-in.
type Counter struct {
	c    Config
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu       sync.Mutex
	links    []*link.Link
	faults   Faults
	halfOf   map[string]int      // which half each caller uses; nil: not split
	halves   [2]map[string]entry // the second is used only while the counter is split
	nextFree []time.Time         // when each part can start its next call
	conns    map[string]int
	records  []Call
	sums     map[string]*Sums
	rng      *rand.Rand
}

// Start runs a counter on the given links, one for each caller, until Close.
func Start(c Config, links ...*link.Link) (*Counter, error) {
	if c.Parts < 1 || c.Parts > 2 || c.Conns < 1 || c.MaxRecords < 0 || c.PerSecond < 0 {
		return nil, errors.New("counter: Parts must be 1 or 2, Conns positive, MaxRecords and PerSecond not negative")
	}
	k := &Counter{c: c, links: links, halves: [2]map[string]entry{{}, {}}, nextFree: make([]time.Time, c.Parts),
		conns: map[string]int{}, sums: map[string]*Sums{}, rng: rand.New(rand.NewPCG(c.Seed, 7))}
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	for _, l := range links {
		k.wg.Go(func() { k.accept(ctx, l) })
	}
	k.wg.Go(func() { k.sweep(ctx) })
	return k, nil
}

// Close stops the counter and waits for its goroutines.
func (k *Counter) Close() {
	k.stop()
	for _, l := range k.links {
		l.Close()
	}
	k.wg.Wait()
}

// Address returns the address at which a caller reaches the counter.
func (k *Counter) Address(peer string) string {
	return link.AddressFor(k.links, peer)
}

// Links returns the links, on which network faults can be injected.
func (k *Counter) Links() []*link.Link { return k.links }

// SetFaults replaces the injected faults.
func (k *Counter) SetFaults(t Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = t
}

// Split assigns each caller to one of two halves, which start from the same totals and don't exchange updates. A
// caller that is not in the map uses half 0.
func (k *Counter) Split(half map[string]int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.halfOf = map[string]int{}
	for peer, h := range half {
		k.halfOf[peer] = h & 1
	}
	k.halves[1] = map[string]entry{}
	for name, n := range k.halves[0] {
		k.halves[1][name] = n
	}
}

// Heal ends a split. The totals of the given half are kept; those of the other are lost.
func (k *Counter) Heal(half int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.halfOf = nil
	k.halves = [2]map[string]entry{k.halves[half&1], {}}
}

// Reset deletes all totals, as if the counter had been replaced by an empty one.
func (k *Counter) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.halves = [2]map[string]entry{{}, {}}
}

// Record returns the recorded calls, and for each caller the sums of all its calls.
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

// sweep deletes expired names periodically.
func (k *Counter) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			k.mu.Lock()
			for _, half := range k.halves {
				for name, n := range half {
					if !now.Before(n.validUntil) {
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

// answer is a queued answer, due at the end of the call's service time.
type answer struct {
	call    *request
	at      time.Time
	refused bool
	invalid bool
}

// request is a parsed call that has not been carried out yet.
type request struct {
	name   string
	amount float64
	ttl    time.Duration
}

// serve reads calls, which may be pipelined, and answers them in order.
func (k *Counter) serve(ctx context.Context, c *link.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	answers := make(chan answer, maxQueuedAnswers)
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
		a := answer{call: p, invalid: !ok}
		if ok {
			a.at, a.refused = k.schedule(p.name)
		}
		select {
		case answers <- a:
		case <-ctx.Done():
			return
		}
	}
}

// parse parses a call, and reports false if it is invalid.
func parse(r *http.Request) (*request, bool) {
	name, found := strings.CutPrefix(r.URL.EscapedPath(), path)
	q, err := url.ParseQuery(r.URL.RawQuery)
	if r.Method != http.MethodPost || !found || err != nil || name == "" || len(name) > maxNameLen || strings.Contains(name, "/") {
		return nil, false
	}
	amount, err := strconv.ParseFloat(q.Get("add"), 64)
	if err != nil || math.IsNaN(amount) || math.Abs(amount) > maxAmount {
		return nil, false
	}
	ms, err := strconv.ParseInt(q.Get("ttl_ms"), 10, 64)
	if err != nil || ms < 1 {
		return nil, false
	}
	return &request{name, amount, min(time.Duration(min(ms, maxTTL.Milliseconds()))*time.Millisecond, maxTTL)}, true
}

// schedule reserves the next free slot of the part that owns the name, and returns when the answer is due.
func (k *Counter) schedule(name string) (at time.Time, refused bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.happens(k.faults.Refuse) {
		return time.Now(), true
	}
	h := fnv.New32a()
	io.WriteString(h, name)
	part := &k.nextFree[int(h.Sum32()>>3)%k.c.Parts]
	at = time.Now()
	if part.After(at) {
		at = *part
	}
	if k.c.PerSecond > 0 {
		*part = at.Add(time.Duration(float64(time.Second) * float64(k.c.Parts) / k.c.PerSecond))
	}
	return at.Add(k.c.Service + k.faults.Delay), false
}

func (k *Counter) happens(fraction float64) bool { return fraction > 0 && k.rng.Float64() < fraction }

// write sends the answers when they are due, and flushes before each wait.
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
			// The connection is no longer usable, but stays open until the caller closes it.
			w.Flush()
			<-ctx.Done()
			return
		}
		if len(answers) == 0 && w.Flush() != nil {
			return
		}
	}
}

// reply carries out a call and writes its answer. It returns false if the answer leaves the connection unusable.
func (k *Counter) reply(peer string, w io.Writer, a answer) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case a.invalid:
		k.record(Call{Peer: peer, At: time.Now(), Outcome: BadRequest})
		io.WriteString(w, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
		return true
	case a.refused:
		k.record(Call{Peer: peer, Name: a.call.name, Amount: a.call.amount, At: time.Now(), Outcome: Refused})
		io.WriteString(w, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	call := Call{Peer: peer, Name: a.call.name, Amount: a.call.amount, At: time.Now(), Outcome: Added, TotalSent: true, Half: k.halfOf[peer]}
	half := k.halves[call.Half]
	n, hasEntry := half[a.call.name]
	if !hasEntry || !call.At.Before(n.validUntil) {
		n = entry{validUntil: call.At.Add(a.call.ttl)}
	}
	n.total += a.call.amount
	if k.happens(k.faults.Double) {
		n.total += a.call.amount
		call.Outcome = Doubled
	}
	half[a.call.name], call.Total = n, n.total
	switch {
	case k.happens(k.faults.Malformed):
		call.TotalSent = false
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nNaN?!\n")
	case k.happens(k.faults.Endless):
		call.TotalSent = false
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n1")
	default:
		total := strconv.FormatFloat(n.total, 'g', 15, 64)
		fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(total), total)
	}
	k.record(call)
	return call.TotalSent
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
