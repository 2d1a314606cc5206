package records

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"elderyard/internal/golden"
)

var goldenTime = time.Date(2026, 12, 2, 5, 0, 1, 123456789, time.UTC)

var goldenDigest = Digest{0x01, 0x23, 0x45, 0x67, 0x89, 0xab, 0xcd, 0xef, 0xfe, 0xdc, 0xba, 0x98, 0x76, 0x54, 0x32, 0x10}

// goldenValues returns a value of each kind with every field set.
func goldenValues() map[Kind]Value {
	return map[Kind]Value{
		Route:   &RouteValue{Service: "search", Host: "shop.example.test", Prefix: "/v1/<search>&more", TimeoutMillis: 2000, Retries: 2},
		Tenant:  &TenantValue{Plan: "gold", RequestsPerSecond: 50, Burst: 75},
		Plan:    &PlanValue{PriceWeight: 1.5, RequestsPerSecond: 100, Burst: 150},
		Service: &ServiceValue{Class: "interactive", Zones: []string{"zone-a", "zone-b"}},
	}
}

// The canonical form of values does not change.
func TestGoldenValues(t *testing.T) {
	for _, kind := range Kinds() {
		name := "value_" + string(kind) + ".json"
		value := goldenValues()[kind]
		golden.EveryField(t, value)
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		golden.File(t, "golden/"+name, text)
		stored := golden.Read(t, "golden/"+name, text)
		parsed, canonical, problem := ParseValue(kind, stored)
		if problem != nil || !reflect.DeepEqual(parsed, value) || !bytes.Equal(canonical, stored) {
			t.Errorf("%s: parsed as %+v, %s, %v", kind, parsed, canonical, problem)
		}
		for _, text := range withUnknownFields(stored) {
			if _, _, problem := ParseValue(kind, text); problem == nil || problem.Error() != "unknown_field: unknown field" {
				t.Errorf("%s: with an unknown field: %v", kind, problem)
			}
		}
	}
}

// goldenRecord returns a record of a kind with every field set.
func goldenRecord(t testing.TB, kind Kind, name string, version uint64) Record {
	t.Helper()
	value, err := json.Marshal(goldenValues()[kind])
	if err != nil {
		t.Fatal(err)
	}
	return Record{Key: Key{Kind: kind, Name: name}, Version: version, Value: value}
}

func goldenDelta(t testing.TB) Delta {
	t.Helper()
	return Delta{From: 41, To: 43, Digest: goldenDigest,
		Puts: List[Record]{goldenRecord(t, Plan, "gold", 42), goldenRecord(t, Service, "search", 43),
			goldenRecord(t, Route, "search-1", 43), goldenRecord(t, Tenant, "acme", 42)},
		Deletes: List[Tombstone]{{Key: Key{Kind: Tenant, Name: "old_1.x-y:z"}, Version: 43}}}
}

// The JSON of changes, results and statuses, which other packages embed in their messages, does not change.
func TestGoldenChange(t *testing.T) {
	expected := uint64(7)
	record := goldenRecord(t, Plan, "gold", 9)
	operation := Operation{Key: record.Key, Delete: true, Value: record.Value, IfVersion: &expected}
	problem := &Problem{Key: "tenant/acme", Field: "plan", Reason: "there is no plan/iron"}
	pinJSON(t, "record.json", record)
	pinJSON(t, "operation.json", operation)
	pinJSON(t, "change.json", Change{IdempotencyKey: "deploy-17", Author: "anna", Message: "raise <gold> & more", At: goldenTime, Operations: []Operation{operation}})
	pinJSON(t, "result.json", Result{Status: Conflict, Version: 12, Problem: problem})
	pinJSON(t, "problem.json", *problem)
	pinJSON(t, "change_info.json", ChangeInfo{Version: 12, Author: "anna", Message: "raise", At: goldenTime, Operations: 3})
	pinJSON(t, "key_change.json", KeyChange{Key: record.Key, Version: 9, Record: &record, SupersededBy: 12})
	pinJSON(t, "follower_status.json", FollowerStatus{State: Repairing, Version: 41, Digest: goldenDigest, Head: 43, Records: 5,
		ConfirmedAt: goldenTime, LastContact: goldenTime.Add(time.Second), Server: "control-1", Reason: "repair: digest", RangesFetched: 3, RangesPending: 2})
}

