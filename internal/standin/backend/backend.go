// Package backend is a stand-in for a backend. It serves the HTTP/1.1 that gateways send, simulates work at a
// configured speed on a configured number of cores, starts cold, drains, deduplicates requests by idempotency key and
// reports its load. Faults of real backends can be injected. It records every request that it received, for the
// auditor.
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

// Work is the service time of the requests of a class on one core at full speed.
type Work struct {
	Mean time.Duration
	CV   float64 // coefficient of variation; 1 is close to an exponential distribution, 0 always gives the mean
}

// Config is the configuration of a backend.
type Config struct {
	ID     string
	Cell   int
	Cores  int
	Speed  float64 // of a core; at 1, a second of work takes a second
	Queue  int     // waiting requests, at most
	Conns  int     // open connections, at most; further ones are reset
	Work   map[string]Work
	Keyed  map[string]bool // classes that are deduplicated by key
	Dedupe *Dedupe         // shared by the cell

	Idle           time.Duration // idle timeout of a connection
	Handshake      time.Duration // added to the first answer on a connection
	ReportInterval time.Duration // how often load reports are refreshed; 0: none are sent
	Seed           uint64

	ColdSpeed    float64       // fraction of its speed right after a cold start
	WarmUp       time.Duration // time until it reaches full speed
	FallMultiple float64       // if a cold backend is sent more than this multiple of its capacity
	FallFor      time.Duration // for this long, it breaks down
	MaxRecords   int           // requests recorded; further ones are only counted
}

// Faults are the faults that a backend injects. The zero value injects none.
type Faults struct {
	Slow      float64 // factor on service times; 0 and 1: none
	Stalled   bool    // no work progresses
	Errors    float64 // fraction answered 500 at once
	Malformed float64 // fraction with an unparsable answer
	Endless   float64 // fraction whose answer is never completed
	Duplicate float64 // fraction answered twice in a row
	Refuse    float64 // fraction refused unprocessed
}

// Outcome is the result of a request at a backend.
type Outcome string

// The outcomes of a request.
const (
	Served    Outcome = "served"      // the answer was written
	Repeat    Outcome = "repeat"      // duplicate by its key: answered without running again
	Failed    Outcome = "error"       // 500
	Refused   Outcome = "turned away" // did not run
	Malformed Outcome = "spoilt"      // ran; the answer is unparsable or never completed
	Canceled  Outcome = "left"        // the gateway closed the connection first
	Died      Outcome = "died"        // the backend was killed
	Invalid   Outcome = "unread"      // answered 400: unknown class
)

// Attempt is the record of one request that a backend received completely.
type Attempt struct {
	Backend   string
	Restarts  int // restarts of the backend before the request
	Cell      int
	Peer      string // the gateway
	ID        string
	Key       string
	Class     string
	TimeLeft  time.Duration // until the gateway's deadline, as it stated
	FirstByte time.Time     // when its first byte arrived
	Received  time.Time     // when its last byte arrived
	Ended     time.Time
	Outcome   Outcome
	Ran       bool   // its work was completed, so it took effect
	Sum       uint64 // checksum of the body of its answer; 0: none
}

// Fall records that a cold backend broke down under overload.
type Fall struct {
	Backend string
	At      time.Time
	Sent    float64        // seconds of work received in the window
	Could   float64        // seconds of work that it had capacity for in the window
	From    map[string]int // requests in the window, by gateway
}

// Backend is a running stand-in.
type Backend struct {
	c    Config
	cpu  *processor
	stop context.CancelFunc
	wg   sync.WaitGroup

	mu         sync.Mutex
	links      []*link.Link
	faults     Faults
	startedAt  time.Time // last restart; zero: warm from the start
	restarts   int
	processCtx context.Context
	endProcess context.CancelFunc
	down       bool
	fallen     bool
	draining   bool
	conns      int
	received   []coldWork // work received in the window, while cold
	reported   time.Time
	inFlight   int // in the last load report, as is queued
	queued     int
	records    []*Attempt
	unrecorded int
	falls      []Fall
	rng        *rand.Rand
}

// coldWork is work that a cold backend received.
type coldWork struct {
	at   time.Time
	work float64
	peer string
}

