package agent

import (
	"bytes"
	"context"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/golden"
	"elderyard/internal/leader"
	"elderyard/internal/replica"
	"elderyard/records"
	"elderyard/revisions"
	"elderyard/rollout"
	"elderyard/supervise"
)

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

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

// checkAllSet fails the test if a field of v is zero.
func checkAllSet(t *testing.T, v any) {
	t.Helper()
	if unset := unsetFields(reflect.ValueOf(v), reflect.TypeOf(v).String()); len(unset) > 0 {
		t.Errorf("fields of the golden value that are not set: %v", unset)
	}
}

// checkAnswer does the same as checkAnswerOf for an answer that must have every field set.
func checkAnswer[T any](t *testing.T, name string, answer T) {
	t.Helper()
	checkAllSet(t, answer)
	checkAnswerOf(t, name, answer)
}

// checkAnswerOf compares an answer, encoded by the HTTP interface, with its golden file, and
// the file, decoded by a client, with the answer.
func checkAnswerOf[T any](t *testing.T, name string, answer T) {
	t.Helper()
	recorder := httptest.NewRecorder()
	writeJSON(recorder, http.StatusOK, answer)
	golden.File(t, name, recorder.Body.Bytes())
	if got := recorder.Header().Get("Content-Type"); got != "application/json" || recorder.Code != http.StatusOK {
		t.Errorf("%s: %d, %q", name, recorder.Code, got)
	}
	var decoded T
	response := &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(readGolden(t, name)))}
	if err := agentapi.ReadResponse(response, &decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, answer) {
		t.Errorf("%s decodes to %+v, want %+v", name, decoded, answer)
	}
}

// checkRequest does the same for a request, encoded as by a client and decoded as by an
// agent. The request must have every field set.
func checkRequest[T any](t *testing.T, name string, request T) {
	t.Helper()
	checkAllSet(t, request)
	encoded, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	golden.File(t, name, encoded)
	var decoded T
	if err := (&call{body: readGolden(t, name)}).read(&decoded); err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	if !reflect.DeepEqual(decoded, request) {
		t.Errorf("%s decodes to %+v, want %+v", name, decoded, request)
	}
}

var goldenTime = time.Date(2026, 3, 4, 5, 6, 7, 800, time.UTC)

func goldenRevision() revisions.Revision {
	r := revisions.Revision{Number: 4, Parent: 3, Author: "ann", Message: "raise <limits>", At: goldenTime,
		Content: revisions.Content{File: "[gateway]\n", Overlays: map[string]string{"g0": "[site]\n"}, RestartGeneration: 2}}
	r.Checksum = r.Content.Checksum()
	return r
}

func TestGoldenAnswers(t *testing.T) {
	checkAnswer(t, "status.json", agentapi.Status{Agent: "a1", Leader: "a2", Stale: "no leader is known", At: goldenTime, Head: 5, Desired: 4,
		Rollout: fleet.Rollout{New: 5, Previous: 4, State: rollout.Advancing, Reason: "wave 2", By: "ann", At: goldenTime}, Wave: 2, Waves: 3,
		Instances: []agentapi.InstanceStatus{{Name: "g0", Agent: "a1", Running: 4, Assigned: 5, State: supervise.Ready, Ready: true, Phase: rollout.PhaseSoaking,
			Reason: "it ended", Crashes: 2, PID: 4711, Drained: true, Silent: true, ReportedAt: goldenTime, MembershipView: "3 of 4 there", UnreachableFrom: []string{"g7"}}},
		Store: "the disk is full"})
	checkAnswerOf(t, "status-minimal.json", agentapi.Status{Agent: "a1", Instances: []agentapi.InstanceStatus{{Name: "g0"}}})
	checkAnswer(t, "applied.json", agentapi.ApplyResult{Status: revisions.Conflict, Revision: goldenRevision(), Reason: "the rollout of revision 4 is advancing"})
	checkAnswer(t, "probes.json", []agentapi.DryRunResult{{Agent: "a1", Instance: "g0", Step: supervise.StepRestart, Error: "no such key", Silent: true}})
	checkAnswerOf(t, "probes-minimal.json", []agentapi.DryRunResult{{Agent: "a1"}})
	checkAnswer(t, "revisions.json", agentapi.Revisions{Stale: "no leader is known", Desired: 4, Revisions: []revisions.Revision{goldenRevision()}})
	checkAnswer(t, "revision.json", goldenRevision())
	checkAnswer(t, "members.json", agentapi.Members{Stale: "no leader is known", Voters: []agentapi.Member{{Name: "a1", Address: "10.0.0.1:7946", Leader: true, NonVoter: true}},
		Agents: []fleet.Agent{{Name: "a1", Address: "10.0.0.1:7946", Instances: []string{"g0"}}}})
	checkAnswerOf(t, "members-minimal.json", agentapi.Members{Voters: []agentapi.Member{{}}, Agents: []fleet.Agent{}})
	checkAnswer(t, "member-change.json", agentapi.MemberChange{Behind: []string{"a3"}})
	checkAnswerOf(t, "member-change-minimal.json", agentapi.MemberChange{})
	checkAnswer(t, "audit.json", agentapi.Audit{Stale: "no leader is known", Changes: []fleet.Event{{At: goldenTime, Who: "ann", What: "drained g0"}},
		Refused: []fleet.Event{{At: goldenTime, Who: "vic", What: "POST /v1/apply, which the role \"viewer\" may not"}}})
	checkAnswer(t, "records-result.json", records.Result{Status: records.Invalid, Version: 7,
		Problem: &records.Problem{Key: "plan/gold", Field: "burst", Reason: "it is negative"}})
	checkAnswerOf(t, "nothing.json", struct{}{})
}

