package gateway

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/testpeer"
	"elderyard/rules"
)

// waitUntilClosed waits until the gateway refuses connections.
func (gw *testGateway) waitUntilClosed(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		c, err := net.Dial("tcp", gw.address)
		if err != nil {
			return
		}
		c.Close()
		if time.Now().After(end) {
			t.Fatal("the listener never closed")
		}
	}
}

// sendPart connects and sends the start of a request.
func (gw *testGateway) sendPart(t *testing.T, part string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", gw.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	io.WriteString(conn, part)
	return conn
}

// expectLastResponse reads a response, which must close the connection.
func expectLastResponse(t *testing.T, conn net.Conn, what string, status int) {
	t.Helper()
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("%s: no response: %v", what, err)
	}
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != status || !resp.Close {
		t.Errorf("%s: status %d, want %d; closes %t", what, resp.StatusCode, status, resp.Close)
	}
}

// shortDeadlines gives all classes a deadline of 2 s, so that the kill comes 2.7 s after the stop request.
var shortDeadlines = strings.NewReplacer(`"deadlineS": 20`, `"deadlineS": 2`).Replace

// Part of a request arrives before the stop request, and the rest after idle connections have been closed.
// It is served on new and reused connections. The server of this test has no timeouts.
func TestPartialRequestAtShutdown(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l, _ := newLoopWithDialGate(t, testpeer.Settings, newPeer(t))
	front := &frontend{loop: l, deploy: l.deploy}
	c := newClientListener(listener, 10)
	c.firstRequestWait = 50 * time.Millisecond
	server := &http.Server{ConnState: c.onStateChange, Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		body, _ := io.ReadAll(q.Body)
		if front.closesConnections() {
			w.Header().Set("Connection", "close")
		}
		w.Write(body)
	})}
	conf := &config.Config{}
	conf.Classes = []rules.Class{{Timeout: testTimeout.Seconds()}}
	acceptDone := make(chan struct{})
	go func() { defer close(acceptDone); server.Serve(c) }()
	gw := &testGateway{address: listener.Addr().String()}

	const text = "POST / HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: 6\r\n\r\npickup"
	reused := gw.sendPart(t, text)
	if resp, err := http.ReadResponse(bufio.NewReader(reused), nil); err != nil {
		t.Fatal(err)
	} else {
		io.Copy(io.Discard, resp.Body)
	}
	io.WriteString(reused, text[:20])
	fresh, body := gw.sendPart(t, text[:20]), gw.sendPart(t, text[:len(text)-3])
	silent, idle := gw.sendPart(t, ""), gw.sendPart(t, text)
	for end := time.Now().Add(testTimeout); c.openConns() < 5; time.Sleep(time.Millisecond) { // until all are accepted
		if time.Now().After(end) {
			t.Fatal("the connections were not accepted")
		}
	}
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- shutdown(conf, front, c, server, acceptDone) }()
	for _, conn := range []net.Conn{silent, idle} {
		if _, err := io.ReadAll(conn); isTimeout(err) {
			t.Errorf("connection without a request: %v", err)
		}
	}
	io.WriteString(reused, text[20:])
	io.WriteString(fresh, text[20:])
	io.WriteString(body, text[len(text)-3:])
	expectLastResponse(t, reused, "part of a header on a reused connection", 200)
	expectLastResponse(t, fresh, "part of a header on a new connection", 200)
	expectLastResponse(t, body, "part of a body", 200)
	if err := wait(t, shutdownErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A request that is accepted late must not be open past the kill, whatever its time limit: it is refused if
// that is safe, and failed if it may have run.
func TestOpenRequestsEndBeforeKill(t *testing.T) {
	t.Parallel()
	for class, status := range map[string]int{"lookup": 429, "payment": 502} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			backend := newPeer(t)
			gw := startGatewayWith(t, shortDeadlines, backend)
			text := requestText("GET", class, "")
			if class == "payment" {
				text = requestText("POST", class, "")
				text = strings.Replace(text, "\r\n\r\n", "\r\nContent-Length: 0\r\n\r\n", 1)
			}
			conn := gw.sendPart(t, text[:len(text)-1])
			gw.stop()
			gw.waitUntilClosed(t) // 0.6 s later; the kill comes before the request's own deadline
			io.WriteString(conn, text[len(text)-1:])
			_, br := backend.Accept(t)
			readRequest(t, br)
			expectLastResponse(t, conn, "accepted late", status)
			if _, err := br.ReadByte(); err != io.EOF {
				t.Errorf("the attempt's connection: %v", err)
			}
			if err := wait(t, gw.runErr, "end"); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// gatedListener accepts connections only once the gate is open.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// Connections in the backlog at shutdown are served before the listener closes.
func TestBacklogAtShutdown(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gated := &gatedListener{l.(*net.TCPListener), make(chan struct{})}
	c := newClientListener(gated, 10)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: c.onStateChange}
	done := make(chan error, 1)
	go func() { done <- server.Serve(c) }()
	defer server.Close()
	var waiting []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(conn, "GET / HTTP/1.1\r\nHost: origin.svc\r\nConnection: close\r\n\r\n")
		waiting = append(waiting, conn)
	}
	c.drainBacklog()
	close(gated.gate)
	for i, conn := range waiting {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("connection %d: %v", i, err)
		}
		resp.Body.Close()
	}
	if err := wait(t, done, "end of the server"); err != net.ErrClosed {
		t.Errorf("the server ended with %v", err)
	}
	if conn, err := net.Dial("tcp", l.Addr().String()); err == nil {
		conn.Close()
		t.Error("the listener is still open")
	}
}