// Start runs a backend on the given links, one for each gateway, until Close.
func Start(c Config, links ...*link.Link) (*Backend, error) {
	switch {
	case c.Cores < 1 || c.Speed <= 0 || c.Queue < 0 || c.Conns < 1 || c.MaxRecords < 1:
		return nil, fmt.Errorf("backend %s: Cores, Speed, Conns and MaxRecords must be positive, Queue not negative", c.ID)
	case len(c.Work) == 0 || c.Dedupe == nil:
		return nil, fmt.Errorf("backend %s: Work or Dedupe is missing", c.ID)
	}
	b := &Backend{c: c, cpu: newProcessor(c.Cores, c.Queue, c.Speed), links: links,
		rng: rand.New(rand.NewPCG(c.Seed, hash(c.ID)))}
	b.processCtx, b.endProcess = context.WithCancel(context.Background())
	ctx, stop := context.WithCancel(context.Background())
	b.stop = stop
	for _, l := range links {
		b.wg.Go(func() { b.accept(ctx, l) })
	}
	b.wg.Go(func() { b.warm(ctx) })
	return b, nil
}

// Close stops the backend and waits for its goroutines.
func (b *Backend) Close() {
	b.stop()
	b.Kill()
	for _, l := range b.links {
		l.Close()
	}
	b.wg.Wait()
}

// ID returns the backend's name.
func (b *Backend) ID() string { return b.c.ID }

// Cell returns the number of the cell within which the backend's requests are deduplicated.
func (b *Backend) Cell() int { return b.c.Cell }

// Address returns the address at which a gateway reaches the backend.
func (b *Backend) Address(peer string) string {
	return link.AddressFor(b.links, peer)
}

// Kill simulates the death of the process: connections are reset, new ones refused, and work in progress is lost.
func (b *Backend) Kill() {
	b.mu.Lock()
	b.down = true
	b.endProcess()
	b.mu.Unlock()
	for _, l := range b.links {
		l.Down()
	}
	b.cpu.clear()
}

// Restart restarts a killed backend, which is cold then.
func (b *Backend) Restart() error {
	b.mu.Lock()
	b.restarts++
	b.processCtx, b.endProcess = context.WithCancel(context.Background())
	b.startedAt, b.down, b.fallen, b.draining, b.received = time.Now(), false, false, false, nil
	b.mu.Unlock()
	b.cpu.setRate(b.rate())
	for _, l := range b.links {
		if err := l.Up(); err != nil {
			return fmt.Errorf("backend %s: %w", b.c.ID, err)
		}
	}
	return nil
}

// StartedAt returns the time of the last restart, zero if there was none.
func (b *Backend) StartedAt() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.startedAt
}

// Cut partitions the backend from the named gateways, or from all if none is named.
func (b *Backend) Cut(peers ...string) { b.forEachLink(peers, (*link.Link).Cut) }

// Heal ends a Cut, and resets the open connections if reset is set.
func (b *Backend) Heal(reset bool, peers ...string) {
	b.forEachLink(peers, func(l *link.Link) { l.Heal(reset) })
}

// Reset resets the open connections of the named gateways, or of all if none is named.
func (b *Backend) Reset(peers ...string) { b.forEachLink(peers, (*link.Link).Reset) }

func (b *Backend) forEachLink(peers []string, do func(*link.Link)) {
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

// Drain sets whether the backend refuses new work. It finishes the work that it has.
func (b *Backend) Drain(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = on
}

// SetFaults replaces the injected faults.
func (b *Backend) SetFaults(t Faults) {
	b.mu.Lock()
	b.faults = t
	b.mu.Unlock()
	b.cpu.setRate(b.rate())
}

// Record returns the recorded requests, how many more were received above MaxRecords, and the breakdowns.
func (b *Backend) Record() (attempts []Attempt, unrecorded int, falls []Fall) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.records {
		attempts = append(attempts, *a)
	}
	return attempts, b.unrecorded, append(falls, b.falls...)
}

// Fallen reports whether the backend broke down under overload and was not restarted since.
func (b *Backend) Fallen() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fallen
}

// Load returns how many requests are in flight, how many of them are queued, and whether the backend is down.
func (b *Backend) Load() (inFlight, waiting int, down bool) {
	inFlight, waiting = b.cpu.load()
	b.mu.Lock()
	defer b.mu.Unlock()
	return inFlight, waiting, b.down
}

// rate returns the current speed of a core.
func (b *Backend) rate() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	rate := b.c.Speed * b.warmth(time.Now())
	if b.faults.Stalled {
		return 0
	}
	if b.faults.Slow > 1 {
		rate /= b.faults.Slow
	}
	return rate
}

