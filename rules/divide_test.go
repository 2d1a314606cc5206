package rules

import (
	"math"
	"testing"
)

// While the counter is unavailable, the quota of a customer that may come to all gateways is divided by the
// QuotaDivisor from the members; that of a customer of some gateways by their number.
func TestLocalSharesFollowQuotaDivisor(t *testing.T) {
	set := testSettings()
	set.FleetSize = 2
	for _, c := range []struct {
		divisor, gateways int
		want              float64
	}{
		{0, 2, 2}, // by the settings: a burst of 4 over 2
		{1, 2, 4},
		{4, 2, 1},
		{4, 1, 4}, // a customer of one gateway
		{1 << 30, 2, 1},
	} {
		gw := newTestGateway(t, set, readyBackends(2)...)
		if c.divisor > 0 {
			gw.handle(FleetUpdate{QuotaDivisor: c.divisor, ColdSenders: 2})
		}
		if got := gw.g.limitsFor(&set.Plans[0], c.gateways, 0).localBurst; got != c.want {
			t.Errorf("divisor %d, %d gateways: %g units, want %g", c.divisor, c.gateways, got, c.want)
		}
	}
}

// The counter's keys must be the same at all gateways, whatever each knows of the others.
func TestFleetUpdateKeepsCounterKeys(t *testing.T) {
	set := testSettings()
	set.FleetSize = 2
	gw := newTestGateway(t, set, readyBackends(2)...)
	before := gw.g.limitsFor(&set.Plans[0], 2, 0)
	gw.handle(FleetUpdate{QuotaDivisor: 1 << 30, ColdSenders: 9})
	after := gw.g.limitsFor(&set.Plans[0], 2, 0)
	if before.exact != after.exact || before.windowSeconds != after.windowSeconds || before.allowance != after.allowance || before.firstLease != after.firstLease {
		t.Errorf("%+v became %+v", before, after)
	}
}

// The least rate of a cold backend is divided by the known senders.
func TestMinColdRateIsDividedBySenders(t *testing.T) {
	gw := newTestGateway(t, testSettings(), readyBackends(2)...)
	if got, want := gw.g.coldSenders(), float64(max(testSettings().FleetSize, 1)); got != want {
		t.Errorf("%g senders by the settings, want %g", got, want)
	}
	gw.handle(FleetUpdate{QuotaDivisor: 7, ColdSenders: 9})
	if got := gw.g.coldSenders(); got != 9 {
		t.Errorf("%g senders, want 9", got)
	}
	// Budget for a cold backend that a gateway without other traffic accumulates in 20 s.
	saved := func(fleet FleetUpdate) float64 {
		set := testSettings()
		set.FleetSize, set.ColdMinCapacity, set.WarmUpTime = 2, 0.5, 30
		gw := newTestGateway(t, set, readyBackends(2)...)
		gw.handle(fleet)
		gw.handle(Backends{Kind: DeltaList, Entries: []Backend{{ID: 900, State: Ready, StartedAt: gw.now, Weight: 1}}})
		gw.now += 20
		gw.handle(TimerFired{Token: timerHousekeeping << 56})
		s := gw.g.backends[900]
		gw.g.coldBudgetAllows(s)
		return s.coldBudget
	}
	if got := saved(FleetUpdate{}); got != maxColdBudget {
		t.Errorf("one of two gateways accumulated %g sends, want %g", got, maxColdBudget)
	}
	if got, most := saved(FleetUpdate{QuotaDivisor: 7, ColdSenders: 20}), 20*minColdRate/20; got <= 0 || got > most {
		t.Errorf("one of twenty gateways accumulated %g sends, want at most %g", got, most)
	}
}

// Without a FleetUpdate a gateway sees from load reports that far more gateways send than the settings say. A little
// more load than its own is no proof, and a FleetUpdate takes precedence.
func TestSendersShowInLoadReports(t *testing.T) {
	for _, c := range []struct {
		reported, own float64 // reported requests at a backend, and own ones at both backends
		cold          int
		want          float64
	}{{0, 0, 0, 2}, {10, 0, 0, 2}, {10, 1, 0, 20}, {2, 1, 0, 2}, {2.1, 1, 0, 4.2}, {10, 1, 3, 3}} {
		set := testSettings()
		set.FleetSize = 2
		gw := newTestGateway(t, set, readyBackends(2)...)
		gw.handle(FleetUpdate{ColdSenders: c.cold})
		gw.g.meanReported, gw.g.meanInFlight = c.reported, c.own
		if got := gw.g.coldSenders(); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%g reported, %g own, FleetUpdate of %d: %g senders, want %g", c.reported, c.own, c.cold, got, c.want)
		}
	}
}
