package rules

// The decisions of one gateway. Its settings, events and actions are declared in rules/types.go, the state
// kept between events in rules/state.go, which decides nothing. A request passes these steps: a lease of its
// customer admits it (admit), it waits in the queue of its level (enqueue), the concurrency limit releases it
// (dispatch) and a backend is chosen (pickBackend). Only send starts attempts and only refuseOrFail answers
// without a backend: they enforce the rules that no other step may bypass.

import (
	"cmp"
	"math"
	"slices"
)

// Parameters. Each is a ratio, a count or a duration that fits any deployment.
const (
	// Limit on attempts in flight.
	initialLimit       = 4.0  // attempts per backend, divided among the gateways; high, as it is cut quickly
	minLimit           = 3.0  // attempts per backend: when all are slow at once, their cores still need work
	limitCutFactor     = 0.75 // by which the limit is cut when latency nears the objective
	cutLatencyRatio    = 0.38 // mean latency, as a fraction of the objective, above which the limit is cut
	growLatencyRatio   = 0.28 // and below which it may grow
	growMinUse         = 0.8  // it grows only while this fraction of it is in use
	meanLimitBelow     = 3.0  // attempts; a smaller limit applies to the mean over loadMeanSeconds
	loadMeanSeconds    = 1.0
	topReserveFraction = 0.15 // part of the limit that only top levels may use
	topValueFraction   = 0.5  // levels of at least this fraction of the highest value are top levels

	// Leases on the shared counter.
	maxExactGateways       = 5.0  // gateways that can keep the bucket of a customer exactly
	exactWindowSeconds     = 50.0 // window of an exact bucket; keys live 60 s at most
	maxExhaustedRefill     = 3.0  // units of refill after which an exhausted bucket is tried again
	minCorrectionUnits     = 0.25 // a smaller correction does not justify a call
	ceilingLeaseFraction   = 0.22 // part of a ceiling's burst that a window may lease; the rest is local
	keyTTLSeconds          = 60.0 // longer than the key's window
	leaseTTLFraction       = 0.5  // part of its window for which a lease is valid
	maxLocalBurstUnits     = 2.0  // burst of a local share in a large fleet
	usageDecaySeconds      = 5.0  // over which units paid by leases and by local shares are compared
	maxUnreportedRatio     = 2.0  // what a call may report for others, as a multiple of its own units
	maxTimedOutCalls       = 64   // remembered for a late reply
	minBackoffSeconds      = 0.25 // first backoff after a failed call; doubles
	maxBackoffSeconds      = 2.0
	demandMeanSeconds      = 2.0
	callFailureMinWeight   = 0.05 // least weight of the newest call in the failure rate of calls
	callFailureMeanSeconds = 2.0  // averaging time of that rate if a call would weigh less
	callSkipFactor         = 4.0  // this many times that rate is skipped, to relieve an overloaded counter
	maxCallSkipRate        = 0.9

	// Leases of slots for concurrent attempts.
	slotKeySalt           = 1 << 40
	slotUseFraction       = 0.65 // mean use of the slots where they are enforced as a rate
	slotRateWindowSeconds = 1.0  // window of that rate
	slotWindowSeconds     = 10.0 // by its end the slots of a dead gateway are free
	slotRetrySeconds      = 0.03 // until the next call when all slots are in use

	// Health of a backend.
	failureWeight      = 0.25 // weight of the newest outcome in the failure rate
	ejectFailureRate   = 0.4  // failure rate from which a backend is ejected and gets trials only
	latencyWeight      = 0.15 // weight of the newest latency
	maxLatencyRatio    = 8.0  // a backend counts as at most this many times slower than the mean
	minTrialSeconds    = 0.5  // between trials of an ejected backend; doubles
	maxTrialSeconds    = 4.0
	healthDecaySeconds = 5.0  // over which the measured health of a backend in use decays
	costJitter         = 0.05 // backends whose costs differ by less than this fraction count as equal
	slowDeviations     = 4.0  // mean deviations above the mean from which an attempt is slow

	// Subset of the backends that a gateway of a large fleet uses.
	subsetGateways      = 16.0 // gateways that use each backend
	minSubsetBackends   = 8.0
	offSubsetCostFactor = 1.5

	// Load reports in a large fleet.
	reportDecaySeconds  = 3.0
	reportWeight        = 0.05
	maxReportedRequests = 1e6 // more is no valid report

	// Further attempts.
	retryTokensPerSend = 0.15 // per first attempt, so that retries cannot amplify an overload
	maxRetryTokens     = 10.0

	warmRateMeanSeconds    = 2.0  // over which sends to warm backends are averaged
	minColdRate            = 0.5  // sends per second of the whole fleet that a cold backend always gets
	maxColdBudget          = 1.5  // sends
	largeFleetColdFraction = 0.4  // part of its share that a backend with no capacity at all would get there
	discoveryRetrySeconds  = 1.0  // until discovery is asked again after it failed
	housekeepingSeconds    = 0.05 // interval
)

// Kinds of timer, in the top byte of a token.
const (
	timerHousekeeping = iota
	timerSendBy       // a request that has not been sent is too late now
	timerAnswerBy     // a request must be answered now
	timerSubscribe    // discovery failed a while ago
	timerSlowAttempt  // an attempt takes longer than usual
	timerCheckRetry   // a check that waits for units may try again
)

// New starts a gateway without any state of an earlier process. It appends its first actions to out.
func New(settings Settings, seed uint64, now float64, out []Action) (*Gateway, []Action) {
	g := &Gateway{cfg: settings, now: now, actions: out, startedAt: now, lastHousekeeping: now,
		limitCutAt: now, retryTokens: maxRetryTokens}
	for _, c := range settings.Classes {
		for _, p := range settings.Plans {
			g.values = append(g.values, c.Value*p.Price)
		}
	}
	g.values = append(g.values, 0) // level 0: beyond the quota
	slices.Sort(g.values)
	g.values = slices.Compact(g.values)
	g.allocate(seed)
	if settings.SubscribeDiscovery {
		g.emit(Subscribe{})
	}
	g.setTimer(housekeepingSeconds, timerHousekeeping, 0, 0)
	return g, g.actions
}

