package rules

// The decisions of one gateway. The interface it is driven through (settings, events, actions) is in
// rules/types.go; rules/state.go declares what is kept between events, and decides nothing.
// A request passes these steps: its customer's lease pays for it (admit), it waits in the queue of its
// level (enqueue), the bound lets it go (dispatch), a backend is picked (pick), and one function sends
// (send) and one answers (giveBack), which hold the rules that no other step may bypass.

import (
	"cmp"
	"math"
	"slices"
)

// Tuned values. Each is a share or a count that holds for any deployment.
const (
	// The bound on work in flight.
	boundStart   = 4.0  // attempts a backend, shared among the gateways: high, cut soon if wrong
	boundFloor   = 3.0  // it never shrinks below so many a backend: all slow together, cores still need work
	boundCut     = 0.75 // factor on the bound when latency nears the aim
	boundHigh    = 0.38 // mean latency, as a share of the aim, above which the bound shrinks
	boundLow     = 0.28 // and below which it may grow
	boundUsed    = 0.8  // it grows only while this share of it is in use
	boundBurst   = 3.0  // a bound below so many attempts is kept in the mean over loadSpan, not each moment
	loadSpan     = 1.0  // seconds
	reserveShare = 0.15 // part of the bound that only top levels may use
	topWorth     = 0.5  // levels worth at least this share of the highest are top

	// Leases on the shared counter.
	exactMost    = 5.0  // gateways that can keep the store of a customer exactly
	windowLen    = 50.0 // seconds of an exact store's window; names live 60 s at most
	dryMost      = 3.0  // units of refill after which an empty store is asked for again
	refundLeast  = 0.25 // of a unit; less is not worth a call
	ceilingLease = 0.22 // part of a ceiling's burst that a window may lease; the rest is for local shares
	nameKeep     = 60.0 // seconds a name lives: longer than its window
	leaseShare   = 0.5  // a lease lives this part of its window
	localMost    = 2.0  // units of a local share, where gateways are many
	untoldSpan   = 5.0  // seconds over which units paid by leases and by local shares are compared
	untoldMost   = 2.0  // times its own units, is what a call may tell for others
	lostMost     = 64   // calls with no answer that are remembered, should one come late
	counterRest  = 0.25 // first pause after a failed call, seconds; doubles
	counterMost  = 2.0  // longest pause
	demandSpan   = 2.0  // seconds over which demand is averaged
	crowdGain    = 0.05 // least weight of the newest call in the share of calls that fail
	crowdSpan    = 2.0  // seconds of that share, where calls are so few that one would weigh less
	crowdFactor  = 4.0  // so many times that share of calls are left out: a crowded counter gets air
	crowdMost    = 0.9

	// Leases of places for attempts out at once.
	slotSalt      = 1 << 40
	placeUse      = 0.65 // mean use of the places, where they are kept as a rate
	placeWindow   = 1.0  // seconds of the window for that
	slotWindowLen = 10.0 // seconds; what a dead gateway held comes free by then
	slotRetry     = 0.03 // seconds until the next call when all places are taken

	// Health of a backend.
	failGain   = 0.25 // weight of the newest outcome in the failure share
	failEject  = 0.4  // failure share at which a backend gets trials only
	paceGain   = 0.15 // weight of the newest latency
	paceMost   = 8.0  // a backend counts as this many times slower at most
	trialFirst = 0.5  // seconds between trials of an ejected backend; doubles
	trialMost  = 4.0
	healthSpan = 5.0  // seconds over which what was learnt of a backend in use fades
	costDoubt  = 0.05 // backends whose cost differs by less than this share are taken alike
	lateDevs   = 4.0  // an attempt is late this many mean deviations past the mean

	// Near backends, where a gateway is one of many.
	nearGateways = 16.0 // that come to a backend
	nearLeast    = 8.0  // backends
	farCost      = 1.5  // factor

	// Load reports, where a gateway is one of many.
	heldSpan = 3.0 // seconds over which one fades
	heldGain = 0.05
	heldMost = 1e6 // requests; more is no report

	// Further attempts.
	retryShare = 0.15 // of first sends, so that retries cannot amplify an overload
	retryMost  = 10.0 // retries saved up at most

	coldSpan = 2.0  // seconds over which sends to warm backends are averaged
	coldMin  = 0.5  // sends a second, of the whole fleet, that a cold backend always gets
	coldSave = 1.5  // sends a cold backend's budget holds at most
	coldWide = 0.4  // of its share, is what a backend with no capacity at all would get from many gateways
	askRest  = 1.0  // seconds until discovery is asked again after it failed
	houseGap = 0.05 // seconds between rounds of housekeeping
	idleDrop = 60.0 // seconds after which a customer is forgotten
)

// Kinds of timer, in the top byte of a token.
const (
	timerHouse = iota
	timerStart // a request that has not been sent is too late now
	timerEnd   // a request must be answered now
	timerAsk   // discovery failed a while ago
	timerLate  // an attempt takes longer than usual
	timerLine  // a check that waits for units may ask again
)

// New starts a gateway. It keeps nothing from an earlier life.
func New(set Settings, seed uint64, now float64, out []Action) (*Gateway, []Action) {
	g := &Gateway{set: set, now: now, out: out, born: now, lastHouse: now, lastCut: now, retries: retryMost}
	for _, c := range set.Classes {
		for _, p := range set.Plans {
			g.worths = append(g.worths, c.Value*p.Price)
		}
	}
	g.worths = append(g.worths, 0) // level 0: beyond the quota
	slices.Sort(g.worths)
	g.worths = slices.Compact(g.worths)
	g.allocate(seed)
	if set.SubscribeDiscovery {
		g.do(Subscribe{})
	}
	g.timer(houseGap, timerHouse, 0, 0)
	return g, g.out
}

