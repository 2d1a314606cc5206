package fleet

import (
	"fmt"

	"elderyard/records"
)

// MaxRecordsChangeBytes limits the names, values and conditions of a change of records, so that its entry stays well
// below the size that the replicated log accepts.
const MaxRecordsChangeBytes = 8 << 20

// operationOverhead is the size of an operation without its name and value, in bytes.
const operationOverhead = 48

// RecordsLimitError reports that a change of records exceeds a limit of an entry.
type RecordsLimitError struct {
	Value, Limit int
	Unit         string // "operations" or "bytes"
}

// Error returns the value and the limit that it exceeds.
func (e *RecordsLimitError) Error() string {
	return fmt.Sprintf("records change: %d %s, at most %d are allowed", e.Value, e.Unit, e.Limit)
}

// checkRecordsChange returns a *RecordsLimitError for a change that exceeds a limit of an entry. The operations are
// validated when the change is applied.
func checkRecordsChange(change *records.Change) error {
	if len(change.Operations) > records.MaxOperations {
		return &RecordsLimitError{len(change.Operations), records.MaxOperations, "operations"}
	}
	size := 0
	for _, operation := range change.Operations {
		size += operationOverhead + len(operation.Key.Name) + len(operation.Value)
	}
	if size > MaxRecordsChangeBytes {
		return &RecordsLimitError{size, MaxRecordsChangeBytes, "bytes"}
	}
	return nil
}

// Records returns the records of the site. The caller must not change them, nor use them after the state's next change.
func (s *State) Records() *records.Store { return &s.records }

// applyRecordsChange applies a change atomically, and adds an accepted one to the audit log.
func (s *State) applyRecordsChange(index uint64, change records.Change) (Outcome, error) {
	result, err := s.records.Apply(index, change)
	if err != nil {
		return Outcome{}, fmt.Errorf("records change: %w", err)
	}
	if result.Status == records.Accepted && result.Version == index { // else the cached result of a repeated change
		s.logEvent(change.At, change.Author, describeChange(index, change))
	}
	return Outcome{Records: &result}, nil
}

// maxNamedKeys is the number of records that an event in the audit log lists by their keys.
const maxNamedKeys = 3

// describeChange returns the audit log's text for a change of records.
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

// snapshotRecords returns nil if no change of records has been applied, so that releases without support for records
// can read the snapshots of a site without records.
func (s *State) snapshotRecords() ([]byte, error) {
	if s.records.Applied() == 0 {
		return nil, nil
	}
	return s.records.Snapshot()
}
