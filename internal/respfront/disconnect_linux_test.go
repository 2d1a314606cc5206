package respfront

import (
	"crypto/tls"
	"io"
	"net"
	"testing"

	"elderyard/internal/testpeer"
)

// The server notices that a client disconnects while its take waits for the counter, also
// if unread data precede the end: a pipelined command or the closing alert of TLS. The take
// takes no units, also after the counter answers again.
func TestClientDisconnectsDuringTake(t *testing.T) {
	cert, pool := testpeer.SelfSignedCertificate(t)
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
		name, pipelined string
		set             Settings
		dial            func(*testing.T, string) net.Conn
	}{
		{"plain", "", Settings{}, plain},
		{"plain, pipelined command", "PING\r\n", Settings{}, plain},
		{"TLS", "", Settings{TLS: &tls.Config{Certificates: []tls.Certificate{cert}}}, encrypted},
		{"TLS, pipelined command", "PING\r\n", Settings{TLS: &tls.Config{Certificates: []tls.Certificate{cert}}}, encrypted},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, c.set)
			r.counter.setSilent(true)
			conn := c.dial(t, r.address)
			defer conn.Close()
			io.WriteString(conn, "LIMIT.TAKE "+basic+" 5 ID a WAIT 60000\r\n")
			r.waitFor(t, "the take is pending", func() bool { return r.rememberedTakes() == 1 })
			io.WriteString(conn, c.pipelined)
			conn.Close()
			r.waitFor(t, "the take is cancelled", func() bool { return r.rememberedTakes() == 0 })
			r.counter.setSilent(false)
			other := c.dial(t, r.address)
			defer other.Close()
			io.WriteString(other, "LIMIT.TAKE "+free+" 1 ID b\r\n") // decided after all earlier takes
			r.waitFor(t, "the other take is decided", func() bool { return r.limiter.stats.takes.Load() > 0 })
			if takes, units := r.limiter.stats.takes.Load(), r.limiter.stats.units.Load(); takes != 1 || units != 1 {
				t.Errorf("%d takes of %d units in all, want 1 of 1", takes, units)
			}
		})
	}
}
