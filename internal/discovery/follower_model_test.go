package discovery

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// callPolicy decides when to call discovery: the follower, or a policy to compare it with.
type callPolicy interface {
	advance(now time.Duration) step
	handleListing(id int, l Listing, now time.Duration) (*Listing, error)
	handleRefusal(id int, now time.Duration)
}

// constantRetry is the policy that the gateway had before the follower: 0.1 s after each failure it
// opens a watch, or after a refusal a call for the full list, and cancels it at its time limit.
type constantRetry struct {
	since  int64
	synced bool
	open   *call
	lastID int
	nextAt time.Duration
}

func (c *constantRetry) advance(now time.Duration) step {
	var s step
	if c.open != nil && now >= c.open.expiresAt {
		s.expired = []int{c.open.id}
		c.open, c.nextAt = nil, now+retryDelay
	}
	if c.open == nil && now >= c.nextAt {
		c.lastID++
		c.open = &call{id: c.lastID, since: c.since, kind: fullList, expiresAt: now + listTimeout}
		if c.synced {
			c.open.kind, c.open.expiresAt = watch, now+watchHedgeDelay
		}
		s.opened = c.open
	}
	s.wakeAt = c.nextAt
	if c.open != nil {
		s.wakeAt = c.open.expiresAt
	}
	return s
}

func (c *constantRetry) handleListing(id int, l Listing, now time.Duration) (*Listing, error) {
	c.open, c.nextAt, c.since, c.synced = nil, now, l.Generation, true
	return &l, nil
}

func (c *constantRetry) handleRefusal(id int, now time.Duration) {
	c.open, c.nextAt, c.synced = nil, now+retryDelay, false
}

// event is an action of the model at a time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// eventQueue is a heap.Interface with the earliest event first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), q[i].order-q[j].order) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// overloadModel models an overloaded discovery on a simulated clock, as the stand-in registry does on
// sockets: a limited number of calls in service, a queue in order of arrival, refusals at once and
// after a wait, and no service for watches.
type overloadModel struct {
	maxServing, maxWaiting int
	service                time.Duration // duration of a call's service
	patience               time.Duration // after which a waiting call is refused
	late                   time.Duration // from the end of the service to the response
	downFrom               time.Duration
	downUntil              time.Duration

	now     time.Duration
	events  eventQueue
	order   int
	serving int
	waiting []*modelCall
	changes []time.Duration // time of each change; generation n is changes[n-1]

	unread int // responses written to calls that had been cancelled
}

type modelCall struct {
	call
	gateway   *modelGateway
	cancelled bool
	waiting   bool
}

type modelGateway struct {
	callPolicy
	calls   map[int]*modelCall
	wakeups int
	known   []time.Duration // when each generation became known
}

// after schedules an action.
func (m *overloadModel) after(d time.Duration, do func()) {
	m.order++
	heap.Push(&m.events, event{m.now + d, m.order, do})
}

func (m *overloadModel) down() bool { return m.now >= m.downFrom && m.now < m.downUntil }

func (m *overloadModel) generation() int64 { return int64(len(m.changes)) }

// wake advances a gateway and schedules its next wake-up.
func (m *overloadModel) wake(g *modelGateway) {
	s := g.advance(m.now)
	for _, id := range s.expired {
		m.cancel(g.calls[id])
		delete(g.calls, id)
	}
	if s.opened != nil {
		c := &modelCall{call: *s.opened, gateway: g}
		g.calls[c.id] = c
		m.arrive(c)
	}
	g.wakeups++
	wakeup := g.wakeups
	if s.wakeAt != never {
		m.after(max(s.wakeAt-m.now, time.Microsecond), func() {
			if g.wakeups == wakeup {
				m.wake(g)
			}
		})
	}
}

// cancel removes a call that its gateway has cancelled, or that is refused, from the queue.
func (m *overloadModel) cancel(c *modelCall) {
	c.cancelled = true
	if at := slices.Index(m.waiting, c); at >= 0 {
		m.waiting = slices.Delete(m.waiting, at, at+1)
	}
}

// arrive queues a call, or refuses it if the queue is full.
func (m *overloadModel) arrive(c *modelCall) {
	if m.down() { // silent: the call arrives at the end of the outage, unless cancelled by then
		m.after(m.downUntil-m.now, func() {
			if !c.cancelled {
				m.arrive(c)
			}
		})
		return
	}
	full := len(m.waiting) >= m.maxWaiting
	m.waiting = append(m.waiting, c)
	c.waiting = true
	m.admit()
	if !c.waiting {
		return
	}
	if full {
		m.cancel(c)
		m.after(time.Millisecond, func() { m.refuse(c) })
		return
	}
	m.after(m.patience, func() {
		if c.waiting && slices.Contains(m.waiting, c) {
			m.cancel(c)
			m.refuse(c)
		}
	})
}

// refuse passes a refusal to the gateway of a call.
func (m *overloadModel) refuse(c *modelCall) {
	if c.gateway.calls[c.id] != c {
		return
	}
	delete(c.gateway.calls, c.id)
	c.gateway.handleRefusal(c.id, m.now)
	m.wake(c.gateway)
}

// admit starts the service of waiting calls up to the limit.
func (m *overloadModel) admit() {
	for m.serving < m.maxServing && !m.down() {
		at := slices.IndexFunc(m.waiting, func(c *modelCall) bool { return c.kind != watch })
		if at < 0 {
			return
		}
		c := m.waiting[at]
		m.waiting = slices.Delete(m.waiting, at, at+1)
		c.waiting = false
		m.serving++
		m.after(m.service, func() { m.write(c) })
	}
}

