package records

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// ErrSnapshot means that a snapshot is corrupt, truncated or inconsistent.
var ErrSnapshot = errors.New("unusable snapshot of records")

// Headers of the files: their type and the version of the format.
const (
	storeHeader   = "elderyard records store 1\n"
	replicaHeader = "elderyard records replica 1\n"
)

// maxSnapshotBytes limits the size of a snapshot before compression.
const maxSnapshotBytes = 64 << 20

// replicaSnapshot is the body of a replica's snapshot.
type replicaSnapshot struct {
	Version uint64       `json:"version"`
	Digest  Digest       `json:"digest"`
	Records List[Record] `json:"records"`
}

// storeSnapshot is the body of a store's snapshot.
type storeSnapshot struct {
	replicaSnapshot
	Applied          uint64             `json:"applied"`
	CompactedVersion uint64             `json:"floor_version"`
	CompactedDigest  Digest             `json:"floor_digest"`
	Log              List[logEntry]     `json:"log"`
	Results          List[cachedResult] `json:"requests"`
}

// Snapshot encodes the replica for Restore.
func (r *Replica) Snapshot() ([]byte, error) {
	return encodeSnapshot(replicaHeader, replicaSnapshot{Version: r.version, Digest: r.Digest(), Records: r.current().sorted()})
}

// Restore replaces the replica's content with a snapshot's. On an error the replica is unchanged. The error is
// ErrSnapshot if the snapshot is invalid, and ErrStale if its version is below the replica's.
func (r *Replica) Restore(data []byte) error {
	var snapshot replicaSnapshot
	if err := decodeSnapshot(replicaHeader, data, &snapshot); err != nil {
		return err
	}
	restored, err := snapshot.state()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if snapshot.Version < r.version {
		return fmt.Errorf("%w: the snapshot has %d, the replica is at %d", ErrStale, snapshot.Version, r.version)
	}
	r.state, r.version = restored, snapshot.Version
	return nil
}

// Snapshot encodes the store with its log and its cached results for Restore.
func (s *Store) Snapshot() ([]byte, error) {
	return encodeSnapshot(storeHeader, storeSnapshot{
		replicaSnapshot:  replicaSnapshot{Version: s.version, Digest: s.Digest(), Records: s.current().sorted()},
		Applied:          s.applied,
		CompactedVersion: s.log.compactedVersion,
		CompactedDigest:  s.log.compactedDigest,
		Log:              s.log.entries,
		Results:          s.results.list(),
	})
}

// Restore replaces the store with a snapshot's. On an error, which wraps ErrSnapshot, the store is unchanged.
func (s *Store) Restore(data []byte) error {
	var snapshot storeSnapshot
	if err := decodeSnapshot(storeHeader, data, &snapshot); err != nil {
		return err
	}
	restored, err := snapshot.store()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	*s = *restored
	return nil
}

// sorted returns the records in order of key.
func (s *state) sorted() []Record {
	sorted := make([]Record, 0, s.count)
	for record := range s.all {
		sorted = append(sorted, record)
	}
	slices.SortFunc(sorted, func(a, b Record) int { return a.Key.Compare(b.Key) })
	return sorted
}

// state builds the state from the records and verifies its digest.
func (s *replicaSnapshot) state() (*state, error) {
	if len(s.Records) > MaxRecords {
		return nil, fmt.Errorf("%d records, at most %d are allowed", len(s.Records), MaxRecords)
	}
	draft := emptyState.edit()
	for i, record := range s.Records {
		if err := checkRecord(record, s.Version); err != nil {
			return nil, err
		}
		if i > 0 && s.Records[i-1].Key.Compare(record.Key) >= 0 {
			return nil, fmt.Errorf("%s does not come after %s", record.Key, s.Records[i-1].Key)
		}
		draft.put(record)
	}
	built := draft.finish()
	if built.digest != s.Digest {
		return nil, fmt.Errorf("%w: %s instead of %s at version %d", ErrDigest, built.digest, s.Digest, s.Version)
	}
	return built, nil
}