// Handle processes one event and appends the actions to carry out to out.
func (g *Gateway) Handle(now float64, ev Event, out []Action) []Action {
	if now != g.now { // many checks arrive at the same time
		g.meanInFlight += (1 - math.Exp((g.now-now)/loadMeanSeconds)) * (float64(g.inFlight) - g.meanInFlight)
	}
	g.now, g.actions, g.checkResults = now, out, g.checkResults[:0]
	switch e := ev.(type) {
	case Request:
		g.handleRequest(e)
	case AttemptEnd:
		g.endAttempt(e)
	case ResponseStarted:
		g.startResponse(e)
	case ResponsePending:
		g.awaitResponse(e)
	case BodyComplete:
		g.completeBody(e)
	case BodyOverdue:
		g.expireBody(e)
	case ClientDisconnected:
		if req := g.openRequest(e.Request); req != nil {
			g.closeRequest(req)
		}
	case TimerFired:
		g.handleTimer(e.Token)
	case CounterReply:
		g.handleCounterReply(e)
	case LateCounterReply:
		g.handleLateReply(e)
	case Backends:
		g.updateBackends(e)
	case *Check: // copied: the sender reuses the storage
		g.handleCheck(*e)
	case Peek:
		g.peek(e)
	case Refund:
		g.refund(e)
	case Detach:
		g.detached[e.Backend] = true
		g.chooseSubset()
	case Attach:
		g.attach(e.Backend)
	case FleetUpdate:
		g.fleet = e
	}
	g.dispatch()
	return g.actions
}

// handleRequest accepts a request. Two timers ensure that it is answered in time.
func (g *Gateway) handleRequest(r Request) {
	class, plan := &g.cfg.Classes[r.Class], &g.cfg.Plans[r.Plan]
	if r.SentAt == 0 {
		r.SentAt = g.now
	}
	req := &activeRequest{Request: r, class: class, bodyPending: r.Streamed}
	req.level, _ = slices.BinarySearch(g.values, class.Value*plan.Price)
	req.answerBy = g.answerDeadline(req)
	g.requests[r.ID] = req
	g.arrivalCounts[req.level]++
	c := g.ensureCustomer(r)
	req.customer = c
	if req.noCapacity = g.wouldMissDeadline(req); req.noCapacity || req.answerBy < g.now+g.latency/2 {
		g.refuseOrFail(req)
		return
	}
	g.waitForQuota(req)
	if req.done {
		return // most refusals are immediate: timers for them would be as many as requests
	}
	g.setTimer(req.answerBy-g.now, timerAnswerBy, 0, r.ID)
	if len(req.attempts) == 0 {
		g.setTimer(req.answerBy-g.now-g.latency, timerSendBy, 0, r.ID)
	}
}

// waitForQuota queues a request at its customer, highest level first, and admits those that can be.
func (g *Gateway) waitForQuota(req *activeRequest) {
	c := req.customer
	at := len(c.queue)
	for at > 0 && c.queue[at-1].level < req.level {
		at--
	}
	c.queue = slices.Insert(c.queue, at, req)
	g.admit(c)
}

// answerDeadline returns the time after which an answer earns nothing.
func (g *Gateway) answerDeadline(req *activeRequest) float64 {
	at := req.Deadline - 2*g.cfg.Tick
	if req.class.LateValueFraction == 0 && req.class.ObjectiveWorkFactor == 0 {
		at = min(at, req.SentAt+req.class.LatencyObjective-g.timeSpentBefore(req.Request, req.class))
	}
	return at
}

// timeSpentBefore returns the time that the client has certainly spent on earlier tries. Most tries of a
// class and plan have the same timeout; one with another timeout has only what is left of the client's total.
// A retry past its objective earns nothing, yet uses units, a call and backend time that others need. A first
// try must not be mistaken for a retry, so the result is 0 while the usual timeout is unknown.
func (g *Gateway) timeSpentBefore(r Request, c *Class) float64 {
	timeout, usual := r.Deadline-r.SentAt, &g.clientTimeouts[r.Class*len(g.cfg.Plans)+r.Plan]
	same := func(x float64) bool { return math.Abs(timeout-x) < 2*g.cfg.Tick }
	if same(usual.last) {
		usual.confirmed = timeout
	}
	usual.last = timeout
	if usual.confirmed == 0 || same(usual.confirmed) {
		return 0
	}
	return max(c.Timeout-timeout, 0)
}

func (g *Gateway) handleTimer(token uint64) {
	req, n := g.requests[RequestID(uint32(token))], int(uint8(token>>32))
	switch kind := token >> 56; {
	case kind == timerHousekeeping:
		g.housekeeping()
	case kind == timerSubscribe:
		g.emit(Subscribe{})
	case req == nil:
	case kind == timerCheckRetry && !req.done && req.isCheck:
		g.waitForQuota(req)
	case kind == timerSlowAttempt && n < len(req.attempts) && !req.attempts[n].ended:
		g.handleSlowAttempt(req, n)
	case req.Streamed && kind == timerAnswerBy && g.now < req.answerBy-g.cfg.Tick: // its deadline has moved
	case req.isResponding(): // its answer is passed on soon
	case !req.done && !req.streaming && (kind == timerAnswerBy || kind == timerSendBy && len(req.attempts) == 0):
		g.refuseOrFail(req)
	}
}

func (g *Gateway) enqueue(req *activeRequest) {
	if g.wouldMissDeadline(req) {
		g.refuseOrFail(req)
		return
	}
	g.queues[req.level] = append(g.queues[req.level], req)
}

// wouldMissDeadline reports whether the wait for capacity would outlast the request's objective:
// Wh <= X / (1 - X*Ah), X being the time in which the limit admits one and Ah the arrival rate of higher
// levels. Must be checked before a lease: units and a call for an unsent request are lost to all gateways.
func (g *Gateway) wouldMissDeadline(req *activeRequest) bool {
	x := g.latency / max(g.limit, 1e-3)
	ahead, higher := 1+float64(len(g.queues[req.level])), 0.0
	for level := req.level + 1; level < len(g.queues); level++ {
		ahead += float64(len(g.queues[level]))
		higher += g.arrivalRates[level]
	}
	return g.limitReached(req.level) && ahead*x >= (req.answerBy-g.now-g.latency)*max(1-x*higher, 0)
}

