package sockets_test

import (
	"io"
	"net"
	"testing"
	"time"

	"elderyard/internal/sockets"
	"elderyard/internal/testpeer"
)

// A closed connection is detected at once, with or without unread bytes before the end, and an
// open connection with unread bytes is not taken for closed.
func TestPeerClosed(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*net.TCPConn){
		"closed":      func(c *net.TCPConn) { c.Close() },
		"half closed": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":       func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for _, unread := range []string{"", "unread"} {
			t.Run(name+" behind "+unread, func(t *testing.T) {
				t.Parallel()
				peer := testpeer.New(t)
				client, err := net.Dial("tcp", peer.Address())
				if err != nil {
					t.Fatal(err)
				}
				defer client.Close()
				conn, _ := peer.Accept(t)
				if _, err := io.WriteString(client, unread); err != nil {
					t.Fatal(err)
				}
				waitUntil(t, "the bytes have arrived", func() bool { return sockets.Alive(conn) == (unread == "") })
				if sockets.PeerClosed(conn) {
					t.Error("an open connection is taken for closed")
				}
				end(client.(*net.TCPConn))
				waitUntil(t, "the close is detected", func() bool { return sockets.PeerClosed(conn) })
			})
		}
	}
}

// waitUntil polls a condition until it holds, or fails the test.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testpeer.Timeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}
