package backend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"elderyard/internal/standin/link"
)

const testTimeout = 10 * time.Second

func config(change func(*Config)) Config {
	c := Config{ID: "n0", Cell: 1, Cores: 1, Speed: 1, Queue: 1, Conns: 100, Idle: time.Minute, MaxRecords: 1000,
		Work:  map[string]Work{"lookup": {Mean: 2 * time.Millisecond}, "booking": {Mean: 2 * time.Millisecond}},
		Keyed: map[string]bool{"booking": true}, Dedupe: NewDedupe(time.Minute), ReportInterval: time.Nanosecond}
	if change != nil {
		change(&c)
	}
	return c
}

func start(t *testing.T, c Config) *Backend {
	t.Helper()
	l, err := link.Listen("g0")
	if err != nil {
		t.Fatal(err)
	}
	b, err := Start(c, l)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	return b
}

func dial(t *testing.T, b *Backend) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", b.Address("g0"), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c
}

func send(t *testing.T, c net.Conn, class, id, key string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET /%s/x HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: %s\r\nIdempotency-Key: %s\r\nX-Time-Left-Ms: 700\r\n\r\n", class, id, key); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, c net.Conn) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// waitUntil waits until a condition holds.
func waitUntil(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func record(b *Backend) []Attempt {
	a, _, _ := b.Record()
	return a
}

func TestServesAndRecords(t *testing.T) {
	b := start(t, config(nil))
	c := dial(t, b)
	send(t, c, "lookup", "a1", "")
	resp, body := receive(t, c)
	if resp.StatusCode != 200 || !strings.HasPrefix(resp.Header.Get("X-Backend-Load"), `{"inflight":`) {
		t.Fatalf("%s %v", resp.Status, resp.Header)
	}
	got := record(b)
	if len(got) != 1 || got[0].ID != "a1" || got[0].Peer != "g0" || got[0].TimeLeft != 700*time.Millisecond || !got[0].Ran ||
		got[0].Outcome != Served || got[0].Sum != Sum([]byte(body)) || got[0].Received.Before(got[0].FirstByte) {
		t.Fatalf("record %+v, body %s", got, body)
	}
}

func TestDeduplicatesByKey(t *testing.T) {
	b := start(t, config(nil))
	for i := range 2 {
		c := dial(t, b)
		send(t, c, "booking", fmt.Sprint("a", i), "k")
		receive(t, c)
	}
	if got := record(b); got[0].Outcome != Served || got[1].Outcome != Repeat || got[1].Ran {
		t.Fatalf("%+v", got)
	}
}

func TestDuplicateWaitsForRunningRequestAndRunsIfThatIsCanceled(t *testing.T) {
	b := start(t, config(nil))
	b.SetFaults(Faults{Stalled: true})
	first, second := dial(t, b), dial(t, b)
	send(t, first, "booking", "a1", "k")
	waitUntil(t, "the first", func() bool { return len(record(b)) == 1 })
	send(t, second, "booking", "a2", "k")
	waitUntil(t, "the second", func() bool { return len(record(b)) == 2 })
	first.Close()
	waitUntil(t, "the cancellation of the first", func() bool { return record(b)[0].Outcome == Canceled })
	b.SetFaults(Faults{})
	receive(t, second)
	if got := record(b); got[0].Ran || got[1].Outcome != Served || !got[1].Ran {
		t.Fatalf("%+v", got)
	}
}

func TestQueueIsLimited(t *testing.T) {
	b := start(t, config(nil))
	b.SetFaults(Faults{Stalled: true})
	for i := range 2 {
		send(t, dial(t, b), "lookup", fmt.Sprint("a", i), "")
	}
	waitUntil(t, "two jobs", func() bool { inFlight, _ := b.cpu.load(); return inFlight == 2 })
	c := dial(t, b)
	send(t, c, "lookup", "a2", "")
	resp, _ := receive(t, c)
	if resp.StatusCode != 503 || resp.Header.Get("X-Unprocessed") != "1" || resp.Header.Get("X-Backend-Load") != `{"inflight":2,"queue":1}` {
		t.Fatalf("%s %v", resp.Status, resp.Header)
	}
}

func TestWorkStopsWhenItsConnectionEnds(t *testing.T) {
	b := start(t, config(nil))
	b.SetFaults(Faults{Stalled: true})
	c := dial(t, b)
	send(t, c, "lookup", "a1", "")
	waitUntil(t, "a job", func() bool { inFlight, _ := b.cpu.load(); return inFlight == 1 })
	c.Close()
	waitUntil(t, "an empty backend", func() bool { inFlight, _ := b.cpu.load(); return inFlight == 0 })
	waitUntil(t, "its cancellation", func() bool { return record(b)[0].Outcome == Canceled })
	if record(b)[0].Ran {
		t.Fatal("the canceled request ran")
	}
}

func TestDrainRefusesNewWork(t *testing.T) {
	b := start(t, config(nil))
	b.Drain(true)
	c := dial(t, b)
	send(t, c, "booking", "a1", "k")
	if resp, _ := receive(t, c); resp.StatusCode != 503 {
		t.Fatal(resp.Status)
	}
	b.Drain(false)
	send(t, c, "booking", "a2", "k")
	if resp, _ := receive(t, c); resp.StatusCode != 200 {
		t.Fatal(resp.Status)
	}
	if got := record(b); !got[1].Ran {
		t.Fatal("the key of a refused request counted as a duplicate")
	}
}

func TestColdBackendBreaksDownUnderOverload(t *testing.T) {
	c := config(func(c *Config) {
		c.ColdSpeed, c.WarmUp, c.FallMultiple, c.FallFor, c.Queue = 0.2, time.Hour, 2, 300*time.Millisecond, 1000
		c.Work["lookup"] = Work{Mean: 10 * time.Millisecond}
	})
	for _, overloaded := range []bool{false, true} {
		b := start(t, c)
		b.Kill()
		if err := b.Restart(); err != nil {
			t.Fatal(err)
		}
		// It has capacity for 60 ms of work in the window, and breaks down above 120 ms.
		n := 1
		if overloaded {
			n = 60
		}
		time.Sleep(2 * c.FallFor) // a backend breaks down only after it has been up for a whole window
		conns := make([]net.Conn, n)
		for i := range conns {
			conns[i] = dial(t, b)
		}
		for i, conn := range conns {
			fmt.Fprintf(conn, "GET /lookup HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: a%d\r\n\r\n", i)
		}
		if overloaded {
			waitUntil(t, "the breakdown", b.Fallen)
			if _, _, falls := b.Record(); len(falls) != 1 || falls[0].Sent <= 2*falls[0].Could || falls[0].From["g0"] == 0 {
				t.Fatalf("%+v", falls)
			}
		} else if receive(t, conns[0]); b.Fallen() {
			t.Fatal("a single request made it break down")
		}
	}
}

func TestKilledBackendRefusesUntilRestarted(t *testing.T) {
	b := start(t, config(nil))
	b.SetFaults(Faults{Stalled: true})
	c := dial(t, b)
	send(t, c, "lookup", "a1", "")
	waitUntil(t, "a job", func() bool { inFlight, _ := b.cpu.load(); return inFlight == 1 })
	b.Kill()
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("a killed backend answered")
	}
	b.SetFaults(Faults{})
	if err := b.Restart(); err != nil {
		t.Fatal(err)
	}
	c = dial(t, b)
	send(t, c, "lookup", "a2", "")
	receive(t, c)
	got := record(b)
	if got[0].Outcome != Died || got[1].Restarts != 1 || b.StartedAt().IsZero() {
		t.Fatalf("%+v", got)
	}
}

func TestInjectedFaults(t *testing.T) {
	for name, k := range map[string]struct {
		faults     Faults
		outcome    Outcome
		ran        bool
		unparsable bool
		status     int
	}{
		"errors":    {Faults{Errors: 1}, Failed, false, false, 500},
		"refused":   {Faults{Refuse: 1}, Refused, false, false, 503},
		"malformed": {Faults{Malformed: 1}, Malformed, true, true, 0},
		"endless":   {Faults{Endless: 1}, Malformed, true, true, 0},
		"duplicate": {Faults{Duplicate: 1}, Served, true, false, 200},
		"slow":      {Faults{Slow: 3}, Served, true, false, 200},
	} {
		t.Run(name, func(t *testing.T) {
			b := start(t, config(nil))
			b.SetFaults(k.faults)
			c := dial(t, b)
			send(t, c, "lookup", "a1", "")
			r := bufio.NewReader(c)
			waitUntil(t, "an outcome", func() bool { got := record(b); return len(got) == 1 && got[0].Outcome != "" })
			if got := record(b)[0]; got.Outcome != k.outcome || got.Ran != k.ran {
				t.Fatalf("%+v", got)
			}
			if k.unparsable {
				c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				resp, err := http.ReadResponse(r, nil)
				if err == nil {
					if _, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20)); err == nil {
						t.Fatal("the answer is valid")
					}
				}
				return
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil || resp.StatusCode != k.status {
				t.Fatalf("%v %v", resp, err)
			}
			io.Copy(io.Discard, resp.Body)
			if k.faults.Duplicate > 0 {
				if resp, err = http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
					t.Fatalf("no second answer: %v", err)
				}
			}
		})
	}
}

