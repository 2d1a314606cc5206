package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	common "go.opentelemetry.io/proto/otlp/common/v1"
	resource "go.opentelemetry.io/proto/otlp/resource/v1"
	trace "go.opentelemetry.io/proto/otlp/trace/v1"

	"elderyard/internal/otlpfile"
)

func stringAttribute(key, value string) *common.KeyValue {
	return &common.KeyValue{Key: key, Value: &common.AnyValue{Value: &common.AnyValue_StringValue{StringValue: value}}}
}

func spanOf(traceID, id, parent byte, name string, from, to uint64, attrs ...*common.KeyValue) *trace.Span {
	s := &trace.Span{TraceId: bytes.Repeat([]byte{traceID}, 16), SpanId: bytes.Repeat([]byte{id}, 8), Name: name, StartTimeUnixNano: from * 1e6,
		EndTimeUnixNano: to * 1e6, Attributes: attrs}
	if parent != 0 {
		s.ParentSpanId = bytes.Repeat([]byte{parent}, 8)
	}
	return s
}

// tracesFile writes two traces: one of two processes with a duplicate span, one with an orphan and a cycle of parents.
func tracesFile(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "stories.jsonl")
	f, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for process, spans := range map[string][]*trace.Span{
		"g0": {spanOf(0xaa, 1, 0, "POST /booking", 1000, 1400, stringAttribute("elderyard.outcome", "failed")), spanOf(0xaa, 2, 1, "attempt", 1100, 1400, stringAttribute("server.address", "n1\x1b[2J")),
			spanOf(0xaa, 3, 1, "wait for quota", 1000, 1100), spanOf(0xaa, 3, 1, "wait for quota", 1000, 1100)},
		"g1": {spanOf(0xaa, 4, 0, "POST /booking", 1500, 1700, stringAttribute("elderyard.outcome", "served")), spanOf(0xbb, 5, 0, "GET /lookup", 100, 101),
			spanOf(0xbb, 6, 7, "orphan", 100, 101), spanOf(0xbb, 8, 9, "ring", 100, 101), spanOf(0xbb, 9, 8, "ring", 100, 101)},
	} {
		if err := otlpfile.Write(f, []*trace.ResourceSpans{{Resource: &resource.Resource{Attributes: []*common.KeyValue{stringAttribute("service.instance.id", process)}},
			ScopeSpans: []*trace.ScopeSpans{{Spans: spans}}}}); err != nil {
			t.Fatal(err)
		}
	}
	return path
}

// A trace is printed as a tree without duplicates and control characters. Orphans and cycles appear as roots.
func TestTracePrintsSpanTree(t *testing.T) {
	path := tracesFile(t)
	status, out, errs := runTool(t, "trace", path, "AAAA")
	if status != exitOK {
		t.Fatal(status, errs)
	}
	var lines []string
	for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	want := []string{"trace aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa: 0.700 s, 4 spans of g0 and g1",
		"+0.000 s 0.400 s g0 POST /booking failed", "+0.000 s 0.100 s g0 ├ wait for quota", "+0.100 s 0.300 s g0 └ attempt backend n1?[2J",
		"+0.500 s 0.200 s g1 POST /booking served"}
	if strings.Join(lines, "\n") != strings.Join(want, "\n") {
		t.Errorf("%s", out)
	}
	if status, out, _ = runTool(t, "trace", path); status != exitOK || !strings.Contains(out, strings.Repeat("bb", 16)) || strings.Index(out, "aaaa") > strings.Index(out, "bbbb") {
		t.Errorf("%d\n%s", status, out)
	}
	if status, out, _ = runTool(t, "trace", path, "bb"); status != exitOK || strings.Count(out, "ring") != 2 || !strings.Contains(out, "orphan") {
		t.Errorf("%d\n%s", status, out)
	}
	if status, out, _ = runTool(t, "trace", path, "aa", "--json"); status != exitOK || strings.Count(out, `"traceId"`) != 5 {
		t.Errorf("%d\n%s", status, out)
	}
}

// Invalid arguments, files and addresses end with the documented status.
func TestTraceRejectsInvalidInput(t *testing.T) {
	path := tracesFile(t)
	bad := filepath.Join(t.TempDir(), "bad")
	if err := os.WriteFile(bad, []byte("{}\n{\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		status int
		want   string
		args   []string
	}{
		{exitUsage, "name a file", []string{"trace"}}, {exitUsage, "at most one id", []string{"trace", path, "a", "b"}},
		{exitUsage, "no such file", []string{"trace", path + "x"}}, {exitUsage, "bad: line 2", []string{"trace", bad}},
		{exitUsage, "32 hexadecimal digits", []string{"trace", path, "xyz"}}, {exitFailed, "no story whose id begins with cc", []string{"trace", path, "cc"}},
		{exitUnreachable, "refused", []string{"trace", "--from", "127.0.0.1:1", "aa"}},
	} {
		if status, _, errs := runTool(t, tc.args...); status != tc.status || !strings.Contains(errs, tc.want) {
			t.Errorf("%v: %d %q", tc.args, status, errs)
		}
	}
}
