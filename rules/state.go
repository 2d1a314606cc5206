package rules

// What a gateway keeps between events, and plain bookkeeping on it. Nothing is
// decided here.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Gateway holds all that one gateway knows.
type Gateway struct {
	set  Settings
	now  float64
	rng  *rand.Rand
	out  []Action
	said []CheckResult // of the present event; out points into it

	jobs       map[RequestID]*job
	spare      *job     // a check that is over
	queues     [][]*job // by level, each in order of arrival
	worths     []float64
	leastBurst float64 // of the plans' stores
	servers    map[BackendID]*server
	detached   map[BackendID]bool // by hand
	divide     FleetUpdate
	list       []*server // by id
	customers  map[CustomerID]*customer
	roster     []*customer       // by first sight
	calls      map[uint64][]call // out, by name, in order
	lastCall   uint64
	lost       []call // that ended with no answer lately, oldest first
	born       float64

	bound, lastCut    float64 // most attempts in flight, and when that was last cut
	inFlight          int
	load              float64 // mean of inFlight
	pressure          float64 // mean of latency over aim
	pressedAt         float64
	latency, spread   float64   // mean of answers and its mean deviation
	retries           float64   // saved up
	untold, told      []float64 // by plan: units paid lately by local shares, and by leases
	held              float64   // requests at a backend, mean of what was told
	crowd, crowdAt    float64   // share of counter calls that fail, and when the last one ended
	warmRate          float64   // own sends a second to a warm backend
	warmSent          int
	lastHouse         float64
	patience          []patience
	arrivals, arrived []float64 // by level: a second, and since lastHouse
}

// job is one request from its arrival until its last attempt has ended.
type job struct {
	Request
	class               *Class
	customer            *customer
	level               int
	giveUp              float64 // an answer after this earns nothing
	paidAt              float64 // 0: it is not paid
	paid, done, streams bool    // its units are taken; it is over; its answer has begun
	noPlace             bool    // it had no place in time, and was not let pay
	coming              bool    // its body has not gone on whole yet
	check, partial      bool    // a Check: it is paid, and nothing is sent
	attempts            []attempt
	out                 int
	mayRun              bool    // an attempt may have run, or is out
	mayAt               float64 // when the first such was sent
	mayOn               *server // and where
}

// lacked tells what a request that is given back did not get.
func (j *job) lacked() Reason {
	switch {
	case len(j.attempts) > 0:
		return AttemptsFailed
	case j.paid, j.noPlace:
		return NoCapacity
	}
	return QuotaExceeded
}

// share is how much of a local share has to be there for a request. Danger: one of more units than the share
// ever holds would never be let in, however long its customer stayed away. It may have all of a full one, and
// what it takes beyond that is earned before the next. Under a ceiling nothing goes beyond, and a check, which
// may ask for all of a store at once, has what there is.
func (j *job) share() float64 {
	if j.check || j.customer.terms.ceiling {
		return j.Units
	}
	return min(j.Units, j.customer.terms.localBurst)
}

// patience is how long the clients of a class and plan wait for one try.
type patience struct{ last, known float64 }

type attempt struct {
	on      *server
	sent    float64
	ended   bool
	counted bool // as work in flight
}

// ghost is an attempt that was given up and may still take up its backend.
type ghost struct {
	sent, until float64
	level       int
}

// server is what this gateway knows of one backend.
type server struct {
	Backend
	levels             []int // own attempts in flight by level
	inFlight           int
	ghosts             []ghost
	missed             int     // attempts given up since the last answer
	fail               float64 // share of recent failures
	latency            float64 // 0: no answer yet
	lastOK             float64
	far                bool    // used where near ones are not enough
	held, heldAt       float64 // requests there, as last told, and when
	cost               float64 // as of the last pick
	trialAt, trialGap  float64
	back               bool    // put back by hand, and has served nothing since
	budget, budgetedAt float64 // sends it may get while cold
}

// live returns a request that is not over, or nil.
func (g *Gateway) live(id RequestID) *job {
	if j := g.jobs[id]; j != nil && !j.done {
		return j
	}
	return nil
}

func (g *Gateway) do(a Action) { g.out = append(g.out, a) }

