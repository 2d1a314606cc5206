package scale

import (
	"slices"
	"testing"
	"time"

	"elderyard/records"
)

var origin = time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)

func second(n int) time.Time { return origin.Add(time.Duration(n) * time.Second) }

// newLedger has three changes, asked for at seconds 10, 20 and 30.
func newLedger(t *testing.T) (ledger *Ledger, digests [4]records.Digest) {
	t.Helper()
	ledger = &Ledger{}
	catalog := NewCatalog(100, 1)
	for i := 1; i <= 3; i++ {
		operations := catalog.Edit()
		if i == 1 {
			operations = catalog.Initial()[0]
		}
		accepted := Accepted{Asked: second(10 * i), At: second(10 * i), Version: uint64(i)}
		if err := ledger.Accept(accepted, records.Change{Author: "test", Operations: operations}); err != nil {
			t.Fatal(err)
		}
		_, digests[i] = ledger.Head()
	}
	return ledger, digests
}

func life(digests [4]records.Digest, from int, empty bool, versions ...uint64) Life {
	l := Life{From: second(from), Empty: empty}
	for i, version := range versions {
		l.Advances = append(l.Advances, Advance{At: second(from + 5*i), Version: version, Digest: digests[version]})
	}
	return l
}

func TestAuditFindsEachViolation(t *testing.T) {
	ledger, digests := newLedger(t)
	good := life(digests, 11, false, 1, 2, 3)
	damaged := life(digests, 11, false, 1, 2, 3)
	damaged.Advances[1].Digest = digests[1]
	unknown := life(digests, 11, false, 1, 2, 3)
	unknown.Advances[2].Version = 7
	for name, c := range map[string]struct {
		lives []Life
		rules []Rule
	}{
		"all is well":                  {[]Life{good}, nil},
		"begins again empty":           {[]Life{good, life(digests, 40, true, 1, 3)}, nil},
		"goes back":                    {[]Life{life(digests, 11, false, 2, 1, 3)}, []Rule{NeverBack}},
		"goes back over a restart":     {[]Life{life(digests, 11, false, 1, 2), life(digests, 40, false, 1, 3)}, []Rule{NeverBack}},
		"half in force":                {[]Life{damaged}, []Rule{Whole}},
		"a version that nobody has":    {[]Life{unknown}, []Rule{Whole, Agreement}},
		"an acknowledged one is lost":  {[]Life{life(digests, 11, false, 1, 2)}, []Rule{Acknowledged}},
		"it never had any of the site": {[]Life{{From: second(1)}}, []Rule{Acknowledged}},
	} {
		t.Run(name, func(t *testing.T) {
			var rules []Rule
			for _, v := range ledger.Audit(map[string][]Life{"g": c.lives}, true) {
				rules = append(rules, v.Rule)
			}
			if !slices.Equal(rules, c.rules) {
				t.Errorf("%v, want %v", rules, c.rules)
			}
		})
	}
}

func TestLedgerRefusesWhatContradictsIt(t *testing.T) {
	ledger, _ := newLedger(t)
	operations := NewCatalog(100, 2).Edit()
	for name, accepted := range map[string]Accepted{"a version twice": {Version: 3}, "a version before": {Version: 2}} {
		if err := ledger.Accept(accepted, records.Change{Author: "test", Operations: operations}); err == nil {
			t.Errorf("%s is taken", name)
		}
	}
	conflict := uint64(1000)
	operations[0].IfVersion = &conflict
	if err := ledger.Accept(Accepted{Version: 4}, records.Change{Author: "test", Operations: operations}); err == nil {
		t.Error("a conflict is taken for accepted")
	}
}

func TestEverywhereIsTheSlowestGateway(t *testing.T) {
	ledger, digests := newLedger(t)
	fast := life(digests, 0, true, 0)
	slow := life(digests, 0, true, 0)
	for version := uint64(1); version <= 3; version++ {
		fast.Advances = append(fast.Advances, Advance{At: second(int(10*version) + 1), Version: version})
		slow.Advances = append(slow.Advances, Advance{At: second(int(10*version) + 4), Version: version})
	}
	starting := life(digests, 29, true, 0, 0, 3) // its start is over after the last change was asked for
	spread := ledger.Everywhere(map[string][]Life{"fast": {fast}, "slow": {slow}, "starting": {starting}}, time.Time{})
	if want := []time.Duration{4 * time.Second, 4 * time.Second, 4 * time.Second}; !slices.Equal(spread.Times, want) || spread.Missing != 0 {
		t.Errorf("%+v, want %v", spread, want)
	}
	starts := ledger.Starts(map[string][]Life{"starting": {starting}}, true)
	if starts.Changes != 1 || starts.Times[0] != 10*time.Second {
		t.Errorf("%+v", starts)
	}

	if late := ledger.Everywhere(map[string][]Life{"fast": {fast}}, second(30)); late.Changes != 1 {
		t.Errorf("since the last change: %+v", late)
	}
	if nobody := ledger.Everywhere(nil, time.Time{}); nobody.Changes != 0 || nobody.Missing != 0 {
		t.Errorf("without gateways: %+v", nobody)
	}

	slow.Advances = slow.Advances[:3] // it runs, and never has the last one
	if spread := ledger.Everywhere(map[string][]Life{"fast": {fast}, "slow": {slow}}, time.Time{}); spread.Changes != 2 || spread.Missing != 1 {
		t.Errorf("%+v", spread)
	}
	slow.To = second(31) // it ended before it could have it
	if spread := ledger.Everywhere(map[string][]Life{"fast": {fast}, "slow": {slow}}, time.Time{}); spread.Changes != 3 || spread.Missing != 0 {
		t.Errorf("%+v", spread)
	}
}

func TestWorstMinuteIsThatOfOneGateway(t *testing.T) {
	var samples [][]int64
	for i := range 181 { // the second gateway takes 6,000 bytes in each second of the middle minute
		samples = append(samples, []int64{int64(i) * 100, int64(min(max(i-60, 0), 60)) * 6000})
	}
	mean, worst := rates(samples)
	if mean != (100+2000)/2 || worst != 6000 {
		t.Errorf("mean %v, worst %v", mean, worst)
	}
}

func TestDayIsTheSameForItsSeed(t *testing.T) {
	day := Day(2*dayGateways, time.Minute, 7)
	counts := map[DayEventKind]int{}
	for _, event := range day {
		counts[event.Kind]++
	}
	if counts[ChangeEvent] != dayChanges || counts[FailureEvent] != 2*dayFailures || counts[RestartEvent] != 2*dayRestarts {
		t.Errorf("%v", counts)
	}
	if !slices.IsSortedFunc(day, func(a, b DayEvent) int { return int(a.At - b.At) }) || !slices.Equal(day, Day(2*dayGateways, time.Minute, 7)) {
		t.Error("it is not in order, or another one each time")
	}
}
