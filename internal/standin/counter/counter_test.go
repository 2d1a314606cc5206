package counter

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"elderyard/internal/standin/link"
)

const testTimeout = 10 * time.Second

func start(t *testing.T, c Config) *Counter {
	t.Helper()
	var links []*link.Link
	for _, peer := range []string{"g0", "g1"} {
		l, err := link.Listen(peer)
		if err != nil {
			t.Fatal(err)
		}
		links = append(links, l)
	}
	k, err := Start(c, links...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k
}

func config() Config { return Config{Parts: 2, Conns: 2, MaxRecords: 100} }

// caller is a client connection to the counter.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, k *Counter, peer string) *caller {
	t.Helper()
	c, err := net.DialTimeout("tcp", k.Address(peer), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return &caller{c, bufio.NewReader(c)}
}

func (c *caller) send(t *testing.T, calls ...string) {
	t.Helper()
	text := ""
	for _, call := range calls {
		text += "POST " + path + call + " HTTP/1.1\r\nHost: c\r\nContent-Length: 0\r\n\r\n"
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// total reads one answer: its body, or the status code if that is not 200.
func (c *caller) total(t *testing.T) string {
	t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 200 {
		return fmt.Sprint(resp.StatusCode)
	}
	return string(body)
}

func (c *caller) add(t *testing.T, name string, n float64) string {
	t.Helper()
	c.send(t, fmt.Sprintf("%s?add=%g&ttl_ms=60000", name, n))
	return c.total(t)
}

func TestAddsInOrderOnOnePipelinedConnection(t *testing.T) {
	k := start(t, config())
	c := dial(t, k, "g0")
	c.send(t, "a?add=1.5&ttl_ms=60000", "a?add=-0.5&ttl_ms=60000", "b?add=7&ttl_ms=60000")
	for _, want := range []string{"1.5", "1", "7"} {
		if got := c.total(t); got != want {
			t.Fatalf("total %s, want %s", got, want)
		}
	}
	if got := dial(t, k, "g1").add(t, "a", 1); got != "2" {
		t.Fatalf("another caller got total %s, want 2", got)
	}
}

func TestInvalidCallsAddNothing(t *testing.T) {
	c := dial(t, start(t, config()), "g0")
	for _, call := range []string{"a?add=x&ttl_ms=5", "a?add=1", "a?add=1&ttl_ms=0", "?add=1&ttl_ms=5", "a?add=NaN&ttl_ms=5",
		"a?add=2e9&ttl_ms=5", strings.Repeat("n", 65) + "?add=1&ttl_ms=5", "a/b?add=1&ttl_ms=5"} {
		c.send(t, call)
		if got := c.total(t); got != "400" {
			t.Errorf("%s: %s", call, got)
		}
	}
	if got := c.add(t, "a", 1); got != "1" {
		t.Errorf("total after the invalid calls: %s, want 1", got)
	}
}

func TestNamesExpireAfterTheirTTL(t *testing.T) {
	c := dial(t, start(t, config()), "g0")
	c.send(t, "a?add=5&ttl_ms=1")
	c.total(t)
	for end := time.Now().Add(testTimeout); ; time.Sleep(5 * time.Millisecond) {
		c.send(t, "a?add=1&ttl_ms=1")
		if c.total(t) == "1" {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the name did not expire after its TTL")
		}
	}
}

func TestSplitHalvesDisagreeAndHealKeepsOne(t *testing.T) {
	k := start(t, config())
	a, b := dial(t, k, "g0"), dial(t, k, "g1")
	a.add(t, "n", 10)
	k.Split(map[string]int{"g0": 0, "g1": 1})
	if x, y := a.add(t, "n", 1), b.add(t, "n", 2); x != "11" || y != "12" {
		t.Fatalf("the halves have totals %s and %s, want 11 and 12", x, y)
	}
	k.Heal(1)
	if x := a.add(t, "n", 1); x != "13" {
		t.Fatalf("total after healing the split: %s, want 13", x)
	}
	k.Reset()
	if x := a.add(t, "n", 1); x != "1" {
		t.Fatalf("total after the reset: %s, want 1", x)
	}
}

func TestInjectedFaults(t *testing.T) {
	k := start(t, Config{Parts: 1, Conns: 8, MaxRecords: 100})
	c := dial(t, k, "g0")
	k.SetFaults(Faults{Double: 1})
	if got := c.add(t, "n", 2); got != "4" {
		t.Fatalf("total after an amount was added twice: %s, want 4", got)
	}
	k.SetFaults(Faults{Refuse: 1})
	if got := c.add(t, "n", 1); got != "503" {
		t.Fatalf("answer to a refused call: %s, want 503", got)
	}
	k.SetFaults(Faults{Endless: 1})
	c.send(t, "n?add=1&ttl_ms=60000")
	c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
	if resp, err := http.ReadResponse(c.r, nil); err == nil {
		if _, err = io.ReadAll(resp.Body); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("an endless answer was completed: %v", err)
		}
	}
	c.Close()
	k.SetFaults(Faults{Malformed: 1})
	c = dial(t, k, "g0")
	if got := c.add(t, "n", 1); got != "NaN?!\n" {
		t.Fatalf("malformed answer: %q", got)
	}
	k.SetFaults(Faults{})
	if got := dial(t, k, "g0").add(t, "n", 1); got != "7" {
		t.Fatalf("total %s, want 7: a call with an unreadable answer must still be added", got)
	}
	calls, sums := k.Record()
	if s := sums["g0"]; s.Calls[Doubled] != 1 || s.Calls[Refused] != 1 || s.Calls[Added] != 3 || len(calls) != 5 {
		t.Fatalf("%+v %+v", sums, calls)
	}
}

func TestCapacityMakesCallsWait(t *testing.T) {
	c := config()
	c.Parts, c.PerSecond = 1, 100
	k := start(t, c)
	began := time.Now()
	conn := dial(t, k, "g0")
	var calls []string
	for i := range 10 {
		calls = append(calls, fmt.Sprintf("n%d?add=1&ttl_ms=1000", i))
	}
	conn.send(t, calls...)
	for range calls {
		conn.total(t)
	}
	// This is a lower bound: a busy machine only makes the calls slower.
	if took := time.Since(began); took < 90*time.Millisecond {
		t.Fatalf("10 calls at 100 per second took %v, want at least 90ms", took)
	}
}

func TestConnectionsPerCallerAreLimited(t *testing.T) {
	k := start(t, config())
	for range 2 {
		dial(t, k, "g0").add(t, "n", 1)
	}
	// The reset may arrive before Dial returns.
	if third, err := net.Dial("tcp", k.Address("g0")); err == nil {
		defer third.Close()
		third.SetReadDeadline(time.Now().Add(testTimeout))
		if _, err := third.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("a third connection was accepted: %v", err)
		}
	}
	dial(t, k, "g1").add(t, "n", 1)
}

func FuzzCall(f *testing.F) {
	f.Add("POST", "/v1/count/a?add=1&ttl_ms=5")
	f.Add("GET", "/v1/count/%2f?add=-1e9&ttl_ms=99999999999")
	f.Fuzz(func(t *testing.T, method, target string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(method + " " + target + " HTTP/1.1\r\nHost: c\r\n\r\n")))
		if err != nil {
			return
		}
		if p, ok := parse(req); ok && (p.name == "" || len(p.name) > maxNameLen || p.ttl < time.Millisecond || p.ttl > maxTTL || p.amount != p.amount) {
			t.Fatalf("%+v", p)
		}
	})
}
