package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"
)

// heldClient is a kind of client that keeps a gateway's memory for as long as it likes.
type heldClient struct {
	name string
	text string // what it sends before it stops
}

// Guards against a gateway that hundreds of slow clients bring over its memory limit: none may cost more than is reckoned
// for it, however much it has sent.
func TestSlowClientsCostLittleMemory(t *testing.T) {
	const (
		clients     = 200
		testMemory  = 24 << 10 // bytes of the test itself for each client: both far ends of its connections
		settledTime = time.Second
	)
	chunk := "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"
	for _, c := range []heldClient{
		{"half of a long body", requestText("POST", "payment", "", "Content-Length", "8000000") + strings.Repeat("x", 150<<10)},
		{"half of a chunked body", requestText("POST", "payment", "", "Transfer-Encoding", "chunked") + strings.Repeat(chunk, 150)},
		{"half of a head of short fields", strings.TrimSuffix(requestText("POST", "payment", ""), "\r\n") + shortFields(2500)},
	} {
		t.Run(c.name, func(t *testing.T) {
			backend := newPeer(t)
			gw := startGatewayWith(t, strings.NewReplacer(`"sockets": 1024`, `"sockets": 4096`).Replace, backend)
			go func() {
				for conn := range backend.Conns {
					go io.Copy(io.Discard, conn)
				}
			}()
			before := usedMemory()
			for range clients {
				go io.WriteString(gw.sendPart(t, ""), uniqueID(c.text))
			}
			time.Sleep(settledTime)
			used := usedMemory() - before
			t.Logf("%d kB each", used/clients>>10)
			if used > clients*(activeClientMemory+testMemory) {
				t.Errorf("%d clients use %d kB", clients, used>>10)
			}
		})
	}
}

// shortFields returns header fields with different names and no values.
func shortFields(count int) string {
	var b strings.Builder
	for n := range count {
		fmt.Fprintf(&b, "%x:\r\n", n+0x100)
	}
	return b.String()
}

// A header of more fields than maxHeaderFields is rejected before it is parsed, and one of as many is not.
func TestHeaderFields(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	gw := startGateway(t, backend)
	go serveAll(backend)
	usual := strings.TrimSuffix(requestText("GET", "lookup", ""), "\r\n")
	used := strings.Count(usual, "\r\n") - 1
	for fields, status := range map[int]int{maxHeaderFields - used: 200, maxHeaderFields - used + 1: 400, 2000: 400} {
		_, responses := gw.send(t, uniqueID(usual)+shortFields(fields)+"\r\n")
		if resp := wait(t, responses, "response"); resp.StatusCode != status {
			t.Errorf("%d fields: status %d, want %d", used+fields, resp.StatusCode, status)
		}
	}
}

// Where there is no memory left for bodies they are streamed, whatever their length, and arrive unchanged.
func TestBodiesWithoutMemory(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	// The heap is that of no clients, so that there is nothing for bodies.
	gw := startGatewayWith(t, strings.NewReplacer(`"memory_mb": 192`, `"memory_mb": 16`).Replace, backend)
	body := strings.Repeat("x", maxBufferedBody-1)
	const held = 40 // more than a budget of an eighth of 14 MB has room for
	for range held {
		gw.send(t, requestText("POST", "payment", "", "Content-Length", fmt.Sprint(maxBufferedBody))+body)
	}
	_, responses := gw.send(t, requestText("POST", "booking", body))
	for {
		conn, reader := backend.Accept(t)
		request, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatal(err)
		}
		if request.URL.Path != "/booking" {
			continue
		}
		if got, err := io.ReadAll(request.Body); string(got) != body || err != nil {
			t.Errorf("the backend got %d bytes, %v", len(got), err)
		}
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		break
	}
	resp := wait(t, responses, "response")
	if got, err := io.ReadAll(resp.Body); resp.StatusCode != 200 || string(got) != body || err != nil {
		t.Errorf("status %d, %d bytes, %v", resp.StatusCode, len(got), err)
	}
}

// uniqueID gives a request an ID of its own.
func uniqueID(text string) string {
	return strings.Replace(text, idHeader+": ", fmt.Sprintf("%s: %x-", idHeader, requestCount.Add(1)), 1)
}

// usedMemory returns the bytes that the heap and the stacks use, after a collection.
func usedMemory() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// Guards against memory that grows with each new name while a client sends requests under ever new ones.
func TestNewCustomersCostLittleMemory(t *testing.T) {
	const (
		floods    = 4
		customers = 24000
		most      = 6 << 20 // bytes; the state of all customers needs twice as many
	)
	backend := newPeer(t)
	gw := startGatewayWith(t, strings.NewReplacer(`"memory_mb": 192`, `"memory_mb": 16`).Replace, backend)
	before := usedMemory()
	var wg sync.WaitGroup
	for flood := range floods {
		wg.Go(func() {
			client := gw.sendPart(t, "")
			reader := bufio.NewReader(client)
			for n := range customers / floods {
				client.SetDeadline(time.Now().Add(testTimeout))
				io.WriteString(client, requestText("GET", "lookup", "", clientHeader, fmt.Sprintf("%016x", flood*customers+n+1), timeLeftHeader, "1"))
				resp, err := http.ReadResponse(reader, nil)
				if err != nil || resp.StatusCode != http.StatusTooManyRequests {
					t.Errorf("request %d: %v, %v", n, resp, err)
					return
				}
				io.Copy(io.Discard, resp.Body)
			}
		})
	}
	wg.Wait()
	used := usedMemory() - before
	t.Logf("%d kB", used>>10)
	if used > most {
		t.Errorf("%d customers use %d kB, want at most %d", customers, used>>10, most>>10)
	}
}