// Handle takes one event and appends what is to be done about it.
func (g *Gateway) Handle(now float64, ev Event, out []Action) []Action {
	if now != g.now { // checks come many at a time
		g.load += (1 - math.Exp((g.now-now)/loadSpan)) * (float64(g.inFlight) - g.load)
	}
	g.now, g.out, g.said = now, out, g.said[:0]
	switch e := ev.(type) {
	case Request:
		g.request(e)
	case AttemptEnd:
		g.attemptEnd(e)
	case ResponseStarted:
		g.begun(e)
	case BodyComplete:
		g.bodyWhole(e)
	case ClientDisconnected:
		if j := g.live(e.Request); j != nil {
			g.close(j)
		}
	case TimerFired:
		g.due(e.Token)
	case CounterReply:
		g.counted(e)
	case LateCounterReply:
		g.countedLate(e)
	case Backends:
		g.backends(e)
	case *Check: // its sender uses its storage again
		g.check(*e)
	case Peek:
		g.peek(e)
	case Refund:
		g.give(e)
	case Detach:
		g.detached[e.Backend] = true
		g.gather()
	case Attach:
		g.attach(e.Backend)
	case FleetUpdate:
		g.divide = e
	}
	g.dispatch()
	return g.out
}

// request takes in a try. Two timers see to it that it is answered in time.
func (g *Gateway) request(r Request) {
	c, p := &g.set.Classes[r.Class], &g.set.Plans[r.Plan]
	if r.SentAt == 0 {
		r.SentAt = g.now
	}
	j := &job{Request: r, class: c, coming: r.Streamed}
	j.level, _ = slices.BinarySearch(g.worths, c.Value*p.Price)
	j.giveUp = g.lastUse(j)
	g.jobs[r.ID] = j
	g.arrived[j.level]++
	who := g.customerOf(r)
	j.customer = who
	if j.noPlace = g.hopeless(j); j.noPlace || j.giveUp < g.now+g.latency/2 {
		g.giveBack(j)
		return
	}
	g.line(j)
	if j.done {
		return // most refusals come at once, and timers for them would be as many as requests
	}
	g.timer(j.giveUp-g.now, timerEnd, 0, r.ID)
	if len(j.attempts) == 0 {
		g.timer(j.giveUp-g.now-g.latency, timerStart, 0, r.ID)
	}
}

// line puts a request in the line of its customer, highest level first, and lets in who can be.
func (g *Gateway) line(j *job) {
	who := j.customer
	at := len(who.waiting)
	for at > 0 && who.waiting[at-1].level < j.level {
		at--
	}
	who.waiting = slices.Insert(who.waiting, at, j)
	g.admit(who)
}

// lastUse is when an answer earns nothing any more.
func (g *Gateway) lastUse(j *job) float64 {
	at := j.Deadline - 2*g.set.Tick
	if j.class.LateValueFraction == 0 && j.class.ObjectiveWorkFactor == 0 {
		at = min(at, j.SentAt+j.class.LatencyObjective-g.elapsed(j.Request, j.class))
	}
	return at
}

// elapsed is the time that the client has surely spent on earlier tries. Most tries of a class and plan are
// given the same patience; one that has another is cut to what is left of the client's whole patience.
// Danger: a repeat whose aim has passed earns nothing, yet takes units, a call and a backend's time from
// requests that may still earn; a fresh try must not be taken for one, so an unknown patience says nothing.
func (g *Gateway) elapsed(r Request, c *Class) float64 {
	left, usual := r.Deadline-r.SentAt, &g.patience[r.Class*len(g.set.Plans)+r.Plan]
	same := func(x float64) bool { return math.Abs(left-x) < 2*g.set.Tick }
	if same(usual.last) {
		usual.known = left
	}
	usual.last = left
	if usual.known == 0 || same(usual.known) {
		return 0
	}
	return max(c.Timeout-left, 0)
}

// due handles a timer.
func (g *Gateway) due(token uint64) {
	j, n := g.jobs[RequestID(uint32(token))], int(uint8(token>>32))
	switch kind := token >> 56; {
	case kind == timerHouse:
		g.house()
	case kind == timerAsk:
		g.do(Subscribe{})
	case j == nil:
	case kind == timerLine && !j.done && j.check:
		g.line(j)
	case kind == timerLate && n < len(j.attempts) && !j.attempts[n].ended:
		g.late(j, n)
	case j.Streamed && kind == timerEnd && g.now < j.giveUp-g.set.Tick: // its time has been set anew since
	case !j.done && !j.streams && (kind == timerEnd || kind == timerStart && len(j.attempts) == 0):
		g.giveBack(j)
	}
}

// enqueue puts a paid request in the queue of its level.
func (g *Gateway) enqueue(j *job) {
	if g.hopeless(j) {
		g.giveBack(j)
		return
	}
	g.queues[j.level] = append(g.queues[j.level], j)
}

// hopeless tells whether the wait for a place would outlast the request's aim: Wh <= X / (1 - X*Ah), X being
// the time in which the bound frees a place and Ah the arrivals of higher levels. Danger: units that are
// leased first and then not sent on are missing to all gateways, and so is the call.
func (g *Gateway) hopeless(j *job) bool {
	x := g.latency / max(g.bound, 1e-3)
	ahead, higher := 1+float64(len(g.queues[j.level])), 0.0
	for l := j.level + 1; l < len(g.queues); l++ {
		ahead += float64(len(g.queues[l]))
		higher += g.arrivals[l]
	}
	return g.full(j.level) && ahead*x >= (j.giveUp-g.now-g.latency)*max(1-x*higher, 0)
}