// limitReached reports whether a level has used its part of the concurrency limit and has to wait. In a large
// fleet a gateway's limit can be below one attempt: then it applies to the mean number in flight.
func (g *Gateway) limitReached(level int) bool {
	limit := g.limit
	if g.values[level] < topValueFraction*g.values[len(g.values)-1] {
		limit *= 1 - topReserveFraction
	}
	return float64(g.inFlight) >= max(limit, meanLimitBelow) || limit < meanLimitBelow && g.meanInFlight >= limit
}

// dispatch sends queued requests, highest level first.
func (g *Gateway) dispatch() {
	for level := len(g.queues) - 1; level >= 0; level-- {
		for len(g.queues[level]) > 0 {
			req := g.queues[level][0]
			if !req.done {
				if g.limitReached(level) {
					return
				}
				b := g.pickBackend(req)
				if b == nil {
					break
				}
				g.send(req, b)
			}
			g.queues[level] = g.queues[level][1:]
		}
	}
}

// pickBackend chooses the backend with the fewest own attempts of equal or higher level, relative to the load
// that it is estimated to bear. It returns nil if none may be used now.
func (g *Gateway) pickBackend(req *activeRequest) *backend {
	var best, healthy, dueTrial *backend
	usable, ejected := 0, 0
	for _, b := range g.backendList {
		busy := func(a attempt) bool { return a.backend == b && !a.ended }
		if !g.usable(b) || !req.mayRunOn(b) || !g.coldBudgetAllows(b) || slices.ContainsFunc(req.attempts, busy) {
			continue
		}
		if !b.offSubset && g.largeFleet() && g.capacityFraction(b) < 1 && !b.ejected() {
			// Seen from here nearly all backends are idle, so a cold one would always have the highest cost and get
			// nothing until it is warm. Its budget is its share of the load, so it comes first.
			return b
		}
		b.cost = g.backendCost(b, req)
		if usable++; best == nil || b.cost < best.cost {
			best = b
		}
		trialAt := b.trialAt
		if b.ejected() {
			if ejected++; req.class.Idempotency != Idempotent {
				trialAt += maxTrialSeconds
			}
		} else if healthy == nil || b.cost < healthy.cost {
			healthy = b
		}
		if !b.ejected() && !b.reattached {
			continue
		}
		if dueTrial == nil && g.now >= trialAt && len(req.attempts) == 0 {
			dueTrial = b
		}
	}
	switch {
	case dueTrial != nil:
		// Trials come first, even when most backends fail: only they can restore an ejected one. Otherwise most
		// would stay ejected for good and the few others would bear all the load.
		dueTrial.trialDelay = min(2*dueTrial.trialDelay, maxTrialSeconds)
		dueTrial.trialAt = g.now + dueTrial.trialDelay
		return dueTrial
	case 2*ejected > usable:
		// When most are ejected the cause is shared: excluding them would only overload the rest.
		return best
	}
	return healthy
}

// backendCost estimates how busy b is for req. The backend with the lowest cost is used.
func (g *Gateway) backendCost(b *backend, req *activeRequest) float64 {
	higher := 0
	for _, n := range b.inFlightByLevel[req.level:] {
		higher += n
	}
	slowness := 1.0
	if b.latency > 0 && g.latency > 0 && !g.largeFleet() { // there, a rare answer says little about b
		slowness = min(max(b.latency/g.latency, 1/maxLatencyRatio), maxLatencyRatio)
	}
	health := 1 - min(b.failureRate, 0.9)
	cost := (1 + float64(higher) + 0.1*float64(b.inFlight) + g.otherLoad(b)) * slowness /
		(health * health * g.capacityFraction(b))
	if b.offSubset {
		cost *= offSubsetCostFactor
	}
	if b.Zone != g.cfg.Zone {
		cost *= 1 + g.cfg.CrossZonePrice
	}
	if n := len(req.attempts); n > 0 && req.attempts[n-1].backend == b {
		cost += 1e3 // avoids the backend that just failed, if there is another
	}
	return cost * (1 + costJitter*g.rng.Float64())
}

// otherLoad estimates the load that other gateways put on a backend: that of its last report, which decays to
// the mean of all reports. In a small fleet a gateway's own attempts are enough to go by.
func (g *Gateway) otherLoad(b *backend) float64 {
	if !g.largeFleet() {
		return 0
	}
	return g.meanReported + (b.reportedLoad-g.meanReported)*math.Exp((b.reportedAt-g.now)/reportDecaySeconds)
}

// mayRunOn reports whether the request may be sent to b, which must drop a duplicate if it may have run.
func (r *activeRequest) mayRunOn(b *backend) bool {
	if !r.mayHaveRun || r.class.Idempotency == Idempotent {
		return true
	}
	scope := r.class.Scope
	return r.class.Idempotency == IdempotentByKey && (scope == ScopeAll ||
		scope == ScopeZone && b.Zone == r.mayHaveRunOn.Zone || scope == ScopeCell && b.Cell == r.mayHaveRunOn.Cell)
}

// send starts an attempt; nothing else does. It enforces idempotency, concurrency and drains for all callers.
func (g *Gateway) send(req *activeRequest, b *backend) bool {
	attempts := len(req.attempts)
	keyExpired := req.mayHaveRun && req.class.Idempotency == IdempotentByKey &&
		g.now > req.mayHaveRunAt+req.class.DedupeWindow-2*g.cfg.Tick
	if req.done || req.streaming || !req.admitted || !g.usable(b) || !req.mayRunOn(b) || keyExpired ||
		attempts >= max(g.cfg.MaxAttempts, 1) || req.openAttempts > 0 && !g.cfg.CanHedge {
		return false
	}
	if attempts == 0 {
		g.retryTokens = min(g.retryTokens+retryTokensPerSend, maxRetryTokens)
	} else {
		req.customer.openAttempts++
	}
	if !req.mayHaveRun {
		req.mayHaveRun, req.mayHaveRunAt, req.mayHaveRunOn = true, g.now, b
	}
	req.attempts = append(req.attempts, attempt{backend: b, sentAt: g.now})
	req.openAttempts++
	if req.bodyPending {
		// A backend starts at the last byte of a body. Until then the attempt uses none of the limit.
		req.answerBy = req.Deadline - 2*g.cfg.Tick
		g.setTimer(req.answerBy-g.now, timerAnswerBy, 0, req.ID)
	} else {
		g.trackAttempt(&req.attempts[attempts], req.level)
	}
	if g.capacityFraction(b) < 1 {
		b.coldBudget--
	} else if !b.offSubset {
		g.warmSends++
	}
	g.emit(Send{Request: req.ID, Backend: b.ID, Timeout: max(req.answerBy-g.now, g.cfg.Tick),
		AdmittedAt: req.admittedAt})
	if g.latency > 0 && !req.bodyPending {
		g.setTimer(g.slowAfter(), timerSlowAttempt, attempts, req.ID)
	}
	return true
}

