package scale

import (
	"slices"
	"testing"
	"time"

	"elderyard/records"
)

var startOfDay = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

// second returns the time n seconds after startOfDay.
func second(n int) time.Time { return startOfDay.Add(time.Duration(n) * time.Second) }

// newLedger returns a ledger with three changes, requested at seconds 10, 20 and 30, and their digests.
func newLedger(t *testing.T) (ledger *Ledger, digests [4]records.Digest) {
	t.Helper()
	ledger = &Ledger{}
	catalog := NewCatalog(100, 1)
	for i := 1; i <= 3; i++ {
		operations := catalog.Edit()
		if i == 1 {
			operations = catalog.Initial()[0]
		}
		accepted := AcceptedChange{RequestedAt: second(10 * i), AcknowledgedAt: second(10 * i), Version: uint64(i)}
		if err := ledger.Accept(accepted, records.Change{Author: "test", Operations: operations}); err != nil {
			t.Fatal(err)
		}
		_, digests[i] = ledger.Head()
	}
	return ledger, digests
}

// newRun returns a run that starts at a second and activates one version every 5 seconds from then on.
func newRun(digests [4]records.Digest, start int, coldStart bool, versions ...uint64) Run {
	run := Run{Start: second(start), ColdStart: coldStart}
	for i, version := range versions {
		run.Activations = append(run.Activations, Activation{At: second(start + 5*i), Version: version, Digest: digests[version]})
	}
	return run
}

// TestCheckFindsEachViolation checks that each kind of faulty history breaks its rule, and a valid one breaks none.
func TestCheckFindsEachViolation(t *testing.T) {
	ledger, digests := newLedger(t)
	valid := newRun(digests, 11, false, 1, 2, 3)
	altered := newRun(digests, 11, false, 1, 2, 3)
	altered.Activations[1].Digest = digests[1]
	unknown := newRun(digests, 11, false, 1, 2, 3)
	unknown.Activations[2].Version = 7
	for name, c := range map[string]struct {
		runs  []Run
		rules []Rule
	}{
		"no violation":                     {[]Run{valid}, nil},
		"restart with empty disk":          {[]Run{valid, newRun(digests, 40, true, 1, 3)}, nil},
		"version decreases":                {[]Run{newRun(digests, 11, false, 2, 1, 3)}, []Rule{NoRollback}},
		"version decreases across restart": {[]Run{newRun(digests, 11, false, 1, 2), newRun(digests, 40, false, 1, 3)}, []Rule{NoRollback}},
		"digest of another version":        {[]Run{altered}, []Rule{Integrity}},
		"unacknowledged version":           {[]Run{unknown}, []Rule{Integrity, Convergence}},
		"acknowledged version lost":        {[]Run{newRun(digests, 11, false, 1, 2)}, []Rule{Durability}},
		"no version":                       {[]Run{{Start: second(1)}}, []Rule{Durability}},
	} {
		t.Run(name, func(t *testing.T) {
			var rules []Rule
			for _, v := range ledger.Check(map[string][]Run{"g": c.runs}, true) {
				rules = append(rules, v.Rule)
			}
			if !slices.Equal(rules, c.rules) {
				t.Errorf("violated rules %v, want %v", rules, c.rules)
			}
		})
	}
}

// TestLedgerRejectsInconsistentChanges checks that the ledger rejects acknowledged changes that contradict its state.
func TestLedgerRejectsInconsistentChanges(t *testing.T) {
	ledger, _ := newLedger(t)
	operations := NewCatalog(100, 2).Edit()
	for name, accepted := range map[string]AcceptedChange{"same version twice": {Version: 3}, "earlier version": {Version: 2}} {
		if err := ledger.Accept(accepted, records.Change{Author: "test", Operations: operations}); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	conflict := uint64(1000)
	operations[0].IfVersion = &conflict
	if err := ledger.Accept(AcceptedChange{Version: 4}, records.Change{Author: "test", Operations: operations}); err == nil {
		t.Error("change with a conflict: accepted")
	}
}

// TestPropagationTimeIsThatOfTheSlowestGateway checks that only runs that had caught up count, that an active run
// without the change makes it incomplete, and that a run that ended before does not.
func TestPropagationTimeIsThatOfTheSlowestGateway(t *testing.T) {
	ledger, digests := newLedger(t)
	fast := newRun(digests, 0, true, 0)
	slow := newRun(digests, 0, true, 0)
	for version := uint64(1); version <= 3; version++ {
		fast.Activations = append(fast.Activations, Activation{At: second(int(10*version) + 1), Version: version})
		slow.Activations = append(slow.Activations, Activation{At: second(int(10*version) + 4), Version: version})
	}
	starting := newRun(digests, 29, true, 0, 0, 3) // catches up only after the last change was requested
	durations := ledger.PropagationTimes(map[string][]Run{"fast": {fast}, "slow": {slow}, "starting": {starting}}, time.Time{})
	if want := []time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second}; !slices.Equal(durations.Sorted, want) || durations.Incomplete != 0 {
		t.Errorf("%+v, want durations %v", durations, want)
	}
	catchUp := ledger.CatchUpTimes(map[string][]Run{"starting": {starting}}, true)
	if catchUp.Count != 1 || catchUp.Sorted[0] != 10*time.Second {
		t.Errorf("%+v", catchUp)
	}

	if recent := ledger.PropagationTimes(map[string][]Run{"fast": {fast}}, second(30)); recent.Count != 1 {
		t.Errorf("since the last change: %+v", recent)
	}
	if none := ledger.PropagationTimes(nil, time.Time{}); none.Count != 0 || none.Incomplete != 0 {
		t.Errorf("without gateways: %+v", none)
	}

	slow.Activations = slow.Activations[:3] // still running, without the last change
	if durations := ledger.PropagationTimes(map[string][]Run{"fast": {fast}, "slow": {slow}}, time.Time{}); durations.Count != 2 || durations.Incomplete != 1 {
		t.Errorf("%+v", durations)
	}
	slow.End = second(31) // ended before it had the last change
	if durations := ledger.PropagationTimes(map[string][]Run{"fast": {fast}, "slow": {slow}}, time.Time{}); durations.Count != 3 || durations.Incomplete != 0 {
		t.Errorf("%+v", durations)
	}
}

// TestWorstMinuteIsThatOfOneGateway checks that the highest rate is not averaged over the gateways.
func TestWorstMinuteIsThatOfOneGateway(t *testing.T) {
	var samples [][]int64
	for i := range 181 { // the second gateway transfers 6,000 bytes in each second of the middle minute
		samples = append(samples, []int64{int64(i) * 100, int64(min(max(i-60, 0), 60)) * 6000})
	}
	mean, worst := rates(samples)
	if mean != (100+2000)/2 || worst != 6000 {
		t.Errorf("mean %v, worst %v", mean, worst)
	}
}

// TestDayIsDeterministic checks the number and order of a day's events, and that a seed always gives the same day.
func TestDayIsDeterministic(t *testing.T) {
	day := Day(2*dayGateways, time.Minute, 7)
	counts := map[DayEventKind]int{}
	for _, event := range day {
		counts[event.Kind]++
	}
	if counts[ChangeEvent] != dayChanges || counts[FailureEvent] != 2*dayFailures || counts[RestartEvent] != 2*dayRestarts {
		t.Errorf("event counts %v", counts)
	}
	if !slices.IsSortedFunc(day, func(a, b DayEvent) int { return int(a.At - b.At) }) || !slices.Equal(day, Day(2*dayGateways, time.Minute, 7)) {
		t.Error("events are not sorted or differ for the same seed")
	}
}
