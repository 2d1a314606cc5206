package rules

// The state that a gateway keeps between events, and bookkeeping on it. Nothing is decided here.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// Gateway is the state of one gateway.
type Gateway struct {
	cfg          Settings
	now          float64
	rng          *rand.Rand
	actions      []Action
	checkResults []CheckResult // of the present event; actions points into it

	requests         map[RequestID]*activeRequest
	freeRequest      *activeRequest     // a check that is over, for reuse
	queues           [][]*activeRequest // by level, each in order of arrival
	values           []float64          // of the levels, ascending
	minBurst         float64            // least burst of any plan
	backends         map[BackendID]*backend
	detached         map[BackendID]bool // by an operator
	fleet            FleetUpdate
	backendList      []*backend // by ID
	customers        map[CustomerID]*customer
	customerList     []*customer              // by first request
	droppedRequestAt float64                  // of the last request of any customer that was dropped
	pendingCalls     map[uint64][]counterCall // by key, in order
	lastCallID       uint64
	timedOutCalls    []counterCall // recent ones, oldest first
	startedAt        float64

	limit, limitCutAt            float64 // on attempts in flight, and when it was last cut
	inFlight                     int
	meanInFlight                 float64
	latencyRatio                 float64 // mean of latency divided by the objective
	latencyRatioAt               float64
	latency, latencyDev          float64   // mean of answers and its mean deviation
	retryTokens                  float64   // retry budget
	recentLocal, recentLeased    []float64 // by plan: units recently paid by local shares, and by leases
	meanReported                 float64   // requests at a backend, mean of the load reports
	callFailureRate, lastCallEnd float64   // fraction of counter calls that fail, and when the last one ended
	warmRate                     float64   // own sends per second to a warm backend
	warmSends                    int
	lastHousekeeping             float64
	clientTimeouts               []clientTimeout
	arrivalRates, arrivalCounts  []float64 // by level: per second, and since lastHousekeeping
}

// activeRequest is a request or check from its arrival until its last attempt has ended.
type activeRequest struct {
	Request
	class                     *Class
	customer                  *customer
	level                     int
	answerBy                  float64 // an answer after this earns nothing
	admittedAt                float64 // 0: not admitted
	admitted, done, streaming bool    // its units are paid; it is over; its response has begun
	noCapacity                bool    // no capacity in time, so it was not admitted
	bodyPending               bool    // its body has not been forwarded completely
	isCheck, partial          bool    // a Check, which is paid and not sent
	attempts                  []attempt
	openAttempts              int
	mayHaveRun                bool     // an attempt may have run, or is in flight
	mayHaveRunAt              float64  // when the first such attempt was sent
	mayHaveRunOn              *backend // and where
}

// refusalReason returns why a request that is refused now was not served.
func (r *activeRequest) refusalReason() Reason {
	switch {
	case len(r.attempts) > 0:
		return AttemptsFailed
	case r.admitted, r.noCapacity:
		return NoCapacity
	}
	return QuotaExceeded
}

// localUnitsNeeded returns how many units the local share must hold to admit a request. One of more units than the
// share ever holds would otherwise never be admitted, however long its customer paused: it may use all of a full share,
// and what it uses beyond that is earned before the next. Under a ceiling nothing goes beyond, and a check, which may
// ask for a whole bucket at once, gets what there is.
func (r *activeRequest) localUnitsNeeded() float64 {
	if r.isCheck || r.customer.limits.ceiling {
		return r.Units
	}
	return min(r.Units, r.customer.limits.localBurst)
}

// clientTimeout is for how long the clients of a class and plan wait for one try.
type clientTimeout struct{ last, confirmed float64 }

type attempt struct {
	backend *backend
	sentAt  float64
	ended   bool
	tracked bool // counted as in flight

	responding bool // the start of its response has come
}

// abandonedAttempt is an attempt that was given up and may still occupy its backend.
type abandonedAttempt struct {
	sentAt, until float64
	level         int
}

// backend is the state of one backend as this gateway sees it.
type backend struct {
	Backend
	inFlightByLevel          []int // own attempts
	inFlight                 int
	abandoned                []abandonedAttempt
	unanswered               int     // attempts abandoned since the last answer
	failureRate              float64 // of recent attempts
	latency                  float64 // 0: no answer yet
	lastSuccess              float64
	offSubset                bool    // outside this gateway's subset
	reportedLoad, reportedAt float64 // requests there as last reported, and when
	cost                     float64 // at the last pickBackend
	trialAt, trialDelay      float64
	reattached               bool    // attached by an operator, and no request served since
	coldBudget, coldBudgetAt float64 // sends it may get while cold
}

