package members

import "time"

const (
	incarnationRandomBits = 10 // of randomness below the milliseconds, so that simultaneous starts differ
	maxIncarnationRaises  = 3  // times that a process may raise its life
	raiseWindowIntervals  = 10 // intervals after its start in which it may: it holds nothing until then
)

// IncarnationRandomValues is the number of random values that NextIncarnation distinguishes.
const IncarnationRandomValues = 1 << incarnationRandomBits

// NextIncarnation returns the life of a process that starts now, by the wall clock. It is above the last known life. Unknown
// lives are lower if the clock is right; if not, other members report them.
func NextIncarnation(last Incarnation, now time.Time, chance uint64) Incarnation {
	return max(Incarnation(now.UnixMilli())<<incarnationRandomBits|Incarnation(chance%IncarnationRandomValues), last+1)
}

// IncarnationAbove returns a life above another one of the same name.
func IncarnationAbove(incarnation Incarnation) Incarnation {
	return incarnation + IncarnationRandomValues
}

// MayRaiseIncarnation reports whether a process that raised its life so many times, and started so long ago, may take a life above
// another one of its name. A process that has just started is the later one, whatever its clock says; otherwise it gives
// way.
func MayRaiseIncarnation(raises int, age, interval time.Duration) bool {
	return raises < maxIncarnationRaises && age <= raiseWindowIntervals*interval
}
