package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"elderyard/internal/golden"
	"elderyard/members"
)

// openWithoutSockets returns Peers that have read their files, but have no sockets and do not run.
func openWithoutSockets(t *testing.T) *Peers {
	t.Helper()
	s := newSite(t, "north", 2)
	settings := s.settings("g0")
	settings.WaitForAddress = true
	p, err := Open(settings)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// The admin interface keeps its paths, statuses, content types and bodies.
func TestGoldenAdminResponses(t *testing.T) {
	p := openWithoutSockets(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for query := range p.evidenceQueries {
			query.done <- p.machine.Evidence(query.name)
		}
	}()
	t.Cleanup(func() { close(p.evidenceQueries); <-done })
	handler := p.AdminHandler()
	call := func(ctx context.Context, method, target string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(ctx, method, target, nil))
		return w
	}
	var text []byte
	for _, c := range []struct{ method, target string }{
		{"GET", "/_peers"}, {"HEAD", "/_peers"}, {"POST", "/_peers"}, {"GET", "/_peers/"}, {"GET", "/_peers/other"},
		{"GET", "/_peers/why"}, {"GET", "/_peers/why?name=g0"}, {"GET", "/_peers/why?name=g1"}, {"GET", "/_peers/why?name=g%201"}, {"POST", "/_peers/why"},
	} {
		w := call(t.Context(), c.method, c.target)
		text = fmt.Appendf(text, "%s %s: %d, %s\n", c.method, c.target, w.Code, w.Header().Get("Content-Type"))
		if w.Code != http.StatusOK {
			text = fmt.Appendf(text, "%s\n", w.Body)
			continue
		}
		body := w.Body.Bytes()
		if !bytes.HasSuffix(body, []byte("}\n")) || bytes.Count(body, []byte("\n")) != 1 {
			t.Errorf("%s %s: the body is not one line: %q", c.method, c.target, body)
		}
		text = fmt.Appendf(text, "keys %v\n", keysOf(t, body))
	}
	golden.File(t, "calls.txt", text)

	var response Status
	decodeStrictly(t, call(t.Context(), "GET", "/_peers").Body.Bytes(), &response)
	if response.Version != 1 || response.Site != "north" || response.Clock.Location() != time.UTC || response.View.Self != "g0" || len(response.Permissions) != len(members.Operations()) {
		t.Errorf("%+v", response)
	}
	for i, op := range members.Operations() {
		if response.Permissions[i].Operation != op.String() {
			t.Errorf("operation %v, want %v", response.Permissions[i].Operation, op)
		}
	}
	var report EvidenceReport
	decodeStrictly(t, call(t.Context(), "GET", "/_peers/why?name=g0").Body.Bytes(), &report)
	if report.Self != "g0" || !reflect.DeepEqual(report.Evidence, p.machine.Evidence("g0")) {
		t.Errorf("%+v", report)
	}
	if line := p.Summary(); !strings.HasPrefix(line, "peers: unsure for ") || !strings.HasSuffix(line, " (it has just begun, and nobody has answered yet), epoch 1, nobody has answered yet") {
		t.Errorf("%q", line)
	}
}

// decodeStrictly decodes JSON, and reports unknown fields as errors.
func decodeStrictly(t *testing.T, text []byte, v any) {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		t.Errorf("%s: %v", text, err)
	}
}

// keysOf returns the keys of an encoded object, in order.
func keysOf(t *testing.T, text []byte) []string {
	t.Helper()
	var object map[string]json.RawMessage
	if err := json.Unmarshal(text, &object); err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	var keys []string
	for key := range object {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// A request for evidence fails if its context ends or Run has returned.
func TestGoldenEvidenceUnavailable(t *testing.T) {
	p := openWithoutSockets(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	w := httptest.NewRecorder()
	p.AdminHandler().ServeHTTP(w, httptest.NewRequestWithContext(ctx, "GET", "/_peers/why", nil))
	if w.Code != http.StatusServiceUnavailable || w.Body.String() != "context canceled\n" {
		t.Errorf("%d %q", w.Code, w.Body)
	}
	close(p.done)
	w = httptest.NewRecorder()
	p.AdminHandler().ServeHTTP(w, httptest.NewRequest("GET", "/_peers/why", nil))
	if w.Code != http.StatusServiceUnavailable || w.Body.String() != "peers have stopped\n" {
		t.Errorf("%d %q", w.Code, w.Body)
	}
}

// Queries request these paths, decode the golden responses, and return these errors for invalid responses.
func TestGoldenQueries(t *testing.T) {
	var requested []string
	status, body := http.StatusOK, []byte(nil)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested = append(requested, r.Method+" "+r.RequestURI)
		w.WriteHeader(status)
		w.Write(body)
	}))
	t.Cleanup(func() { server.Close(); http.DefaultClient.CloseIdleConnections() })
	address := server.Listener.Addr().String()
	respondWith := func(file string) {
		t.Helper()
		text, err := os.ReadFile(filepath.Join("testdata", file))
		if err != nil {
			t.Fatal(err)
		}
		body = text
	}
	respondWith("answer.json")
	if got, err := QueryStatus(t.Context(), address); err != nil || !reflect.DeepEqual(got, goldenStatus()) {
		t.Errorf("%+v, %v", got, err)
	}
	respondWith("why.json")
	for _, name := range []string{"", "g1", "g 1&x"} {
		if got, err := QueryEvidence(t.Context(), address, name); err != nil || !reflect.DeepEqual(got, goldenEvidence()) {
			t.Errorf("%+v, %v", got, err)
		}
	}
	if want := []string{"GET /_peers", "GET /_peers/why?name=", "GET /_peers/why?name=g1", "GET /_peers/why?name=g+1%26x"}; !slices.Equal(requested, want) {
		t.Errorf("requested %q, want %q", requested, want)
	}
	var text []byte
	for _, c := range []struct {
		status int
		body   string
	}{{http.StatusNotFound, "404"}, {http.StatusServiceUnavailable, " peers have stopped\n"}, {http.StatusOK, "{"}} {
		status, body = c.status, []byte(c.body)
		_, err := QueryStatus(t.Context(), address)
		text = fmt.Appendf(text, "%s\n", strings.ReplaceAll(fmt.Sprint(err), address, "AT"))
	}
	golden.File(t, "query_errors.txt", text)
}
