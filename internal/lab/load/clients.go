package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/standin/backend"
	"elderyard/internal/wait"
)

const (
	maxBodyBytes   = 1 << 20
	lateAnswerWait = 400 * time.Millisecond // read past the deadline, to tell a late answer from none
	minTimeLeft    = 20 * time.Millisecond  // no attempt is made with less time left
	maxInFlight    = 20000                  // more requests in flight overload the lab itself
	lateArrival    = 20 * time.Millisecond  // an arrival started later than this is reported as late
)

// Habits is the retry policy of the clients.
type Habits struct {
	Retries   int
	Wait      time.Duration // backoff before the first retry; Doubling doubles it for each later one
	Doubling  bool
	Honour    float64 // share of clients that honour Retry-After
	Elsewhere float64 // share of retries for which a gateway of the customer's set is drawn anew
	Impatient float64 // lower bound of an attempt's timeout, as a share of the class's deadline
	Marks     bool    // retries carry the X-Repeat header
}

// Sink receives what the clients observed. Its methods are called from many goroutines.
type Sink interface {
	Try(audit.Try)
	Take(audit.Take)
	Late(from, to time.Time, what string)
}

// Clients plays a timeline against the gateways.
type Clients struct {
	Seed    uint64
	Habits  Habits
	Plans   []Plan
	Classes []Class
	Front   *Front
	Sink    Sink
	Units   float64       // of each request
	Slack   time.Duration // added to an attempt's timeout

	// For limit commands:
	Limits     *Front        // the servers that answer them
	Gateways   int           // number of gateways of the site
	TakeWithin time.Duration // time within which a take without WAIT must be answered

	mu       sync.Mutex
	inFlight int
	progress Progress
}

// Progress holds the counters of a run.
type Progress struct {
	First, Done       int
	Served, Refused   int
	Failed, Unhandled int
	Retries           int
	Takes, Granted    int      // limit commands, and takes that were granted units
	ByClass, ByPlan   [][2]int // requests finished, and those of them served
}

// Progress returns a copy of the counters.
func (c *Clients) Progress() Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.progress
	p.ByClass = append([][2]int(nil), p.ByClass...)
	p.ByPlan = append([][2]int(nil), p.ByPlan...)
	return p
}

// Play starts the arrivals in open loop, at their times after start, without waiting for answers. It stops starting
// them when ctx ends, and returns when all that it started have finished.
func (c *Clients) Play(ctx context.Context, start time.Time, arrivals []Arrival) {
	c.progress.ByClass, c.progress.ByPlan = make([][2]int, len(c.Classes)), make([][2]int, len(c.Plans))
	var wg sync.WaitGroup
	defer wg.Wait()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range arrivals {
		a := &arrivals[i]
		due := start.Add(a.At)
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		if late := time.Since(due); late > lateArrival {
			c.Sink.Late(due, due.Add(late), fmt.Sprintf("an arrival was dealt out %v late", late.Round(time.Millisecond)))
		}
		if !c.begin(a) {
			c.Sink.Late(due, due, fmt.Sprintf("over %d requests were out at once, and one was left out", maxInFlight))
			continue
		}
		wg.Go(func() {
			defer c.end()
			if a.Take {
				c.playTake(ctx, a, due)
				return
			}
			c.request(ctx, a, due)
		})
	}
}

// begin counts an arrival and reports false if too many requests are in flight to start it.
func (c *Clients) begin(a *Arrival) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !a.Take {
		c.progress.First++
	}
	if c.inFlight >= maxInFlight {
		return false
	}
	c.inFlight++
	return true
}

func (c *Clients) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight--
}

// countRequest counts a request that is over, with all its attempts.
func (c *Clients) countRequest(a *Arrival, served bool, retries int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.progress
	p.Done++
	p.Retries += retries
	p.ByClass[a.Class][0]++
	p.ByPlan[a.Customer.Plan][0]++
	if served {
		p.ByClass[a.Class][1]++
		p.ByPlan[a.Customer.Plan][1]++
	}
}

func (c *Clients) countAttempt(o audit.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch o {
	case audit.Served:
		c.progress.Served++
	case audit.Refused:
		c.progress.Refused++
	case audit.Failed:
		c.progress.Failed++
	default:
		c.progress.Unhandled++
	}
}

