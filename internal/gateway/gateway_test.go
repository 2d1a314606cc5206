package gateway

import (
	"bufio"
	"context"
	"elderyard/internal/config"
	"elderyard/internal/discovery"
	"elderyard/internal/site"
	"elderyard/internal/telemetry"
	"elderyard/internal/testpeer"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// rig is a whole gateway between loopback sockets.
type rig struct {
	address  string
	desk     string // the operators' address, if it has one
	state    string // the folder of what outlives an upgrade
	registry *testpeer.Registry
	stop     context.CancelFunc
	ended    chan error
	hup      chan os.Signal
	config   atomic.Pointer[string] // what a reload reads
}

// newRig starts a gateway that knows the given backends and waits until it is
// ready.
func newRig(t *testing.T, backends ...*peer) *rig {
	t.Helper()
	return newRigWith(t, func(text string) string { return text }, backends...)
}

// newRigWith does so with another configuration.
func newRigWith(t *testing.T, change func(config string) string, backends ...*peer) *rig {
	t.Helper()
	return newRigFor(t, nil, change, backends...)
}

// newRigFor does so with an exporter, unless that is nil.
func newRigFor(t *testing.T, export *telemetry.Settings, change func(config string) string, backends ...*peer) *rig {
	t.Helper()
	r := &rig{registry: testpeer.NewRegistry(t), ended: make(chan error, 1), hup: make(chan os.Signal)}
	text := change(testpeer.ConfigText(r.registry.Address(), testpeer.Settings))
	c, err := config.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	var desk net.Listener
	if c.Operator != "" {
		if desk, err = net.Listen("tcp", c.Operator); err != nil {
			t.Fatal(err)
		}
		r.desk = desk.Addr().String()
		r.state = t.TempDir()
		c.StateDir = r.state
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	r.config.Store(&text)
	reload := Reload{r.hup, func() (config.Config, error) { return config.Parse([]byte(*r.config.Load())) }}
	done := make(chan struct{})
	go func() { defer close(done); r.ended <- serve(ctx, &c, l, desk, export, nil, reload) }()
	t.Cleanup(func() { stop(); <-done })
	if got := r.ready(t); got != http.StatusServiceUnavailable {
		t.Errorf("ready before the list is had: %d", got)
	}
	r.registry.Answers <- listing(true, "Ready", backends...)
	r.until(t, http.StatusOK)
	return r
}

func listing(reset bool, lifecycle string, backends ...*peer) discovery.Listing {
	l := discovery.Listing{Generation: 1, Reset: reset}
	for _, b := range backends {
		l.Instances = append(l.Instances, discovery.Instance{ID: b.Address(), HostPort: b.Address(), Zone: "a", MachineType: "m",
			Lifecycle: lifecycle, Weight: 1})
	}
	return l
}

func (r *rig) ready(t *testing.T) int {
	t.Helper()
	resp, err := http.Get("http://" + r.address + readyPath)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

func (r *rig) until(t *testing.T, status int) {
	t.Helper()
	for end := time.Now().Add(patience); r.ready(t) != status; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("readiness never became %d", status)
		}
	}
}

var asked atomic.Int64 // requests have ids of their own

func ask(method, class, body string, change ...string) string {
	headers := map[string]string{idHeader: fmt.Sprintf("%016x", asked.Add(1)), classHeader: class, planHeader: "basic",
		clientHeader: "00000000b4d65521", leftHeader: "15000", termsHeader: "units=2,spread=2,first=1", keyHeader: "k1"}
	path := "/" + class
	for i := 0; i < len(change); i += 2 {
		if change[i] == "path" {
			path = change[i+1]
		} else if headers[change[i]] = change[i+1]; change[i+1] == "" {
			delete(headers, change[i])
		}
	}
	text := method + " " + path + " HTTP/1.1\r\nHost: origin.svc\r\n"
	for k, v := range headers {
		text += k + ": " + v + "\r\n"
	}
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return text + "\r\n" + body
}

// client sends one request and returns the channel of its answer.
func (r *rig) client(t *testing.T, text string) (net.Conn, <-chan *http.Response) {
	t.Helper()
	conn, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	answers := make(chan *http.Response, 1)
	go func() {
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			answers <- resp
		}
	}()
	return conn, answers
}

