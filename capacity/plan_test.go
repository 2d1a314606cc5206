package capacity

import (
	"slices"
	"strings"
	"testing"
)

// newSlope returns a valid slope of a measure.
func newSlope(t *testing.T, measure string, points ...Point) Slope {
	t.Helper()
	m, ok := findMeasure(measure)
	if !ok {
		t.Fatalf("no measure %q", measure)
	}
	return Slope{Measure: measure, Unit: m.Unit, Command: "a test", Date: "2026-12-02", Points: points}
}

// findRequirement returns the first requirement of a role whose item has this prefix.
func findRequirement(t *testing.T, plan Plan, role Role, item string) Requirement {
	t.Helper()
	i := slices.IndexFunc(plan.Requirements, func(r Requirement) bool { return r.Role == role && strings.HasPrefix(r.Item, item) })
	if i < 0 {
		t.Fatalf("no requirement %s: %s", role, item)
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
		{"upper bound over the budget", []Point{{305, 5000}, {610, 6900}}, OverBudget, 5950, 1.15, ""},
		{"measured at half the target size", []Point{{305, 600}}, WithinBudget, 600, 0.1, ""},
		{"measured below half the target size", []Point{{100, 600}, {304, 600}}, Unknown, 0, 0, "agent.bytes_per_second is measured up to 304 alone"},
		{"not measured", nil, Unknown, 0, 0, "agent.bytes_per_second is not measured"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var slopes []Slope
			if c.points != nil {
				slopes = append(slopes, newSlope(t, AgentBytes, c.points...))
			}
			r := findRequirement(t, Compute(size, slopes), Agent, "reports and orders")
			if r.Verdict != c.verdict || r.UnknownReason != c.unknownReason {
				t.Fatalf("%s (%s), want %s (%s)", r.Verdict, r.UnknownReason, c.verdict, c.unknownReason)
			}
			if c.verdict == Unknown {
				if r.Value != nil || r.Factor != nil {
					t.Errorf("an unknown requirement has a value or factor: %+v", r)
				}
				return
			}
			if !approximatelyEqual(*r.Value, c.value) || !approximatelyEqual(*r.Factor, c.factor) {
				t.Errorf("%g, factor %g; want %g, %g", *r.Value, *r.Factor, c.value, c.factor)
			}
		})
	}
}

// Requirements of the present distribution of whole files, computed from measured slopes.
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
		r := findRequirement(t, plan, c.role, c.item)
		if r.Value == nil || !approximatelyEqual(*r.Value, c.value) || !approximatelyEqual(*r.Factor, c.factor) {
			t.Errorf("%s: %+v; want %g, factor %g", c.item, r, c.value, c.factor)
		}
	}
	over := plan.RequirementsOverBudget()
	for i := 1; i < len(over); i++ {
		if *over[i].Factor > *over[i-1].Factor {
			t.Errorf("%s (%g) is listed after %s (%g)", over[i].Item, *over[i].Factor, over[i-1].Item, *over[i-1].Factor)
		}
	}
	rollout := findRequirement(t, plan, Configuration, "whole file: one change by waves, with the default policy")
	if rollout.Verdict != OverBudget || rollout.Value != nil || *rollout.LowerBound != 1280 {
		t.Errorf("%+v", rollout)
	}
	// A sum with an unknown part is over its budget if its known part is.
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
	if r := findRequirement(t, Compute(size, slopes), Quotas, "calls at the peak"); r.Verdict != NoBudget {
		t.Errorf("%+v", r)
	}
	size.Assumptions.QuotaCallsAreControl = true
	size.Assumptions.GatewaysPerTenant = 5
	i := slices.IndexFunc(Compute(size, slopes).Requirements, func(r Requirement) bool { return r.Role == Quotas && r.Kind == Bytes })
	r := Compute(size, slopes).Requirements[i]
	if want := 0.25 * 150 * 170_000 / 610.0; r.Verdict != OverBudget || !approximatelyEqual(*r.Value, want) {
		t.Errorf("%+v, want %g", r, want)
	}
}

// A requirement that depends on a measure without a slope must be unknown rather than get a default value.
func TestUnmeasuredRequirementsAreUnknown(t *testing.T) {
	plan := Compute(repositorySize(t), nil)
	for _, r := range plan.Requirements {
		if len(r.Measures) > 0 && (r.Verdict != Unknown || r.Value != nil || r.LowerBound != nil) {
			// The soak time of a rollout is known without any slope and is the lower bound of the sum.
			if r.Verdict == OverBudget && r.LowerBound != nil && *r.LowerBound == defaultWaves*defaultSoakSeconds {
				continue
			}
			t.Errorf("%+v", r)
		}
	}
	if len(plan.Unmeasured) != len(measures) {
		t.Errorf("%d unmeasured of %d", len(plan.Unmeasured), len(measures))
	}
}

func TestEveryMeasureIsUsed(t *testing.T) {
	used := map[string]bool{}
	for _, r := range Compute(repositorySize(t), nil).Requirements {
		for _, name := range r.Measures {
			used[name] = true
		}
	}
	seen := map[string]bool{}
	for _, m := range measures {
		if !used[m.Name] {
			t.Errorf("no requirement uses %s", m.Name)
		}
		if seen[m.Name] {
			t.Errorf("%s is listed twice", m.Name)
		}
		seen[m.Name] = true
	}
}

func TestNewPlacement(t *testing.T) {
	for _, c := range []struct {
		machines, regions, zones int
		voters                   int
		inRegions                []int // voters
		maxInZone                int
		quorumRegion             int
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
		p := NewPlacement(c.machines, c.regions, c.zones)
		if len(p.Machines) != c.machines || p.Voters != c.voters || p.MaxVotersInZone() != c.maxInZone || p.QuorumRegion() != c.quorumRegion {
			t.Errorf("%+v: %+v, up to %d voters in a zone, region %d has a quorum", c, p, p.MaxVotersInZone(), p.QuorumRegion())
		}
		for i, want := range c.inRegions {
			if got := p.VotersInRegion(i + 1); got != want {
				t.Errorf("%+v: %d voters in region %d, want %d", c, got, i+1, want)
			}
		}
		for _, m := range p.Machines {
			if m.Zone < 1 || m.Zone > c.zones || (m.Zone-1)%c.regions != m.Region-1 {
				t.Errorf("%+v: machine in zone %d of region %d", c, m.Zone, m.Region)
			}
		}
	}
}

// Sites with a single region, zone, gateway or control machine, or without failures, must not lead to divisions
// by zero or formatting errors in the texts.
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
