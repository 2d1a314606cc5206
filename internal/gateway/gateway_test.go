package gateway

import (
	"bufio"
	"context"
	"elderyard/internal/config"
	"elderyard/internal/discovery"
	"elderyard/internal/site"
	"elderyard/internal/telemetry"
	"elderyard/internal/testpeer"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// testGateway is a complete gateway on loopback sockets.
type testGateway struct {
	address         string
	operatorAddress string // if it has one
	stateDir        string // the directory for what outlives an upgrade
	registry        *testpeer.Registry
	stop            context.CancelFunc
	runErr          chan error
	reload          chan os.Signal
	config          atomic.Pointer[string] // read by a reload
}

// startGateway starts a gateway that knows the given backends and waits until it is ready.
func startGateway(t *testing.T, backends ...*peer) *testGateway {
	t.Helper()
	return startGatewayWith(t, func(text string) string { return text }, backends...)
}

// startGatewayWith does so with a changed configuration.
func startGatewayWith(t *testing.T, change func(config string) string, backends ...*peer) *testGateway {
	t.Helper()
	return startExportingGateway(t, nil, change, backends...)
}

// startExportingGateway does so with an exporter, unless export is nil.
func startExportingGateway(t *testing.T, export *telemetry.Settings, change func(config string) string, backends ...*peer) *testGateway {
	t.Helper()
	return startGatewayOn(t, net.Listen, export, change, nil, backends...)
}

// startGatewayOn does so with the clients' listener that listen returns and, unless it is nil, a changed site file.
func startGatewayOn(t *testing.T, listen func(network, address string) (net.Listener, error), export *telemetry.Settings,
	change func(config string) string, changeSite func(*site.Settings), backends ...*peer) *testGateway {
	t.Helper()
	gw := &testGateway{registry: testpeer.NewRegistry(t), runErr: make(chan error, 1), reload: make(chan os.Signal)}
	text := change(testpeer.ConfigText(gw.registry.Address(), testpeer.Settings))
	c, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	if changeSite != nil {
		changeSite(&c.Site)
	}
	l, err := listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	gw.address = l.Addr().String()
	var operatorListener net.Listener
	if c.Operator != "" {
		if operatorListener, err = net.Listen("tcp", c.Operator); err != nil {
			t.Fatal(err)
		}
		gw.operatorAddress = operatorListener.Addr().String()
		gw.stateDir = t.TempDir()
		c.StateDir = gw.stateDir
	}
	ctx, stop := context.WithCancel(context.Background())
	gw.stop = stop
	gw.config.Store(&text)
	reload := Reload{gw.reload, func() (config.Config, error) { return config.Parse([]byte(*gw.config.Load())) }}
	done := make(chan struct{})
	go func() { defer close(done); gw.runErr <- serve(ctx, &c, l, operatorListener, export, nil, reload) }()
	t.Cleanup(func() { stop(); <-done })
	if got := gw.readyStatus(t); got != http.StatusServiceUnavailable {
		t.Errorf("ready before the first list: %d", got)
	}
	gw.registry.Responses <- newListing(true, "Ready", backends...)
	gw.waitForReadyStatus(t, http.StatusOK)
	return gw
}

func newListing(reset bool, lifecycle string, backends ...*peer) discovery.Listing {
	l := discovery.Listing{Generation: 1, Reset: reset}
	for _, b := range backends {
		l.Instances = append(l.Instances, discovery.Instance{ID: b.Address(), HostPort: b.Address(), Zone: "a", MachineType: "m",
			Lifecycle: lifecycle, Weight: 1})
	}
	return l
}

func (gw *testGateway) readyStatus(t *testing.T) int {
	t.Helper()
	resp, err := http.Get("http://" + gw.address + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (gw *testGateway) waitForReadyStatus(t *testing.T, status int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); gw.readyStatus(t) != status; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("readiness status never became %d", status)
		}
	}
}

var requestCount atomic.Int64 // gives each request its own ID

