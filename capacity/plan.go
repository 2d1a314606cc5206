package capacity

import (
	"cmp"
	"slices"
)

// Verdict is what becomes of a requirement at the size.
type Verdict string

// The verdicts.
const (
	WithinBudget Verdict = "carried"
	OverBudget   Verdict = "over"
	Unknown      Verdict = "not known" // a slope is missing, or does not reach so far
	NoBudget     Verdict = "no budget" // nothing says what it may be
)

// Role is a process, or a part of one, that a site pays for.
type Role string

// The roles, in the order of the page.
const (
	RequestPath   Role = "gateway: request path"
	Membership    Role = "gateway: membership"
	Discovery     Role = "gateway: discovery"
	Configuration Role = "gateway: configuration"
	Quotas        Role = "gateway: quotas"
	Agent         Role = "agent"
	GatewayTotal  Role = "gateway: all control"
	Voter         Role = "voter and its leader"
	Counter       Role = "counter"
	Registry      Role = "discovery"
	Tool          Role = "operator's tool"
)

// Kind is what a line is about.
type Kind string

// The kinds of lines.
const (
	State    Kind = "state"
	Messages Kind = "messages"
	Bytes    Kind = "bytes"
	CPU      Kind = "CPU"
	Memory   Kind = "memory"
	Time     Kind = "time"
)

// Requirement is one requirement of a role at the size.
type Requirement struct {
	Role          Role     `json:"role"`
	Kind          Kind     `json:"kind"`
	Item          string   `json:"item"`
	Mechanism     string   `json:"mechanism"` // what carries it today
	Planned       string   `json:"planned,omitempty"`
	Unit          string   `json:"unit"`
	Value         *float64 `json:"value"`              // absent: not known
	UpperBound    *float64 `json:"upper"`              // value plus the fit's largest residual
	LowerBound    *float64 `json:"at_least,omitempty"` // the known part of a sum that is not known
	Budget        *float64 `json:"budget"`             // absent: there is none
	Factor        *float64 `json:"factor,omitempty"`   // upper, or at least, over budget
	Verdict       Verdict  `json:"verdict"`
	UnknownReason string   `json:"why,omitempty"` // where it is not known
	Comment       string   `json:"note,omitempty"`
	Measures      []string `json:"measures,omitempty"` // none: arithmetic from the size alone
	Trial         bool     `json:"trial,omitempty"`    // one of these is a trial
}

// SlopeLine is one measured slope with its fit and its value at the size.
type SlopeLine struct {
	Slope
	Dimension   Dimension `json:"dimension"`
	Fit         string    `json:"fit"`
	Form        Form      `json:"form"`
	RMS         float64   `json:"residual_rms"`
	MaxResidual float64   `json:"residual_worst"`
	LargestSize float64   `json:"largest_size"`
	TargetSize  float64   `json:"at_size"`
	Value       *float64  `json:"value"`           // absent: the form says nothing of the size
	Trusted     bool      `json:"trusted"`         // the size is within TrustedReach of the largest measured
	Description string    `json:"about,omitempty"` // of the measure
}

// Plan is all that is worked out for a size.
type Plan struct {
	Size         Size          `json:"size"`
	Requirements []Requirement `json:"lines"`
	Slopes       []SlopeLine   `json:"slopes"`
	Unmeasured   []string      `json:"unmeasured"` // measures without a slope
	Placement    Placement     `json:"placement"`
	Failures     []Failure     `json:"failures"`
}

// Compute works a plan out. Size and slopes have been validated.
func Compute(size Size, slopes []Slope) Plan {
	b := &builder{size: size, estimates: newEstimates(slopes)}
	b.requestPath()
	b.membership()
	b.discovery()
	b.configuration()
	b.quotas()
	b.agent()
	b.gatewayTotal()
	b.voter()
	b.counter()
	b.registry()
	b.tool()
	plan := Plan{Size: size, Requirements: b.lines, Placement: PlaceControlMachines(size.Budget.ControlMachines, size.Site.Regions, size.Site.Zones)}
	plan.Slopes, plan.Unmeasured = b.slopeLines(slopes)
	plan.Failures = b.failures(plan.Placement)
	return plan
}