// full tells whether a level has to wait: it may fill its part of the bound. Of many gateways, the bound of
// one is less than an attempt; then it is kept in the mean.
func (g *Gateway) full(level int) bool {
	room := g.bound
	if g.worths[level] < topWorth*g.worths[len(g.worths)-1] {
		room *= 1 - reserveShare
	}
	return float64(g.inFlight) >= max(room, boundBurst) || room < boundBurst && g.load >= room
}

// dispatch releases held requests, highest level first.
func (g *Gateway) dispatch() {
	for l := len(g.queues) - 1; l >= 0; l-- {
		for len(g.queues[l]) > 0 {
			j := g.queues[l][0]
			if !j.done {
				if g.full(l) {
					return
				}
				s := g.pick(j)
				if s == nil {
					break
				}
				g.send(j, s)
			}
			g.queues[l] = g.queues[l][1:]
		}
	}
}

// pick chooses the backend with the fewest own attempts of equal or higher level, measured against the
// work it is believed to bear. It returns nil if none may be used now.
func (g *Gateway) pick(j *job) *server {
	var best, well, trial *server
	usable, sick := 0, 0
	for _, s := range g.list {
		busy := func(a attempt) bool { return a.on == s && !a.ended }
		if !g.usable(s) || !j.inGroup(s) || !g.coldRoom(s) || slices.ContainsFunc(j.attempts, busy) {
			continue
		}
		if !s.far && g.wide() && g.warmth(s) < 1 && !s.ejected() {
			// Danger: where nearly all backends are idle as seen from here, a cold one is always the dearest,
			// and gets nothing until it is warm. What its budget allows is its share, so it comes first.
			return s
		}
		s.cost = g.cost(s, j)
		if usable++; best == nil || s.cost < best.cost {
			best = s
		}
		rest := s.trialAt
		if s.ejected() {
			if sick++; j.class.Idempotency != Idempotent {
				rest += trialMost
			}
		} else if well == nil || s.cost < well.cost {
			well = s
		}
		if !s.ejected() && !s.back {
			continue
		}
		if trial == nil && g.now >= rest && len(j.attempts) == 0 {
			trial = s
		}
	}
	switch {
	case trial != nil:
		// Danger: trials are all that can put right what is left out, so they come first, shared trouble or
		// not: else most stay left out for good once they are, and the few others bear all.
		trial.trialGap = min(2*trial.trialGap, trialMost)
		trial.trialAt = g.now + trial.trialGap
		return trial
	case 2*sick > usable:
		// When most look bad the trouble is shared: leaving them out would only heap the work on the rest.
		return best
	}
	return well
}

func (g *Gateway) cost(s *server, j *job) float64 {
	higher := 0
	for _, n := range s.levels[j.level:] {
		higher += n
	}
	slow := 1.0
	if s.latency > 0 && g.latency > 0 && !g.wide() { // else one answer in a while tells of itself, not of s
		slow = min(max(s.latency/g.latency, 1/paceMost), paceMost)
	}
	well := 1 - min(s.fail, 0.9)
	cost := (1 + float64(higher) + 0.1*float64(s.inFlight) + g.unseen(s)) * slow / (well * well * g.warmth(s))
	if s.far {
		cost *= farCost
	}
	if s.Zone != g.set.Zone {
		cost *= 1 + g.set.CrossZonePrice
	}
	if n := len(j.attempts); n > 0 && j.attempts[n-1].on == s {
		cost += 1e3 // not where it just failed, if there is another
	}
	return cost * (1 + costDoubt*g.rng.Float64())
}

// unseen is how much work of others is believed to be at a backend: what its last report said, which fades
// into what backends hold in the mean. A few gateways know enough by what they have there themselves.
func (g *Gateway) unseen(s *server) float64 {
	if !g.wide() {
		return 0
	}
	return g.held + (s.held-g.held)*math.Exp((s.heldAt-g.now)/heldSpan)
}

// inGroup tells whether s would drop a repeat of j, if j may have run.
func (j *job) inGroup(s *server) bool {
	if !j.mayRun || j.class.Idempotency == Idempotent {
		return true
	}
	scope := j.class.Scope
	return j.class.Idempotency == IdempotentByKey && (scope == ScopeAll ||
		scope == ScopeZone && s.Zone == j.mayOn.Zone || scope == ScopeCell && s.Cell == j.mayOn.Cell)
}

// send starts an attempt. Only it enforces the rules on idempotency, on concurrent attempts and on drains.
func (g *Gateway) send(j *job, s *server) bool {
	tries := len(j.attempts)
	stale := j.mayRun && j.class.Idempotency == IdempotentByKey &&
		g.now > j.mayAt+j.class.DedupeWindow-2*g.set.Tick
	if j.done || j.streams || !j.paid || !g.usable(s) || !j.inGroup(s) || stale ||
		tries >= max(g.set.MaxAttempts, 1) || j.out > 0 && !g.set.CanHedge {
		return false
	}
	if tries == 0 {
		g.retries = min(g.retries+retryShare, retryMost)
	} else {
		j.customer.open++
	}
	if !j.mayRun {
		j.mayRun, j.mayAt, j.mayOn = true, g.now, s
	}
	j.attempts = append(j.attempts, attempt{on: s, sent: g.now})
	j.out++
	if j.coming {
		// A backend begins with the last byte of a body; till then the request takes nobody's place.
		j.giveUp = j.Deadline - 2*g.set.Tick
		g.timer(j.giveUp-g.now, timerEnd, 0, j.ID)
	} else {
		g.work(&j.attempts[tries], j.level)
	}
	if g.warmth(s) < 1 {
		s.budget--
	} else if !s.far {
		g.warmSent++
	}
	g.do(Send{Request: j.ID, Backend: s.ID, Timeout: max(j.giveUp-g.now, g.set.Tick), AdmittedAt: j.paidAt})
	if g.latency > 0 && !j.coming {
		g.timer(g.lateAfter(), timerLate, tries, j.ID)
	}
	return true
}

