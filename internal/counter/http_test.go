package counter

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"elderyard/internal/sockets"
	"elderyard/internal/testpeer"
	"elderyard/rules"
)

type reply struct {
	amount  float64
	outcome rules.Outcome
	total   float64
}

func startCounter(t *testing.T, address string) (c *HTTP, add func(amount float64) *Call, replies chan reply) {
	c = NewHTTP(address, testpeer.Patience)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	replies = make(chan reply, 64)
	return c, func(amount float64) *Call {
		k := &Call{Name: 7, Amount: amount, TTL: time.Minute}
		k.Report = func(k *Call, o rules.Outcome, total float64) { replies <- reply{k.Amount, o, total} }
		if !c.Add(k) {
			t.Fatal("the lane is full")
		}
		return k
	}, replies
}

func TestCounterPipeline(t *testing.T) {
	far := testpeer.New(t)
	_, add, replies := startCounter(t, far.Address())
	late := add(1)
	add(-2.5)
	add(3)
	add(4)
	conn, r := far.Accept(t)
	for i, want := range []string{"1", "-2.5", "3", "4"} {
		req, _ := testpeer.ReadRequest(t, r) // all before the first answer: calls are pipelined
		if uri := "/v1/count/0000000000000007?add=" + want + "&ttl_ms=60000"; req.RequestURI != uri {
			t.Errorf("call %d: %s, want %s", i, req.RequestURI, uri)
		}
	}
	// The first is given up by the loop. Its late answer keeps its place, lest each
	// later call be told the total of the one before.
	late.givenUp.Store(true)
	testpeer.Total(conn, 200, "1")
	testpeer.Total(conn, 200, "-1.5\n")
	testpeer.Total(conn, 503, "")
	testpeer.Total(conn, 404, "")
	for _, want := range []reply{{1, rules.Served, 1}, {-2.5, rules.Served, -1.5}, {3, rules.Overloaded, 0}, {4, rules.ConnectFailed, 0}} {
		if got := testpeer.Wait(t, replies, "reply"); got != want {
			t.Errorf("reply %v, want %v", got, want)
		}
	}
	// A call whose answer is cut off may have been added.
	add(5)
	testpeer.ReadRequest(t, r)
	conn.Close()
	if got := testpeer.Wait(t, replies, "reply"); got.outcome != rules.ConnectionBroken {
		t.Errorf("reply after a break: %v", got)
	}
	// The next goes out on a new connection.
	add(6)
	_, r = far.Accept(t)
	testpeer.ReadRequest(t, r)
}

// A spoilt answer says that the amount was added, not more: what was called
// behind it is in doubt, and the connection is used no more.
func TestCounterSpoilt(t *testing.T) {
	far := testpeer.New(t)
	_, add, replies := startCounter(t, far.Address())
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
		{"HTTP/1.1 102 Processing\r\n\r\n", rules.ConnectionBroken},
		{"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n12", rules.ConnectionBroken},
	} {
		add(1)
		conn, r := far.Accept(t)
		testpeer.ReadRequest(t, r)
		add(2)
		testpeer.ReadRequest(t, r) // written behind it
		fmt.Fprint(conn, c.answer, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n8")
		if got := testpeer.Wait(t, replies, "reply"); got != (reply{1, c.outcome, 0}) {
			t.Errorf("%.60q: reply %v", c.answer, got)
		}
		if got := testpeer.Wait(t, replies, "reply"); got != (reply{2, rules.ConnectionBroken, 0}) {
			t.Errorf("%.60q: reply to the call behind it %v", c.answer, got)
		}
	}
	add(3)
	conn, r := far.Accept(t)
	testpeer.ReadRequest(t, r)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n12") // and no end but the connection's
	conn.Close()
	if got := testpeer.Wait(t, replies, "reply"); got.outcome != rules.Errored {
		t.Errorf("reply with no length: %v", got)
	}
}

// An answer without an end holds up what was called behind it on its connection
// and no more: the next call gets a connection of its own.
func TestCounterStandsStill(t *testing.T) {
	far := testpeer.New(t)
	_, add, replies := startCounter(t, far.Address())
	stuck := add(1)
	conn, r := far.Accept(t)
	testpeer.ReadRequest(t, r)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX: ")
	for until := time.Now().Add(testpeer.Patience); !stuck.begun.Load() && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // the answer's beginning is on its way
	}
	stuck.givenUp.Store(true)
	add(2)
	conn, r = far.Accept(t)
	testpeer.ReadRequest(t, r)
	testpeer.Total(conn, 200, "3")
	for got := testpeer.Wait(t, replies, "reply"); got != (reply{2, rules.Served, 3}); got = testpeer.Wait(t, replies, "reply") {
		if got.amount != 1 { // the stuck connection ends some day, and its call with it
			t.Fatalf("reply on the new connection: %v", got)
		}
	}
}