// openRequest returns a request that is not over, or nil.
func (g *Gateway) openRequest(id RequestID) *activeRequest {
	if req := g.requests[id]; req != nil && !req.done {
		return req
	}
	return nil
}

func (g *Gateway) emit(a Action) { g.actions = append(g.actions, a) }

// emitCheckResult answers a check. The action is valid until the next event: there are hundreds of thousands of checks,
// and a heap allocation for each answer would be their largest cost.
func (g *Gateway) emitCheckResult(a CheckResult) {
	g.checkResults = append(g.checkResults, a)
	g.emit(&g.checkResults[len(g.checkResults)-1])
}

func (g *Gateway) setTimer(delay float64, kind uint64, attempt int, id RequestID) {
	g.emit(SetTimer{Delay: max(delay, 0), Token: kind<<56 | uint64(attempt)<<32 | uint64(id), Request: id})
}

// trackAttempt counts an attempt as in flight until untrackAttempt.
func (g *Gateway) trackAttempt(a *attempt, level int) {
	a.tracked = true
	g.addInFlight(a.backend, level)
}

// untrackAttempt ends the count of an attempt as in flight.
func (g *Gateway) untrackAttempt(a *attempt, level int) {
	if a.tracked {
		a.tracked = false
		g.removeInFlight(a.backend, level)
	}
}

// removeInFlight takes an attempt out of the counts of attempts in flight.
func (g *Gateway) removeInFlight(b *backend, level int) {
	b.inFlight--
	b.inFlightByLevel[level]--
	g.inFlight--
}

// customer is the quota of one customer as this gateway sees it.
type customer struct {
	id                         CustomerID
	limits                     planLimits
	lastRequestAt, demandRate  float64          // demandRate in units per second, at this gateway
	recurring                  bool             // it has sent more than one request
	openAttempts               int              // admitted requests that are not over, and further attempts
	queue                      []*activeRequest // for units or a slot, highest level first
	leased, leaseExpires       float64          // leased units not spent
	window                     float64          // number of the counter's window
	key                        uint64
	knownTotal                 float64 // last known total of the window
	hasTotal                   bool    // the counter has reported a total
	exhaustedUntil             float64
	exhaustedUnits             float64 // fewer units than this may still be available
	unreported                 float64 // units spent in this window, less those returned, that no call has reported
	uncertain                  float64 // units and deltas of this window's calls that may have been added
	pendingCalls               int
	leaseCalls                 int     // of these, calls for units
	slotCalls                  int     // of these, calls for slots
	backoff, backoffUntil      float64 // after a failed call
	localUnits, localUpdatedAt float64 // local share, for when the counter does not answer

	slots          int // leased slots for concurrent attempts
	slotKey        uint64
	nextSlotCallAt float64 // no call for a slot before this
}

// counterCall is one CounterAdd whose reply is due.
type counterCall struct {
	id        uint64
	customer  *customer
	key       uint64
	window    float64
	fullTotal float64 // total at which the bucket is full
	spent     float64 // units spent before and reported by this call
	delta     float64 // write-off of unused refill, units reported for others, or slots reported or returned
	requested float64 // units or slots
	slots     bool    // for slots, not units
}

// trackCall counts the pending calls of a customer.
func (c *customer) trackCall(call counterCall, change int) {
	c.pendingCalls += change
	switch {
	case call.requested > 0 && call.slots:
		c.slotCalls += change
	case call.requested > 0:
		c.leaseCalls += change
	}
}

// windowPhase spreads the ends of windows over customers.
func (c *customer) windowPhase() float64 { return float64(hash(uint64(c.id))%1024) / 1024 }

