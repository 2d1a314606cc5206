package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	counterTrip    = 2 * time.Millisecond // one way between gateway and counter
	counterService = time.Millisecond     // of a call
	maxCounterTTL  = 60 * time.Second
)

// counter is the shared counter. Calls of a connection are served in turn and answered in their order.
type counter struct {
	rig   *rig
	spoil func() bool // whether the answer to a call has no number in it; the amount is added all the same; nil: never

	mu    sync.Mutex
	names map[string]*total
}

// total is one number.
type total struct {
	value float64
	until time.Time
}

// serveCounter starts a counter and returns its address.
func (r *rig) serveCounter(spoil func() bool) (*counter, string, error) {
	c := &counter{rig: r, spoil: spoil, names: map[string]*total{}}
	l, err := r.listen()
	if err != nil {
		return nil, "", err
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go c.serve(conn)
		}
	}()
	return c, l.Addr().String(), nil
}

// answer is an answer on its way.
type answer struct {
	due  time.Time
	text string
	last bool // the connection is of no further use
}

// serve serves one connection. Answers leave one after another, each a trip after its call was served.
func (c *counter) serve(conn net.Conn) {
	answers := make(chan answer, 1024)
	go func() {
		defer conn.Close()
		for a := range answers {
			time.Sleep(time.Until(a.due))
			if _, err := conn.Write([]byte(a.text)); err != nil {
				return
			}
			if a.last {
				time.Sleep(time.Second) // it stays open, and says nothing more
				return
			}
		}
	}()
	defer close(answers)
	reader := bufio.NewReader(conn)
	for spoilt := false; !spoilt; {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		time.Sleep(counterTrip + counterService)
		var text string
		text, spoilt = c.call(request)
		answers <- answer{time.Now().Add(counterTrip), text, spoilt}
	}
}

// call adds the amount and returns the answer, and whether that is spoilt.
func (c *counter) call(request *http.Request) (text string, spoilt bool) {
	name, found := strings.CutPrefix(request.URL.Path, "/v1/count/")
	add, err := strconv.ParseFloat(request.URL.Query().Get("add"), 64)
	ttl, ttlErr := strconv.Atoi(request.URL.Query().Get("ttl_ms"))
	if !found || name == "" || err != nil || ttlErr != nil || ttl < 1 {
		return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	t := c.names[name]
	if t == nil || now.After(t.until) {
		t = &total{until: now.Add(min(time.Duration(ttl)*time.Millisecond, maxCounterTTL))}
		c.names[name] = t
	}
	t.value += add
	if c.spoil != nil && c.spoil() {
		c.rig.say("counter: %s add %g, total %.7g, answered without a number", name, add, t.value)
		return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n\x00\x17??", true
	}
	c.rig.say("counter: %s add %g, total %.7g", name, add, t.value)
	body := strconv.FormatFloat(t.value, 'g', 7, 64)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body), false
}
