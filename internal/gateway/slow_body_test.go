package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"elderyard/internal/testpeer"
)

const (
	classDeadline     = 3 * time.Second // of every class in these tests
	slowBodyTime      = readTimeout + classDeadline + writeTimeout + 500*time.Millisecond
	slowPieceInterval = 100 * time.Millisecond
	slowPieces        = int(slowBodyTime / slowPieceInterval)
	slowPieceBytes    = 3000 // such a body is streamed, and comes faster than minUploadRate
	slowTestTimeout   = slowBodyTime + testTimeout
	slowBodyAttempts  = 3 // of a client that is itself too late
)

// withClassDeadline sets the deadline of every class to classDeadline.
func withClassDeadline(config string) string {
	return strings.NewReplacer(`"objectiveS": 10`, `"objectiveS": 3`, `"deadlineS": 20`, `"deadlineS": 3`).Replace(config)
}

// slowBody is a request body that a client takes slowBodyTime or longer to write.
type slowBody struct {
	pieces     int
	pieceBytes int
	chunked    bool
	incomplete bool // the client stops before the last piece
}

// header returns the name and the value of the header that frames the body.
func (b slowBody) header() (name, value string) {
	if b.chunked {
		return "Transfer-Encoding", "chunked"
	}
	return "Content-Length", fmt.Sprint(b.pieces * b.pieceBytes)
}

// write writes the body piece by piece, and reports whether it was so late with one that its body has failed.
func (b slowBody) write(client net.Conn) (stalled bool) {
	piece := strings.Repeat("x", b.pieceBytes)
	if b.chunked {
		piece = fmt.Sprintf("%x\r\n%s\r\n", b.pieceBytes, piece)
	}
	last := time.Now()
	for n := range b.pieces {
		if b.incomplete && n == b.pieces-1 {
			return stalled
		}
		time.Sleep(slowPieceInterval)
		stalled = stalled || time.Since(last) > uploadStallTimeout
		last = time.Now()
		if _, err := io.WriteString(client, piece); err != nil {
			return stalled
		}
	}
	if b.chunked {
		io.WriteString(client, "0\r\n\r\n")
	}
	return stalled
}

// slowBodyCase is a request with a slow body and what is expected to come of it.
type slowBodyCase struct {
	name   string
	body   slowBody
	reply  string // of the backend; empty: it closes its connection after slowBodyTime
	status int
	want   int // bytes of the response; -1: any
}

// Guards against a request whose body takes longer than the server's write timeout being run by a backend and never
// answered: the client's time to take its response must not start before the response.
func TestSlowBodyIsAnswered(t *testing.T) {
	t.Parallel()
	const served = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	long := slowBody{pieces: slowPieces, pieceBytes: slowPieceBytes}
	cases := []slowBodyCase{
		{"told", long, served, 200, 2},
		{"chunked", slowBody{slowPieces, slowPieceBytes, true, false}, served, 200, 2},
		{"short-chunked", slowBody{slowPieces, 20, true, false}, served, 200, 2},
		{"streamed-response", long, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 200000), 200, 200000},
		{"failed", long, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", 502, 0},
		{"refused", slowBody{slowPieces + 40, slowPieceBytes, false, false}, "", 429, 0},
		{"incomplete", slowBody{slowPieces, slowPieceBytes, false, true}, served, 408, -1},
		{"incomplete-short-chunked", slowBody{slowPieces, 20, true, true}, served, 400, -1},
	}
	replies := map[string]string{}
	for _, c := range cases {
		replies[c.path()] = c.reply
	}
	var backends []*peer
	for range cases {
		backend := newPeer(t)
		go replyToSlowBodies(backend, replies)
		backends = append(backends, backend)
	}
	gw := startGatewayWith(t, withClassDeadline, backends...)
	var wg sync.WaitGroup
	for _, c := range cases { // concurrently within one test, as they sleep for most of their time
		wg.Go(func() {
			status, body, stalled, err := gw.sendSlowBody(c)
			for attempt := 1; stalled && attempt < slowBodyAttempts; attempt++ { // the gateway was right to refuse the body
				status, body, stalled, err = gw.sendSlowBody(c)
			}
			if status != c.status || c.want >= 0 && len(body) != c.want || err != nil {
				t.Errorf("%s: status %d, %d bytes %.100q, %v; want %d and %d", c.name, status, len(body), body, err, c.status, c.want)
			}
		})
	}
	wg.Wait()
}

// path returns the path of the request, by which the backend knows it.
func (c slowBodyCase) path() string { return "/payment/" + c.name }

// sendSlowBody sends the request and returns the status of the response and its body. stalled reports that the client was
// late with a piece, so that the body has failed.
func (gw *testGateway) sendSlowBody(c slowBodyCase) (status int, body []byte, stalled bool, err error) {
	client, err := net.Dial("tcp", gw.address)
	if err != nil {
		return 0, nil, false, err
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(slowTestTimeout))
	header, value := c.body.header()
	io.WriteString(client, requestText("POST", "payment", "", "path", c.path(), header, value))
	written := make(chan bool, 1)
	go func() { written <- c.body.write(client) }()
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return 0, nil, <-written, fmt.Errorf("no response: %w", err)
	}
	body, err = io.ReadAll(resp.Body)
	client.Close() // ends the writing, if the response came earlier
	return resp.StatusCode, body, <-written, err
}

// replyToSlowBodies answers the requests of a backend by their paths.
func replyToSlowBodies(backend *peer, replies map[string]string) {
	for conn := range backend.Conns {
		go func() {
			reader := bufio.NewReader(conn)
			for replyToSlowBody(conn, reader, replies) == nil {
			}
		}()
	}
}

// replyToSlowBody answers the next request on a connection. Where there is no reply, it closes the connection after
// slowBodyTime.
func replyToSlowBody(conn net.Conn, reader *bufio.Reader, replies map[string]string) error {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return err
	}
	reply := replies[request.URL.Path]
	if reply == "" {
		time.AfterFunc(slowBodyTime, func() { conn.Close() })
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return err
	}
	_, err = io.WriteString(conn, reply)
	return err
}

// Guards against the write timeout being lifted rather than moved: a client that takes none of its response is still
// cut off after writeTimeout.
func TestStuckClientIsCutOff(t *testing.T) {
	t.Parallel()
	const bufferBytes, responseBytes = 4 << 10, maxBufferedBody
	listen := func(network, address string) (net.Listener, error) {
		config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
			controlErr := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bufferBytes)
			})
			return errors.Join(controlErr, err)
		}}
		return config.Listen(context.Background(), network, address)
	}
	backend := newPeer(t)
	gw := startGatewayOn(t, listen, nil, withClassDeadline, nil, backend)
	client := testpeer.DialWithReceiveBuffer(t, gw.address, bufferBytes)
	client.SetDeadline(time.Now().Add(slowTestTimeout))
	io.WriteString(client, requestText("GET", "lookup", ""))
	serveOnce(t, backend, strings.Repeat("x", responseBytes))
	time.Sleep(slowBodyTime)
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, resp.Body); err == nil || isTimeout(err) {
		t.Errorf("the client got %d bytes of %d, %v", n, responseBytes, err)
	}
}
