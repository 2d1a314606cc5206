package records

import (
	"errors"
	"fmt"
)

// Errors of a store, which its methods wrap.
var (
	// ErrVersion means that the version of a change is not above that of the newest applied one.
	ErrVersion = errors.New("the version does not follow the store's")
	// ErrCompacted means that the log does not go back to the requested version.
	ErrCompacted = errors.New("the changes since that version have been compacted")
	// ErrFuture means that the requested version is above the store's.
	ErrFuture = errors.New("the store has not come to that version")
)

// Store is the authority on the records: a deterministic state machine, so that every
// store to which the same changes are applied has the same content, results and digest.
// Its zero value is empty and ready for use. It belongs to one goroutine.
type Store struct {
	state   *state
	version uint64 // of the newest accepted change
	applied uint64 // of the newest change, whatever its result
	log     changeLog
	results resultCache
	// references has, for each record that others refer to, how many do.
	references map[Key]int
}

// current returns the present content, also of the zero value.
func (s *Store) current() *state { return s.state.orEmpty() }

// Version returns the version of the newest accepted change, 0 if there is none.
func (s *Store) Version() uint64 { return s.version }

// Applied returns the version of the newest change that was applied, whatever its
// result, 0 if there was none.
func (s *Store) Applied() uint64 { return s.applied }

// Digest returns the digest of the present content.
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

// DigestAt returns the digest that the content had at a version, and whether it is
// known: it is for version 0, for the changes in the log and for the newest one that has
// been compacted.
func (s *Store) DigestAt(version uint64) (Digest, bool) {
	if version == 0 {
		return emptyState.digest, true
	}
	return s.log.digestAt(version)
}

// History returns up to limit accepted changes, newest first, as far as the log goes
// back. A limit of 0 or less means all.
func (s *Store) History(limit int) []ChangeInfo { return s.log.history(limit) }

// Apply validates a change and applies it atomically. The version is the change's
// index in the replicated log; if it is not above that of all changes before, the error
// is ErrVersion and nothing is done. A change that is rejected is no error: the Result
// has its status and problem. A change with a cached idempotency key is not applied
// again: the result is the first one's.
func (s *Store) Apply(version uint64, change Change) (Result, error) {
	if version <= s.applied {
		return Result{}, fmt.Errorf("%w: %d is not above %d", ErrVersion, version, s.applied)
	}
	s.applied = version
	if !validIdempotencyKey(change.IdempotencyKey) {
		return s.apply(version, change), nil
	}
	content := contentHash(change)
	if result, found := s.results.lookup(change.IdempotencyKey, content); found {
		return result, nil
	}
	result := s.apply(version, change)
	s.results.add(cachedResult{IdempotencyKey: change.IdempotencyKey, Content: content, Result: result})
	return result, nil
}

// Advance sets a new version without changing a record, as after the restore of a
// backup: replicas that are past the restored state must see a version above theirs, and
// detect by its digest that they differ. If the version is not above all before, the
// error is ErrVersion and nothing is done.
func (s *Store) Advance(info ChangeInfo) error {
	if info.Version <= s.applied {
		return fmt.Errorf("%w: %d is not above %d", ErrVersion, info.Version, s.applied)
	}
	s.applied, s.version = info.Version, info.Version
	s.log.add(logEntry{Info: info, Digest: s.Digest(), Keys: []Key{}})
	return nil
}

// apply evaluates a change whose version and idempotency key are checked, and commits it
// if it is accepted.
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
	s.adjustReferences(evaluation.references)
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

// adjustReferences adds the differences to the counts of references.
func (s *Store) adjustReferences(difference map[Key]int) {
	if s.references == nil {
		s.references = map[Key]int{}
	}
	for key, count := range difference {
		s.references[key] += count
		if s.references[key] == 0 {
			delete(s.references, key)
		}
	}
}
