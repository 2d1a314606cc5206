// Package rules decides, for one gateway, what happens to each request of a customer with a quota on shared backends.
//
// This file is the whole interface: settings are passed once, events one at a time, and each event returns the
// actions to carry out. The package does no input or output and reads no clock: times are seconds on the caller's
// clock. The decisions are in rules.go.
package rules

// RequestID identifies one client request at one gateway. A retry by the client is a request of its own.
type RequestID uint32

// BackendID identifies a backend; it is the same at every gateway.
type BackendID uint32

// CustomerID identifies a customer.
type CustomerID uint64

// Idempotency is how often a request of a class may take effect.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // the backends of a DedupeScope drop duplicates within the DedupeWindow
	AtMostOnce                         // must not run twice
)

// DedupeScope is the group of backends that drops duplicates of an IdempotentByKey request.
type DedupeScope int

// The scopes, widest first.
const (
	ScopeAll DedupeScope = iota
	ScopeZone
	ScopeCell
)

// Class is one class of requests.
type Class struct {
	LatencyObjective    float64 // seconds; an answer within it earns the full Value
	ObjectiveWorkFactor float64 // the objective grows by this many times the request's own work
	Timeout             float64 // seconds that the client waits in all, over its retries
	Value               float64
	LateValueFraction   float64 // part of Value that an answer after the objective and before Timeout earns
	Idempotency         Idempotency
	Scope               DedupeScope
	DedupeWindow        float64 // seconds for which the scope remembers a key
	Streamed            bool
}

// Plan is what a customer has bought. A rate or limit of 0 means that there is none.
type Plan struct {
	Price                  float64 // factor on the Value of a request
	Rate                   float64 // units per second
	Burst                  float64 // units that the quota's token bucket holds at most
	MaxConcurrent          int     // concurrent attempts, over all gateways
	OverQuotaValueFraction float64 // part of the Value that a request beyond the quota earns
	OverQuotaCostFraction  float64 // part of the Value that sending a request beyond the quota costs
	CeilingRate            float64
	CeilingBurst           float64
	CeilingSlack           float64
}

// LoadField is one field of a backend's load report.
type LoadField int

// The fields of a load report.
const (
	LoadOther    LoadField = iota
	LoadInFlight           // requests that the backend has accepted and not answered
	LoadQueued
	LoadCPU
	LoadServiceMillis
	LoadServedPerSecond
	LoadErrorsPerSecond
)

// Settings describes a deployment, as its operator configures it. Durations are in seconds.
type Settings struct {
	Classes []Class
	Plans   []Plan

	Rank           int // index of this gateway in the fleet
	FleetSize      int // number of gateways
	CheckFrontends int // processes that answer checks and no requests; each may get checks of any customer
	Zone           int
	Tick           float64 // resolution of the clock: least interval between events

	SubscribeDiscovery bool // discovery sends changes only after a Subscribe
	ApproximateWeights bool // Backend.Weight approximates the capacity
	LoadFields         []LoadField
	InlineLoadReports  bool // load reports come with outcomes too, not only with probes

	HasCounter       bool
	CounterTimeout   float64
	CounterCallPrice float64
	MaxUnits         float64
	EstimatedUnits   bool // a request's units are an estimate until it is answered

	CanCancel         bool
	CanProbe          bool
	CanHedge          bool // two attempts of a request may be in flight at once
	CanSendRetryAfter bool // refusals may carry a Retry-After
	MaxRetryAfter     float64
	MaxAttempts       int
	MaxOpenRequests   int
	MaxCustomers      int // whose state is kept while they have no work in progress; 0: no limit
	ConnectTimeout    float64

	AnswerSlack     float64
	DrainGrace      float64
	ColdMinCapacity float64 // part of its capacity that a backend has when it starts
	WarmUpTime      float64 // time after a start until a backend has all of its capacity
	OverloadFactor  float64 // load, as a multiple of its capacity, that overloads a backend
	OverloadTime    float64 // time for which it has to last

	CrossZonePrice float64
	WastePrice     float64
	LateFailPrice  float64
	ProbePrice     float64
}

