package capacity

import (
	"slices"
	"strings"
	"testing"
)

// newSlope is a slope as a file would hold it.
func newSlope(t *testing.T, measure string, points ...Point) Slope {
	t.Helper()
	m, ok := findMeasure(measure)
	if !ok {
		t.Fatalf("no measure %q", measure)
	}
	return Slope{Measure: measure, Unit: m.Unit, Command: "a test", Date: "2026-12-02", Points: points}
}

// findRequirement is the line of a plan whose item begins so.
func findRequirement(t *testing.T, plan Plan, role Role, item string) Requirement {
	t.Helper()
	i := slices.IndexFunc(plan.Requirements, func(l Requirement) bool { return l.Role == role && strings.HasPrefix(l.Item, item) })
	if i < 0 {
		t.Fatalf("no line %s: %s", role, item)
	}
	return plan.Requirements[i]
}

func TestVerdicts(t *testing.T) {
	size := repositorySize(t)
	for _, c := range []struct {
		name          string
		points        []Point
		verdict       Verdict
		value         float64
		factor        float64
		unknownReason string
	}{
		{"within the budget", []Point{{305, 3000}, {610, 3000}}, WithinBudget, 3000, 0.5, ""},
		{"exactly the budget", []Point{{610, 6000}}, WithinBudget, 6000, 1, ""},
		{"over the budget", []Point{{610, 12000}}, OverBudget, 12000, 2, ""},
		{"the fit's worst residual is over it", []Point{{305, 5000}, {610, 6900}}, OverBudget, 5950, 1.15, ""},
		{"half the size measured: trusted", []Point{{305, 600}}, WithinBudget, 600, 0.1, ""},
		{"less than half of it measured: not", []Point{{100, 600}, {304, 600}}, Unknown, 0, 0, "agent.bytes_per_second is measured up to 304 alone"},
		{"not measured", nil, Unknown, 0, 0, "agent.bytes_per_second is not measured"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var slopes []Slope
			if c.points != nil {
				slopes = append(slopes, newSlope(t, AgentBytes, c.points...))
			}
			l := findRequirement(t, Compute(size, slopes), Agent, "reports and orders")
			if l.Verdict != c.verdict || l.UnknownReason != c.unknownReason {
				t.Fatalf("%s (%s), want %s (%s)", l.Verdict, l.UnknownReason, c.verdict, c.unknownReason)
			}
			if c.verdict == Unknown {
				if l.Value != nil || l.Factor != nil {
					t.Errorf("a figure that is not known: %+v", l)
				}
				return
			}
			if !approximatelyEqual(*l.Value, c.value) || !approximatelyEqual(*l.Factor, c.factor) {
				t.Errorf("%g, factor %g; want %g, %g", *l.Value, *l.Factor, c.value, c.factor)
			}
		})
	}
}

// The figures of today's way, from the slopes that were seen.
func TestFullFileRequirements(t *testing.T) {
	size := repositorySize(t)
	plan := Compute(size, []Slope{
		newSlope(t, FileBytesPerChange, Point{26_000, 2.97e6}),
		newSlope(t, AgentBytes, Point{610, 320}),
	})
	for _, c := range []struct {
		role   Role
		item   string
		value  float64
		factor float64
	}{
		{Configuration, "whole file: all entries", 2.86e6, 2.86e6 / 262144},
		{Configuration, "whole file: mean of the day's changes", 2.97e6 * 510 / 86400, 2.97e6 * 510 / 86400 / 6000},
		{Configuration, "whole file: one change at the budget's", 495, 495.0 / 19},
		{Voter, "whole file: that at the machine's", 2.97e6 * 610 / 125e6, 2.97e6 * 610 / 125e6 / 19},
	} {
		l := findRequirement(t, plan, c.role, c.item)
		if l.Value == nil || !approximatelyEqual(*l.Value, c.value) || !approximatelyEqual(*l.Factor, c.factor) {
			t.Errorf("%s: %+v; want %g, factor %g", c.item, l, c.value, c.factor)
		}
	}
	over := plan.RequirementsOverBudget()
	for i := 1; i < len(over); i++ {
		if *over[i].Factor > *over[i-1].Factor {
			t.Errorf("%s (%g) stands behind %s (%g)", over[i].Item, *over[i].Factor, over[i-1].Item, *over[i-1].Factor)
		}
	}
	rollout := findRequirement(t, plan, Configuration, "whole file: one change by waves, with the default policy")
	if rollout.Verdict != OverBudget || rollout.Value != nil || *rollout.LowerBound != 1280 {
		t.Errorf("%+v", rollout)
	}
	// A sum of which a part is missing is over if its known part is.
	total := findRequirement(t, plan, GatewayTotal, "configuration as whole files")
	if total.Verdict != OverBudget || total.Value != nil || !approximatelyEqual(*total.LowerBound, 320+2.97e6*510/86400) {
		t.Errorf("%+v", total)
	}
	if total := findRequirement(t, plan, GatewayTotal, "configuration as records"); total.Verdict != Unknown || !approximatelyEqual(*total.LowerBound, 320) {
		t.Errorf("%+v", total)
	}
}