// write ends the service of a call and delivers its response.
func (m *overloadModel) write(c *modelCall) {
	m.serving--
	generation := m.generation()
	m.after(m.late, func() {
		if c.gateway.calls[c.id] != c {
			m.unread++
			return
		}
		delete(c.gateway.calls, c.id)
		l, _ := c.gateway.handleListing(c.id, Listing{Generation: generation, Reset: c.kind == fullList}, m.now)
		if l != nil {
			for int64(len(c.gateway.known)) < l.Generation {
				c.gateway.known = append(c.gateway.known, m.now)
			}
		}
		m.wake(c.gateway)
	})
	m.admit()
}

func (m *overloadModel) change() {
	m.changes = append(m.changes, m.now)
}

// run simulates a fleet for the given time.
func (m *overloadModel) run(seed uint64, fleet int, length time.Duration, newPolicy func(seed uint64) callPolicy) []*modelGateway {
	random := rand.New(rand.NewPCG(seed, 1))
	var gateways []*modelGateway
	for i := range fleet {
		g := &modelGateway{callPolicy: newPolicy(seed*1000 + uint64(i)), calls: map[int]*modelCall{}}
		gateways = append(gateways, g)
		m.after(time.Duration(random.Float64()*float64(200*time.Millisecond)), func() { m.wake(g) })
	}
	for at := time.Duration(0); at < length-maxStaleness; at += time.Duration((0.2 + 1.6*random.Float64()) * float64(time.Second)) {
		m.after(at, m.change)
	}
	if m.downUntil > 0 {
		m.after(m.downUntil, m.admit)
	}
	for m.events.Len() > 0 && m.now < length {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.do()
	}
	return gateways
}

// overdue returns how often a gateway did not know a change in time, and the longest time that a
// change took to become known, counted from when discovery had it and was reachable.
func (m *overloadModel) overdue(gateways []*modelGateway) (missed int, longest time.Duration) {
	for i, at := range m.changes {
		if at > m.downFrom-maxStaleness && at < m.downUntil {
			at = m.downUntil
		}
		if at > m.now-maxStaleness {
			continue
		}
		for _, g := range gateways {
			delay := m.now - at
			if i < len(g.known) {
				delay = g.known[i] - at
			}
			longest = max(longest, delay)
			if delay > maxStaleness {
				missed++
			}
		}
	}
	return missed, longest
}

// fleetCase is a fleet and an overloaded discovery that can serve one poll of each gateway in 4 s.
type fleetCase struct {
	gateways, maxServing, maxWaiting int
	service, late, downFrom          time.Duration
}

func (c fleetCase) String() string {
	return fmt.Sprintf("%d gateways, responses %v late, down from %v", c.gateways, c.late, c.downFrom)
}

// fleetCases returns the cases that the tests simulate.
func fleetCases() []fleetCase {
	var cases []fleetCase
	for _, late := range []time.Duration{0, 500 * time.Millisecond} {
		for _, downFrom := range []time.Duration{0, 10 * time.Second} {
			cases = append(cases, fleetCase{20, 1, 4, 100 * time.Millisecond, late, downFrom},
				fleetCase{60, 4, 10, 150 * time.Millisecond, late, downFrom})
		}
	}
	return cases
}

const (
	fleetSeeds  = 20 // of fleets with the follower
	retrySeeds  = 5  // of fleets with constantRetry
	fleetLength = 40 * time.Second
	downFor     = 8 * time.Second
)

// fleetResult is the result of a case over all seeds.
type fleetResult struct {
	missed, unread int           // see overdue and overloadModel
	longest        time.Duration // see overdue
}

func (c fleetCase) run(seeds int, newPolicy func(seed uint64) callPolicy) fleetResult {
	var sum fleetResult
	for seed := range uint64(seeds) {
		m := &overloadModel{maxServing: c.maxServing, maxWaiting: c.maxWaiting, service: c.service, patience: 2 * time.Second, late: c.late}
		if c.downFrom > 0 {
			m.downFrom, m.downUntil = c.downFrom, c.downFrom+downFor
		}
		missed, longest := m.overdue(m.run(seed, c.gateways, fleetLength, newPolicy))
		sum.missed += missed
		sum.unread += m.unread
		sum.longest = max(sum.longest, longest)
	}
	return sum
}

// Every follower knows every change within 6 s of discovery having it and being reachable, and no
// response is written to a cancelled call unless discovery was down.
func TestFleetKnowsEveryChangeInTime(t *testing.T) {
	t.Parallel()
	for _, c := range fleetCases() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			got := c.run(fleetSeeds, func(seed uint64) callPolicy { return newFollower(seed) })
			t.Logf("%+v", got)
			if got.missed > 0 || c.downFrom == 0 && got.unread > 0 {
				t.Errorf("%+v", got)
			}
		})
	}
}

// Checks that the cases above are hard enough: with constant retries, changes are missed.
func TestConstantRetryMissesChanges(t *testing.T) {
	t.Parallel()
	for _, c := range fleetCases() {
		t.Run(c.String(), func(t *testing.T) {
			t.Parallel()
			got := c.run(retrySeeds, func(uint64) callPolicy { return &constantRetry{} })
			t.Logf("%+v", got)
			if got.missed == 0 {
				t.Errorf("%+v", got)
			}
		})
	}
}
