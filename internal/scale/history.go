package scale

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"elderyard/records"
)

// Activation records that a version of the records came into force at a gateway.
type Activation struct {
	At      time.Time
	Version uint64
	Digest  records.Digest
}

// Run is the history of one run of a gateway's agent.
type Run struct {
	ColdStart   bool // started without a usable copy on disk
	Start       time.Time
	End         time.Time    // zero: still running
	Activations []Activation // the first is the version at the start
}

// activatedAt returns the time at which a version or a later one came into force, and false if none did.
func (r *Run) activatedAt(version uint64) (time.Time, bool) {
	i, _ := slices.BinarySearchFunc(r.Activations, version, func(a Activation, version uint64) int {
		if a.Version < version {
			return -1
		}
		return 1
	})
	if i == len(r.Activations) {
		return time.Time{}, false
	}
	return r.Activations[i].At, true
}

// activeAt reports whether the agent was running at a time.
func (r *Run) activeAt(at time.Time) bool {
	return !r.Start.After(at) && (r.End.IsZero() || r.End.After(at))
}

// AcceptedChange is a change that the site acknowledged.
type AcceptedChange struct {
	RequestedAt    time.Time
	AcknowledgedAt time.Time
	Version        uint64
}

// Ledger records all changes that the site acknowledged and the state that must result from them. It is safe for
// concurrent use.
type Ledger struct {
	mu        sync.Mutex
	reference records.Store
	digests   map[uint64]records.Digest
	accepted  []AcceptedChange
}

// Accept records an acknowledged change. Changes must be passed in the order of their versions.
func (l *Ledger) Accept(accepted AcceptedChange, change records.Change) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.digests == nil {
		l.digests = map[uint64]records.Digest{0: l.reference.Digest()}
	}
	result, err := l.reference.Apply(accepted.Version, change)
	if err != nil {
		return fmt.Errorf("ledger: version %d: %w", accepted.Version, err)
	}
	if result.Status != records.Accepted {
		return fmt.Errorf("ledger: version %d was acknowledged, but applied to the earlier versions it is %s: %w", accepted.Version, result.Status, result.Problem)
	}
	l.digests[accepted.Version] = l.reference.Digest()
	l.accepted = append(l.accepted, accepted)
	return nil
}

// Accepted returns the acknowledged changes in the order of their versions.
func (l *Ledger) Accepted() []AcceptedChange {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.accepted)
}

// Head returns the newest acknowledged version and its digest.
func (l *Ledger) Head() (uint64, records.Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reference.Version(), l.reference.Digest()
}

// Violation is a breach of a rule in the history of a gateway.
type Violation struct {
	Gateway string
	Rule    Rule
	Text    string
}

// Rule is an invariant of each gateway's history.
type Rule string

// Rules that Check verifies.
const (
	NoRollback  Rule = "versions never decrease"
	Integrity   Rule = "a version in force is complete and unaltered"
	Durability  Rule = "acknowledged changes are not lost"
	Convergence Rule = "all gateways converge"
)

// Check verifies the histories of gateways against the acknowledged changes. NoRollback and Integrity hold at all
// times; Durability and Convergence are verified only if settled is true.
func (l *Ledger) Check(histories map[string][]Run, settled bool) (violations []Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, runs := range histories {
		report := func(rule Rule, format string, arguments ...any) {
			violations = append(violations, Violation{name, rule, fmt.Sprintf(format, arguments...)})
		}
		var previous uint64
		for i, run := range runs {
			if run.ColdStart {
				previous = 0
			}
			for _, activation := range run.Activations {
				if activation.Version < previous {
					report(NoRollback, "run %d: version %d after %d", i, activation.Version, previous)
				}
				previous = activation.Version
				if digest, ok := l.digests[activation.Version]; !ok {
					report(Integrity, "run %d: version %d was never acknowledged", i, activation.Version)
				} else if digest != activation.Digest {
					report(Integrity, "run %d: version %d has digest %s, want %s", i, activation.Version, activation.Digest, digest)
				}
			}
		}
		if !settled {
			continue
		}
		if head := l.reference.Version(); previous < head {
			report(Durability, "final version %d, but %d was acknowledged", previous, head)
		} else if previous > head {
			report(Convergence, "final version %d, but %d is the newest acknowledged", previous, head)
		}
	}
	return violations
}