func (g *Gateway) slowAfter() float64 { return g.latency + slowDeviations*g.latencyDev }

// endAttempt records the end of an attempt and decides how its request goes on.
func (g *Gateway) endAttempt(e AttemptEnd) {
	req := g.requests[e.Request]
	if req == nil || e.Attempt >= len(req.attempts) || req.attempts[e.Attempt].ended {
		return
	}
	a, c := &req.attempts[e.Attempt], req.customer
	a.ended = true
	g.recordLoadReport(a.backend, e.LoadData)
	req.openAttempts--
	c.openAttempts--
	tracked := a.tracked
	switch {
	case !tracked:
	case e.Outcome == TimedOut || e.Outcome == Cancelled:
		// A timeout or a cancel may stop no work. Were it not counted any more, each would make room for one more
		// at a full backend. It stays counted the longer the more in a row the backend has left unanswered.
		a.backend.unanswered++
		countedFor := min(g.latency*float64(a.backend.unanswered), req.class.Timeout)
		a.backend.abandoned = append(a.backend.abandoned, abandonedAttempt{a.sentAt, g.now + countedFor, req.level})
		a.tracked = false // it counts as abandoned instead
	default:
		g.untrackAttempt(a, req.level)
	}
	if tracked || !req.streaming && e.Outcome == ConnectFailed {
		g.recordOutcome(req, a, e)
	}
	if req.openAttempts == 0 && e.Attempt == len(req.attempts)-1 && a.sentAt == req.mayHaveRunAt &&
		NeverRan(e.Outcome) {
		req.mayHaveRun = false // no attempt has run
	}
	if e.Outcome == Served && g.cfg.EstimatedUnits && e.ActualUnits > 0 {
		c.leased -= e.ActualUnits - req.Units // corrects the estimate
	}
	switch {
	case req.done:
	case e.RequestDone || e.Outcome == Served:
		g.closeRequest(req)
	case req.openAttempts > 0: // another attempt may still answer
	case !g.retry(req):
		g.refuseOrFail(req)
	}
	if req.done && req.openAttempts == 0 {
		delete(g.requests, req.ID)
	}
	g.admit(req.customer)
}

// retry starts a further attempt if the retry budget and the remaining time allow it.
func (g *Gateway) retry(req *activeRequest) bool {
	if req.Streamed || g.retryTokens < 1 || g.now+g.latency > req.answerBy || g.limitReached(len(g.values)-1) {
		return false
	}
	b := g.pickBackend(req)
	if b == nil || !g.send(req, b) {
		return false
	}
	g.retryTokens--
	return true
}

// handleSlowAttempt handles an attempt that takes longer than nearly all others: silence counts against the
// backend, and where allowed a hedged attempt is sent to another one.
func (g *Gateway) handleSlowAttempt(req *activeRequest, n int) {
	a := &req.attempts[n]
	if a.backend.lastSuccess < a.sentAt {
		g.recordFailure(a.backend)
	}
	if req.done || req.streaming || req.isResponding() || len(req.attempts) != n+1 || g.limitReached(0) {
		return
	}
	if g.cfg.CanHedge && req.customer.limits.maxConcurrent == 0 {
		g.retry(req)
	}
}

// refuseOrFail ends a request without a backend's answer: refused if a retry is harmless, else failed.
func (g *Gateway) refuseOrFail(req *activeRequest) {
	if req.isCheck {
		g.grantPartial(req)
		return
	}
	if req.class.Idempotency == Idempotent || !req.mayHaveRun ||
		req.class.Idempotency == IdempotentByKey && req.class.Scope == ScopeAll {
		advice := 0.0
		if g.cfg.CanSendRetryAfter && (req.admitted || req.noCapacity) {
			advice = g.cfg.MaxRetryAfter
		} else if g.cfg.CanSendRetryAfter {
			advice = min(g.cfg.MaxRetryAfter, max(req.customer.exhaustedUntil-g.now, 0))
		}
		g.emit(Refuse{Request: req.ID, RetryAfter: advice, Reason: req.refusalReason(), AdmittedAt: req.admittedAt})
	} else {
		g.emit(Fail{Request: req.ID})
	}
	g.closeRequest(req)
}

// closeRequest ends a request for good and cancels its attempts in flight.
func (g *Gateway) closeRequest(req *activeRequest) {
	req.done = true
	req.customer.queue = slices.DeleteFunc(req.customer.queue, func(w *activeRequest) bool { return w == req })
	if req.admitted && len(req.attempts) == 0 {
		req.customer.leased += req.Units
		req.customer.openAttempts--
	}
	for n := range req.attempts {
		if !req.attempts[n].ended && g.cfg.CanCancel && !req.streaming {
			g.emit(Cancel{Request: req.ID, Attempt: n})
		}
	}
	if req.openAttempts == 0 {
		delete(g.requests, req.ID)
	}
}

