package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	descriptorLimit = 256 // the lowest limit that the platform sets
	oldBackends     = 10
	blockedRequests = 8
	counterConns    = 32               // of one gateway, as many as the counter accepts
	idleClients     = 400              // of client connections, and as many of limit commands
	eventTimeout    = 40 * time.Second // for each wait; none is expected to last that long
)

// outageTest is a gateway with the services around it, of which discovery has an outage.
type outageTest struct {
	t            *testing.T
	address      string // of the gateway, for clients
	limitAddress string // of the gateway, for limit commands
	registry     registryStandIn
	counter      counterStandIn
	old, new     backendStandIn
	pid          int           // of the gateway
	stopGateway  func() string // kills it, and returns its log
	listAfter    string        // the list after the outage
	nextID       atomic.Int64
}

// registryStandIn responds with its list, and does not respond while it is down.
type registryStandIn struct {
	mu            sync.Mutex
	down          bool
	calls         int // while down
	list          string
	hasSecondList atomic.Bool // the caller has the second list
}

func (r *registryStandIn) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	upToDate := q.URL.Query().Get("since") == "2"
	list, down := r.list, r.down || upToDate // no further changes follow
	if r.down {
		r.calls++
	}
	r.mu.Unlock()
	if upToDate {
		r.hasSecondList.Store(true)
	}
	if down {
		<-q.Context().Done()
		return
	}
	io.WriteString(w, list)
}

func (r *registryStandIn) set(down bool, list string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down, r.list = down, list
}

func (r *registryStandIn) callsWhileDown() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls
}

// counterStandIn serves each call on a connection of its own.
type counterStandIn struct{ calls atomic.Int64 }

func (c *counterStandIn) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	c.calls.Add(1)
	w.Header().Set("Connection", "close")
	io.WriteString(w, q.URL.Query().Get("add")) // each name is requested once or twice, far below its quota
}

// backendStandIn counts the requests that it receives, and responds to them: while it is blocking, only once
// it is released.
type backendStandIn struct {
	received atomic.Int64
	blocking atomic.Bool
	released chan struct{}
}

func (b *backendStandIn) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	b.received.Add(1)
	if !b.blocking.Load() {
		io.WriteString(w, "ok")
		return
	}
	select {
	case <-b.released:
		io.WriteString(w, "ok")
	case <-q.Context().Done():
	}
}

// serveStandIn starts a server and returns its address.
func serveStandIn(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return strings.TrimPrefix(s.URL, "http://")
}

// startLimited starts the gateway in a process with a limit of descriptorLimit descriptors.
func (r *outageTest) startLimited() {
	t := r.t
	list := func(generation int, addresses ...string) string {
		entries := make([]string, len(addresses))
		for i, address := range addresses {
			entries[i] = fmt.Sprintf(`{"instanceId":"s%d","hostPort":%q,"zone":"a","machineType":"m","lifecycle":"Ready","weight":1}`, i, address)
		}
		return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, generation, strings.Join(entries, ","))
	}
	var addresses []string
	for range oldBackends {
		addresses = append(addresses, serveStandIn(t, &r.old))
	}
	r.registry.set(false, list(1, addresses...))
	after := list(2, append(addresses, serveStandIn(t, &r.new))...)
	site := filepath.Join(t.TempDir(), "site.toml")
	r.address, r.limitAddress = unusedAddress(t), unusedAddress(t)
	text := fmt.Sprintf("[clients]\nsocket_share = 0.9\n[resp]\nlisten = %q\nmost_clients = 100\n", r.limitAddress)
	if err := os.WriteFile(site, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, stderr := command(t, fmt.Sprintf(`{"name": "n0", "listen": %q, "discovery": %q, "counter": %q, "seed": "1",
		"limits": {"cores": 1, "memory_mb": 192, "sockets": %d},
		"settings": {"fleetSize": 1, "tickS": 0.002, "localities": ["a"], "kinds": ["m"],
		"allowed": {"cancel": true, "connectTimeoutS": 1, "keepaliveS": 15, "mostTries": 3},
		"familyInfo": {"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 1},
		"classes": [{"name": "c", "objectiveS": 100, "deadlineS": 100, "points": 1, "effect": "repeatable"}],
		"packages": [{"name": "p", "pays": 1, "unitsPerS": 100, "depth": 1000}]}}`,
		r.address, serveStandIn(t, &r.registry), serveStandIn(t, &r.counter), descriptorLimit))
	limited := exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, descriptorLimit), cmd.Path)
	limited.Env, limited.Stderr = append(cmd.Env, "ELDERYARD_SITE="+site), stderr
	if err := limited.Start(); err != nil {
		t.Fatal(err)
	}
	r.pid = limited.Process.Pid
	r.stopGateway = sync.OnceValue(func() string {
		limited.Process.Kill()
		limited.Wait()
		return stderr.String()
	})
	t.Cleanup(func() {
		if output := r.stopGateway(); t.Failed() {
			t.Logf("log of the gateway: %.2000q", output)
		}
	})
	r.waitUntil("the gateway is ready", func() bool {
		resp, err := http.Get("http://" + r.address + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	r.listAfter = after
}

// unusedAddress returns an address that no other test is likely to use before the program does.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// descriptors returns how many descriptors the gateway has open.
func (r *outageTest) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.pid))
	if err != nil {
		r.t.Fatal(err)
	}
	return len(entries)
}