// hash mixes a number; counter keys must not collide.
func hash(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// planLimits are the limits of a plan for one customer at one gateway.
type planLimits struct {
	exact, ceiling                 bool    // the bucket is kept exactly; the plan has a ceiling
	rate, allowance, windowSeconds float64 // units per second, units per window, its length
	initialAllowance               float64 // first allowance while no total is known
	localRate, localBurst          float64
	firstLease                     float64 // units
	maxConcurrent                  int
	localConcurrent                int // of maxConcurrent, without the counter
}

// allocate creates the state whose size depends on the levels and the settings.
func (g *Gateway) allocate(seed uint64) {
	g.rng = rand.New(rand.NewPCG(seed, seed>>1))
	g.requests = map[RequestID]*activeRequest{}
	g.backends = map[BackendID]*backend{}
	g.detached = map[BackendID]bool{}
	g.customers = map[CustomerID]*customer{}
	g.pendingCalls = map[uint64][]counterCall{}
	g.queues = make([][]*activeRequest, len(g.values))
	g.arrivalRates = make([]float64, len(g.values))
	g.arrivalCounts = make([]float64, len(g.values))
	g.minBurst = math.Inf(1)
	for _, p := range g.cfg.Plans {
		if p.Rate > 0 && p.Burst > 0 {
			g.minBurst = min(g.minBurst, p.Burst)
		}
	}
	g.recentLocal = make([]float64, len(g.cfg.Plans))
	g.recentLeased = make([]float64, len(g.cfg.Plans))
	g.clientTimeouts = make([]clientTimeout, len(g.cfg.Classes)*len(g.cfg.Plans))
}

// addInFlight adds an attempt to the counts of attempts in flight.
func (g *Gateway) addInFlight(b *backend, level int) {
	b.inFlight++
	b.inFlightByLevel[level]++
	g.inFlight++
}

// ensureBackend returns the backend with this ID, adding it to the list, which is sorted by ID, if needed.
func (g *Gateway) ensureBackend(entry Backend) *backend {
	b := g.backends[entry.ID]
	if b == nil {
		b = &backend{Backend: Backend{ID: entry.ID}, inFlightByLevel: make([]int, len(g.values)), coldBudgetAt: g.now}
		g.backends[entry.ID] = b
		at, _ := slices.BinarySearchFunc(g.backendList, entry.ID,
			func(b *backend, id BackendID) int { return cmp.Compare(b.ID, id) })
		g.backendList = slices.Insert(g.backendList, at, b)
	}
	return b
}

// usable reports whether new requests may be sent to b.
func (g *Gateway) usable(b *backend) bool { return b.State == Ready && !g.detached[b.ID] }

// dropRemovedBackends drops backends that were removed and have nothing in flight.
func (g *Gateway) dropRemovedBackends() {
	g.backendList = slices.DeleteFunc(g.backendList, func(b *backend) bool {
		removed := b.State == Removed && b.inFlight == 0
		if removed {
			delete(g.backends, b.ID)
		}
		return removed
	})
}

// callCounter makes a call. Replies for one key arrive in the order of its calls.
func (g *Gateway) callCounter(call counterCall, ttl float64) {
	g.lastCallID++
	call.id = g.lastCallID
	g.pendingCalls[call.key] = append(g.pendingCalls[call.key], call)
	call.customer.trackCall(call, 1)
	g.emit(CounterAdd{CallID: call.id, Key: call.key, Amount: call.spent + call.delta + call.requested, TTL: ttl})
}

// popCall removes the oldest pending call of a key, which the reply answers.
func (g *Gateway) popCall(key uint64) (call counterCall, ok bool) {
	pending := g.pendingCalls[key]
	if len(pending) == 0 {
		return call, false
	}
	if call, g.pendingCalls[key] = pending[0], pending[1:]; len(pending) == 1 {
		delete(g.pendingCalls, key)
	}
	call.customer.trackCall(call, -1)
	return call, true
}

// spendLocal spends units of the customer's local share, if it holds at least the given minimum.
func (c *customer) spendLocal(now, units, minimum float64) bool {
	c.localUnits = min(c.localUnits+c.limits.localRate*(now-c.localUpdatedAt), c.limits.localBurst)
	if c.localUpdatedAt = now; c.localUnits < minimum {
		return false
	}
	c.localUnits -= units
	return true
}

// reportLater has the next call report what a call that was not added should have reported.
func (c *customer) reportLater(call counterCall) {
	if call.window == c.window && call.key == c.key {
		if c.unreported += call.spent; call.requested == 0 {
			c.unreported += call.delta
		}
	}
}

// decayUsage decays the recent usage by plan; factor is the part that remains.
func (g *Gateway) decayUsage(factor float64) {
	for i := range g.recentLocal {
		g.recentLocal[i] *= factor
		g.recentLeased[i] *= factor
	}
}

// updateLatency updates the mean latency of a backend's answers.
func (b *backend) updateLatency(duration float64) {
	if b.latency == 0 {
		b.latency = duration
	}
	b.latency += latencyWeight * (duration - b.latency)
}

// recordLoadReport records the number of requests at a backend from its load report, if it has one.
func (g *Gateway) recordLoadReport(b *backend, load []float64) {
	for i, v := range load {
		if i < len(g.cfg.LoadFields) && g.cfg.LoadFields[i] == LoadInFlight && v >= 0 && v < maxReportedRequests {
			b.reportedLoad, b.reportedAt = v, g.now
			g.meanReported += reportWeight * (v - g.meanReported)
		}
	}
}

// dropAbandoned ends the count of abandoned attempts that were sent before a served one, since backends start work in
// order, and of those past their time.
func (g *Gateway) dropAbandoned(b *backend, servedSentAt float64) {
	b.abandoned = slices.DeleteFunc(b.abandoned, func(a abandonedAttempt) bool {
		expired := a.sentAt < servedSentAt || a.until < g.now
		if expired {
			g.removeInFlight(b, a.level)
		}
		return expired
	})
}

// rollSlotWindow moves held slots to the present key. Slots held by a gateway that died, or left over from a lost
// reply, expire with the previous key.
func (g *Gateway) rollSlotWindow(c *customer) {
	key := hash(hash(uint64(c.id)^slotKeySalt) + uint64(g.now/slotWindowSeconds))
	if key == c.slotKey {
		return
	}
	c.slotKey = key
	if c.slots > 0 {
		g.callCounter(counterCall{customer: c, key: key, delta: float64(c.slots), slots: true}, keyTTLSeconds)
	}
}

// rollWindow moves to the customer's present window on the counter and returns the total at which its bucket is full.
// Windows of different customers end at different times, so that not all are requested at once.
func (g *Gateway) rollWindow(c *customer) (fullTotal float64) {
	number := math.Floor(g.now/c.limits.windowSeconds + c.windowPhase())
	if number != c.window {
		c.window, c.knownTotal, c.unreported, c.uncertain, c.exhaustedUntil = number, 0, 0, 0, 0
		c.key = hash(hash(uint64(c.id)) + uint64(int64(number)))
	}
	if c.limits.exact {
		fullTotal = c.limits.rate * (g.now - (number-c.windowPhase())*c.limits.windowSeconds)
	}
	return fullTotal
}

// quotaDivisor returns among how many processes a customer's quota is divided while the counter is unavailable.
// Whatever determines the counter's keys, such as whether a bucket is exact, must be the same at all gateways and
// depends on the settings alone.
func (g *Gateway) quotaDivisor(gateways int) float64 {
	if g.fleet.QuotaDivisor > 0 && gateways >= g.cfg.FleetSize {
		gateways = g.fleet.QuotaDivisor
	}
	return float64(max(gateways, 1) + g.cfg.CheckFrontends)
}

// minSenderRatio is by how much load reports must exceed the load of the gateways that the settings name before more
// senders are assumed: a gateway's own part of the load is uneven.
const minSenderRatio = 2.0

// coldSenders returns how many gateways send to a cold backend: the number from FleetUpdate, else that of the settings,
// unless backends report far more load than so many gateways with this one's load would cause.
func (g *Gateway) coldSenders() float64 {
	if g.fleet.ColdSenders > 0 {
		return float64(g.fleet.ColdSenders)
	}
	size := float64(max(g.cfg.FleetSize, 1))
	own := g.meanInFlight / float64(max(len(g.backendList), 1)) // attempts of this gateway at a backend
	if own > 0 && g.meanReported > minSenderRatio*size*own {
		return g.meanReported / own
	}
	return size
}

// reclaim has the next call take back what a call added without a grant.
func (c *customer) reclaim(call counterCall) {
	if call.requested > 0 && call.window == c.window {
		if c.unreported -= call.requested; !c.limits.ceiling {
			c.unreported -= call.delta
		}
	}
}

// Stats are numbers of a moment, for metrics.
type Stats struct {
	ConcurrencyLimit                           float64 // attempts that may be in flight
	InFlight                                   int
	Queued                                     []int // requests that wait for capacity, by level
	WaitingForQuota                            int   // requests and checks that wait for units
	Healthy, Ejected, Cold, Detached, NotReady int   // backends
	Customers                                  int
	LeasedUnits                                float64 // not spent
}

// Stats returns the present numbers. It changes nothing.
func (g *Gateway) Stats() Stats {
	stats := Stats{ConcurrencyLimit: g.limit, InFlight: g.inFlight, Queued: make([]int, len(g.queues)),
		Customers: len(g.customers)}
	for level, queue := range g.queues {
		for _, req := range queue {
			if !req.done {
				stats.Queued[level]++
			}
		}
	}
	for _, b := range g.backendList {
		switch {
		case b.State != Ready:
			stats.NotReady++
		case g.detached[b.ID]:
			stats.Detached++
		case b.ejected():
			stats.Ejected++
		case g.capacityFraction(b) < 1:
			stats.Cold++
		default:
			stats.Healthy++
		}
	}
	for _, c := range g.customerList {
		stats.WaitingForQuota += len(c.queue)
		stats.LeasedUnits += max(c.leased, 0)
	}
	return stats
}

// ExpireRequest returns the event that ends a request's time, for a process that is about to exit, however long the
// clients would wait.
func ExpireRequest(id RequestID) Event { return TimerFired{Token: timerAnswerBy<<56 | uint64(id)} }
