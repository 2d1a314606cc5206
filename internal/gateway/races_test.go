package gateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/sockets"
	"elderyard/internal/testpeer"
)

// step is what a test does in the loop's own goroutine.
type loopFunc func()

func (s loopFunc) Process() { s() }

// do has the loop do s, after all that it was told before.
func runInLoop(t *testing.T, l *Loop, s loopFunc) {
	t.Helper()
	done := make(chan struct{}, 1)
	l.Post(loopFunc(func() { s(); done <- struct{}{} }))
	wait(t, done, "turn of the loop")
}

// gate is a way to backends on which each connection is held until the test lets it up.
// What happens meanwhile does not end it: it crosses.
type dialGate struct {
	dialing chan struct{}
	release chan struct{}
}

func (g *dialGate) connect(_ context.Context, network, address string) (net.Conn, error) {
	g.dialing <- struct{}{}
	<-g.release
	return net.Dial(network, address)
}

// newGatedLoop runs a loop with a backend behind a gate.
func newLoopWithDialGate(t *testing.T, settings string, backend *peer) (*Loop, *dialGate) {
	t.Helper()
	c, err := config.Parse([]byte(testpeer.ConfigText("127.0.0.1:1", settings)))
	if err != nil {
		t.Fatal(err)
	}
	g := &dialGate{make(chan struct{}, 8), make(chan struct{}, 8)}
	p := newPools(testTimeout, testTimeout, 8)
	p.dialContext = g.connect
	l := newLoop(&c, p, nil, func() {})
	l.applyListing(newListing(true, "Ready", backend), 0)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(ctx) })
	t.Cleanup(func() {
		for range cap(g.release) {
			g.release <- struct{}{}
		}
		stop()
		wg.Wait()
		p.sweep(ctx)
		l.attempts.Wait()
	})
	return l, g
}

// newExchange is a client's request as the frontend hands it over.
func newExchange(l *Loop, id, class string) *exchange {
	ex := &exchange{correlationID: id, method: "POST", uri: "/" + class, host: "origin.svc", header: http.Header{idHeader: {id}},
		reply: make(chan response, 1), timeLeft: testTimeout.Seconds()}
	for i, name := range l.deploy.ClassNames {
		if name == class {
			ex.request.Class = i
		}
	}
	ex.request.Units, ex.request.Gateways, ex.request.SentAt = 1, 1, l.Clock.Now()
	ex.request.Deadline = ex.request.SentAt + ex.timeLeft
	return ex
}

// nothing fails the test if any byte comes before the connection ends.
func expectNoBytes(t *testing.T, backend *peer, when string) {
	t.Helper()
	conn, _ := backend.Accept(t)
	if got, err := io.ReadAll(conn); len(got) > 0 || isTimeout(err) {
		t.Errorf("%s: the backend got %q, %v", when, got, err)
	}
}

// A client leaves, or has its answer, while the connection for its request is still
// coming up, where attempts may not be cancelled: what was not written never is.
func TestRequestEndsWhileDialing(t *testing.T) {
	t.Parallel()
	for _, cancel := range []string{"true", "false"} {
		for name, end := range map[string]func(*Loop, *exchange){
			"left":     func(l *Loop, ex *exchange) { l.disconnect(ex) },
			"answered": func(l *Loop, ex *exchange) { l.respond(ex.request.ID, response{status: http.StatusOK}) },
		} {
			t.Run(name+", cancel "+cancel, func(t *testing.T) {
				t.Parallel()
				backend := newPeer(t)
				l, g := newLoopWithDialGate(t, strings.Replace(testpeer.Settings, `"cancel": true`, `"cancel": `+cancel, 1), backend)
				ex := newExchange(l, "one", "lookup")
				l.Post(requestArrived{l, ex})
				wait(t, g.dialing, "dial")
				runInLoop(t, l, func() { end(l, ex) })
				g.release <- struct{}{}
				expectNoBytes(t, backend, "after the request was over")
			})
		}
	}
}

// A client leaves while the connection for its request is coming up, and the gateway, short
// of CPU, has not looked at it since: no watch runs here. Nothing is written, also where an
// unread byte stands before the end.
func TestUndetectedDisconnect(t *testing.T) {
	t.Parallel()
	for name, disconnect := range map[string]func(*net.TCPConn){
		"ends its sending": func(c *net.TCPConn) { c.CloseWrite() },
		"closes":           func(c *net.TCPConn) { c.Close() },
		"resets":           func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for _, kind := range []struct{ cancel, unread string }{{"true", ""}, {"false", ""}, {"true", "G"}, {"false", "G"}} {
			t.Run(name+", cancel "+kind.cancel+", unread "+kind.unread, func(t *testing.T) {
				t.Parallel()
				cancel := kind.cancel
				backend, front := newPeer(t), newPeer(t)
				l, g := newLoopWithDialGate(t, strings.Replace(testpeer.Settings, `"cancel": true`, `"cancel": `+cancel, 1), backend)
				client, err := net.Dial("tcp", front.Address())
				if err != nil {
					t.Fatal(err)
				}
				defer client.Close()
				serverConn, _ := front.Accept(t)
				ex := newExchange(l, "one", "lookup")
				ex.conn = &clientConn{TCPConn: serverConn.(*net.TCPConn)}
				l.Post(requestArrived{l, ex})
				wait(t, g.dialing, "dial")
				io.WriteString(client, kind.unread)
				disconnect(client.(*net.TCPConn))
				for end := time.Now().Add(testTimeout); !sockets.PeerClosed(serverConn) && time.Now().Before(end); {
					time.Sleep(time.Millisecond) // its end is on its way through the kernel
				}
				g.release <- struct{}{}
				expectNoBytes(t, backend, "after its client had left")
				for done := false; !done; {
					runInLoop(t, l, func() { done = len(l.exchanges) == 0 })
				}
				if n := len(ex.attempts); n != 1 || len(ex.reply) != 0 {
					t.Errorf("%d attempts, %d answers", n, len(ex.reply))
				}
			})
		}
	}
}

