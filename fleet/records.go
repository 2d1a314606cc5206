package fleet

import (
	"fmt"

	"elderyard/records"
)

// MaxRecordsChangeBytes bounds the names, values and conditions of a change of
// records, so that an entry stays well below what the voters' log takes.
const MaxRecordsChangeBytes = 8 << 20

// operationOverhead is what an operation counts for beside its name and value, in bytes.
const operationOverhead = 48

// checkRecordsChange holds a change to the bounds of an entry. What it would do to the
// records is for the state to judge.
func checkRecordsChange(change *records.Change) error {
	if len(change.Operations) > records.MaxOperations {
		return fmt.Errorf("records change: %d operations, at most %d are allowed", len(change.Operations), records.MaxOperations)
	}
	size := 0
	for _, operation := range change.Operations {
		size += operationOverhead + len(operation.Key.Name) + len(operation.Value)
	}
	if size > MaxRecordsChangeBytes {
		return fmt.Errorf("records change: %d bytes, at most %d are allowed", size, MaxRecordsChangeBytes)
	}
	return nil
}

// Records returns the site's records. They must be read only, and not be kept.
func (s *State) Records() *records.Store { return &s.records }

// applyRecordsChange applies a change whole or not at all, and notes an accepted one in
// the audit log.
func (s *State) applyRecordsChange(index uint64, change records.Change) (Outcome, error) {
	result, err := s.records.Apply(index, change)
	if err != nil {
		return Outcome{}, fmt.Errorf("records change: %w", err)
	}
	if result.Status == records.Accepted && result.Version == index { // else it is the answer to a repeat
		s.logEvent(change.At, change.Author, describeChange(index, change))
	}
	return Outcome{Records: &result}, nil
}

// maxNamedKeys is how many records an event of the audit log names.
const maxNamedKeys = 3

func describeChange(version uint64, change records.Change) string {
	puts, deletes := 0, 0
	named := ""
	for i, operation := range change.Operations {
		if operation.Delete {
			deletes++
		} else {
			puts++
		}
		switch {
		case i < maxNamedKeys:
			named += " " + operation.Key.String()
		case i == maxNamedKeys:
			named += " ..."
		}
	}
	text := fmt.Sprintf("records version %d: %d put, %d deleted:%s", version, puts, deletes, named)
	if change.Message != "" {
		text += ": " + change.Message
	}
	return text
}

// snapshotRecords returns nil where no change of records has been applied: the
// snapshot of such a site is the one that earlier programs wrote.
func (s *State) snapshotRecords() ([]byte, error) {
	if s.records.Applied() == 0 {
		return nil, nil
	}
	return s.records.Snapshot()
}