// BackendState is the state of a backend in discovery.
type BackendState int

// The states of a backend.
const (
	Removed BackendState = iota
	Ready
	Draining
)

// Backend is one entry of the backend list.
type Backend struct {
	ID        BackendID
	Zone      int
	Kind      int
	Cell      int
	State     BackendState
	Weight    float64
	StartedAt float64 // time of its last start; 0: long ago
}

// ListKind is what a Backends event contains.
type ListKind int

// The kinds of list.
const (
	FullList   ListKind = iota // all backends
	DeltaList                  // changed entries only
	CachedList                 // all backends, from the cache of a gateway that starts
	ListFailed                 // discovery failed; the previous list stays in use
)

// Outcome is how an attempt, a probe or a counter call ended.
type Outcome int

// The outcomes. NeverRan reports which of them prove that an attempt had no effect.
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

// Backends is an update of the backend list.
type Backends struct {
	Kind    ListKind
	Entries []Backend
}

// Request is a request of a client. It gets exactly one final answer: that of a backend, Refuse or Fail.
type Request struct {
	ID           RequestID
	Customer     CustomerID
	Plan         int
	Class        int
	Units        float64
	FirstGateway int // the customer may use Gateways consecutive gateways, starting with this index
	Gateways     int
	SentAt       float64 // time at which the client sent it; 0: now
	Deadline     float64 // time at which the client stops waiting
	IsRetry      bool    // the client marked it as a retry
	Streamed     bool    // forwarded as it arrives, so sent only once; Deadline includes the transfer until BodyComplete
}

// BodyComplete reports that the whole body of a Streamed request has been forwarded. The backend starts its work on
// the request now. The client's time counts from when it sent the last byte, which may be earlier.
type BodyComplete struct {
	Request  RequestID
	SentAt   float64 // time at which the client sent the last byte
	Deadline float64 // time at which the client stops waiting
}

// BodyOverdue reports that the client's time is over before the body of a Streamed request has been forwarded: the
// client has sent it, but no backend accepted it.
type BodyOverdue struct{ Request RequestID }

// ResponsePending reports that a backend has begun to give a response of unknown length. ResponseStarted follows soon if
// it turns out to be long, and AttemptEnd if it is short or fails. The request is not given up until then.
type ResponsePending struct {
	Request RequestID
	Attempt int
}

// ResponseStarted reports the first byte of a streamed response. In a class that is not Streamed the response is a
// long one, whose latency is that of its first byte: the backend has done its work.
type ResponseStarted struct {
	Request  RequestID
	Attempt  int
	Backend  BackendID
	Duration float64
}

// AttemptEnd reports the end of an attempt. There is exactly one for each attempt.
type AttemptEnd struct {
	Request     RequestID
	Attempt     int
	Backend     BackendID
	Outcome     Outcome
	Duration    float64
	RequestDone bool    // the request is over
	QuotaUse    int     // 1 + the percentage of its quota that the customer has used; 0: not reported
	ActualUnits float64 // units that the request really used; 0: not reported
	LoadData    []float64
}

// ProbeResult reports the end of a probe.
type ProbeResult struct {
	Backend  BackendID
	Outcome  Outcome
	Duration float64
	LoadData []float64
}

// ClientDisconnected reports that a request or check is over without an answer of this gateway.
type ClientDisconnected struct{ Request RequestID }

// TimerFired reports that a timer set by SetTimer is due.
type TimerFired struct{ Token uint64 }

// CounterReply answers one CounterAdd. Errored: the amount was added, but the total can't be read. ConnectionBroken:
// the connection ended, and the amount may have been added.
type CounterReply struct {
	Key      uint64
	Outcome  Outcome
	Total    float64
	Duration float64
}

// LateCounterReply reports the result of a CounterAdd that had ended as TimedOut. Not every late result is reported.
type LateCounterReply struct {
	CallID  uint64
	Outcome Outcome
	Total   float64
}