// A keyed repeat whose connection comes up when the backends no longer remember the key
// is not written: it might have its effect twice.
func TestKeyedRetryOutsideDedupWindow(t *testing.T) {
	t.Parallel()
	const window = 500 * time.Millisecond
	backend := newPeer(t)
	l, g := newLoopWithDialGate(t, strings.Replace(testpeer.Settings, `"windowS": 2`, `"windowS": 0.5`, 1), backend)
	ex := newExchange(l, "one", "booking")
	l.Post(requestArrived{l, ex})
	wait(t, g.dialing, "dial")
	g.release <- struct{}{}
	conn, br := backend.Accept(t)
	began := time.Now() // the backend may begin, so its window runs from here at the latest
	readRequest(t, br)
	conn.Close()
	wait(t, g.dialing, "dial of the repeat")
	time.Sleep(window - time.Since(began)) // the window's end is what is tested
	g.release <- struct{}{}
	expectNoBytes(t, backend, "out of the window")
	if a := wait(t, ex.reply, "answer"); a.status != http.StatusBadGateway {
		t.Errorf("status %d", a.status)
	}
}

// An id names one request for as long as that is open, however long a class may be and
// however many ids came since.
func TestDuplicateIDOfOpenRequest(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	l, g := newLoopWithDialGate(t, testpeer.Settings, backend)
	first, second := newExchange(l, "one", "lookup"), newExchange(l, "one", "booking")
	l.Post(requestArrived{l, first})
	wait(t, g.dialing, "dial")
	runInLoop(t, l, func() {
		if want := 20.01; l.recentIDs.span != want {
			t.Errorf("ids are remembered for %g s, the longest class is open for %g", l.recentIDs.span, want)
		}
		l.recentIDs.current, l.recentIDs.previous = nil, nil // so many others have come
	})
	l.Post(requestArrived{l, second})
	if a := wait(t, second.reply, "answer to the second"); a.status != http.StatusConflict {
		t.Errorf("status %d", a.status)
	}
}

// At the bound on connections one that has not settled is not used again either: a
// second answer on its way would be read as the next request's.
func TestSurplusResponseAtConnectionLimit(t *testing.T) {
	backend := newPeer(t)
	p := newTestPools(t, backend.Address())
	p.maxOpen = 1
	done := startAttempt(p, newAttempt(testTimeout))
	conn, r := backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	wait(t, done, "result")
	p.mu.Lock()
	p.endpoints[1].idle[0].idleSince = time.Now().Add(time.Hour) // so that the next surely comes before it has settled
	p.mu.Unlock()
	done = startAttempt(p, newAttempt(testTimeout))
	other, r := backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	io.WriteString(other, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
	if got := wait(t, done, "result"); string(got.body) != "second" || p.openConns != 1 {
		t.Errorf("body %q, %d open", got.body, p.openConns)
	}
}

// An answer with no length ends with its connection's end, and with nothing else: one that
// is reset on its way has failed, is not sent on as if it were whole, and may have run. The
// reset of a long one comes when its client has seen the answer begin.
func TestCloseDelimitedResponse(t *testing.T) {
	t.Parallel()
	short, long := []byte("every second Tuesday"), randomBytes(3, 3*maxBufferedBody)
	start := func(t *testing.T) (backend *peer, conn net.Conn, responses <-chan *http.Response) {
		t.Parallel()
		backend = newPeer(t)
		gw := startGateway(t, backend)
		_, responses = gw.send(t, requestText("POST", "payment", "", keyHeader, ""))
		conn, br := backend.Accept(t)
		readRequest(t, br)
		return backend, conn, responses
	}
	for name, body := range map[string][]byte{"short": short, "long": long} {
		text := append([]byte("HTTP/1.1 200 OK\r\n\r\n"), body...)
		t.Run(name+", ended", func(t *testing.T) {
			_, conn, responses := start(t)
			go func() {
				conn.Write(text)
				conn.Close()
			}()
			resp := wait(t, responses, "answer")
			got, err := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusOK || err != nil || !bytes.Equal(got, body) {
				t.Errorf("status %d, %d bytes of %d, %v", resp.StatusCode, len(got), len(body), err)
			}
		})
		t.Run(name+", reset", func(t *testing.T) {
			backend, conn, responses := start(t)
			conn.Write(text)
			var resp *http.Response
			if len(body) > maxBufferedBody {
				resp = wait(t, responses, "answer that has begun")
			}
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			if resp == nil {
				resp = wait(t, responses, "answer")
			}
			_, err := io.ReadAll(resp.Body)
			if begun := len(body) > maxBufferedBody; begun != (resp.StatusCode == http.StatusOK) || begun != (err != nil) ||
				resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
				t.Errorf("status %d, %v", resp.StatusCode, err)
			}
			if n := len(backend.Conns); n > 0 {
				t.Errorf("%d more connections for what may have run", n)
			}
		})
	}
}
