package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	overdueTimeLeft  = time.Second
	overdueSlack     = 550 * time.Millisecond // after the client's time, in which an answer is not lost
	overdueBodyBytes = 6 << 20                // more than the sockets to a backend hold
	overduePiece     = 64 << 10               // bytes that the client writes at a time
	lateReadDelay    = overdueTimeLeft * 7 / 10
	backendBuffer    = 4 << 10
	arrivalTime      = 50 * time.Millisecond // within which written bytes have arrived
)

// overdueCase is a backend that does not accept a body in time.
type overdueCase struct {
	name      string
	backend   *peer
	readAfter time.Duration // from the header on, the backend accepts no body for so long; 0: never
	status    int           // 0: any error
}

// Guards against the time of a streamed request starting only when a backend has accepted its body: the client has sent
// the last byte, and a backend that is silent, slow or not there must not hold its answer back.
func TestOverdueUploadIsAnswered(t *testing.T) {
	t.Parallel()
	stopped, late := newPeer(t), newPeer(t)
	go acceptBodies(stopped, func(body io.Reader) {
		io.CopyN(io.Discard, body, 10<<10)
		time.Sleep(testTimeout)
	})
	go acceptBodies(late, func(body io.Reader) { // accepts the whole body in time, and never answers
		time.Sleep(lateReadDelay)
		io.Copy(io.Discard, body)
		time.Sleep(testTimeout)
	})
	var wg sync.WaitGroup
	for _, c := range []overdueCase{
		{"stops reading", stopped, 0, http.StatusTooManyRequests},
		{"reads late", late, lateReadDelay, 0},
		{"accepts no connection", newUnreachablePeer(t), 0, http.StatusTooManyRequests},
		{"is not listed", nil, 0, http.StatusTooManyRequests},
	} {
		var backends []*peer
		if c.backend != nil {
			backends = append(backends, c.backend)
		}
		gw := startGateway(t, backends...)
		for _, chunked := range []bool{false, true} {
			wg.Go(func() { gw.checkOverdueUpload(t, c, chunked) })
		}
	}
	wg.Wait()
}

// timedWriter writes to a connection in pieces, and records when the last one was written.
type timedWriter struct {
	net.Conn
	only time.Duration // what is written later than so long after the start does not count; 0: all counts

	mu    sync.Mutex
	start time.Time
	last  time.Time
}

// Write writes p.
func (w *timedWriter) Write(p []byte) (written int, err error) {
	w.recordStart()
	for err == nil && written < len(p) {
		var n int
		n, err = w.Conn.Write(p[written:min(written+overduePiece, len(p))])
		written += n
		w.recordPiece()
	}
	return written, err
}

func (w *timedWriter) recordStart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.start.IsZero() {
		w.start = time.Now()
		w.last = w.start
	}
}

func (w *timedWriter) recordPiece() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.only == 0 || time.Since(w.start) < w.only {
		w.last = time.Now()
	}
}

// sinceLast returns the time since the last piece was written.
func (w *timedWriter) sinceLast() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.last)
}

