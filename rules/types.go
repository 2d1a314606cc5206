// Package rules decides, for one gateway, what happens to each request of a
// customer that is held to a quota before a shared back end.
//
// This file is the whole interface: settings go in once, events go in one at a
// time, actions come out. Times are seconds on the clock of the caller. The
// decisions are in rules.go.
package rules

// RequestID names one try of a client at one gateway.
type RequestID uint32

// BackendID names a backend; it is the same at every gateway.
type BackendID uint32

// CustomerID names a customer.
type CustomerID uint64

// Idempotency says how often a request of a class may take effect.
type Idempotency int

// The kinds of effect.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // a group of backends drops repeats for a while
	AtMostOnce                         // must not run twice
)

// DedupeScope is the group of backends that drops repeats of a keyed request.
type DedupeScope int

// The scopes, widest first.
const (
	ScopeAll DedupeScope = iota
	ScopeZone
	ScopeCell
)

// Class is one class of requests.
type Class struct {
	LatencyObjective    float64 // an answer within this time earns the full worth
	ObjectiveWorkFactor float64 // the aim grows by this many times the request's own work
	Timeout             float64 // the client's patience over all its tries
	Value               float64
	LateValueFraction   float64 // share of the worth between aim and deadline
	Idempotency         Idempotency
	Scope               DedupeScope
	DedupeWindow        float64 // how long the scope remembers a keyed request
	Streamed            bool
}

// Plan is what a customer has bought. A rate or limit of 0 means none.
type Plan struct {
	Price                  float64 // factor on the worth of a request
	Rate                   float64 // units a second
	Burst                  float64 // units the quota's store holds at most
	MaxConcurrent          int     // attempts out at once, over all gateways
	OverQuotaValueFraction float64 // share of the worth earned beyond the quota
	OverQuotaCostFraction  float64 // share of the worth that a send beyond the quota costs
	CeilingRate            float64
	CeilingBurst           float64
	CeilingSlack           float64
}

// LoadField is one value of a backend's load report.
type LoadField int

// The values a load report can hold.
const (
	LoadOther    LoadField = iota
	LoadInFlight           // requests held
	LoadQueued
	LoadCPU
	LoadServiceMillis
	LoadServedPerSecond
	LoadErrorsPerSecond
)

// Settings is what an operator states about a deployment.
type Settings struct {
	Classes []Class
	Plans   []Plan

	Rank           int // this gateway's number among Fleet
	FleetSize      int // gateways
	CheckFrontends int // that take checks and no requests; each may be asked for any customer
	Zone           int
	Tick           float64 // events come at most this often

	SubscribeDiscovery bool // changes of the list come only when asked for
	ApproximateWeights bool // Backend.Weight says something about size
	LoadFields         []LoadField
	InlineLoadReports  bool // reports come with outcomes, not with probes alone

	HasCounter       bool
	CounterTimeout   float64
	CounterCallPrice float64
	MaxUnits         float64
	EstimatedUnits   bool // a request's units are a guess until it is answered

	CanCancel         bool
	CanProbe          bool
	CanHedge          bool // two attempts of a request may be out at once
	CanSendRetryAfter bool // clients are told how long to stay away
	MaxRetryAfter     float64
	MaxAttempts       int
	MaxOpenRequests   int
	ConnectTimeout    float64

	AnswerSlack     float64
	DrainGrace      float64
	ColdMinCapacity float64 // least share of its capacity a backend starts at
	WarmUpTime      float64 // it is warm after this time
	OverloadFactor  float64 // this many times its capacity pushes it over
	OverloadTime    float64 // when sent for this long

	CrossZonePrice float64
	WastePrice     float64
	LateFailPrice  float64
	ProbePrice     float64
}

// BackendState is what discovery says of a backend.
type BackendState int

// The states of a backend.
const (
	Removed BackendState = iota
	Ready
	Draining
)

// Backend is one entry of the list of backends.
type Backend struct {
	ID        BackendID
	Zone      int
	Kind      int
	Cell      int
	State     BackendState
	Weight    float64
	StartedAt float64 // time of its last start; 0: long ago
}

// ListKind says what a Backends event holds.
type ListKind int

// The kinds of list.
const (
	FullList   ListKind = iota // all there are
	DeltaList                  // changed entries only
	CachedList                 // all, as last known to a gateway that starts
	ListFailed                 // discovery failed; the old list stands
)

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. NeverRan tells which of them prove that nothing happened.
const (
	Served Outcome = iota
	Errored
	Overloaded
	TimedOut
	ConnectFailed
	ConnectionBroken
	Cancelled
	NotSent
)

// Event is one thing that happened to this gateway.
type Event interface{ event() }

// Backends is news from discovery.
type Backends struct {
	Kind    ListKind
	Entries []Backend
}

// Request is a client's try, which is owed one final answer.
type Request struct {
	ID           RequestID
	Customer     CustomerID
	Plan         int
	Class        int
	Units        float64
	FirstGateway int // the gateways of this customer are Gateways in a row from here
	Gateways     int
	SentAt       float64 // clock time at which the client sent it; 0: just now
	Deadline     float64 // clock time at which the client stops waiting
	IsRetry      bool    // marked by the client as another try
	Streamed     bool    // its body passes through: it can be sent once, and Deadline allows for the body till BodyWhole
}

// BodyComplete says that the body of a Streamed request has gone on whole. Its
// backend begins with it now, and its time counts from here.
type BodyComplete struct {
	Request  RequestID
	Deadline float64 // clock time at which the client stops waiting
}

// ResponseStarted says that a streamed answer has begun. In a class that is not
// Streamed it is a long one, whose first byte counts; the backend has done its work.
type ResponseStarted struct {
	Request  RequestID
	Attempt  int
	Backend  BackendID
	Duration float64
}