// say answers a check. The action is good until the next event: checks come by the
// hundred thousand, and an answer each on the heap is what they would cost most.
func (g *Gateway) say(a CheckResult) {
	g.said = append(g.said, a)
	g.do(&g.said[len(g.said)-1])
}

func (g *Gateway) timer(in float64, kind uint64, attempt int, id RequestID) {
	g.do(SetTimer{Delay: max(in, 0), Token: kind<<56 | uint64(attempt)<<32 | uint64(id), Request: id})
}

// work counts an attempt as work in flight until rest.
func (g *Gateway) work(a *attempt, level int) {
	a.counted = true
	g.enter(a.on, level)
}

// rest ends that.
func (g *Gateway) rest(a *attempt, level int) {
	if a.counted {
		a.counted = false
		g.leave(a.on, level)
	}
}

// leave takes an attempt out of the counts of work in flight.
func (g *Gateway) leave(s *server, level int) {
	s.inFlight--
	s.levels[level]--
	g.inFlight--
}

// customer is the quota of one customer as this gateway sees it.
type customer struct {
	id             CustomerID
	terms          terms
	seen, demand   float64 // units a second, here
	open           int     // requests let in and not over, and further attempts
	waiting        []*job  // highest level first
	units, expires float64 // leased and not spent
	window         float64 // number of the counter's window
	name           uint64
	known          float64 // the window's total as last seen
	met            bool    // the counter has told of it
	dryUntil       float64
	dryFor         float64 // units: fewer may still be there
	owed           float64 // spent in this window and not told
	doubt          float64 // of this window's calls that may have been added, and of what they were to take back
	inCalls        int     // calls out
	asking         int     // of these for units
	askingPlace    int     // of these for places
	rest, restTill float64 // pause after a failed call
	local, localAt float64 // own share, for when the counter is silent

	slots     int // leased places for attempts out at once
	slotName  uint64
	slotAfter float64 // no call for a place before this
}

// call is one Count whose reply is due.
type call struct {
	id       uint64
	customer *customer
	name     uint64
	window   float64
	floor    float64 // total at which the store is full
	owed     float64 // spent already
	fill     float64 // refill that nobody has used, written off; places told or given back
	units    float64 // asked for
	slot     bool    // for places, not units
}

// pending keeps count of the calls that are out.
func (c *customer) pending(k call, n int) {
	c.inCalls += n
	switch {
	case k.units > 0 && k.slot:
		c.askingPlace += n
	case k.units > 0:
		c.asking += n
	}
}

// phase spreads the ends of windows over customers.
func (c *customer) phase() float64 { return float64(hash(uint64(c.id))%1024) / 1024 }

// hash mixes a number; names of the counter must not collide.
func hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// terms are what a plan comes to for one customer at one gateway.
type terms struct {
	exact, ceiling          bool
	rate, allowance, window float64 // units a second, units a window, its length
	spare                   float64 // the first allowance where nothing is known
	localRate, localBurst   float64
	first                   float64 // block
	places                  int
	share                   int // of the places, without the counter
}

// allocate allocates what the levels and the settings call for.
func (g *Gateway) allocate(seed uint64) {
	g.rng = rand.New(rand.NewPCG(seed, seed>>1))
	g.jobs = map[RequestID]*job{}
	g.servers = map[BackendID]*server{}
	g.detached = map[BackendID]bool{}
	g.customers = map[CustomerID]*customer{}
	g.calls = map[uint64][]call{}
	g.queues = make([][]*job, len(g.worths))
	g.arrivals = make([]float64, len(g.worths))
	g.arrived = make([]float64, len(g.worths))
	g.leastBurst = math.Inf(1)
	for _, p := range g.set.Plans {
		if p.Rate > 0 && p.Burst > 0 {
			g.leastBurst = min(g.leastBurst, p.Burst)
		}
	}
	g.untold = make([]float64, len(g.set.Plans))
	g.told = make([]float64, len(g.set.Plans))
	g.patience = make([]patience, len(g.set.Classes)*len(g.set.Plans))
}

// enter counts an attempt as work in flight.
func (g *Gateway) enter(s *server, level int) {
	s.inFlight++
	s.levels[level]++
	g.inFlight++
}