// recordOutcome updates the backend's health and latency, and the concurrency limit, after an attempt.
func (g *Gateway) recordOutcome(req *activeRequest, a *attempt, e AttemptEnd) {
	b := a.backend
	duration := g.now - a.sentAt
	switch e.Outcome {
	case Served:
		b.lastSuccess, b.unanswered, b.reattached = g.now, 0, false
		g.dropAbandoned(b, a.sentAt)
		b.failureRate -= failureWeight * b.failureRate
		if !b.ejected() {
			b.trialDelay = 0
		}
		b.updateLatency(duration)
		if g.latency == 0 {
			g.latency, g.latencyDev = duration, duration/2
		}
		g.latencyDev += 0.02 * (math.Abs(duration-g.latency) - g.latencyDev)
		g.latency += 0.02 * (duration - g.latency)
		g.adjustLimit(duration / req.class.LatencyObjective)
	case Errored, ConnectionBroken, ConnectFailed:
		g.recordFailure(b)
	case Overloaded:
		g.recordFailure(b)
		g.adjustLimit(1)
	case TimedOut, Cancelled:
		if duration > g.slowAfter() {
			if b.updateLatency(max(duration, b.latency)); e.Outcome == TimedOut {
				g.adjustLimit(1)
			}
		}
	}
}

// decayHealth decays a backend's measured health. One avoided for a single failure or slow answer would get
// nothing to correct that, and the others would bear its load for good. An ejected one has its trials.
func (b *backend) decayHealth(fraction, mean float64) {
	if b.ejected() {
		return
	}
	b.failureRate -= fraction * b.failureRate
	if b.latency > 0 {
		b.latency += fraction * (mean - b.latency)
	}
}

func (b *backend) ejected() bool { return b.failureRate >= ejectFailureRate }

// recordFailure counts a failure or a missing answer, whatever its cause.
func (g *Gateway) recordFailure(b *backend) {
	wasEjected := b.ejected()
	b.failureRate += failureWeight * (1 - b.failureRate)
	if b.ejected() && !wasEjected {
		b.trialDelay = minTrialSeconds
		b.trialAt = g.now + b.trialDelay
	}
}

// adjustLimit cuts the limit when latency nears the objective, at most once per round trip, and raises it
// slowly while it is in use and latency is low.
func (g *Gateway) adjustLimit(ratio float64) {
	weight := min(max((g.now-g.latencyRatioAt)/loadMeanSeconds, 0.05), 0.3) // rare answers weigh more
	g.latencyRatioAt = g.now
	g.latencyRatio += weight * (min(ratio, 1) - g.latencyRatio)
	switch {
	case g.latencyRatio > cutLatencyRatio && g.now-g.limitCutAt > max(g.latency, g.cfg.Tick):
		g.limit = max(g.limit*limitCutFactor, g.limitFloor())
		g.limitCutAt = g.now
	case g.latencyRatio < growLatencyRatio && max(float64(g.inFlight), g.meanInFlight) >= growMinUse*g.limit:
		g.limit += min(1, g.backendsPerGateway()) / max(g.limit, 1)
	}
}

func (g *Gateway) limitFloor() float64 { return minLimit * g.backendsPerGateway() }

// backendsPerGateway returns the number of backends divided by that of the gateways.
func (g *Gateway) backendsPerGateway() float64 {
	return float64(len(g.backendList)) / float64(max(g.cfg.FleetSize, 1))
}

// capacityFraction returns the part of its capacity that a backend has at least; it grows during warm-up.
func (g *Gateway) capacityFraction(b *backend) float64 {
	if b.StartedAt == 0 || g.cfg.WarmUpTime <= 0 || g.now-b.StartedAt >= g.cfg.WarmUpTime {
		return 1
	}
	age := max(g.now-b.StartedAt, 0) / g.cfg.WarmUpTime
	return g.cfg.ColdMinCapacity + (1-g.cfg.ColdMinCapacity)*age
}

// coldBudgetAllows keeps a cold backend from overload without agreement among gateways: each sends it at most
// its capacityFraction times the rate of a warm one in any short window, so the sum is what warm ones bear.
func (g *Gateway) coldBudgetAllows(b *backend) bool {
	capacity := g.capacityFraction(b)
	if capacity >= 1 {
		return true
	}
	rate, maxBudget := max(capacity*g.warmRate, minColdRate/g.coldSenders()), maxColdBudget
	if g.largeFleet() || g.coldSenders() > initialLimit {
		rate *= largeFleetColdFraction + (1-largeFleetColdFraction)*capacity // the sum of many is less even
		maxBudget = 1
	}
	b.coldBudget = min(b.coldBudget+rate*(g.now-b.coldBudgetAt), maxBudget)
	b.coldBudgetAt = g.now
	return b.coldBudget >= 1
}

// largeFleet reports whether there are more gateways than attempts that a backend can bear. Then a gateway
// rarely uses most backends, and its own attempts in flight say next to nothing about their load.
func (g *Gateway) largeFleet() bool { return float64(g.cfg.FleetSize) > initialLimit }

// chooseSubset selects the subset of backends that this gateway uses. Gateways that used all backends would
// keep connections to all, which use up backend capacity until connection tables are full, pay a handshake
// for nearly every request and get too few answers from each backend to know it. The subset is a range of one
// common order that starts at the gateway's index, so that equally many gateways use each backend.
func (g *Gateway) chooseSubset() {
	var list []*backend
	for _, b := range g.backendList {
		if b.offSubset = false; g.largeFleet() && g.usable(b) {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b *backend) int { return cmp.Compare(hash(uint64(a.ID)), hash(uint64(b.ID))) })
	total := float64(len(list))
	width := max(total*subsetGateways/float64(g.cfg.FleetSize), minSubsetBackends)
	start := math.Floor(total * float64(g.cfg.Rank) / float64(g.cfg.FleetSize))
	for i, b := range list {
		b.offSubset = math.Mod(float64(i)-start+total, total) >= width
	}
}

// initialColdBudget returns a cold backend's first budget at this gateway. In a large fleet each may send it
// one request in many seconds. If all budgets started at 0, it would stay idle for as long; if all started
// full, it would get one request of each at once. So gateways take turns by index, in another order for each
// backend; the golden ratio spreads neighbouring indexes, whose subsets share the same backends.
func (g *Gateway) initialColdBudget(id BackendID) float64 {
	if !g.largeFleet() {
		return 0
	}
	return math.Mod(float64(hash(uint64(id))%1024)/1024+float64(g.cfg.Rank)*math.Phi, 1)
}