// bodyWhole starts a request's time over where its body has gone on whole.
func (g *Gateway) bodyWhole(e BodyComplete) {
	j := g.live(e.Request)
	if j == nil || !j.coming || j.out == 0 {
		return
	}
	n := len(j.attempts) - 1
	j.coming, j.SentAt, j.Deadline = false, g.now, e.Deadline
	j.giveUp = g.lastUse(j)
	j.attempts[n].sent, j.mayAt = g.now, g.now
	g.work(&j.attempts[n], j.level)
	g.timer(j.giveUp-g.now, timerEnd, 0, j.ID)
	if g.latency > 0 {
		g.timer(g.lateAfter(), timerLate, n, j.ID)
	}
}

// begun takes the first byte of a long answer for the answer: what follows may take as long as its client
// likes, and says nothing of the backend. Where the class itself is streamed the backend works on to the end.
func (g *Gateway) begun(e ResponseStarted) {
	j := g.live(e.Request)
	if j == nil || e.Attempt >= len(j.attempts) {
		return
	}
	j.streams = true
	if a := &j.attempts[e.Attempt]; !j.class.Streamed && !a.ended {
		g.rest(a, j.level)
		g.observe(j, a, AttemptEnd{Outcome: Served})
		for n := range j.attempts {
			if n != e.Attempt && !j.attempts[n].ended && g.set.CanCancel {
				g.do(Cancel{Request: j.ID, Attempt: n})
			}
		}
	}
}

func (g *Gateway) lateAfter() float64 { return g.latency + lateDevs*g.spread }

// attemptEnd books the end of an attempt and decides what becomes of the request.
func (g *Gateway) attemptEnd(e AttemptEnd) {
	j := g.jobs[e.Request]
	if j == nil || e.Attempt >= len(j.attempts) || j.attempts[e.Attempt].ended {
		return
	}
	a, c := &j.attempts[e.Attempt], j.customer
	a.ended = true
	g.report(a.on, e.LoadData)
	j.out--
	c.open--
	seen := a.counted
	switch {
	case !seen:
	case e.Outcome == TimedOut || e.Outcome == Cancelled:
		// Danger: a time-out or a cancel may stop no work. If given-up attempts left the count, each would
		// make room for one more at a full backend. It stays the longer the more in a row the backend has
		// let pass.
		a.on.missed++
		stay := min(g.latency*float64(a.on.missed), j.class.Timeout)
		a.on.ghosts = append(a.on.ghosts, ghost{a.sent, g.now + stay, j.level})
		a.counted = false // the ghost is
	default:
		g.rest(a, j.level)
	}
	if seen || !j.streams && e.Outcome == ConnectFailed {
		g.observe(j, a, e)
	}
	if j.out == 0 && e.Attempt == len(j.attempts)-1 && a.sent == j.mayAt && NeverRan(e.Outcome) {
		j.mayRun = false // proved: no attempt has run
	}
	if e.Outcome == Served && g.set.EstimatedUnits && e.ActualUnits > 0 {
		c.units -= e.ActualUnits - j.Units // the guess is put right
	}
	switch {
	case j.done:
	case e.RequestDone || e.Outcome == Served:
		g.close(j)
	case j.out > 0: // another attempt may still answer
	case !g.again(j):
		g.giveBack(j)
	}
	if j.done && j.out == 0 {
		delete(g.jobs, j.ID)
	}
	g.admit(j.customer)
}

// again starts a further attempt if the budget has room and time remains.
func (g *Gateway) again(j *job) bool {
	if j.Streamed || g.retries < 1 || g.now+g.latency > j.giveUp || g.full(len(g.worths)-1) {
		return false
	}
	s := g.pick(j)
	if s == nil || !g.send(j, s) {
		return false
	}
	g.retries--
	return true
}

// late handles a slow attempt: silence counts against the backend, and a hedged attempt may be sent.
func (g *Gateway) late(j *job, n int) {
	a := &j.attempts[n]
	if a.on.lastOK < a.sent {
		g.blame(a.on)
	}
	if j.done || j.streams || len(j.attempts) != n+1 || g.full(0) {
		return
	}
	if g.set.CanHedge && j.customer.terms.places == 0 {
		g.again(j)
	}
}

// giveBack ends a request without a backend's answer: it is refused if a retry is harmless, else failed.
func (g *Gateway) giveBack(j *job) {
	if j.check {
		g.part(j)
		return
	}
	if j.class.Idempotency == Idempotent || !j.mayRun ||
		j.class.Idempotency == IdempotentByKey && j.class.Scope == ScopeAll {
		advice := 0.0
		if g.set.CanSendRetryAfter && (j.paid || j.noPlace) {
			advice = g.set.MaxRetryAfter
		} else if g.set.CanSendRetryAfter {
			advice = min(g.set.MaxRetryAfter, max(j.customer.dryUntil-g.now, 0))
		}
		g.do(Refuse{Request: j.ID, RetryAfter: advice, Reason: j.lacked(), AdmittedAt: j.paidAt})
	} else {
		g.do(Fail{Request: j.ID})
	}
	g.close(j)
}

// close ends a request for good and calls off what is still out.
func (g *Gateway) close(j *job) {
	j.done = true
	j.customer.waiting = slices.DeleteFunc(j.customer.waiting, func(w *job) bool { return w == j })
	if j.paid && len(j.attempts) == 0 {
		j.customer.units += j.Units
		j.customer.open--
	}
	for n := range j.attempts {
		if !j.attempts[n].ended && g.set.CanCancel && !j.streams {
			g.do(Cancel{Request: j.ID, Attempt: n})
		}
	}
	if j.out == 0 {
		delete(g.jobs, j.ID)
	}
}

