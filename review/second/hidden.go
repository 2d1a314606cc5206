package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// rawClient sends bytes as they are to a gateway and reads the answers.
type rawClient struct {
	rig    *rig
	name   string
	conn   net.Conn
	reader *bufio.Reader
}

// dialRaw connects to a gateway.
func (r *rig) dialRaw(gateway *process, name string) (*rawClient, error) {
	conn, err := net.DialTimeout("tcp", gateway.address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	r.onClose(func() { conn.Close() })
	return &rawClient{r, name, conn, bufio.NewReader(conn)}, nil
}

// exchange sends a request and returns the status and the body of the answer, 0 if the connection ends without one.
func (c *rawClient) exchange(text string) (status int, body string) {
	c.rig.say("%s sends %q", c.name, text)
	c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.rig.say("%s: %v", c.name, err)
		return 0, ""
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.rig.say("%s gets no answer: %v", c.name, err)
		return 0, ""
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	c.rig.say("%s is answered %d %q", c.name, response.StatusCode, answer)
	return response.StatusCode, string(answer)
}

// chunkedReady is a readiness check whose empty body comes in chunks.
const chunkedReady = "GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"

// booking returns a booking with a body in chunks, and further header lines.
func booking(id, lines string) string {
	return "POST /booking/" + id + " HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: booking\r\nX-Tier: basic\r\n" +
		"X-Api-Key: " + accountKey(0) + "\r\nX-Time-Left-Ms: 3000\r\nIdempotency-Key: key-" + id + "\r\nX-Call-Terms: units=1,spread=1,first=0\r\n" +
		lines + "Transfer-Encoding: chunked\r\n\r\n"
}

// playHiddenRequest has a bad client send requests that tell the length of their body in two ways.
func playHiddenRequest(r *rig) error {
	gateway, b, _, err := r.startLimitGateway(plan{"name": "basic", "unitsPerS": 4.0, "depth": 10.0, "pays": 0.45})
	if err != nil {
		return err
	}
	for n := range 8 {
		b.accounts[fmt.Sprint("id-", n)] = accountKey(0)
	}
	usual, err := r.dialRaw(gateway, "a usual client")
	if err != nil {
		return err
	}
	if status, _ := usual.exchange(chunkedReady); status != http.StatusOK {
		return errors.New("the gateway is not ready")
	}
	if status, _ := usual.exchange(booking("id-0", "") + "5\r\nhello\r\n0\r\n\r\n"); status != http.StatusOK {
		return errors.New("a booking in chunks is not served")
	}
	if !r.trouble {
		return nil
	}
	bad := func(id string) string {
		body := "0\r\n\r\nGET /lookup/hidden HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
		return booking(id, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
	}
	first, err := r.dialRaw(gateway, "a bad client")
	if err != nil {
		return err
	}
	first.exchange(bad("id-1"))
	second, err := r.dialRaw(gateway, "a bad client, after a readiness check")
	if err != nil {
		return err
	}
	second.exchange(chunkedReady)
	status, body := second.exchange(bad("id-2"))
	third, err := r.dialRaw(gateway, "another bad client, after a readiness check")
	if err != nil {
		return err
	}
	third.exchange(chunkedReady)
	inside := "0\r\n\r\n" + booking("id-3", "") + "0\r\n\r\n"
	third.exchange(fmt.Sprintf("GET /health/ready HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n", len(inside)) + inside)
	time.Sleep(2 * time.Second)
	b.mu.Lock()
	defer b.mu.Unlock()
	passed := 0
	for id, what := range map[string]string{"id-1": "tells its length in two ways", "id-2": "tells its length in two ways", "id-3": "stood in the body of another"} {
		if b.seen[id] {
			passed++
			r.say("BROKEN: the request %s, which %s, reached a backend", id, what)
		}
	}
	r.say("rule: no such request is passed on or served; %d were passed on, id-2 was answered %d", passed, status)
	if passed > 0 || status == http.StatusOK && strings.Contains(body, "served") {
		return errBroken
	}
	return nil
}