// updateBackends applies an update of the backend list. A backend that is not ready gets nothing from now on.
func (g *Gateway) updateBackends(e Backends) {
	if e.Kind == ListFailed {
		g.setTimer(discoveryRetrySeconds, timerSubscribe, 0, 0) // immediate retries would keep discovery down
		return
	}
	if e.Kind != DeltaList {
		for _, b := range g.backendList {
			b.State = Removed
		}
	}
	for _, entry := range e.Entries {
		b := g.ensureBackend(entry)
		if entry.StartedAt > b.StartedAt {
			b.latency, b.failureRate = 0, 0 // a new process
			b.coldBudget, b.coldBudgetAt = g.initialColdBudget(entry.ID), g.now
		} else {
			entry.StartedAt = b.StartedAt
		}
		b.Backend = entry
	}
	g.chooseSubset()
	if g.limit == 0 && len(g.backendList) > 0 {
		g.limit = initialLimit * g.backendsPerGateway()
	}
}

// attach puts a detached backend back into use. Most likely it was restarted, which the list may report late
// or never, so it counts as cold and its measured health as an earlier process's. It gets a trial at once:
// while other backends are idle a cold one has a high cost and might get nothing for long.
func (g *Gateway) attach(id BackendID) {
	if b := g.backends[id]; b != nil && g.detached[id] {
		b.StartedAt, b.latency, b.failureRate, b.unanswered = max(b.StartedAt, g.now), 0, 0, 0
		b.reattached, b.trialAt, b.trialDelay = true, g.now, minTrialSeconds/2
	}
	delete(g.detached, id)
	g.chooseSubset()
}

// housekeeping updates averages and drops what is no longer used.
func (g *Gateway) housekeeping() {
	g.setTimer(housekeepingSeconds, timerHousekeeping, 0, 0)
	interval := max(g.now-g.lastHousekeeping, g.cfg.Tick, 1e-3)
	g.lastHousekeeping = g.now
	warm := 0
	g.dropRemovedBackends()
	decay := 1 - math.Exp(-interval/healthDecaySeconds)
	for _, b := range g.backendList {
		g.dropAbandoned(b, 0)
		b.decayHealth(decay, g.latency)
		if g.usable(b) && g.capacityFraction(b) >= 1 && !b.offSubset {
			warm++
		}
	}
	ewmaWeight := min(interval/warmRateMeanSeconds, 1)
	if warm > 0 {
		g.warmRate += ewmaWeight * (float64(g.warmSends)/interval/float64(warm) - g.warmRate)
	}
	g.warmSends = 0
	g.decayUsage(math.Exp(-interval / usageDecaySeconds))
	for level := range g.arrivalRates {
		g.arrivalRates[level] += ewmaWeight * (g.arrivalCounts[level]/interval - g.arrivalRates[level])
		g.arrivalCounts[level] = 0
	}
	g.maintainCustomers()
}

// limitsFor returns the limits of a plan at one gateway for a customer that uses so many gateways.
// With few gateways each sees the totals often enough to keep an exact token bucket: a long window whose
// allowance grows with time. Otherwise each window is short and independent.
// Under a ceiling, leases and local shares together never exceed it. An exact bucket spends in any time L at
// most allowance*(1+leaseTTLFraction) + rate*L, and twice the first allowance if the counter loses its data;
// short windows allowance*(2+leaseTTLFraction) + rate*L. Local shares have the rest of burst and rate.
func (g *Gateway) limitsFor(p *Plan, gateways, index int) planLimits {
	n, divisor := float64(max(gateways, 1)+g.cfg.CheckFrontends), g.quotaDivisor(gateways)
	lim := planLimits{rate: p.Rate, allowance: p.Burst, firstLease: p.Burst / n, exact: n <= maxExactGateways,
		localRate: p.Rate / divisor, localBurst: max(p.Burst/divisor, 1), ceiling: p.CeilingRate > 0,
		maxConcurrent:   p.MaxConcurrent,
		localConcurrent: (p.MaxConcurrent + gateways - 1 - index) / max(gateways, 1)} // their sum is the limit
	if g.largeFleet() {
		// A whole unit is many times the local share of a small bucket. A larger bucket gets as many times its own,
		// within a bound: all gateways may spend theirs at once while the counter is unavailable.
		lim.localBurst = max(lim.localBurst, min(p.Burst/g.minBurst, maxLocalBurstUnits))
	}
	lim.initialAllowance = lim.allowance
	if p.CeilingRate > 0 {
		lim.rate = min(p.Rate, p.CeilingRate)
		lim.allowance = min(lim.allowance, p.CeilingBurst*ceilingLeaseFraction)
		lim.initialAllowance, lim.localBurst = lim.allowance,
			(p.CeilingBurst-(2+leaseTTLFraction)*lim.allowance)/divisor
		if lim.exact {
			lim.allowance = min(p.Burst, p.CeilingBurst/(1+leaseTTLFraction))
			lim.initialAllowance = (p.CeilingBurst - (1+leaseTTLFraction)*lim.allowance) / 2
			lim.localBurst = lim.initialAllowance / divisor
		}
		lim.firstLease, lim.localRate = lim.allowance/n, (p.CeilingRate-lim.rate)/divisor
	}
	lim.windowSeconds = exactWindowSeconds
	if !lim.exact {
		lim.windowSeconds = lim.allowance / max(lim.rate, 1e-3)
	}
	if !lim.exact && lim.maxConcurrent > 0 {
		// Slots of many gateways cost two calls per request and get lost: their average rate is kept instead.
		if lim.maxConcurrent = 0; lim.rate == 0 && g.latency > 0 {
			lim.rate = slotUseFraction * float64(p.MaxConcurrent) / g.latency
			lim.windowSeconds, lim.allowance, lim.initialAllowance =
				slotRateWindowSeconds, lim.rate*slotRateWindowSeconds, lim.rate*slotRateWindowSeconds
			lim.firstLease, lim.localRate = 1, lim.rate/divisor
		}
	}
	return lim
}

