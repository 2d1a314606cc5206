package rules

import (
	"math"
	"slices"
)

// Checks spend units of a quota without a request. They wait in the customer's queue, are paid by its leases
// or its local share, and are answered in the steps of requests (admit, refuseOrFail). Here is what differs.

// checkClass is the class of all checks.
var checkClass Class

// handleCheck accepts a check. One for more than the bucket can hold is answered at once: no wait would help.
func (g *Gateway) handleCheck(e Check) {
	r := Request{ID: e.ID, Customer: e.Customer, Plan: e.Plan, Units: e.Units, FirstGateway: e.FirstGateway,
		Gateways: e.Gateways, SentAt: g.now, Deadline: e.Deadline}
	req := g.freeRequest // most checks end at once, and the next one reuses the allocation
	if g.freeRequest = nil; req == nil {
		req = &activeRequest{}
	}
	*req = activeRequest{Request: r, class: &checkClass, isCheck: true, partial: e.Partial,
		answerBy: max(e.Deadline, g.now)}
	req.level = len(g.values) - 1 // levels rank requests for backends, and it is sent to none
	req.customer = g.ensureCustomer(r)
	if t := &req.customer.limits; !(r.Units > 0) || t.rate > 0 && r.Units > t.allowance {
		g.finishCheck(req, 0, false)
		return
	}
	if g.waitForQuota(req); !req.done {
		g.requests[r.ID] = req
		g.setTimer(req.answerBy-g.now, timerAnswerBy, 0, r.ID)
	}
}

// postponeCheck removes a check that may wait from its customer's queue until then, and reports whether it
// did. At the head of the queue it would block the customer's requests, which can't wait as long.
func (g *Gateway) postponeCheck(req *activeRequest, until float64) bool {
	at := max(until, g.now+g.cfg.Tick)
	if !req.isCheck || at+g.cfg.Tick > req.answerBy {
		return false
	}
	req.customer.queue = slices.DeleteFunc(req.customer.queue, func(w *activeRequest) bool { return w == req })
	g.setTimer(at-g.now, timerCheckRetry, 0, req.ID)
	return true
}

func (g *Gateway) finishCheck(req *activeRequest, units float64, shared bool) {
	c := req.customer
	g.closeRequest(req)
	g.freeRequest = req
	a := g.bucketState(c, req.Plan)
	a.ID, a.Granted, a.Shared = req.ID, units, shared
	if missing := req.Units - units; missing > 0 && c.limits.rate > 0 {
		a.RetryAfter = max((missing-a.Remaining)/c.limits.rate, c.exhaustedUntil-g.now,
			c.backoffUntil-g.now, g.cfg.Tick)
	}
	g.emitCheckResult(a)
}

// minUnits returns the least number of units that a request or check accepts.
func (r *activeRequest) minUnits() float64 {
	if r.partial {
		return min(r.Units, 1)
	}
	return r.Units
}

// grantPartial grants a partial check the units that are available, in whole units.
func (g *Gateway) grantPartial(req *activeRequest) {
	c, units, shared := req.customer, 0.0, true
	if req.partial {
		if units = math.Floor(max(c.leased, 0)); units > 0 {
			units = min(units, req.Units)
			g.spendLease(c, units)
		} else if !g.cfg.HasCounter || g.now < c.backoffUntil {
			c.spendLocal(g.now, 0, 0)
			shared, units = false, min(math.Floor(max(c.localUnits, 0)), req.Units)
			c.localUnits -= units
			c.unreported += units
		}
	}
	g.finishCheck(req, units, shared && units > 0)
}

// bucketState returns what this gateway knows of a customer's token bucket.
func (g *Gateway) bucketState(c *customer, plan int) CheckResult {
	t := &c.limits
	if t.rate <= 0 {
		return CheckResult{Remaining: math.Inf(1), Exact: true}
	}
	full := g.rollWindow(c)
	c.spendLocal(g.now, 0, 0)
	a := CheckResult{Window: c.window, Remaining: max(c.localUnits, 0)}
	if g.cfg.HasCounter && c.knownTotal > 0 && g.now >= c.backoffUntil {
		// The last known total and what is not reported yet. Others may have spent more since.
		a.Exact = true
		a.Remaining = min(max(t.allowance-max(c.knownTotal+c.unreported-full, 0), 0)+max(c.leased, 0), t.allowance)
	}
	a.ResetAfter = max(g.cfg.Plans[plan].Burst-a.Remaining, 0) / t.rate
	return a
}

// peek answers with what is known here, without a call to the counter.
func (g *Gateway) peek(e Peek) {
	c := g.ensureCustomer(Request{Customer: e.Customer, Plan: e.Plan, FirstGateway: e.FirstGateway,
		Gateways: e.Gateways})
	a := g.bucketState(c, e.Plan)
	a.ID = e.ID
	g.emitCheckResult(a)
}

// refund takes units back. Units of an earlier window must not lift a bucket that was renewed since above its
// burst. Units of the present window go back with the next call, which a full bucket writes off again; the
// local share, which leases count against, has them back at once.
func (g *Gateway) refund(e Refund) {
	c := g.ensureCustomer(Request{Customer: e.Customer, Plan: e.Plan, FirstGateway: e.FirstGateway,
		Gateways: e.Gateways})
	returned := 0.0
	if c.limits.rate > 0 {
		g.rollWindow(c)
		if c.window == e.Window && e.Units > 0 {
			returned = min(e.Units, c.limits.allowance)
			c.unreported -= returned
			c.exhaustedUntil = 0
			c.spendLocal(g.now, 0, 0)
			c.localUnits = min(c.localUnits+returned, c.limits.localBurst)
		}
	}
	a := g.bucketState(c, e.Plan)
	a.ID, a.Granted = e.ID, returned
	g.emitCheckResult(a)
	g.admit(c)
}