func serveOne(t *testing.T, backend *peer, body string) {
	t.Helper()
	conn, r := backend.Accept(t)
	readRequest(t, r)
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nX-Backend-Load: {}\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func TestServed(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newRig(t, backend)
	_, answers := r.client(t, ask("POST", "booking", "pickup"))
	serveOne(t, backend, "booked\n")
	resp := wait(t, answers, "answer")
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != 200 || string(body) != "booked\n" || err != nil || resp.Header.Get("Content-Type") != "text/x" || resp.Header.Get(loadHeader) != "" {
		t.Errorf("%d %q %v %v", resp.StatusCode, body, resp.Header, err)
	}
}

// What is not understood is turned down: a default could charge the wrong
// customer, or repeat what must not run twice.
func TestMalformed(t *testing.T) {
	t.Parallel()
	r := newRig(t, newPeer(t))
	for _, c := range []struct {
		name, text string
		status     int
	}{
		{"no id", ask("GET", "lookup", "", idHeader, ""), 400},
		{"unknown class", ask("GET", "lookups", ""), 400},
		{"another path", ask("GET", "lookup", "", "path", "/booking"), 400},
		{"a path with no first part", ask("GET", "lookup", "", "path", "//lookup"), 400},
		{"unknown plan", ask("GET", "lookup", "", planHeader, "gold"), 400},
		{"a short customer", ask("GET", "lookup", "", clientHeader, "b4d65521"), 400},
		{"a customer too high", ask("GET", "lookup", "", clientHeader, "0000000200000000"), 400},
		{"no time", ask("GET", "lookup", "", leftHeader, ""), 400},
		{"no time left", ask("GET", "lookup", "", leftHeader, "0"), 400},
		{"time without end", ask("GET", "lookup", "", leftHeader, "99999999999999999999"), 400},
		{"no terms", ask("GET", "lookup", "", termsHeader, ""), 400},
		{"no number", ask("GET", "lookup", "", termsHeader, "units=NaN,spread=2,first=0"), 400},
		{"too many units", ask("GET", "lookup", "", termsHeader, "units=5,spread=2,first=0"), 400},
		{"a set beyond the fleet", ask("GET", "lookup", "", termsHeader, "units=1,spread=3,first=0"), 400},
		{"a gateway beyond the fleet", ask("GET", "lookup", "", termsHeader, "units=1,spread=2,first=2"), 400},
		{"no key", ask("POST", "booking", "x", keyHeader, ""), 400},
		{"the wrong method", ask("POST", "lookup", "x"), 405},
		{"a keyed GET", ask("GET", "booking", ""), 405},
		{"a huge body", ask("POST", "booking", "", "Content-Length", strconv.Itoa(mostBulk+1)), 413},
		{"chunks that are none", ask("POST", "booking", "", "Transfer-Encoding", "chunked") + "x\r\n", 400},
		{"a body that is too short in chunks", ask("POST", "booking", "", "Transfer-Encoding", "chunked") + "2\r\no", 400},
		{"a set told twice", ask("GET", "lookup", "", termsHeader, "units=1,spread=2,spread=1,first=0"), 400},
		{"a header told twice", ask("GET", "lookup", "", planHeader, "basic\r\n"+planHeader+": basic"), 400},
		{"a GET with a body", ask("GET", "lookup", "x"), 400},
		{"two lengths", ask("POST", "booking", "ok", "content-length", "3"), 400},
		{"a negative length", ask("POST", "booking", "", "Content-Length", "-2"), 400},
		{"HTTP/1.0", strings.Replace(ask("GET", "lookup", ""), "HTTP/1.1", "HTTP/1.0", 1), 505},
		{"endless headers", ask("GET", "lookup", "", "X", strings.Repeat("x", 4*mostHeader)), 431},
	} {
		_, answers := r.client(t, c.text)
		if resp := wait(t, answers, "answer to "+c.name); resp.StatusCode != c.status || !resp.Close {
			t.Errorf("%s: status %d, want %d; closed %t", c.name, resp.StatusCode, c.status, resp.Close)
		}
	}
}

// A length beside chunks may hide a request in the body, or behind it: neither
// may reach a backend.
func TestHiddenRequest(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newRig(t, backend)
	hidden := ask("POST", "booking", "hidden")
	conn, answers := r.client(t, ask("POST", "booking", "", "Transfer-Encoding", "chunked",
		"Content-Length", fmt.Sprint(5+len(hidden)))+"0\r\n\r\n"+hidden)
	if resp := wait(t, answers, "answer"); resp.StatusCode != 400 || !resp.Close {
		t.Errorf("status %d, closed %t", resp.StatusCode, resp.Close)
	}
	if rest, err := io.ReadAll(conn); isTimeout(err) {
		t.Errorf("the connection stays: %q", rest)
	}
	if n := len(backend.Conns); n > 0 {
		t.Errorf("%d connections to the backend", n)
	}
}

// One id is one request: another client's under the same is turned down, also
// just after the first has been answered, and the first keeps its answer.
func TestIdTwice(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newRig(t, backend)
	_, first := r.client(t, ask("POST", "booking", "mine", idHeader, "one"))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	for range 2 {
		_, second := r.client(t, ask("GET", "lookup", "", idHeader, "one"))
		if resp := wait(t, second, "answer to the second"); resp.StatusCode != 409 {
			t.Errorf("the second: status %d", resp.StatusCode)
		}
		if len(backend.Conns) > 0 {
			t.Error("the second went to the backend")
		}
		if conn != nil {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine")
			if resp := wait(t, first, "answer to the first"); resp.StatusCode != 200 {
				t.Errorf("the first: status %d", resp.StatusCode)
			}
			conn = nil
		}
	}
}

// A refusal promises that nothing ran. An unsafe or keyed request that may have
// run fails instead, and is not sent again by anything below the module either.
func TestBreakAfterLastByte(t *testing.T) {
	t.Parallel()
	for class, status := range map[string]int{"payment": 502, "booking": 200} {
		backend := newPeer(t)
		r := newRig(t, backend)
		_, answers := r.client(t, ask("POST", class, "x"))
		conn, br := backend.Accept(t)
		readRequest(t, br)
		conn.Close()
		if status == 200 {
			serveOne(t, backend, "ok") // in its group and within its window a keyed request may go out again
		}
		if resp := wait(t, answers, "answer"); resp.StatusCode != status {
			t.Errorf("%s: status %d, want %d", class, resp.StatusCode, status)
		}
		if n := len(backend.Conns); n > 0 {
			t.Errorf("%s: %d more connections", class, n)
		}
	}
}

// A backend that says nothing must not hold a request beyond its aim, and its
// late answer must reach nobody.
func TestSilence(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newRig(t, backend)
	conn, answers := r.client(t, ask("GET", "glance", ""))
	_, br := backend.Accept(t)
	readRequest(t, br)
	resp := wait(t, answers, "answer")
	if resp.StatusCode != 429 || resp.Header.Get("Retry-After") != "0.5" {
		t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the given-up attempt's connection: %v", err)
	}
	// The client's connection carries the next request, and that one's answer only.
	io.WriteString(conn, ask("GET", "lookup", ""))
	serveOne(t, backend, "second")
	next, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || next.StatusCode != 200 {
		t.Fatalf("%v, %v", next, err)
	}
	if body, _ := io.ReadAll(next.Body); string(body) != "second" {
		t.Errorf("body %q", body)
	}
}

// A counter that says nothing must not stop customers inside their quotas: the
// call is given up and the gateway's own share pays.
func TestSilentCounter(t *testing.T) {
	t.Parallel()
	backend, counter := newPeer(t), newPeer(t)
	r := newRigWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 5, "depth": 20}`,
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 1`).Replace, backend)
	_, answers := r.client(t, ask("GET", "lookup", ""))
	_, calls := counter.Accept(t)
	readRequest(t, calls)
	serveOne(t, backend, "ok")
	if resp := wait(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// An answer of the counter that begins and never ends is no silence: the amount
// was added, so the customer is asked for again at once and it is taken back.
func TestCounterAnswerWithoutEnd(t *testing.T) {
	t.Parallel()
	backend, counter := newPeer(t), newPeer(t)
	r := newRigWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 0.001, "depth": 2}`, // the gateway's own share is too small to pay again
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 0.5`).Replace, backend)
	_, answers := r.client(t, ask("GET", "lookup", ""))
	conn, calls := counter.Accept(t)
	first, _ := readRequest(t, calls)
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nX: ")
	conn, calls = counter.Accept(t)
	second, _ := readRequest(t, calls)
	added := 0.0
	for _, call := range []*http.Request{first, second} {
		n, err := strconv.ParseFloat(call.URL.Query().Get("add"), 64)
		if err != nil {
			t.Fatal(err)
		}
		added += n
	}
	total(conn, http.StatusOK, strconv.FormatFloat(added, 'f', -1, 64))
	serveOne(t, backend, "ok")
	if resp := wait(t, answers, "answer"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// An answer that comes after its call was given up says what was added: the
// request that waits is let in by it.
func TestLateTotal(t *testing.T) {
	t.Parallel()
	const timeout = 200 * time.Millisecond
	backend, counter := newPeer(t), newPeer(t)
	r := newRigWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 0.001, "depth": 2}`, // the gateway's own share is too small to pay
		`"mostUnits": 4`, fmt.Sprintf(`"mostUnits": 4, "hasCounter": true, "counterTimeoutS": %g`, timeout.Seconds())).Replace, backend)
	_, answers := r.client(t, ask("GET", "lookup", ""))
	conn, calls := counter.Accept(t)
	first, _ := readRequest(t, calls)
	time.Sleep(timeout * 3 / 2) // the answer counts whenever it comes; here most likely late
	total(conn, http.StatusOK, first.URL.Query().Get("add"))
	serveOne(t, backend, "ok") // and no other call is answered
	if resp := wait(t, answers, "answer"); resp.StatusCode != http.StatusOK {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// What a call wrote off and was added, though its answer told no total, must not
// stay in a store that another gateway has begun: its customer would be missing it
// till the window ends.
func TestRefillWithoutTotalIsTakenBack(t *testing.T) {
	t.Parallel()
	for name, spoil := range map[string]func(net.Conn){
		"spoilt": func(c net.Conn) { total(c, http.StatusOK, "no number") },
		"cut":    func(c net.Conn) { c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const depth = 2000.0
			counter := newPeer(t)
			r := newRigWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
				`"pays": 1}`, fmt.Sprintf(`"pays": 1, "unitsPerS": 1000, "depth": %g}`, depth),
				`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 30`).Replace, newPeer(t))
			r.client(t, ask("GET", "lookup", ""))
			added := func(calls *bufio.Reader) (string, float64) {
				req, _ := readRequest(t, calls)
				n, err := strconv.ParseFloat(req.URL.Query().Get("add"), 64)
				if err != nil {
					t.Fatal(err)
				}
				return req.URL.Path, n
			}
			conn, calls := counter.Accept(t)
			window, first := added(calls)
			others := first // another gateway began the window in the same way
			spoil(conn)
			conn, calls = counter.Accept(t)
			again, second := added(calls)
			if again != window {
				t.Skip("the window has just ended")
			}
			total(conn, http.StatusOK, strconv.FormatFloat(others+first+second, 'f', -1, 64))
			_, third := added(calls)
			if left := first + second + third; left > 2*depth {
				t.Errorf("%g + %g + %g: %g stay in a store of %g beside what is there", first, second, third, left, depth)
			}
		})
	}
}

// A reload moves discovery and counter under load and loses nothing: what is
// held is answered, the new discovery is asked for its whole list, the counter's
// call that is out is still taken from the old one, and a bad file changes nothing.
func TestReload(t *testing.T) {
	t.Parallel()
	backend, second, counter, moved := newPeer(t), newPeer(t), newPeer(t), newPeer(t)
	r := newRigWith(t, strings.NewReplacer(`"127.0.0.1:1"`, `"`+counter.Address()+`"`,
		`"pays": 1}`, `"pays": 1, "unitsPerS": 5, "depth": 20}`,
		`"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 30`).Replace, backend)
	_, held := r.client(t, ask("GET", "lookup", ""))
	calls, cr := counter.Accept(t)
	readRequest(t, cr) // not answered yet

	good := *r.config.Load()
	bad := good[:len(good)/2]
	r.config.Store(&bad)
	r.hup <- syscall.SIGHUP
	other := testpeer.NewRegistry(t)
	next := strings.NewReplacer(r.registry.Address(), other.Address(), counter.Address(), moved.Address()).Replace(good)
	r.config.Store(&next)
	r.hup <- syscall.SIGHUP
	if query := wait(t, other.Calls, "call of the new discovery"); query != "" {
		t.Errorf("the new discovery was asked for %q, not for the whole list", query)
	}
	total(calls, 200, "12")
	serveOne(t, backend, "held")
	if resp := wait(t, held, "answer"); resp.StatusCode != 200 {
		t.Errorf("the request that was held: status %d", resp.StatusCode)
	}
	if _, err := cr.ReadByte(); err != io.EOF {
		t.Errorf("the old counter's connection: %v", err)
	}
	other.Answers <- listing(true, "Ready", second)
	if query := wait(t, other.Calls, "watch"); query != "since=1&timeout_ms=4000" {
		t.Errorf("watch %q", query)
	}
	_, answers := r.client(t, ask("GET", "lookup", "", clientHeader, "0000000000000001"))
	calls, cr = moved.Accept(t)
	readRequest(t, cr)
	total(calls, 200, "12")
	serveOne(t, second, "ok")
	if resp := wait(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("the next request: status %d", resp.StatusCode)
	}
}

