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

// forLong has no attempt end by itself while a test waits.
var forLong = strings.NewReplacer(`"objectiveS": 10, "deadlineS": 20`, `"objectiveS": 100, "deadlineS": 200`).Replace

// A client that leaves while its request is out has it called off, however it leaves
// and whatever it sent behind the request.
func TestClientLeavesBehindWhatItSentAhead(t *testing.T) {
	t.Parallel()
	for name, behind := range map[string]string{"nothing": "", "a byte": "G", "a request": ask("GET", "lookup", ""),
		"many requests": strings.Repeat(ask("GET", "lookup", ""), 400)} {
		for _, method := range []string{"GET", "POST"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", name, method, reset), func(t *testing.T) {
					t.Parallel()
					backend := newPeer(t)
					r := newRigWith(t, forLong, backend)
					text := ask("GET", "lookup", "", leftHeader, "150000")
					if method == "POST" {
						text = ask("POST", "booking", "pickup", leftHeader, "150000")
					}
					conn, _ := r.client(t, text)
					_, br := backend.Accept(t)
					readRequest(t, br)
					io.WriteString(conn, behind) // what can't be taken is cut off here already
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

// Of what a client sent before it ended its sending nothing goes on once that was seen,
// and no answer comes that no backend made. Its first request waits for units here: the
// counter has not answered.
func TestNothingGoesOnForAClientThatHasLeft(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{"GET": ask("GET", "lookup", ""), "POST": ask("POST", "booking", "pickup"),
		"GET and more":  ask("GET", "lookup", "") + ask("GET", "lookup", "") + ask("GET", "lookup", ""),
		"POST and more": ask("POST", "booking", "pickup") + ask("POST", "booking", "pickup") + "GET "} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend, counter := newPeer(t), newPeer(t)
			r := newRigWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
				`"pays": 1}`, `"pays": 1, "unitsPerS": 5, "depth": 20}`,
				`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 30`).Replace, backend)
			conn, err := net.Dial("tcp", r.address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			io.WriteString(conn, text)
			calls, cr := counter.Accept(t)
			readRequest(t, cr)
			conn.(*net.TCPConn).CloseWrite()
			br := bufio.NewReader(conn)
			for { // to the connection's end: by then the gateway has seen the client leave
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					break
				}
				if resp.StatusCode == http.StatusOK {
					t.Error("a client that ended its sending was answered 200, and no backend was asked")
				}
				io.Copy(io.Discard, resp.Body)
			}
			total(calls, 200, "12")
			_, answers := r.client(t, ask("GET", "lookup", "", "X-Last", "1")) // after all that could still go on
			bc, bbr := backend.Accept(t)
			if req, _ := readRequest(t, bbr); req.Header.Get("X-Last") == "" {
				t.Error("a request was sent on after its client had left")
			}
			total(bc, 200, "ok")
			wait(t, answers, "answer")
			if n := len(backend.Conns); n > 0 {
				t.Errorf("%d more connections to the backend", n)
			}
		})
	}
}

// A client may have been seen to leave before its request is handed over.
func TestLeftBeforeItsRequestWasTaken(t *testing.T) {
	t.Parallel()
	l, _ := newGatedLoop(t, testpeer.Settings, newPeer(t))
	r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(ask("GET", "lookup", ""))))
	if err != nil {
		t.Fatal(err)
	}
	ctx, left := context.WithCancel(t.Context())
	left()
	w := httptest.NewRecorder()
	(&frontend{loop: l, deploy: l.deploy}).ServeHTTP(w, r.WithContext(ctx))
	do(t, l, func() {
		if w.Code != http.StatusBadRequest || len(l.ids.now) > 0 {
			t.Errorf("status %d, %d requests taken", w.Code, len(l.ids.now))
		}
	})
}

// guarded is a client's connection, and its guard with no server behind it.
func guarded(t *testing.T) (client net.Conn, g *guard) {
	t.Helper()
	far := newPeer(t)
	client, err := net.Dial("tcp", far.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	near, _ := far.Accept(t)
	return client, &guard{TCPConn: near.(*net.TCPConn)}
}

// What a client sends right behind an answer that it is just getting is its next request.
func TestNextRequestBesideTheAnswer(t *testing.T) {
	t.Parallel()
	client, g := guarded(t)
	g.follow(http.StateActive)
	g.answering()
	next := ask("POST", "booking", strings.Repeat("x", 3*mostAhead))
	go io.WriteString(client, next)
	one := make([]byte, 1)
	if n, err := g.Read(one); n != 1 || err != nil { // the server's watch ends with the first byte
		t.Fatalf("%d bytes, %v", n, err)
	}
	g.follow(http.StateIdle)
	if g.closeIdle() {
		t.Error("closed as idle with the next request on it")
	}
	rest, err := io.ReadAll(io.LimitReader(g, int64(len(next)-1)))
	if got := string(one) + string(rest); got != next || err != nil {
		t.Errorf("%d of %d bytes, %v", len(got), len(next), err)
	}
	if g.tainted.Load() {
		t.Error("the framing was lost")
	}
}
