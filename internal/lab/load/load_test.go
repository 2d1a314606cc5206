package load

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/standin/backend"
)

func config() Config {
	return Config{Seed: 1, Rate: 100, For: 30 * time.Second, Gateways: 3,
		Plans:   []Plan{{"basic", 0.5, 0.8, 3.7}, {"council", 0.5, 4.6, 8}},
		Classes: []Class{{Name: "lookup", Share: 0.6, Deadline: 2 * time.Second}, {Name: "booking", Share: 0.4, Deadline: 3 * time.Second, Keyed: true, Post: true}}}
}

func TestTimelineIsDeterminedBySeed(t *testing.T) {
	_, a, err := Timeline(config())
	if err != nil {
		t.Fatal(err)
	}
	_, b, err := Timeline(config())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(a, b) {
		t.Error("the same seed drew different timelines")
	}
	c := config()
	c.Seed = 2
	if _, other, _ := Timeline(c); reflect.DeepEqual(a, other) {
		t.Error("different seeds drew the same timeline")
	}
	for i := range a {
		if a[i].N != i || i > 0 && a[i].At < a[i-1].At || a[i].At >= c.For || a[i].Gateway < 0 || a[i].Gateway >= 3 {
			t.Fatalf("arrival %d: %+v", i, a[i])
		}
		k := a[i].Customer
		if (a[i].Gateway-k.First+3)%3 >= k.Spread {
			t.Fatalf("request goes to a gateway outside the set of its customer: %+v %+v", a[i], k)
		}
	}
}

// TestRateCountsRequestsInsideQuotas guards against a mismatch of Config.Rate and the load that fits the quotas. It counts the
// arrivals that a token bucket per account admits.
func TestRateCountsRequestsInsideQuotas(t *testing.T) {
	inside := 0
	for seed := range uint64(5) {
		c := config()
		c.Seed = seed
		_, list, err := Timeline(c)
		if err != nil {
			t.Fatal(err)
		}
		level, at := map[*Customer]float64{}, map[*Customer]time.Duration{}
		for _, a := range list {
			p := c.Plans[a.Customer.Plan]
			if _, seen := at[a.Customer]; !seen {
				level[a.Customer] = p.Burst
			}
			level[a.Customer] = min(p.Burst, level[a.Customer]+p.Rate*(a.At-at[a.Customer]).Seconds())
			at[a.Customer] = a.At
			if level[a.Customer] >= 1 {
				level[a.Customer]--
				inside++
			}
		}
	}
	if rate := float64(inside) / 5 / 30; rate < 85 || rate > 115 {
		t.Errorf("%.1f requests a second inside the quotas, wanted 100", rate)
	}
}

func TestSurgeAndGreedyAccount(t *testing.T) {
	c := config()
	count := func(c Config, from, to time.Duration, plan int) (n int) {
		_, list, err := Timeline(c)
		if err != nil {
			t.Fatal(err)
		}
		for _, a := range list {
			if a.At >= from && a.At < to && a.Customer.Plan == plan {
				n++
			}
		}
		return n
	}
	calm := count(c, 10*time.Second, 20*time.Second, 0)
	c.Surges = []Surge{{10 * time.Second, 20 * time.Second, 0, 4}}
	if n := count(c, 10*time.Second, 20*time.Second, 0); n < 3*calm || n > 5*calm {
		t.Errorf("a surge of factor 4 raised the arrivals to %d from %d", n, calm)
	}
	c = config()
	c.Greedy = 10
	customers, list, _ := Timeline(c)
	greedy, n := customers[len(customers)-1], 0
	for _, a := range list {
		if a.Customer == greedy {
			n++
		}
	}
	if want := 0.8 * 10 * 30; float64(n) < 0.7*want || float64(n) > 1.3*want {
		t.Errorf("the greedy account asked %d times, wanted about %.0f", n, want)
	}
}

func TestTimelineRejectsInvalidConfig(t *testing.T) {
	for _, change := range []func(*Config){
		func(c *Config) { c.Rate = 0 }, func(c *Config) { c.Plans = nil }, func(c *Config) { c.Rate = 1e6 }, func(c *Config) { c.Gateways = 0 },
	} {
		c := config()
		change(&c)
		if _, _, err := Timeline(c); err == nil {
			t.Errorf("invalid config was accepted: %+v", c)
		}
	}
}

type sink struct {
	mu    sync.Mutex
	tries []audit.Try
	takes []audit.Take
}

func (s *sink) Take(t audit.Take) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.takes = append(s.takes, t)
}

func (s *sink) Try(t audit.Try) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries = append(s.tries, t)
}
func (s *sink) Late(time.Time, time.Time, string) {}

// serveConnections listens on loopback and hands each connection to handle, which may use it until it returns. Stop
// closes the listener and waits for all of them.
func serveConnections(t *testing.T, handle func(c net.Conn)) (address string, stop func()) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer c.Close()
				handle(c)
			})
		}
	})
	return l.Addr().String(), func() {
		l.Close()
		wg.Wait()
	}
}

