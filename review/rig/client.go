package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// AnswerSlack is how late a final answer may be: half a second after the client's time, and 50 ms more on sockets.
const AnswerSlack = 550 * time.Millisecond

// Request is one request of a client.
type Request struct {
	ID       string
	Class    string
	Account  int // which of the customers
	TimeLeft time.Duration
	Body     int    // bytes; 0: a GET
	Rate     int    // bytes of the body written each second; 0: as fast as the connection takes them
	Chunked  bool   // the body is chunked, with no length told ahead
	Headers  string // further header lines, each with its end
	Patience time.Duration
}

// Result is what the client saw.
type Result struct {
	Request
	Written    bool          // the last byte of the request was written
	WrittenAt  time.Duration // since the start of the request
	Status     int           // of the answer; 0: none came
	Body       []byte        // up to the end or the break
	Whole      bool          // the answer came whole
	Err        error         // why no whole answer came
	AnsweredAt time.Duration // when the answer, or its end, came, since the start of the request
}

// Due returns when the answer was due at the latest, since the start of the request.
func (result Result) Due() time.Duration { return result.WrittenAt + result.TimeLeft + AnswerSlack }

// Ask makes a request on a new connection, and waits for its answer for at most Patience after its last byte.
func (r *Rig) Ask(address string, request Request) (result Result) {
	result.Request = request
	start := time.Now()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		result.Err = err
		return result
	}
	defer conn.Close()
	head := fmt.Sprintf("X-Correlation-Id: %s\r\nX-Service-Class: %s\r\nX-Tier: enterprise\r\nX-Api-Key: %016x\r\n"+
		"X-Time-Left-Ms: %d\r\nX-Call-Terms: units=1,spread=2,first=0\r\n", request.ID, request.Class, 0xb4d65521+request.Account, request.TimeLeft.Milliseconds()) + request.Headers
	framing := fmt.Sprintf("Content-Length: %d", request.Body)
	if request.Chunked {
		framing = "Transfer-Encoding: chunked"
	}
	if request.Body == 0 {
		head = fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: origin.svc\r\n%s\r\n", request.Class, head)
	} else {
		head = fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: origin.svc\r\n%sIdempotency-Key: key-%s\r\n%s\r\n\r\n",
			request.Class, head, request.ID, framing)
	}
	written := make(chan bool, 1)
	go func() { written <- r.write(conn, head, request) }()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		result.read(conn)
		result.AnsweredAt = time.Since(start)
	}()
	select {
	case result.Written = <-written:
		result.WrittenAt = time.Since(start)
		r.LogRequest("client: %s has been sent, its last byte written: %t", request.ID, result.Written)
		conn.SetReadDeadline(time.Now().Add(request.Patience))
		<-answered
	case <-answered: // before the body was written
		conn.Close()
		<-written
	}
	r.LogRequest("client: %s: status %d, %d bytes, whole: %t, error: %v, after %.3f s", request.ID, result.Status, len(result.Body), result.Whole,
		result.Err, result.AnsweredAt.Seconds())
	return result
}

// write writes a request, and reports whether its last byte was written.
func (r *Rig) write(conn net.Conn, head string, request Request) bool {
	if _, err := io.WriteString(conn, head); err != nil {
		return false
	}
	const interval = 50 * time.Millisecond
	chunk := make([]byte, 64<<10)
	if request.Rate > 0 {
		chunk = chunk[:request.Rate/int(time.Second/interval)]
	}
	next := time.Now()
	for sent := 0; sent < request.Body; {
		n := min(len(chunk), request.Body-sent)
		piece := chunk[:n]
		if request.Chunked {
			piece = fmt.Appendf(nil, "%x\r\n%s\r\n", n, piece)
		}
		if _, err := conn.Write(piece); err != nil {
			r.LogRequest("client: %s: its body broke after %d bytes: %v", request.ID, sent, err)
			return false
		}
		sent += n
		if request.Rate > 0 && sent < request.Body {
			next = next.Add(interval)
			time.Sleep(time.Until(next))
		}
	}
	if request.Chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	return true
}

// read reads the answer.
func (result *Result) read(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			result.Err = err
			return
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		result.Status = response.StatusCode
		result.Body, result.Err = io.ReadAll(response.Body)
		result.Whole = result.Err == nil
		return
	}
}
