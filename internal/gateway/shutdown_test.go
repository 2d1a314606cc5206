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

// closed waits until the gateway takes no more connections.
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

// begins connects and sends the first bytes of a request.
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

// endsWith reads the last answer on a connection.
func expectLastResponse(t *testing.T, conn net.Conn, what string, status int) {
	t.Helper()
	br := bufio.NewReader(conn)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatalf("%s: no answer: %v", what, err)
	}
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != status || !resp.Close {
		t.Errorf("%s: status %d, want %d; closes %t", what, resp.StatusCode, status, resp.Close)
	}
}

// short has all classes end after 2 s, so that the kill comes 2.7 s after the gateway was
// asked to end.
var shortDeadlines = strings.NewReplacer(`"deadlineS": 20`, `"deadlineS": 2`).Replace

// A request of which a part had come before the gateway was asked to end, and the rest
// after it has closed what said nothing, is answered: on a new connection and on a
// kept one. The server here has no time-outs of its own.
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
	for end := time.Now().Add(testTimeout); c.openConns() < 5; time.Sleep(time.Millisecond) { // until all are taken
		if time.Now().After(end) {
			t.Fatal("the connections were not taken")
		}
	}
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- shutdown(conf, front, c, server, acceptDone) }()
	for _, conn := range []net.Conn{silent, idle} {
		if _, err := io.ReadAll(conn); isTimeout(err) {
			t.Errorf("a connection with no request: %v", err)
		}
	}
	io.WriteString(reused, text[20:])
	io.WriteString(fresh, text[20:])
	io.WriteString(body, text[len(text)-3:])
	expectLastResponse(t, reused, "half a head on a kept connection", 200)
	expectLastResponse(t, fresh, "half a head on a new connection", 200)
	expectLastResponse(t, body, "half a body", 200)
	if err := wait(t, shutdownErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// What is taken late must not be held past the kill, whatever time its client has: it
// is refused where that is harmless, and failed where it may have run.
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
			gw.waitUntilClosed(t) // 0.6 s later: the kill comes before the request's own end
			io.WriteString(conn, text[len(text)-1:])
			_, br := backend.Accept(t)
			readRequest(t, br)
			expectLastResponse(t, conn, "taken late", status)
			if _, err := br.ReadByte(); err != io.EOF {
				t.Errorf("the attempt's connection: %v", err)
			}
			if err := wait(t, gw.runErr, "end"); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// gatedListener takes connections only once the gate is open.
type gatedListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *gatedListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// What waits in the backlog when the last connections are taken is served before the
// listener closes.
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
		t.Error("the listener stands")
	}
}

// A connection is closed as idle or its request is carried out, never both: here its
// bytes have been read, and the server has not seen them yet.
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
				t.Error("closed with a request begun")
			}
			continue
		}
		// The crossing: the bytes have left the socket, and the guard does not know yet.
		if n, err := io.ReadFull(cc.TCPConn, buffer); n != 4 || err != nil {
			t.Fatalf("%d bytes, %v", n, err)
		}
		if !cc.closeIfIdle() {
			t.Error("an idle connection was not closed")
		}
		if cc.markStarted() {
			t.Error("the request goes on though its connection was closed")
		}
	}
}

// A reload and the end at once: the end waits for nothing of the reload, and a second
// call to end changes nothing.
func TestReloadDuringShutdown(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, openResponse := gw.send(t, requestText("GET", "lookup", ""))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	dead, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
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
	if resp := wait(t, openResponse, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if err := wait(t, gw.runErr, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// What a client claims beyond its class's own time does not hold its request.
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
			t.Errorf("%s ms: held for %g s, want %g", claimed, got, want)
		}
	}
}

// The end counts from the earliest kill that the deadlines allow. A grace for late answers
// comes on top of a deadline and of no kill.
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
