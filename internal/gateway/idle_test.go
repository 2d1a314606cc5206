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

// A middlebox on the way to a backend silently drops idle connections. Once that has been learned, attempts
// use new connections instead of ending with an unknown result.
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
	for round := 0; p.idleEstimator.Limit(time.Now()) == math.MaxInt64; round++ {
		if round == 20 {
			t.Fatal("no idle limit was learned")
		}
		outcome := attemptOnce()
		conn, r := backend.Accept(t)
		readRequest(t, r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if got := wait(t, outcome, "outcome"); got != rules.Served {
			t.Fatalf("outcome %d on a new connection", got)
		}
		time.Sleep(2 * sockets.MinIdle) // the idle time is under test
		outcome = attemptOnce()
		readRequest(t, r) // on the same connection
		conn.Close()
		if got := wait(t, outcome, "outcome"); got != rules.ConnectionBroken {
			t.Fatalf("outcome %d on a dropped connection", got)
		}
	}
	outcome := attemptOnce()
	conn, r := backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	wait(t, outcome, "outcome")
	limit := p.idleEstimator.Limit(time.Now())
	for range int(sockets.MinIdleBreaks) {
		p.idleEstimator.Record(time.Now(), limit, true) // so that it does not expire during this test
	}
	time.Sleep(limit + sockets.MinIdle)
	outcome = attemptOnce()
	conn, r = backend.Accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if got := wait(t, outcome, "outcome"); got != rules.Served {
		t.Errorf("outcome %d after the idle limit was learned", got)
	}
}