// Fields with a zero value are encoded or omitted as other versions of the program expect.
func TestGoldenZeroFields(t *testing.T) {
	never := uint64(0)
	for _, test := range []struct {
		value any
		want  string
	}{
		{Operation{Key: key("plan/a"), IfVersion: &never}, `{"key":"plan/a","if":0}`},
		{Change{}, `{"author":"","at":"0001-01-01T00:00:00Z","operations":null}`},
		{Result{}, `{"status":"","version":0}`},
		{Problem{}, `{"reason":""}`},
		{ChangeInfo{}, `{"version":0,"author":"","at":"0001-01-01T00:00:00Z","operations":0}`},
		{KeyChange{Key: key("plan/a")}, `{"key":"plan/a","version":0}`},
		{FollowerStatus{}, `{"state":"","version":0,"digest":"00000000000000000000000000000000","head":0,"records":0,"contact":"0001-01-01T00:00:00Z"}`},
		{ChangesResponse{}, `{"version":0,"digest":"00000000000000000000000000000000"}`},
		{Delta{}, `{"from":0,"to":0,"digest":"00000000000000000000000000000000"}`},
		{RangeDigests{}, `{"version":0,"digest":"00000000000000000000000000000000","ranges":null}`},
		{Chunk{}, `{"version":0,"digest":"00000000000000000000000000000000","ranges":null}`},
		{RangeContent{}, `{"range":0,"digest":0,"records":null}`},
		{logEntry{}, `{"info":{"version":0,"author":"","at":"0001-01-01T00:00:00Z","operations":0},"digest":"00000000000000000000000000000000","keys":null}`},
		{RouteValue{}, `{"service":"","prefix":""}`},
		{TenantValue{}, `{"plan":""}`},
		{PlanValue{}, `{"price_weight":0,"requests_per_second":0}`},
		{ServiceValue{}, `{"class":""}`},
	} {
		if text, err := json.Marshal(test.value); err != nil || string(text) != test.want {
			t.Errorf("%T: %s, %v; want %s", test.value, text, err, test.want)
		}
	}
	texts := fmt.Sprint([]any{Accepted, Unchanged, Conflict, Invalid, RepairCompacted, RepairDigest, RepairTooLarge, Following, Repairing, Disconnected, Kinds()})
	if want := "[accepted unchanged conflict invalid compacted digest too_large following repairing cut_off [route tenant plan service]]"; texts != want {
		t.Errorf("%s, want %s", texts, want)
	}
}

// Responses to requests for changes are exchanged between versions of the program.
func TestGoldenChangesResponses(t *testing.T) {
	delta := goldenDelta(t)
	golden.EveryField(t, delta)
	small := Delta{From: 42, To: 43, Digest: goldenDigest, Deletes: delta.Deletes}
	for name, response := range map[string]ChangesResponse{
		"answer_delta.json":       {Version: 43, Digest: goldenDigest, Delta: &delta},
		"answer_delta_small.json": {Version: 43, Digest: goldenDigest, Delta: &small},
		"answer_repair.json":      {Version: 43, Digest: goldenDigest, Repair: RepairTooLarge},
		"answer_behind.json":      {Version: 43, Digest: goldenDigest, Behind: true},
		"answer_nothing_new.json": {Version: 43, Digest: goldenDigest},
	} {
		pinMessage(t, name, response, EncodeChangesResponse, DecodeChangesResponse)
	}
	// No server sets all of these fields at once, and no follower accepts such a response.
	every := ChangesResponse{Version: 43, Digest: goldenDigest, Delta: &delta, Repair: RepairDigest, Behind: true}
	golden.EveryField(t, every)
	text, err := json.Marshal(every)
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, "golden/answer_every_field.json", text)
	var decoded ChangesResponse
	if err := decodeStrict(golden.Read(t, "golden/answer_every_field.json", text), &decoded); err != nil || !reflect.DeepEqual(decoded, every) {
		t.Errorf("decoded to %+v, %v", decoded, err)
	}
	if _, err := DecodeChangesResponse(text); !errors.Is(err, ErrMessage) {
		t.Errorf("a response with every field: %v, want ErrMessage", err)
	}
	// Only stores interpret the fields of a value: a follower accepts unknown fields.
	newer := bytes.ReplaceAll(golden.Read(t, "golden/answer_delta.json", nil), []byte(`"value":{`), []byte(`"value":{"unknown_field":1,`))
	response, err := DecodeChangesResponse(newer)
	if err != nil || !bytes.HasPrefix(response.Delta.Puts[0].Value, []byte(`{"unknown_field":1,`)) {
		t.Errorf("a value with an unknown field: %v", err)
	}
}

