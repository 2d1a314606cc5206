package scale

import (
	"errors"
	"io"
	"math/bits"
	"net"
	"testing"
	"time"
)

// echo answers what it is sent, on loopback.
func echo(t *testing.T) (address string) {
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

// ask sends one byte and reads the answer.
func ask(t *testing.T, connection net.Conn, sent byte) byte {
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

func TestLinkCountsCutsAndDamages(t *testing.T) {
	var link Link
	var traffic Traffic
	address := echo(t)
	d := &dialer{Dialer: net.Dialer{Timeout: 50 * time.Millisecond}, link: &link, traffic: &traffic}
	connection, err := d.dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if got := ask(t, connection, 'a'); got != 'a' || traffic.Sent() != 1 || traffic.Received() != 1 || traffic.Total() != 2 {
		t.Fatalf("%q came back; sent %d, received %d", got, traffic.Sent(), traffic.Received())
	}

	link.Damage()
	if got := ask(t, connection, 'a'); bits.OnesCount8(got^'a') != 1 {
		t.Errorf("%08b came back for %08b", got, 'a')
	}
	link.Heal()

	link.Cut(address)
	if _, err := d.dial(t.Context(), "tcp", address); !errors.Is(err, errCut) {
		t.Errorf("dialed over a cut: %v", err)
	}
	if n, err := connection.Write([]byte("lost")); n != 4 || err != nil {
		t.Errorf("written over a cut: %d %v", n, err)
	}
	link.Heal()
	read := make(chan error, 1)
	go func() {
		_, err := connection.Read(make([]byte, 1))
		read <- err
	}()
	connection.Close() // what was cut stays dead, and ends when it is closed
	if err := <-read; !errors.Is(err, net.ErrClosed) {
		t.Errorf("read from what was cut: %v", err)
	}
	if traffic.Sent() != 2 {
		t.Errorf("%d bytes sent: what was lost counts", traffic.Sent())
	}

	again, err := d.dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer again.Close()
	if got := ask(t, again, 'b'); got != 'b' {
		t.Errorf("%q came back", got)
	}
}
