package agentapi

import (
	"encoding"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"elderyard/fleet"
	"elderyard/internal/golden"
	"elderyard/members"
	"elderyard/records"
	"elderyard/revisions"
	"elderyard/supervise"
)

// unsetFields returns the paths of all fields of v, also nested ones, that are zero.
func unsetFields(v reflect.Value, path string) (unset []string) {
	if _, isText := v.Interface().(encoding.TextMarshaler); isText && v.Kind() != reflect.Pointer {
		if v.IsZero() {
			return []string{path}
		}
		return nil
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			return []string{path}
		}
		return unsetFields(v.Elem(), path)
	case reflect.Struct:
		for i := range v.NumField() {
			unset = append(unset, unsetFields(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
	case reflect.Slice:
		if v.Len() == 0 {
			return []string{path}
		}
		for i := range v.Len() {
			unset = append(unset, unsetFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
	case reflect.Map:
		if v.Len() == 0 {
			return []string{path}
		}
		for _, key := range v.MapKeys() {
			unset = append(unset, unsetFields(v.MapIndex(key), fmt.Sprintf("%s[%v]", path, key))...)
		}
	default:
		if v.IsZero() {
			return []string{path}
		}
	}
	return unset
}

// checkMessage compares the encoded message with its golden file, and the decoded file with
// the message.
func checkMessage[T any](t *testing.T, name string, message T) {
	t.Helper()
	encoded, err := json.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, name, encoded)
	golden, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	var decoded T
	if err := revisions.DecodeStrict(golden, &decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, message) {
		t.Errorf("%s decodes to %+v, want %+v", name, decoded, message)
	}
}

func checkFullMessage[T any](t *testing.T, name string, message T) {
	t.Helper()
	if unset := unsetFields(reflect.ValueOf(message), reflect.TypeFor[T]().Name()); len(unset) > 0 {
		t.Errorf("fields of the golden message that are not set: %v", unset)
	}
	checkMessage(t, name, message)
}

var (
	goldenTime   = time.Date(2026, 3, 4, 5, 6, 7, 800, time.UTC)
	goldenDigest = records.Digest{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	goldenKey    = records.Key{Kind: records.Plan, Name: "gold"}
	goldenValue  = json.RawMessage(`{"price_weight":1.5,"requests_per_second":100}`)
)

func ptr[T any](v T) *T { return &v }

func goldenStatus() RecordsStatus {
	return RecordsStatus{State: records.Following, Version: 7, Digest: goldenDigest, AgeSeconds: ptr(1.5), Reason: "the disk is full"}
}

func goldenReport() Report {
	status := goldenStatus()
	return Report{
		Agent: fleet.Agent{Name: "a1", Address: "10.0.0.1:7946", Instances: []string{"g0"}},
		Instances: []Observed{{Name: "g0", Running: 3, ContentChecksum: "c3", Target: 4, State: supervise.Ready, Reason: "it ended", Crashes: 2, PID: 4711,
			Rejected: 5, RejectionReason: "revision 5: no such key", MembershipView: "3 of 4 there", Unreachable: []string{"g7"}}},
		WantsRoster: true, RosterEpoch: 9, Records: &status,
	}
}

func goldenOrders() Orders {
	return Orders{Leader: "a2", Address: "10.0.0.2:7946", Wait: true,
		Orders:  map[string]Order{"g0": {Revision: 4, Checksum: "c4", Drained: true}},
		Roster:  &members.Roster{Epoch: 10, Members: []members.Member{{Name: "g0", Since: 2}}},
		Records: &RecordsHead{Version: 8}}
}

func TestGoldenMessages(t *testing.T) {
	checkFullMessage(t, "report.json", goldenReport())
	checkFullMessage(t, "orders.json", goldenOrders())
	checkFullMessage(t, "records-change.json", RecordsChange{IdempotencyKey: "r1", Message: "why",
		Operations: []records.Operation{{Key: goldenKey, Delete: true, Value: goldenValue, IfVersion: ptr(uint64(6))}}})
	checkFullMessage(t, "records-list.json", RecordsList{Version: 7, Digest: goldenDigest, Total: 12,
		Records: []records.Record{{Key: goldenKey, Version: 5, Value: goldenValue}}})
	checkFullMessage(t, "records-versions.json", RecordsVersions{Version: 7, Digest: goldenDigest,
		Changes: []records.ChangeInfo{{Version: 7, Author: "ann", Message: "why", At: goldenTime, Operations: 2}}})
	checkFullMessage(t, "records-diff.json", RecordsDiff{From: 5, To: 7,
		Changes: []records.KeyChange{{Key: goldenKey, Version: 6, Record: &records.Record{Key: goldenKey, Version: 6, Value: goldenValue}, SupersededBy: 7}}})
	checkFullMessage(t, "records-lag.json", RecordsLag{Stale: "no leader is known", Version: 8, Digest: goldenDigest, UpToDate: 3,
		Agents: []AgentRecords{{Agent: "a1", State: RecordsBehind, Status: goldenStatus(), BehindSince: ptr(goldenTime), ReportedAt: ptr(goldenTime.Add(time.Second))}}})
}

// In the messages of a site without gateways, records and rosters, an optional key without
// a value is omitted, and any other is written.
func TestGoldenMessagesWithoutOptionalFields(t *testing.T) {
	checkMessage(t, "report-minimal.json", Report{Agent: fleet.Agent{Name: "a1", Instances: []string{}}})
	checkMessage(t, "report-instance-minimal.json", Report{Agent: fleet.Agent{Name: "a1", Address: "10.0.0.1:7946", Instances: []string{"g0"}},
		Instances: []Observed{{Name: "g0", State: supervise.Down}}})
	checkMessage(t, "orders-minimal.json", Orders{Leader: "a2", Address: "10.0.0.2:7946", Orders: map[string]Order{"g0": {}}})
	checkMessage(t, "records-change-minimal.json", RecordsChange{IdempotencyKey: "r1"})
	checkMessage(t, "records-list-minimal.json", RecordsList{Records: []records.Record{}})
	checkMessage(t, "records-lag-minimal.json", RecordsLag{Agents: []AgentRecords{{Agent: "a1", State: RecordsSilent}}})
}

// A report of an agent of a release without rosters and records must be accepted. A report
// with an unknown key must be rejected, as in those releases.
func TestReportOfOlderAgent(t *testing.T) {
	oldReport := []byte(`{"agent":{"name":"a1","address":"10.0.0.1:7946","instances":["g0"]},` +
		`"instances":[{"name":"g0","running":3,"taking":4,"state":"starting","crashes":2}]}`)
	var got Report
	if err := revisions.DecodeStrict(oldReport, &got); err != nil {
		t.Fatal(err)
	}
	want := Report{Agent: fleet.Agent{Name: "a1", Address: "10.0.0.1:7946", Instances: []string{"g0"}},
		Instances: []Observed{{Name: "g0", Running: 3, Target: 4, State: supervise.Starting, Crashes: 2}}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	for _, unknown := range []string{`{"agent":{},"instances":[],"mood":1}`, `{"agent":{},"instances":[{"mood":1}]}`} {
		if err := revisions.DecodeStrict([]byte(unknown), &got); err == nil || err.Error() != `json: unknown field "mood"` {
			t.Errorf("%s: %v", unknown, err)
		}
	}
}

// Orders from a leader of a release without rosters and records must be accepted, and so
// must those of a later release with unknown keys.
func TestOrdersOfOlderAndNewerLeader(t *testing.T) {
	want := Orders{Leader: "a2", Address: "10.0.0.2:7946", Orders: map[string]Order{"g0": {Revision: 4}}}
	for name, text := range map[string]string{
		"older": `{"leader":"a2","address":"10.0.0.2:7946","wait":false,"orders":{"g0":{"revision":4}}}`,
		"newer": `{"leader":"a2","address":"10.0.0.2:7946","wait":false,"orders":{"g0":{"revision":4,"mood":1}},"mood":{"x":[1]}}`,
	} {
		var got Orders
		if err := json.Unmarshal([]byte(text), &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v, want %+v", name, got, err, want)
		}
	}
}

func TestGoldenNames(t *testing.T) {
	if ReportPath != "/v1/report" || HopHeader != "X-Elderyard-Hop" || HopMayForward != "0" {
		t.Errorf("%q %q %q", ReportPath, HopHeader, HopMayForward)
	}
	states := []RecordsState{RecordsUpToDate, RecordsBehind, RecordsDiverged, RecordsSilent, RecordsNoReports, RecordsUnknown}
	if want := []RecordsState{"in force", "behind", "differs", "silent", "off", "unknown"}; !slices.Equal(states, want) {
		t.Errorf("%q, want %q", states, want)
	}
}
