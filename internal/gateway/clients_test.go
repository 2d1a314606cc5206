package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
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
	conn, br := backend.accept(t)
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
	c := newClients(nil, 1)
	pair := func(s http.ConnState, age time.Duration) (near, far net.Conn) {
		far, err := net.Dial("tcp", p.address())
		if err != nil {
			t.Fatal(err)
		}
		near, _ = p.accept(t)
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
	for end := time.Now().Add(patience); alive(arrived) && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // the byte is on its way through the kernel
	}
	idle, _ := pair(http.StateIdle, time.Hour)
	open, _ := pair(http.StateActive, 0)
	recent, _ := pair(http.StateIdle, idleGrace/2)
	silent, _ := pair(http.StateNew, time.Minute)
	fresh, _ := pair(http.StateNew, 0)
	if c.makeRoom() {
		t.Error("room where there is none")
	}
	for conn, want := range map[net.Conn]bool{arrived: true, idle: false, open: true, recent: true, silent: false, fresh: true} {
		if _, kept := c.conns[conn]; kept != want {
			t.Errorf("%v: kept %t", conn.RemoteAddr(), kept)
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