func (r *outageTest) waitUntil(what string, condition func() bool) {
	r.t.Helper()
	for end := time.Now().Add(eventTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("never: %s", what)
		}
	}
}

// request is a client's request, on a connection of its own.
type request struct{ responses chan response }

// response is what a client receives: a status, or the reason why there is none.
type response struct {
	status int
	err    error
}

// sendRequest sends a request of another customer on a new connection.
func (r *outageTest) sendRequest() *request {
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { conn.Close() })
	n := r.nextID.Add(1)
	if _, err = fmt.Fprintf(conn, "GET /c/1 HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: %d\r\nX-Service-Class: c\r\nX-Tier: p\r\n"+
		"X-Api-Key: %016x\r\nX-Time-Left-Ms: 100000\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n", n, n); err != nil {
		r.t.Fatal(err)
	}
	request := &request{make(chan response, 1)}
	go func() {
		defer conn.Close()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			request.responses <- response{0, err}
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		request.responses <- response{resp.StatusCode, err}
	}()
	return request
}

// expectServed waits for the response to a request, which must be 200.
func (r *outageTest) expectServed(what string, request *request) {
	r.t.Helper()
	select {
	case response := <-request.responses:
		if response.err != nil || response.status != http.StatusOK {
			r.t.Errorf("%s: status %d, %v", what, response.status, response.err)
		}
	case <-time.After(eventTimeout):
		r.t.Errorf("%s: no response", what)
	}
}

// serveByNewBackend sends requests until one is served, which only the new backend does. It sends each once
// an old backend has received the one before, and returns those. A new connection may be closed before its
// request is read.
func (r *outageTest) serveByNewBackend() (blocked []*request) {
	for range oldBackends {
		before := r.old.received.Load()
		request := r.sendRequest()
		var result *response
		r.waitUntil("the request is in flight or answered, or its connection closed", func() bool {
			select {
			case a := <-request.responses:
				result = &a
				return true
			default:
				return r.old.received.Load() > before
			}
		})
		switch {
		case result == nil:
			blocked = append(blocked, request)
		case result.err != nil && r.old.received.Load() == before: // closed before the request was read
		case result.err != nil || result.status != http.StatusOK:
			r.t.Fatalf("a new request: status %d, %v", result.status, result.err)
		default:
			return blocked
		}
	}
	r.t.Fatal("no new request was served by the new backend")
	return nil
}

// connectIdleClients keeps idle clients connected to address until ctx ends, and replaces each that is
// closed. It returns how many have been closed.
func connectIdleClients(ctx context.Context, wg *sync.WaitGroup, address string) *atomic.Int64 {
	closed := &atomic.Int64{}
	for range idleClients {
		wg.Go(func() {
			for ctx.Err() == nil {
				conn, err := net.DialTimeout("tcp", address, eventTimeout)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { conn.Close() })
					io.Copy(io.Discard, conn) // until it is closed
					stop()
					conn.Close()
					if ctx.Err() == nil {
						closed.Add(1)
					}
				}
				select {
				case <-ctx.Done():
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
	return closed
}

// Idle clients use up all the descriptors that they can get while discovery is down. The gateway must keep
// calling discovery on new connections, learn of a new backend once discovery responds, call the counter and
// serve new requests, and must not close a connection with an open request.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	r := &outageTest{t: t, old: backendStandIn{released: make(chan struct{})}}
	r.startLimited()
	for range 4 * oldBackends { // the gateway learns its backends' latency
		r.expectServed("before the outage", r.sendRequest())
	}
	r.registry.set(true, r.registry.list)
	r.old.blocking.Store(true)
	r.old.received.Store(0)

	var blocked []*request
	for range blockedRequests {
		blocked = append(blocked, r.sendRequest())
	}
	r.waitUntil("all requests are in flight", func() bool { return r.old.received.Load() == blockedRequests })

	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	closed, limitsClosed := connectIdleClients(ctx, &wg, r.address), connectIdleClients(ctx, &wg, r.limitAddress)
	r.waitUntil("idle clients are closed", func() bool { return min(closed.Load(), limitsClosed.Load()) >= 2*idleClients })
	calls := r.registry.callsWhileDown()
	maxDescriptors := 0
	r.waitUntil("discovery is called again", func() bool {
		maxDescriptors = max(maxDescriptors, r.descriptors())
		return r.registry.callsWhileDown() >= calls+2
	})

	r.registry.set(false, r.listAfter)
	counterCalls := r.counter.calls.Load()
	r.waitUntil("the gateway has learned of the new backend", func() bool { return r.registry.hasSecondList.Load() })
	blocked = append(blocked, r.serveByNewBackend()...)
	if r.counter.calls.Load() == counterCalls {
		t.Error("the counter was not called")
	}
	t.Logf("%d descriptors at most, %d and %d idle clients closed", maxDescriptors, closed.Load(), limitsClosed.Load())
	if maxDescriptors+counterConns > descriptorLimit {
		t.Errorf("clients and backends left %d descriptors of %d; the counter's connections alone may be %d",
			descriptorLimit-maxDescriptors, descriptorLimit, counterConns)
	}
	close(r.old.released)
	for _, request := range blocked {
		r.expectServed("a blocked request", request)
	}
	if output := r.stopGateway(); strings.Contains(output, "too many open files") {
		t.Error("the gateway ran out of descriptors")
	}
}