// warmth returns the fraction of its speed that a backend has reached.
func (b *Backend) warmth(now time.Time) float64 {
	if b.startedAt.IsZero() || b.c.WarmUp <= 0 {
		return 1
	}
	return min(1, b.c.ColdSpeed+(1-b.c.ColdSpeed)*now.Sub(b.startedAt).Seconds()/b.c.WarmUp.Seconds())
}

// warm updates the speed of the processor while the backend warms up.
func (b *Backend) warm(ctx context.Context) {
	tick := time.NewTicker(rateInterval)
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

// recordColdWorkLocked records work received by a cold backend, and returns true if the backend breaks down under it.
func (b *Backend) recordColdWorkLocked(now time.Time, work float64, peer string) bool {
	if b.c.FallMultiple <= 0 || b.fallen || b.warmth(now) >= 1 {
		b.received = nil
		return false
	}
	from := now.Add(-b.c.FallFor)
	for len(b.received) > 0 && b.received[0].at.Before(from) {
		b.received = b.received[1:]
	}
	b.received = append(b.received, coldWork{now, work, peer})
	if b.startedAt.After(from) {
		return false // the backend has been up for less than FallFor
	}
	sent, peers := 0.0, map[string]int{}
	for _, p := range b.received {
		sent += p.work
		peers[p.peer]++
	}
	warmth := (b.warmth(now) + b.warmth(from)) / 2
	capacity := b.c.Speed * warmth * float64(b.c.Cores) * b.c.FallFor.Seconds()
	if sent <= b.c.FallMultiple*capacity {
		return false
	}
	b.fallen = true
	b.falls = append(b.falls, Fall{Backend: b.c.ID, At: now, Sent: sent, Could: capacity, From: peers})
	return true
}

// work draws the service time of a request, in seconds. All attempts of one request get the same time.
func (b *Backend) work(class, id string) float64 {
	w, known := b.c.Work[class]
	if !known {
		return 0
	}
	if w.CV <= 0 {
		return w.Mean.Seconds()
	}
	r := rand.New(rand.NewPCG(b.c.Seed, hash(id)))
	// A log-normal distribution with the configured mean and deviation.
	s2 := math.Log(1 + w.CV*w.CV)
	return w.Mean.Seconds() * math.Exp(r.NormFloat64()*math.Sqrt(s2)-s2/2)
}

func (b *Backend) happens(fraction float64) bool {
	return fraction > 0 && b.rng.Float64() < fraction
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// Sum returns the checksum that identifies the body of an answer.
func Sum(body []byte) uint64 {
	h := fnv.New64a()
	h.Write(body)
	return h.Sum64() | 1 // 0 means none
}

// Dedupe stores the idempotency keys of a cell's recent requests. It is safe for concurrent use.
type Dedupe struct {
	window time.Duration

	mu    sync.Mutex
	byKey map[string]*keyed
	next  time.Time // when expired keys are deleted next
}

// keyed is a request that has run or is running.
type keyed struct {
	at   time.Time
	done chan struct{} // closed once ran is valid
	ran  bool          // whether it ran
}

// NewDedupe returns an empty Dedupe. It keeps the keys of the last window, so its size is bounded by the requests of
// that time.
func NewDedupe(window time.Duration) *Dedupe {
	return &Dedupe{window: window, byKey: map[string]*keyed{}}
}

// claim reserves a key. It returns true if this request is to run, and false if another request with the key has run
// within the window. If another one is running, claim waits for its result.
func (d *Dedupe) claim(ctx context.Context, key string) (e *keyed, claimed bool) {
	for ctx.Err() == nil {
		now := time.Now()
		d.mu.Lock()
		d.clearLocked(now)
		e := d.byKey[key]
		if e == nil || now.Sub(e.at) > d.window {
			e = &keyed{at: now, done: make(chan struct{})}
			d.byKey[key] = e
			d.mu.Unlock()
			return e, true
		}
		d.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-e.done:
			if e.ran {
				return e, false
			}
		}
	}
	return nil, false
}

// clearLocked deletes the expired keys, once per window.
func (d *Dedupe) clearLocked(now time.Time) {
	if now.Before(d.next) {
		return
	}
	d.next = now.Add(d.window)
	for k, e := range d.byKey {
		if now.Sub(e.at) > d.window {
			delete(d.byKey, k)
		}
	}
}

// settle ends a claim. If the request did not run, the key is released for the next one.
func (d *Dedupe) settle(key string, e *keyed, ran bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.ran = ran
	close(e.done)
	if !ran && d.byKey[key] == e {
		delete(d.byKey, key)
	}
}