// RequirementsOverBudget are the lines that are over their budget, by factor, largest first.
func (p *Plan) RequirementsOverBudget() []Requirement {
	var over []Requirement
	for _, l := range p.Requirements {
		if l.Verdict == OverBudget {
			over = append(over, l)
		}
	}
	slices.SortStableFunc(over, func(a, b Requirement) int { return cmp.Compare(*b.Factor, *a.Factor) })
	return over
}

// UnknownRequirements are the lines for which a slope is missing.
func (p *Plan) UnknownRequirements() []Requirement {
	var list []Requirement
	for _, l := range p.Requirements {
		if l.Verdict == Unknown {
			list = append(list, l)
		}
	}
	return list
}

// builder collects the lines of a plan.
type builder struct {
	size      Size
	estimates estimates
	lines     []Requirement
}

// requirementSpec is a line before its verdict.
type requirementSpec struct {
	role      Role
	kind      Kind
	item      string
	mechanism string
	planned   string
	unit      string
	value     quantity
	budget    float64 // 0: none
	comment   string
}

func (b *builder) add(r requirementSpec) {
	line := Requirement{
		Role: r.role, Kind: r.kind, Item: r.item, Mechanism: r.mechanism, Planned: r.planned, Unit: r.unit,
		Comment: r.comment, Measures: r.value.measures, Trial: r.value.trial, UnknownReason: r.value.unknownReason,
	}
	if r.budget > 0 {
		line.Budget = &r.budget
	}
	if r.value.unknownReason == "" {
		line.Value, line.UpperBound = &r.value.value, &r.value.upperBound
	} else if r.value.lowerBound > 0 {
		line.LowerBound = &r.value.lowerBound
	}
	line.Verdict = assignVerdict(&line)
	b.lines = append(b.lines, line)
}

// assignVerdict sets the factor and rules by it. A sum of which a part is not known is
// over its budget if the known part is.
func assignVerdict(line *Requirement) Verdict {
	switch {
	case line.Value == nil && line.Budget != nil && line.LowerBound != nil && *line.LowerBound > *line.Budget:
		factor := *line.LowerBound / *line.Budget
		line.Factor = &factor
		return OverBudget
	case line.Value == nil:
		return Unknown
	case line.Budget == nil:
		return NoBudget
	}
	factor := *line.UpperBound / *line.Budget
	line.Factor = &factor
	if factor > 1 {
		return OverBudget
	}
	return WithinBudget
}

// slopeLines are the slopes in the order of the measures, and the measures
// without one.
func (b *builder) slopeLines(slopes []Slope) (lines []SlopeLine, unmeasured []string) {
	for _, m := range measures {
		f, measured := b.estimates.slopes[m.Name]
		if !measured {
			unmeasured = append(unmeasured, m.Name)
			continue
		}
		line := SlopeLine{
			Slope: f.slope, Dimension: m.Dimension, Form: f.fit.Form, Fit: f.fit.String(), RMS: f.fit.RMS, MaxResidual: f.fit.MaxResidual,
			LargestSize: f.fit.LargestSize, TargetSize: b.targetSize(m.Dimension), Description: m.Description,
		}
		line.Trusted = line.TargetSize <= line.LargestSize*MaxExtrapolation
		if value, ok := f.fit.At(line.TargetSize); ok {
			line.Value = &value
		}
		lines = append(lines, line)
	}
	return lines, unmeasured
}

// targetSize is the size that a dimension is to reach.
func (b *builder) targetSize(d Dimension) float64 {
	site := &b.size.Site
	switch d {
	case Gateways:
		return float64(site.Gateways)
	case Records:
		return float64(b.size.Entries())
	case SiteBackends:
		return float64(site.Backends)
	case CandidateBackends:
		return b.largestServiceBackends()
	case GatewaysPerTenant:
		return float64(b.size.Assumptions.GatewaysPerTenant)
	}
	return 1
}

// estimate is a measure's figure at the size.
func (b *builder) estimate(name string) quantity {
	m, _ := findMeasure(name)
	return b.estimates.estimate(name, b.targetSize(m.Dimension))
}