// observe learns from an outcome: the backend's health and pace, and the bound.
func (g *Gateway) observe(j *job, a *attempt, e AttemptEnd) {
	s := a.on
	took := g.now - a.sent
	switch e.Outcome {
	case Served:
		s.lastOK, s.missed, s.back = g.now, 0, false
		g.lay(s, a.sent)
		s.fail -= failGain * s.fail
		if !s.ejected() {
			s.trialGap = 0
		}
		s.pace(took)
		if g.latency == 0 {
			g.latency, g.spread = took, took/2
		}
		g.spread += 0.02 * (math.Abs(took-g.latency) - g.spread)
		g.latency += 0.02 * (took - g.latency)
		g.press(took / j.class.LatencyObjective)
	case Errored, ConnectionBroken, ConnectFailed:
		g.blame(s)
	case Overloaded:
		g.blame(s)
		g.press(1)
	case TimedOut, Cancelled:
		if took > g.lateAfter() {
			if s.pace(max(took, s.latency)); e.Outcome == TimedOut {
				g.press(1)
			}
		}
	}
}

// age lets what was learnt of a backend fade. Danger: one that is passed over for a single failure or a slow
// answer gets nothing that could put that right, and the others bear its work for good. One that is left out
// has its trials.
func (s *server) age(part, usual float64) {
	if s.ejected() {
		return
	}
	s.fail -= part * s.fail
	if s.latency > 0 {
		s.latency += part * (usual - s.latency)
	}
}

func (s *server) ejected() bool { return s.fail >= failEject }

// blame counts a failure or a silence, whatever its cause.
func (g *Gateway) blame(s *server) {
	was := s.ejected()
	s.fail += failGain * (1 - s.fail)
	if s.ejected() && !was {
		s.trialGap = trialFirst
		s.trialAt = g.now + s.trialGap
	}
}

// press moves the bound: down when latency nears the aim, at most once a round trip, and slowly up while
// it is in use and latency is low.
func (g *Gateway) press(ratio float64) {
	gain := min(max((g.now-g.pressedAt)/loadSpan, 0.05), 0.3) // rare answers weigh more
	g.pressedAt = g.now
	g.pressure += gain * (min(ratio, 1) - g.pressure)
	switch {
	case g.pressure > boundHigh && g.now-g.lastCut > max(g.latency, g.set.Tick):
		g.bound = max(g.bound*boundCut, g.boundLeast())
		g.lastCut = g.now
	case g.pressure < boundLow && max(float64(g.inFlight), g.load) >= boundUsed*g.bound:
		g.bound += min(1, g.perGateway()) / max(g.bound, 1)
	}
}

func (g *Gateway) boundLeast() float64 { return boundFloor * g.perGateway() }

// perGateway is how many backends there are for each gateway.
func (g *Gateway) perGateway() float64 {
	return float64(len(g.list)) / float64(max(g.set.FleetSize, 1))
}

// warmth is the least share of its capacity that a backend can be trusted with.
func (g *Gateway) warmth(s *server) float64 {
	if s.StartedAt == 0 || g.set.WarmUpTime <= 0 || g.now-s.StartedAt >= g.set.WarmUpTime {
		return 1
	}
	age := max(g.now-s.StartedAt, 0) / g.set.WarmUpTime
	return g.set.ColdMinCapacity + (1-g.set.ColdMinCapacity)*age
}

// coldRoom keeps a cold backend from overload without coordination among gateways: each sends it at most its
// warmth times the rate of a warm one in any short window, so the sum stays within what warm ones bear.
func (g *Gateway) coldRoom(s *server) bool {
	w := g.warmth(s)
	if w >= 1 {
		return true
	}
	rate, most := max(w*g.warmRate, coldMin/g.senders()), coldSave
	if g.wide() || g.senders() > boundStart {
		rate *= coldWide + (1-coldWide)*w // what comes of many hands comes less evenly
		most = 1
	}
	s.budget = min(s.budget+rate*(g.now-s.budgetedAt), most)
	s.budgetedAt = g.now
	return s.budget >= 1
}

// wide tells whether there are more gateways than a backend bears attempts of: then a gateway meets most
// backends seldom, and what it has in flight at one says next to nothing.
func (g *Gateway) wide() bool { return float64(g.set.FleetSize) > boundStart }

// gather tells near backends from far ones. Danger: were every gateway to use every backend, each would keep
// connections to all, which take from what backends can do until their tables are full, pay a handshake for
// nearly every request and hear from none often enough to know it. So a gateway keeps to a part of one
// common order that begins at its own number: as many gateways come to each backend.
func (g *Gateway) gather() {
	var order []*server
	for _, s := range g.list {
		if s.far = false; g.wide() && g.usable(s) {
			order = append(order, s)
		}
	}
	slices.SortFunc(order, func(a, b *server) int { return cmp.Compare(hash(uint64(a.ID)), hash(uint64(b.ID))) })
	n := float64(len(order))
	share := max(n*nearGateways/float64(g.set.FleetSize), nearLeast)
	begin := math.Floor(n * float64(g.set.Rank) / float64(g.set.FleetSize))
	for i, s := range order {
		s.far = math.Mod(float64(i)-begin+n, n) >= share
	}
}

// turn is where a cold backend's budget starts at this gateway. Danger: of many gateways each may send it one
// request in many seconds. Were all to start empty, it would get none for as long and stay idle; were all to
// start full, it would get one of each at once. By their numbers they take turns, in another order for each;
// the golden ratio keeps those whose numbers are near, who come to the same backends, far apart.
func (g *Gateway) turn(id BackendID) float64 {
	if !g.wide() {
		return 0
	}
	return math.Mod(float64(hash(uint64(id))%1024)/1024+float64(g.set.Rank)*math.Phi, 1)
}

