package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"elderyard/internal/sockets"
	"elderyard/internal/testpeer"
	"elderyard/rules"
)

const testTimeout = testpeer.Timeout

type peer = testpeer.Peer

var (
	newPeer     = testpeer.New
	readRequest = testpeer.ReadRequest
	total       = testpeer.WriteCounterResponse
)

func wait[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	return testpeer.Receive(t, ch, what)
}

func newAttempt(timeout time.Duration) *attempt {
	a := &attempt{backend: 1, socketDeadline: time.Now().Add(timeout), exchange: &exchange{method: "POST", uri: "/booking/7?a=%2F",
		host: "origin.svc", header: http.Header{idHeader: {"id-1"}}, body: []byte("pickup")}}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	return a
}

func newTestPools(t *testing.T, address string) *pools {
	p := newPools(testTimeout, time.Minute, 8)
	p.update(1, address, 0)
	t.Cleanup(func() { p.remove(1) })
	return p
}

func startAttempt(p *pools, a *attempt) <-chan result {
	done := make(chan result, 1)
	go func() { done <- p.send(a) }()
	return done
}

// The outcome of a response decides whether the request may be retried. Each row is one line of the
// protocol's table.
func TestOutcomes(t *testing.T) {
	long := strings.Repeat("x", maxBufferedBody+1)
	for _, c := range []struct {
		name, reply string
		want        rules.Outcome
		body        string
		reused      bool // of the connection
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", rules.Served, "ok", true},
		{"served, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", rules.Served, "ok", true},
		{"served, then closed", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok", rules.Served, "ok", false},
		{"interim response first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", rules.Served, "ok", true},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", rules.Errored, "", true},
		{"rejected before it ran", "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", rules.Overloaded, "", true},
		{"expired before it ran", "HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", rules.Overloaded, "", true},
		{"503 without proof", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", rules.Errored, "", true},
		{"504 without proof", "HTTP/1.1 504 No\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n", rules.Errored, "", true},
		{"500 is no proof", "HTTP/1.1 500 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", rules.Errored, "", true},
		{"closed without a response", "", rules.ConnectionBroken, "", false},
		{"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", rules.ConnectionBroken, "", false},
		{"body too long", "HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n" + long, rules.ConnectionBroken, "", false},
		{"endless headers", "HTTP/1.1 200 OK\r\nX: " + long + long, rules.ConnectionBroken, "", false},
		{"close-delimited body", "HTTP/1.1 200 OK\r\n\r\nok", rules.Served, "ok", false},
		{"close-delimited error", "HTTP/1.1 500 No\r\n\r\nno", rules.Errored, "", false},
		{"close-delimited rejection", "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\n\r\n", rules.Overloaded, "", false},
		{"close-delimited body over the limit", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxBufferedResponse-100) + "\r\n\r\n" + long, rules.ConnectionBroken, "", false},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", rules.ConnectionBroken, "", false},
		{"invalid length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok", rules.ConnectionBroken, "", false},
		{"invalid chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nok", rules.ConnectionBroken, "", false},
		{"3 GB", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nok", rules.ConnectionBroken, "", false},
		{"surplus bytes", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", rules.Served, "ok", false},
		{"not HTTP", "SSH-2.0\r\n\r\n", rules.ConnectionBroken, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := newPeer(t)
			p := newTestPools(t, backend.Address())
			done := startAttempt(p, newAttempt(testTimeout))
			conn, r := backend.Accept(t)
			readRequest(t, r)
			go func() {
				io.WriteString(conn, c.reply)
				if !c.reused {
					conn.(*net.TCPConn).CloseWrite()
				}
			}()
			got := wait(t, done, "result")
			if got.outcome != c.want || string(got.body) != c.body {
				t.Errorf("outcome %d, body of %d bytes; want %d and %q", got.outcome, len(got.body), c.want, c.body)
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			if reused := len(p.endpoints[1].idle) == 1 && p.openConns == 1; reused != c.reused {
				t.Errorf("connection reused: %t, %d open", reused, p.openConns)
			}
		})
	}
}

func TestRequestUnchanged(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	a := newAttempt(testTimeout)
	a.exchange.header[keyHeader] = []string{"key-1"}
	a.exchange.body = bytes.Repeat([]byte{0, 255, '\r', '\n'}, maxBufferedBody/4)
	done := startAttempt(p, a)
	conn, r := backend.Accept(t)
	req, body := readRequest(t, r)
	if req.Method != "POST" || req.RequestURI != a.exchange.uri || req.Host != "origin.svc" || !bytes.Equal(body, a.exchange.body) ||
		req.Header.Get(idHeader) != "id-1" || req.Header.Get(keyHeader) != "key-1" || req.Header.Get(timeLeftHeader) == "" {
		t.Errorf("got %s %s with %d bytes and %v", req.Method, req.RequestURI, len(body), req.Header)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	wait(t, done, "result")
}

func TestNeverConnected(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	backend.Listener.Close()
	if got := p.send(newAttempt(testTimeout)); got.outcome != rules.ConnectFailed {
		t.Errorf("refused: outcome %d", got.outcome)
	}
	p.remove(1)
	if got := p.send(newAttempt(testTimeout)); got.outcome != rules.ConnectFailed || p.openConns != 0 {
		t.Errorf("not listed: outcome %d, %d open", got.outcome, p.openConns)
	}
}

// A machine that fails silently leaves its connections open: only the attempt's timeout ends the wait, and
// it must close the connection.
func TestSilentBackend(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	got := p.send(newAttempt(50 * time.Millisecond))
	if got.outcome != rules.TimedOut || p.openConns != 0 {
		t.Errorf("outcome %d, %d open", got.outcome, p.openConns)
	}
	conn, r := backend.Accept(t)
	readRequest(t, r)
	if _, err := conn.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("connection of a timed-out attempt: %v", err)
	}
}

// Once abort has returned, no byte of the request may be sent, neither by a dial that completes later nor
// on a connection in use.
func TestAbortedAttempt(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	a := newAttempt(testTimeout)
	a.abort()
	a.ctx = context.Background() // as if the dial had completed despite the abort
	p.send(a)
	conn, r := backend.Accept(t)
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("sent after the abort: %v", err)
	}
	conn.Close()

	a = newAttempt(testTimeout)
	done := startAttempt(p, a)
	_, r = backend.Accept(t)
	readRequest(t, r)
	a.abort()
	if _, err := r.ReadByte(); err != io.EOF {
		t.Errorf("connection after the abort: %v", err)
	}
	wait(t, done, "result")
	if p.openConns != 0 {
		t.Errorf("%d connections open", p.openConns)
	}
}

// A backend may close an idle connection. A request written to it would end in a reset and could not be
// retried, so the socket is checked before the write.
func TestClosedIdleConnection(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	done := startAttempt(p, newAttempt(testTimeout))
	conn, r := backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	wait(t, done, "result")
	conn.Close()
	until := time.Now().Add(testTimeout)
	for idle := p.endpoints[1].idle[0]; sockets.Alive(idle.Conn) && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // the FIN is in transit through the kernel
	}
	done = startAttempt(p, newAttempt(testTimeout))
	conn, r = backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if got := wait(t, done, "result"); got.outcome != rules.Served {
		t.Errorf("outcome %d", got.outcome)
	}
}

// When a backend has restarted, the process behind its old connections is gone: what is written to them is
// lost, or may have run.
func TestBackendRestart(t *testing.T) {
	backend, elsewhere := newPeer(t), newPeer(t)
	p := newTestPools(t, backend.Address())
	inFlight := startAttempt(p, newAttempt(testTimeout))
	_, r := backend.Accept(t)
	readRequest(t, r)
	start := startSeconds(nextStartTime())
	p.update(1, backend.Address(), start)
	if got := wait(t, inFlight, "result"); got.outcome != rules.ConnectionBroken {
		t.Errorf("in flight at the earlier run: outcome %d", got.outcome)
	}
	for n, address := range []string{backend.Address(), elsewhere.Address()} {
		p.update(1, address, start)
		done := startAttempt(p, newAttempt(testTimeout))
		conn, r := []*peer{backend, elsewhere}[n].Accept(t)
		readRequest(t, r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if got := wait(t, done, "result"); got.outcome != rules.Served || p.openConns != 1 {
			t.Errorf("run %d: outcome %d, %d open", n, got.outcome, p.openConns)
		}
	}
}

// A backend may send a second copy of a response a little later. No other request may be sent on the
// connection until then: otherwise it would receive the copy.
func TestSurplusResponse(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	done := startAttempt(p, newAttempt(testTimeout))
	conn, r := backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	wait(t, done, "result")
	p.mu.Lock()
	p.endpoints[1].idle[0].idleSince = time.Now().Add(reuseDelay) // so that the next request is certain to come within the delay
	p.mu.Unlock()
	done = startAttempt(p, newAttempt(testTimeout))
	other, r := backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	io.WriteString(other, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
	if got := wait(t, done, "result"); string(got.body) != "second" {
		t.Errorf("body %q", got.body)
	}
}

// A draining backend gets no new requests, but may finish those in flight.
func TestDrain(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	inFlight := startAttempt(p, newAttempt(testTimeout))
	conn, r := backend.Accept(t)
	readRequest(t, r)
	p.remove(1)
	if got := p.send(newAttempt(testTimeout)); got.outcome != rules.ConnectFailed {
		t.Errorf("new request: outcome %d", got.outcome)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if got := wait(t, inFlight, "result"); got.outcome != rules.Served || p.openConns != 0 {
		t.Errorf("in flight: outcome %d, %d open", got.outcome, p.openConns)
	}
}

// An idle connection outlives the deadlines of its attempts: reconnecting costs the backend work.
func TestReuseAfterOldDeadline(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	done := startAttempt(p, newAttempt(testTimeout))
	conn, r := backend.Accept(t)
	for i := range 2 {
		readRequest(t, r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		if got := wait(t, done, "result"); got.outcome != rules.Served {
			t.Errorf("attempt %d: outcome %d", i, got.outcome)
		}
		p.endpoints[1].idle[0].SetDeadline(time.Now().Add(-time.Second)) // as if the first attempt had been long ago
		if i == 0 {
			time.Sleep(2 * reuseDelay)
			done = startAttempt(p, newAttempt(testTimeout))
		}
	}
	if len(backend.Conns) != 0 || p.openConns != 1 {
		t.Errorf("%d more connections, %d open", len(backend.Conns), p.openConns)
	}
}

func TestIdleLimitAndMaxOpen(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	p.maxOpen = 1
	first := startAttempt(p, newAttempt(testTimeout))
	conn, r := backend.Accept(t)
	readRequest(t, r)
	if got := p.send(newAttempt(testTimeout)); got.outcome != rules.ConnectFailed {
		t.Errorf("over the connection limit: outcome %d", got.outcome)
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	wait(t, first, "result")
	// An idle connection to another backend is closed in favor of a new one.
	other := newPeer(t)
	p.update(2, other.Address(), 0)
	a := newAttempt(testTimeout)
	a.backend = 2
	first = startAttempt(p, a)
	conn, r = other.Accept(t)
	readRequest(t, r)
	if len(p.endpoints[1].idle) != 0 || p.openConns != 1 {
		t.Errorf("%d idle, %d open", len(p.endpoints[1].idle), p.openConns)
	}
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	wait(t, first, "result")
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closeIdleBefore(p.endpoints[2], time.Now().Add(-time.Hour)); p.openConns != 1 {
		t.Errorf("a recently used connection was closed")
	}
	if p.closeIdleBefore(p.endpoints[2], time.Now().Add(time.Hour)); p.openConns != 0 || len(p.endpoints[2].idle) != 0 {
		t.Errorf("%d open after the idle limit", p.openConns)
	}
}

// reusable counts the idle connections that have waited for reuseDelay, however many others there are.
func TestReusableConnections(t *testing.T) {
	now := time.Now()
	for _, counts := range []struct{ reusable, recent int }{{0, 0}, {0, 3}, {3, 0}, {2, 5}} {
		var target endpoint
		for i := range counts.reusable {
			target.idle = append(target.idle, &backendConn{idleSince: now.Add(-reuseDelay - time.Duration(counts.reusable-i))})
		}
		for i := range counts.recent {
			target.idle = append(target.idle, &backendConn{idleSince: now.Add(-reuseDelay + time.Duration(i+1))})
		}
		if got := target.reusable(now); got != counts.reusable {
			t.Errorf("%+v: %d", counts, got)
		}
	}
}
