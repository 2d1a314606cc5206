// Package backend is a stand-in for a backend: it speaks the gateway's side of
// HTTP/1.1, works at a stated speed on a stated number of cores, starts cold,
// drains, drops keyed repeats, reports its load, and can be told to fail in the
// ways in which backends do. It keeps a record of every request that reached
// it, for the auditor.
package backend

import (
	"context"
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"elderyard/internal/standin/link"
)

// Work is how long requests of a class take on one core at full speed.
type Work struct {
	Mean time.Duration
	CV   float64 // deviation over mean; 1 is near an exponential, 0 is always the mean
}

// Config states what a backend is.
type Config struct {
	ID     string
	Cell   int
	Cores  int
	Speed  float64 // of a core; 1: a second of work takes a second
	Queue  int     // requests that wait
	Conns  int     // connections that it holds; further ones are reset
	Work   map[string]Work
	Keyed  map[string]bool // classes whose repeats are dropped by key
	Dedupe *Dedupe         // of its cell

	Idle           time.Duration // a connection idle for so long is closed
	Handshake      time.Duration // the first answer on a connection comes so much later
	ReportInterval time.Duration // load reports are refreshed so often; 0: none
	Seed           uint64

	ColdSpeed    float64       // share of its speed just after a cold start
	WarmUp       time.Duration // warm after this
	FallMultiple float64       // sent more than this many times what it can do while cold
	FallFor      time.Duration // for this long, it falls over
	MaxRecords   int           // requests recorded; what comes beyond is counted only
}

// Faults is what a backend can be told to do wrong. The zero value is none.
type Faults struct {
	Slow      float64 // work takes this many times as long; 0 and 1: as usual
	Stalled   bool    // works on nothing
	Errors    float64 // share answered 500 at once
	Malformed float64 // share whose answer can't be read
	Endless   float64 // share whose answer never ends
	Duplicate float64 // share with a second answer right behind the first
	Refuse    float64 // share turned away unprocessed
}

// Outcome is what became of a request at a backend.
type Outcome string

// The ends.
const (
	Served    Outcome = "served"      // its answer was written
	Repeat    Outcome = "repeat"      // known by its key: answered without running again
	Failed    Outcome = "error"       // 500
	Refused   Outcome = "turned away" // never ran
	Malformed Outcome = "spoilt"      // ran; the answer can't be read
	Canceled  Outcome = "left"        // the gateway ended the connection first
	Died      Outcome = "died"        // with the backend
	Invalid   Outcome = "unread"      // answered 400: no usable request
)

// Attempt is one request that reached a backend whole.
type Attempt struct {
	Backend   string
	Restarts  int // starts of the backend before this one
	Cell      int
	Peer      string // the gateway whose link it came over
	ID        string
	Key       string
	Class     string
	TimeLeft  time.Duration // that the gateway says it will wait
	FirstByte time.Time     // its first byte
	Received  time.Time     // its last byte
	Ended     time.Time
	Outcome   Outcome
	Ran       bool   // its work was done, so it took effect
	Sum       uint64 // of the body that was made for it; 0: none
}

// Fall is a cold backend that was pushed over.
type Fall struct {
	Backend string
	At      time.Time
	Sent    float64 // seconds of work that were sent in the window
	Could   float64 // seconds of work that it could have done in it
	From    map[string]int
}

// Backend is a running stand-in.
type Backend struct {
	c    Config
	cpu  *processor
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu       sync.Mutex
	links    []*link.Link
	trouble  Faults
	born     time.Time // of the present life; zero: long ago
	life     int
	lifeCtx  context.Context
	endLife  context.CancelFunc
	down     bool
	fallen   bool
	draining bool
	conns    int
	pushed   []push // while cold
	reported time.Time
	held     int // in the last report
	queued   int
	records  []*Attempt
	beyond   int
	falls    []Fall
	rng      *rand.Rand
}

type push struct {
	at   time.Time
	work float64
	peer string
}