// admit admits a customer's waiting requests as far as its leases reach.
func (g *Gateway) admit(c *customer) {
	limited := c.limits.rate > 0
	for len(c.queue) > 0 {
		req := c.queue[0]
		shared := true
		if c.limits.maxConcurrent > 0 && !req.isCheck && !g.slotAvailable(c) {
			return // a slot may become free before the request is too late
		}
		if limited {
			g.rollWindow(c)
			switch {
			case c.leased >= req.Units:
				g.spendLease(c, req.Units)
				g.recentLeased[req.Plan] += req.Units
			case c.leaseCalls > 0:
				return
			case g.now < c.exhaustedUntil && req.minUnits() >= c.exhaustedUnits:
				if !g.postponeCheck(req, c.exhaustedUntil) {
					g.refuseOrFail(req)
				}
				continue
			case !g.cfg.HasCounter || g.now < c.backoffUntil:
				if !c.spendLocal(g.now, req.Units, req.localUnitsNeeded()) {
					if g.cfg.HasCounter && c.limits.exact && c.backoffUntil+g.latency < req.answerBy {
						return // it waits: the counter may accept calls again soon
					}
					if !g.postponeCheck(req, c.backoffUntil) {
						g.refuseOrFail(req)
					}
					continue
				}
				c.unreported += req.Units
				g.recentLocal[req.Plan] += req.Units
				shared = false
			default:
				g.requestLease(c)
				continue
			}
		}
		if req.isCheck {
			g.finishCheck(req, req.Units, shared && limited)
			continue
		}
		c.queue[0] = nil // the customer may be kept for long after the request
		c.queue = c.queue[1:]
		c.openAttempts++
		req.admitted, req.admittedAt = true, g.now
		g.enqueue(req)
		g.dispatch()
	}
}

// spendLease spends leased units. They count against the local share too: with a counter that answers only
// now and then, leases and the local share would add up to more than the quota.
func (g *Gateway) spendLease(c *customer, units float64) {
	c.leased -= units
	c.spendLocal(g.now, 0, 0)
	c.localUnits = max(c.localUnits-units, -c.limits.localBurst)
}

// slotAvailable reports whether one more request of c may be admitted under its plan's limit on concurrent
// attempts. Slots are leased from the counter one call at a time and returned when nobody waits for them.
func (g *Gateway) slotAvailable(c *customer) bool {
	switch {
	case c.openAttempts < c.slots:
		return true
	case !g.cfg.HasCounter || g.now < c.backoffUntil:
		return c.openAttempts < c.limits.localConcurrent
	case c.openAttempts >= c.limits.maxConcurrent: // no call needed
	case c.slotCalls == 0 && g.now >= c.nextSlotCallAt &&
		math.Mod(g.now, slotWindowSeconds) > 2*housekeepingSeconds && !g.skipCall(c):
		g.rollSlotWindow(c)
		slots := float64(min(len(c.queue), c.limits.maxConcurrent))
		g.callCounter(counterCall{customer: c, key: c.slotKey, requested: slots, slots: true}, keyTTLSeconds)
	}
	return false
}

// grantSlots handles the answer to a call for slots and returns those beyond the limit.
func (g *Gateway) grantSlots(c *customer, call counterCall, total float64) {
	excess := min(max(math.Ceil(total)-float64(c.limits.maxConcurrent), 0), call.requested)
	c.slots += int(call.requested - excess)
	if excess > 0 {
		c.nextSlotCallAt = g.now + slotRetrySeconds
		g.callCounter(counterCall{customer: c, key: call.key, delta: -excess, slots: true}, keyTTLSeconds)
	}
}

// releaseSlots returns slots that no request here has used for a moment.
func (g *Gateway) releaseSlots(c *customer) {
	if c.slots > 0 {
		g.rollSlotWindow(c) // held slots are reported before any is requested in the new window
	}
	if idle := c.slots - c.openAttempts; idle > 0 &&
		g.now >= max(c.backoffUntil, c.lastRequestAt+housekeepingSeconds) {
		c.slots -= idle
		g.callCounter(counterCall{customer: c, key: c.slotKey, delta: -float64(idle), slots: true}, keyTTLSeconds)
	}
}

// skipCall decides whether to leave out a call: the more calls have failed recently, the more it skips.
func (g *Gateway) skipCall(c *customer) bool {
	if g.rng.Float64() >= min(callSkipFactor*g.callFailureRate, maxCallSkipRate) {
		return false
	}
	c.backoffUntil = g.now + minBackoffSeconds
	return true
}

// requestLease requests units, and reports those spent from the local share in this window.
func (g *Gateway) requestLease(c *customer) {
	if g.skipCall(c) {
		return
	}
	needed := 0.0
	for _, req := range c.queue {
		needed += req.Units
	}
	demand := c.limits.firstLease // the demand of a second, at first the whole share
	if c.hasTotal {
		demand = min(c.demandRate, demand)
	}
	needed = math.Ceil(needed) + math.Floor(demand) // an unused unit is missing at the others
	fullTotal := g.rollWindow(c)
	call := counterCall{customer: c, key: c.key, window: c.window, fullTotal: fullTotal, spent: c.unreported}
	call.requested = max(min(needed, c.limits.allowance), 1)
	if call.delta = max(fullTotal-c.knownTotal, 0); c.knownTotal == 0 {
		// A window that is new to this gateway may be new to all. The call that starts it must also report that the
		// bucket is not full. A gateway that was not the first takes that back.
		call.delta = fullTotal + c.limits.allowance - c.limits.initialAllowance
	}
	c.unreported = 0
	if g.largeFleet() {
		// Of a customer at many gateways each sees a request now and then: a later call hardly ever reports what
		// its local share paid, and the counter would see half of the use. So each call reports for its whole plan.
		plan := c.queue[0].Plan
		call.delta += needed * min(g.recentLocal[plan]/max(g.recentLeased[plan], 1), maxUnreportedRatio)
	}
	g.callCounter(call, keyTTLSeconds)
}

