package members

import (
	"cmp"
	"slices"
	"time"
)

// Incarnation is the incarnation number of a name: each start of a process has a higher one.
type Incarnation uint64

const (
	incarnationRandomBits = 10 // low bits below the milliseconds, so that simultaneous starts differ
	maxIncarnationRaises  = 3  // per process
	raiseWindowIntervals  = 10 // probe intervals since the start of an incarnation, during which it has no lease and no quota
)

// IncarnationRandomValues is the number of random values that NextIncarnation distinguishes.
const IncarnationRandomValues = 1 << incarnationRandomBits

// NextIncarnation returns the incarnation of a process that starts at now, a wall-clock time. It is above last, the
// latest known incarnation of the name. Unknown incarnations are lower if the clock is correct; otherwise other members
// report them. Random distinguishes processes that start in the same millisecond.
func NextIncarnation(last Incarnation, now time.Time, random uint64) Incarnation {
	return max(Incarnation(now.UnixMilli())<<incarnationRandomBits|Incarnation(random%IncarnationRandomValues), last+1)
}

// IncarnationAbove returns an incarnation above another one of the same name.
func IncarnationAbove(incarnation Incarnation) Incarnation {
	return incarnation + IncarnationRandomValues
}

// MayRaiseIncarnation reports whether a process may raise its incarnation above another one of its name, if it has
// already done so raises times and its current incarnation started age ago. A process that has just started is the
// later one even if its clock is behind; any other process is superseded. Interval is the probe interval.
func MayRaiseIncarnation(raises int, age, interval time.Duration) bool {
	return raises < maxIncarnationRaises && age <= raiseWindowIntervals*interval
}

// Incarnations returns the latest known incarnation of each name, sorted by name.
func (m *Machine) Incarnations() (incarnations []IncarnationLearned) {
	incarnations = append(incarnations, IncarnationLearned{m.settings.Self, max(m.settings.Incarnation, m.supersededBy)})
	for name, p := range m.peers {
		if name != m.settings.Self && p.incarnation != 0 {
			incarnations = append(incarnations, IncarnationLearned{name, p.incarnation})
		}
	}
	slices.SortFunc(incarnations, func(a, b IncarnationLearned) int { return cmp.Compare(a.Name, b.Name) })
	return incarnations
}

// Superseded returns the later incarnation of this process's name, 0 if none is known.
func (m *Machine) Superseded() Incarnation { return m.supersededBy }
