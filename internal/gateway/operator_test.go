package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// withOperator adds an operator API to a configuration.
func withOperator(config string) string {
	return strings.Replace(config, `"listen":`, `"operator": "127.0.0.1:0", "listen":`, 1)
}

// callOperator makes one call to the operator API and returns its status.
func (gw *testGateway) callOperator(t *testing.T, method, path, body string) int {
	t.Helper()
	conn, err := net.Dial("tcp", gw.operatorAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: desk\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%s %s: %v", method, path, err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Each call succeeds and fails as it should, and an invalid call changes nothing.
func TestOperatorAPI(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGatewayWith(t, withOperator, backend)
	id := fmt.Sprintf(`{"id":%q}`, backend.Address())
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{"GET", "/_ready", "", 200},
		{"POST", "/_ready", "", 405},
		{"GET", "/_lameduck/on", "", 405},
		{"POST", "/_lameduck", "", 404},
		{"POST", "/_backends/detach", `{"id":"never listed"}`, 404},
		{"POST", "/_backends/attach", `{"id":"never listed"}`, 404},
		{"POST", "/_backends/detach", ``, 400},
		{"POST", "/_backends/detach", `{"id":""}`, 400},
		{"POST", "/_backends/detach", `{"id":7}`, 400},
		{"POST", "/_backends/detach", `{"name":"x"}`, 400},
		{"POST", "/_backends/detach", id + id, 400},
		{"POST", "/_backends/detach", `{"id":"` + strings.Repeat("x", maxOperatorBody) + `"}`, 400},
		{"POST", "/_backends/attach", id, 200}, // not detached: no change
		{"POST", "/_backends/detach", id, 200},
		{"POST", "/_backends/detach", id, 200},
		{"POST", "/_backends/attach", id, 200},
		{"GET", "/_ready", "", 200},
	} {
		if got := gw.callOperator(t, c.method, c.path, c.body); got != c.want {
			t.Errorf("%s %s %.40s: %d, want %d", c.method, c.path, c.body, got, c.want)
		}
	}
	_, responses := gw.send(t, requestText("POST", "booking", "x"))
	serveOnce(t, backend, "ok")
	if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
		t.Errorf("request after all calls: %d", resp.StatusCode)
	}
}

// Idle and incomplete calls don't keep others out.
func TestIdleOperatorConnections(t *testing.T) {
	t.Parallel()
	gw := startGatewayWith(t, withOperator, newPeer(t))
	for i := range 4 * maxOperatorConns {
		c, err := net.Dial("tcp", gw.operatorAddress)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "POST /_backends/detach HTTP/1.1\r\nContent-Length: 100\r\n\r\n{")
		}
	}
	if got := gw.callOperator(t, "GET", "/_ready", ""); got != 200 {
		t.Errorf("ready: %d", got)
	}
}

// A detached backend gets no requests, on old connections or new ones, even if discovery lists it again.
// Requests in flight get their responses.
func TestDetachedBackend(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGatewayWith(t, withOperator, backend)
	_, first := gw.send(t, requestText("POST", "booking", "x"))
	reused, br := backend.Accept(t)
	readRequest(t, br)
	id := fmt.Sprintf(`{"id":%q}`, backend.Address())
	if got := gw.callOperator(t, "POST", "/_backends/detach", id); got != 200 {
		t.Fatalf("detach: %d", got)
	}
	io.WriteString(reused, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if resp := wait(t, first, "response"); resp.StatusCode != 200 {
		t.Errorf("the request in flight: %d", resp.StatusCode)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("its connection: %v", err)
	}
	wait(t, gw.registry.Queries, "first list")
	wait(t, gw.registry.Queries, "watch")
	again := newListing(true, "Ready", backend)
	again.Instances[0].StartedAtMs = time.Now().UnixMilli()
	gw.registry.Responses <- again
	wait(t, gw.registry.Queries, "next watch")
	_, refused := gw.send(t, requestText("GET", "glance", ""))
	if resp := wait(t, refused, "response"); resp.StatusCode != 429 || len(backend.Conns) != 0 {
		t.Errorf("while detached: %d, %d connections", resp.StatusCode, len(backend.Conns))
	}
	if got := gw.callOperator(t, "POST", "/_backends/attach", id); got != 200 {
		t.Fatalf("attach: %d", got)
	}
	_, responses := gw.send(t, requestText("POST", "booking", "x"))
	serveOnce(t, backend, "ok")
	if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
		t.Errorf("after attach: %d", resp.StatusCode)
	}
}

