package records

import (
	"errors"
	"fmt"
)

// Errors of a store.
var (
	ErrVersion   = errors.New("the version does not follow the store's")
	ErrCompacted = errors.New("the changes since that version have been compacted")
	ErrFuture    = errors.New("the store has not come to that version")
)

// Store is the authority on the records: a state machine that gives the same
// results for the same changes. Its zero value is empty and ready for use.
type Store struct {
	state   *state
	version uint64 // of the newest accepted change
	applied uint64 // of the newest change, whatever its result
	log     changeLog
	results resultCache
	// references counts, for each record that others need, how many do.
	references map[Key]int
}

func (s *Store) current() *state {
	if s.state == nil {
		return emptyState
	}
	return s.state
}

// Version returns the version of the newest accepted change; 0: there is none.
func (s *Store) Version() uint64 { return s.version }

// Applied returns the version of the newest change that the store has judged,
// whatever became of it; 0: there was none.
func (s *Store) Applied() uint64 { return s.applied }

// Digest identifies the present content.
func (s *Store) Digest() Digest { return s.current().digest }

// Len returns the number of records.
func (s *Store) Len() int { return s.current().count }

// Get returns a record.
func (s *Store) Get(key Key) (Record, bool) { return s.current().get(key) }

// List returns up to limit records of a kind whose names begin with the prefix, in
// order of name; a limit of 0 or less means all.
func (s *Store) List(kind Kind, prefix string, limit int) []Record {
	return s.current().list(kind, prefix, limit)
}

// DigestAt returns the digest that the content had at the version of an accepted
// change which is still in the log, or just before it.
func (s *Store) DigestAt(version uint64) (Digest, bool) {
	if version == 0 {
		return emptyState.digest, true
	}
	return s.log.digestAt(version)
}

// History describes the newest accepted changes, newest first, as far as the log
// goes back; a limit of 0 or less means all of them.
func (s *Store) History(limit int) []ChangeInfo { return s.log.history(limit) }

// Apply validates a change and carries it out as a whole or not at all. The
// version is the change's index in the replicated log and must exceed that of all
// before, or the error is ErrVersion and nothing is done. What is wrong with the
// change itself is told by the result.
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

// Advance gives the present content a new version without changing a record, as
// after the restore of a saved state: replicas that have gone past that state must
// see a version above theirs, and find by its digest that they differ. The error
// is ErrVersion if the version is not above all before; nothing is done then.
func (s *Store) Advance(info ChangeInfo) error {
	if info.Version <= s.applied {
		return fmt.Errorf("%w: %d is not above %d", ErrVersion, info.Version, s.applied)
	}
	s.applied, s.version = info.Version, info.Version
	s.log.add(logEntry{Info: info, Digest: s.Digest(), Keys: []Key{}})
	return nil
}

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
