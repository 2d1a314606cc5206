// Package rollup counts the operations of a gateway in short intervals of time, and aggregates these counts over all
// gateways of a site. Only the aggregate shows some effects of a large fleet: operations of all gateways in the same
// tenth of a second, and operations of a few gateways only. The package does no I/O.
package rollup

import (
	"math"
	"time"
)

// Counts holds the counts of one gateway in one interval. Fields that are 0 are omitted from a line.
type Counts struct {
	Requests        int     `json:"requests,omitempty"` // accepted from clients
	Attempts        int     `json:"sends,omitempty"`    // started at backends
	Dials           int     `json:"connects,omitempty"` // to backends
	CounterCalls    int     `json:"calls,omitempty"`    // to the shared counter
	Units           float64 `json:"units,omitempty"`    // reported to the counter by these calls, less refunds
	CallsRejected   int     `json:"full,omitempty"`     // rejected by the counter, or before they were sent
	CallsUnanswered int     `json:"silent,omitempty"`   // without a valid response in time
	QuotaExceeded   int     `json:"no_quota,omitempty"` // refusals, by reason
	NoCapacity      int     `json:"no_place,omitempty"`
	AttemptsFailed  int     `json:"no_answer,omitempty"`
	Failed          int     `json:"failed,omitempty"`  // responses that are neither served nor refused
	BackendChanges  int     `json:"changes,omitempty"` // changed entries in discovery's list of backends
}

// Line is one line of a rollup file: the counts of one gateway in one interval. At is the Unix time in seconds at
// which the interval starts.
type Line struct {
	At      float64 `json:"at"`
	Gateway string  `json:"gateway"`
	Counts
}

// Aggregator collects the counts of the current interval. It is not safe for concurrent use.
type Aggregator struct {
	interval float64
	emit     func(start float64, c Counts)
	start    float64
	counts   Counts
}

// NewAggregator returns an Aggregator with intervals of the given length. It calls emit for each finished interval that
// has counts. Emit must not block.
func NewAggregator(interval time.Duration, emit func(start float64, c Counts)) *Aggregator {
	return &Aggregator{interval: interval.Seconds(), emit: emit}
}

// Current returns the counts of the interval that contains now, a Unix time in seconds. The pointer is valid until the
// next call. If the clock steps back, the current interval continues.
func (a *Aggregator) Current(now float64) *Counts {
	start := math.Floor(now/a.interval) * a.interval
	if start > a.start {
		a.Flush()
		a.start = start
	}
	return &a.counts
}

// Flush emits the current interval if it has counts.
func (a *Aggregator) Flush() {
	if a.counts != (Counts{}) {
		a.emit(a.start, a.counts)
		a.counts = Counts{}
	}
}
