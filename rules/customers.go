package rules

import (
	"math"
	"slices"
)

// The customers that a gateway knows are those whose last request is recent, and no more than Settings.MaxCustomers but
// for those with work in progress: a client may name a new customer in each of its requests. Those that have sent a single
// request go first, so that such a client doesn't displace the others.

const (
	customerIdleSeconds = 60.0 // after which a customer is dropped
	retainedRatio       = 0.9  // of Settings.MaxCustomers, once there are more: finding the oldest costs a sort
)

// ensureCustomer returns the customer of a request, adding its state if needed, and updates its demand.
func (g *Gateway) ensureCustomer(r Request) *customer {
	c := g.customers[r.Customer]
	if c == nil {
		c = &customer{id: r.Customer, localUpdatedAt: max(g.startedAt, g.droppedRequestAt), window: -1, lastRequestAt: g.now}
		g.customers[r.Customer] = c
		g.customerList = append(g.customerList, c)
		c.localUnits = g.initialLocalUnits(r)
	} else {
		c.recurring = true
	}
	fleetSize := max(g.cfg.FleetSize, 1)
	index := (g.cfg.Rank - r.FirstGateway + fleetSize) % fleetSize // of this gateway among the customer's
	c.limits = g.limitsFor(&g.cfg.Plans[r.Plan], r.Gateways, max(min(index, r.Gateways-1), 0))
	if g.now != c.lastRequestAt {
		c.demandRate *= math.Exp(-(g.now - c.lastRequestAt) / demandMeanSeconds)
	}
	c.demandRate += r.Units / demandMeanSeconds
	c.lastRequestAt = g.now
	return c
}

// initialLocalUnits returns the local share of a customer new to this gateway. A restarted gateway, or one that has
// dropped the customer, may have spent its share before: under a ceiling it is earned anew; elsewhere a full bucket costs
// little.
func (g *Gateway) initialLocalUnits(r Request) float64 {
	plan := &g.cfg.Plans[r.Plan]
	if plan.CeilingRate > 0 {
		return 0
	}
	return g.limitsFor(plan, r.Gateways, 0).localBurst
}

// isIdle reports whether nothing is in progress for a customer.
func (c *customer) isIdle() bool {
	return c.openAttempts == 0 && c.pendingCalls == 0 && len(c.queue) == 0 && c.slots == 0
}

// retentionRank orders customers: while there are too many, those with the lowest are dropped.
func (c *customer) retentionRank() float64 {
	if c.recurring {
		return c.lastRequestAt
	}
	return c.lastRequestAt - customerIdleSeconds
}

// minRetentionRank returns from which rank on idle customers are kept.
func (g *Gateway) minRetentionRank() float64 {
	if g.cfg.MaxCustomers == 0 || len(g.customerList) <= g.cfg.MaxCustomers {
		return math.Inf(-1)
	}
	ranks := make([]float64, 0, len(g.customerList))
	for _, c := range g.customerList {
		ranks = append(ranks, c.retentionRank())
	}
	slices.Sort(ranks)
	retained := int(retainedRatio * float64(g.cfg.MaxCustomers))
	return ranks[len(ranks)-retained]
}

// maintainCustomers drops the customers that need not be kept, and returns unused leases and slots of the others.
func (g *Gateway) maintainCustomers() {
	minRank := g.minRetentionRank()
	kept := g.customerList[:0]
	for _, c := range g.customerList {
		if g.now >= c.leaseExpires {
			c.leased = min(c.leased, 0) // expired unused; the next window makes up for it
		}
		g.releaseSlots(c)
		if c.isIdle() && (g.now-c.lastRequestAt > customerIdleSeconds || c.retentionRank() < minRank) {
			g.drop(c)
			continue
		}
		kept = append(kept, c)
		g.returnUnits(c)
		if len(c.queue) > 0 {
			g.admit(c)
		}
	}
	clear(g.customerList[len(kept):])
	g.customerList = kept
}

// drop forgets a customer.
func (g *Gateway) drop(c *customer) {
	delete(g.customers, c.id)
	g.droppedRequestAt = max(g.droppedRequestAt, c.lastRequestAt)
}

// returnUnits reports units that were given back and that no other call has reported.
func (g *Gateway) returnUnits(c *customer) {
	if c.unreported >= -minCorrectionUnits || c.pendingCalls > 0 || g.now < c.backoffUntil {
		return
	}
	if g.rollWindow(c); c.unreported < 0 {
		g.callCounter(counterCall{customer: c, key: c.key, window: c.window, spent: c.unreported}, keyTTLSeconds)
		c.unreported = 0
	}
}