// backends takes in news of the list. What is not ready gets nothing from now on.
func (g *Gateway) backends(e Backends) {
	if e.Kind == ListFailed {
		g.timer(askRest, timerAsk, 0, 0) // at once, all gateways would keep discovery down
		return
	}
	if e.Kind != DeltaList {
		for _, s := range g.list {
			s.State = Removed
		}
	}
	for _, b := range e.Entries {
		s := g.serverOf(b)
		if b.StartedAt > s.StartedAt {
			s.latency, s.fail = 0, 0 // a new process
			s.budget, s.budgetedAt = g.turn(b.ID), g.now
		} else {
			b.StartedAt = s.StartedAt
		}
		s.Backend = b
	}
	g.gather()
	if g.bound == 0 && len(g.list) > 0 {
		g.bound = boundStart * g.perGateway()
	}
}

// attach puts a backend back. Danger: it has most likely been started anew, and the list may tell of that
// only later, or never. So it counts as cold from now on, and what was learnt of it as an earlier process's.
// While others are idle a cold one is dear, and might get nothing for long: it has a trial at once.
func (g *Gateway) attach(id BackendID) {
	if s := g.servers[id]; s != nil && g.detached[id] {
		s.StartedAt, s.latency, s.fail, s.missed = max(s.StartedAt, g.now), 0, 0, 0
		s.back, s.trialAt, s.trialGap = true, g.now, trialFirst/2
	}
	delete(g.detached, id)
	g.gather()
}

// house keeps averages and leases in order.
func (g *Gateway) house() {
	g.timer(houseGap, timerHouse, 0, 0)
	span := max(g.now-g.lastHouse, g.set.Tick, 1e-3)
	g.lastHouse = g.now
	warm := 0
	g.forget()
	aged := 1 - math.Exp(-span/healthSpan)
	for _, s := range g.list {
		g.lay(s, 0)
		s.age(aged, g.latency)
		if g.usable(s) && g.warmth(s) >= 1 && !s.far {
			warm++
		}
	}
	gain := min(span/coldSpan, 1)
	if warm > 0 {
		g.warmRate += gain * (float64(g.warmSent)/span/float64(warm) - g.warmRate)
	}
	g.warmSent = 0
	g.fadePaid(math.Exp(-span / untoldSpan))
	for l := range g.arrivals {
		g.arrivals[l] += gain * (g.arrived[l]/span - g.arrivals[l])
		g.arrived[l] = 0
	}
	keep := g.roster[:0]
	for _, c := range g.roster {
		if g.now >= c.expires {
			c.units = min(c.units, 0) // nobody came for them; the next window makes up for it
		}
		g.leavePlaces(c)
		if g.now-c.seen > idleDrop && c.open == 0 && c.inCalls == 0 && len(c.waiting) == 0 {
			delete(g.customers, c.id)
			continue
		}
		keep = append(keep, c)
		if c.owed < -refundLeast && c.inCalls == 0 && g.now >= c.restTill {
			if g.roll(c); c.owed < 0 {
				g.count(call{customer: c, name: c.name, window: c.window, owed: c.owed}, nameKeep)
				c.owed = 0
			}
		}
		if len(c.waiting) > 0 {
			g.admit(c)
		}
	}
	g.roster = keep
}

// terms works out what a plan comes to for a customer of so many gateways.
// With few gateways each sees the totals often enough to keep an exact store: a long window whose allowance
// grows with time. Else each window is short and stands for itself.
// Under a ceiling, leases and local shares together never pass it. An exact store spends in any time L
// allowance*(1+leaseShare) + rate*L at most, and twice the first allowance if the counter comes back empty;
// short windows allowance*(2+leaseShare) + rate*L. The shares have the rest of burst and rate.
func (g *Gateway) terms(p *Plan, gateways, index int) terms {
	n, parts := float64(max(gateways, 1)+g.set.CheckFrontends), g.parts(gateways)
	t := terms{rate: p.Rate, allowance: p.Burst, first: p.Burst / n, exact: n <= exactMost,
		localRate: p.Rate / parts, localBurst: max(p.Burst/parts, 1), ceiling: p.CeilingRate > 0,
		places: p.MaxConcurrent,
		share:  (p.MaxConcurrent + gateways - 1 - index) / max(gateways, 1)} // their sum is the limit
	if g.wide() {
		// A whole unit is many times a small store's share. A larger store has as many times its own, in
		// bounds: all gateways may spend theirs at once while the counter is away.
		t.localBurst = max(t.localBurst, min(p.Burst/g.leastBurst, localMost))
	}
	t.spare = t.allowance
	if p.CeilingRate > 0 {
		t.rate = min(p.Rate, p.CeilingRate)
		t.allowance = min(t.allowance, p.CeilingBurst*ceilingLease)
		t.spare, t.localBurst = t.allowance, (p.CeilingBurst-(2+leaseShare)*t.allowance)/parts
		if t.exact {
			t.allowance = min(p.Burst, p.CeilingBurst/(1+leaseShare))
			t.spare = (p.CeilingBurst - (1+leaseShare)*t.allowance) / 2
			t.localBurst = t.spare / parts
		}
		t.first, t.localRate = t.allowance/n, (p.CeilingRate-t.rate)/parts
	}
	t.window = windowLen
	if !t.exact {
		t.window = t.allowance / max(t.rate, 1e-3)
	}
	if !t.exact && t.places > 0 {
		// Danger: places kept by many hands are two calls a request, and stray. What they let through on
		// average is kept as a rate instead.
		if t.places = 0; t.rate == 0 && g.latency > 0 {
			t.rate = placeUse * float64(p.MaxConcurrent) / g.latency
			t.window, t.allowance, t.spare = placeWindow, t.rate*placeWindow, t.rate*placeWindow
			t.first, t.localRate = 1, t.rate/parts
		}
	}
	return t
}