// checkOverdueUpload sends a long body at full speed and checks that the answer comes in time: behind the last byte that
// the client could write while no backend accepted the body.
func (gw *testGateway) checkOverdueUpload(t *testing.T, c overdueCase, chunked bool) {
	client, err := net.Dial("tcp", gw.address)
	if err != nil {
		t.Error(err)
		return
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(testTimeout))
	began := time.Now()
	writer := &timedWriter{Conn: client, only: c.readAfter}
	go func() {
		timeLeft := fmt.Sprint(overdueTimeLeft.Milliseconds())
		if body := strings.Repeat("x", overdueBodyBytes); chunked {
			io.WriteString(writer, requestText("POST", "payment", "", timeLeftHeader, timeLeft, "Transfer-Encoding", "chunked"))
			writeChunked(writer, []byte(body))
		} else {
			io.WriteString(writer, requestText("POST", "payment", body, timeLeftHeader, timeLeft))
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	took := writer.sinceLast()
	if err != nil {
		t.Errorf("%s, chunked %t: no answer after %v: %v", c.name, chunked, time.Since(began), err)
		return
	}
	if c.status != 0 && resp.StatusCode != c.status || resp.StatusCode < 400 || took > overdueTimeLeft+overdueSlack {
		t.Errorf("%s, chunked %t: status %d after %v, %v behind the last byte", c.name, chunked, resp.StatusCode, time.Since(began), took)
	}
	if resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get("Retry-After") == "" {
		t.Errorf("%s, chunked %t: no Retry-After", c.name, chunked)
	}
}

// acceptBodies calls accept with the body of the first request on each connection, which has a small receive buffer.
func acceptBodies(backend *peer, accept func(body io.Reader)) {
	for conn := range backend.Conns {
		conn.(*net.TCPConn).SetReadBuffer(backendBuffer)
		go func() {
			if request, err := http.ReadRequest(bufio.NewReaderSize(conn, backendBuffer)); err == nil {
				accept(request.Body)
			}
		}()
	}
}

// newUnreachablePeer returns a peer to which no connection is ever established: its backlog is full.
func newUnreachablePeer(t *testing.T) *peer {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	for { // until the backlog is full
		conn, err := net.DialTimeout("tcp", address.String(), 200*time.Millisecond)
		if err != nil {
			return &peer{Listener: fixedAddress{address: address}}
		}
		t.Cleanup(func() { conn.Close() })
	}
}

// fixedAddress is a listener that has only an address.
type fixedAddress struct {
	net.Listener
	address net.Addr
}

func (l fixedAddress) Addr() net.Addr { return l.address }

// A client that has not sent its last byte has all of its time left, whatever its pace; one that has sent it has not,
// whatever still waits in the sockets.
func TestArrivalEstimate(t *testing.T) {
	t.Parallel()
	const header = "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n"
	for _, c := range []struct {
		name    string
		written int // bytes that wait to be read and are not the end of the body
		arrives int // bytes that arrive between samples
		read    int // bytes that are read before, behind the header
		moves   bool
	}{
		{"nothing to read", 0, 0, 0, true},
		{"bytes arrive", 1000, 100, 0, true},
		{"no bytes arrive", 1000, 0, 0, false},
		{"more than a window waits", 2 * openWindowBytes, 100, 0, false},
		{"all has been read", 0, 0, 100000, false},
		{"all has arrived", 1000, 0, 99000, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			peer := newPeer(t)
			client, err := net.Dial("tcp", peer.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer client.Close()
			conn, _ := peer.Accept(t)
			cc := &clientConn{TCPConn: conn.(*net.TCPConn)}
			io.WriteString(client, header+strings.Repeat("x", c.read))
			if _, err := io.ReadFull(cc, make([]byte, len(header)+c.read)); err != nil {
				t.Fatal(err)
			}
			arrive := func(bytes int) {
				if bytes > 0 {
					io.WriteString(client, strings.Repeat("x", bytes))
				}
				time.Sleep(arrivalTime)
			}
			tracker := newArrivalTracker(cc)
			arrive(c.written)
			tracker.sample()
			for range 3 {
				before := tracker.estimate()
				arrive(c.arrives)
				tracker.sample()
				if moved := tracker.estimate().After(before); moved != c.moves {
					t.Fatalf("the estimate moved: %t", moved)
				}
			}
		})
	}
}

// A client that pauses within its body is waited for, though its time would be over were it counted from the last byte
// that has come.
func TestPausedUploadIsServed(t *testing.T) {
	t.Parallel()
	const pause = 3 * overdueTimeLeft / 4
	backend := newPeer(t)
	gw := startGateway(t, backend)
	go serveAll(backend)
	client := gw.sendPart(t, requestText("POST", "payment", "", timeLeftHeader, fmt.Sprint(overdueTimeLeft.Milliseconds()/2), "Content-Length", "300000"))
	for range 3 {
		io.WriteString(client, strings.Repeat("x", 100000))
		time.Sleep(pause)
	}
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}