func TestGoldenRequests(t *testing.T) {
	content := goldenRevision().Content
	checkRequest(t, "apply.json", agentapi.ApplyRequest{IdempotencyKey: "r1", Parent: 4, Restore: 3, Content: &content, Message: "why"})
	checkRequest(t, "verb.json", agentapi.ChangeRequest{Name: "g0", Address: "10.0.0.1:7946"})
	checkRequest(t, "probe-content.json", content)

	// Calls of older tools lack the optional keys. A call with an unknown key is rejected.
	for text, want := range map[string]any{
		`{"request":"r1","parent":0}`: agentapi.ApplyRequest{IdempotencyKey: "r1"},
		`{}`:                          agentapi.ChangeRequest{},
	} {
		got := reflect.New(reflect.TypeOf(want))
		if err := (&call{body: []byte(text)}).read(got.Interface()); err != nil || !reflect.DeepEqual(got.Elem().Interface(), want) {
			t.Errorf("%s: %v, %v", text, got, err)
		}
	}
	err := (&call{body: []byte(`{"name":"g0","mood":1}`)}).read(&agentapi.ChangeRequest{})
	var f *agentapi.Failure
	if !errors.As(err, &f) || f.Code != "bad request" || f.Text != `json: unknown field "mood"` {
		t.Errorf("an unknown key: %v", err)
	}
}

// The code, HTTP status and body of each failure must not change, and a client must decode
// the same failure from the body.
func TestGoldenFailures(t *testing.T) {
	var lines bytes.Buffer
	for _, test := range []struct {
		name string
		err  error
	}{
		{"bad request", &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: "it is bad"}},
		{"refused", &agentapi.Failure{Code: agentapi.CodeRefused, Text: "it is refused"}},
		{"forbidden", &agentapi.Failure{Code: agentapi.CodeForbidden, Text: "it is forbidden"}},
		{"not found", &agentapi.Failure{Code: agentapi.CodeNotFound, Text: "it is not there"}},
		{"unreachable", &agentapi.Failure{Code: agentapi.CodeUnreachable, Text: "it can't be reached"}},
		{"in doubt", &agentapi.Failure{Code: agentapi.CodeOutcomeUnknown, Text: "it is in doubt"}},
		{"wrapped failure", fmt.Errorf("first: %w", &agentapi.Failure{Code: agentapi.CodeRefused, Text: "it is refused"})},
		{"failure of a later release", &agentapi.Failure{Code: "moody", Text: "it is moody"}},
		{"refused by the site's state", &leader.RejectedError{Reason: "it fits no more"}},
		{"refused by the machine", fmt.Errorf("first: %w", &leader.RejectedError{Reason: "it fits no more"})},
		{"store does not know", fmt.Errorf("first: %w", replica.ErrOutcomeUnknown)},
		{"time limit", context.DeadlineExceeded},
		{"does not lead", leader.ErrNotLeading},
		{"store has no leader", fmt.Errorf("first: %w", replica.ErrNotLeader)},
		{"anything else", errors.New("the store is closed")},
	} {
		f, status := asFailure(test.err)
		recorder := httptest.NewRecorder()
		writeJSON(recorder, status, f)
		fmt.Fprintf(&lines, "%s: %d %s", test.name, status, recorder.Body)
		var read *agentapi.Failure
		if err := agentapi.ReadResponse(recorder.Result(), &struct{}{}); !errors.As(err, &read) || *read != *f {
			t.Errorf("%s: the client reads %v", test.name, err)
		}
		fmt.Fprintf(&lines, "    refused %v, bad %v, forbidden %v, in doubt %v\n", read.Refused(), read.BadRequest(), read.Forbidden(), read.OutcomeUnknown())
	}
	for _, test := range []struct {
		status int
		body   string
	}{{http.StatusBadGateway, "<html>"}, {http.StatusConflict, `{"error":"no code"}`}, {http.StatusOK, "<html>"}} {
		recorder := httptest.NewRecorder()
		recorder.WriteHeader(test.status)
		recorder.WriteString(test.body)
		var read *agentapi.Failure
		if err := agentapi.ReadResponse(recorder.Result(), &struct{}{}); !errors.As(err, &read) {
			t.Fatal(err)
		}
		text, _, _ := strings.Cut(read.Text, ":") // the rest comes from the JSON decoder
		fmt.Fprintf(&lines, "%d %s: %s: %s\n", test.status, test.body, read.Code, text)
	}
	golden.File(t, "failures.txt", lines.Bytes())
}
