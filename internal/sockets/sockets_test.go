package sockets_test

import (
	"io"
	"net"
	"testing"
	"time"

	"elderyard/internal/sockets"
	"elderyard/internal/testpeer"
)

// The end of a connection is seen at once, whether or not unread bytes stand before it,
// and an open connection with unread bytes is not taken for closed.
func TestGone(t *testing.T) {
	t.Parallel()
	for name, leave := range map[string]func(*net.TCPConn){
		"closed":      func(c *net.TCPConn) { c.Close() },
		"half closed": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":       func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for _, unread := range []string{"", "unread"} {
			t.Run(name+" behind "+unread, func(t *testing.T) {
				t.Parallel()
				door := testpeer.New(t)
				client, err := net.Dial("tcp", door.Address())
				if err != nil {
					t.Fatal(err)
				}
				defer client.Close()
				near, _ := door.Accept(t)
				if _, err := io.WriteString(client, unread); err != nil {
					t.Fatal(err)
				}
				waitUntil(t, "the bytes are there", func() bool { return sockets.Alive(near) == (unread == "") })
				if sockets.PeerClosed(near) {
					t.Error("an open connection is taken for closed")
				}
				leave(client.(*net.TCPConn))
				waitUntil(t, "the end is seen", func() bool { return sockets.PeerClosed(near) })
			})
		}
	}
}

func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(testpeer.Patience); !is(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}
