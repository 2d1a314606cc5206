package records

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"unicode/utf8"
)

// evaluation is the effect of a valid change on a store, before it is committed.
type evaluation struct {
	draft           *draft
	changed         []Key       // in the order of the operations
	referenceDeltas map[Key]int // changes of the reference counts
}

// Check is a dry run of Apply: it returns the status and the problem of a change in the store's current state, and
// changes nothing. The problem is nil if the status is Accepted or Unchanged. Idempotency keys are ignored.
func (s *Store) Check(change Change) (Status, *Problem) {
	evaluation, status, problem := s.evaluate(s.applied+1, change)
	if problem != nil {
		return status, problem
	}
	if len(evaluation.changed) == 0 {
		return Unchanged, nil
	}
	return Accepted, nil
}

// evaluate computes the effect of a change without changing the store. If there is a problem, the status is Invalid
// or Conflict.
func (s *Store) evaluate(version uint64, change Change) (evaluation, Status, *Problem) {
	if problem := checkMetadata(change); problem != nil {
		return evaluation{}, Invalid, problem
	}
	values, problem := parseOperations(change.Operations)
	if problem != nil {
		return evaluation{}, Invalid, problem
	}
	if problem := s.checkConditions(change.Operations); problem != nil {
		return evaluation{}, Conflict, problem
	}
	result := s.applyOperations(version, change.Operations, values)
	if problem := s.checkBounds(result.draft.state); problem != nil {
		return evaluation{}, Invalid, problem
	}
	if problem := s.checkReferences(result, change.Operations, values); problem != nil {
		return evaluation{}, Invalid, problem
	}
	return result, Accepted, nil
}

// parsedValue is an operation's value, decoded and in canonical form.
type parsedValue struct {
	value     Value // nil for a delete
	canonical json.RawMessage
}

// checkMetadata checks all fields of a change except for the content of its operations.
func checkMetadata(change Change) *Problem {
	texts := []struct {
		field, text string
		maxBytes    int
		required    bool
	}{
		{"request", change.IdempotencyKey, MaxNameBytes, false},
		{"author", change.Author, MaxNameBytes, true},
		{"message", change.Message, MaxTextBytes, false},
	}
	for _, each := range texts {
		switch {
		case each.required && each.text == "":
			return newProblem("", each.field, "missing")
		case len(each.text) > each.maxBytes:
			return newProblem("", each.field, fmt.Sprintf("%d bytes, at most %d are allowed", len(each.text), each.maxBytes))
		case !utf8.ValidString(each.text):
			return newProblem("", each.field, "not valid UTF-8")
		}
	}
	switch count := len(change.Operations); {
	case count == 0:
		return newProblem("", "operations", "the change has none")
	case count > MaxOperations:
		return newProblem("", "operations", fmt.Sprintf("%d operations, at most %d are allowed", count, MaxOperations))
	}
	if year := change.At.UTC().Year(); year < 0 || year > 9999 {
		return newProblem("", "at", "the year is not between 0 and 9999")
	}
	return nil
}

// parseOperations validates keys and values, and returns the values in the order of the operations.
func parseOperations(operations []Operation) ([]parsedValue, *Problem) {
	values := make([]parsedValue, len(operations))
	seen := make(map[Key]bool, len(operations))
	for i, operation := range operations {
		key := operation.Key
		if err := key.Validate(); err != nil {
			return nil, newProblem(key.String(), "", err.Error())
		}
		if seen[key] {
			return nil, newProblem(key.String(), "", "the change names the record twice")
		}
		seen[key] = true
		if operation.Delete {
			if len(operation.Value) > 0 {
				return nil, newProblem(key.String(), "value", "a delete has no value")
			}
			continue
		}
		value, canonical, problem := ParseValue(key.Kind, operation.Value)
		if problem != nil {
			return nil, newProblem(key.String(), problem.Field, problem.Reason)
		}
		values[i] = parsedValue{value: value, canonical: canonical}
	}
	return values, nil
}