// store builds a store and checks that its parts are consistent with each other.
func (s *storeSnapshot) store() (*Store, error) {
	built, err := s.state()
	if err != nil {
		return nil, err
	}
	references, err := countReferences(built)
	if err != nil {
		return nil, err
	}
	log, err := s.changeLog()
	if err != nil {
		return nil, err
	}
	results, err := s.resultCache()
	if err != nil {
		return nil, err
	}
	return &Store{state: built, version: s.Version, applied: s.Applied, log: *log, results: *results, referenceCounts: references}, nil
}

// countReferences validates every record as Apply does, and returns the reference counts.
func countReferences(built *state) (map[Key]int, error) {
	references := map[Key]int{}
	for record := range built.all {
		value, canonical, problem := ParseValue(record.Key.Kind, record.Value)
		if problem != nil {
			return nil, fmt.Errorf("%s: %w", record.Key, problem)
		}
		if !bytes.Equal(canonical, record.Value) {
			return nil, fmt.Errorf("%s: the value is not in canonical form", record.Key)
		}
		key, field, needed := value.Reference()
		if !needed {
			continue
		}
		if _, found := built.get(key); !found {
			return nil, fmt.Errorf("%s: %s: there is no %s", record.Key, field, key)
		}
		references[key]++
	}
	return references, nil
}

// changeLog builds the log and checks that it ends at the snapshot's version and digest.
func (s *storeSnapshot) changeLog() (*changeLog, error) {
	if s.Applied < s.Version {
		return nil, fmt.Errorf("applied up to %d, but at version %d", s.Applied, s.Version)
	}
	log := &changeLog{compactedVersion: s.CompactedVersion, compactedDigest: s.CompactedDigest}
	newest, digest := s.CompactedVersion, s.CompactedDigest
	for i := range s.Log {
		entry := &s.Log[i]
		if entry.Info.Version <= newest {
			return nil, fmt.Errorf("log: version %d follows %d", entry.Info.Version, newest)
		}
		for _, key := range entry.Keys {
			if err := key.Validate(); err != nil {
				return nil, fmt.Errorf("log: version %d: %w", entry.Info.Version, err)
			}
		}
		newest, digest = entry.Info.Version, entry.Digest
		log.bytes += entry.size()
	}
	if len(s.Log) > MaxLogChanges || log.bytes > MaxLogBytes {
		return nil, fmt.Errorf("log: %d changes with %d bytes are beyond the bounds", len(s.Log), log.bytes)
	}
	if newest != s.Version {
		return nil, fmt.Errorf("log: it ends at version %d, the records are at %d", newest, s.Version)
	}
	if newest > 0 && digest != s.Digest {
		return nil, fmt.Errorf("log: %w: it ends with %s, the records have %s", ErrDigest, digest, s.Digest)
	}
	log.entries = s.Log
	return log, nil
}

// resultCache builds the cache and checks that idempotency keys are unique.
func (s *storeSnapshot) resultCache() (*resultCache, error) {
	if len(s.Results) > MaxCachedResults {
		return nil, fmt.Errorf("%d requests, at most %d are allowed", len(s.Results), MaxCachedResults)
	}
	cache := &resultCache{}
	for _, cached := range s.Results {
		if _, found := cache.byKey[cached.IdempotencyKey]; found {
			return nil, fmt.Errorf("the request %q is there twice", cached.IdempotencyKey)
		}
		cache.add(cached)
	}
	return cache, nil
}

// encodeSnapshot returns the header, the SHA-256 of the body, and the body: the content as JSON, compressed if large.
func encodeSnapshot(header string, content any) ([]byte, error) {
	text, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot of records: %w", err)
	}
	body := compress(text)
	checksum := sha256.Sum256(body)
	return slices.Concat([]byte(header), checksum[:], body), nil
}

// decodeSnapshot reverses encodeSnapshot. The error wraps ErrSnapshot.
func decodeSnapshot(header string, data []byte, into any) error {
	payload, found := bytes.CutPrefix(data, []byte(header))
	if !found {
		return fmt.Errorf("%w: it does not begin with %q", ErrSnapshot, header)
	}
	if len(payload) < sha256.Size {
		return fmt.Errorf("%w: it ends within the checksum", ErrSnapshot)
	}
	body := payload[sha256.Size:]
	if sha256.Sum256(body) != [sha256.Size]byte(payload) {
		return fmt.Errorf("%w: the checksum does not fit", ErrSnapshot)
	}
	text, err := decompress(body, maxSnapshotBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	if err := decodeStrict(text, into); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	return nil
}
