package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/sockets"
	"elderyard/rules"
)

// Connections that say nothing, however many, must not keep a usual client
// from being served, and end by themselves.
func TestSilentClients(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGatewayWith(t, strings.NewReplacer(`"sockets": 256`, `"sockets": 128`).Replace, backend)
	var silent []net.Conn
	for range 100 { // the bound is below 40
		c, err := net.Dial("tcp", gw.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	_, responses := gw.send(t, requestText("POST", "booking", "x"))
	serveOnce(t, backend, "ok")
	if resp := wait(t, responses, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	for i, c := range silent {
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if n, err := c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("silent connection %d: %d bytes, %v", i, n, err)
		}
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// What never becomes a whole request is owed an error or a close in time, and a
// request that waits for its answer is not cut off for it.
func TestIncompleteRequests(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, openResponse := gw.send(t, requestText("GET", "lookup", ""))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	whole := requestText("POST", "booking", "pickup")
	for _, text := range []string{whole[:10], whole[:len(whole)-1]} {
		c, _ := net.Dial("tcp", gw.address)
		defer c.Close()
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.ReadAll(c); isTimeout(err) {
			t.Errorf("after %d bytes the connection stays", len(text))
		}
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // later than the time-out for reading
	if resp := wait(t, openResponse, "answer"); resp.StatusCode != 200 {
		t.Errorf("the request that was held: status %d", resp.StatusCode)
	}
}

// Room is made by closing what has been quiet for the longest, but nothing that
// an unread request has just arrived on, no open request and no new idle one.
func TestEvictIdle(t *testing.T) {
	peer := newPeer(t)
	clients := newClientListener(nil, 0)
	pair := func(s http.ConnState, age time.Duration) (serverConn, clientConn net.Conn) {
		clientConn, err := net.Dial("tcp", peer.Address())
		if err != nil {
			t.Fatal(err)
		}
		serverConn, _ = peer.Accept(t)
		t.Cleanup(func() { clientConn.Close(); serverConn.Close() })
		clients.onStateChange(serverConn, http.StateNew)
		if clients.onStateChange(serverConn, s); clients.conns[serverConn] != nil {
			q := clients.conns[serverConn].Value.(idleConn)
			q.since = q.since.Add(-age)
			clients.conns[serverConn].Value = q
		}
		return serverConn, clientConn
	}
	withUnreadByte, clientConn := pair(http.StateNew, time.Hour)
	io.WriteString(clientConn, "G")
	for end := time.Now().Add(testTimeout); sockets.Alive(withUnreadByte) && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the byte is on its way through the kernel
	}
	idle, _ := pair(http.StateIdle, time.Hour)
	silent, _ := pair(http.StateNew, time.Minute)
	open, _ := pair(http.StateActive, 0)
	recentlyIdle, _ := pair(http.StateIdle, idleGrace/2)
	justConnected, _ := pair(http.StateNew, 0)
	for i, step := range []struct {
		limit int
		free  bool
		open  []net.Conn
	}{
		{8, true, []net.Conn{withUnreadByte, idle, silent, open, recentlyIdle, justConnected}}, // below the soft bound
		{6, true, []net.Conn{withUnreadByte, open, recentlyIdle, justConnected}},
		{5, true, []net.Conn{withUnreadByte, open, recentlyIdle, justConnected}}, // room enough for what was quiet for less than 2 s
		{4, true, []net.Conn{withUnreadByte, open, justConnected}},               // none at all
		{3, false, []net.Conn{withUnreadByte, open, justConnected}},
	} {
		clients.limit = step.limit
		if got := clients.evictIdle(); got != step.free {
			t.Errorf("step %d: room %t", i, got)
		}
		for _, conn := range step.open {
			if _, kept := clients.conns[conn]; !kept || len(clients.conns) != len(step.open) {
				t.Errorf("step %d: %d connections kept, want %d", i, len(clients.conns), len(step.open))
			}
		}
	}
	clients.onStateChange(idle, http.StateClosed) // the server says so later; it is off the books already
	for conn := range clients.conns {
		clients.onStateChange(conn, http.StateClosed)
	}
	if !clients.evictIdle() || clients.idle.Len() != 0 {
		t.Errorf("no room when all have gone; %d quiet", clients.idle.Len())
	}
}

// TestARequestOnTheLastConnectionIsAnswered: its client connected just before the
// gateway took no more.
func TestRequestOnLastAcceptedConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientListener(l, 10)
	c.firstRequestWait = 2 * time.Second
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: c.onStateChange}
	config := &config.Config{}
	config.Classes = []rules.Class{{Timeout: testTimeout.Seconds()}}
	acceptDone := make(chan struct{})
	go func() { defer close(acceptDone); server.Serve(c) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTimeout))
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) { // until it is taken
		c.mu.Lock()
		n := len(c.conns)
		c.mu.Unlock()
		if n == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the connection was not taken")
		}
	}
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- shutdown(config, &frontend{}, c, server, acceptDone) }()
	(&testGateway{address: l.Addr().String()}).waitUntilClosed(t)
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	resp.Body.Close()
	if err := wait(t, shutdownErr, "end"); err != nil {
		t.Fatal(err)
	}
}