// request makes the attempts of one request until it is served, its deadline is too close or its retries are used up.
// All choices are drawn from the seed and the number of the request, so that they are the same in each run.
func (c *Clients) request(ctx context.Context, a *Arrival, due time.Time) {
	r := rand.New(rand.NewPCG(c.Seed^0x5eed, uint64(a.N)))
	class := &c.Classes[a.Class]
	over := due.Add(class.Deadline)
	key := randomID(r) + randomID(r)
	honours := r.Float64() < c.Habits.Honour
	gateway, backoff := a.Gateway, c.Habits.Wait
	served, n := false, 0
	for ; ; n++ {
		patience := time.Duration(uniform(r, c.Habits.Impatient, 1) * float64(class.Deadline))
		t := audit.Try{ID: randomID(r), First: a.N, Number: n, Customer: a.Customer.ID, Plan: a.Customer.Plan,
			Class: a.Class, Units: c.Units, Arrived: due, Left: min(patience, time.Until(over))}
		if t.Left < minTimeLeft || ctx.Err() != nil {
			break
		}
		if class.Keyed {
			t.Key = key
		}
		to := c.Front.route(a.Customer, gateway)
		t.Gateway = c.Front.name(to)
		advice := c.attempt(ctx, to, a, &t)
		c.Sink.Try(t)
		c.countAttempt(t.Outcome)
		if served = t.Outcome == audit.Served; served || n >= c.Habits.Retries {
			break
		}
		pause := time.Duration(uniform(r, 0.8, 1.2) * float64(backoff))
		if c.Habits.Doubling {
			backoff *= 2
		}
		if honours {
			pause = max(pause, advice)
		}
		if r.Float64() < c.Habits.Elsewhere {
			gateway = a.Customer.gateway(r, a.At, len(c.Front.endpoints))
		}
		if !wait.For(ctx, pause) {
			break
		}
	}
	c.countRequest(a, served, n)
}

// randomID draws a request ID of 16 hexadecimal digits.
func randomID(r *rand.Rand) string { return fmt.Sprintf("%016x", r.Uint64()) }

// attempt makes one attempt and returns the delay of Retry-After. A request that fails on a reused connection, because
// the gateway closed it while idle, is sent once more on a new connection, as HTTP clients do.
func (c *Clients) attempt(ctx context.Context, to int, a *Arrival, t *audit.Try) time.Duration {
	advice := c.attemptOnce(ctx, to, a, t, false)
	if t.Outcome != audit.Closed && t.Outcome != audit.NotTaken || !t.Pooled || time.Since(t.Sent) > t.Left/2 || ctx.Err() != nil {
		return advice
	}
	if t.Outcome == audit.Closed {
		c.Sink.Try(*t) // the audit needs both attempts
		t.ID = t.ID[:15] + "+"
	}
	return c.attemptOnce(ctx, to, a, t, true)
}

// attemptOnce sends the request on one connection and fills in its outcome.
func (c *Clients) attemptOnce(ctx context.Context, to int, a *Arrival, t *audit.Try, fresh bool) (advice time.Duration) {
	t.Outcome, t.Over = audit.NotTaken, time.Now()
	cn, err := c.Front.get(ctx, to, fresh)
	if err != nil {
		t.Over = time.Now()
		return 0
	}
	reusable := false
	defer func() { c.Front.put(to, cn, reusable) }()
	stop := context.AfterFunc(ctx, func() { cn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	t.Pooled = cn.reused
	cn.SetDeadline(time.Now().Add(t.Left + c.Slack + lateAnswerWait))
	if _, err := io.WriteString(cn, c.requestText(a, t)); err != nil {
		t.Over = time.Now()
		return 0
	}
	t.Sent = time.Now()
	if cn.r.Buffered() > 0 {
		t.Extra = true
	}
	resp, err := http.ReadResponse(cn.r, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	}
	t.Over = time.Now()
	if err != nil {
		t.Outcome = c.classifyError(ctx, err, t)
		return 0
	}
	t.Status = resp.StatusCode
	switch resp.StatusCode {
	case http.StatusOK:
		t.Outcome, t.Sum = audit.Served, backend.Sum(body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		t.Outcome = audit.Refused
	default:
		t.Outcome = audit.Failed
	}
	reusable = !resp.Close && stop()
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		advice = time.Duration(s * float64(time.Second))
	}
	return advice
}

// classifyError returns the outcome of an attempt without a complete answer.
func (c *Clients) classifyError(ctx context.Context, err error, t *audit.Try) audit.Outcome {
	switch {
	case ctx.Err() != nil:
		return audit.Unfinished
	case timedOut(err) && t.Over.Sub(t.Sent) >= t.Left:
		return audit.NoAnswer
	}
	return audit.Closed
}

func timedOut(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// requestText returns the request as sent on the wire.
func (c *Clients) requestText(a *Arrival, t *audit.Try) string {
	class := &c.Classes[a.Class]
	method, rest := "GET", "\r\n"
	if class.Post {
		body := fmt.Sprintf(`{"pickup":%d}`, a.N)
		method, rest = "POST", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	}
	if t.Key != "" {
		rest = "Idempotency-Key: " + t.Key + "\r\n" + rest
	}
	if t.Number > 0 && c.Habits.Marks {
		rest = "X-Repeat: 1\r\n" + rest
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: lab\r\nX-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Tier: %s\r\nX-Api-Key: %016x\r\n"+
		"X-Time-Left-Ms: %d\r\nX-Call-Terms: units=%g,spread=%d,first=%d\r\n%s", method, class.Name, t.ID, class.Name,
		c.Plans[t.Plan].Name, t.Customer, max(1, t.Left.Milliseconds()), t.Units, a.Customer.Spread, a.Customer.First, rest)
}
