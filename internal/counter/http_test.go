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

// result is a reported outcome.
type result struct {
	amount  float64
	outcome rules.Outcome
	total   float64
}

// startClient runs a client of the counter at address. add queues a call, whose outcome
// arrives in results.
func startClient(t *testing.T, address string) (c *HTTP, add func(amount float64) *Call, results chan result) {
	c = NewHTTP(address, testpeer.Timeout)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	results = make(chan result, 64)
	return c, func(amount float64) *Call {
		k := &Call{Key: 7, Amount: amount, TTL: time.Minute}
		k.Report = func(k *Call, o rules.Outcome, total float64) { results <- result{k.Amount, o, total} }
		if !c.Add(k) {
			t.Fatal("call queue is full")
		}
		return k
	}, results
}

// Calls are pipelined on one connection, and each outcome is attributed to its own call, also
// after a call has been abandoned. A call whose response is cut off may have been added.
func TestHTTPPipelining(t *testing.T) {
	server := testpeer.New(t)
	_, add, results := startClient(t, server.Address())
	abandoned := add(1)
	add(-2.5)
	add(3)
	add(4)
	conn, r := server.Accept(t)
	for i, want := range []string{"1", "-2.5", "3", "4"} {
		req, _ := testpeer.ReadRequest(t, r) // all before the first response: calls are pipelined
		if uri := "/v1/count/0000000000000007?add=" + want + "&ttl_ms=60000"; req.RequestURI != uri {
			t.Errorf("call %d: %s, want %s", i, req.RequestURI, uri)
		}
	}
	// The event loop abandons the first call. The call keeps its place for the late response:
	// otherwise each later call would receive the total of the one before it.
	abandoned.abandoned.Store(true)
	testpeer.WriteCounterResponse(conn, 200, "1")
	testpeer.WriteCounterResponse(conn, 200, "-1.5\n")
	testpeer.WriteCounterResponse(conn, 503, "")
	testpeer.WriteCounterResponse(conn, 404, "")
	for _, want := range []result{{1, rules.Served, 1}, {-2.5, rules.Served, -1.5}, {3, rules.Overloaded, 0}, {4, rules.ConnectFailed, 0}} {
		if got := testpeer.Receive(t, results, "result"); got != want {
			t.Errorf("result %v, want %v", got, want)
		}
	}
	// A call whose response is cut off may have been added.
	add(5)
	testpeer.ReadRequest(t, r)
	conn.Close()
	if got := testpeer.Receive(t, results, "result"); got.outcome != rules.ConnectionBroken {
		t.Errorf("result of a call whose connection was closed: %v", got)
	}
	// The next call uses a new connection.
	add(6)
	_, r = server.Accept(t)
	testpeer.ReadRequest(t, r)
}

