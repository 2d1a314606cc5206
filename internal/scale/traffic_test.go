package scale

import (
	"errors"
	"io"
	"math/bits"
	"net"
	"testing"
	"time"
)

// startEchoServer starts a server on loopback that returns what it receives.
func startEchoServer(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer connection.Close()
				io.Copy(connection, connection)
			}()
		}
	}()
	return listener.Addr().String()
}

// exchangeByte sends one byte and returns the byte that comes back.
func exchangeByte(t *testing.T, connection net.Conn, sent byte) byte {
	t.Helper()
	if _, err := connection.Write([]byte{sent}); err != nil {
		t.Fatal(err)
	}
	var got [1]byte
	if _, err := io.ReadFull(connection, got[:]); err != nil {
		t.Fatal(err)
	}
	return got[0]
}

// TestLinkCountsBlocksAndCorrupts checks the byte counts and simulated faults of a link: dropped bytes do not count,
// and a severed connection stays unusable after Heal while a new one works.
func TestLinkCountsBlocksAndCorrupts(t *testing.T) {
	var link Link
	var traffic Traffic
	address := startEchoServer(t)
	d := &dialer{Dialer: net.Dialer{Timeout: 50 * time.Millisecond}, link: &link, traffic: &traffic}
	connection, err := d.dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if got := exchangeByte(t, connection, 'a'); got != 'a' || traffic.Sent() != 1 || traffic.Received() != 1 || traffic.Total() != 2 {
		t.Fatalf("echoed %q; sent %d, received %d bytes", got, traffic.Sent(), traffic.Received())
	}

	link.Corrupt()
	if got := exchangeByte(t, connection, 'a'); bits.OnesCount8(got^'a') != 1 {
		t.Errorf("echoed %08b for %08b, want one flipped bit", got, 'a')
	}
	link.Heal()

	link.Block(address)
	if _, err := d.dial(t.Context(), "tcp", address); !errors.Is(err, errBlocked) {
		t.Errorf("dial of a blocked address: %v", err)
	}
	if n, err := connection.Write([]byte("lost")); n != 4 || err != nil {
		t.Errorf("write to a blocked address: %d, %v", n, err)
	}
	link.Heal()
	read := make(chan error, 1)
	go func() {
		_, err := connection.Read(make([]byte, 1))
		read <- err
	}()
	connection.Close() // the severed connection stays unusable after Heal, and Close unblocks Read
	if err := <-read; !errors.Is(err, net.ErrClosed) {
		t.Errorf("read from a severed connection: %v", err)
	}
	if traffic.Sent() != 2 {
		t.Errorf("%d bytes sent, want 2 without dropped bytes", traffic.Sent())
	}

	reconnected, err := d.dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer reconnected.Close()
	if got := exchangeByte(t, reconnected, 'b'); got != 'b' {
		t.Errorf("echoed %q", got)
	}
}
