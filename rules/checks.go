package rules

import (
	"math"
	"slices"
)

// Checks: units of a customer's quota without a request. They wait in the customer's line, are paid by its
// leases or its local share and are answered by the same steps as requests (admit, giveBack); only what they
// are told is here.

// checkClass stands for the class of a check, which has none.
var checkClass Class

// check takes in a take. One for more than the store ever holds is answered at once: no wait would help.
func (g *Gateway) check(e Check) {
	r := Request{ID: e.ID, Customer: e.Customer, Plan: e.Plan, Units: e.Units, FirstGateway: e.FirstGateway,
		Gateways: e.Gateways, SentAt: g.now, Deadline: e.Deadline}
	j := g.spare // most checks are over at once, and the next takes the place of the last
	if g.spare = nil; j == nil {
		j = &job{}
	}
	*j = job{Request: r, class: &checkClass, check: true, partial: e.Partial, giveUp: max(e.Deadline, g.now)}
	j.level = len(g.worths) - 1 // it takes no place of a backend, and the levels are for those
	j.customer = g.customerOf(r)
	if t := &j.customer.terms; !(r.Units > 0) || t.rate > 0 && r.Units > t.allowance {
		g.checked(j, 0, false)
		return
	}
	if g.line(j); !j.done {
		g.jobs[r.ID] = j
		g.timer(j.giveUp-g.now, timerEnd, 0, r.ID)
	}
}

// later takes a check that may wait out of its customer's line until then, and tells whether it did. Danger:
// left at the head, it would hold up the customer's requests, which can't wait so long.
func (g *Gateway) later(j *job, until float64) bool {
	at := max(until, g.now+g.set.Tick)
	if !j.check || at+g.set.Tick > j.giveUp {
		return false
	}
	j.customer.waiting = slices.DeleteFunc(j.customer.waiting, func(w *job) bool { return w == j })
	g.timer(at-g.now, timerLine, 0, j.ID)
	return true
}

// checked answers a check and forgets it.
func (g *Gateway) checked(j *job, units float64, shared bool) {
	c := j.customer
	g.close(j)
	g.spare = j
	a := g.known(c, j.Plan)
	a.ID, a.Granted, a.Shared = j.ID, units, shared
	if left := j.Units - units; left > 0 && c.terms.rate > 0 {
		a.RetryAfter = max((left-a.Remaining)/c.terms.rate, c.dryUntil-g.now, c.restTill-g.now, g.set.Tick)
	}
	g.say(a)
}

// least is how many units a request or check will do with.
func (j *job) least() float64 {
	if j.partial {
		return min(j.Units, 1)
	}
	return j.Units
}

// part grants a partial check what there is, in whole units.
func (g *Gateway) part(j *job) {
	c, units, shared := j.customer, 0.0, true
	if j.partial {
		if units = math.Floor(max(c.units, 0)); units > 0 {
			units = min(units, j.Units)
			g.spend(c, units)
		} else if !g.set.HasCounter || g.now < c.restTill {
			c.takeLocal(g.now, 0, 0)
			shared, units = false, min(math.Floor(max(c.local, 0)), j.Units)
			c.local -= units
			c.owed += units
		}
	}
	g.checked(j, units, shared && units > 0)
}

// known is what this gateway knows of a customer's store.
func (g *Gateway) known(c *customer, plan int) CheckResult {
	t := &c.terms
	if t.rate <= 0 {
		return CheckResult{Remaining: math.Inf(1), Exact: true}
	}
	floor := g.roll(c)
	c.takeLocal(g.now, 0, 0)
	a := CheckResult{Window: c.window, Remaining: max(c.local, 0)}
	if g.set.HasCounter && c.known > 0 && g.now >= c.restTill {
		// The total as last seen, with what it has not been told yet; others may have taken more since.
		a.Exact = true
		a.Remaining = min(max(t.allowance-max(c.known+c.owed-floor, 0), 0)+max(c.units, 0), t.allowance)
	}
	a.ResetAfter = max(g.set.Plans[plan].Burst-a.Remaining, 0) / t.rate
	return a
}

// peek tells what is known, and asks nobody.
func (g *Gateway) peek(e Peek) {
	c := g.customerOf(Request{Customer: e.Customer, Plan: e.Plan, FirstGateway: e.FirstGateway,
		Gateways: e.Gateways})
	a := g.known(c, e.Plan)
	a.ID = e.ID
	g.say(a)
}

// give takes units back. Danger: a store that was renewed since must not be lifted over its burst by what
// came out of an earlier one. Into the present one they go with the next call, which a full store writes off
// again; the local share, which leases count against, has them back at once.
func (g *Gateway) give(e Refund) {
	c := g.customerOf(Request{Customer: e.Customer, Plan: e.Plan, FirstGateway: e.FirstGateway,
		Gateways: e.Gateways})
	back := 0.0
	if c.terms.rate > 0 {
		g.roll(c)
		if c.window == e.Window && e.Units > 0 {
			back = min(e.Units, c.terms.allowance)
			c.owed -= back
			c.dryUntil = 0
			c.takeLocal(g.now, 0, 0)
			c.local = min(c.local+back, c.terms.localBurst)
		}
	}
	a := g.known(c, e.Plan)
	a.ID, a.Granted = e.ID, back
	g.say(a)
	g.admit(c)
}
