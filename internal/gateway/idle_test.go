package gateway

import (
	"context"
	"io"
	"math"
	"testing"
	"time"

	"elderyard/internal/sockets"
	"elderyard/rules"
)

// Something on the way to a backend forgets connections that rest. Once that has
// shown, attempts go out on new ones instead of ending in doubt.
func TestSilentlyDroppedIdleConnections(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	p := newPools(testTimeout, testTimeout, 8)
	defer func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.sweep(ctx)
	}()
	p.update(1, backend.Address(), 0)
	attemptOnce := func() chan rules.Outcome {
		a := &attempt{exchange: &exchange{method: "GET", uri: "/lookup", host: "origin.svc"}, backend: 1,
			socketDeadline: time.Now().Add(testTimeout)}
		a.ctx, a.cancel = context.WithCancel(context.Background())
		outcome := make(chan rules.Outcome, 1)
		go func() { defer a.cancel(); outcome <- p.send(a).outcome }()
		return outcome
	}
	for round := 0; p.trust.Limit(time.Now()) == math.MaxInt64; round++ {
		if round == 20 {
			t.Fatal("nothing was learnt")
		}
		outcome := attemptOnce()
		conn, r := backend.Accept(t)
		readRequest(t, r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if got := wait(t, outcome, "outcome"); got != rules.Served {
			t.Fatalf("outcome %d on a new connection", got)
		}
		time.Sleep(2 * sockets.MinIdle) // the rest itself is what is tested
		outcome = attemptOnce()
		readRequest(t, r) // on the same connection
		conn.Close()
		if got := wait(t, outcome, "outcome"); got != rules.ConnectionBroken {
			t.Fatalf("outcome %d on a forgotten connection", got)
		}
	}
	outcome := attemptOnce()
	conn, r := backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	wait(t, outcome, "outcome")
	limit := p.trust.Limit(time.Now())
	for range int(sockets.MinIdleBreaks) {
		p.trust.Record(time.Now(), limit, true) // lest it fade while this test waits
	}
	time.Sleep(limit + sockets.MinIdle)
	outcome = attemptOnce()
	conn, r = backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if got := wait(t, outcome, "outcome"); got != rules.Served {
		t.Errorf("outcome %d once it is known that connections are forgotten", got)
	}
}
