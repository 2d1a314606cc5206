package records

import (
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
)

// MaxChunkBytes limits the ranges of a chunk in bytes before compression. A range is never split, so a single range
// may exceed the limit.
const MaxChunkBytes = 256 << 10

// DigestList has a 64-bit digest for each range: the low half of the sum of its records' hashes, 0 for a range
// without records.
type DigestList [RangeCount]uint64

const digestListBytes = RangeCount * 8

// MarshalText implements encoding.TextMarshaler: base64 of the digests in big-endian order.
func (l DigestList) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, digestListBytes)
	for _, digest := range l {
		raw = binary.BigEndian.AppendUint64(raw, digest)
	}
	return base64.RawStdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *DigestList) UnmarshalText(text []byte) error {
	if want := base64.RawStdEncoding.EncodedLen(digestListBytes); len(text) != want {
		return fmt.Errorf("digests of ranges: %d characters instead of %d", len(text), want)
	}
	raw, err := base64.RawStdEncoding.Strict().DecodeString(string(text))
	if err != nil {
		return fmt.Errorf("digests of ranges: %w", err)
	}
	if len(raw) != digestListBytes {
		return fmt.Errorf("digests of ranges: %d bytes instead of %d", len(raw), digestListBytes)
	}
	for i := range l {
		l[i] = binary.BigEndian.Uint64(raw[i*8:])
	}
	return nil
}

// RangeDigests is a server's response to a DigestsRequest: the digests of its ranges at one
// version.
type RangeDigests struct {
	Version uint64      `json:"version"`
	Digest  Digest      `json:"digest"` // of the complete content
	Ranges  *DigestList `json:"ranges"`
}

// validate implements validator.
func (d RangeDigests) validate() error {
	if d.Digest == (Digest{}) {
		return errNoDigest
	}
	if d.Ranges == nil {
		return errors.New("the digests of the ranges are missing")
	}
	return nil
}

// RangeContent has all records of one range, in order of key.
type RangeContent struct {
	Range   int          `json:"range"`
	Digest  uint64       `json:"digest"` // as in DigestList
	Records List[Record] `json:"records"`
}

// validate returns an error if the content is inconsistent, or impossible at the version.
func (c RangeContent) validate(version uint64) error {
	if c.Range < 0 || c.Range >= RangeCount {
		return fmt.Errorf("there is no range %d", c.Range)
	}
	for i, record := range c.Records {
		if err := checkRecord(record, version); err != nil {
			return err
		}
		if RangeOf(record.Key) != c.Range {
			return fmt.Errorf("%s is not of range %d", record.Key, c.Range)
		}
		if i > 0 && c.Records[i-1].Key.Compare(record.Key) >= 0 {
			return fmt.Errorf("%s does not come after %s", record.Key, c.Records[i-1].Key)
		}
	}
	if digest := hashRecords(c.Records).low; digest != c.Digest {
		return fmt.Errorf("range %d: %w: %016x instead of %016x", c.Range, ErrDigest, digest, c.Digest)
	}
	return nil
}

// size returns the approximate size of the content on the wire before compression, in bytes.
func (c RangeContent) size() int {
	size := recordOverhead
	for _, record := range c.Records {
		size += recordOverhead + record.size()
	}
	return size
}

// ContentRequest requests the content of ranges.
type ContentRequest struct {
	Ranges   []int // in ascending order
	MaxBytes int   // before compression; the client requests the remaining ranges again
}

// Chunk is a server's response to a ContentRequest: the content of some ranges, all read at
// one version.
type Chunk struct {
	Version uint64             `json:"version"`
	Digest  Digest             `json:"digest"` // of the server's complete content
	Ranges  List[RangeContent] `json:"ranges"` // in ascending order
}

// validate implements validator.
func (c Chunk) validate() error {
	if c.Digest == (Digest{}) {
		return errNoDigest
	}
	records := 0
	for i, content := range c.Ranges {
		if i > 0 && content.Range <= c.Ranges[i-1].Range {
			return fmt.Errorf("range %d follows %d", content.Range, c.Ranges[i-1].Range)
		}
		if err := content.validate(c.Version); err != nil {
			return err
		}
		records += len(content.Records)
	}
	if records > MaxRecords {
		return fmt.Errorf("the chunk has %d records, at most %d are allowed", records, MaxRecords)
	}
	return nil
}

// RangeDigests returns the digests of all ranges at the store's version.
func (s *Store) RangeDigests() RangeDigests {
	return RangeDigests{Version: s.version, Digest: s.Digest(), Ranges: s.current().digests()}
}

// digests returns the 64-bit digests of all ranges.
func (s *state) digests() *DigestList {
	var list DigestList
	for i := range s.ranges {
		list[i] = s.ranges[i].sum.low
	}
	return &list
}

// Range returns the content of a range, from 0 to RangeCount-1, at the store's version. The caller must not modify
// the records; later changes of the store do not affect them.
func (s *Store) Range(index int) RangeContent {
	content := &s.current().ranges[index]
	return RangeContent{Range: index, Digest: content.sum.low, Records: content.records}
}

// Chunk returns the first of the requested ranges: at least one, and more as long as they are within the request's
// limit and MaxChunkBytes. Ranges that do not exist are skipped.
func (s *Store) Chunk(request ContentRequest) Chunk {
	chunk := Chunk{Version: s.version, Digest: s.Digest()}
	remaining := min(request.MaxBytes, MaxChunkBytes)
	for _, index := range request.Ranges {
		if index < 0 || index >= RangeCount {
			continue
		}
		content := s.Range(index)
		remaining -= content.size()
		if remaining < 0 && len(chunk.Ranges) > 0 {
			break
		}
		chunk.Ranges = append(chunk.Ranges, content)
	}
	return chunk
}
