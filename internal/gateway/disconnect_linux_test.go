package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"elderyard/internal/testpeer"
)

// disconnects are the ways in which a client closes its connection.
var disconnects = map[string]func(*net.TCPConn){
	"half close": func(c *net.TCPConn) { c.CloseWrite() },
	"close":      func(c *net.TCPConn) { c.Close() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
}

// startBlockedServer serves requests for l as frontend does, but blocks the loop where a request arrives
// until release is called: no timer fires and no message is handled before. Each request is sent to arrived.
func startBlockedServer(t *testing.T, l *Loop, arrived chan<- *exchange) (address string, release func()) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	blocked := make(chan struct{})
	release = sync.OnceFunc(func() { close(blocked) })
	callers := newClientListener(listener, 8)
	server := (&frontend{}).server(callers)
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		http.NewResponseController(w).SetReadDeadline(time.Time{})
		ex := newExchange(l, r.Header.Get(idHeader), "lookup")
		ex.method, ex.conn = http.MethodGet, clientConnOf(r)
		l.Post(loopFunc(func() {
			l.accept(ex)
			arrived <- ex
			<-blocked
		}))
		select {
		case a := <-ex.reply:
			a.write(w)
		case <-r.Context().Done():
			l.Post(clientDisconnected{l, ex})
			respondDisconnected(w)
		case <-l.Stopped():
		}
	})
	go server.Serve(callers)
	t.Cleanup(func() {
		release()
		server.Close()
	})
	return listener.Addr().String(), release
}

// A client disconnects as an attempt is about to start: the first one, while its connection is being
// dialed; a retry, after the first one was rejected; or a hedged request, when its timer is due just before
// the loop handles the disconnect. The server has read the disconnect before the trigger, but the blocked
// loop has not handled it: no byte may reach a backend.
func TestDisconnectAsAttemptStarts(t *testing.T) {
	t.Parallel()
	const notRun = "HTTP/1.1 503 X\r\n" + unprocessedHeader + ": 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	const served = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	for _, attempt := range []string{"first", "retry", "hedged request"} {
		for name, disconnect := range disconnects {
			t.Run(attempt+", "+name, func(t *testing.T) {
				t.Parallel()
				one, other := newPeer(t), newPeer(t)
				mayDuplicate := fmt.Sprintf(`"cancel": true, "mayDuplicate": %t`, attempt == "hedged request")
				l, g := newLoopWithDialGate(t, strings.Replace(testpeer.Settings, `"cancel": true`, mayDuplicate, 1), one)
				// The decision module's latency estimate comes from this request alone.
				began := time.Now()
				earlier := newExchange(l, "earlier", "lookup")
				l.Post(requestArrived{l, earlier})
				wait(t, g.dialing, "dial of the earlier request")
				g.release <- struct{}{}
				conn, br := one.Accept(t)
				readRequest(t, br)
				io.WriteString(conn, served)
				wait(t, earlier.reply, "response to the earlier request")
				l.attempts.Wait() // the loop has a message about its end, which may follow the response
				runInLoop(t, l, func() { l.applyListing(newListing(true, "Ready", one, other), 0) })
				hedgeAfter := 3 * time.Since(began) // half of it counts as mean deviation, four times

				arrived := make(chan *exchange, 1)
				address, release := startBlockedServer(t, l, arrived)
				client, err := net.Dial("tcp", address)
				if err != nil {
					t.Fatal(err)
				}
				defer client.Close()
				io.WriteString(client, requestText("GET", "lookup", ""))
				ex := wait(t, arrived, "request")
				wait(t, g.dialing, "dial of the first attempt")
				if attempt != "first" {
					g.release <- struct{}{}
					conn := acceptEither(t, one, other)
					readRequest(t, bufio.NewReader(conn))
					if attempt == "retry" {
						io.WriteString(conn, notRun)
						l.attempts.Wait() // the loop has a message about its end
					}
				}
				next, nextHeld := make(chan struct{}), make(chan struct{}) // the message before the disconnect
				releaseNext := sync.OnceFunc(func() { close(nextHeld) })
				t.Cleanup(releaseNext)
				l.Post(loopFunc(func() { close(next); <-nextHeld }))

				disconnect(client.(*net.TCPConn))
				for end := time.Now().Add(testTimeout); !ex.conn.peerClosed.Load(); time.Sleep(time.Millisecond) {
					if time.Now().After(end) {
						t.Fatal("the disconnect was not detected")
					}
				}
				if attempt == "hedged request" {
					time.Sleep(hedgeAfter) // the timer is under test
				}
				if attempt != "first" {
					release()
					wait(t, next, "message before the disconnect")
					wait(t, g.dialing, "dial of the second attempt")
				}
				g.release <- struct{}{}
				if got, err := io.ReadAll(acceptEither(t, one, other)); len(got) > 0 {
					t.Errorf("a backend got %q, %v", got, err)
				}
				release()
				releaseNext()
				for done := false; !done; {
					runInLoop(t, l, func() { done = len(l.exchanges) == 0 })
				}
				want := 2
				if attempt == "first" {
					want = 1
				}
				if n := len(ex.attempts); n != want {
					t.Errorf("%d attempts, want %d", n, want)
				}
			})
		}
	}
}

// A client disconnects behind an unread body while its request waits for units, so that nothing reads from
// the connection. The request must not be sent once its units are granted, and its connection must end.
func TestDisconnectBehindUnreadBody(t *testing.T) {
	t.Parallel()
	body := strings.Repeat("x", 100_000)
	for name, framing := range map[string]string{
		"complete":          fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"half":              fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(body), body),
		"half, none unread": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 2*len(body), body[:maxBufferedBody+1]),
		"complete, chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			backend, counter := newPeer(t), newPeer(t)
			gw := startGatewayWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
				`"pays": 1}`, `"pays": 1, "unitsPerS": 5, "depth": 20}`,
				`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 30`).Replace, backend)
			client, _ := gw.send(t, strings.TrimSuffix(requestText("POST", "payment", ""), "\r\n")+framing)
			calls, cr := counter.Accept(t)
			readRequest(t, cr)
			client.(*net.TCPConn).CloseWrite()
			waitForState(t, client, tcpFinWait2)
			total(calls, 200, "12")
			if _, err := io.Copy(io.Discard, client); isTimeout(err) {
				t.Error("the connection stays open")
			}
			_, responses := gw.send(t, requestText("GET", "lookup", "", "X-Last", "1"))
			for {
				conn, br := backend.Accept(t)
				req, err := http.ReadRequest(br)
				if err == io.EOF {
					continue // dialed before the disconnect; carried nothing
				}
				if err != nil {
					t.Fatal(err)
				}
				if req.Header.Get("X-Last") == "" {
					t.Fatal("an attempt started after the disconnect")
				}
				total(conn, 200, "ok")
				break
			}
			if resp := wait(t, responses, "response"); resp.StatusCode != http.StatusOK {
				t.Errorf("status %d", resp.StatusCode)
			}
		})
	}
}

// tcpFinWait2 is the TCP state after the peer has acknowledged the close, as in the kernel's
// include/net/tcp_states.h.
const tcpFinWait2 = 5

// waitForState waits until the kernel reports the given state for a connection.
func waitForState(t *testing.T, conn net.Conn, state byte) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		var info [4]byte
		var fault error
		if err := raw.Control(func(fd uintptr) {
			info, fault = syscall.GetsockoptInet4Addr(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		}); err != nil || fault != nil {
			t.Fatal(err, fault)
		}
		if info[0] == state {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the connection is in state %d, not %d", info[0], state)
		}
	}
}
