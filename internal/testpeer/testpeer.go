// Package testpeer is the other side of connections in tests.
package testpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Patience bounds every wait of a test; none is expected to last so long.
const Patience = 20 * time.Second

// Peer hands each connection to it on, and closes what is left at the end of the
// test.
type Peer struct {
	Listener net.Listener
	Conns    chan net.Conn
}

// New listens on a loopback address of its own.
func New(t *testing.T) *Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &Peer{Listener: l, Conns: make(chan net.Conn, 64)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			p.Conns <- c
		}
	}()
	return p
}

// Address is where the peer listens.
func (p *Peer) Address() string { return p.Listener.Addr().String() }

// Accept waits for the next connection.
func (p *Peer) Accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c := Wait(t, p.Conns, "a connection")
	c.SetDeadline(time.Now().Add(Patience))
	return c, bufio.NewReader(c)
}

// Wait takes the next value of a channel, or fails the test.
func Wait[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(Patience):
		t.Fatalf("no %s came", what)
		panic("unreachable")
	}
}

// ReadRequest reads one whole request.
func ReadRequest(t *testing.T, r *bufio.Reader) (*http.Request, []byte) {
	t.Helper()
	req, err := http.ReadRequest(r)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		t.Fatal(err)
	}
	return req, body
}

// Total writes a counter's answer.
func Total(conn net.Conn, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}
