package agentapi

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"elderyard/fleet"
	"elderyard/internal/golden"
	"elderyard/records"
	"elderyard/revisions"
	"elderyard/rollout"
	"elderyard/supervise"
)

// recordedCall formats an HTTP request as the server received it.
func recordedCall(r *http.Request) string {
	body, _ := io.ReadAll(r.Body)
	text := fmt.Sprintf("%s %s %s", r.Method, r.RequestURI, body)
	for _, key := range []string{"Content-Type", "X-Elderyard-Hop", "X-Elderyard-For"} {
		if value := r.Header.Get(key); value != "" {
			text += fmt.Sprintf(" %s=%s", key, value)
		}
	}
	return text
}

// The method, path, query and body of each of the client's calls must not change.
func TestGoldenClientCalls(t *testing.T) {
	var lines bytes.Buffer
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprintln(&lines, recordedCall(r))
		io.WriteString(w, "null")
	}))
	defer server.Close()
	c, err := NewClient(Target{Address: server.Listener.Addr().String(), Plain: true})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	ctx, content := t.Context(), revisions.Content{File: "[gateway]\n", Overlays: map[string]string{"g0": "[site]\n"}, RestartGeneration: 2}
	change := ChangeRequest{Name: "a3", Address: "10.0.0.3:7946"}
	check := func(err error) {
		t.Helper()
		if err != nil {
			t.Error(err)
		}
	}
	call := func(_ any, err error) { t.Helper(); check(err) }
	call(c.Status(ctx))
	call(c.Revisions(ctx))
	call(c.Revision(ctx, 4))
	call(c.Members(ctx))
	call(c.Audit(ctx))
	call(c.Apply(ctx, ApplyRequest{IdempotencyKey: "r1", Parent: 4, Content: &content, Message: "why"}))
	call(c.DryRun(ctx, content))
	for _, name := range []string{"pause", "resume", "abort", "drain", "undrain", "agents/remove"} {
		check(c.Do(ctx, name, ChangeRequest{Name: "g0"}))
	}
	call(c.AddMember(ctx, change))
	call(c.AddNonVoter(ctx, change))
	call(c.RemoveMember(ctx, ChangeRequest{Name: "a3"}))
	call(c.Snapshot(ctx))
	check(c.Restore(ctx, []byte(`{"form":1}`)))
	call(c.ChangeRecords(ctx, RecordsChange{IdempotencyKey: "r1", Message: "why"}))
	call(c.Record(ctx, records.Key{Kind: records.Plan, Name: "gold"}))
	call(c.ListRecords(ctx, records.Tenant, "ac", 10))
	call(c.RecordsVersions(ctx, 3))
	call(c.RecordsDiff(ctx, 5, 7))
	call(c.RecordsLag(ctx))
	golden.File(t, "client-calls.txt", lines.Bytes())
}

// The tool must read responses from agents of other releases: a missing key has the zero
// value, and an unknown one is ignored.
func TestAnswersOfOtherReleases(t *testing.T) {
	for text, want := range map[string]any{
		`{"agent":"a1","leader":"a1","at":"2026-03-04T05:06:07.0000008Z","head":1,"wanted":1,"rollout":{"new":1,"before":0,"state":"applied","why":"","by":"ann","at":"2026-03-04T05:06:07.0000008Z"},"wave":1,"waves":1,"instances":[{"name":"g0","agent":"a1","running":1,"told":1,"state":"ready","ready":true,"crashes":0,"heard":"2026-03-04T05:06:07.0000008Z"}]}`: Status{Agent: "a1", Leader: "a1", At: goldenTime, Head: 1, Desired: 1, Wave: 1, Waves: 1, Rollout: fleet.Rollout{New: 1, State: rollout.Applied, By: "ann", At: goldenTime},
			Instances: []InstanceStatus{{Name: "g0", Agent: "a1", Running: 1, Assigned: 1, State: supervise.Ready, Ready: true, ReportedAt: goldenTime}}},
		`{"voters":[{"name":"a1","address":"","leader":true}],"agents":[],"mood":{"x":1}}`: Members{Voters: []Member{{Name: "a1", Leader: true}}, Agents: []fleet.Agent{}},
		`{}`: MemberChange{},
	} {
		got := reflect.New(reflect.TypeOf(want))
		response := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}
		if err := ReadResponse(response, got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s: %+v, %v", text, got, err)
		}
	}
}