// Work for a client that has left is wasted: its attempt is called off.
func TestClientLeaves(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newRig(t, backend)
	conn, _ := r.client(t, ask("POST", "booking", "x"))
	_, br := backend.Accept(t)
	readRequest(t, br)
	conn.Close()
	if _, err := br.ReadByte(); err != io.EOF {
		t.Errorf("the attempt's connection: %v", err)
	}
}

func TestRefusedBackendAndDrain(t *testing.T) {
	t.Parallel()
	dead, backend := newPeer(t), newPeer(t)
	r := newRig(t, dead, backend)
	dead.Listener.Close()
	for range 4 { // none is lost, whichever is picked first
		_, answers := r.client(t, ask("POST", "payment", "x"))
		conn, br := backend.Accept(t)
		readRequest(t, br)
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		if resp := wait(t, answers, "answer"); resp.StatusCode != 200 {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	// The call after the one that told of the drain shows that it was heard.
	wait(t, r.registry.Calls, "first list")
	wait(t, r.registry.Calls, "watch")
	r.registry.Answers <- listing(false, "Terminating", backend)
	wait(t, r.registry.Calls, "next watch")
	_, answers := r.client(t, ask("GET", "glance", ""))
	if resp := wait(t, answers, "answer"); resp.StatusCode != 429 || len(backend.Conns) != 0 {
		t.Errorf("status %d, %d connections to the draining backend", resp.StatusCode, len(backend.Conns))
	}
}

// After SIGTERM nothing that was taken may be lost: what is held is answered,
// and what still comes is taken for a while.
func TestStop(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newRig(t, backend)
	_, held := r.client(t, ask("POST", "booking", "held"))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	unused, err := net.Dial("tcp", r.address) // must not hold up the end
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	idle, first := r.client(t, "GET "+readyPath+" HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	wait(t, first, "answer") // leaves an idle connection behind
	idle.SetReadDeadline(time.Now().Add(patience))
	r.stop()
	if _, err := io.ReadAll(idle); err != nil {
		t.Errorf("the idle connection after the stop: %v", err)
	}
	r.until(t, http.StatusServiceUnavailable)
	_, late := r.client(t, ask("POST", "booking", "late"))
	serveOne(t, backend, "late")
	if resp := wait(t, late, "answer"); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("a late request: status %d, connection closed %t", resp.StatusCode, resp.Close)
	}
	r.closed(t)
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	if resp := wait(t, held, "answer"); resp.StatusCode != 200 {
		t.Errorf("the held request: status %d", resp.StatusCode)
	}
	if err := wait(t, r.ended, "end"); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Where memory is short it bounds the clients' connections before descriptors
// do, but leaves room for the third of these that requests may take.
func TestMostClients(t *testing.T) {
	for _, c := range []struct{ memory, sockets, want int }{
		{192, 1024, 720}, {192, 256, 144}, {32, 256, 144}, {32, 1024, 341},
	} {
		if got := mostClients(&config.Config{Site: site.Defaults(), MemoryMB: c.memory, Sockets: c.sockets}, reserved); got != c.want {
			t.Errorf("%d MB, %d sockets: %d, want %d", c.memory, c.sockets, got, c.want)
		}
	}
}

// Whatever clients of any kind and backends hold, the descriptors that are the gateway's own
// stay free, and each kind has some.
func TestDivideDescriptors(t *testing.T) {
	for _, c := range []struct {
		sockets, limitClients int
		fellows, operator     bool
		want                  descriptors
	}{
		{256, 0, false, false, descriptors{64, 0, 144, 48}},
		{512, 0, false, false, descriptors{64, 0, 336, 112}},
		{1024, 0, false, false, descriptors{64, 0, 720, 240}},
		{1024, 64, false, true, descriptors{76, 66, 661, 221}},
		{256, 64, true, true, descriptors{100, 39, 87, 30}},
		{128, 64, false, true, descriptors{76, 13, 29, 10}},
		{128, 100000, true, true, descriptors{100, 7, 15, 6}},
	} {
		conf := &config.Config{Site: site.Defaults(), MemoryMB: 192, Sockets: c.sockets}
		if c.limitClients > 0 {
			conf.Site.RESP.Listen, conf.Site.RESP.Most = "127.0.0.1:0", c.limitClients
		}
		got := divideDescriptors(conf, c.fellows, c.operator)
		if sum := got.own + got.limitClients + got.clients + got.backends; got != c.want || sum != c.sockets {
			t.Errorf("%+v: %+v, of %d", c, got, sum)
		}
	}
}
