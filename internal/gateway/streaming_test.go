package gateway

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"elderyard/internal/testpeer"
)

// randomBytes returns a body that is the same for the same seed.
func randomBytes(seed uint64, length int) []byte {
	var key [32]byte
	key[0] = byte(seed)
	p := make([]byte, length)
	rand.NewChaCha8(key).Read(p)
	return p
}

// writeInPieces writes p in pieces of random sizes.
func writeInPieces(w io.Writer, p []byte) error {
	for len(p) > 0 {
		n := min(1+rand.IntN(40<<10), len(p))
		if _, err := w.Write(p[:n]); err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// writeChunked writes p as chunks of random sizes.
func writeChunked(w io.Writer, p []byte) {
	for len(p) > 0 {
		n := min(1+rand.IntN(40<<10), len(p))
		fmt.Fprintf(w, "%x\r\n%s\r\n", n, p[:n])
		p = p[n:]
	}
	io.WriteString(w, "0\r\n\r\n")
}

// Long bodies are streamed unchanged in both directions with any framing, and the connection to the backend
// is reused.
func TestLongBodiesAreStreamed(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	up, down := randomBytes(1, 3<<20), randomBytes(2, 5<<20)
	var conn net.Conn
	var br *bufio.Reader
	for _, c := range []struct{ up, down bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		client, err := net.Dial("tcp", gw.address)
		if err != nil {
			t.Fatal(err)
		}
		defer client.Close()
		client.SetDeadline(time.Now().Add(testTimeout))
		framing := fmt.Sprintf("Content-Length: %d\r\nExpect: 100-continue", len(up))
		if c.up {
			framing = "Transfer-Encoding: chunked"
		}
		go func() {
			io.WriteString(client, strings.Replace(requestText("POST", "booking", ""), "\r\n\r\n", "\r\n"+framing+"\r\n\r\n", 1))
			if c.up {
				writeChunked(client, up)
			} else {
				writeInPieces(client, up)
			}
		}()
		if conn == nil {
			conn, br = backend.Accept(t)
		}
		req, got := readRequest(t, br)
		if !bytes.Equal(got, up) || len(req.TransferEncoding) > 0 != c.up {
			t.Errorf("%+v: the backend got %d bytes, framed %v", c, len(got), req.TransferEncoding)
		}
		go func() {
			if c.down {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
				writeChunked(conn, down)
			} else {
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(down))
				writeInPieces(conn, down)
			}
		}()
		reader := bufio.NewReader(client)
		resp, err := http.ReadResponse(reader, nil)
		for err == nil && resp.StatusCode == http.StatusContinue {
			resp, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			t.Fatalf("%+v: %v", c, err)
		}
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 || err != nil || sha256.Sum256(body) != sha256.Sum256(down) {
			t.Errorf("%+v: status %d, %d bytes, %v", c, resp.StatusCode, len(body), err)
		}
		if c.up != resp.Close {
			t.Errorf("%+v: the client's connection closed: %t", c, resp.Close)
		}
		time.Sleep(2 * reuseDelay)
	}
	if n := len(backend.Conns); n > 0 {
		t.Errorf("%d more connections to the backend", n)
	}
}

// A client that reads nothing blocks its backend's response, and costs the gateway little memory: a hundred
// such responses of 8 MB each need a few MB, and each is completed once its client reads.
func TestSlowReadersCostLittleMemory(t *testing.T) {
	backend := newPeer(t)
	gw := startGatewayWith(t, strings.NewReplacer(`"sockets": 1024`, `"sockets": 4096`).Replace, backend)
	const transfers, size = 100, 8 << 20
	responseBody := randomBytes(3, size)
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var readers []*http.Response
	for range transfers {
		client := testpeer.DialWithReceiveBuffer(t, gw.address, 64<<10)
		client.SetDeadline(time.Now().Add(3 * testTimeout))
		io.WriteString(client, requestText("GET", "lookup", ""))
		conn, br := backend.Accept(t)
		conn.SetDeadline(time.Now().Add(3 * testTimeout))
		readRequest(t, br)
		go func() {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", size)
			conn.Write(responseBody)
			conn.Close()
		}()
		resp, err := http.ReadResponse(bufio.NewReader(client), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("%v, %v", resp, err)
		}
		readers = append(readers, resp)
	}
	runtime.GC()
	runtime.ReadMemStats(&during)
	if grown := int64(during.HeapInuse) - int64(before.HeapInuse); grown > transfers*256<<10 {
		t.Errorf("%d stalled responses use %d kB", transfers, grown>>10)
	}
	var wg sync.WaitGroup
	for i, rd := range readers {
		wg.Go(func() {
			n, err := io.Copy(io.Discard, rd.Body)
			if n != size || err != nil {
				t.Errorf("response %d: %d bytes, %v", i, n, err)
			}
		})
	}
	wg.Wait()
}

// A client that stops sending in the middle of its body gets an error in time, and its backend never gets
// the complete request.
func TestUploadStops(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, responses := gw.send(t, requestText("POST", "payment", "", "Content-Length", "200000")+strings.Repeat("x", 150000))
	conn, br := backend.Accept(t)
	req, err := http.ReadRequest(br)
	if err != nil {
		t.Fatal(err)
	}
	if n, err := io.Copy(io.Discard, req.Body); n != 150000 || err != io.ErrUnexpectedEOF {
		t.Errorf("the backend got %d bytes, %v", n, err)
	}
	conn.Close()
	if resp := wait(t, responses, "response"); resp.StatusCode < 400 || !resp.Close {
		t.Errorf("status %d, closed %t", resp.StatusCode, resp.Close)
	}
	if n := len(backend.Conns); n > 0 {
		t.Errorf("%d more connections", n)
	}
}

// A backend that closes before the last byte of a request has not run it: the client is asked at once to
// retry, and the request is not sent again, since its body is gone.
func TestBackendClosesDuringUpload(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	client, responses := gw.send(t, requestText("POST", "payment", "", "Content-Length", "4000000")+strings.Repeat("x", 100000))
	conn, br := backend.Accept(t)
	if _, err := http.ReadRequest(br); err != nil {
		t.Fatal(err)
	}
	conn.Close()
	go writeInPieces(client, make([]byte, 3000000))
	if resp := wait(t, responses, "response"); resp.StatusCode != 429 || !resp.Close {
		t.Errorf("status %d, closed %t", resp.StatusCode, resp.Close)
	}
	if n := len(backend.Conns); n > 0 {
		t.Errorf("%d more connections", n)
	}
}

// A request's time limit starts with its last byte: a body that takes longer than the class's objective
// does not use it up, and the objective applies from then on.
func TestTimeLimitStartsAtLastByte(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	slow := strings.NewReplacer(`"name": "payment", "objectiveS": 10`, `"name": "payment", "objectiveS": 1`).Replace
	gw := startGatewayWith(t, slow, backend)
	for _, answered := range []bool{true, false} {
		client, responses := gw.send(t, requestText("POST", "payment", "", "Content-Length", "100000")+strings.Repeat("x", 90000))
		for range 10 {
			time.Sleep(150 * time.Millisecond)
			io.WriteString(client, strings.Repeat("x", 1000))
		}
		conn, br := backend.Accept(t)
		readRequest(t, br)
		status := 502 // no response: the request may have run
		if answered {
			status = 200
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		}
		if resp := wait(t, responses, "response"); resp.StatusCode != status {
			t.Errorf("answered %t: status %d, want %d", answered, resp.StatusCode, status)
		}
	}
}

// A long response that is truncated must not look complete to the client. A short one that is truncated has
// not been started, so the request is retried.
func TestTruncatedResponses(t *testing.T) {
	t.Parallel()
	for _, framing := range []string{"Content-Length: 200000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n186a0\r\n"} {
		backend := newPeer(t)
		gw := startGateway(t, backend)
		client, responses := gw.send(t, requestText("GET", "lookup", ""))
		conn, br := backend.Accept(t)
		readRequest(t, br)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+framing+strings.Repeat("x", 100000))
		conn.Close()
		resp := wait(t, responses, "response")
		if n, err := io.Copy(io.Discard, resp.Body); resp.StatusCode != 200 || err == nil || n > 100000 {
			t.Errorf("%q: status %d, %d bytes, %v", framing, resp.StatusCode, n, err)
		}
		client.Close()

		_, responses = gw.send(t, requestText("GET", "lookup", ""))
		conn, br = backend.Accept(t)
		readRequest(t, br)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel")
		conn.Close()
		serveOnce(t, backend, "ok")
		if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
			t.Errorf("%q: after a truncated short response: %d", framing, resp.StatusCode)
		}
	}
}

// A client that disconnects during a long response ends it at the backend too.
func TestDisconnectDuringDownload(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	client, responses := gw.send(t, requestText("GET", "lookup", ""))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n"+strings.Repeat("x", 1000))
	wait(t, responses, "response")
	client.Close()
	for {
		if _, err := conn.Write(make([]byte, 64<<10)); err != nil {
			if isTimeout(err) {
				t.Errorf("the connection to the backend stays open")
			}
			return
		}
	}
}

// Request targets of all forms reach the backend in origin form.
func TestAbsoluteRequestTarget(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	_, responses := gw.send(t, requestText("GET", "lookup", "", "path", "http://origin.svc/lookup/a%2Fb?c=%20d"))
	conn, br := backend.Accept(t)
	req, _ := readRequest(t, br)
	if req.RequestURI != "/lookup/a%2Fb?c=%20d" {
		t.Errorf("the backend got target %q", req.RequestURI)
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, responses, "response"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}