// goldenStore returns a store with a compacted log, accepted, unchanged and invalid changes, and a version that was set
// by Advance.
func goldenStore(t testing.TB) *Store {
	t.Helper()
	store := &Store{}
	operation := func(kind Kind, name string) Operation {
		record := goldenRecord(t, kind, name, 0)
		return Operation{Key: record.Key, Value: record.Value}
	}
	first := change(operation(Plan, "gold"), operation(Service, "search"), operation(Tenant, "acme"), operation(Tenant, "old"))
	first.At = goldenTime
	apply(t, store, 2, first, Accepted)
	store.log.compact(1)
	second := Change{IdempotencyKey: "deploy-1", Author: "anna", Message: "raise <gold> & more", At: goldenTime.In(time.FixedZone("CET", 3600)),
		Operations: []Operation{operation(Route, "search-1"), remove("tenant/old")}}
	apply(t, store, 5, second, Accepted)
	third := Change{IdempotencyKey: "deploy-2", Author: "bert", At: goldenTime, Operations: []Operation{put("tenant/x", `{"plan":"iron"}`)}}
	apply(t, store, 6, third, Invalid)
	if err := store.Advance(ChangeInfo{Version: 8, Author: "restore", Message: "restored", At: goldenTime}); err != nil {
		t.Fatal(err)
	}
	apply(t, store, 9, change(operation(Plan, "gold")), Unchanged)
	return store
}

// Digests and content of ranges are exchanged between versions of the program.
func TestGoldenRanges(t *testing.T) {
	store := goldenStore(t)
	digests := store.RangeDigests()
	golden.EveryFieldSomewhere(t, digests)
	pinMessage(t, "range_digests.json", digests, EncodeRangeDigests, DecodeRangeDigests)
	var ranges []int
	for _, name := range []string{"route/search-1", "plan/gold", "service/search", "tenant/acme"} {
		ranges = append(ranges, RangeOf(key(name)))
	}
	slices.Sort(ranges)
	chunk := store.Chunk(ContentRequest{Ranges: ranges, MaxBytes: MaxChunkBytes})
	golden.EveryField(t, chunk)
	pinMessage(t, "chunk.json", chunk, EncodeChunk, DecodeChunk)
	pinMessage(t, "chunk_small.json", store.Chunk(ContentRequest{Ranges: ranges[:1]}), EncodeChunk, DecodeChunk)
	if text := FormatRanges([]int{0, 1, 2, 9, 1022, 1023}); text != "0-2,9,1022-1023" {
		t.Errorf("ranges are formatted as %s", text)
	}
}