// handleCounterReply handles the answer to a call. An unanswered call grants nothing: it may have been added,
// which the next totals will show. Neither does one that was added with an unreadable answer: the next call
// takes it back, and its write-off too, which it then repeats. Under a ceiling the write-off stays: the first
// call of a window must not find less there than it reported.
func (g *Gateway) handleCounterReply(e CounterReply) {
	call, ok := g.popCall(e.Key)
	if !ok {
		return
	}
	c := call.customer
	weight := min(max((g.now-g.lastCallEnd)/callFailureMeanSeconds, callFailureMinWeight), 1)
	g.lastCallEnd = g.now
	g.callFailureRate -= weight * g.callFailureRate
	if (e.Outcome == TimedOut || e.Outcome == ConnectionBroken) && !call.slots && call.window == c.window {
		c.uncertain += call.requested + math.Abs(call.delta)
		if e.Outcome == TimedOut {
			g.timedOutCalls = append(g.timedOutCalls[max(len(g.timedOutCalls)+1-maxTimedOutCalls, 0):], call)
		}
	}
	switch {
	case e.Outcome == Errored || e.Outcome == ConnectionBroken:
		// An unreadable answer or a broken connection is no sign of an overloaded counter. Taken for one, it would
		// skip calls that the counter can bear, and refuse customers within their quotas.
		if e.Outcome == Errored && call.slots && call.requested > 0 {
			g.callCounter(counterCall{customer: c, key: call.key, delta: -call.requested, slots: true}, keyTTLSeconds)
		} else if e.Outcome == Errored {
			c.reclaim(call)
		}
		c.backoffUntil = g.now + c.backoff // no backoff the first time
		c.backoff = min(max(2*c.backoff, minBackoffSeconds), maxBackoffSeconds)
	case call.slots && e.Outcome == Served && call.requested > 0:
		g.grantSlots(c, call, e.Total)
	case e.Outcome != Served:
		// A slot or unit that is not returned is missing at all gateways. A rejected call has changed nothing and
		// is repeated; an unanswered one may have been added and is not.
		switch {
		case e.Outcome == TimedOut:
		case call.slots && call.key == c.slotKey:
			c.slots += int(max(-call.delta, 0))
		case !call.slots:
			c.reportLater(call)
		}
		g.callFailureRate += weight
		c.backoff = min(max(2*c.backoff, minBackoffSeconds), maxBackoffSeconds)
		c.backoffUntil = g.now + c.backoff
	case call.requested > 0 && !call.slots:
		c.backoff = 0
		g.grantLease(c, call, e.Total)
	}
	g.admit(c)
}

// handleLateReply handles the result of a call that had timed out. A counter that is slow for a moment adds
// all the same, and unused units are missing at all gateways. So a late total grants as one in time would
// and ends the backoff. This covers a counter slow for all and a silent network; a too old total is ignored.
func (g *Gateway) handleLateReply(e LateCounterReply) {
	i := slices.IndexFunc(g.timedOutCalls, func(call counterCall) bool { return call.id == e.CallID })
	if i < 0 {
		return
	}
	call := g.timedOutCalls[i]
	c := call.customer
	g.timedOutCalls = slices.Delete(g.timedOutCalls, i, i+1)
	if call.window != c.window || e.Outcome == TimedOut || e.Outcome == ConnectionBroken {
		return
	}
	c.uncertain = max(c.uncertain-call.requested-math.Abs(call.delta), 0)
	switch {
	case e.Outcome == Errored:
		c.reclaim(call)
	case e.Outcome != Served:
		c.reportLater(call)
	case call.requested > 0:
		c.backoff, c.backoffUntil = 0, g.now
		g.grantLease(c, call, e.Total)
	}
	g.admit(c)
}

// grantLease keeps what fits of the requested units. An exact bucket gets the rest back. In a short window it
// is left: there is nothing for anyone until the next, and returns would take as many calls as leases do.
func (g *Gateway) grantLease(c *customer, call counterCall, total float64) {
	before := total - call.delta - call.requested
	target := max(before, call.fullTotal)
	if before-call.spent < minCorrectionUnits { // the window is new, or the counter has lost it
		target = max(target, c.knownTotal, call.fullTotal+c.limits.allowance-c.limits.initialAllowance)
	}
	if over := target - call.fullTotal - 2*c.limits.allowance; over > 0 && c.limits.exact && !c.limits.ceiling {
		// An uncertain call that was added is missing at all gateways until the window ends, and so is the refill
		// that it wrote off. Leases empty a bucket and local shares overdraw it by one burst; more than that proves
		// that the call was added, and is returned. This covers lost, late and truncated answers alike. What
		// another gateway is about to take back looks the same; then the bucket is filled once more at most.
		returned := min(over, c.uncertain)
		c.uncertain -= returned
		target -= returned
	}
	unit := 1.0
	if len(c.queue) > 0 && !c.queue[0].partial {
		unit = max(c.queue[0].Units, 1e-3)
	}
	available, leased := c.limits.allowance-(target-call.fullTotal), max(c.leased, 0)
	grant := max(min(call.requested, math.Floor((available+leased)/unit+1e-3)*unit-leased), 0)
	if grant < call.requested {
		if g.largeFleet() {
			// Otherwise a customer at its limit would get the local share of one gateway after another.
			c.spendLocal(g.now, 0, 0)
			c.localUnits = min(c.localUnits, 0)
		}
		// Another gateway may be about to take back a double write-off; until then the bucket looks too empty.
		extra := min(unit, 1)
		missing := min(unit+extra-available-leased+grant, unit+(maxExhaustedRefill-1)*extra)
		c.exhaustedUnits = unit
		c.exhaustedUntil = g.now + max(missing/max(c.limits.rate, 1e-3), g.cfg.Tick)
		if !c.limits.exact {
			c.exhaustedUntil = (call.window + 1 - c.windowPhase()) * c.limits.windowSeconds
		}
	}
	c.leased += grant
	if grant > 0 {
		c.leaseExpires = g.now + leaseTTLFraction*c.limits.allowance/max(c.limits.rate, 1e-3)
	}
	if c.window == call.window {
		c.knownTotal = target + grant
	}
	c.hasTotal = true
	if diff := target + grant - total; c.limits.exact && math.Abs(diff) > minCorrectionUnits*min(unit, 1) {
		// Takes back what was too much, or adds what a counter without its data has lost.
		g.callCounter(counterCall{customer: c, key: call.key, window: call.window, delta: diff}, keyTTLSeconds)
	}
}

// NeverRan reports whether an outcome proves that an attempt had no effect.
func NeverRan(o Outcome) bool { return o == Overloaded || o == ConnectFailed || o == NotSent }