// A draining gateway reports that it is not ready, serves open and late requests, closes all client
// connections, and serves normally when the drain ends.
func TestOperatorDrain(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGatewayWith(t, withOperator, backend)
	_, openResponse := gw.send(t, requestText("POST", "booking", "held"))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	idle, first := gw.send(t, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	wait(t, first, "response")
	silent, err := net.Dial("tcp", gw.address)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if got := gw.callOperator(t, "POST", "/_lameduck/on", ""); got != 200 {
		t.Fatalf("drain: %d", got)
	}
	if got, operatorStatus := gw.readyStatus(t), gw.callOperator(t, "GET", "/_ready", ""); got != 503 || operatorStatus != 503 {
		t.Errorf("ready while draining: %d and %d", got, operatorStatus)
	}
	_, late := gw.send(t, requestText("POST", "booking", "late"))
	other, br := backend.Accept(t)
	readRequest(t, br)
	io.WriteString(other, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, late, "response"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("late request: status %d, closed %t", resp.StatusCode, resp.Close)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, openResponse, "response"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the open request: status %d, closed %t", resp.StatusCode, resp.Close)
	}
	for name, c := range map[string]net.Conn{"idle": idle, "silent": silent} {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.ReadAll(c); err != nil {
			t.Errorf("the %s connection: %v", name, err)
		}
	}
	if got := gw.callOperator(t, "POST", "/_lameduck/off", ""); got != 200 {
		t.Fatalf("end of the drain: %d", got)
	}
	if got := gw.readyStatus(t); got != 200 {
		t.Errorf("after the drain: %d", got)
	}
	_, responses := gw.send(t, requestText("POST", "booking", "x"))
	serveOnce(t, backend, "ok")
	if resp := wait(t, responses, "response"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("after the drain: %d, closed %t", resp.StatusCode, resp.Close)
	}
}

// Two processes write one file: neither loses a change of the other, and each reads them. A malformed file
// is an error and is not overwritten.
func TestDetachedFile(t *testing.T) {
	folder := t.TempDir()
	one, two := newDetachedFile(folder, "n/0"), newDetachedFile(folder, "n/0")
	if ids, changed, err := one.readIfChanged(); len(ids) != 0 || changed || err != nil {
		t.Errorf("without a file: %v %t %v", ids, changed, err)
	}
	var wg sync.WaitGroup
	for i := range 20 {
		for j, b := range []*detachedFile{one, two} {
			wg.Go(func() {
				if err := b.record(fmt.Sprintf("%d-%d", j, i), true); err != nil {
					t.Error(err)
				}
			})
		}
	}
	wg.Wait()
	for _, b := range []*detachedFile{one, two} {
		if ids, changed, err := b.readIfChanged(); len(ids) != 40 || !changed || err != nil {
			t.Errorf("%d ids, changed %t, %v", len(ids), changed, err)
		}
	}
	if err := two.record("0-3", false); err != nil {
		t.Fatal(err)
	}
	if ids, changed, err := one.readIfChanged(); len(ids) != 39 || !changed || err != nil {
		t.Errorf("after one was attached: %d ids, changed %t, %v", len(ids), changed, err)
	}
	if _, changed, _ := one.readIfChanged(); changed {
		t.Error("an unchanged file was reported as changed")
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*"))
	if len(files) != 2 {
		t.Errorf("files left: %v", files)
	}
	if err := os.WriteFile(one.path, []byte(`{"out":[`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := one.record("x", true); err == nil || !strings.Contains(err.Error(), one.path) {
		t.Errorf("truncated file: %v", err)
	}
	if text, _ := os.ReadFile(one.path); string(text) != `{"out":[` {
		t.Errorf("the file now contains %q", text)
	}
	if err := newDetachedFile("", "n0").record("x", true); err != nil {
		t.Errorf("no directory: %v", err)
	}
}

// A backend that another process recorded as detached is not used here either.
func TestDetachedByOtherProcess(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGatewayWith(t, withOperator, backend)
	other := newDetachedFile(gw.stateDir, "n3")
	if err := other.record(backend.Address(), true); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(10 * time.Millisecond) {
		_, responses := gw.send(t, requestText("GET", "glance", ""))
		if resp := wait(t, responses, "response"); resp.StatusCode == 429 && len(backend.Conns) == 0 {
			break
		}
		for len(backend.Conns) > 0 {
			(<-backend.Conns).Close()
		}
		if time.Now().After(end) {
			t.Fatal("the backend is still in use")
		}
	}
}

// The history of listed backends is bounded.
func TestBackendHistoryIsBounded(t *testing.T) {
	var e backendHistory
	for i := range 5 * backendsPerGeneration {
		e.add(fmt.Sprint(i))
	}
	if n := len(e.current) + len(e.previous); n > 2*backendsPerGeneration {
		t.Errorf("%d ids", n)
	}
	if e.has("0") || !e.has(fmt.Sprint(5*backendsPerGeneration-1)) {
		t.Error("the newest IDs are not remembered")
	}
}