// checkConditions compares the versions that the operations expect with the current ones.
func (s *Store) checkConditions(operations []Operation) *Problem {
	for _, operation := range operations {
		if operation.IfVersion == nil {
			continue
		}
		record, found := s.Get(operation.Key)
		switch expected := *operation.IfVersion; {
		case expected == record.Version:
		case !found:
			return newProblem(operation.Key.String(), "", fmt.Sprintf("the record does not exist, the change expects version %d", expected))
		case expected == 0:
			return newProblem(operation.Key.String(), "", fmt.Sprintf("the record exists at version %d, the change expects none", record.Version))
		default:
			return newProblem(operation.Key.String(), "", fmt.Sprintf("the record is at version %d, the change expects %d", record.Version, expected))
		}
	}
	return nil
}

// applyOperations applies the operations to a draft of the state and skips those that have no effect.
func (s *Store) applyOperations(version uint64, operations []Operation, values []parsedValue) evaluation {
	result := evaluation{draft: s.current().edit(), referenceDeltas: map[Key]int{}}
	for i, operation := range operations {
		old, existed := s.Get(operation.Key)
		if operation.Delete && !existed || existed && !operation.Delete && bytes.Equal(old.Value, values[i].canonical) {
			continue
		}
		result.changed = append(result.changed, operation.Key)
		if existed {
			result.addReference(storedValue(old), -1)
		}
		if operation.Delete {
			result.draft.remove(operation.Key)
			continue
		}
		result.addReference(values[i].value, 1)
		result.draft.put(Record{Key: operation.Key, Version: version, Value: values[i].canonical})
	}
	return result
}

// addReference adds delta to the reference count of the record that a value refers to.
func (e *evaluation) addReference(value Value, delta int) {
	if value == nil {
		return
	}
	if key, _, needed := value.Reference(); needed {
		e.referenceDeltas[key] += delta
	}
}

// storedValue returns the decoded value of a stored record, or nil if the value is invalid.
func storedValue(record Record) Value {
	value, _, problem := ParseValue(record.Key.Kind, record.Value)
	if problem != nil {
		return nil
	}
	return value
}

// checkBounds rejects a change that grows the state beyond a limit. A state that already exceeds a limit may shrink:
// otherwise it could never return below the limit.
func (s *Store) checkBounds(after *state) *Problem {
	if after.count > MaxRecords && after.count > s.Len() {
		return newProblem("", "operations", fmt.Sprintf("%d records after the change, at most %d are allowed", after.count, MaxRecords))
	}
	if after.bytes > MaxStateBytes && after.bytes > s.current().bytes {
		return newProblem("", "operations", fmt.Sprintf("%d bytes of records after the change, at most %d are allowed", after.bytes, MaxStateBytes))
	}
	return nil
}

// checkReferences enforces referential integrity: each record that the change puts refers to an existing record,
// and no record is deleted while others refer to it.
func (s *Store) checkReferences(after evaluation, operations []Operation, values []parsedValue) *Problem {
	for i, operation := range operations {
		if operation.Delete {
			count := s.referenceCounts[operation.Key] + after.referenceDeltas[operation.Key]
			if count > 0 {
				return newProblem(operation.Key.String(), "", fmt.Sprintf("%d records still need it", count))
			}
			continue
		}
		key, field, needed := values[i].value.Reference()
		if !needed {
			continue
		}
		if _, found := after.draft.state.get(key); !found {
			return newProblem(operation.Key.String(), field, fmt.Sprintf("there is no %s", key))
		}
	}
	return nil
}

// maxProblemBytes limits each text of a problem, since results are cached and stored.
const maxProblemBytes = 256

// newProblem returns a problem whose texts are truncated to maxProblemBytes.
func newProblem(key, field, reason string) *Problem {
	return &Problem{Key: truncateText(key), Field: truncateText(field), Reason: truncateText(reason)}
}

func truncateText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxProblemBytes)], "")
}
