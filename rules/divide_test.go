package rules

import (
	"math"
	"testing"
)

// While the counter is away, what a customer may spend at one gateway is its part by
// the number that members give, where it may come to all gateways; one that may come
// to some keeps to their number.
func TestLocalSharesGoByFleet(t *testing.T) {
	set := testSettings()
	set.FleetSize = 2
	for _, c := range []struct {
		share, gateways int
		want            float64
	}{
		{0, 2, 2}, // by the settings: a burst of 4 over 2
		{1, 2, 4},
		{4, 2, 1},
		{4, 1, 4}, // a customer of one gateway
		{1 << 30, 2, 1},
	} {
		d := start(t, set, some(2)...)
		if c.share > 0 {
			d.handle(FleetUpdate{QuotaDivisor: c.share, ColdSenders: 2})
		}
		if got := d.g.limitsFor(&set.Plans[0], c.gateways, 0).localBurst; got != c.want {
			t.Errorf("share by %d, %d gateways: %g units, want %g", c.share, c.gateways, got, c.want)
		}
	}
}

// What names the counter's windows must be the same at all gateways, whatever each
// believes of the others.
func TestStoreStaysExactWhateverFleetSays(t *testing.T) {
	set := testSettings()
	set.FleetSize = 2
	d := start(t, set, some(2)...)
	before := d.g.limitsFor(&set.Plans[0], 2, 0)
	d.handle(FleetUpdate{QuotaDivisor: 1 << 30, ColdSenders: 9})
	after := d.g.limitsFor(&set.Plans[0], 2, 0)
	if before.exact != after.exact || before.windowSeconds != after.windowSeconds || before.allowance != after.allowance || before.firstLease != after.firstLease {
		t.Errorf("%+v became %+v", before, after)
	}
}

// What a cold backend always gets is divided by the senders that are known.
func TestColdRoomGoesBySenders(t *testing.T) {
	d := start(t, testSettings(), some(2)...)
	if got, want := d.g.coldSenders(), float64(max(testSettings().FleetSize, 1)); got != want {
		t.Errorf("%g senders by the settings, want %g", got, want)
	}
	d.handle(FleetUpdate{QuotaDivisor: 7, ColdSenders: 9})
	if got := d.g.coldSenders(); got != 9 {
		t.Errorf("%g senders, want 9", got)
	}
	// Sends that a gateway with no others' traffic to go by saves up for a cold backend in 20 s.
	saved := func(fleet FleetUpdate) float64 {
		set := testSettings()
		set.FleetSize, set.ColdMinCapacity, set.WarmUpTime = 2, 0.5, 30
		d := start(t, set, some(2)...)
		d.handle(fleet)
		d.handle(Backends{Kind: DeltaList, Entries: []Backend{{ID: 900, State: Ready, StartedAt: d.now, Weight: 1}}})
		d.now += 20
		d.handle(TimerFired{Token: timerHousekeeping << 56})
		s := d.g.backends[900]
		d.g.coldBudgetAllows(s)
		return s.coldBudget
	}
	if got := saved(FleetUpdate{}); got != maxColdBudget {
		t.Errorf("one of two saved %g sends, want %g", got, maxColdBudget)
	}
	if got, most := saved(FleetUpdate{QuotaDivisor: 7, ColdSenders: 20}), 20*minColdRate/20; got <= 0 || got > most {
		t.Errorf("one of twenty saved %g sends, want at most %g", got, most)
	}
}

// Who is told of no others can see by the backends' load reports that far more gateways send than the settings
// name. A little more work than its own is no proof, and what members tell goes first.
func TestSendersShowInLoadReports(t *testing.T) {
	for _, c := range []struct {
		held, load float64 // requests at a backend as reported, and own ones at both
		cold       int
		want       float64
	}{{0, 0, 0, 2}, {10, 0, 0, 2}, {10, 1, 0, 20}, {2, 1, 0, 2}, {2.1, 1, 0, 4.2}, {10, 1, 3, 3}} {
		set := testSettings()
		set.FleetSize = 2
		d := start(t, set, some(2)...)
		d.handle(FleetUpdate{ColdSenders: c.cold})
		d.g.meanReported, d.g.meanInFlight = c.held, c.load
		if got := d.g.coldSenders(); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%g held, %g own, %d told of: %g senders, want %g", c.held, c.load, c.cold, got, c.want)
		}
	}
}
