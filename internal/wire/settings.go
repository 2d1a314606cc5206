package wire

import (
	"bytes"
	"encoding/json"
	"fmt"

	"elderyard/rules"
)

// options is the JSON of an Attach record. Unknown keys are ignored. An error about a
// value of a wrong type has the name of this type in its text, which operators see.
type options struct {
	Allowed struct {
		Cancel          bool    `json:"cancel"`
		ConnectTimeoutS float64 `json:"connectTimeoutS"`
		KeepaliveS      float64 `json:"keepaliveS"`
		MaxOpen         int     `json:"maxOpen"`
		MaxRetryAfterS  float64 `json:"maxRetryAfterS"`
		MayDuplicate    bool    `json:"mayDuplicate"`
		MaxAttempts     int     `json:"mostTries"`
		Probes          bool    `json:"probes"`
		RetryAfter      bool    `json:"retryAfter"`
	} `json:"allowed"`
	Classes []struct {
		ObjectiveWorkFactor float64 `json:"aimStretch"`
		DeadlineS           float64 `json:"deadlineS"`
		Effect              string  `json:"effect"`
		KeyScope            string  `json:"keyScope"`
		LateValue           float64 `json:"lateWorth"`
		Name                string  `json:"name"`
		ObjectiveS          float64 `json:"objectiveS"`
		Points              float64 `json:"points"`
		Streamed            bool    `json:"streamed"`
		WindowS             float64 `json:"windowS"`
	} `json:"classes"`
	Discovery  string `json:"discovery"`
	FamilyInfo struct {
		CounterPrice    float64 `json:"counterPrice"`
		CounterTimeoutS float64 `json:"counterTimeoutS"`
		HasCounter      bool    `json:"hasCounter"`
		MaxUnits        float64 `json:"mostUnits"`
		TruedUp         bool    `json:"truedUp"`
	} `json:"familyInfo"`
	FleetSize  int `json:"fleetSize"`
	LoadReport struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	} `json:"loadReport"`
	Kinds       []string `json:"kinds"`
	Localities  []string `json:"localities"`
	Locality    int      `json:"locality"`
	Obligations struct {
		AnswerSlackS float64 `json:"answerSlackS"`
		ColdFrom     float64 `json:"coldFrom"`
		ColdS        float64 `json:"coldS"`
		DrainGraceS  float64 `json:"drainGraceS"`
		FallMultiple float64 `json:"fallMultiple"`
		OverloadForS float64 `json:"overloadForS"`
	} `json:"obligations"`
	Packages []struct {
		AtOnce         float64 `json:"atOnce"`
		BeyondCosts    float64 `json:"beyondCosts"`
		CapSlack       float64 `json:"capSlack"`
		CeilingBurst   float64 `json:"ceilingBurst"`
		Depth          float64 `json:"depth"`
		Name           string  `json:"name"`
		NeverOverRate  float64 `json:"neverOverRate"`
		OverQuotaValue float64 `json:"overWorth"`
		Pays           float64 `json:"pays"`
		UnitsPerS      float64 `json:"unitsPerS"`
	} `json:"packages"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
		LateFail  float64 `json:"lateFail"`
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
	} `json:"prices"`
	Rank    int     `json:"rank"`
	TickS   float64 `json:"tickS"`
	Weights string  `json:"weights"`
}

var effects = map[string]rules.Idempotency{"": rules.Idempotent, "repeatable": rules.Idempotent,
	"by_key": rules.IdempotentByKey, "once": rules.AtMostOnce}

var scopes = map[string]rules.DedupeScope{"": rules.ScopeAll, "all": rules.ScopeAll,
	"zone": rules.ScopeZone, "cell": rules.ScopeCell}

var loadFields = map[string]rules.LoadField{"busy_reqs": rules.LoadInFlight, "pending": rules.LoadQueued,
	"cpu_share": rules.LoadCPU, "svc_ms": rules.LoadServiceMillis,
	"served_ps": rules.LoadServedPerSecond, "failed_ps": rules.LoadErrorsPerSecond}

// Deployment is the content of the settings: what package rules needs, and the names that
// are used on sockets for the same classes, plans, zones and kinds, in the same order.
type Deployment struct {
	rules.Settings
	ClassNames, PlanNames, Zones, Kinds []string
	KeepaliveTimeout                    float64 // seconds after which idle connections are closed
}

// ParseSettings parses the settings of an Attach record.
func ParseSettings(text []byte) (rules.Settings, error) {
	d, err := ParseDeployment(text)
	return d.Settings, err
}

// ParseDeployment parses the settings together with the names.
func ParseDeployment(text []byte) (Deployment, error) {
	var o options
	if err := json.Unmarshal(text, &o); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	d := Deployment{Zones: o.Localities, Kinds: o.Kinds, KeepaliveTimeout: o.Allowed.KeepaliveS}
	for _, c := range o.Classes {
		d.ClassNames = append(d.ClassNames, c.Name)
	}
	for _, p := range o.Packages {
		d.PlanNames = append(d.PlanNames, p.Name)
	}
	var err error
	d.Settings, err = o.settings()
	return d, err
}

// settings converts the options to the settings of package rules.
func (o *options) settings() (rules.Settings, error) {
	s := o.scalars()
	for _, c := range o.Classes {
		effect, known := effects[c.Effect]
		if !known {
			return s, fmt.Errorf("settings: effect %q is not known", c.Effect)
		}
		scope, known := scopes[c.KeyScope]
		if !known && effect == rules.IdempotentByKey {
			return s, fmt.Errorf("settings: key scope %q is not known", c.KeyScope)
		}
		s.Classes = append(s.Classes, rules.Class{LatencyObjective: c.ObjectiveS, ObjectiveWorkFactor: c.ObjectiveWorkFactor,
			Timeout: c.DeadlineS, Value: c.Points, LateValueFraction: c.LateValue, Idempotency: effect,
			Scope: scope, DedupeWindow: c.WindowS, Streamed: c.Streamed})
	}
	for _, p := range o.Packages {
		s.Plans = append(s.Plans, rules.Plan{Price: p.Pays, Rate: p.UnitsPerS, Burst: p.Depth,
			MaxConcurrent: int(p.AtOnce), OverQuotaValueFraction: p.OverQuotaValue, OverQuotaCostFraction: p.BeyondCosts,
			CeilingRate: p.NeverOverRate, CeilingBurst: p.CeilingBurst, CeilingSlack: p.CapSlack})
	}
	if len(s.Classes) == 0 || len(s.Plans) == 0 {
		return s, fmt.Errorf("settings: no classes or no packages")
	}
	return s, nil
}

// scalars converts the settings other than classes and plans.
func (o *options) scalars() rules.Settings {
	s := rules.Settings{
		Rank: o.Rank, FleetSize: o.FleetSize, Zone: o.Locality, Tick: o.TickS,
		SubscribeDiscovery: o.Discovery == "ask",
		ApproximateWeights: o.Weights == "rough" || o.Weights == "nominal",
		InlineLoadReports:  o.LoadReport.How == "inline",

		HasCounter:       o.FamilyInfo.HasCounter,
		CounterTimeout:   o.FamilyInfo.CounterTimeoutS,
		CounterCallPrice: o.FamilyInfo.CounterPrice,
		MaxUnits:         o.FamilyInfo.MaxUnits,
		EstimatedUnits:   o.FamilyInfo.TruedUp,

		CanCancel: o.Allowed.Cancel, CanProbe: o.Allowed.Probes, CanHedge: o.Allowed.MayDuplicate,
		CanSendRetryAfter: o.Allowed.RetryAfter, MaxRetryAfter: o.Allowed.MaxRetryAfterS,
		MaxAttempts: o.Allowed.MaxAttempts, MaxOpenRequests: o.Allowed.MaxOpen,
		ConnectTimeout: o.Allowed.ConnectTimeoutS,

		AnswerSlack: o.Obligations.AnswerSlackS, DrainGrace: o.Obligations.DrainGraceS,
		ColdMinCapacity: o.Obligations.ColdFrom, WarmUpTime: o.Obligations.ColdS,
		OverloadFactor: o.Obligations.FallMultiple, OverloadTime: o.Obligations.OverloadForS,

		CrossZonePrice: o.Prices.CrossZone, WastePrice: o.Prices.Waste,
		LateFailPrice: o.Prices.LateFail, ProbePrice: o.Prices.Probe,
	}
	for _, f := range o.LoadReport.Fields {
		s.LoadFields = append(s.LoadFields, loadFields[f])
	}
	return s
}

// CheckKeys returns an error about the first unknown key of the settings. It is for files
// that people write; what the platform sends may have keys that this version doesn't know.
func CheckKeys(text []byte) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&options{}); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}
