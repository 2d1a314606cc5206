package gateway

import (
	"context"
	"io"
	"math"
	"testing"
	"time"

	"linnetbend/rules"
)

func TestIdleTrust(t *testing.T) {
	const forever = time.Duration(math.MaxInt64)
	for _, c := range []struct {
		name         string
		rest         time.Duration
		held, broken int
		later        time.Duration
		want         time.Duration
	}{
		{"nothing is known", time.Second, 0, 0, 0, forever},
		{"all hold", time.Second, 9, 0, 0, forever},
		{"all break", 300 * time.Millisecond, 0, 9, 0, 200 * time.Millisecond},
		{"two may be chance", 300 * time.Millisecond, 0, 2, 0, forever},
		{"breaks at random", 300 * time.Millisecond, 80, 10, 0, forever},
		{"a rest that is always trusted", time.Millisecond, 0, 9, 0, forever},
		{"beyond the longest step", time.Hour, 0, 9, 0, idleLeast << (idleSteps - 1)},
		{"long ago", 300 * time.Millisecond, 0, 9, 3 * idleSpan, forever},
	} {
		var trust idleTrust
		now := time.Now()
		for range c.held {
			trust.note(now, c.rest, false)
		}
		for range c.broken {
			trust.note(now, c.rest, true)
		}
		if got := trust.limit(now.Add(c.later)); got != c.want {
			t.Errorf("%s: limit %v, want %v", c.name, got, c.want)
		}
	}
}

// Something on the way to a backend forgets connections that rest. Once that has
// shown, attempts go out on new ones instead of ending in doubt.
func TestForgottenConnections(t *testing.T) {
	t.Parallel()
	far := newPeer(t)
	p := newPools(patience, patience, 8)
	defer func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.sweep(ctx)
	}()
	p.update(1, far.address(), 0)
	attemptOnce := func() chan rules.Outcome {
		a := &attempt{x: &exchange{method: "GET", uri: "/lookup", host: "origin.svc"}, backend: 1,
			until: time.Now().Add(patience)}
		a.ctx, a.cancel = context.WithCancel(context.Background())
		ended := make(chan rules.Outcome, 1)
		go func() { defer a.cancel(); ended <- p.attempt(a).outcome }()
		return ended
	}
	for round := 0; p.trust.limit(time.Now()) == math.MaxInt64; round++ {
		if round == 20 {
			t.Fatal("nothing was learnt")
		}
		ended := attemptOnce()
		conn, r := far.accept(t)
		readRequest(t, r)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if got := wait(t, ended, "outcome"); got != rules.Served {
			t.Fatalf("outcome %d on a new connection", got)
		}
		time.Sleep(2 * idleLeast) // the rest itself is what is tested
		ended = attemptOnce()
		readRequest(t, r) // on the same connection
		conn.Close()
		if got := wait(t, ended, "outcome"); got != rules.Broken {
			t.Fatalf("outcome %d on a forgotten connection", got)
		}
	}
	ended := attemptOnce()
	conn, r := far.accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	wait(t, ended, "outcome")
	limit := p.trust.limit(time.Now())
	for range int(idleBroken) {
		p.trust.note(time.Now(), limit, true) // lest it fade while this test waits
	}
	time.Sleep(limit + idleLeast)
	ended = attemptOnce()
	conn, r = far.accept(t)
	readRequest(t, r)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	if got := wait(t, ended, "outcome"); got != rules.Served {
		t.Errorf("outcome %d once it is known that connections are forgotten", got)
	}
}