// Servers and followers of different versions must compute the same digests and ranges.
func TestGoldenDigests(t *testing.T) {
	var text strings.Builder
	fmt.Fprintf(&text, "empty %s\n", emptyState.digest)
	for _, kind := range Kinds() {
		record := goldenRecord(t, kind, "search-1", 42)
		sum := hashRecord(record)
		fmt.Fprintf(&text, "%s range %d hash %016x%016x state %s\n", record.Key, RangeOf(record.Key), sum.high, sum.low, digestOf([]Record{record}))
	}
	store := goldenStore(t)
	fmt.Fprintf(&text, "store %s at 5 %s\n", store.Digest(), digestOf(store.current().sorted()))
	expected := uint64(7)
	hash := changeHash(Change{Author: "anna", Message: "raise", Operations: []Operation{put("plan/gold", planValue), {Key: key("plan/old"), Delete: true, IfVersion: &expected}}})
	fmt.Fprintf(&text, "change %x\n", hash)
	golden.Text(t, "digests.txt", text.String())
}

// Later versions of the program read the journals of earlier ones.
func TestGoldenJournal(t *testing.T) {
	store := goldenStore(t)
	base := &Replica{state: emptyState, version: 1}
	large := since(t, store, 2)
	large.From = 1
	large.Puts = store.current().sorted()
	golden.EveryField(t, large)
	small := Delta{From: 8, To: 9, Digest: store.Digest(), Deletes: List[Tombstone]{{Key: key("tenant/old"), Version: 9}}}
	for name, delta := range map[string]Delta{"journal_large": large, "journal_small": small} {
		t.Run(name, func(t *testing.T) {
			entry, err := EncodeJournalEntry(delta)
			if err != nil {
				t.Fatal(err)
			}
			text, err := decompress(entry[12:], MaxMessageBytes)
			if err != nil {
				t.Fatal(err)
			}
			golden.File(t, "golden/"+name+".json", text)
			if name == "journal_small" { // not compressed, so that the bytes do not depend on the compression library
				golden.File(t, "golden/"+name+".bin", entry)
			}
			for _, unknown := range withUnknownFields(text) {
				if _, err := decode[Delta](unknown); !errors.Is(err, ErrMessage) {
					t.Errorf("with an unknown field: %v", err)
				}
			}
		})
		entry, err := EncodeJournalEntry(delta)
		if err != nil {
			t.Fatal(err)
		}
		golden.Read(t, "golden/"+name+".bin", entry)
	}
	journal := slices.Concat(golden.Read(t, "golden/journal_large.bin", nil), golden.Read(t, "golden/journal_small.bin", nil))
	if count, err := base.Replay(journal); err != nil || count != len(journal) || base.Version() != 9 || base.Digest() != store.Digest() {
		t.Errorf("replayed %d of %d bytes to version %d, %v", count, len(journal), base.Version(), err)
	}
}

// Later versions of the program read the snapshots of earlier ones.
func TestGoldenSnapshots(t *testing.T) {
	store := goldenStore(t)
	var content storeSnapshot
	data, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if err := decodeSnapshot(storeHeader, data, &content); err != nil {
		t.Fatal(err)
	}
	golden.EveryFieldSomewhere(t, content)
	pinSnapshot(t, "snapshot_store", "elderyard records store 1\n", data, func(data []byte) ([]byte, error) {
		restored := &Store{}
		if err := restored.Restore(data); err != nil {
			return nil, err
		}
		return restored.Snapshot()
	})
	restoreReplica := func(data []byte) ([]byte, error) {
		restored := &Replica{}
		if err := restored.Restore(data); err != nil {
			return nil, err
		}
		return restored.Snapshot()
	}
	small := &Store{}
	apply(t, small, 3, change(put("plan/gold", planValue)), Accepted)
	for name, store := range map[string]*Store{"snapshot_replica": store, "snapshot_replica_small": small} {
		replica := &Replica{}
		delta := Difference(&Store{}, store)
		if err := replica.ApplyDelta(delta); err != nil {
			t.Fatal(err)
		}
		if data, err = replica.Snapshot(); err != nil {
			t.Fatal(err)
		}
		pinSnapshot(t, name, "elderyard records replica 1\n", data, restoreReplica)
	}
}