// Durations are how long changes took to come into force, or runs to catch up.
type Durations struct {
	Count      int             // changes or runs in the sample
	Incomplete int             // not complete at a gateway that is still running
	Sorted     []time.Duration // in ascending order
}

// Quantile returns the duration that a fraction of the sample does not exceed.
func (d Durations) Quantile(fraction float64) time.Duration {
	if len(d.Sorted) == 0 {
		return 0
	}
	return d.Sorted[min(int(fraction*float64(len(d.Sorted))), len(d.Sorted)-1)]
}

// PropagationTimes returns how long each acknowledged change requested since a time took from its request until it
// was in force at every gateway that had caught up by the request and kept running until it had the change. Runs
// that were still catching up are measured by CatchUpTimes. A change without such a gateway is not in the sample.
func (l *Ledger) PropagationTimes(histories map[string][]Run, since time.Time) (durations Durations) {
	accepted := l.Accepted()
	var caughtUp []caughtUpRun
	for _, runs := range histories {
		for i := range runs {
			if at, ok := caughtUpAt(&runs[i], accepted); ok {
				caughtUp = append(caughtUp, caughtUpRun{&runs[i], at})
			}
		}
	}
	for _, change := range accepted {
		if change.RequestedAt.Before(since) {
			continue
		}
		slowest, activated, pending := slowestActivation(caughtUp, change)
		switch {
		case pending > 0:
			durations.Incomplete++
		case activated > 0:
			durations.Count++
			durations.Sorted = append(durations.Sorted, slowest)
		}
	}
	slices.Sort(durations.Sorted)
	return durations
}

// caughtUpRun is a run and the time at which it had caught up.
type caughtUpRun struct {
	*Run
	caughtUpAt time.Time
}

// caughtUpAt returns when a run had the newest version that was acknowledged before its start, and false if it never
// did.
func caughtUpAt(run *Run, accepted []AcceptedChange) (time.Time, bool) {
	n, _ := slices.BinarySearchFunc(accepted, run.Start, func(a AcceptedChange, start time.Time) int { return a.AcknowledgedAt.Compare(start) })
	if n == 0 {
		return run.Start, true
	}
	return run.activatedAt(accepted[n-1].Version)
}

// slowestActivation returns the longest time that a change took, the number of runs in which it came into force, and
// the number of unfinished runs in which it has not. Runs that had not caught up at the request do not count.
func slowestActivation(runs []caughtUpRun, change AcceptedChange) (slowest time.Duration, activated, pending int) {
	for _, run := range runs {
		if run.caughtUpAt.After(change.RequestedAt) || !run.activeAt(change.RequestedAt) {
			continue
		}
		at, inForce := run.activatedAt(change.Version)
		switch {
		case inForce:
			activated++
			slowest = max(slowest, at.Sub(change.RequestedAt))
		case run.End.IsZero():
			pending++
		}
	}
	return slowest, activated, pending
}

// CatchUpTimes returns how long each run that was a cold start, or each other run, took to catch up with the newest
// version acknowledged before its start.
func (l *Ledger) CatchUpTimes(histories map[string][]Run, coldStart bool) (durations Durations) {
	accepted := l.Accepted()
	for _, runs := range histories {
		for i := range runs {
			run := &runs[i]
			if run.ColdStart != coldStart {
				continue
			}
			if at, ok := caughtUpAt(run, accepted); ok {
				durations.Count++
				durations.Sorted = append(durations.Sorted, max(0, at.Sub(run.Start)))
			} else if run.End.IsZero() {
				durations.Incomplete++
			}
		}
	}
	slices.Sort(durations.Sorted)
	return durations
}
