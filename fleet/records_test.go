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

func putRecord(key, value string) records.Operation {
	parsed, err := records.ParseKey(key)
	if err != nil {
		panic(err)
	}
	return records.Operation{Key: parsed, Value: json.RawMessage(value)}
}

func recordsEntry(request string, operations ...records.Operation) Entry {
	at := time.Date(2026, 12, 2, 5, 0, 0, 0, time.UTC)
	return Entry{Records: &records.Change{IdempotencyKey: request, Author: "ann", Message: "why", At: at, Operations: operations}}
}

func applyRecords(t *testing.T, s *State, index uint64, e Entry, want records.Status) records.Result {
	t.Helper()
	text, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if e, err = Decode(text); err != nil {
		t.Fatal(err)
	}
	out, err := s.Apply(index, e)
	if err != nil || out.Records == nil || out.Records.Status != want {
		t.Fatalf("index %d: %+v, %v, want %s", index, out.Records, err, want)
	}
	return *out.Records
}

func TestRecordsChange(t *testing.T) {
	var s State
	first := recordsEntry("1", putRecord("plan/gold", goldPlan), putRecord("tenant/acme", acmeTenant))
	if got := applyRecords(t, &s, 7, first, records.Accepted); got.Version != 7 {
		t.Fatalf("version %d at index 7", got.Version)
	}
	if got := applyRecords(t, &s, 8, first, records.Accepted); got.Version != 7 {
		t.Fatalf("a repeat's result has version %d", got.Version)
	}
	invalid := recordsEntry("2", putRecord("plan/silver", goldPlan), putRecord("tenant/zed", `{"plan":"copper"}`))
	got := applyRecords(t, &s, 9, invalid, records.Invalid)
	if got.Problem.Key != "tenant/zed" || got.Problem.Field != "plan" {
		t.Fatalf("%+v", got.Problem)
	}
	if s.Records().Version() != 7 || s.Records().Len() != 2 {
		t.Fatalf("version %d with %d records", s.Records().Version(), s.Records().Len())
	}
	events := s.Events()
	if len(events) != 1 || events[0].Who != "ann" || events[0].What != "records version 7: 2 put, 0 deleted: plan/gold tenant/acme: why" {
		t.Fatalf("%+v", events)
	}
	if _, err := s.Apply(9, recordsEntry("3", putRecord("plan/silver", goldPlan))); err == nil {
		t.Fatal("an index was accepted twice")
	}
}

func TestRecordsInSnapshot(t *testing.T) {
	var s State
	without, err := s.Snapshot()
	if err != nil || strings.Contains(string(without), "records") {
		t.Fatalf("%s, %v", without, err)
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
		t.Fatalf("version %d, digest %s", r.Version(), r.Digest())
	}
	// A repeat is recognized after a restore.
	applyRecords(t, &restored, 4, recordsEntry("1", putRecord("plan/gold", goldPlan)), records.Accepted)
	if restored.Records().Version() != 3 {
		t.Fatal("a repeat was applied again after a restore")
	}
	// A snapshot of a program without support for records replaces all records.
	if err := restored.Restore(without); err != nil || restored.Records().Len() != 0 {
		t.Fatalf("%d records, %v", restored.Records().Len(), err)
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
		t.Fatalf("a damaged snapshot: %v, %d records", err, s.Records().Len())
	}
}

func TestRecordsEntryBounds(t *testing.T) {
	many := make([]records.Operation, records.MaxOperations+1)
	for i := range many {
		many[i] = putRecord(fmt.Sprintf("plan/p%d", i), goldPlan)
	}
	large := putRecord("plan/gold", `"`+strings.Repeat("x", MaxRecordsChangeBytes)+`"`)
	for unit, e := range map[string]Entry{"operations": recordsEntry("1", many...), "bytes": recordsEntry("1", large)} {
		_, err := e.Encode()
		var limit *RecordsLimitError
		if !errors.As(err, &limit) || limit.Unit != unit || limit.Value <= limit.Limit || !strings.Contains(err.Error(), "allowed") {
			t.Errorf("too many %s: %v", unit, err)
		}
	}
	e := recordsEntry("1", many[:records.MaxOperations]...)
	var s State
	applyRecords(t, &s, 1, e, records.Accepted)
}
