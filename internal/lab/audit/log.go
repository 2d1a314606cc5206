// Package audit checks a run of the lab against its rules. Its input is the traffic on the sockets as clients and
// stand-ins recorded it. It reports which rules were kept, which were broken and the evidence, and what cannot be
// judged because the machine ran late. It does no I/O and reads no clock.
package audit

import (
	"time"
)

// Effect says how often a request of a class may take effect.
type Effect string

// Effects.
const (
	Safe  Effect = "safe"  // may run any number of times
	Keyed Effect = "keyed" // a cell drops repeats of its key for a while
	Once  Effect = "once"  // must not run twice
)

// Class is one class of requests.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // how long a cell drops repeats of a key
	Aim    time.Duration // latency within which an answer earns its worth
	Worth  float64
}

// Plan is one plan of customers. Rates are units a second; 0 means none.
type Plan struct {
	Name         string
	Rate, Burst  float64
	Price        float64
	OverCost     float64 // cost of forwarding beyond the quota, as a share of the worth
	CeilingRate  float64
	CeilingBurst float64
	CeilingSlack float64
}

// Rules are the parameters and limits for checking a run.
type Rules struct {
	Classes    []Class
	Plans      []Plan
	TakeWorth  float64       // worth of a unit granted by a limit command
	Slack      time.Duration // tolerance added to every time limit
	DrainGrace time.Duration // time after a notice before RuleDrain applies
	Overshoot  float64       // tolerated excess over a quota, in percent of the account's burst
	SpareUnits float64       // additional tolerated units, because small quotas come in whole units
	BadOwed    time.Duration // time limit for sending a bad client an error or closing its connection
	MemoryMB   int
	Files      int
}

// Outcome is the result of a try as its client saw it.
type Outcome string

// Outcomes of a try.
const (
	Served     Outcome = "served"      // 200, whole
	Refused    Outcome = "refused"     // 429 or 503
	Failed     Outcome = "failed"      // any other status
	NoAnswer   Outcome = "no answer"   // none came in time
	Closed     Outcome = "closed"      // the connection ended without a whole answer
	NotTaken   Outcome = "not taken"   // no connection was established, or it ended before the last byte was sent
	Unfinished Outcome = "unfinished"  // the run ended first
	Turned     Outcome = "turned down" // a bad client's request: an error or a close
)

// Try is one sending of a request by a client.
type Try struct {
	ID       string
	First    int // number of the first try that this belongs to
	Number   int // 0: the first itself
	Customer uint64
	Plan     int
	Class    int
	Units    float64
	Key      string
	Gateway  string
	Arrived  time.Time // when the first try was due
	Sent     time.Time // its last byte was written
	Left     time.Duration
	Over     time.Time
	Outcome  Outcome
	Status   int
	Sum      uint64 // of the body of a served answer
	Extra    bool   // more came on the connection behind the answer
	Pooled   bool   // it went out on a connection that had been used before
	Bad      string // the kind of bad client; "" for a usual one
}

// Take is one limit command: a take, or a return of units if Returns is set.
type Take struct {
	First    int    // number of the arrival that this belongs to
	Number   int    // 0: the first command of it
	Front    string // the server that the command was sent to
	Customer uint64
	Plan     int
	Token    string
	Asked    float64 // units
	Granted  float64 // units that its client learned it was granted, or returned
	Part     bool    // a partial grant is acceptable
	Returns  bool
	Arrived  time.Time // when the first command was due
	Sent     time.Time
	Left     time.Duration // time limit for an answer
	Over     time.Time
	Outcome  Outcome // Served: units were granted; Failed: an error
	Error    string
	Local    bool // granted from a local share
	Repeated bool // the answer repeats that of an earlier command
	Pooled   bool // it went out on a connection that had been used before
	Fresh    bool // it was sent on a connection of its own
}

// Attempt is one request that reached a backend whole.
type Attempt struct {
	Backend string
	Cell    int
	Gateway string
	ID      string
	Key     string
	First   time.Time // its first byte
	Whole   time.Time // its last byte
	Over    time.Time
	NotRan  bool   // the gateway was notified that the request did not run
	Ran     bool   // its work was done
	Sum     uint64 // of the body that was made for it; 0: none
}

// Notice is the delivery of the state of a backend to a gateway.
type Notice struct {
	Gateway string
	Backend string
	Ready   bool // otherwise it drains or is gone
	At      time.Time
}

// Overload is an overload of a cold backend.
type Overload struct {
	Backend     string
	At          time.Time
	Sent, Could float64        // seconds of work
	From        map[string]int // requests by gateway
}

// Window is a period during which a condition held for a gateway, or for all gateways if Gateway is "".
type Window struct {
	Gateway  string
	From, To time.Time
	By       time.Duration // delay, if the machine ran late
	What     string
}

// Process is the resource use of one gateway process.
type Process struct {
	Gateway  string
	PeakMB   float64
	Files    int // highest observed number of open descriptors
	CPU      time.Duration
	Requests int    // accepted
	Died     string // how it ended, if unexpectedly
}

// Log holds the records of a run.
type Log struct {
	From, To   time.Time // while load was on
	Tries      []Try
	Attempts   []Attempt
	Takes      []Take
	Notices    []Notice
	Overloads  []Overload
	Excused    []Window // a gateway was killed, stopped or cut off from its clients
	Uninformed []Window // a gateway was cut off from its updates
	Late       []Window // the machine ran late
	Processes  []Process
	Lost       int // records dropped because the log was full
}
