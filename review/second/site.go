package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is the first arrival of a request at a backend.
type arrival struct {
	at      time.Time
	backend string
	account string
	units   float64
}

// backends are the site's backends. They record the first arrival of each request.
type backends struct {
	rig  *rig
	work func() time.Duration

	mu       sync.Mutex
	draining string            // the backend that turns new work away
	accounts map[string]string // by request id, as the clients sent them
	seen     map[string]bool
	arrivals []arrival
}

// serveBackends starts backends, four to a cell, and returns their entries.
func (r *rig) serveBackends(count int, work func() time.Duration) (*backends, []instance, error) {
	b := &backends{rig: r, work: work, accounts: map[string]string{}, seen: map[string]bool{}}
	var list []instance
	for n := range count {
		name := fmt.Sprintf("s-%02d", n)
		address, err := r.serve(func(w http.ResponseWriter, request *http.Request) { b.handle(name, w, request) })
		if err != nil {
			return nil, nil, err
		}
		list = append(list, instance{ID: name, HostPort: address, Zone: "block-a", Type: "std-2core", Cell: n / 4, Lifecycle: "Ready", Weight: 1})
	}
	return b, list, nil
}

// handle serves one attempt. It begins with the last byte of the request.
func (b *backends) handle(name string, w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("X-Correlation-Id")
	b.mu.Lock()
	draining := b.draining == name
	account, sent := b.accounts[id]
	if sent && !b.seen[id] {
		b.seen[id] = true
		b.arrivals = append(b.arrivals, arrival{time.Now(), name, account, 1})
	}
	b.mu.Unlock()
	if !sent {
		b.rig.say("backend %s: a request with the id %q, which no client sent", name, id)
		http.Error(w, "", http.StatusBadRequest)
		return
	}
	b.rig.say("backend %s: request %s of %s", name, id, account)
	if draining {
		w.Header().Set("X-Unprocessed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !sleep(request.Context(), b.work()) {
		return
	}
	w.Header().Set("X-Backend-Load", `{"inflight":1,"queue":0}`)
	fmt.Fprintf(w, "%s served %s, %d bytes", name, id, len(body))
}

// account is a customer.
type account struct {
	key  string
	plan string
	rate float64 // requests a second that it asks for
}

// accountKey returns the number of an account as clients write it.
func accountKey(n int) string { return fmt.Sprintf("%016x", 0x1000+n) }

// clients play accounts on gateways until ctx ends and all answers are there. Each account's requests come in through
// all gateways, unevenly, and the busiest one changes. A request that is refused is not sent again.
type clients struct {
	rig      *rig
	backends *backends
	gateways []*process
	http     *http.Client

	mu      sync.Mutex
	answers map[int]int // by status; 0: none
}

func (r *rig) newClients(b *backends, gateways []*process) *clients {
	return &clients{rig: r, backends: b, gateways: gateways, answers: map[int]int{},
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, IdleConnTimeout: time.Minute}}}
}

// play plays the accounts.
func (c *clients) play(ctx context.Context, accounts []account) {
	var wg sync.WaitGroup
	for n, a := range accounts {
		wg.Go(func() { c.playAccount(ctx, a, rand.New(rand.NewPCG(uint64(n), 1)), &wg) })
	}
	wg.Wait()
}

// playAccount sends the requests of one account, at random times.
func (c *clients) playAccount(ctx context.Context, a account, random *rand.Rand, wg *sync.WaitGroup) {
	busiest, shiftAt := random.IntN(len(c.gateways)), time.Now()
	for n := 0; sleep(ctx, time.Duration(random.ExpFloat64()/a.rate*float64(time.Second))); n++ {
		if time.Now().After(shiftAt) {
			busiest, shiftAt = busiest+1, time.Now().Add(8*time.Second+time.Duration(random.IntN(14000))*time.Millisecond)
		}
		gateway := c.gateways[busiest%len(c.gateways)]
		if random.IntN(10) < 4 {
			gateway = c.gateways[random.IntN(len(c.gateways))]
		}
		class := "lookup"
		if random.IntN(100) < 42 {
			class = "booking"
		}
		id := fmt.Sprintf("%s-%06d", a.key[len(a.key)-4:], n)
		wg.Go(func() { c.send(gateway, a, class, id) })
	}
}

// send sends one request and records its answer.
func (c *clients) send(gateway *process, a account, class, id string) {
	timeLeft := 2 * time.Second
	method, body := http.MethodGet, []byte(nil)
	if class == "booking" {
		timeLeft = 3 * time.Second
		method, body = http.MethodPost, []byte(strings.Repeat("b", 200))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeLeft+100*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.address+"/"+class+"/"+id, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	header := request.Header
	header.Set("X-Correlation-Id", id)
	header.Set("X-Service-Class", class)
	header.Set("X-Tier", a.plan)
	header.Set("X-Api-Key", a.key)
	header.Set("X-Time-Left-Ms", fmt.Sprint(timeLeft.Milliseconds()))
	header.Set("X-Call-Terms", fmt.Sprintf("units=1,spread=%d,first=0", len(c.gateways)))
	if class == "booking" {
		header.Set("Idempotency-Key", "key-"+id)
	}
	c.backends.mu.Lock()
	c.backends.accounts[id] = a.key
	c.backends.mu.Unlock()
	status, text := 0, ""
	response, err := c.http.Do(request)
	if err == nil {
		answer, _ := io.ReadAll(response.Body)
		response.Body.Close()
		status, text = response.StatusCode, string(answer)
	}
	c.rig.say("client: request %s (%s of %s) to %s answered %d %q", id, class, a.key, gateway.name, status, text)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers[status]++
}

// ceiling is a plan's second store, as the rule on ceilings has it.
type ceiling struct{ rate, burst, slack float64 }

// slackSeconds is how much longer each time limit is on sockets.
const slackSeconds = 0.05

// lowest returns how far an account's store fell at the lowest, and when. It starts full.
func (c ceiling) lowest(arrivals []arrival, key string) (level float64, at time.Time) {
	now, lowest := c.burst, c.burst
	var last time.Time
	for _, a := range arrivals {
		if a.account != key {
			continue
		}
		if !last.IsZero() {
			now = min(now+c.rate*a.at.Sub(last).Seconds(), c.burst)
		}
		last = a.at
		if now -= a.units; now < lowest {
			lowest, at = now, a.at
		}
	}
	return lowest, at
}

// check rules on the accounts of a plan with this ceiling.
func (c ceiling) check(b *backends, accounts []account, plan string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	bound := -(c.slack + c.rate*slackSeconds)
	b.rig.say("rule: no store below %g: slack %g, and %g for %g s", bound, c.slack, c.rate*slackSeconds, slackSeconds)
	broken := false
	for _, a := range accounts {
		if a.plan != plan {
			continue
		}
		level, at := c.lowest(b.arrivals, a.key)
		if level < bound {
			broken = true
			b.rig.say("BROKEN: %s: the ceiling's store fell to %.2f at %.3f", a.key, level, at.Sub(b.rig.start).Seconds())
			continue
		}
		b.rig.say("kept: %s: the ceiling's store fell to %.2f", a.key, level)
	}
	if broken {
		return errBroken
	}
	return nil
}
