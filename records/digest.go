package records

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"math/bits"
)

// RangeCount is the number of ranges into which a state is partitioned by a hash of the key.
const RangeCount = 1024

// Digest identifies the content of a state: keys, versions and values.
//
// Each record is hashed separately, and the hashes of a range are added, so that the cost of a change depends on
// the records that it writes and not on the size of the state. A digest detects accidental errors (corruption, lost
// or repeated changes, bugs). It does not protect against an adversary, who could search for records whose hashes
// add up to a given sum.
type Digest [16]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// errNoDigest means that a message has no digest. No content has the zero digest.
var errNoDigest = errors.New("the digest is missing")

// ParseDigest parses a digest in hexadecimal.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	if len(text) != hex.EncodedLen(len(digest)) {
		return Digest{}, fmt.Errorf("digest %.64q: want %d hexadecimal digits", text, hex.EncodedLen(len(digest)))
	}
	if _, err := hex.Decode(digest[:], []byte(text)); err != nil {
		return Digest{}, fmt.Errorf("digest %q: %w", text, err)
	}
	return digest, nil
}

// MarshalText implements encoding.TextMarshaler: the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	digest, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = digest
	return nil
}

// sum is a sum of the hashes of records, modulo 2^128. It does not depend on their order.
type sum struct{ high, low uint64 }

func (s sum) plus(other sum) sum {
	low, carry := bits.Add64(s.low, other.low, 0)
	high, _ := bits.Add64(s.high, other.high, carry)
	return sum{high: high, low: low}
}

func (s sum) minus(other sum) sum {
	low, borrow := bits.Sub64(s.low, other.low, 0)
	high, _ := bits.Sub64(s.high, other.high, borrow)
	return sum{high: high, low: low}
}

// hashRecord returns the hash of key, version and value. The input is unambiguous since a key has no zero byte.
func hashRecord(record Record) sum {
	buffer := make([]byte, 0, 512)
	buffer = append(buffer, record.Key.Kind...)
	buffer = append(buffer, '/')
	buffer = append(buffer, record.Key.Name...)
	buffer = append(buffer, 0)
	buffer = binary.BigEndian.AppendUint64(buffer, record.Version)
	buffer = append(buffer, record.Value...)
	hash := sha256.Sum256(buffer)
	return sum{high: binary.BigEndian.Uint64(hash[0:8]), low: binary.BigEndian.Uint64(hash[8:16])}
}

// hashRecords returns the sum of the records' hashes.
func hashRecords(records []Record) sum {
	var total sum
	for _, record := range records {
		total = total.plus(hashRecord(record))
	}
	return total
}

// RangeOf returns the range of a key, from 0 to RangeCount-1.
func RangeOf(key Key) int {
	const (
		offset = 14695981039346656037 // of FNV-1a
		prime  = 1099511628211
	)
	hash := uint64(offset)
	for _, text := range [...]string{string(key.Kind), "/", key.Name} {
		for i := range len(text) {
			hash = (hash ^ uint64(text[i])) * prime
		}
	}
	// The low bits of FNV-1a are unevenly distributed: mix them with MurmurHash3's finalizer.
	hash = (hash ^ hash>>33) * 0xff51afd7ed558ccd
	return int((hash ^ hash>>33) % RangeCount)
}
