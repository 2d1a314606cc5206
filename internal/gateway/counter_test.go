package gateway

import (
	"context"
	"fmt"
	"math"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"linnetbend/rules"
)

type reply struct {
	amount  float64
	outcome rules.Outcome
	total   float64
}

func startCounter(t *testing.T, address string) (c *counter, add func(amount float64) *call, replies chan reply) {
	c = newCounter(address, patience)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	replies = make(chan reply, 64)
	return c, func(amount float64) *call {
		k := &call{name: 7, amount: amount, keep: time.Minute}
		k.report = func(k *call, o rules.Outcome, total float64) { replies <- reply{k.amount, o, total} }
		if !c.add(k) {
			t.Fatal("the lane is full")
		}
		return k
	}, replies
}

func total(conn net.Conn, status int, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

func TestCounterPipeline(t *testing.T) {
	far := newPeer(t)
	_, add, replies := startCounter(t, far.address())
	late := add(1)
	add(-2.5)
	add(3)
	add(4)
	conn, r := far.accept(t)
	for i, want := range []string{"1", "-2.5", "3", "4"} {
		req, _ := readRequest(t, r) // all before the first answer: calls are pipelined
		if uri := "/v1/count/0000000000000007?add=" + want + "&ttl_ms=60000"; req.RequestURI != uri {
			t.Errorf("call %d: %s, want %s", i, req.RequestURI, uri)
		}
	}
	// The first is given up by the loop. Its late answer keeps its place, lest each
	// later call be told the total of the one before.
	late.givenUp.Store(true)
	total(conn, 200, "1")
	total(conn, 200, "-1.5\n")
	total(conn, 503, "")
	total(conn, 404, "")
	for _, want := range []reply{{1, rules.Served, 1}, {-2.5, rules.Served, -1.5}, {3, rules.Full, 0}, {4, rules.ConnectFailed, 0}} {
		if got := wait(t, replies, "reply"); got != want {
			t.Errorf("reply %v, want %v", got, want)
		}
	}
	// A call whose answer is cut off may have been added.
	add(5)
	readRequest(t, r)
	conn.Close()
	if got := wait(t, replies, "reply"); got.outcome != rules.Broken {
		t.Errorf("reply after a break: %v", got)
	}
	// The next goes out on a new connection.
	add(6)
	_, r = far.accept(t)
	readRequest(t, r)
}

// A spoilt answer says that the amount was added, not more: what was called
// behind it is in doubt, and the connection is used no more.
func TestCounterSpoilt(t *testing.T) {
	far := newPeer(t)
	_, add, replies := startCounter(t, far.address())
	for _, c := range []struct {
		answer  string
		outcome rules.Outcome
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno number", rules.Errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nNaN", rules.Errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n+Inf", rules.Errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", rules.Errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n12", rules.Errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("1", 65), rules.Errored},
		{"HTTP/1.1 2x0 OK\r\n\r\n12", rules.Errored},
		{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", mostCounterHead), rules.Errored},
		{"HTTP/1.1 102 Processing\r\n\r\n", rules.Broken},
		{"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n12", rules.Broken},
	} {
		add(1)
		conn, r := far.accept(t)
		readRequest(t, r)
		add(2)
		readRequest(t, r) // written behind it
		fmt.Fprint(conn, c.answer, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n8")
		if got := wait(t, replies, "reply"); got != (reply{1, c.outcome, 0}) {
			t.Errorf("%.60q: reply %v", c.answer, got)
		}
		if got := wait(t, replies, "reply"); got != (reply{2, rules.Broken, 0}) {
			t.Errorf("%.60q: reply to the call behind it %v", c.answer, got)
		}
	}
	add(3)
	conn, r := far.accept(t)
	readRequest(t, r)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n12") // and no end but the connection's
	conn.Close()
	if got := wait(t, replies, "reply"); got.outcome != rules.Errored {
		t.Errorf("reply with no length: %v", got)
	}
}

// An answer without an end holds up what was called behind it on its connection
// and no more: the next call gets a connection of its own.
func TestCounterStandsStill(t *testing.T) {
	far := newPeer(t)
	_, add, replies := startCounter(t, far.address())
	stuck := add(1)
	conn, r := far.accept(t)
	readRequest(t, r)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX: ")
	for until := time.Now().Add(patience); !stuck.begun.Load() && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // the answer's beginning is on its way
	}
	stuck.givenUp.Store(true)
	add(2)
	conn, r = far.accept(t)
	readRequest(t, r)
	total(conn, 200, "3")
	for got := wait(t, replies, "reply"); got != (reply{2, rules.Served, 3}); got = wait(t, replies, "reply") {
		if got.amount != 1 { // the stuck connection ends some day, and its call with it
			t.Fatalf("reply on the new connection: %v", got)
		}
	}
}

// A counter that is slow for all must not be given connections without end: at
// the bound, calls go out on the last one.
func TestCounterConnectionsBounded(t *testing.T) {
	far := newPeer(t)
	c := newCounter(far.address(), patience)
	var open atomic.Int64
	open.Store(laneConns - 1) // stand still already
	conn, err := c.dial(context.Background(), &open)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	overdue := &call{}
	overdue.givenUp.Store(true)
	conn.head.Store(overdue)
	if conn.stands() {
		t.Error("another connection would be opened past the bound")
	}
	open.Add(-1)
	if !conn.stands() {
		t.Error("a connection that stands still is kept below the bound")
	}
	open.Add(1)
	conn.Close()
	c.readers.Wait()
	if n := open.Load(); n != laneConns-1 {
		t.Errorf("%d connections count as open after one has ended", n)
	}
}

// Nothing was written, so nothing was added: the module may count on it.
func TestCounterAway(t *testing.T) {
	far := newPeer(t)
	far.listener.Close()
	_, add, replies := startCounter(t, far.address())
	add(1)
	if got := wait(t, replies, "reply"); got.outcome != rules.ConnectFailed {
		t.Errorf("reply %v", got)
	}
}

// A call that was given up before it was written must not be added later.
func TestCounterGivenUpUnwritten(t *testing.T) {
	far := newPeer(t)
	c := newCounter(far.address(), patience)
	reported := make(chan rules.Outcome, 2)
	report := func(_ *call, o rules.Outcome, _ float64) { reported <- o }
	k := &call{name: 1, amount: 1, keep: time.Minute, report: report}
	k.givenUp.Store(true)
	next := &call{name: 1, amount: 2, keep: time.Minute, report: report}
	c.add(k)
	c.add(next)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.run(ctx)
	_, r := far.accept(t)
	if req, _ := readRequest(t, r); req.URL.Query().Get("add") != "2" {
		t.Errorf("written: %s", req.RequestURI)
	}
	if got := wait(t, reported, "report"); got != rules.TimedOut {
		t.Errorf("outcome %d", got)
	}
}

// Something on the way to the counter forgets connections that rest: once that
// has shown, a call goes out on a new one and is not in doubt.
func TestCounterForgotten(t *testing.T) {
	far := newPeer(t)
	c, add, replies := startCounter(t, far.address())
	for range 2 * int(idleBroken) {
		c.trust.note(time.Now(), 2*idleLeast, true)
	}
	for range 2 {
		add(1)
		conn, r := far.accept(t)
		readRequest(t, r)
		total(conn, 200, "1")
		wait(t, replies, "reply")
		time.Sleep(10 * idleLeast) // the rest itself is what is tested
	}
}

// A call that breaks on a connection that rested tells of it.
func TestCounterLearnsOfForgotten(t *testing.T) {
	far := newPeer(t)
	c, add, replies := startCounter(t, far.address())
	for round := 0; c.trust.limit(time.Now()) == math.MaxInt64; round++ {
		if round == 20 {
			t.Fatal("nothing was learnt")
		}
		add(1)
		conn, r := far.accept(t)
		readRequest(t, r)
		total(conn, 200, "1")
		wait(t, replies, "reply")
		time.Sleep(2 * idleLeast)
		add(2)
		readRequest(t, r)
		conn.Close()
		if got := wait(t, replies, "reply"); got.outcome != rules.Broken {
			t.Fatalf("reply %v", got)
		}
	}
}

// The counter may close an idle connection; a call written to it would be in
// doubt.
func TestCounterClosedIdle(t *testing.T) {
	far := newPeer(t)
	c := newCounter(far.address(), patience)
	var open atomic.Int64
	conn, err := c.dial(context.Background(), &open)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	other, _ := far.accept(t)
	conn.SetDeadline(time.Now().Add(-time.Second)) // of an earlier call
	if !conn.usable(0) {
		t.Error("a connection in good health is not usable")
	}
	if conn.usable(counterIdle + time.Second) {
		t.Error("usable after the idle limit")
	}
	other.Close()
	until := time.Now().Add(patience)
	for alive(conn.Conn) && time.Now().Before(until) {
		time.Sleep(time.Millisecond) // the end of the connection is on its way through the kernel
	}
	if conn.usable(0) {
		t.Error("usable after the counter closed it")
	}
}
