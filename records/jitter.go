package records

import (
	"hash/fnv"
	"time"
)

// hashStrings hashes two texts so that close ones differ in all bits.
func hashStrings(first, second string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(first))
	hash.Write([]byte{0})
	hash.Write([]byte(second))
	return mix64(hash.Sum64())
}

// mix64 is the finalizer of SplitMix64.
func mix64(bits uint64) uint64 {
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return bits ^ bits>>31
}

// jitter is a generator of fractions that differ from follower to follower and are
// the same for the same name.
type jitter struct{ state uint64 }

func newJitter(name string) jitter { return jitter{state: hashStrings(name, "jitter")} }

// fraction returns a number from 0 up to 1.
func (j *jitter) fraction() float64 {
	j.state += 0x9e3779b97f4a7c15
	return float64(mix64(j.state)>>11) / (1 << 53)
}

// shorten takes up to half off a duration.
func (j *jitter) shorten(duration time.Duration) time.Duration {
	return duration - time.Duration(j.fraction()*float64(duration)/2)
}