func requestText(method, class, body string, change ...string) string {
	headers := map[string]string{idHeader: fmt.Sprintf("%016x", requestCount.Add(1)), classHeader: class, planHeader: "basic",
		clientHeader: "00000000b4d65521", timeLeftHeader: "15000", termsHeader: "units=2,spread=2,first=1", keyHeader: "k1"}
	path := "/" + class
	for i := 0; i < len(change); i += 2 {
		if change[i] == "path" {
			path = change[i+1]
		} else if headers[change[i]] = change[i+1]; change[i+1] == "" {
			delete(headers, change[i])
		}
	}
	text := method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\n"
	for k, v := range headers {
		text += k + ": " + v + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// send sends one request and returns a channel for its response.
func (gw *testGateway) send(t *testing.T, text string) (net.Conn, <-chan *http.Response) {
	t.Helper()
	conn, err := net.Dial("tcp", gw.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	responses := make(chan *http.Response, 1)
	go func() {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			responses <- resp
		}
	}()
	return conn, responses
}

func serveOnce(t *testing.T, backend *peer, body string) {
	t.Helper()
	conn, r := backend.Accept(t)
	readRequest(t, r)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: {}\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func TestServed(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, responses := gw.send(t, requestText("POST", "booking", "pickup"))
	serveOnce(t, backend, "booked\n")
	resp := wait(t, responses, "response")
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != 200 || string(body) != "booked\n" || err != nil || resp.Header.Get("Content-Type") != "text/x" || resp.Header.Get(loadHeader) != "" {
		t.Errorf("%d %q %v %v", resp.StatusCode, body, resp.Header, err)
	}
}

// A malformed request is rejected: a default value could charge the wrong customer, or retry what must not
// run twice.
func TestMalformed(t *testing.T) {
	t.Parallel()
	gw := startGateway(t, newPeer(t))
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no id", requestText("GET", "lookup", "", idHeader, ""), 400},
		{"unknown class", requestText("GET", "lookups", ""), 400},
		{"path of another class", requestText("GET", "lookup", "", "path", "/booking"), 400},
		{"path without a first segment", requestText("GET", "lookup", "", "path", "//lookup"), 400},
		{"unknown plan", requestText("GET", "lookup", "", planHeader, "gold"), 400},
		{"short customer number", requestText("GET", "lookup", "", clientHeader, "b4d65521"), 400},
		{"customer number out of range", requestText("GET", "lookup", "", clientHeader, "0000000200000000"), 400},
		{"no time left header", requestText("GET", "lookup", "", timeLeftHeader, ""), 400},
		{"no time left", requestText("GET", "lookup", "", timeLeftHeader, "0"), 400},
		{"time out of range", requestText("GET", "lookup", "", timeLeftHeader, "99999999999999999999"), 400},
		{"no terms", requestText("GET", "lookup", "", termsHeader, ""), 400},
		{"units not a number", requestText("GET", "lookup", "", termsHeader, "units=NaN,spread=2,first=0"), 400},
		{"too many units", requestText("GET", "lookup", "", termsHeader, "units=5,spread=2,first=0"), 400},
		{"spread beyond the fleet", requestText("GET", "lookup", "", termsHeader, "units=1,spread=3,first=0"), 400},
		{"first gateway beyond the fleet", requestText("GET", "lookup", "", termsHeader, "units=1,spread=2,first=2"), 400},
		{"no key", requestText("POST", "booking", "x", keyHeader, ""), 400},
		{"the wrong method", requestText("POST", "lookup", "x"), 405},
		{"a keyed GET", requestText("GET", "booking", ""), 405},
		{"a huge body", requestText("POST", "booking", "", "Content-Length", strconv.Itoa(maxStreamedBody+1)), 413},
		{"malformed chunk", requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "x\r\n", 400},
		{"truncated chunk", requestText("POST", "booking", "", "Transfer-Encoding", "chunked") + "2\r\no", 400},
		{"duplicate term", requestText("GET", "lookup", "", termsHeader, "units=1,spread=2,spread=1,first=0"), 400},
		{"duplicate header", requestText("GET", "lookup", "", planHeader, "basic\r\n"+planHeader+": basic"), 400},
		{"a GET with a body", requestText("GET", "lookup", "x"), 400},
		{"two lengths", requestText("POST", "booking", "ok", "content-length", "3"), 400},
		{"a negative length", requestText("POST", "booking", "", "Content-Length", "-2"), 400},
		{"HTTP/1.0", strings.Replace(requestText("GET", "lookup", ""), "HTTP/1.1", "HTTP/1.0", 1), 505},
		{"endless headers", requestText("GET", "lookup", "", "X", strings.Repeat("x", 4*maxHeaderBytes)), 431},
	} {
		_, responses := gw.send(t, c.text)
		if resp := wait(t, responses, "response to "+c.name); resp.StatusCode != c.status || !resp.Close {
			t.Errorf("%s: status %d, want %d; closed %t", c.name, resp.StatusCode, c.status, resp.Close)
		}
	}
}

// A Content-Length beside a chunked encoding may hide a request in the body or behind it. Neither may reach
// a backend.
func TestRequestSmuggling(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	hidden := requestText("POST", "booking", "hidden")
	conn, responses := gw.send(t, requestText("POST", "booking", "", "Transfer-Encoding", "chunked",
		"Content-Length", fmt.Sprint(5+len(hidden)))+"0\r\n\r\n"+hidden)
	if resp := wait(t, responses, "response"); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("status %d, closed %t", resp.StatusCode, resp.Close)
	}
	if rest, err := io.ReadAll(conn); isTimeout(err) {
		t.Errorf("the connection stays open: %q", rest)
	}
	if n := len(backend.Conns); n > 0 {
		t.Errorf("%d connections to the backend", n)
	}
}

// An ID identifies one request: a second request with the same ID is rejected, also just after the first has
// its response, and does not affect the first.
func TestDuplicateID(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, first := gw.send(t, requestText("POST", "booking", "mine", idHeader, "one"))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	for range 2 {
		_, second := gw.send(t, requestText("GET", "lookup", "", idHeader, "one"))
		if resp := wait(t, second, "response to the second"); resp.StatusCode != 409 {
			t.Errorf("the second: status %d", resp.StatusCode)
		}
		if len(backend.Conns) > 0 {
			t.Error("the second request reached the backend")
		}
		if conn != nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine")
			if resp := wait(t, first, "response to the first"); resp.StatusCode != 200 {
				t.Errorf("the first: status %d", resp.StatusCode)
			}
			conn = nil
		}
	}
}