// Check requests units of a customer's quota for something other than a request. It gets exactly one answer, a
// CheckResult. IDs of checks and requests share one space, and ClientDisconnected ends a check with nothing spent.
type Check struct {
	ID           RequestID
	Customer     CustomerID
	Plan         int
	Units        float64
	FirstGateway int // as in Request
	Gateways     int
	Deadline     float64 // time until which it may wait for units
	Partial      bool    // fewer units may be granted if not all are available
}

// Peek queries the state of a customer's token bucket as known here. The answer is a CheckResult.
type Peek struct {
	ID                     RequestID
	Customer               CustomerID
	Plan                   int
	FirstGateway, Gateways int
}

// Refund returns unused units of a Check. The answer is a CheckResult whose Granted is the units taken back. The
// caller ensures that the units of a Check are returned once only.
type Refund struct {
	ID                     RequestID
	Customer               CustomerID
	Plan                   int
	FirstGateway, Gateways int
	Units                  float64
	Window                 float64 // that of the CheckResult that granted the units
}

// Detach is an operator's command to send nothing more to a backend until Attach, whatever the backend list contains
// meanwhile. The backend need not be listed yet.
type Detach struct{ Backend BackendID }

// Attach ends a Detach. The backend counts as just started, since maintenance mostly restarts it.
type Attach struct{ Backend BackendID }

// FleetUpdate gives numbers of gateways where they are known better than from the settings. A 0 means not known.
type FleetUpdate struct {
	QuotaDivisor int // divides the quota of a customer that may use all gateways, while the counter is unavailable
	ColdSenders  int // gateways that send to a cold backend
}

// PeerMessage is data from another gateway.
type PeerMessage struct {
	From int
	Data []byte
}

func (Backends) event()           {}
func (Request) event()            {}
func (ResponsePending) event()    {}
func (ResponseStarted) event()    {}
func (BodyComplete) event()       {}
func (BodyOverdue) event()        {}
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

// Action is one thing for the caller to do.
type Action interface{ action() }

// Send starts the next attempt of a request. Timeout is in seconds; 0 means the client's deadline.
type Send struct {
	Request    RequestID
	Backend    BackendID
	Timeout    float64
	AdmittedAt float64 // time at which the quota admitted the request
}

// Cancel aborts an attempt.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Refuse is a final answer: the request was rejected, and a retry is harmless.
type Refuse struct {
	Request    RequestID
	RetryAfter float64
	Reason     Reason
	AdmittedAt float64 // as in Send; 0: it was never admitted
}

// Reason is why a request was refused.
type Reason int

// The reasons.
const (
	QuotaExceeded  Reason = iota // no units left in the customer's quota, or too many concurrent attempts of the customer
	NoCapacity                   // the concurrency limit or the lack of a usable backend left it unsent for too long
	AttemptsFailed               // no attempt succeeded
)

// Fail is a final answer: the request may or may not have taken effect.
type Fail struct{ Request RequestID }

// CheckResult answers a Check, Peek or Refund. It is passed as a pointer that is valid until the next event.
type CheckResult struct {
	ID         RequestID
	Granted    float64 // units
	Remaining  float64 // units in the token bucket as known here; infinite without a quota
	Exact      bool    // Remaining is from the shared counter, as last seen, not from the local share
	Shared     bool    // the units come from the shared counter, not from the local share
	RetryAfter float64 // seconds until the units may be available; 0: all were granted, or they never will be
	ResetAfter float64 // seconds until the token bucket is full if none are spent
	Window     float64 // to be passed to Refund
}

// SetTimer requests a TimerFired event after Delay seconds. A timer with a Request may be dropped once that request is
// over and none of its attempts is in flight.
type SetTimer struct {
	Delay   float64
	Token   uint64
	Request RequestID // 0: none
}

// CounterAdd adds Amount to a number on the shared counter and requests its total. A new key starts at 0 and expires
// TTL seconds later. LateCounterReply refers to the call by CallID.
type CounterAdd struct {
	CallID uint64
	Key    uint64
	Amount float64
	TTL    float64
}

// Probe requests a load report from a backend.
type Probe struct{ Backend BackendID }

// Subscribe requests changes of the backend list from discovery.
type Subscribe struct{}

// Log writes a line to the log.
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
