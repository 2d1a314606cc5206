// Package audit rules on a run of the lab. It is given what crossed the
// sockets, as clients and stand-ins recorded it, and says which rules were kept,
// which were broken, by what evidence, and what can't be ruled on because the
// machine ran late. It does no I/O and reads no clock.
package audit

import (
	"time"
)

// Effect says how often a request of a class may take effect.
type Effect string

// The effects.
const (
	Safe  Effect = "safe"  // may run any number of times
	Keyed Effect = "keyed" // a cell drops repeats of its key for a while
	Once  Effect = "once"  // must not run twice
)

// Class is one class of requests.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // for how long a cell drops repeats
	Aim    time.Duration // an answer within it earns the worth
	Worth  float64
}

// Plan is one plan of customers. Rates are units a second; 0 means none.
type Plan struct {
	Name         string
	Rate, Burst  float64
	Price        float64
	OverCost     float64 // share of its worth that what is passed on beyond the quota costs
	CeilingRate  float64
	CeilingBurst float64
	CeilingSlack float64
}

// Rules are the figures that a run is held to.
type Rules struct {
	Classes    []Class
	Plans      []Plan
	TakeWorth  float64       // of a unit that a limit command is granted
	Slack      time.Duration // on every time limit
	DrainGrace time.Duration // after the news, before the rule on drains holds
	Overshoot  float64       // of a quota that is let pass, in percent of the account's burst
	SpareUnits float64       // that an account may go over beside that; small quotas come in whole units
	BadOwed    time.Duration // within it a bad client is owed an error or a close
	MemoryMB   int
	Files      int
}

// Outcome is what a client saw of a try.
type Outcome string

// The outcomes.
const (
	Served     Outcome = "served"      // 200, whole
	Refused    Outcome = "refused"     // 429 or 503
	Failed     Outcome = "failed"      // any other status
	NoAnswer   Outcome = "no answer"   // none came in time
	Closed     Outcome = "closed"      // the connection ended without a whole answer
	NotTaken   Outcome = "not taken"   // no connection came up, or it ended before the last byte
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

// Take is one limit command: a take, or with Gives what hands units back.
type Take struct {
	First    int    // number of the arrival that this belongs to
	Number   int    // 0: the first command of it
	Front    string // who was asked
	Customer uint64
	Plan     int
	Token    string
	Asked    float64 // units
	Granted  float64 // units that its client learnt that it has, or gave
	Part     bool    // fewer would do
	Returns  bool
	Arrived  time.Time // when the first command was due
	Sent     time.Time
	Left     time.Duration // within it an answer is owed
	Over     time.Time
	Outcome  Outcome // Served: units were had; Failed: an error
	Error    string
	Local    bool // from a local share
	Repeated bool // the answer of an earlier command
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
	NotRan  bool   // the gateway was told that it did not run
	Ran     bool   // its work was done
	Sum     uint64 // of the body that was made for it; 0: none
}

// Notice is one gateway that heard of a backend.
type Notice struct {
	Gateway string
	Backend string
	Ready   bool // otherwise it drains or is gone
	At      time.Time
}

// Overload is a cold backend that was pushed over.
type Overload struct {
	Backend     string
	At          time.Time
	Sent, Could float64 // seconds of work
	From        map[string]int
}

// Window is a time in which something held for a gateway, or for all ("").
type Window struct {
	Gateway  string
	From, To time.Time
	By       time.Duration // of a time in which the machine ran late: how much
	What     string
}

// Process is one gateway's use of the machine.
type Process struct {
	Gateway  string
	PeakMB   float64
	Files    int // the most open descriptors that were seen
	CPU      time.Duration
	Requests int    // taken
	Died     string // how it ended, where it was not asked to
}

// Log is all that a run left behind.
type Log struct {
	From, To   time.Time // while load was on
	Tries      []Try
	Attempts   []Attempt
	Takes      []Take
	Notices    []Notice
	Overloads  []Overload
	Excused    []Window // a gateway was killed, stopped or cut off from its clients
	Uninformed []Window // a gateway was cut off from its news
	Late       []Window // the machine ran late
	Processes  []Process
	Lost       int // records that there was no room for
}
