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
type step func()

func (s step) Process() { s() }

// do has the loop do s, after all that it was told before.
func do(t *testing.T, l *Loop, s step) {
	t.Helper()
	done := make(chan struct{}, 1)
	l.Post(step(func() { s(); done <- struct{}{} }))
	wait(t, done, "turn of the loop")
}

// gate is a way to backends on which each connection is held until the test lets it up.
// What happens meanwhile does not end it: it crosses.
type gate struct {
	asked chan struct{}
	open  chan struct{}
}

func (g *gate) connect(_ context.Context, network, address string) (net.Conn, error) {
	g.asked <- struct{}{}
	<-g.open
	return net.Dial(network, address)
}

// newGatedLoop runs a loop with a backend behind a gate.
func newGatedLoop(t *testing.T, settings string, backend *peer) (*Loop, *gate) {
	t.Helper()
	c, err := config.Parse([]byte(testpeer.ConfigText("127.0.0.1:1", settings)))
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{make(chan struct{}, 8), make(chan struct{}, 8)}
	p := newPools(patience, patience, 8)
	p.connect = g.connect
	l := newLoop(&c, p, nil, func() {})
	l.list(listing(true, "Ready", backend), 0)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { l.Run(ctx) })
	t.Cleanup(func() {
		for range cap(g.open) {
			g.open <- struct{}{}
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
	x := &exchange{id: id, method: "POST", uri: "/" + class, host: "origin.svc", header: http.Header{idHeader: {id}},
		reply: make(chan answer, 1), left: patience.Seconds()}
	for i, name := range l.deploy.ClassNames {
		if name == class {
			x.ask.Class = i
		}
	}
	x.ask.Units, x.ask.Gateways, x.ask.SentAt = 1, 1, l.Clock.Now()
	x.ask.Deadline = x.ask.SentAt + x.left
	return x
}

// nothing fails the test if any byte comes before the connection ends.
func nothing(t *testing.T, backend *peer, what string) {
	t.Helper()
	conn, _ := backend.Accept(t)
	if got, err := io.ReadAll(conn); len(got) > 0 || isTimeout(err) {
		t.Errorf("%s: the backend got %q, %v", what, got, err)
	}
}

// A client leaves, or has its answer, while the connection for its request is still
// coming up, where attempts may not be cancelled: what was not written never is.
func TestRequestOverBeforeItsConnectionIsUp(t *testing.T) {
	t.Parallel()
	for _, cancel := range []string{"true", "false"} {
		for name, over := range map[string]func(*Loop, *exchange){
			"left":     func(l *Loop, x *exchange) { l.leave(x) },
			"answered": func(l *Loop, x *exchange) { l.answer(x.ask.ID, answer{status: http.StatusOK}) },
		} {
			t.Run(name+", cancel "+cancel, func(t *testing.T) {
				t.Parallel()
				backend := newPeer(t)
				l, g := newGatedLoop(t, strings.Replace(testpeer.Settings, `"cancel": true`, `"cancel": `+cancel, 1), backend)
				x := newExchange(l, "one", "lookup")
				l.Post(arrival{l, x})
				wait(t, g.asked, "dial")
				do(t, l, func() { over(l, x) })
				g.open <- struct{}{}
				nothing(t, backend, "after the request was over")
			})
		}
	}
}

// A client leaves while the connection for its request is coming up, and the gateway, short
// of CPU, has not looked at it since: no watch runs here. Nothing is written, also where an
// unread byte stands before the end.
func TestClientLeavesUnseen(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*net.TCPConn){
		"ends its sending": func(c *net.TCPConn) { c.CloseWrite() },
		"closes":           func(c *net.TCPConn) { c.Close() },
		"resets":           func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for _, kind := range []struct{ cancel, unread string }{{"true", ""}, {"false", ""}, {"true", "G"}, {"false", "G"}} {
			t.Run(name+", cancel "+kind.cancel+", unread "+kind.unread, func(t *testing.T) {
				t.Parallel()
				cancel := kind.cancel
				backend, door := newPeer(t), newPeer(t)
				l, g := newGatedLoop(t, strings.Replace(testpeer.Settings, `"cancel": true`, `"cancel": `+cancel, 1), backend)
				client, err := net.Dial("tcp", door.Address())
				if err != nil {
					t.Fatal(err)
				}
				defer client.Close()
				near, _ := door.Accept(t)
				x := newExchange(l, "one", "lookup")
				x.conn = &guard{TCPConn: near.(*net.TCPConn)}
				l.Post(arrival{l, x})
				wait(t, g.asked, "dial")
				io.WriteString(client, kind.unread)
				leave(client.(*net.TCPConn))
				for end := time.Now().Add(patience); !sockets.PeerClosed(near) && time.Now().Before(end); {
					time.Sleep(time.Millisecond) // its end is on its way through the kernel
				}
				g.open <- struct{}{}
				nothing(t, backend, "after its client had left")
				for over := false; !over; {
					do(t, l, func() { over = len(l.live) == 0 })
				}
				if n := len(x.attempts); n != 1 || len(x.reply) != 0 {
					t.Errorf("%d attempts, %d answers", n, len(x.reply))
				}
			})
		}
	}
}

// A keyed repeat whose connection comes up when the backends no longer remember the key
// is not written: it might have its effect twice.
func TestKeyedRepeatOutOfItsWindow(t *testing.T) {
	t.Parallel()
	const window = 500 * time.Millisecond
	backend := newPeer(t)
	l, g := newGatedLoop(t, strings.Replace(testpeer.Settings, `"windowS": 2`, `"windowS": 0.5`, 1), backend)
	x := newExchange(l, "one", "booking")
	l.Post(arrival{l, x})
	wait(t, g.asked, "dial")
	g.open <- struct{}{}
	conn, br := backend.Accept(t)
	began := time.Now() // the backend may begin, so its window runs from here at the latest
	readRequest(t, br)
	conn.Close()
	wait(t, g.asked, "dial of the repeat")
	time.Sleep(window - time.Since(began)) // the window's end is what is tested
	g.open <- struct{}{}
	nothing(t, backend, "out of the window")
	if a := wait(t, x.reply, "answer"); a.status != http.StatusBadGateway {
		t.Errorf("status %d", a.status)
	}
}

// An id names one request for as long as that is open, however long a class may be and
// however many ids came since.
func TestIdOfARequestThatIsStillOpen(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	l, g := newGatedLoop(t, testpeer.Settings, backend)
	first, second := newExchange(l, "one", "lookup"), newExchange(l, "one", "booking")
	l.Post(arrival{l, first})
	wait(t, g.asked, "dial")
	do(t, l, func() {
		if want := 20.01; l.ids.span != want {
			t.Errorf("ids are remembered for %g s, the longest class is open for %g", l.ids.span, want)
		}
		l.ids.now, l.ids.last = nil, nil // so many others have come
	})
	l.Post(arrival{l, second})
	if a := wait(t, second.reply, "answer to the second"); a.status != http.StatusConflict {
		t.Errorf("status %d", a.status)
	}
}

// At the bound on connections one that has not settled is not used again either: a
// second answer on its way would be read as the next request's.
func TestSecondAnswerAtTheBound(t *testing.T) {
	backend := newPeer(t)
	p := poolFor(t, backend.Address())
	p.mostOpen = 1
	done := start(p, newAttempt(patience))
	conn, r := backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	wait(t, done, "result")
	p.mu.Lock()
	p.targets[1].idle[0].idle = time.Now().Add(time.Hour) // so that the next surely comes before it has settled
	p.mu.Unlock()
	done = start(p, newAttempt(patience))
	other, r := backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst")
	io.WriteString(other, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
	if got := wait(t, done, "result"); string(got.body) != "second" || p.open != 1 {
		t.Errorf("body %q, %d open", got.body, p.open)
	}
}

// An answer with no length ends with its connection's end, and with nothing else: one that
// is reset on its way has failed, is not sent on as if it were whole, and may have run. The
// reset of a long one comes when its client has seen the answer begin.
func TestAnswerWithNoLength(t *testing.T) {
	t.Parallel()
	short, long := []byte("every second Tuesday"), noise(3, 3*inlineBody)
	asked := func(t *testing.T) (backend *peer, conn net.Conn, answers <-chan *http.Response) {
		t.Parallel()
		backend = newPeer(t)
		r := newRig(t, backend)
		_, answers = r.client(t, ask("POST", "payment", "", keyHeader, ""))
		conn, br := backend.Accept(t)
		readRequest(t, br)
		return backend, conn, answers
	}
	for name, body := range map[string][]byte{"short": short, "long": long} {
		said := append([]byte("HTTP/1.1 200 OK\r\n\r\n"), body...)
		t.Run(name+", ended", func(t *testing.T) {
			_, conn, answers := asked(t)
			go func() {
				conn.Write(said)
				conn.Close()
			}()
			resp := wait(t, answers, "answer")
			got, err := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusOK || err != nil || !bytes.Equal(got, body) {
				t.Errorf("status %d, %d bytes of %d, %v", resp.StatusCode, len(got), len(body), err)
			}
		})
		t.Run(name+", reset", func(t *testing.T) {
			backend, conn, answers := asked(t)
			conn.Write(said)
			var resp *http.Response
			if len(body) > inlineBody {
				resp = wait(t, answers, "answer that has begun")
			}
			conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			if resp == nil {
				resp = wait(t, answers, "answer")
			}
			_, err := io.ReadAll(resp.Body)
			if begun := len(body) > inlineBody; begun != (resp.StatusCode == http.StatusOK) || begun != (err != nil) ||
				resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable {
				t.Errorf("status %d, %v", resp.StatusCode, err)
			}
			if n := len(backend.Conns); n > 0 {
				t.Errorf("%d more connections for what may have run", n)
			}
		})
	}
}
