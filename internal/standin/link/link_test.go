package link

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

func listen(t *testing.T) *Link {
	t.Helper()
	l, err := Listen("g0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// connect opens a connection over a link and returns both ends.
func connect(t *testing.T, l *Link) (caller net.Conn, server *Conn) {
	t.Helper()
	got := make(chan net.Conn, 1)
	go func() {
		if c, err := l.Accept(); err == nil {
			got <- c
		}
	}()
	caller, err := net.DialTimeout("tcp", l.Address(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	select {
	case c := <-got:
		return caller, c.(*Conn)
	case <-time.After(testTimeout):
		t.Fatal("no connection was accepted")
		return nil, nil
	}
}

func TestCutHoldsDataBackAndHealDeliversIt(t *testing.T) {
	l := listen(t)
	caller, server := connect(t, l)
	l.Cut()
	if _, err := caller.Write([]byte("x")); err != nil {
		t.Fatalf("a write on a cut link must succeed: %v", err)
	}
	read := make(chan byte, 1)
	go func() {
		var b [1]byte
		if _, err := io.ReadFull(server, b[:]); err == nil {
			read <- b[0]
		}
	}()
	select {
	case <-read:
		t.Fatal("a byte passed a cut link")
	case <-time.After(50 * time.Millisecond):
	}
	l.Heal(false)
	select {
	case <-read:
	case <-time.After(testTimeout):
		t.Fatal("the byte did not arrive after the cut")
	}
}

func TestCutPreventsNewConnections(t *testing.T) {
	l := listen(t)
	go func() {
		for {
			if _, err := l.Accept(); err != nil {
				return
			}
		}
	}()
	l.Cut()
	c, err := net.DialTimeout("tcp", l.Address(), 150*time.Millisecond)
	if err == nil {
		c.Close()
		t.Fatal("a connection was established while the link was cut")
	}
	if ne := net.Error(nil); !errors.As(err, &ne) || !ne.Timeout() {
		t.Fatalf("a dial to a cut link must time out: %v", err)
	}
	l.Heal(true)
	if c, err = net.DialTimeout("tcp", l.Address(), testTimeout); err != nil {
		t.Fatalf("dialing after the cut: %v", err)
	}
	c.Close()
}

func TestHealWithResetResetsOpenConnections(t *testing.T) {
	l := listen(t)
	caller, _ := connect(t, l)
	l.Cut()
	l.Heal(true)
	caller.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := caller.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection was not reset: %v", err)
	}
}

func TestDownRefusesAndUpServesAgain(t *testing.T) {
	l := listen(t)
	caller, _ := connect(t, l)
	l.Down()
	caller.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := caller.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the connection was not reset with its process: %v", err)
	}
	if c, err := net.DialTimeout("tcp", l.Address(), testTimeout); err == nil {
		c.Close()
		t.Fatal("a dead process accepted a connection")
	}
	if err := l.Up(); err != nil {
		t.Fatal(err)
	}
	connect(t, l)
}

func TestCloseEndsAccept(t *testing.T) {
	l := listen(t)
	ended := make(chan error, 1)
	go func() { _, err := l.Accept(); ended <- err }()
	l.Close()
	select {
	case err := <-ended:
		if !errors.Is(err, ErrClosed) {
			t.Fatal(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("Accept did not return after Close")
	}
	if err := l.Up(); !errors.Is(err, ErrClosed) {
		t.Fatalf("Up on a closed link: %v", err)
	}
}

// TestHealDropsPendingConnections guards against accepting a connection after a cut that was established before it: the
// time at which its data was sent is unknown.
func TestHealDropsPendingConnections(t *testing.T) {
	l := listen(t)
	c, err := net.DialTimeout("tcp", l.Address(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	l.Cut()
	l.Heal(false)
	c.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("the pending connection was not reset: %v", err)
	}
	connect(t, l)
}
