package respfront

import (
	"crypto/tls"
	"io"
	"net"
	"testing"

	"elderyard/internal/testpeer"
)

// A client that closes while its take waits for the counter is seen to leave, whatever
// stands unread before its end: nothing, a command that it sent ahead, or the closing alert
// of TLS. Its take spends nothing, also when the counter answers again.
func TestClientLeavesWhileItsTakeWaits(t *testing.T) {
	cert, pool := testpeer.Certificate(t)
	plain := func(t *testing.T, address string) net.Conn {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	encrypted := func(t *testing.T, address string) net.Conn {
		conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: pool, ServerName: "127.0.0.1"})
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	for _, c := range []struct {
		name, ahead string
		set         Settings
		dial        func(*testing.T, string) net.Conn
	}{
		{"plain", "", Settings{}, plain},
		{"plain, a command ahead", "PING\r\n", Settings{}, plain},
		{"TLS", "", Settings{TLS: &tls.Config{Certificates: []tls.Certificate{cert}}}, encrypted},
		{"TLS, a command ahead", "PING\r\n", Settings{TLS: &tls.Config{Certificates: []tls.Certificate{cert}}}, encrypted},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, c.set)
			r.counter.silence(true)
			conn := c.dial(t, r.address)
			defer conn.Close()
			io.WriteString(conn, "LIMIT.TAKE "+basic+" 5 ID a WAIT 60000\r\n")
			r.until(t, "the take is taken", func() bool { return r.open() == 1 })
			io.WriteString(conn, c.ahead)
			conn.Close()
			r.until(t, "the take is called off", func() bool { return r.open() == 0 })
			r.counter.silence(false)
			other := c.dial(t, r.address)
			defer other.Close()
			io.WriteString(other, "LIMIT.TAKE "+free+" 1 ID b\r\n") // after all that could still be decided
			r.until(t, "the other take is decided", func() bool { return r.desk.stats.takes.Load() > 0 })
			if takes, units := r.desk.stats.takes.Load(), r.desk.stats.units.Load(); takes != 1 || units != 1 {
				t.Errorf("%d takes of %d units, want 1 of 1", takes, units)
			}
		})
	}
}