// An unreadable response only shows that the amount was added. The outcome of calls behind
// it on the connection is unknown, and the connection is not used any more.
func TestHTTPUnreadableResponse(t *testing.T) {
	server := testpeer.New(t)
	_, add, results := startClient(t, server.Address())
	for _, c := range []struct {
		response string
		outcome  rules.Outcome
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nno number", rules.Errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nNaN", rules.Errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n+Inf", rules.Errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", rules.Errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\n12", rules.Errored},
		{"HTTP/1.1 200 OK\r\nContent-Length: 65\r\n\r\n" + strings.Repeat("1", 65), rules.Errored},
		{"HTTP/1.1 2x0 OK\r\n\r\n12", rules.Errored},
		{"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxResponseBytes), rules.Errored},
		{"HTTP/1.1 102 Processing\r\n\r\n", rules.ConnectionBroken},
		{"HTTP/1.1 500 X\r\nContent-Length: 2\r\n\r\n12", rules.ConnectionBroken},
	} {
		add(1)
		conn, r := server.Accept(t)
		testpeer.ReadRequest(t, r)
		add(2)
		testpeer.ReadRequest(t, r) // written behind the first call
		fmt.Fprint(conn, c.response, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n8")
		if got := testpeer.Receive(t, results, "result"); got != (result{1, c.outcome, 0}) {
			t.Errorf("%.60q: result %v, want outcome %d", c.response, got, c.outcome)
		}
		if got := testpeer.Receive(t, results, "result"); got != (result{2, rules.ConnectionBroken, 0}) {
			t.Errorf("%.60q: result of the call behind it: %v", c.response, got)
		}
	}
	add(3)
	conn, r := server.Accept(t)
	testpeer.ReadRequest(t, r)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\n12") // ends only with the connection
	conn.Close()
	if got := testpeer.Receive(t, results, "result"); got.outcome != rules.Errored {
		t.Errorf("result of a response without a delimited end: %v", got)
	}
}

// A response that never ends delays only the calls behind it on its connection: once its call
// has been abandoned, the next call uses a new connection.
func TestHTTPStalledConnection(t *testing.T) {
	server := testpeer.New(t)
	_, add, results := startClient(t, server.Address())
	stalled := add(1)
	conn, r := server.Accept(t)
	testpeer.ReadRequest(t, r)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX: ")
	for until := time.Now().Add(testpeer.Timeout); !stalled.responseStarted.Load() && time.Now().Before(until); {
		time.Sleep(time.Millisecond) // the first bytes of the response are in transit
	}
	stalled.abandoned.Store(true)
	add(2)
	conn, r = server.Accept(t)
	testpeer.ReadRequest(t, r)
	testpeer.WriteCounterResponse(conn, 200, "3")
	for got := testpeer.Receive(t, results, "result"); got != (result{2, rules.Served, 3}); got = testpeer.Receive(t, results, "result") {
		if got.amount != 1 { // the stalled call is reported when its connection times out
			t.Fatalf("result on the new connection: %v", got)
		}
	}
}

// A counter that is slow for everyone must not receive an unbounded number of connections:
// at the limit, calls stay on the present connection.
func TestHTTPConnectionLimit(t *testing.T) {
	server := testpeer.New(t)
	c := NewHTTP(server.Address(), testpeer.Timeout)
	var openConns atomic.Int64
	openConns.Store(maxPipelineConns - 1) // stalled already
	conn, err := c.dial(context.Background(), &openConns)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	overdue := &Call{}
	overdue.abandoned.Store(true)
	conn.current.Store(overdue)
	if conn.stalled() {
		t.Error("another connection would be opened beyond the limit")
	}
	openConns.Add(-1)
	if !conn.stalled() {
		t.Error("a stalled connection is kept below the limit")
	}
	openConns.Add(1)
	conn.Close()
	c.readers.Wait()
	if n := openConns.Load(); n != maxPipelineConns-1 {
		t.Errorf("%d connections count as open after one was closed, want %d", n, maxPipelineConns-1)
	}
}

// If the connection is refused, nothing was written and so nothing was added. The decision
// module relies on this.
func TestHTTPConnectionRefused(t *testing.T) {
	server := testpeer.New(t)
	server.Listener.Close()
	_, add, results := startClient(t, server.Address())
	add(1)
	if got := testpeer.Receive(t, results, "result"); got.outcome != rules.ConnectFailed {
		t.Errorf("result %v, want a failed connection", got)
	}
}

// A call that was abandoned before it was written must not be added later.
func TestHTTPAbandonedCallIsNeverSent(t *testing.T) {
	server := testpeer.New(t)
	c := NewHTTP(server.Address(), testpeer.Timeout)
	reported := make(chan rules.Outcome, 2)
	report := func(_ *Call, o rules.Outcome, _ float64) { reported <- o }
	k := &Call{Key: 1, Amount: 1, TTL: time.Minute, Report: report}
	k.abandoned.Store(true)
	next := &Call{Key: 1, Amount: 2, TTL: time.Minute, Report: report}
	c.Add(k)
	c.Add(next)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go c.Run(ctx)
	_, r := server.Accept(t)
	if req, _ := testpeer.ReadRequest(t, r); req.URL.Query().Get("add") != "2" {
		t.Errorf("the call written is %s, want the one that was not abandoned", req.RequestURI)
	}
	if got := testpeer.Receive(t, reported, "report"); got != rules.TimedOut {
		t.Errorf("outcome %d of the abandoned call, want %d", got, rules.TimedOut)
	}
}

// A middlebox on the path to the counter may drop idle connections silently. Once the client has
// observed that, calls after an idle period use a new connection, so their outcome is known.
func TestHTTPReplacesIdleConnection(t *testing.T) {
	server := testpeer.New(t)
	c, add, results := startClient(t, server.Address())
	for range 2 * int(sockets.MinIdleBreaks) {
		c.idleEstimator.Record(time.Now(), 2*sockets.MinIdle, true)
	}
	for range 2 {
		add(1)
		conn, r := server.Accept(t)
		testpeer.ReadRequest(t, r)
		testpeer.WriteCounterResponse(conn, 200, "1")
		testpeer.Receive(t, results, "result")
		time.Sleep(10 * sockets.MinIdle) // the idle period is what is tested
	}
}

// Calls that fail on connections that were idle lower the idle limit.
func TestHTTPLearnsIdleLimit(t *testing.T) {
	server := testpeer.New(t)
	c, add, results := startClient(t, server.Address())
	for round := 0; c.idleEstimator.Limit(time.Now()) == math.MaxInt64; round++ {
		if round == 20 {
			t.Fatal("no idle limit after 20 failures")
		}
		add(1)
		conn, r := server.Accept(t)
		testpeer.ReadRequest(t, r)
		testpeer.WriteCounterResponse(conn, 200, "1")
		testpeer.Receive(t, results, "result")
		time.Sleep(2 * sockets.MinIdle)
		add(2)
		testpeer.ReadRequest(t, r)
		conn.Close()
		if got := testpeer.Receive(t, results, "result"); got.outcome != rules.ConnectionBroken {
			t.Fatalf("result %v, want a broken connection", got)
		}
	}
}

// The counter may close an idle connection. It would be unknown whether a call written to it
// was added, so the connection must not be used.
func TestHTTPClosedWhileIdle(t *testing.T) {
	server := testpeer.New(t)
	c := NewHTTP(server.Address(), testpeer.Timeout)
	var openConns atomic.Int64
	conn, err := c.dial(context.Background(), &openConns)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	remote, _ := server.Accept(t)
	conn.SetDeadline(time.Now().Add(-time.Second)) // as left by an earlier call
	if !conn.usable(0) {
		t.Error("an open connection is not usable")
	}
	if conn.usable(httpIdleTimeout + time.Second) {
		t.Error("usable after the idle timeout")
	}
	remote.Close()
	until := time.Now().Add(testpeer.Timeout)
	for sockets.Alive(conn.Conn) && time.Now().Before(until) {
		time.Sleep(time.Millisecond) // the close is in transit through the kernel
	}
	if conn.usable(0) {
		t.Error("usable after the counter closed the connection")
	}
}

// For any response, a reported total is a finite number, and only a complete response yields
// one.
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