// serverOf finds a listed backend, or adds it to the list, which is kept by id.
func (g *Gateway) serverOf(b Backend) *server {
	s := g.servers[b.ID]
	if s == nil {
		s = &server{Backend: Backend{ID: b.ID}, levels: make([]int, len(g.worths)), budgetedAt: g.now}
		g.servers[b.ID] = s
		at, _ := slices.BinarySearchFunc(g.list, b.ID, func(s *server, id BackendID) int { return cmp.Compare(s.ID, id) })
		g.list = slices.Insert(g.list, at, s)
	}
	return s
}

// usable tells whether anything new may go to s.
func (g *Gateway) usable(s *server) bool { return s.State == Ready && !g.detached[s.ID] }

// forget drops backends that are gone and have nothing in flight.
func (g *Gateway) forget() {
	g.list = slices.DeleteFunc(g.list, func(s *server) bool {
		gone := s.State == Removed && s.inFlight == 0
		if gone {
			delete(g.servers, s.ID)
		}
		return gone
	})
}

// count makes a call. Replies for one name come in the order of the calls.
func (g *Gateway) count(k call, keep float64) {
	g.lastCall++
	k.id = g.lastCall
	g.calls[k.name] = append(g.calls[k.name], k)
	k.customer.pending(k, 1)
	g.do(CounterAdd{CallID: k.id, Key: k.name, Amount: k.owed + k.fill + k.units, TTL: keep})
}

// called takes the call that a reply answers off the list.
func (g *Gateway) called(name uint64) (k call, ok bool) {
	out := g.calls[name]
	if len(out) == 0 {
		return k, false
	}
	if k, g.calls[name] = out[0], out[1:]; len(out) == 1 {
		delete(g.calls, name)
	}
	k.customer.pending(k, -1)
	return k, true
}

// takeLocal spends units from the customer's share at this gateway, if the share holds least.
func (c *customer) takeLocal(now, units, least float64) bool {
	c.local = min(c.local+c.terms.localRate*(now-c.localAt), c.terms.localBurst)
	if c.localAt = now; c.local < least {
		return false
	}
	c.local -= units
	return true
}

// tellLater has the next call tell what a call that was not added was to tell.
func (c *customer) tellLater(k call) {
	if k.window == c.window && k.name == c.name {
		if c.owed += k.owed; k.units == 0 {
			c.owed += k.fill
		}
	}
}

// fadePaid ages what is kept of the units paid lately.
func (g *Gateway) fadePaid(left float64) {
	for i := range g.untold {
		g.untold[i] *= left
		g.told[i] *= left
	}
}

// pace keeps the mean of a backend's answers.
func (s *server) pace(took float64) {
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += paceGain * (took - s.latency)
}

// report takes in the load report of an answer.
func (g *Gateway) report(s *server, load []float64) {
	for i, v := range load {
		if i < len(g.set.LoadFields) && g.set.LoadFields[i] == LoadInFlight && v >= 0 && v < heldMost {
			s.held, s.heldAt = v, g.now
			g.held += heldGain * (v - g.held)
		}
	}
}

// lay ends the ghosts of s that were sent before a served attempt, since backends take work in order, and
// those that have outlived all patience.
func (g *Gateway) lay(s *server, served float64) {
	s.ghosts = slices.DeleteFunc(s.ghosts, func(h ghost) bool {
		over := h.sent < served || h.until < g.now
		if over {
			g.leave(s, h.level)
		}
		return over
	})
}

// slotWindow moves held places to the present name. Places that a gateway took with it when it died, or
// that a lost reply left behind, end with the old.
func (g *Gateway) slotWindow(c *customer) {
	name := hash(hash(uint64(c.id)^slotSalt) + uint64(g.now/slotWindowLen))
	if name == c.slotName {
		return
	}
	c.slotName = name
	if c.slots > 0 {
		g.count(call{customer: c, name: name, fill: float64(c.slots), slot: true}, nameKeep)
	}
}