// AttemptEnd is the one end of an attempt.
type AttemptEnd struct {
	Request     RequestID
	Attempt     int
	Backend     BackendID
	Outcome     Outcome
	Duration    float64
	RequestDone bool    // the request is over
	QuotaUse    int     // 1 + use of the customer in percent, 0: not told
	ActualUnits float64 // true units, 0: not told
	LoadData    []float64
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	Backend  BackendID
	Outcome  Outcome
	Duration float64
	LoadData []float64
}

// ClientDisconnected says that a request is over without our answer.
type ClientDisconnected struct{ Request RequestID }

// TimerFired is a timer that is due.
type TimerFired struct{ Token uint64 }

// CounterReply answers one Count. Errored: it was added, but the total can't be
// read. Broken: the connection ended, and it may have been added.
type CounterReply struct {
	Key      uint64
	Outcome  Outcome
	Total    float64
	Duration float64
}

// LateCounterReply tells what came of a Count that had ended as TimedOut. Not every
// one is told of.
type LateCounterReply struct {
	CallID  uint64
	Outcome Outcome
	Total   float64
}

// Check asks for units of a customer's quota for something other than a request.
// Its one answer is Checked. ID is of the same space as those of requests, and
// ClientGone ends it with nothing spent.
type Check struct {
	ID           RequestID
	Customer     CustomerID
	Plan         int
	Units        float64
	FirstGateway int // as in Request
	Gateways     int
	Deadline     float64 // clock time until which it may wait for units
	Partial      bool    // fewer units will do, if not all are to be had
}

// Peek asks what is known of a customer's store. Its answer is Checked.
type Peek struct {
	ID                     RequestID
	Customer               CustomerID
	Plan                   int
	FirstGateway, Gateways int
}

// Refund hands back units of a Check that were not used. Its answer is Checked, with
// what was taken back as Granted. Whoever drives the module sees to it that a
// Check's units come back once.
type Refund struct {
	ID                     RequestID
	Customer               CustomerID
	Plan                   int
	FirstGateway, Gateways int
	Units                  float64
	Window                 float64 // of the Checked that granted them
}

// Detach takes a backend out by hand: it gets nothing more until Attach, whatever
// the list says meanwhile, and whether or not it is listed yet.
type Detach struct{ Backend BackendID }

// Attach ends a Detach. The backend counts as just started, since work on it by
// hand mostly restarts it.
type Attach struct{ Backend BackendID }

// FleetUpdate says how many gateways there are, where that is known better than by the
// settings.
type FleetUpdate struct {
	QuotaDivisor int // what is spent while the counter is away is divided by it, where a customer may come to all gateways
	ColdSenders  int // that send to a cold backend
}

// PeerMessage is data from another gateway.
type PeerMessage struct {
	From int
	Data []byte
}

func (Backends) event()           {}
func (Request) event()            {}
func (ResponseStarted) event()    {}
func (BodyComplete) event()       {}
func (AttemptEnd) event()         {}
func (ProbeResult) event()        {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (CounterReply) event()       {}
func (LateCounterReply) event()   {}
func (*Check) event()             {}
func (Peek) event()               {}
func (Refund) event()             {}
func (Detach) event()             {}
func (Attach) event()             {}
func (FleetUpdate) event()        {}
func (PeerMessage) event()        {}

// Action is one thing for the gateway to do.
type Action interface{ action() }

// Send starts the next attempt of a request. Timeout 0: the client's deadline.
type Send struct {
	Request    RequestID
	Backend    BackendID
	Timeout    float64
	AdmittedAt float64 // clock time at which its quota let it in
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Refuse is a final answer: turned away, trying again is harmless.
type Refuse struct {
	Request    RequestID
	RetryAfter float64
	Reason     Reason
	AdmittedAt float64 // as in Send; 0: it was never let in
}

// Reason says what a refused request lacked.
type Reason int

// The reasons.
const (
	QuotaExceeded  Reason = iota // units of its customer's quota, or a place among its customer's
	NoCapacity                   // a place in flight, or a backend, in time
	AttemptsFailed               // an attempt that succeeded
)

// Fail is a final answer with no promise about the effect.
type Fail struct{ Request RequestID }

// CheckResult answers a Check, Peek or Give. It comes as a pointer that is good until
// the next event.
type CheckResult struct {
	ID         RequestID
	Granted    float64 // units
	Remaining  float64 // units in the store as known here; infinite without a quota
	Exact      bool    // Remaining is the shared count as last seen, not a local share
	Shared     bool    // the units come from the shared count, not from a local share
	RetryAfter float64 // seconds until the units may be had; 0: all were granted, or none ever will
	ResetAfter float64 // seconds until the store is full, if nobody takes any
	Window     float64 // for Give
}

// SetTimer asks for a Timer event. With a Request it may be left out once that
// request is over and none of its attempts is out.
type SetTimer struct {
	Delay   float64
	Token   uint64
	Request RequestID // 0: none
}

// CounterAdd adds to a shared number and asks for its total. A name that is new
// starts at 0 and is forgotten after Keep. Call is what CounterLate names it by.
type CounterAdd struct {
	CallID uint64
	Key    uint64
	Amount float64
	TTL    float64
}

// Probe asks a backend for its load.
type Probe struct{ Backend BackendID }

// Subscribe asks discovery for changes.
type Subscribe struct{}

// Log writes a line for the operators.
type Log struct{ Text string }

func (Send) action()         {}
func (Cancel) action()       {}
func (Refuse) action()       {}
func (Fail) action()         {}
func (*CheckResult) action() {}
func (SetTimer) action()     {}
func (CounterAdd) action()   {}
func (Probe) action()        {}
func (Subscribe) action()    {}
func (Log) action()          {}
