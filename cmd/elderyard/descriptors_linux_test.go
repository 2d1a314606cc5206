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
	heldRequests    = 8
	counterConns    = 32               // of one gateway, as many as the counter takes
	idleClients     = 400              // of requests, and as many of limit commands
	eventPatience   = 40 * time.Second // bounds each wait; none is expected to last so long
)

// outageRig is all that stands round a gateway whose discovery has an outage.
type outageRig struct {
	t        *testing.T
	address  string // of the gateway, for clients
	limits   string // and for limit commands
	registry registryStandIn
	counter  counterStandIn
	old, new backendStandIn
	pid      int           // of the gateway
	end      func() string // kills it, and returns what it said
	after    string        // the list after the outage
	nextID   atomic.Int64
}

// registryStandIn answers with its list, and says nothing while it is down.
type registryStandIn struct {
	mu    sync.Mutex
	down  bool
	calls int // while down
	list  string
	told  atomic.Bool // the caller has the second list
}

func (r *registryStandIn) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	knows := q.URL.Query().Get("since") == "2"
	list, down := r.list, r.down || knows // nothing changes any more
	if r.down {
		r.calls++
	}
	r.mu.Unlock()
	if knows {
		r.told.Store(true)
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

// counterStandIn answers each call on a connection of its own.
type counterStandIn struct{ calls atomic.Int64 }

func (c *counterStandIn) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	c.calls.Add(1)
	w.Header().Set("Connection", "close")
	io.WriteString(w, q.URL.Query().Get("add")) // each name is asked for once or twice, far below its quota
}

// backendStandIn counts the requests that it begins, and answers them; while it holds them,
// once it is released.
type backendStandIn struct {
	begun    atomic.Int64
	holds    atomic.Bool
	released chan struct{}
}

func (b *backendStandIn) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	b.begun.Add(1)
	if !b.holds.Load() {
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

// startLimited starts the gateway in a process that may hold descriptorLimit descriptors.
func (r *outageRig) startLimited() {
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
	r.address, r.limits = unusedAddress(t), unusedAddress(t)
	text := fmt.Sprintf("[clients]\nsocket_share = 0.9\n[resp]\nlisten = %q\nmost_clients = 100\n", r.limits)
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
	r.end = sync.OnceValue(func() string {
		limited.Process.Kill()
		limited.Wait()
		return stderr.String()
	})
	t.Cleanup(func() {
		if said := r.end(); t.Failed() {
			t.Logf("the gateway said %.2000q", said)
		}
	})
	r.until("the gateway is ready", func() bool {
		resp, err := http.Get("http://" + r.address + "/health/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	r.after = after
}

// unusedAddress is one that no other test is likely to take before the program does.
func unusedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// descriptors is how many the gateway holds.
func (r *outageRig) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.pid))
	if err != nil {
		r.t.Fatal(err)
	}
	return len(entries)
}

func (r *outageRig) until(what string, is func() bool) {
	r.t.Helper()
	for end := time.Now().Add(eventPatience); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("never: %s", what)
		}
	}
}

// request is one of a client, on a connection of its own.
type request struct{ answered chan answer }

// answer is what a client reads: a status, or why there is none.
type answer struct {
	status int
	err    error
}

// ask sends a request of a customer of its own on a new connection.
func (r *outageRig) ask() *request {
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
	q := &request{make(chan answer, 1)}
	go func() {
		defer conn.Close()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			q.answered <- answer{0, err}
			return
		}
		_, err = io.Copy(io.Discard, resp.Body)
		q.answered <- answer{resp.StatusCode, err}
	}()
	return q
}

// served waits for the answer to a request, which must be 200.
func (r *outageRig) served(what string, q *request) {
	r.t.Helper()
	select {
	case a := <-q.answered:
		if a.err != nil || a.status != http.StatusOK {
			r.t.Errorf("%s: status %d, %v", what, a.status, a.err)
		}
	case <-time.After(eventPatience):
		r.t.Errorf("%s: no answer", what)
	}
}

// serveByNew sends new requests, each once the one before it is out, until one is served,
// which only the new backend does. It returns the others, which old backends hold. A new
// connection may be shut before its request is read.
func (r *outageRig) serveByNew() (held []*request) {
	for range oldBackends {
		before := r.old.begun.Load()
		q := r.ask()
		var got *answer
		r.until("the request is out or answered, or its connection shut", func() bool {
			select {
			case a := <-q.answered:
				got = &a
				return true
			default:
				return r.old.begun.Load() > before
			}
		})
		switch {
		case got == nil:
			held = append(held, q)
		case got.err != nil && r.old.begun.Load() == before: // shut unread
		case got.err != nil || got.status != http.StatusOK:
			r.t.Fatalf("a new request: status %d, %v", got.status, got.err)
		default:
			return held
		}
	}
	r.t.Fatal("no new request was served by the new backend")
	return nil
}

// flood keeps idle clients connected to address until ctx ends, a new one for each that is
// shut. It returns how many have been shut.
func flood(ctx context.Context, wg *sync.WaitGroup, address string) *atomic.Int64 {
	shut := &atomic.Int64{}
	for range idleClients {
		wg.Go(func() {
			for ctx.Err() == nil {
				conn, err := net.DialTimeout("tcp", address, eventPatience)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { conn.Close() })
					io.Copy(io.Discard, conn) // until it is shut
					stop()
					conn.Close()
					if ctx.Err() == nil {
						shut.Add(1)
					}
				}
				select {
				case <-ctx.Done():
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
	}
	return shut
}

// Idle clients take all the descriptors that they can get while discovery is down. The
// gateway keeps calling discovery on new connections, learns of a new backend once that
// answers, calls the counter and serves a new request; no request that had begun is shut.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	r := &outageRig{t: t, old: backendStandIn{released: make(chan struct{})}}
	r.startLimited()
	for range 4 * oldBackends { // the gateway learns how long an answer takes
		r.served("before the outage", r.ask())
	}
	r.registry.set(true, r.registry.list)
	r.old.holds.Store(true)
	r.old.begun.Store(0)

	var held []*request
	for range heldRequests {
		held = append(held, r.ask())
	}
	r.until("all requests are out", func() bool { return r.old.begun.Load() == heldRequests })

	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer stop()
	shut, limitsShut := flood(ctx, &wg, r.address), flood(ctx, &wg, r.limits)
	r.until("idle clients are shut", func() bool { return min(shut.Load(), limitsShut.Load()) >= 2*idleClients })
	calls := r.registry.callsWhileDown()
	most := 0
	r.until("discovery is called again", func() bool {
		most = max(most, r.descriptors())
		return r.registry.callsWhileDown() >= calls+2
	})

	r.registry.set(false, r.after)
	counted := r.counter.calls.Load()
	r.until("the gateway has learned of the new backend", func() bool { return r.registry.told.Load() })
	held = append(held, r.serveByNew()...)
	if r.counter.calls.Load() == counted {
		t.Error("the counter was not called")
	}
	t.Logf("%d descriptors at most, %d and %d idle clients shut", most, shut.Load(), limitsShut.Load())
	if most+counterConns > descriptorLimit {
		t.Errorf("clients and backends left %d descriptors of %d; the counter's connections alone may be %d",
			descriptorLimit-most, descriptorLimit, counterConns)
	}
	close(r.old.released)
	for _, q := range held {
		r.served("a request that was held", q)
	}
	if said := r.end(); strings.Contains(said, "too many open files") {
		t.Error("the gateway ran out of descriptors")
	}
}
