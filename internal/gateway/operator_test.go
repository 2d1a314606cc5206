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

// withDesk gives a rig an operators' address.
func withOperator(config string) string {
	return strings.Replace(config, `"listen":`, `"operator": "127.0.0.1:0", "listen":`, 1)
}

// call makes one call on the operators' address and returns its status.
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

// Every call has its yes and its no, and what is no call changes nothing.
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
		{"POST", "/_backends/attach", id, 200}, // it is not out: nothing to do
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
	if resp := wait(t, responses, "answer"); resp.StatusCode != 200 {
		t.Errorf("a request after all of it: %d", resp.StatusCode)
	}
}

// Callers that say nothing, or half a call, keep nobody out.
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

// What is out by hand gets nothing, on no connection old or new, although the list
// tells of it again; what was out there is answered.
func TestDetachedBackend(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGatewayWith(t, withOperator, backend)
	_, first := gw.send(t, requestText("POST", "booking", "x"))
	reused, br := backend.Accept(t)
	readRequest(t, br)
	id := fmt.Sprintf(`{"id":%q}`, backend.Address())
	if got := gw.callOperator(t, "POST", "/_backends/detach", id); got != 200 {
		t.Fatalf("out: %d", got)
	}
	io.WriteString(reused, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if resp := wait(t, first, "answer"); resp.StatusCode != 200 {
		t.Errorf("the request that was there: %d", resp.StatusCode)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("its connection: %v", err)
	}
	wait(t, gw.registry.Calls, "first list")
	wait(t, gw.registry.Calls, "watch")
	again := newListing(true, "Ready", backend)
	again.Instances[0].StartedAtMs = time.Now().UnixMilli()
	gw.registry.Answers <- again
	wait(t, gw.registry.Calls, "next watch")
	_, refused := gw.send(t, requestText("GET", "glance", ""))
	if resp := wait(t, refused, "answer"); resp.StatusCode != 429 || len(backend.Conns) != 0 {
		t.Errorf("while out: %d, %d connections", resp.StatusCode, len(backend.Conns))
	}
	if got := gw.callOperator(t, "POST", "/_backends/attach", id); got != 200 {
		t.Fatalf("in: %d", got)
	}
	_, responses := gw.send(t, requestText("POST", "booking", "x"))
	serveOnce(t, backend, "ok")
	if resp := wait(t, responses, "answer"); resp.StatusCode != 200 {
		t.Errorf("in again: %d", resp.StatusCode)
	}
}

// A drained gateway says no at once, answers what it holds and what still comes,
// ends all connections of clients, and serves again when the drain ends.
func TestOperatorDrain(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGatewayWith(t, withOperator, backend)
	_, openResponse := gw.send(t, requestText("POST", "booking", "held"))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	idle, first := gw.send(t, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	wait(t, first, "answer")
	silent, err := net.Dial("tcp", gw.address)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	if got := gw.callOperator(t, "POST", "/_lameduck/on", ""); got != 200 {
		t.Fatalf("drain: %d", got)
	}
	if got, desk := gw.readyStatus(t), gw.callOperator(t, "GET", "/_ready", ""); got != 503 || desk != 503 {
		t.Errorf("ready while drained: %d and %d", got, desk)
	}
	_, late := gw.send(t, requestText("POST", "booking", "late"))
	other, br := backend.Accept(t)
	readRequest(t, br)
	io.WriteString(other, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, late, "answer"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a late request: status %d, closed %t", resp.StatusCode, resp.Close)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, openResponse, "answer"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("the held request: status %d, closed %t", resp.StatusCode, resp.Close)
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
	if resp := wait(t, responses, "answer"); resp.StatusCode != 200 || resp.Close {
		t.Errorf("after the drain: %d, closed %t", resp.StatusCode, resp.Close)
	}
}

// Two processes write one book: neither loses what the other noted, and each hears
// of it. A book that can't be read is an error and stays as it is.
func TestDetachedFile(t *testing.T) {
	folder := t.TempDir()
	one, two := newDetachedFile(folder, "n/0"), newDetachedFile(folder, "n/0")
	if ids, changed, err := one.readIfChanged(); len(ids) != 0 || changed || err != nil {
		t.Errorf("with no book: %v %t %v", ids, changed, err)
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
		t.Errorf("after one came back: %d ids, changed %t, %v", len(ids), changed, err)
	}
	if _, changed, _ := one.readIfChanged(); changed {
		t.Error("the same book has changed")
	}
	files, _ := filepath.Glob(filepath.Join(folder, "*"))
	if len(files) != 2 {
		t.Errorf("files left: %v", files)
	}
	if err := os.WriteFile(one.path, []byte(`{"out":[`), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := one.record("x", true); err == nil || !strings.Contains(err.Error(), one.path) {
		t.Errorf("a book cut short: %v", err)
	}
	if text, _ := os.ReadFile(one.path); string(text) != `{"out":[` {
		t.Errorf("the book now says %q", text)
	}
	if err := newDetachedFile("", "n0").record("x", true); err != nil {
		t.Errorf("no folder: %v", err)
	}
}

// What another process noted binds here as well, before the first request and later.
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
		if resp := wait(t, responses, "answer"); resp.StatusCode == 429 && len(backend.Conns) == 0 {
			break
		}
		for len(backend.Conns) > 0 {
			(<-backend.Conns).Close()
		}
		if time.Now().After(end) {
			t.Fatal("the backend is still used")
		}
	}
}

// The ids that were ever listed are remembered within a bound.
func TestBackendHistoryIsBounded(t *testing.T) {
	var e backendHistory
	for i := range 5 * backendsPerGeneration {
		e.add(fmt.Sprint(i))
	}
	if n := len(e.current) + len(e.previous); n > 2*backendsPerGeneration {
		t.Errorf("%d ids", n)
	}
	if e.has("0") || !e.has(fmt.Sprint(5*backendsPerGeneration-1)) {
		t.Error("not the newest are remembered")
	}
}