// A counter that is slow for all must not be given connections without end: at
// the bound, calls go out on the last one.
func TestCounterConnectionsBounded(t *testing.T) {
	far := testpeer.New(t)
	c := NewHTTP(far.Address(), testpeer.Patience)
	var open atomic.Int64
	open.Store(laneConns - 1) // stand still already
	conn, err := c.dial(context.Background(), &open)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	overdue := &Call{}
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
	far := testpeer.New(t)
	far.Listener.Close()
	_, add, replies := startCounter(t, far.Address())
	add(1)
	if got := testpeer.Wait(t, replies, "reply"); got.outcome != rules.ConnectFailed {
		t.Errorf("reply %v", got)
	}
}

// A call that was given up before it was written must not be added later.
func TestCounterGivenUpUnwritten(t *testing.T) {
	far := testpeer.New(t)
	c := NewHTTP(far.Address(), testpeer.Patience)
	reported := make(chan rules.Outcome, 2)
	report := func(_ *Call, o rules.Outcome, _ float64) { reported <- o }
	k := &Call{Name: 1, Amount: 1, TTL: time.Minute, Report: report}
	k.givenUp.Store(true)
	next := &Call{Name: 1, Amount: 2, TTL: time.Minute, Report: report}
	c.Add(k)
	c.Add(next)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	_, r := far.Accept(t)
	if req, _ := testpeer.ReadRequest(t, r); req.URL.Query().Get("add") != "2" {
		t.Errorf("written: %s", req.RequestURI)
	}
	if got := testpeer.Wait(t, reported, "report"); got != rules.TimedOut {
		t.Errorf("outcome %d", got)
	}
}

// Something on the way to the counter forgets connections that rest: once that
// has shown, a call goes out on a new one and is not in doubt.
func TestCounterForgotten(t *testing.T) {
	far := testpeer.New(t)
	c, add, replies := startCounter(t, far.Address())
	for range 2 * int(sockets.MinIdleBreaks) {
		c.trust.Record(time.Now(), 2*sockets.MinIdle, true)
	}
	for range 2 {
		add(1)
		conn, r := far.Accept(t)
		testpeer.ReadRequest(t, r)
		testpeer.Total(conn, 200, "1")
		testpeer.Wait(t, replies, "reply")
		time.Sleep(10 * sockets.MinIdle) // the rest itself is what is tested
	}
}

// A call that breaks on a connection that rested tells of it.
func TestCounterLearnsOfForgotten(t *testing.T) {
	far := testpeer.New(t)
	c, add, replies := startCounter(t, far.Address())
	for round := 0; c.trust.Limit(time.Now()) == math.MaxInt64; round++ {
		if round == 20 {
			t.Fatal("nothing was learnt")
		}
		add(1)
		conn, r := far.Accept(t)
		testpeer.ReadRequest(t, r)
		testpeer.Total(conn, 200, "1")
		testpeer.Wait(t, replies, "reply")
		time.Sleep(2 * sockets.MinIdle)
		add(2)
		testpeer.ReadRequest(t, r)
		conn.Close()
		if got := testpeer.Wait(t, replies, "reply"); got.outcome != rules.ConnectionBroken {
			t.Fatalf("reply %v", got)
		}
	}
}

// The counter may close an idle connection; a call written to it would be in
// doubt.
func TestCounterClosedIdle(t *testing.T) {
	far := testpeer.New(t)
	c := NewHTTP(far.Address(), testpeer.Patience)
	var open atomic.Int64
	conn, err := c.dial(context.Background(), &open)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	other, _ := far.Accept(t)
	conn.SetDeadline(time.Now().Add(-time.Second)) // of an earlier call
	if !conn.usable(0) {
		t.Error("a connection in good health is not usable")
	}
	if conn.usable(counterIdle + time.Second) {
		t.Error("usable after the idle limit")
	}
	other.Close()
	until := time.Now().Add(testpeer.Patience)
	for sockets.Alive(conn.Conn) && time.Now().Before(until) {
		time.Sleep(time.Millisecond) // the end of the connection is on its way through the kernel
	}
	if conn.usable(0) {
		t.Error("usable after the counter closed it")
	}
}

// Whatever a counter answers, a total that is told is a number, and only a
// whole answer tells one.
func FuzzReadTotal(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n12.5",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nNaN",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n7\r\n0\r\n\r\n",
		"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", "noise", "",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		o, total, err := readTotal(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: http.MethodPost})
		if math.IsNaN(total) || math.IsInf(total, 0) || o == rules.Served && err != nil || total != 0 && o != rules.Served {
			t.Errorf("outcome %d, total %v, %v", o, total, err)
		}
	})
}