// A refusal promises that nothing ran. A request that is not repeatable and may have run fails instead, and
// nothing below the decision module retries it either.
func TestBreakAfterLastByte(t *testing.T) {
	t.Parallel()
	for class, status := range map[string]int{"payment": 502, "booking": 200} {
		one, other := newPeer(t), newPeer(t)
		gw := startGateway(t, one, other)
		_, responses := gw.send(t, requestText("POST", class, "x"))
		conn := acceptEither(t, one, other)
		readRequest(t, bufio.NewReader(conn))
		conn.Close()
		if status == 200 { // a keyed request may be retried in its group and within its window, but not at the same address
			retried := acceptEither(t, one, other)
			if retried.LocalAddr().String() == conn.LocalAddr().String() {
				t.Errorf("%s: retried at the backend that ended the connection", class)
			}
			readRequest(t, bufio.NewReader(retried))
			io.WriteString(retried, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		if resp := wait(t, responses, "response"); resp.StatusCode != status {
			t.Errorf("%s: status %d, want %d", class, resp.StatusCode, status)
		}
		if n := len(one.Conns) + len(other.Conns); n > 0 {
			t.Errorf("%s: %d more connections", class, n)
		}
	}
}

// Guards against a keyed request running twice where a new process has the address of the one that ran it: the backend that
// ended its connection is the only one of its group, so the request fails.
func TestBreakAtLastBackendOfGroup(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, responses := gw.send(t, requestText("POST", "booking", "x"))
	conn, reader := backend.Accept(t)
	readRequest(t, reader)
	conn.Close()
	if resp := wait(t, responses, "response"); resp.StatusCode != 502 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if n := len(backend.Conns); n > 0 {
		t.Errorf("%d more connections", n)
	}
}

// acceptEither waits for the next connection to either backend.
func acceptEither(t *testing.T, one, other *peer) net.Conn {
	t.Helper()
	select {
	case c := <-one.Conns:
		return c
	case c := <-other.Conns:
		return c
	case <-time.After(testTimeout):
		t.Fatal("no connection arrived")
		return nil
	}
}

// A backend that does not respond must not hold a request beyond its class's objective, and its late
// response must reach nobody.
func TestBackendTimeout(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	conn, responses := gw.send(t, requestText("GET", "glance", ""))
	_, br := backend.Accept(t)
	readRequest(t, br)
	resp := wait(t, responses, "response")
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "0.5" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("connection of the timed-out attempt: %v", err)
	}
	// The client's connection carries the next request and its response.
	io.WriteString(conn, requestText("GET", "lookup", ""))
	serveOnce(t, backend, "second")
	next, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || next.StatusCode != 200 {
		t.Fatalf("%v, %v", next, err)
	}
	if body, _ := io.ReadAll(next.Body); string(body) != "second" {
		t.Errorf("body %q", body)
	}
}

// A counter that does not respond must not stop customers within their quotas: the call times out, and the
// gateway's own share is used.
func TestSilentCounter(t *testing.T) {
	t.Parallel()
	backend, counter := newPeer(t), newPeer(t)
	gw := startGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 5, "depth": 20}`,
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 1`).Replace, backend)
	_, responses := gw.send(t, requestText("GET", "lookup", ""))
	_, calls := counter.Accept(t)
	readRequest(t, calls)
	serveOnce(t, backend, "ok")
	if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// A counter response that starts and never ends differs from none: the amount was added, so the customer's