// Start runs a backend behind the given links, one for each gateway, until Close.
func Start(c Config, links ...*link.Link) (*Backend, error) {
	switch {
	case c.Cores < 1 || c.Speed <= 0 || c.Queue < 0 || c.Conns < 1 || c.MaxRecords < 1:
		return nil, fmt.Errorf("backend %s: cores, speed, connections and records must be above 0", c.ID)
	case len(c.Work) == 0 || c.Dedupe == nil:
		return nil, fmt.Errorf("backend %s: no work or no cell", c.ID)
	}
	b := &Backend{c: c, cpu: newProcessor(c.Cores, c.Queue, c.Speed), links: links,
		rng: rand.New(rand.NewPCG(c.Seed, hash(c.ID)))}
	b.lifeCtx, b.endLife = context.WithCancel(context.Background())
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	for _, l := range links {
		b.wg.Go(func() { b.accept(ctx, l) })
	}
	b.wg.Go(func() { b.warm(ctx) })
	return b, nil
}

// Close ends the backend and waits for all that it started.
func (b *Backend) Close() {
	b.stop()
	b.Kill()
	for _, l := range b.links {
		l.Close()
	}
	b.wg.Wait()
}

// ID returns its name.
func (b *Backend) ID() string { return b.c.ID }

// Cell returns the number of the cell that drops its repeats.
func (b *Backend) Cell() int { return b.c.Cell }

// Address returns where a gateway finds it.
func (b *Backend) Address(peer string) string {
	return link.AddressFor(b.links, peer)
}

// Kill ends the process: connections are reset, new ones refused, work lost.
func (b *Backend) Kill() {
	b.mu.Lock()
	b.down = true
	b.endLife()
	b.mu.Unlock()
	for _, l := range b.links {
		l.Down()
	}
	b.cpu.clear()
}

// Restart starts a killed backend anew, cold.
func (b *Backend) Restart() error {
	b.mu.Lock()
	b.life++
	b.lifeCtx, b.endLife = context.WithCancel(context.Background())
	b.born, b.down, b.fallen, b.draining, b.pushed = time.Now(), false, false, false, nil
	b.mu.Unlock()
	b.cpu.setRate(b.rate())
	for _, l := range b.links {
		if err := l.Up(); err != nil {
			return fmt.Errorf("backend %s: %w", b.c.ID, err)
		}
	}
	return nil
}

// StartedAt returns when the present life began; the zero time is long ago.
func (b *Backend) StartedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.born
}

// Cut makes the backend silent towards the named gateways, or all of them.
func (b *Backend) Cut(peers ...string) { b.each(peers, (*link.Link).Cut) }

// Heal ends a Cut.
func (b *Backend) Heal(reset bool, peers ...string) {
	b.each(peers, func(l *link.Link) { l.Heal(reset) })
}

// Reset resets open connections.
func (b *Backend) Reset(peers ...string) { b.each(peers, (*link.Link).Reset) }

func (b *Backend) each(peers []string, do func(*link.Link)) {
	var wg sync.WaitGroup
	for _, l := range b.links {
		for _, p := range peers {
			if p == l.Peer() {
				wg.Go(func() { do(l) })
			}
		}
		if len(peers) == 0 {
			wg.Go(func() { do(l) })
		}
	}
	wg.Wait()
}

// Drain makes the backend turn new work away; what it has is finished.
func (b *Backend) Drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = on
}

// SetFaults replaces what goes wrong from now on.
func (b *Backend) SetFaults(t Faults) {
	b.mu.Lock()
	b.trouble = t
	b.mu.Unlock()
	b.cpu.setRate(b.rate())
}

// Record returns what reached the backend so far, how many requests more were
// not recorded for want of room, and its falls.
func (b *Backend) Record() (attempts []Attempt, beyond int, falls []Fall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.records {
		attempts = append(attempts, *a)
	}
	return attempts, b.beyond, append(falls, b.falls...)
}

// Fallen tells whether the backend was pushed over.
func (b *Backend) Fallen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fallen
}

// Load returns how many requests are held, how many of them wait, and whether
// the backend is down.
func (b *Backend) Load() (held, waiting int, down bool) {
	held, waiting = b.cpu.load()
	b.mu.Lock()
	defer b.mu.Unlock()
	return held, waiting, b.down
}

// rate is the speed of a core at this moment.
func (b *Backend) rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := b.c.Speed * b.warmth(time.Now())
	if b.trouble.Stalled {
		return 0
	}
	if b.trouble.Slow > 1 {
		rate /= b.trouble.Slow
	}
	return rate
}

