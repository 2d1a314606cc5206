// Package lab runs a whole site on one machine: real gateways as processes,
// among stand-ins on loopback, under scripted load and faults, with an auditor
// that rules on what crossed the sockets. Tests use it through Start; operators
// through `elderctl lab`.
package lab

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"

	"elderyard/internal/lab/audit"
	"elderyard/internal/lab/load"
	"elderyard/internal/standin/backend"
)

// Site states a site and what is played on it. The zero value of a field means
// its default.
type Site struct {
	Gateways int           // processes
	Nodes    int           // backends
	Cores    int           // of each backend
	Cells    int           // groups of backends that drop each other's repeats
	Rate     float64       // requests a second inside the quotas
	Busy     float64       // share of what the backends can do that the rate takes
	For      time.Duration // length of the load
	Seed     uint64
	MemoryMB int // a gateway's limit
	Sockets  int // a gateway's limit
	Faults   []Fault
	Greedy   float64 // one account asks for so many times its quota, all the time
	GreedyIn string  // its plan
	Takes    float64 // share of what accounts ask for that comes as limit commands, over RESP
	Store    string  // the shared counter: "http", the platform's, or "resp"
	Export   bool    // a collector takes the gateways' stories, all of them, and metrics
	Peers    bool    // the gateways know each other
	// Every is between a gateway's probes of the others.
	Every     time.Duration
	looks     time.Duration // between looks at a gateway's picture; 0: as often as the lab bears
	Absent    int           // of the last gateways, not started at first, and not in the first roster
	RollupDir string        // folder for the gateways' rollup files; "": none
	Honour    float64       // share of clients that wait as Retry-After says; below 0: none
	Ceiling   float64       // hard ceiling on every plan, in times its quota; 0: none

	Overshoot  float64 // of a quota that is let pass, in percent of the account's burst
	SpareUnits float64 // and so many units

	// Gateway is the program to run. Empty: beside this program, or built once
	// from the checkout.
	Gateway string
	bench   bool // quick backends without bounds, plans without quotas
	// fleetSize is that in the gateways' settings; 0: as many as there are.
	fleetSize int
	unlisted  int      // of the last nodes, down and not listed at first
	neverFall bool     // cold nodes bear whatever they are sent
	fleet     *Fleet   // agents run the gateways; nil: the lab does
	others    []other  // further programs beside the gateways
	env       []string // beside the gateways' own

	// Log takes lines about what happens; nil: none.
	Log func(format string, a ...any)
}

// The defaults of a Site.
const (
	DefaultGateways = 3
	DefaultNodes    = 9
	DefaultRate     = 95
	DefaultFor      = 20 * time.Second
	DefaultBusy     = 0.65
	DefaultEvery    = 500 * time.Millisecond
	// Each gateway may spend a lease long after it was granted, and all of an
	// account's leases come to its burst at most; where a window of the counter
	// ends, the store begins full. So this much is the design's own.
	DefaultOvershoot  = 200
	DefaultSpareUnits = 2
	defaultHonour     = 0.7
	nodeCores         = 2
	benchCores        = 1000
	nodesInCell       = 4
	mostGateways      = 100
	mostNodes         = 200
	mostRate          = 5000
	mostFor           = 30 * time.Minute
	mostProduct       = 2000 // gateways times nodes: each pair has a listener
	storeHTTP         = "http"
	storeRESP         = "resp"
	exportEvery       = 250 * time.Millisecond // metrics
	benchEvery        = time.Second
	exportQueueKB     = 256
	mostTakers        = 4096                                    // connections for limit commands, of one process
	takeWorth         = 1.0                                     // of a unit, as of a lookup
	takeWithin        = 100*time.Millisecond + 2*counterTimeout // of a take that names no wait
)

