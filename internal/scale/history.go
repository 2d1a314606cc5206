package scale

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"elderyard/records"
)

// Advance is a version of the records that came into force at a gateway.
type Advance struct {
	At      time.Time
	Version uint64
	Digest  records.Digest
}

// Life is one run of a gateway's agent.
type Life struct {
	Empty    bool // it began with an empty disk
	From     time.Time
	To       time.Time // zero: it runs
	Advances []Advance // the first is what it began with
}

// inForce returns when a life came to a version; false: it has not.
func (l *Life) inForce(version uint64) (time.Time, bool) {
	i, _ := slices.BinarySearchFunc(l.Advances, version, func(a Advance, version uint64) int {
		if a.Version < version {
			return -1
		}
		return 1
	})
	if i == len(l.Advances) {
		return time.Time{}, false
	}
	return l.Advances[i].At, true
}

// runs tells whether a life runs at a time.
func (l *Life) runs(at time.Time) bool {
	return !l.From.After(at) && (l.To.IsZero() || l.To.After(at))
}

// Accepted is a change that the site has acknowledged.
type Accepted struct {
	Asked   time.Time
	At      time.Time // of the answer
	Version uint64
}

// Ledger is all that the site has acknowledged, and the state that must come of
// it. It may be used by several goroutines.
type Ledger struct {
	mu        sync.Mutex
	reference records.Store
	digests   map[uint64]records.Digest
	accepted  []Accepted
}

// Accept notes an acknowledged change. Changes come in the order of their versions.
func (l *Ledger) Accept(accepted Accepted, change records.Change) error {
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
		return fmt.Errorf("ledger: version %d was acknowledged, and what came before makes it %s: %w", accepted.Version, result.Status, result.Problem)
	}
	l.digests[accepted.Version] = l.reference.Digest()
	l.accepted = append(l.accepted, accepted)
	return nil
}

// Accepted returns the acknowledged changes in the order of their versions.
func (l *Ledger) Accepted() []Accepted {
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

// Violation is a rule that a gateway's history breaks.
type Violation struct {
	Gateway string
	Rule    Rule
	Text    string
}

// Rule is what must hold of each gateway's history.
type Rule string

// The rules.
const (
	NeverBack    Rule = "no gateway goes back"
	Whole        Rule = "a version is in force whole"
	Acknowledged Rule = "what was acknowledged is not lost"
	Agreement    Rule = "all are one in the end"
)

// Audit rules on the histories of gateways from what the ledger holds. Atomic
// rules hold at all times; that all are one holds where settled is true.
func (l *Ledger) Audit(histories map[string][]Life, settled bool) (violations []Violation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, lives := range histories {
		found := func(rule Rule, format string, arguments ...any) {
			violations = append(violations, Violation{name, rule, fmt.Sprintf(format, arguments...)})
		}
		var before uint64
		for i, life := range lives {
			if life.Empty {
				before = 0
			}
			for _, advance := range life.Advances {
				if advance.Version < before {
					found(NeverBack, "run %d: version %d after %d", i, advance.Version, before)
				}
				before = advance.Version
				if digest, known := l.digests[advance.Version]; !known {
					found(Whole, "run %d: version %d was never acknowledged", i, advance.Version)
				} else if digest != advance.Digest {
					found(Whole, "run %d: version %d has the digest %s, and %s is right", i, advance.Version, advance.Digest, digest)
				}
			}
		}
		if !settled {
			continue
		}
		if head := l.reference.Version(); before < head {
			found(Acknowledged, "version %d in the end, and %d was acknowledged", before, head)
		} else if before > head {
			found(Agreement, "version %d in the end, and %d is the newest", before, head)
		}
	}
	return violations
}

// Spread is how long changes, or starts, took.
type Spread struct {
	Changes int             // or starts, that were counted
	Missing int             // that are not over, at a gateway that runs
	Times   []time.Duration // sorted
}

// Quantile returns the time that a share of the changes did not exceed.
func (s Spread) Quantile(share float64) time.Duration {
	if len(s.Times) == 0 {
		return 0
	}
	return s.Times[min(int(share*float64(len(s.Times))), len(s.Times)-1)]
}

// Everywhere returns how long each acknowledged change, of those asked for since a
// time, took from then until in force at every gateway whose start was over by then
// and that ran on until it had the change. Starts has the starts themselves. A
// change that no gateway is counted for is left out.
func (l *Ledger) Everywhere(histories map[string][]Life, since time.Time) (spread Spread) {
	list := l.Accepted()
	var started []startedLife
	for _, lives := range histories {
		for i := range lives {
			if at, came := startOver(&lives[i], list); came {
				started = append(started, startedLife{&lives[i], at})
			}
		}
	}
	for _, accepted := range list {
		if accepted.Asked.Before(since) {
			continue
		}
		took, came, lacking := slowest(started, accepted)
		switch {
		case lacking > 0:
			spread.Missing++
		case came > 0:
			spread.Changes++
			spread.Times = append(spread.Times, took)
		}
	}
	slices.Sort(spread.Times)
	return spread
}

// startedLife is a life and when its start was over.
type startedLife struct {
	*Life
	over time.Time
}

// startOver returns when a life had the newest version that had been acknowledged
// when it began.
func startOver(life *Life, list []Accepted) (time.Time, bool) {
	n, _ := slices.BinarySearchFunc(list, life.From, func(a Accepted, from time.Time) int { return a.At.Compare(from) })
	if n == 0 {
		return life.From, true
	}
	return life.inForce(list[n-1].Version)
}

// slowest returns how long a change took at most, how many lives it came to, and how
// many run without it.
func slowest(started []startedLife, accepted Accepted) (most time.Duration, came, lacking int) {
	for _, life := range started {
		if life.over.After(accepted.Asked) || !life.runs(accepted.Asked) {
			continue
		}
		at, inForce := life.inForce(accepted.Version)
		switch {
		case inForce:
			came++
			most = max(most, at.Sub(accepted.Asked))
		case life.To.IsZero():
			lacking++
		}
	}
	return most, came, lacking
}

// Starts returns how long each life, of those that began with an empty disk or of
// the others, took from its start until the start was over.
func (l *Ledger) Starts(histories map[string][]Life, empty bool) (spread Spread) {
	list := l.Accepted()
	for _, lives := range histories {
		for i := range lives {
			life := &lives[i]
			if life.Empty != empty {
				continue
			}
			if at, came := startOver(life, list); came {
				spread.Changes++
				spread.Times = append(spread.Times, max(0, at.Sub(life.From)))
			} else if life.To.IsZero() {
				spread.Missing++
			}
		}
	}
	slices.Sort(spread.Times)
	return spread
}
