// Package testpeer is the other side of connections in tests.
package testpeer

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Timeout bounds every wait of a test; none is expected to last so long.
const Timeout = 20 * time.Second

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
	c := Receive(t, p.Conns, "a connection")
	c.SetDeadline(time.Now().Add(Timeout))
	return c, bufio.NewReader(c)
}

// Receive takes the next value of a channel, or fails the test.
func Receive[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(Timeout):
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

// WriteCounterResponse writes a counter's answer.
func WriteCounterResponse(conn net.Conn, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// SelfSignedCertificate makes one for 127.0.0.1 that signs itself, and what trusts it.
func SelfSignedCertificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

// DialWithReceiveBuffer connects with a receive buffer of so many bytes. It is set before the
// connection is made: a window that shrinks later has systems drop each other's news.
func DialWithReceiveBuffer(t *testing.T, address string, bytes int) net.Conn {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if e := c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) }); e != nil {
			return e
		}
		return err
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}
