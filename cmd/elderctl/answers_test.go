package main

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"elderyard/internal/agentapi"
	"elderyard/internal/golden"
	"elderyard/internal/peers"
	"elderyard/records"
	"elderyard/revisions"
)

// The prepared responses in testdata/answers set every field of the messages that the tool decodes, and each file
// equals the encoding of its decoded value.
func TestPreparedResponsesSetEveryField(t *testing.T) {
	for _, tc := range []struct {
		value any
		files []string
	}{
		{&agentapi.Status{}, []string{"status.json", "status-stale.json", "status-applied.json", "status-partly.json", "status-back.json", "status-hears.json", "status-advancing.json", "status-another.json", "status-new.json", "status-before.json"}},
		{&agentapi.Revisions{}, []string{"revisions.json"}},
		{&revisions.Revision{}, []string{"revision-12.json", "revision-11.json"}},
		{&agentapi.Members{}, []string{"members.json"}},
		{&agentapi.Audit{}, []string{"audit.json", "refused.json"}},
		{&[]agentapi.DryRunResult{}, []string{"probe.json", "probe-bad.json", "probe-silent.json"}},
		{&agentapi.ApplyResult{}, []string{"applied-busy.json", "applied-accepted.json", "applied-no-change.json", "applied-conflict.json", "applied-unknown.json"}},
		{&agentapi.MemberChange{}, []string{"change.json"}},
		{&agentapi.RecordsList{}, []string{"records.json", "record.json", "record-none.json"}},
		{&agentapi.RecordsVersions{}, []string{"records-versions.json"}},
		{&agentapi.RecordsDiff{}, []string{"records-diff.json"}},
		{&agentapi.RecordsLag{}, []string{"records-lag.json", "records-lag-behind.json", "records-lag-good.json"}},
		{&records.Result{}, []string{"result-invalid.json", "result-accepted.json", "result-unchanged.json", "result-conflict.json"}},
		{&peers.Status{}, []string{"peer-g2.json", "peer-g0.json", "peer-g1.json", "peer-g2-joining.json"}},
		{&peers.EvidenceReport{}, []string{"why-g0.json", "why-g1.json"}},
	} {
		var values []any
		for _, name := range tc.files {
			text := reply{body: "@" + name}.text(t)
			v := reflect.New(reflect.TypeOf(tc.value).Elem())
			d := json.NewDecoder(bytes.NewReader(text))
			d.DisallowUnknownFields()
			if err := d.Decode(v.Interface()); err != nil {
				t.Errorf("%s: %v", name, err)
				continue
			}
			again, err := json.MarshalIndent(v.Interface(), "", "  ")
			if err != nil || string(again)+"\n" != string(text) {
				t.Errorf("%s is encoded as (%v)\n%s", name, err, again)
			}
			values = append(values, v.Elem().Interface())
		}
		for _, field := range golden.UnsetFields(values...) {
			t.Errorf("field %s is set in none of %v", field, tc.files)
		}
	}
}