// warmth is the share of its speed that a backend has reached.
func (b *Backend) warmth(now time.Time) float64 {
	if b.born.IsZero() || b.c.WarmUp <= 0 {
		return 1
	}
	return min(1, b.c.ColdSpeed+(1-b.c.ColdSpeed)*now.Sub(b.born).Seconds()/b.c.WarmUp.Seconds())
}

// warm follows a cold start until it is over.
func (b *Backend) warm(ctx context.Context) {
	tick := time.NewTicker(replan)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.cpu.setRate(b.rate())
		}
	}
}

// pushLocked notes work that was sent to a cold backend, and tells whether it fell.
func (b *Backend) pushLocked(now time.Time, work float64, peer string) bool {
	if b.c.FallMultiple <= 0 || b.fallen || b.warmth(now) >= 1 {
		b.pushed = nil
		return false
	}
	from := now.Add(-b.c.FallFor)
	for len(b.pushed) > 0 && b.pushed[0].at.Before(from) {
		b.pushed = b.pushed[1:]
	}
	b.pushed = append(b.pushed, push{now, work, peer})
	if b.born.After(from) {
		return false // it has not yet been sent too much for the whole time
	}
	sent, peers := 0.0, map[string]int{}
	for _, p := range b.pushed {
		sent += p.work
		peers[p.peer]++
	}
	warmth := (b.warmth(now) + b.warmth(from)) / 2
	could := b.c.Speed * warmth * float64(b.c.Cores) * b.c.FallFor.Seconds()
	if sent <= b.c.FallMultiple*could {
		return false
	}
	b.fallen = true
	b.falls = append(b.falls, Fall{Backend: b.c.ID, At: now, Sent: sent, Could: could, From: peers})
	return true
}

// work draws how long a request takes. Attempts of one request take equally long.
func (b *Backend) work(class, id string) float64 {
	w, known := b.c.Work[class]
	if !known {
		return 0
	}
	if w.CV <= 0 {
		return w.Mean.Seconds()
	}
	r := rand.New(rand.NewPCG(b.c.Seed, hash(id)))
	// Log-normal with the wanted mean and deviation.
	s2 := math.Log(1 + w.CV*w.CV)
	return w.Mean.Seconds() * math.Exp(r.NormFloat64()*math.Sqrt(s2)-s2/2)
}

func (b *Backend) chance(share float64) bool {
	return share > 0 && b.rng.Float64() < share
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// Sum is the checksum by which an answer's body is told from others.
func Sum(body []byte) uint64 {
	h := fnv.New64a()
	h.Write(body)
	return h.Sum64() | 1 // 0 means none
}

// Dedupe is a cell's memory of keyed requests. It is safe for concurrent use.
type Dedupe struct {
	window time.Duration

	mu   sync.Mutex
	seen map[string]*keyed
	next time.Time // of the next clearing
}

// keyed is a request that has run, or runs.
type keyed struct {
	at   time.Time
	over chan struct{} // closed when it is known whether it ran
	ran  bool          // valid then
}

// NewDedupe returns the memory of one cell. It holds the keys of the last
// window, and so no more than arrive in it.
func NewDedupe(window time.Duration) *Dedupe {
	return &Dedupe{window: window, seen: map[string]*keyed{}}
}

// claim lets one request of a key run. It tells whether that is this one; where
// it is not, another has run within the window. It waits for one that runs.
func (d *Dedupe) claim(ctx context.Context, key string) (e *keyed, mine bool) {
	for ctx.Err() == nil {
		now := time.Now()
		d.mu.Lock()
		d.clearLocked(now)
		e := d.seen[key]
		if e == nil || now.Sub(e.at) > d.window {
			e = &keyed{at: now, over: make(chan struct{})}
			d.seen[key] = e
			d.mu.Unlock()
			return e, true
		}
		d.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-e.over:
			if e.ran {
				return e, false
			}
		}
	}
	return nil, false
}

func (d *Dedupe) clearLocked(now time.Time) {
	if now.Before(d.next) {
		return
	}
	d.next = now.Add(d.window)
	for k, e := range d.seen {
		if now.Sub(e.at) > d.window {
			delete(d.seen, k)
		}
	}
}

// settle tells whether the request that claimed the key ran. One that did not
// leaves the key to the next.
func (d *Dedupe) settle(key string, e *keyed, ran bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.ran = ran
	close(e.over)
	if !ran && d.seen[key] == e {
		delete(d.seen, key)
	}
}