func (s *Site) defaults() {
	set(&s.Gateways, DefaultGateways)
	set(&s.Nodes, DefaultNodes)
	if s.bench {
		s.Cores = benchCores
	}
	set(&s.Cores, nodeCores)
	set(&s.Cells, max(1, (s.Nodes+nodesInCell-1)/nodesInCell))
	set(&s.Rate, DefaultRate)
	set(&s.Busy, DefaultBusy)
	set(&s.For, DefaultFor)
	set(&s.Seed, 1)
	set(&s.MemoryMB, 96)
	set(&s.Sockets, 1024)
	set(&s.Honour, defaultHonour)
	set(&s.Every, DefaultEvery)
	set(&s.Overshoot, DefaultOvershoot)
	set(&s.SpareUnits, DefaultSpareUnits)
	set(&s.GreedyIn, planShapes[0].name)
	set(&s.fleetSize, s.Gateways)
	set(&s.Store, storeHTTP)
	if s.Log == nil {
		s.Log = func(string, ...any) {}
	}
}

func set[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// keyError says which key of a site is wrong, as a scenario's file names it.
type keyError struct {
	key  string // such as "fault[1].kind"
	text string
}

func (e *keyError) Error() string { return e.key + ": " + e.text }

func wrong(key, format string, a ...any) *keyError { return &keyError{key, fmt.Sprintf(format, a...)} }

// check finds what could not be played. Comparisons are written so that a figure
// that is no number fails them.
func (s *Site) check() *keyError {
	switch {
	case s.Gateways < 1 || s.Gateways > mostGateways:
		return wrong("gateways", "%d is not between 1 and %d", s.Gateways, mostGateways)
	case s.Absent < 0 || s.Absent >= s.Gateways || s.Absent > 0 && !s.Peers:
		return wrong("absent", "%d of %d gateways; it needs peers", s.Absent, s.Gateways)
	case s.Every < 100*time.Millisecond || s.Every > 10*time.Second:
		return wrong("every", "%v is not between 100ms and 10s", s.Every)
	case s.Nodes < 1 || s.Nodes > mostNodes:
		return wrong("nodes", "%d is not between 1 and %d", s.Nodes, mostNodes)
	case s.Gateways*s.Nodes > mostProduct:
		return wrong("nodes", "%d with %d gateways are %d pairs, over %d", s.Nodes, s.Gateways, s.Gateways*s.Nodes, mostProduct)
	case !(s.Rate > 0 && s.Rate <= mostRate):
		return wrong("rate", "%g is not above 0 and at most %d", s.Rate, mostRate)
	case !(s.Busy > 0 && s.Busy <= 3):
		return wrong("busy", "%g is not above 0 and at most 3", s.Busy)
	case s.For < time.Second || s.For > mostFor:
		return wrong("for", "%v is not between 1s and %v", s.For, mostFor)
	case !(s.Takes >= 0 && s.Takes <= 1):
		return wrong("takes", "%g is not between 0 and 1", s.Takes)
	case s.Store != storeHTTP && s.Store != storeRESP:
		return wrong("store", "%q is neither %q nor %q", s.Store, storeHTTP, storeRESP)
	case planIndex(s.GreedyIn) < 0:
		return wrong("greedy_in", "there is no plan %q", s.GreedyIn)
	case s.Cores < 1:
		return wrong("cores", "%d is below 1", s.Cores)
	case s.Cells < 1 || s.Cells > s.Nodes:
		return wrong("cells", "%d is not between 1 and the %d nodes", s.Cells, s.Nodes)
	}
	for _, f := range []struct {
		key   string
		value float64
	}{{"greedy", s.Greedy}, {"ceiling", s.Ceiling}, {"overshoot", s.Overshoot}, {"spare_units", s.SpareUnits}} {
		if !(f.value >= 0) {
			return wrong(f.key, "%g is below 0", f.value)
		}
	}
	for i := range s.Faults {
		if err := s.Faults[i].check(s); err != nil {
			return &keyError{fmt.Sprintf("fault[%d].%s", i, err.key), err.text}
		}
	}
	return nil
}

// The deployment that every site of the lab has. Work is scaled to the site, so
// that its rate keeps the backends as busy as asked.
const (
	lookupDeadline  = 2 * time.Second
	bookingDeadline = 3 * time.Second
	lookupAim       = 800 * time.Millisecond
	bookingAim      = time.Second
	dedupeWindow    = 2 * time.Second
	lookupShare     = 0.58
	bookingWork     = 1.55 // times a lookup's
	drainGrace      = 2 * time.Second
	ruleSlack       = 50 * time.Millisecond
	coldFrom        = 0.3
	coldFor         = 8 * time.Second
	fallMultiple    = 2.0
	fallFor         = 2 * time.Second
	keepAlive       = 15 * time.Second
	connectTimeout  = 250 * time.Millisecond
	counterTimeout  = 50 * time.Millisecond
	badOwed         = 3*time.Second + 200*time.Millisecond
)

// planShape is a plan of the lab's deployment.
type planShape struct {
	name        string
	share, rate float64
	burstS      float64 // seconds of its rate that may be used at once
	price       float64
	overCost    float64
}

func (p *planShape) burst() float64 { return p.rate * p.burstS }

// ceiling is the hard ceiling that a site puts on a plan; all 0: none.
func (s *Site) ceiling(p *planShape) (rate, burst, slack float64) {
	if s.Ceiling <= 0 {
		return 0, 0, 0
	}
	return s.Ceiling * p.rate, s.Ceiling * p.burst(), 2 + p.rate/2
}

var planShapes = []planShape{
	{"basic", 0.30, 0.8, 4.6, 0.45, 1.2},
	{"standard", 0.24, 1.5, 4.5, 0.72, 1.2},
	{"council", 0.21, 4.6, 1.8, 1.1, 1.0},
	{"enterprise", 0.25, 11.7, 1.8, 1.6, 0.5},
}

func (s *Site) plans() (plans []load.Plan) {
	for _, p := range planShapes {
		plans = append(plans, load.Plan{Name: p.name, Share: p.share, Rate: p.rate, Burst: p.burst()})
	}
	return plans
}

func (s *Site) classes() []load.Class {
	return []load.Class{{Name: "lookup", Share: lookupShare, Deadline: lookupDeadline},
		{Name: "booking", Share: 1 - lookupShare, Deadline: bookingDeadline, Keyed: true, Post: true}}
}

// work is how long requests take, so that rate and nodes fit together.
func (s *Site) work() map[string]backend.Work {
	if s.bench {
		return map[string]backend.Work{"lookup": {Mean: benchWork}, "booking": {Mean: benchWork}}
	}
	mean := s.Busy * float64(s.Nodes*s.Cores) / s.Rate
	lookup := mean / (lookupShare + bookingWork*(1-lookupShare))
	return map[string]backend.Work{
		"lookup":  {Mean: time.Duration(lookup * float64(time.Second)), CV: 0.8},
		"booking": {Mean: time.Duration(bookingWork * lookup * float64(time.Second)), CV: 0.9}}
}

// rules are what the auditor holds the gateways to.
func (s *Site) rules() audit.Rules {
	r := audit.Rules{
		Classes: []audit.Class{{Name: "lookup", Effect: audit.Safe, Aim: lookupAim, Worth: 1},
			{Name: "booking", Effect: audit.Keyed, Window: dedupeWindow, Aim: bookingAim, Worth: 3}},
		TakeWorth: takeWorth, Slack: ruleSlack, DrainGrace: drainGrace, Overshoot: s.Overshoot, SpareUnits: s.SpareUnits, BadOwed: badOwed,
		MemoryMB: s.MemoryMB, Files: s.Sockets}
	for _, p := range planShapes {
		plan := audit.Plan{Name: p.name, Rate: p.rate, Burst: p.burst(), Price: p.price, OverCost: p.overCost}
		plan.CeilingRate, plan.CeilingBurst, plan.CeilingSlack = s.ceiling(&p)
		r.Plans = append(r.Plans, plan)
	}
	return r
}

type object = map[string]any

// settings is what a gateway is told of the deployment.
func (s *Site) settings(rank int) object {
	var plans []object
	for _, p := range planShapes {
		if s.bench {
			plans = append(plans, object{"name": p.name, "pays": p.price})
			continue
		}
		plan := object{"name": p.name, "unitsPerS": p.rate, "depth": p.burst(), "pays": p.price, "beyondCosts": p.overCost, "overWorth": 0}
		if rate, burst, slack := s.ceiling(&p); rate > 0 {
			plan["neverOverRate"], plan["ceilingBurst"], plan["capSlack"] = rate, burst, slack
		}
		plans = append(plans, plan)
	}
	return object{
		"fleetSize": s.fleetSize, "rank": rank % s.fleetSize, "tickS": 0.002, "localities": zones, "locality": rank % len(zones),
		"kinds": []string{"std-2core"}, "discovery": "push", "weights": "rough",
		"loadReport": object{"how": "inline", "fields": []string{"busy_reqs", "pending"}},
		"allowed": object{"cancel": true, "connectTimeoutS": connectTimeout.Seconds(), "keepaliveS": keepAlive.Seconds(), "maxOpen": 0,
			"maxRetryAfterS": 0.5, "mayDuplicate": true, "mostTries": 4, "probes": false, "retryAfter": true},
		"classes": []object{
			{"name": "lookup", "objectiveS": lookupAim.Seconds(), "deadlineS": lookupDeadline.Seconds(), "points": 1, "effect": "repeatable"},
			{"name": "booking", "objectiveS": bookingAim.Seconds(), "deadlineS": bookingDeadline.Seconds(), "points": 3, "effect": "by_key",
				"keyScope": "cell", "windowS": dedupeWindow.Seconds()}},
		"packages":   plans,
		"familyInfo": object{"hasCounter": true, "counterTimeoutS": counterTimeout.Seconds(), "counterPrice": 0.02, "mostUnits": 1},
		"obligations": object{"answerSlackS": 0.01, "drainGraceS": drainGrace.Seconds(), "coldFrom": coldFrom, "coldS": coldFor.Seconds(),
			"fallMultiple": fallMultiple, "overloadForS": fallFor.Seconds()},
		"prices": object{"crossZone": 0.005, "waste": 0.08, "lateFail": 0.03, "probe": 0},
	}
}

// config is the file that a gateway reads.
func (s *Site) config(g *gatewayProcess, seed uint64, discovery, counter string) []byte {
	text, err := json.MarshalIndent(object{"name": g.name, "listen": g.address, "discovery": discovery, "counter": counter,
		"seed":     fmt.Sprintf("%016x", seed),
		"limits":   object{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known":    object{"generation": 0, "reset": true, "instances": []any{}},
		"settings": s.settings(g.rank)}, "", " ")
	if err != nil {
		panic(err) // it is made of nothing that could fail
	}
	return append(text, '\n')
}

// operators is the operator's file of a gateway that takes limit commands at an
// address and exports to another; it is empty where all is as by default.
func (s *Site) operators(limits, collector string, peers object) []byte {
	file := s.shared(0)
	if collector != "" {
		file["telemetry"] = object{"endpoint": "http://" + collector, "share": 1.0, "interval": exportEvery.String(), "timeout": "2s", "queue_kb": exportQueueKB}
		if s.bench {
			file["telemetry"] = object{"endpoint": "http://" + collector, "interval": benchEvery.String()} // else as by default
		}
	}
	if limits != "" {
		file["resp"] = object{"listen": limits, "most_clients": mostTakers}
	}
	if peers != nil {
		s.withPeers(file, peers)
	}
	text, err := toml.Marshal(file)
	if err != nil {
		panic(err) // it is made of nothing that could fail
	}
	return text
}

// withPeers adds to an operator's file what a gateway needs to know the others.
func (s *Site) withPeers(file object, p object) {
	p["every"], p["site"] = s.Every.String(), "lab"
	file["peers"] = p
}

// shared is what all processes of the site have in their operator's files. Fronts
// grant units beside the gateways.
func (s *Site) shared(fronts int) object {
	file := object{}
	if s.Store == storeRESP {
		file["counter"] = object{"kind": "resp"}
	}
	if s.RollupDir != "" {
		file["moments"] = object{"dir": s.RollupDir}
	}
	if fronts > 0 {
		file["quotas"] = object{"fronts": fronts}
	}
	return file
}

// Check finds what could not be played, without starting anything.
func (s *Site) Check() error {
	full := *s
	full.defaults()
	if err := full.check(); err != nil {
		return err
	}
	return nil // not a nil of another type
}