// startShare is what a customer new to this gateway may spend of its local share. Danger: a gateway that
// starts again may have spent its share in its last life. Under a ceiling it earns the share anew; elsewhere
// a full store costs little.
func (g *Gateway) startShare(r Request) float64 {
	p := &g.set.Plans[r.Plan]
	if p.CeilingRate > 0 {
		return 0
	}
	return g.terms(p, r.Gateways, 0).localBurst
}

// admit lets a customer's waiting requests go as far as its leases reach.
func (g *Gateway) admit(c *customer) {
	limited := c.terms.rate > 0
	for len(c.waiting) > 0 {
		j := c.waiting[0]
		shared := true
		if c.terms.places > 0 && !j.check && !g.place(c) {
			return // a place may come free before its time is over
		}
		if limited {
			g.roll(c)
			switch {
			case c.units >= j.Units:
				g.spend(c, j.Units)
				g.told[j.Plan] += j.Units
			case c.asking > 0:
				return
			case g.now < c.dryUntil && j.least() >= c.dryFor:
				if !g.later(j, c.dryUntil) {
					g.giveBack(j)
				}
				continue
			case !g.set.HasCounter || g.now < c.restTill:
				if !c.takeLocal(g.now, j.Units, j.share()) {
					if g.set.HasCounter && c.terms.exact && c.restTill+g.latency < j.giveUp {
						return // held: a crowded counter may have room in a moment
					}
					if !g.later(j, c.restTill) {
						g.giveBack(j)
					}
					continue
				}
				c.owed += j.Units
				g.untold[j.Plan] += j.Units
				shared = false
			default:
				g.lease(c)
				continue
			}
		}
		if j.check {
			g.checked(j, j.Units, shared && limited)
			continue
		}
		c.waiting = c.waiting[1:]
		c.open++
		j.paid, j.paidAt = true, g.now
		g.enqueue(j)
		g.dispatch()
	}
}

// spend takes leased units. Danger: with a counter that answers now and then, leases and the local share
// would add up to more than the quota. So leases count against the share too.
func (g *Gateway) spend(c *customer, units float64) {
	c.units -= units
	c.takeLocal(g.now, 0, 0)
	c.local = max(c.local-units, -c.terms.localBurst)
}

// place tells whether one more request of c may be let in under its plan's limit on attempts out at once.
// Places are leased from the counter one call at a time and go back when nobody waits for them.
func (g *Gateway) place(c *customer) bool {
	switch {
	case c.open < c.slots:
		return true
	case !g.set.HasCounter || g.now < c.restTill:
		return c.open < c.terms.share
	case c.open >= c.terms.places: // others need not be asked
	case c.askingPlace == 0 && g.now >= c.slotAfter && math.Mod(g.now, slotWindowLen) > 2*houseGap &&
		!g.crowded(c):
		g.slotWindow(c)
		want := float64(min(len(c.waiting), c.terms.places))
		g.count(call{customer: c, name: c.slotName, units: want, slot: true}, nameKeep)
	}
	return false
}

// placed takes the answer to a call for places and adds back what is too many.
func (g *Gateway) placed(c *customer, k call, total float64) {
	over := min(max(math.Ceil(total)-float64(c.terms.places), 0), k.units)
	c.slots += int(k.units - over)
	if over > 0 {
		c.slotAfter = g.now + slotRetry
		g.count(call{customer: c, name: k.name, fill: -over, slot: true}, nameKeep)
	}
}

// leavePlaces gives places back that nobody here has used for a moment.
func (g *Gateway) leavePlaces(c *customer) {
	if c.slots > 0 {
		g.slotWindow(c) // what is held is told before anyone asks in the new window
	}
	if spare := c.slots - c.open; spare > 0 && g.now >= max(c.restTill, c.seen+houseGap) {
		c.slots -= spare
		g.count(call{customer: c, name: c.slotName, fill: -float64(spare), slot: true}, nameKeep)
	}
}

// crowded leaves a call out, the more often the more of late have failed.
func (g *Gateway) crowded(c *customer) bool {
	if g.rng.Float64() >= min(crowdFactor*g.crowd, crowdMost) {
		return false
	}
	c.restTill = g.now + counterRest
	return true
}

// lease asks for a block, and tells what has been spent from the local share in this window.
func (g *Gateway) lease(c *customer) {
	if g.crowded(c) {
		return
	}
	need := 0.0
	for _, j := range c.waiting {
		need += j.Units
	}
	block := c.terms.first // what the demand of a second needs, at first all of the share
	if c.met {
		block = min(c.demand, block)
	}
	need = math.Ceil(need) + math.Floor(block) // a unit that nobody comes for is missing to the others
	floor := g.roll(c)
	k := call{customer: c, name: c.name, window: c.window, floor: floor, owed: c.owed}
	k.units = max(min(need, c.terms.allowance), 1)
	if k.fill = max(floor-c.known, 0); c.known == 0 {
		// Danger: a window that is new to this gateway may be new to all. The call that starts it must
		// tell, in one step, that not all of the store is there; who was not the first takes it back.
		k.fill = floor + c.terms.allowance - c.terms.spare
	}
	c.owed = 0
	if g.wide() {
		// Danger: of a customer that comes through many gateways each sees one request in a while, so what a
		// local share paid is hardly ever told with a later call, and the counter would see half of the use.
		// Each call speaks for the units of others of its plan that went untold.
		p := c.waiting[0].Plan
		k.fill += need * min(g.untold[p]/max(g.told[p], 1), untoldMost)
	}
	g.count(k, nameKeep)
}

