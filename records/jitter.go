package records

import (
	"hash/fnv"
	"time"
)

// hashStrings returns a hash of two strings with good avalanche: similar strings have unrelated hashes.
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

// jitter is a pseudo-random number generator (SplitMix64) that is seeded with the follower's name: followers differ
// from each other, and the decisions of one follower are reproducible.
type jitter struct{ state uint64 }

// newJitter returns the generator of a follower.
func newJitter(name string) jitter { return jitter{state: hashStrings(name, "jitter")} }

// fraction returns the next number in [0, 1).
func (j *jitter) fraction() float64 {
	j.state += 0x9e3779b97f4a7c15
	return float64(mix64(j.state)>>11) / (1 << 53)
}

// shorten returns the duration reduced by a random part of up to half of it.
func (j *jitter) shorten(duration time.Duration) time.Duration {
	return duration - time.Duration(j.fraction()*float64(duration)/2)
}
