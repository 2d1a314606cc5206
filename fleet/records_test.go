package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"elderyard/records"
)

const (
	goldPlan   = `{"price_weight":1.5,"requests_per_second":100}`
	acmeTenant = `{"plan":"gold","requests_per_second":50}`
)

// putRecord returns an operation that sets the record with this key, in text form, to a value.
func putRecord(key, value string) records.Operation {
	parsed, err := records.ParseKey(key)
	if err != nil {
		panic(err)
	}
	return records.Operation{Key: parsed, Value: json.RawMessage(value)}
}

func recordsEntry(idempotencyKey string, operations ...records.Operation) Entry {
	at := time.Date(2026, 12, 2, 5, 0, 0, 0, time.UTC)
	return Entry{Records: &records.Change{IdempotencyKey: idempotencyKey, Author: "ann", Message: "why", At: at, Operations: operations}}
}

// applyRecords encodes, decodes and applies an entry, and checks the status of its result.
func applyRecords(t *testing.T, s *State, index uint64, entry Entry, want records.Status) records.Result {
	t.Helper()
	text, err := entry.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if entry, err = Decode(text); err != nil {
		t.Fatal(err)
	}
	outcome, err := s.Apply(index, entry)
	if err != nil || outcome.Records == nil || outcome.Records.Status != want {
		t.Fatalf("index %d: %+v, %v, want %s", index, outcome.Records, err, want)
	}
	return *outcome.Records
}

// TestRecordsChange checks that a change is atomic, that a repeated change returns the first result, and that the audit
// log describes an accepted change once.
func TestRecordsChange(t *testing.T) {
	var s State
	first := recordsEntry("1", putRecord("plan/gold", goldPlan), putRecord("tenant/acme", acmeTenant))
	if got := applyRecords(t, &s, 7, first, records.Accepted); got.Version != 7 {
		t.Fatalf("the result has version %d, want 7, the index", got.Version)
	}
	if got := applyRecords(t, &s, 8, first, records.Accepted); got.Version != 7 {
		t.Fatalf("the result of the repeated change has version %d, want 7", got.Version)
	}
	invalid := recordsEntry("2", putRecord("plan/silver", goldPlan), putRecord("tenant/zed", `{"plan":"copper"}`))
	got := applyRecords(t, &s, 9, invalid, records.Invalid)
	if got.Problem.Key != "tenant/zed" || got.Problem.Field != "plan" {
		t.Fatalf("problem %+v, want one of field plan of tenant/zed", got.Problem)
	}
	if s.Records().Version() != 7 || s.Records().Len() != 2 {
		t.Fatalf("after the invalid change: version %d with %d records, want 7 with 2", s.Records().Version(), s.Records().Len())
	}
	events := s.Events()
	if len(events) != 1 || events[0].Who != "ann" || events[0].What != "records version 7: 2 put, 0 deleted: plan/gold tenant/acme: why" {
		t.Fatalf("events %+v", events)
	}
	if _, err := s.Apply(9, recordsEntry("3", putRecord("plan/silver", goldPlan))); err == nil {
		t.Fatal("an index was accepted a second time")
	}
}

// TestRecordsInSnapshot checks that a snapshot contains the records and the results of earlier changes, and has no
// records at all if there has been no change of records, as in releases without support for records.
func TestRecordsInSnapshot(t *testing.T) {
	var s State
	without, err := s.Snapshot()
	if err != nil || strings.Contains(string(without), "records") {
		t.Fatalf("snapshot without records: %s, %v", without, err)
	}
	applyRecords(t, &s, 3, recordsEntry("1", putRecord("plan/gold", goldPlan)), records.Accepted)
	with, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	var restored State
	if err := restored.Restore(with); err != nil {
		t.Fatal(err)
	}
	if r := restored.Records(); r.Version() != 3 || r.Digest() != s.Records().Digest() {
		t.Fatalf("restored version %d with digest %s, want 3 with %s", r.Version(), r.Digest(), s.Records().Digest())
	}
	// A repeated change is recognized after a restore.
	applyRecords(t, &restored, 4, recordsEntry("1", putRecord("plan/gold", goldPlan)), records.Accepted)
	if restored.Records().Version() != 3 {
		t.Fatal("a repeated change was applied again after a restore")
	}
	// A snapshot of a release without support for records removes all records.
	if err := restored.Restore(without); err != nil || restored.Records().Len() != 0 {
		t.Fatalf("after the restore of a snapshot without records: %d records, %v", restored.Records().Len(), err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(with, &fields); err != nil {
		t.Fatal(err)
	}
	var stored []byte
	if err := json.Unmarshal(fields["records"], &stored); err != nil {
		t.Fatal(err)
	}
	stored[len(stored)/2] ^= 1
	if fields["records"], err = json.Marshal(stored); err != nil {
		t.Fatal(err)
	}
	damaged, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(damaged); err == nil || s.Records().Len() != 1 {
		t.Fatalf("damaged snapshot: %v, and the state has %d records, want 1", err, s.Records().Len())
	}
}

func TestRecordsEntryBounds(t *testing.T) {
	many := make([]records.Operation, records.MaxOperations+1)
	for i := range many {
		many[i] = putRecord(fmt.Sprintf("plan/p%d", i), goldPlan)
	}
	large := putRecord("plan/gold", `"`+strings.Repeat("x", MaxRecordsChangeBytes)+`"`)
	for unit, entry := range map[string]Entry{"operations": recordsEntry("1", many...), "bytes": recordsEntry("1", large)} {
		_, err := entry.Encode()
		var limitError *RecordsLimitError
		if !errors.As(err, &limitError) || limitError.Unit != unit || limitError.Value <= limitError.Limit || !strings.Contains(err.Error(), "allowed") {
			t.Errorf("too many %s: %v", unit, err)
		}
	}
	largest := recordsEntry("1", many[:records.MaxOperations]...)
	var s State
	applyRecords(t, &s, 1, largest, records.Accepted)
}
