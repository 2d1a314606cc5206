package records

import (
	"errors"
	"fmt"
)

// Errors of a store, which its methods wrap.
var (
	// ErrVersion means that the version of a change is not above that of the last applied change.
	ErrVersion = errors.New("the version does not follow the store's")
	// ErrCompacted means that the log does not reach back to the requested version.
	ErrCompacted = errors.New("the changes since that version have been compacted")
	// ErrFuture means that the requested version is above the store's.
	ErrFuture = errors.New("the store has not come to that version")
)

// Store is the authoritative copy of the records. It is a deterministic state machine: all stores to which the same
// changes are applied have the same content, results and digest. Its zero value is empty and ready for use. It is not
// safe for concurrent use.
type Store struct {
	state   *state
	version uint64 // of the last accepted change
	applied uint64 // of the last change, accepted or not
	log     changeLog
	results resultCache
	// referenceCounts has the number of records that refer to each record, without zero counts.
	referenceCounts map[Key]int
}

// current returns the content; it also works on the zero value.
func (s *Store) current() *state { return s.state.orEmpty() }

// Version returns the version of the last accepted change, 0 if there is none.
func (s *Store) Version() uint64 { return s.version }

// Applied returns the version of the last change, accepted or not, 0 if there is none.
func (s *Store) Applied() uint64 { return s.applied }

// Digest returns the digest of the current content.
func (s *Store) Digest() Digest { return s.current().digest }

// Len returns the number of records.
func (s *Store) Len() int { return s.current().count }

// Get returns the record with the key, and whether it exists.
func (s *Store) Get(key Key) (Record, bool) { return s.current().get(key) }

// List returns up to limit records of a kind whose names begin with the prefix, in
// order of name. A limit of 0 or less means all.
func (s *Store) List(kind Kind, prefix string, limit int) []Record {
	return s.current().list(kind, prefix, limit)
}

// DigestAt returns the digest that the content had at a version, and whether it is known. It is known for version 0,
// for the changes in the log and for the newest compacted version.
func (s *Store) DigestAt(version uint64) (Digest, bool) {
	if version == 0 {
		return emptyState.digest, true
	}
	return s.log.digestAt(version)
}

// History returns up to limit accepted changes that are in the log, newest first. A limit of 0 or less means all.
func (s *Store) History(limit int) []ChangeInfo { return s.log.history(limit) }

// Apply validates a change and applies it atomically. The version is the change's index in the replicated log; if it
// is not above that of all earlier changes, the error is ErrVersion and the store is unchanged. A rejected change is
// not an error: the Result has its status and problem. A change with a cached idempotency key is not applied again:
// Apply returns the result of the first attempt.
func (s *Store) Apply(version uint64, change Change) (Result, error) {
	if version <= s.applied {
		return Result{}, fmt.Errorf("%w: %d is not above %d", ErrVersion, version, s.applied)
	}
	s.applied = version
	if !validIdempotencyKey(change.IdempotencyKey) {
		return s.apply(version, change), nil
	}
	hash := changeHash(change)
	if result, found := s.results.lookup(change.IdempotencyKey, hash); found {
		return result, nil
	}
	result := s.apply(version, change)
	s.results.add(cachedResult{IdempotencyKey: change.IdempotencyKey, ChangeHash: hash, Result: result})
	return result, nil
}

// Advance sets a new version without changing a record. It is called after a backup is restored: replicas that are
// ahead of the restored state must see a version above theirs, and detect by its digest that they differ. If the
// version is not above all earlier ones, the error is ErrVersion and the store is unchanged.
func (s *Store) Advance(info ChangeInfo) error {
	if info.Version <= s.applied {
		return fmt.Errorf("%w: %d is not above %d", ErrVersion, info.Version, s.applied)
	}
	s.applied, s.version = info.Version, info.Version
	s.log.add(logEntry{Info: info, Digest: s.Digest(), Keys: []Key{}})
	return nil
}

// apply evaluates a change after the checks of its version and idempotency key, and commits it if it is accepted.
func (s *Store) apply(version uint64, change Change) Result {
	evaluation, status, problem := s.evaluate(version, change)
	if problem != nil {
		return Result{Status: status, Version: s.version, Problem: problem}
	}
	if len(evaluation.changed) == 0 {
		return Result{Status: Unchanged, Version: s.version}
	}
	s.state = evaluation.draft.finish()
	s.version = version
	s.updateReferenceCounts(evaluation.referenceDeltas)
	s.log.add(logEntry{
		Info: ChangeInfo{
			Version:    version,
			Author:     change.Author,
			Message:    change.Message,
			At:         change.At.UTC(),
			Operations: len(evaluation.changed),
		},
		Digest: s.state.digest,
		Keys:   evaluation.changed,
	})
	return Result{Status: Accepted, Version: version}
}

// updateReferenceCounts adds the deltas to the reference counts.
func (s *Store) updateReferenceCounts(deltas map[Key]int) {
	if s.referenceCounts == nil {
		s.referenceCounts = map[Key]int{}
	}
	for key, delta := range deltas {
		s.referenceCounts[key] += delta
		if s.referenceCounts[key] == 0 {
			delete(s.referenceCounts, key)
		}
	}
}
