package members

import "time"

const (
	lifeBits   = 10 // of chance, below the milliseconds: two starts in one instant differ
	mostRaises = 3  // times that a start takes another life
	raiseFor   = 10 // intervals in which it may: until then it has held nothing
)

// LifeChances is what the chance of NextLife is below.
const LifeChances = 1 << lifeBits

// NextLife numbers a start at a time by the wall clock. It is above the last life
// that is known of; of others that nobody here knows of the clock has to tell, and
// the other members if it is wrong.
func NextLife(last Life, now time.Time, chance uint64) Life {
	return max(Life(now.UnixMilli())<<lifeBits|Life(chance%LifeChances), last+1)
}

// Above is a life above one of the same name that has been.
func Above(life Life) Life { return life + LifeChances }

// MayRaise tells whether a process of so many raises that began so long ago may take
// a life above one of its name that it hears of: it has only just begun, so it is
// the later one, whatever its clock says. Otherwise it gives way.
func MayRaise(raises int, age, every time.Duration) bool {
	return raises < mostRaises && age <= raiseFor*every
}
