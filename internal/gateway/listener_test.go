package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"elderyard/internal/config"
	"elderyard/internal/sockets"
	"elderyard/rules"
)

// Connections that say nothing, however many, must not keep a usual client
// from being served, and end by themselves.
func TestSilentClients(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newRigWith(t, strings.NewReplacer(`"sockets": 256`, `"sockets": 128`).Replace, backend)
	var silent []net.Conn
	for range 100 { // the bound is below 40
		c, err := net.Dial("tcp", r.address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	_, answers := r.client(t, ask("POST", "booking", "x"))
	serveOne(t, backend, "ok")
	if resp := wait(t, answers, "answer"); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
	for i, c := range silent {
		c.SetReadDeadline(time.Now().Add(patience))
		if n, err := c.Read(make([]byte, 1)); err == nil || isTimeout(err) {
			t.Errorf("silent connection %d: %d bytes, %v", i, n, err)
		}
	}
}

func isTimeout(err error) bool {
	e, ok := err.(net.Error)
	return ok && e.Timeout()
}

// What never becomes a whole request is owed an error or a close in time, and a
// request that waits for its answer is not cut off for it.
func TestHalfRequests(t *testing.T) {
	t.Parallel()
	backend := newPeer(t)
	r := newRig(t, backend)
	_, held := r.client(t, ask("GET", "lookup", ""))
	conn, br := backend.Accept(t)
	readRequest(t, br)
	whole := ask("POST", "booking", "pickup")
	for _, text := range []string{whole[:10], whole[:len(whole)-1]} {
		c, _ := net.Dial("tcp", r.address)
		defer c.Close()
		io.WriteString(c, text)
		c.SetReadDeadline(time.Now().Add(patience))
		if _, err := io.ReadAll(c); isTimeout(err) {
			t.Errorf("after %d bytes the connection stays", len(text))
		}
	}
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") // later than the time-out for reading
	if resp := wait(t, held, "answer"); resp.StatusCode != 200 {
		t.Errorf("the request that was held: status %d", resp.StatusCode)
	}
}

// Room is made by closing what has been quiet for the longest, but nothing that
// an unread request has just arrived on, no open request and no new idle one.
func TestMakeRoom(t *testing.T) {
	p := newPeer(t)
	c := newClients(nil, 0)
	pair := func(s http.ConnState, age time.Duration) (near, far net.Conn) {
		far, err := net.Dial("tcp", p.Address())
		if err != nil {
			t.Fatal(err)
		}
		near, _ = p.Accept(t)
		t.Cleanup(func() { far.Close(); near.Close() })
		c.state(near, http.StateNew)
		if c.state(near, s); c.conns[near] != nil {
			q := c.conns[near].Value.(quietConn)
			q.since = q.since.Add(-age)
			c.conns[near].Value = q
		}
		return near, far
	}
	arrived, far := pair(http.StateNew, time.Hour)
	io.WriteString(far, "G")
	for end := time.Now().Add(patience); sockets.Alive(arrived) && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the byte is on its way through the kernel
	}
	idle, _ := pair(http.StateIdle, time.Hour)
	silent, _ := pair(http.StateNew, time.Minute)
	open, _ := pair(http.StateActive, 0)
	recent, _ := pair(http.StateIdle, quietGrace/2)
	fresh, _ := pair(http.StateNew, 0)
	for i, step := range []struct {
		most int
		room bool
		kept []net.Conn
	}{
		{8, true, []net.Conn{arrived, idle, silent, open, recent, fresh}}, // below the soft bound
		{6, true, []net.Conn{arrived, open, recent, fresh}},
		{5, true, []net.Conn{arrived, open, recent, fresh}}, // room enough for what was quiet for less than 2 s
		{4, true, []net.Conn{arrived, open, fresh}},         // none at all
		{3, false, []net.Conn{arrived, open, fresh}},
	} {
		c.most = step.most
		if got := c.makeRoom(); got != step.room {
			t.Errorf("step %d: room %t", i, got)
		}
		for _, conn := range step.kept {
			if _, kept := c.conns[conn]; !kept || len(c.conns) != len(step.kept) {
				t.Errorf("step %d: %d connections kept, want %d", i, len(c.conns), len(step.kept))
			}
		}
	}
	c.state(idle, http.StateClosed) // the server says so later; it is off the books already
	for conn := range c.conns {
		c.state(conn, http.StateClosed)
	}
	if !c.makeRoom() || c.quiet.Len() != 0 {
		t.Errorf("no room when all have gone; %d quiet", c.quiet.Len())
	}
}

// TestARequestOnTheLastConnectionIsAnswered: its client connected just before the
// gateway took no more.
func TestARequestOnTheLastConnectionIsAnswered(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newClients(l, 10)
	c.cross = 2 * time.Second
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: c.state}
	config := &config.Config{}
	config.Classes = []rules.Class{{Timeout: patience.Seconds()}}
	took := make(chan struct{})
	go func() { defer close(took); server.Serve(c) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(patience))
	for end := time.Now().Add(patience); ; time.Sleep(time.Millisecond) { // until it is taken
		c.mu.Lock()
		n := len(c.conns)
		c.mu.Unlock()
		if n == 1 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the connection was not taken")
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- shutdown(config, &frontend{}, c, server, took) }()
	(&rig{address: l.Addr().String()}).closed(t)
	io.WriteString(conn, "GET / HTTP/1.1\r\nHost: origin.svc\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	resp.Body.Close()
	if err := wait(t, ended, "end"); err != nil {
		t.Fatal(err)
	}
}
