// Package rollup counts what a gateway does by short spans of time, and adds such counts up over all gateways of a
// site. What a large fleet does to itself shows in that sum alone: what all do in the same tenth of a second, and what
// some do that most do not. It does no I/O.
package rollup

import (
	"math"
	"time"
)

// Counts is what happened in one span. A field that is 0 is left out of a line.
type Counts struct {
	Requests int     `json:"requests,omitempty"` // taken from clients
	Sends    int     `json:"sends,omitempty"`    // attempts
	Connects int     `json:"connects,omitempty"` // dials to backends
	Calls    int     `json:"calls,omitempty"`    // to the counter
	Units    float64 `json:"units,omitempty"`    // that these told it, less what they took back
	Full     int     `json:"full,omitempty"`     // calls turned away, by the counter or before it
	Silent   int     `json:"silent,omitempty"`   // calls with no answer in time, or a broken one
	NoQuota  int     `json:"no_quota,omitempty"` // refusals, by what the request lacked
	NoPlace  int     `json:"no_place,omitempty"`
	NoAnswer int     `json:"no_answer,omitempty"`
	Failed   int     `json:"failed,omitempty"`  // answers that are neither served nor refused
	Changes  int     `json:"changes,omitempty"` // entries of the list of backends that discovery told of
}

// Line is the counts of one gateway in one span. At is Unix time in seconds, of the span's begin.
type Line struct {
	At      float64 `json:"at"`
	Gateway string  `json:"gateway"`
	Counts
}

// Tally has the span that is open. It is not safe for concurrent use.
type Tally struct {
	every float64
	emit  func(at float64, c Counts)
	at    float64
	open  Counts
}

// NewTally hands each span to emit once it is over, if anything was counted in it. Emit must not wait.
func NewTally(every time.Duration, emit func(at float64, c Counts)) *Tally {
	return &Tally{every: every.Seconds(), emit: emit}
}

// Now is the span that is open at that time, Unix time in seconds. It is good until the next call. A clock that steps
// back has the open span go on.
func (t *Tally) Now(now float64) *Counts {
	if at := math.Floor(now/t.every) * t.every; at > t.at {
		t.Flush()
		t.at = at
	}
	return &t.open
}

// Flush hands the open span on.
func (t *Tally) Flush() {
	if t.open != (Counts{}) {
		t.emit(t.at, t.open)
		t.open = Counts{}
	}
}