// total is requested again at once and the amount is returned.
func TestUnfinishedCounterResponse(t *testing.T) {
	t.Parallel()
	backend, counter := newPeer(t), newPeer(t)
	gw := startGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 0.001, "depth": 2}`, // the gateway's own share is too small for a second charge
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 0.5`).Replace, backend)
	_, responses := gw.send(t, requestText("GET", "lookup", ""))
	conn, calls := counter.Accept(t)
	first, _ := readRequest(t, calls)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX: ")
	conn, calls = counter.Accept(t)
	second, _ := readRequest(t, calls)
	added := 0.0
	for _, call := range []*http.Request{first, second} {
		n, err := strconv.ParseFloat(call.URL.Query().Get("add"), 64)
		if err != nil {
			t.Fatal(err)
		}
		added += n
	}
	total(conn, http.StatusOK, strconv.FormatFloat(added, 'f', -1, 64))
	serveOnce(t, backend, "ok")
	if resp := wait(t, responses, "response"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// A counter response that arrives after its call timed out still tells what was added: the waiting request
// is admitted by it.
func TestLateCounterResponse(t *testing.T) {
	t.Parallel()
	const timeout = 200 * time.Millisecond
	backend, counter := newPeer(t), newPeer(t)
	gw := startGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 0.001, "depth": 2}`, // the gateway's own share is too small for the charge
		`"mostUnits": 4`, fmt.Sprintf(`"mostUnits": 4, "hasCounter": true, "counterTimeoutS": %g`, timeout.Seconds())).Replace, backend)
	_, responses := gw.send(t, requestText("GET", "lookup", ""))
	conn, calls := counter.Accept(t)
	first, _ := readRequest(t, calls)
	time.Sleep(timeout * 3 / 2) // the response counts whenever it arrives; here most likely late
	total(conn, http.StatusOK, first.URL.Query().Get("add"))
	serveOnce(t, backend, "ok") // no other call gets a response
	if resp := wait(t, responses, "response"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// An amount that a call wrote off, and that was added although the response had no total, must not stay in a
// window that another gateway has started: the customer would lack it until the window ends.
func TestRefillWithoutTotalIsReturned(t *testing.T) {
	t.Parallel()
	for name, breakResponse := range map[string]func(net.Conn){
		"no total": func(c net.Conn) { total(c, http.StatusOK, "no number") },
		"closed":   func(c net.Conn) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const depth = 2000.0
			counter := newPeer(t)
			gw := startGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
				`"pays": 1}`, fmt.Sprintf(`"pays": 1, "unitsPerS": 1000, "depth": %g}`, depth),
				`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 30`).Replace, newPeer(t))
			gw.send(t, requestText("GET", "lookup", ""))
			added := func(calls *bufio.Reader) (string, float64) {
				req, _ := readRequest(t, calls)
				n, err := strconv.ParseFloat(req.URL.Query().Get("add"), 64)
				if err != nil {
					t.Fatal(err)
				}
				return req.URL.Path, n
			}
			conn, calls := counter.Accept(t)
			window, first := added(calls)
			others := first // another gateway started the window in the same way
			breakResponse(conn)
			conn, calls = counter.Accept(t)
			again, second := added(calls)
			if again != window {
				t.Skip("the window has just ended")
			}
			total(conn, http.StatusOK, strconv.FormatFloat(others+first+second, 'f', -1, 64))
			_, third := added(calls)
			if left := first + second + third; left > 2*depth {
				t.Errorf("%g + %g + %g: %g stay in a bucket of %g", first, second, third, left, depth)
			}
		})
	}
}

// A reload under load moves discovery and the counter and loses nothing: open requests get their responses,
// the new discovery is called for its full list, the pending counter call is completed by the old counter,
// and an invalid file changes nothing.
func TestReload(t *testing.T) {
	t.Parallel()
	backend, second, counter, moved := newPeer(t), newPeer(t), newPeer(t), newPeer(t)
	gw := startGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 5, "depth": 20}`,
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 30`).Replace, backend)
	_, openResponse := gw.send(t, requestText("GET", "lookup", ""))
	calls, cr := counter.Accept(t)
	readRequest(t, cr) // no response yet

	good := *gw.config.Load()
	bad := good[:len(good)/2]
	gw.config.Store(&bad)
	gw.reload <- syscall.SIGHUP
	other := testpeer.NewRegistry(t)
	next := strings.NewReplacer(gw.registry.Address(), other.Address(), counter.Address(), moved.Address()).Replace(good)
	gw.config.Store(&next)
	gw.reload <- syscall.SIGHUP
	if query := wait(t, other.Queries, "call to the new discovery"); query != "" {
		t.Errorf("the new discovery was asked for %q instead of the full list", query)
	}
	total(calls, 200, "12")
	serveOnce(t, backend, "held")
	if resp := wait(t, openResponse, "response"); resp.StatusCode != 200 {
		t.Errorf("the open request: status %d", resp.StatusCode)
	}
	if _, err := cr.ReadByte(); err != io.EOF {
		t.Errorf("connection to the old counter: %v", err)
	}
	other.Responses <- newListing(true, "Ready", second)
	if query := wait(t, other.Queries, "watch"); query != "since=1&timeout_ms=4000" {
		t.Errorf("watch %q", query)
	}
	_, responses := gw.send(t, requestText("GET", "lookup", "", clientHeader, "0000000000000001"))
	calls, cr = moved.Accept(t)
	readRequest(t, cr)
	total(calls, 200, "12")
	serveOnce(t, second, "ok")
	if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
		t.Errorf("the next request: status %d", resp.StatusCode)
	}
}

// The attempt of a client that has disconnected is aborted: its work would be wasted.
func TestDisconnectAbortsAttempt(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	conn, _ := gw.send(t, requestText("POST", "booking", "x"))
	_, br := backend.Accept(t)
	readRequest(t, br)
	conn.Close()
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the attempt's connection: %v", err)
	}
}

func TestRefusedBackendAndDrain(t *testing.T) {
	t.Parallel()
	dead, backend := newPeer(t), newPeer(t)
	gw := startGateway(t, dead, backend)
	dead.Listener.Close()
	for range 4 { // all are served, whichever backend is picked first
		_, responses := gw.send(t, requestText("POST", "payment", "x"))
		conn, br := backend.Accept(t)
		readRequest(t, br)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	// The call after the drain update shows that the update was received.
	wait(t, gw.registry.Queries, "first list")
	wait(t, gw.registry.Queries, "watch")
	gw.registry.Responses <- newListing(false, "Terminating", backend)
	wait(t, gw.registry.Queries, "next watch")
	_, responses := gw.send(t, requestText("GET", "glance", ""))
	if resp := wait(t, responses, "response"); resp.StatusCode != 429 || len(backend.Conns) != 0 {
		t.Errorf("status %d, %d connections to the draining backend", resp.StatusCode, len(backend.Conns))
	}
}

// After SIGTERM no accepted request is lost: open requests get their responses, and for a while further
// requests are still accepted.
func TestStop(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, openResponse := gw.send(t, requestText("POST", "booking", "held"))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	unused, err := net.Dial("tcp", gw.address) // must not delay the shutdown
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	idle, first := gw.send(t, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	wait(t, first, "response") // leaves an idle connection
	idle.SetReadDeadline(time.Now().Add(testTimeout))
	gw.stop()
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("idle connection after the stop request: %v", err)
	}
	gw.waitForReadyStatus(t, http.StatusServiceUnavailable)
	_, late := gw.send(t, requestText("POST", "booking", "late"))
	serveOnce(t, backend, "late")
	if resp := wait(t, late, "response"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("late request: status %d, connection closed %t", resp.StatusCode, resp.Close)
	}
	gw.waitUntilClosed(t)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, openResponse, "response"); resp.StatusCode != 200 {
		t.Errorf("the open request: status %d", resp.StatusCode)
	}
	if err := wait(t, gw.runErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Where memory is short, it limits the client connections before descriptors do, but leaves room for the
// third of them that may carry open requests.
func TestMaxClients(t *testing.T) {
	for _, c := range []struct{ memory, sockets, want int }{
		{192, 1024, 720}, {192, 256, 144}, {32, 256, 144}, {32, 1024, 341},
	} {
		if got := maxClients(&config.Config{Site: site.Defaults(), MemoryMB: c.memory, Sockets: c.sockets}, reservedDescriptors); got != c.want {
			t.Errorf("%d MB, %d sockets: %d, want %d", c.memory, c.sockets, got, c.want)
		}
	}
}

// However many connections clients and backends hold, the gateway keeps its own descriptors, and each kind
// of connection gets some.
func TestDivideDescriptors(t *testing.T) {
	for _, c := range []struct {
		sockets, limitClients int
		peers, operator       bool
		want                  descriptors
	}{
		{256, 0, false, false, descriptors{64, 0, 144, 48}},
		{512, 0, false, false, descriptors{64, 0, 336, 112}},
		{1024, 0, false, false, descriptors{64, 0, 720, 240}},
		{1024, 64, false, true, descriptors{76, 66, 661, 221}},
		{256, 64, true, true, descriptors{100, 39, 87, 30}},
		{128, 64, false, true, descriptors{76, 13, 29, 10}},
		{128, 100000, true, true, descriptors{100, 7, 15, 6}},
	} {
		conf := &config.Config{Site: site.Defaults(), MemoryMB: 192, Sockets: c.sockets}
		if c.limitClients > 0 {
			conf.Site.RESP.Listen, conf.Site.RESP.Most = "127.0.0.1:0", c.limitClients
		}
		got := divideDescriptors(conf, c.peers, c.operator)
		if sum := got.own + got.limitClients + got.clients + got.backends; got != c.want || sum != c.sockets {
			t.Errorf("%+v: %+v, of %d", c, got, sum)
		}
	}
}
