package capacity

import (
	"cmp"
	"slices"
)

// Verdict says whether a requirement fits its budget at the target size.
type Verdict string

// Verdicts.
const (
	WithinBudget Verdict = "carried"
	OverBudget   Verdict = "over"
	Unknown      Verdict = "not known" // a slope is missing, or is not trusted at the target size
	NoBudget     Verdict = "no budget" // the size file has no limit for it
)

// Role is a process, or a part of one, that consumes resources.
type Role string

// Roles, in the order of the page.
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

// Kind is the resource or property that a requirement is about.
type Kind string

// Kinds of requirements.
const (
	State    Kind = "state"
	Messages Kind = "messages"
	Bytes    Kind = "bytes"
	CPU      Kind = "CPU"
	Memory   Kind = "memory"
	Time     Kind = "time"
)

// Requirement is what a role needs of one resource at the target size, with its verdict.
type Requirement struct {
	Role          Role     `json:"role"`
	Kind          Kind     `json:"kind"`
	Item          string   `json:"item"`
	Mechanism     string   `json:"mechanism"` // the present implementation
	Planned       string   `json:"planned,omitempty"`
	Unit          string   `json:"unit"`
	Value         *float64 `json:"value"`              // nil: unknown
	UpperBound    *float64 `json:"upper"`              // value plus the largest residual of its fits; nil: unknown
	LowerBound    *float64 `json:"at_least,omitempty"` // the known part of a sum with an unknown part
	Budget        *float64 `json:"budget"`             // nil: none
	Factor        *float64 `json:"factor,omitempty"`   // upper or lower bound divided by the budget
	Verdict       Verdict  `json:"verdict"`
	UnknownReason string   `json:"why,omitempty"` // why the value is unknown
	Comment       string   `json:"note,omitempty"`
	Measures      []string `json:"measures,omitempty"` // empty: computed from the size alone
	Trial         bool     `json:"trial,omitempty"`    // one of the measures is from a trial
}

// SlopeLine is a measured slope with its fit and its value at the target size.
type SlopeLine struct {
	Slope
	Dimension   Dimension `json:"dimension"`
	Fit         string    `json:"fit"`
	Form        Form      `json:"form"`
	RMS         float64   `json:"residual_rms"`
	MaxResidual float64   `json:"residual_worst"`
	LargestSize float64   `json:"largest_size"`
	TargetSize  float64   `json:"at_size"`
	Value       *float64  `json:"value"`           // nil: the fit is undefined at the target size
	Trusted     bool      `json:"trusted"`         // the target size is at most MaxExtrapolation times the largest measured one
	Description string    `json:"about,omitempty"` // of the measure
}

// Plan is everything that is computed for a size.
type Plan struct {
	Size         Size          `json:"size"`
	Requirements []Requirement `json:"lines"`
	Slopes       []SlopeLine   `json:"slopes"`
	Unmeasured   []string      `json:"unmeasured"` // names of measures without a slope
	Placement    Placement     `json:"placement"`
	Failures     []Failure     `json:"failures"`
}

// Compute computes the plan of a size. The size and the slopes must have been validated.
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
	plan := Plan{Size: size, Requirements: b.requirements, Placement: NewPlacement(size.Budget.ControlMachines, size.Site.Regions, size.Site.Zones)}
	plan.Slopes, plan.Unmeasured = b.slopeLines(slopes)
	plan.Failures = b.failures(plan.Placement)
	return plan
}

// RequirementsOverBudget returns the requirements that exceed their budget, the largest factor first.
func (p *Plan) RequirementsOverBudget() []Requirement {
	var over []Requirement
	for _, r := range p.Requirements {
		if r.Verdict == OverBudget {
			over = append(over, r)
		}
	}
	slices.SortStableFunc(over, func(a, b Requirement) int { return cmp.Compare(*b.Factor, *a.Factor) })
	return over
}

// UnknownRequirements returns the requirements whose value is unknown and whose lower bound does not exceed the
// budget.
func (p *Plan) UnknownRequirements() []Requirement {
	var list []Requirement
	for _, r := range p.Requirements {
		if r.Verdict == Unknown {
			list = append(list, r)
		}
	}
	return list
}

// builder collects the requirements of a plan.
type builder struct {
	size         Size
	estimates    estimates
	requirements []Requirement
}

// requirementSpec is a requirement before its verdict.
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

// add appends a requirement with its verdict.
func (b *builder) add(spec requirementSpec) {
	requirement := Requirement{
		Role: spec.role, Kind: spec.kind, Item: spec.item, Mechanism: spec.mechanism, Planned: spec.planned, Unit: spec.unit,
		Comment: spec.comment, Measures: spec.value.measures, Trial: spec.value.trial, UnknownReason: spec.value.unknownReason,
	}
	if spec.budget > 0 {
		requirement.Budget = &spec.budget
	}
	if spec.value.unknownReason == "" {
		requirement.Value, requirement.UpperBound = &spec.value.value, &spec.value.upperBound
	} else if spec.value.lowerBound > 0 {
		requirement.LowerBound = &spec.value.lowerBound
	}
	requirement.Verdict = assignVerdict(&requirement)
	b.requirements = append(b.requirements, requirement)
}

// assignVerdict sets the factor of a requirement and returns its verdict. A sum with an unknown part is over its
// budget if its known part is.
func assignVerdict(requirement *Requirement) Verdict {
	switch {
	case requirement.Value == nil && requirement.Budget != nil && requirement.LowerBound != nil && *requirement.LowerBound > *requirement.Budget:
		factor := *requirement.LowerBound / *requirement.Budget
		requirement.Factor = &factor
		return OverBudget
	case requirement.Value == nil:
		return Unknown
	case requirement.Budget == nil:
		return NoBudget
	}
	factor := *requirement.UpperBound / *requirement.Budget
	requirement.Factor = &factor
	if factor > 1 {
		return OverBudget
	}
	return WithinBudget
}

// slopeLines returns the slopes in the order of the measures, and the names of the measures without one.
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

// targetSize returns the size of the planned site in a dimension.
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

// estimate returns the value of a measure at the target size.
func (b *builder) estimate(name string) quantity {
	m, _ := findMeasure(name)
	return b.estimates.estimate(name, b.targetSize(m.Dimension))
}