// roll moves to the counter's present window of this customer, and tells the total at which its store is
// full. Windows of different customers end at different times, so that not all are asked for at once.
func (g *Gateway) roll(c *customer) (floor float64) {
	n := math.Floor(g.now/c.terms.window + c.phase())
	if n != c.window {
		c.window, c.known, c.owed, c.doubt, c.dryUntil = n, 0, 0, 0, 0
		c.name = hash(hash(uint64(c.id)) + uint64(int64(n)))
	}
	if c.terms.exact {
		floor = c.terms.rate * (g.now - (n-c.phase())*c.terms.window)
	}
	return floor
}

// parts is how many have a part in what a customer may spend while the counter is
// away. What goes by the counter's own names, such as whether a store is exact, must be the
// same at all gateways, and rests on the settings alone.
func (g *Gateway) parts(gateways int) float64 {
	if g.divide.QuotaDivisor > 0 && gateways >= g.set.FleetSize {
		gateways = g.divide.QuotaDivisor
	}
	return float64(max(gateways, 1) + g.set.CheckFrontends)
}

// senderMultiple is how many times more gateways than the settings name load reports have to show before they
// are believed: a gateway's own part of the work is uneven.
const senderMultiple = 2.0

// senders is how many gateways send to a cold backend: as many as members tell of, else as the settings name, unless
// backends report far more work than that many gateways with this one's load would give them.
func (g *Gateway) senders() float64 {
	if g.divide.ColdSenders > 0 {
		return float64(g.divide.ColdSenders)
	}
	size := float64(max(g.set.FleetSize, 1))
	own := g.load / float64(max(len(g.list), 1)) // attempts of this gateway at a backend
	if own > 0 && g.held > senderMultiple*size*own {
		return g.held / own
	}
	return size
}

// customerOf finds the customer of a request, or begins to keep books on it.
func (g *Gateway) customerOf(r Request) *customer {
	c := g.customers[r.Customer]
	if c == nil {
		c = &customer{id: r.Customer, localAt: g.born, window: -1, seen: g.now}
		g.customers[r.Customer] = c
		g.roster = append(g.roster, c)
		c.local = g.startShare(r)
	}
	fleet := max(g.set.FleetSize, 1)
	index := (g.set.Rank - r.FirstGateway + fleet) % fleet // this gateway's place in the customer's set
	c.terms = g.terms(&g.set.Plans[r.Plan], r.Gateways, max(min(index, r.Gateways-1), 0))
	if g.now != c.seen {
		c.demand *= math.Exp(-(g.now - c.seen) / demandSpan)
	}
	c.demand += r.Units / demandSpan
	c.seen = g.now
	return c
}

// takeBack has the next call take back what a call added for nothing.
func (c *customer) takeBack(k call) {
	if k.units > 0 && k.window == c.window {
		if c.owed -= k.units; !c.terms.ceiling {
			c.owed -= k.fill
		}
	}
}

// Stats tell of a moment, for people who watch.
type Stats struct {
	ConcurrencyLimit                           float64 // attempts that may be in flight
	InFlight                                   int
	Queued                                     []int // requests held back for a place, by level
	WaitingForQuota                            int   // requests and checks that wait for units
	Healthy, Ejected, Cold, Detached, NotReady int   // backends
	Customers                                  int
	LeasedUnits                                float64 // units, and not spent
}

// Stats tells of the present moment. It changes nothing.
func (g *Gateway) Stats() Stats {
	f := Stats{ConcurrencyLimit: g.bound, InFlight: g.inFlight, Queued: make([]int, len(g.queues)), Customers: len(g.customers)}
	for l, q := range g.queues {
		for _, j := range q {
			if !j.done {
				f.Queued[l]++
			}
		}
	}
	for _, s := range g.list {
		switch {
		case s.State != Ready:
			f.NotReady++
		case g.detached[s.ID]:
			f.Detached++
		case s.ejected():
			f.Ejected++
		case g.warmth(s) < 1:
			f.Cold++
		default:
			f.Healthy++
		}
	}
	for _, c := range g.roster {
		f.WaitingForQuota += len(c.waiting)
		f.LeasedUnits += max(c.units, 0)
	}
	return f
}

// ExpireRequest is the event that a request's time is over: for a process that is about to
// be ended, whatever time its clients would have.
func ExpireRequest(id RequestID) Event { return TimerFired{Token: timerEnd<<56 | uint64(id)} }
