package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"elderyard/internal/testpeer"
)

// longDeadlines keeps attempts from ending by themselves during a test.
var longDeadlines = strings.NewReplacer(`"objectiveS": 10, "deadlineS": 20`, `"objectiveS": 100, "deadlineS": 200`).Replace

// A client that disconnects while its request is open has its attempt aborted, in whatever way it closes and
// whatever bytes precede that.
func TestDisconnectBehindPipelinedBytes(t *testing.T) {
	t.Parallel()
	for name, behind := range map[string]string{"nothing": "", "a byte": "G", "a request": requestText("GET", "lookup", ""),
		"many requests": strings.Repeat(requestText("GET", "lookup", ""), 400)} {
		for _, method := range []string{"GET", "POST"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", name, method, reset), func(t *testing.T) {
					t.Parallel()
					backend := newPeer(t)
					gw := startGatewayWith(t, longDeadlines, backend)
					text := requestText("GET", "lookup", "", timeLeftHeader, "150000")
					if method == "POST" {
						text = requestText("POST", "booking", "pickup", timeLeftHeader, "150000")
					}
					conn, _ := gw.send(t, text)
					_, br := backend.Accept(t)
					readRequest(t, br)
					io.WriteString(conn, behind) // the gateway may close the connection already here if it is too much
					if reset {
						conn.(*net.TCPConn).SetLinger(0)
					}
					conn.Close()
					if _, err := br.ReadByte(); err == nil || isTimeout(err) {
						t.Errorf("the attempt's connection: %v", err)
					}
					if n := len(backend.Conns); n > 0 {
						t.Errorf("%d more connections to the backend", n)
					}
				})
			}
		}
	}
}

// Once a disconnect has been detected, nothing that the client sent before is forwarded, and the client gets
// no response that no backend made. Its first request waits for units, as the counter has not responded.
func TestNothingForwardedAfterDisconnect(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{"GET": requestText("GET", "lookup", ""), "POST": requestText("POST", "booking", "pickup"),
		"GET and more":  requestText("GET", "lookup", "") + requestText("GET", "lookup", "") + requestText("GET", "lookup", ""),
		"POST and more": requestText("POST", "booking", "pickup") + requestText("POST", "booking", "pickup") + "GET "} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend, counter := newPeer(t), newPeer(t)
			gw := startGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
				`"pays": 1}`, `"pays": 1, "unitsPerS": 5, "depth": 20}`,
				`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 30`).Replace, backend)
			conn, err := net.Dial("tcp", gw.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, text)
			calls, cr := counter.Accept(t)
			readRequest(t, cr)
			conn.(*net.TCPConn).CloseWrite()
			br := bufio.NewReader(conn)
			for { // the gateway has detected the disconnect by the end of the connection
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					break
				}
				if resp.StatusCode == http.StatusOK {
					t.Error("a client that closed its sending side got status 200 without a backend")
				}
				io.Copy(io.Discard, resp.Body)
			}
			total(calls, 200, "12")
			_, responses := gw.send(t, requestText("GET", "lookup", "", "X-Last", "1")) // sent last: nothing else can be forwarded after it
			bc, bbr := backend.Accept(t)
			if req, _ := readRequest(t, bbr); req.Header.Get("X-Last") == "" {
				t.Error("a request was forwarded after the disconnect")
			}
			total(bc, 200, "ok")
			wait(t, responses, "response")
			if n := len(backend.Conns); n > 0 {
				t.Errorf("%d more connections to the backend", n)
			}
		})
	}
}

// A disconnect may be detected before the request is passed to the loop.
func TestDisconnectBeforeRequestIsAccepted(t *testing.T) {
	t.Parallel()
	l, _ := newLoopWithDialGate(t, testpeer.Settings, newPeer(t))
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(requestText("GET", "lookup", ""))))
	if err != nil {
		t.Fatal(err)
	}
	ctx, left := context.WithCancel(t.Context())
	left()
	w := httptest.NewRecorder()
	(&frontend{loop: l, deploy: l.deploy}).ServeHTTP(w, r.WithContext(ctx))
	runInLoop(t, l, func() {
		if w.Code != http.StatusBadRequest || len(l.recentIDs.current) > 0 {
			t.Errorf("status %d, %d requests accepted", w.Code, len(l.recentIDs.current))
		}
	})
}

// newTestClientConn returns a client's side of a connection, and a clientConn without a server.
func newTestClientConn(t *testing.T) (client net.Conn, cc *clientConn) {
	t.Helper()
	listener := newPeer(t)
	client, err := net.Dial("tcp", listener.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	server, _ := listener.Accept(t)
	return client, &clientConn{TCPConn: server.(*net.TCPConn)}
}

// What a client sends while it receives a response is its next request.
func TestPipelinedRequestDuringResponse(t *testing.T) {
	t.Parallel()
	client, cc := newTestClientConn(t)
	cc.onStateChange(http.StateActive)
	cc.markResponding()
	next := requestText("POST", "booking", strings.Repeat("x", 3*maxPipelined))
	go io.WriteString(client, next)
	one := make([]byte, 1)
	if n, err := cc.Read(one); n != 1 || err != nil { // the server's read ends with the first byte
		t.Fatalf("%d bytes, %v", n, err)
	}
	cc.onStateChange(http.StateIdle)
	if cc.closeIfIdle() {
		t.Error("closed as idle with the next request on it")
	}
	rest, err := io.ReadAll(io.LimitReader(cc, int64(len(next)-1)))
	if got := string(one) + string(rest); got != next || err != nil {
		t.Errorf("%d of %d bytes, %v", len(got), len(next), err)
	}
	if cc.ambiguous.Load() {
		t.Error("the framing counts as ambiguous")
	}
}
