package members

import "time"

const (
	lifeBits  = 10 // of randomness below the milliseconds, so that simultaneous starts differ
	maxRaises = 3  // times that a process may raise its life
	raiseFor  = 10 // intervals after its start in which it may: it holds nothing until then
)

// LifeChances is the number of random values that NextLife distinguishes.
const LifeChances = 1 << lifeBits

// NextLife returns the life of a process that starts now, by the wall clock. It is above the last known life. Unknown
// lives are lower if the clock is right; if not, other members report them.
func NextLife(last Life, now time.Time, chance uint64) Life {
	return max(Life(now.UnixMilli())<<lifeBits|Life(chance%LifeChances), last+1)
}

// Above returns a life above another one of the same name.
func Above(life Life) Life { return life + LifeChances }

// MayRaise reports whether a process that raised its life so many times, and started so long ago, may take a life above
// another one of its name. A process that has just started is the later one, whatever its clock says; otherwise it gives
// way.
func MayRaise(raises int, age, every time.Duration) bool {
	return raises < maxRaises && age <= raiseFor*every
}