// counted takes the answer to a call. An unanswered call grants nothing: it may have been added, and the
// next totals will tell. Neither does one whose answer can't be read, but that was added, so the next call
// takes it back, and what it wrote off, which the next call writes off again. Under a ceiling that stays: the
// first call of a window must not find less there than it told.
func (g *Gateway) counted(e CounterReply) {
	k, ok := g.called(e.Key)
	if !ok {
		return
	}
	c := k.customer
	gain := min(max((g.now-g.crowdAt)/crowdSpan, crowdGain), 1)
	g.crowdAt = g.now
	g.crowd -= gain * g.crowd
	if (e.Outcome == TimedOut || e.Outcome == ConnectionBroken) && !k.slot && k.window == c.window {
		c.doubt += k.units + math.Abs(k.fill)
		if e.Outcome == TimedOut {
			g.lost = append(g.lost[max(len(g.lost)+1-lostMost, 0):], k)
		}
	}
	switch {
	case e.Outcome == Errored || e.Outcome == ConnectionBroken:
		// Danger: a spoilt answer or connection says nothing of a crowd. Were it taken for one, calls would be
		// left out that the counter bears, and customers refused inside their quotas.
		if e.Outcome == Errored && k.slot && k.units > 0 {
			g.count(call{customer: c, name: k.name, fill: -k.units, slot: true}, nameKeep)
		} else if e.Outcome == Errored {
			c.takeBack(k)
		}
		c.restTill = g.now + c.rest // the first time none at all
		c.rest = min(max(2*c.rest, counterRest), counterMost)
	case k.slot && e.Outcome == Served && k.units > 0:
		g.placed(c, k, e.Total)
	case e.Outcome != Served:
		// Danger: a place or a unit that was not given back is missing to all gateways. A call turned
		// away has changed nothing and is made again; one unanswered may have counted and is let be.
		switch {
		case e.Outcome == TimedOut:
		case k.slot && k.name == c.slotName:
			c.slots += int(max(-k.fill, 0))
		case !k.slot:
			c.tellLater(k)
		}
		g.crowd += gain
		c.rest = min(max(2*c.rest, counterRest), counterMost)
		c.restTill = g.now + c.rest
	case k.units > 0 && !k.slot:
		c.rest = 0
		g.granted(c, k, e.Total)
	}
	g.admit(c)
}

// countedLate takes what came of a call after it was given up. Danger: a counter that is slow for a moment
// adds all the same, and what it added and nobody uses is missing at all gateways. So a late total grants
// as one in time would, and ends the rest. It stands for a counter slow for all, and where silence was a
// network's; a total too old for its window is of no use.
func (g *Gateway) countedLate(e LateCounterReply) {
	at := slices.IndexFunc(g.lost, func(k call) bool { return k.id == e.CallID })
	if at < 0 {
		return
	}
	k := g.lost[at]
	c := k.customer
	g.lost = slices.Delete(g.lost, at, at+1)
	if k.window != c.window || e.Outcome == TimedOut || e.Outcome == ConnectionBroken {
		return
	}
	c.doubt = max(c.doubt-k.units-math.Abs(k.fill), 0)
	switch {
	case e.Outcome == Errored:
		c.takeBack(k)
	case e.Outcome != Served:
		c.tellLater(k)
	case k.units > 0:
		c.rest, c.restTill = 0, g.now
		g.granted(c, k, e.Total)
	}
	g.admit(c)
}

// granted keeps what fits of a block. An exact store gets the rest back. In a short window it is left: there
// is nothing for anyone until the next, and the calls for it would be as many as those for units.
func (g *Gateway) granted(c *customer, k call, total float64) {
	before := total - k.fill - k.units
	target := max(before, k.floor)
	if before-k.owed < refundLeast { // the window is new, or the counter has lost it
		target = max(target, c.known, k.floor+c.terms.allowance-c.terms.spare)
	}
	if over := target - k.floor - 2*c.terms.allowance; over > 0 && c.terms.exact && !c.terms.ceiling {
		// Danger: a call in doubt that was added is missing to all gateways till the window ends, refills
		// that nobody used among it. Leases bring a store to empty and local shares a burst below; what is
		// beyond proves the call and goes back. It covers lost, late and cut answers alike. What another
		// gateway is about to take back looks the same; then the store is at most filled anew.
		back := min(over, c.doubt)
		c.doubt -= back
		target -= back
	}
	unit := 1.0
	if len(c.waiting) > 0 && !c.waiting[0].partial {
		unit = max(c.waiting[0].Units, 1e-3)
	}
	avail, held := c.terms.allowance-(target-k.floor), max(c.units, 0)
	grant := max(min(k.units, math.Floor((avail+held)/unit+1e-3)*unit-held), 0)
	if grant < k.units {
		if g.wide() {
			// Danger: a customer at its limit would get the local share of one gateway after another.
			c.takeLocal(g.now, 0, 0)
			c.local = min(c.local, 0)
		}
		// Danger: another gateway may be about to take back what it wrote off twice; until it has, the store
		// looks emptier than it is.
		more := min(unit, 1)
		short := min(unit+more-avail-held+grant, unit+(dryMost-1)*more)
		c.dryFor = unit
		c.dryUntil = g.now + max(short/max(c.terms.rate, 1e-3), g.set.Tick)
		if !c.terms.exact {
			c.dryUntil = (k.window + 1 - c.phase()) * c.terms.window
		}
	}
	c.units += grant
	if grant > 0 {
		c.expires = g.now + leaseShare*c.terms.allowance/max(c.terms.rate, 1e-3)
	}
	if c.window == k.window {
		c.known = target + grant
	}
	c.met = true
	if more := target + grant - total; c.terms.exact && math.Abs(more) > refundLeast*min(unit, 1) {
		// Less, or what an emptied counter lost.
		g.count(call{customer: c, name: k.name, window: k.window, fill: more}, nameKeep)
	}
}

// NeverRan tells which outcomes prove that an attempt had no effect.
func NeverRan(o Outcome) bool { return o == Overloaded || o == ConnectFailed || o == NotSent }
