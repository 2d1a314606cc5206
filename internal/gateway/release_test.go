package gateway

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"
)

// Guards against a gateway whose memory grows with each long chunked body that it has served: an ended request must not
// be kept until the deadline of the slowest upload, which is minutes away.
func TestEndedUploadsAreReleased(t *testing.T) {
	const (
		uploads   = 2000
		warmUp    = uploads / 10
		clients   = 4
		bodyBytes = maxBufferedBody + 1<<10
		heldBytes = 1 << 10 // that an ended request may leave behind, among them its remembered ID

		releaseTime = 2 * time.Second // in which ended requests are released on a machine that is not busy
	)
	backend := newPeer(t)
	gw := startGateway(t, backend)
	go serveAll(backend)
	body := randomBytes(4, bodyBytes)
	upload := func(total int) {
		var wg sync.WaitGroup
		for range clients {
			wg.Go(func() {
				for range total / clients {
					if status, err := gw.uploadOnce(requestText("POST", "booking", "", "Transfer-Encoding", "chunked"), body); status != 200 || err != nil {
						t.Errorf("status %d, %v", status, err)
						return
					}
				}
			})
		}
		wg.Wait()
	}
	upload(warmUp)
	time.Sleep(releaseTime)
	before := reachableHeap()
	upload(uploads)
	grown := int64(math.MaxInt64)
	for until := time.Now().Add(testTimeout); grown > uploads*heldBytes && time.Now().Before(until); {
		time.Sleep(releaseTime)
		grown = reachableHeap() - before
	}
	t.Logf("%d kB are held after %d uploads, %d bytes each", grown>>10, uploads, grown/uploads)
	if grown > uploads*heldBytes {
		t.Errorf("more than %d bytes each", heldBytes)
	}
}

// reachableHeap returns the bytes of the heap that are still reachable.
func reachableHeap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what pools and finalizers held during the first
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// serveAll answers all requests on all connections of a backend.
func serveAll(backend *peer) {
	for conn := range backend.Conns {
		go func() {
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				io.Copy(io.Discard, request.Body)
				io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
		}()
	}
}

// uploadOnce sends a request with a chunked body on a new connection and returns the status of its response.
func (gw *testGateway) uploadOnce(header string, body []byte) (status int, err error) {
	client, err := net.Dial("tcp", gw.address)
	if err != nil {
		return 0, err
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(testTimeout))
	writer := bufio.NewWriterSize(client, len(body)/2)
	writer.WriteString(header)
	writeChunked(writer, body)
	writer.Flush()
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