// A connection is either closed as idle or its request runs, never both. Here its bytes have been read, but
// the server has not processed them.
func TestCloseIfIdleWhileRequestIsRead(t *testing.T) {
	t.Parallel()
	for _, readFirst := range []bool{true, false} {
		client, cc := newTestClientConn(t)
		io.WriteString(client, "GET ")
		buffer := make([]byte, 4)
		if readFirst {
			if n, err := io.ReadFull(cc, buffer); n != 4 || err != nil {
				t.Fatalf("%d bytes, %v", n, err)
			}
			if cc.closeIfIdle() {
				t.Error("closed with a request started")
			}
			continue
		}
		// The race: the bytes have left the socket, and clientConn has not recorded them.
		if n, err := io.ReadFull(cc.TCPConn, buffer); n != 4 || err != nil {
			t.Fatalf("%d bytes, %v", n, err)
		}
		if !cc.closeIfIdle() {
			t.Error("an idle connection was not closed")
		}
		if cc.markStarted() {
			t.Error("the request was read from a closed connection")
		}
	}
}

// A shutdown does not wait for a reload that is in progress, and a second stop request changes nothing.
func TestReloadDuringShutdown(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, openResponse := gw.send(t, requestText("GET", "lookup", ""))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	dead, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	defer dead.Close()
	next := strings.Replace(*gw.config.Load(), gw.registry.Address(), dead.Addr().String(), 1)
	gw.config.Store(&next)
	gw.reload <- syscall.SIGHUP
	gw.stop()
	gw.stop()
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if resp := wait(t, openResponse, "response"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if err := wait(t, gw.runErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A client can't keep its request open for longer than its class allows.
func TestTimeLimitCappedByClass(t *testing.T) {
	t.Parallel()
	l, _ := newLoopWithDialGate(t, testpeer.Settings, newPeer(t))
	front := &frontend{loop: l, deploy: l.deploy}
	for claimed, want := range map[string]float64{"3600000": 20, "20001": 20, "15000": 15} {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(requestText("GET", "lookup", "", timeLeftHeader, claimed))))
		if err != nil {
			t.Fatal(err)
		}
		ex, _, err := front.readExchange(httptest.NewRecorder(), r)
		if err != nil {
			t.Fatal(err)
		}
		if got := ex.timeLeft + responseMargin; math.Abs(got-want) > 1e-9 {
			t.Errorf("%s ms: open for %g s, want %g", claimed, got, want)
		}
	}
}

// The kill is expected as early as the deadlines allow. The slack for late responses extends the deadline,
// but not the time until the kill.
func TestMinKillDelay(t *testing.T) {
	for _, k := range []struct {
		deadline, slack string
		want            time.Duration
	}{{"1", "0.01", 1700 * time.Millisecond}, {"1", "1", 1700 * time.Millisecond}, {"2.9", "0.5", 3600 * time.Millisecond},
		{"3", "0", 3700 * time.Millisecond}, {"20", "0.01", 3700 * time.Millisecond}} {
		text := strings.ReplaceAll(testpeer.Settings, `"deadlineS": 20`, `"deadlineS": `+k.deadline)
		c, err := config.Parse([]byte(testpeer.ConfigText("127.0.0.1:1", strings.Replace(text, `"answerSlackS": 0.01`, `"answerSlackS": `+k.slack, 1))))
		if err != nil {
			t.Fatal(err)
		}
		if got := minKillDelay(&c); got != k.want {
			t.Errorf("deadline %s s, slack %s s: killed after %v, want %v", k.deadline, k.slack, got, k.want)
		}
	}
}
