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

// Any number of connections that send nothing must not keep other clients from being served, and they must
// be closed in the end.
func TestSilentClients(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGatewayWith(t, strings.NewReplacer(`"sockets": 256`, `"sockets": 128`).Replace, backend)
	var silent []net.Conn
	for range 100 { // the limit is below 40
		c, err := net.Dial("tcp", gw.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	_, responses := gw.send(t, requestText("POST", "booking", "x"))
	serveOnce(t, backend, "ok")
	if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
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

// An incomplete request gets an error or a close in time. A request that waits for its response is not
// affected by that timeout.
func TestIncompleteRequests(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, openResponse := gw.send(t, requestText("GET", "lookup", ""))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	request := requestText("POST", "booking", "pickup")
	for _, text := range []string{request[:10], request[:len(request)-1]} {
		c, _ := net.Dial("tcp", gw.address)
		defer c.Close()
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := io.ReadAll(c); isTimeout(err) {
			t.Errorf("after %d bytes the connection stays open", len(text))
		}
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // after the read timeout
	if resp := wait(t, openResponse, "response"); resp.StatusCode != 200 {
		t.Errorf("the open request: status %d", resp.StatusCode)
	}
}

// The connections that have been idle longest are evicted, but not one with an unread request, with an open
// request, or that became idle just now.
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
		time.Sleep(time.Millisecond) // the byte is in transit through the kernel
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
		{8, true, []net.Conn{withUnreadByte, idle, silent, open, recentlyIdle, justConnected}}, // below the soft limit
		{6, true, []net.Conn{withUnreadByte, open, recentlyIdle, justConnected}},
		{5, true, []net.Conn{withUnreadByte, open, recentlyIdle, justConnected}}, // connections idle for less than 2 s stay while slots are free
		{4, true, []net.Conn{withUnreadByte, open, justConnected}},               // no slot is free
		{3, false, []net.Conn{withUnreadByte, open, justConnected}},
	} {
		clients.limit = step.limit
		if got := clients.evictIdle(); got != step.free {
			t.Errorf("step %d: free slot %t", i, got)
		}
		for _, conn := range step.open {
			if _, tracked := clients.conns[conn]; !tracked || len(clients.conns) != len(step.open) {
				t.Errorf("step %d: %d connections open, want %d", i, len(clients.conns), len(step.open))
			}
		}
	}
	clients.onStateChange(idle, http.StateClosed) // as the server reports later for an evicted connection
	for conn := range clients.conns {
		clients.onStateChange(conn, http.StateClosed)
	}
	if !clients.evictIdle() || clients.idle.Len() != 0 {
		t.Errorf("no free slot after all connections closed; %d idle", clients.idle.Len())
	}
}

// A request is served on the last connection that was accepted before a shutdown.
func TestRequestOnLastAcceptedConnection(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClientListener(l, 1000) // a place for each attempt to connect until the listener is closed
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
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) { // until it is accepted
		c.mu.Lock()
		n := len(c.conns)
		c.mu.Unlock()
		if n == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the connection was not accepted")
		}
	}
	shutdownErr := make(chan error, 1)
	go func() { shutdownErr <- shutdown(config, &frontend{}, c, server, acceptDone) }()
	(&testGateway{address: l.Addr().String()}).waitUntilClosed(t)
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	resp.Body.Close()
	if err := wait(t, shutdownErr, "end"); err != nil {
		t.Fatal(err)
	}
}
