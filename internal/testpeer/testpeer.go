// Package testpeer provides TCP and HTTP endpoints that stand in for the remote side of
// connections in tests: a raw TCP listener, a discovery server and test certificates.
//
// It is for tests alone and is linked into no program.
package testpeer

import (
	"bufio"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// Timeout bounds every wait in a test; no wait is expected to take that long.
const Timeout = 20 * time.Second

// Peer is a TCP server that delivers each accepted connection on a channel. Its listener and
// connections are closed at the end of the test.
type Peer struct {
	Listener net.Listener
	Conns    chan net.Conn
}

// New starts a peer on a loopback address with a free port.
func New(t *testing.T) *Peer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	peer := &Peer{Listener: listener, Conns: make(chan net.Conn, 64)}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			peer.Conns <- conn
		}
	}()
	return peer
}

// Address returns the address that the peer listens on.
func (p *Peer) Address() string { return p.Listener.Addr().String() }

// Accept waits for the next connection and returns it with a buffered reader. The connection has
// Timeout as its deadline.
func (p *Peer) Accept(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c := Receive(t, p.Conns, "a connection")
	c.SetDeadline(time.Now().Add(Timeout))
	return c, bufio.NewReader(c)
}

// Receive returns the next value from a channel, and ends the test if none arrives within Timeout.
func Receive[T any](t *testing.T, ch <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-ch:
		return v
	case <-time.After(Timeout):
		t.Fatalf("no %s received within %v", what, Timeout)
		panic("unreachable")
	}
}

// ReadRequest reads one HTTP request and returns it with its body.
func ReadRequest(t *testing.T, reader *bufio.Reader) (*http.Request, []byte) {
	t.Helper()
	request, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		t.Fatal(err)
	}
	return request, body
}

// WriteCounterResponse writes an HTTP response such as the counter sends.
func WriteCounterResponse(conn net.Conn, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// SelfSignedCertificate returns a self-signed certificate for 127.0.0.1, valid for one hour, and a
// pool that trusts it.
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

// ReceiveBuffer returns the Control function of a dialer or listener that sets SO_RCVBUF.
func ReceiveBuffer(bytes int) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) })
		return errors.Join(controlErr, err)
	}
}

// DialWithReceiveBuffer connects with SO_RCVBUF set to the given number of bytes. The buffer must be
// set before connect: shrinking the window of an established connection makes hosts drop each
// other's segments.
func DialWithReceiveBuffer(t *testing.T, address string, bytes int) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: ReceiveBuffer(bytes)}
	conn, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}