func TestQuotaCallsCountAsControlWhenConfigured(t *testing.T) {
	size := repositorySize(t)
	slopes := []Slope{newSlope(t, CounterCalls, Point{5, 0.25}, Point{610, 1}), newSlope(t, CounterBytes, Point{1, 150})}
	if l := findRequirement(t, Compute(size, slopes), Quotas, "calls at the peak"); l.Verdict != NoBudget {
		t.Errorf("%+v", l)
	}
	size.Assumptions.QuotaCallsAreControl = true
	size.Assumptions.GatewaysPerTenant = 5
	i := slices.IndexFunc(Compute(size, slopes).Requirements, func(l Requirement) bool { return l.Role == Quotas && l.Kind == Bytes })
	l := Compute(size, slopes).Requirements[i]
	if want := 0.25 * 150 * 170_000 / 610.0; l.Verdict != OverBudget || !approximatelyEqual(*l.Value, want) {
		t.Errorf("%+v, want %g", l, want)
	}
}

func TestUnmeasuredRequirementsAreUnknown(t *testing.T) {
	plan := Compute(repositorySize(t), nil)
	for _, l := range plan.Requirements {
		if len(l.Measures) > 0 && (l.Verdict != Unknown || l.Value != nil || l.LowerBound != nil) {
			// The soak of a rollout is arithmetic, and the known part of its sum.
			if l.Verdict == OverBudget && l.LowerBound != nil && *l.LowerBound == defaultWaves*defaultSoakSeconds {
				continue
			}
			t.Errorf("%+v", l)
		}
	}
	if len(plan.Unmeasured) != len(measures) {
		t.Errorf("%d unmeasured of %d", len(plan.Unmeasured), len(measures))
	}
}

func TestEveryMeasureIsUsed(t *testing.T) {
	used := map[string]bool{}
	for _, l := range Compute(repositorySize(t), nil).Requirements {
		for _, name := range l.Measures {
			used[name] = true
		}
	}
	seen := map[string]bool{}
	for _, m := range measures {
		if !used[m.Name] {
			t.Errorf("no line rests on %s", m.Name)
		}
		if seen[m.Name] {
			t.Errorf("%s stands twice", m.Name)
		}
		seen[m.Name] = true
	}
}

func TestPlaceControlMachines(t *testing.T) {
	for _, c := range []struct {
		machines, regions, zones int
		voters                   int
		inRegions                []int // voters
		mostInZone               int
		deciding                 int
	}{
		{6, 2, 4, 5, []int{3, 2}, 2, 1},
		{5, 2, 4, 5, []int{3, 2}, 2, 1},
		{4, 2, 2, 3, []int{2, 1}, 2, 1},
		{6, 1, 3, 5, []int{5}, 2, 1},
		{6, 3, 3, 5, []int{2, 2, 1}, 2, 0},
		{1, 2, 2, 1, []int{1, 0}, 1, 1},
		{2, 2, 2, 1, []int{1, 0}, 1, 1},
		{9, 2, 5, 5, []int{3, 2}, 1, 1},
	} {
		p := PlaceControlMachines(c.machines, c.regions, c.zones)
		if len(p.Machines) != c.machines || p.Voters != c.voters || p.MaxVotersInZone() != c.mostInZone || p.QuorumRegion() != c.deciding {
			t.Errorf("%+v: %+v, %d in a zone, region %d decides", c, p, p.MaxVotersInZone(), p.QuorumRegion())
		}
		for i, want := range c.inRegions {
			if got := p.VotersInRegion(i + 1); got != want {
				t.Errorf("%+v: %d voters in region %d, want %d", c, got, i+1, want)
			}
		}
		for _, m := range p.Machines {
			if m.Zone < 1 || m.Zone > c.zones || (m.Zone-1)%c.regions != m.Region-1 {
				t.Errorf("%+v: a machine in zone %d of region %d", c, m.Zone, m.Region)
			}
		}
	}
}

func TestFailureTextsOfUnusualSites(t *testing.T) {
	for _, change := range []func(*Size){
		func(s *Size) { s.Site.Regions, s.Site.Zones = 1, 1 },
		func(s *Size) { s.Site.Regions, s.Site.Zones = 3, 3 },
		func(s *Size) { s.Budget.ControlMachines = 1 },
		func(s *Size) { s.Failures = Failures{} },
		func(s *Size) { s.Site.Gateways, s.Assumptions.GatewaysPerTenant = 1, 1 },
	} {
		size := repositorySize(t)
		change(&size)
		for _, f := range Compute(size, nil).Failures {
			for _, text := range []string{f.Name, f.Frequency, f.Affected, f.Unaffected, f.Unavailable, f.Staleness, f.Recovery} {
				if text == "" || strings.Contains(text, "NaN") || strings.Contains(text, "Inf") || strings.Contains(text, "%!") {
					t.Errorf("%+v", f)
				}
			}
		}
	}
}