// play sends one arrival to a server that answers the attempts with the given texts in order. "" closes the connection,
// "-" sends no answer.
func play(t *testing.T, h Habits, class int, answers ...string) ([]audit.Try, []*http.Request) {
	t.Helper()
	var mu sync.Mutex
	var seen []*http.Request
	address, stop := serveConnections(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			mu.Lock()
			n := len(seen)
			seen = append(seen, req)
			mu.Unlock()
			if n >= len(answers) || answers[n] == "" {
				return
			}
			if answers[n] != "-" {
				io.WriteString(c, answers[n])
			}
		}
	})
	front := NewFront([]string{"g0"})
	front.Take(0, address)
	s := &sink{}
	cfg := config()
	cfg.Classes[0].Deadline, cfg.Classes[1].Deadline = 700*time.Millisecond, 700*time.Millisecond
	c := &Clients{Seed: 1, Habits: h, Plans: cfg.Plans, Classes: cfg.Classes, Front: front, Sink: s, Units: 1}
	k := &Customer{ID: 9, Spread: 1, weightPeriods: []weightPeriod{{time.Hour, []float64{1}}}}
	c.Play(context.Background(), time.Now(), []Arrival{{N: 0, Customer: k, Class: class}})
	if p := c.Progress(); p.First != 1 || p.Done != 1 {
		t.Errorf("%+v", p)
	}
	front.Close()
	stop()
	return s.tries, seen
}

func answer(status int, header string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: 2\r\n\r\nok", status, header)
}

func TestRetriesKeepKeyAndChangeID(t *testing.T) {
	h := Habits{Retries: 3, Wait: time.Millisecond, Impatient: 1, Marks: true}
	tries, seen := play(t, h, 1, answer(502, ""), answer(503, ""), answer(200, ""))
	if len(tries) != 3 || tries[0].Outcome != audit.Failed || tries[1].Outcome != audit.Refused || tries[2].Outcome != audit.Served {
		t.Fatalf("%+v", tries)
	}
	if tries[2].Sum != backend.Sum([]byte("ok")) || tries[1].Number != 1 || tries[2].First != 0 {
		t.Errorf("%+v", tries[2])
	}
	ids := map[string]bool{}
	for i, r := range seen {
		ids[r.Header.Get("X-Correlation-Id")] = true
		if r.Header.Get("Idempotency-Key") != seen[0].Header.Get("Idempotency-Key") || r.Method != "POST" || r.Header.Get("X-Tier") != "basic" ||
			(r.Header.Get("X-Repeat") == "1") != (i > 0) {
			t.Errorf("%+v", r.Header)
		}
	}
	if len(ids) != 3 {
		t.Errorf("%d ids", len(ids))
	}
}

func TestRetryAfterIsHonouredByConfiguredShare(t *testing.T) {
	for honour, least := range map[float64]time.Duration{0: 0, 1: 300 * time.Millisecond} {
		h := Habits{Retries: 1, Wait: time.Millisecond, Impatient: 1, Honour: honour}
		tries, _ := play(t, h, 0, answer(429, "Retry-After: 0.3\r\n"), answer(200, ""))
		if len(tries) != 2 {
			t.Fatalf("%+v", tries)
		}
		if gap := tries[1].Sent.Sub(tries[0].Over); gap < least {
			t.Errorf("honour %g: waited %v", honour, gap)
		}
	}
}

func TestAttemptOutcomes(t *testing.T) {
	h := Habits{Impatient: 1}
	for text, want := range map[string]audit.Outcome{"": audit.Closed, "-": audit.NoAnswer, answer(400, ""): audit.Failed, answer(200, ""): audit.Served,
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort": audit.NoAnswer} {
		tries, _ := play(t, h, 0, text)
		if len(tries) != 1 || tries[0].Outcome != want {
			t.Errorf("%q: %+v", text, tries)
		}
	}
}

func TestRequestIsResentAfterIdleClose(t *testing.T) {
	h := Habits{Retries: 1, Wait: time.Millisecond, Impatient: 1}
	// The first attempt fails. The second goes out on the reused connection, which the server closes, and is sent once
	// more on a new one.
	tries, seen := play(t, h, 0, answer(502, ""), "", answer(200, ""))
	if len(tries) != 3 || tries[1].Outcome != audit.Closed || !tries[1].Pooled || tries[2].Outcome != audit.Served || tries[2].Number != 1 || len(seen) != 3 {
		t.Fatalf("%+v", tries)
	}
}

func TestExtraAnswerIsDetected(t *testing.T) {
	h := Habits{Retries: 1, Wait: 50 * time.Millisecond, Impatient: 1}
	tries, _ := play(t, h, 0, answer(502, "")+answer(200, ""), answer(200, ""))
	if len(tries) != 2 || !tries[1].Extra {
		t.Fatalf("%+v", tries)
	}
}

// TestInvalidRequestOutcomes sends all kinds of invalid requests to a server that closes each connection, and to one that
// never answers, which must be recorded as a missing answer.
func TestInvalidRequestOutcomes(t *testing.T) {
	for _, silent := range []bool{false, true} {
		address, stop := serveConnections(t, func(c net.Conn) {
			if silent {
				io.Copy(io.Discard, c)
			}
		})
		front := NewFront([]string{"g0"})
		front.Take(0, address)
		s := &sink{}
		b := &Bad{Seed: 1, Front: front, Sink: s, Owed: 50 * time.Millisecond, Class: config().Classes[1], Plan: config().Plans[0]}
		for i := range invalidKinds {
			b.sendOne(t.Context(), rand.New(rand.NewPCG(1, 1)), &invalidKinds[i])
		}
		stop()
		kinds := map[string]audit.Outcome{}
		for _, try := range s.tries {
			if !strings.HasSuffix(try.ID, innerIDSuffix) {
				kinds[try.Bad] = try.Outcome
			}
		}
		for _, k := range invalidKinds {
			name, want := k.name, audit.Turned
			if silent && name != "half a request" {
				want = audit.NoAnswer
			}
			if kinds[name] != want {
				t.Errorf("silent %v, %s: %q", silent, name, kinds[name])
			}
		}
	}
}