func TestRecordIsLimited(t *testing.T) {
	b := start(t, config(func(c *Config) { c.MaxRecords = 2 }))
	c := dial(t, b)
	for i := range 3 {
		send(t, c, "lookup", fmt.Sprint(i), "")
		receive(t, c)
	}
	if a, unrecorded, _ := b.Record(); len(a) != 2 || unrecorded != 1 {
		t.Fatalf("%d recorded, %d not recorded", len(a), unrecorded)
	}
}

func TestConnectionsAreLimitedAndIdleOnesClosed(t *testing.T) {
	b := start(t, config(func(c *Config) { c.Conns, c.Idle = 1, 30*time.Millisecond }))
	first := dial(t, b)
	waitUntil(t, "a connection", func() bool { b.mu.Lock(); defer b.mu.Unlock(); return b.conns == 1 })
	// The reset may arrive before Dial returns.
	if second, err := net.Dial("tcp", b.Address("g0")); err == nil {
		defer second.Close()
		second.SetDeadline(time.Now().Add(testTimeout))
		if _, err := second.Read(make([]byte, 1)); err == nil || strings.Contains(err.Error(), "timeout") {
			t.Fatalf("a second connection was accepted: %v", err)
		}
	}
	if _, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the idle connection: %v", err)
	}
}

func TestRateChangeAppliesToRunningJobs(t *testing.T) {
	p := newProcessor(1, 0, 1)
	done := make(chan struct{})
	j := &job{work: 3600, done: func() { close(done) }}
	p.add(j)
	p.setRate(1e7) // the rest of the work continues at the new speed
	select {
	case <-done:
	case <-time.After(testTimeout):
		t.Fatal("a job kept the speed at which it started")
	}
}
