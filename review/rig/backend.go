package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// idleLimit is how long a backend keeps a connection on which nothing happens: keepaliveS of Settings.
const idleLimit = 15 * time.Second

// Attempt is one request that has come to a backend.
type Attempt struct {
	Backend  string
	Life     int // restarts of the backend before it
	ID       string
	Key      string
	Class    string
	Length   int64 // of the body
	Received time.Time
}

// Backend is a backend that answers as its Answer says.
type Backend struct {
	Instance Instance
	// Answer writes the answer to an attempt. It returns false if the connection is to be closed.
	Answer func(conn net.Conn, attempt Attempt) bool
	// Began is called with the id of a request whose head has come. It may be nil.
	Began func(id string)

	rig      *Rig
	mu       sync.Mutex
	listener net.Listener
	resumed  chan struct{} // closed when the backend is back; nil while it is not silent
	life     int
	conns    map[net.Conn]bool
	attempts []Attempt
}

// NewBackend returns a backend that is not started yet.
func (r *Rig) NewBackend(id string, cell int) *Backend {
	return &Backend{rig: r, conns: map[net.Conn]bool{}, Instance: Instance{ID: id, Zone: "block-a", MachineType: "std-2core", Cell: cell,
		Lifecycle: "Ready", Weight: 1}}
}

// Start opens the backend's listener and serves.
func (b *Backend) Start() error {
	l, err := b.rig.Listen()
	if err != nil {
		return err
	}
	b.Instance.HostPort = l.Addr().String()
	b.accept(l)
	return nil
}

// accept serves the connections of a listener until that is closed.
func (b *Backend) accept(l net.Listener) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listener = l
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			b.mu.Lock()
			b.conns[conn] = true
			b.mu.Unlock()
			go func() {
				b.serve(conn)
				conn.Close()
				b.mu.Lock()
				delete(b.conns, conn)
				b.mu.Unlock()
			}()
		}
	}()
}

// Crash resets the backend's connections and refuses new ones until Restart.
func (b *Backend) Crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rig.Log("backend %s crashes", b.Instance.ID)
	b.listener.Close()
	b.life++
	for conn := range b.conns {
		Reset(conn)
	}
}

// Restart starts a crashed backend anew at its address.
func (b *Backend) Restart() error {
	l, err := net.Listen("tcp", b.Instance.HostPort)
	if err != nil {
		return err
	}
	b.rig.OnClose(func() { l.Close() })
	b.rig.Log("backend %s is started anew", b.Instance.ID)
	b.accept(l)
	return nil
}

// FallSilent makes the backend read and write nothing until ComeBack.
func (b *Backend) FallSilent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rig.Log("backend %s falls silent", b.Instance.ID)
	b.resumed = make(chan struct{})
}

// ComeBack ends the silence: the backend has been started anew, so its old connections are reset.
func (b *Backend) ComeBack() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rig.Log("backend %s is back, started anew", b.Instance.ID)
	b.life++
	for conn := range b.conns {
		Reset(conn)
	}
	close(b.resumed)
	b.resumed = nil
}

// Pause waits while the backend is silent.
func (b *Backend) Pause() {
	b.mu.Lock()
	resumed := b.resumed
	b.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// pausing reads from a connection unless its backend is silent.
type pausing struct {
	net.Conn
	backend *Backend
}

// Read waits while the backend is silent.
func (p pausing) Read(buffer []byte) (int, error) {
	p.backend.Pause()
	n, err := p.Conn.Read(buffer)
	p.backend.Pause()
	return n, err
}

// serve answers the requests of one connection.
func (b *Backend) serve(conn net.Conn) {
	reader := bufio.NewReader(pausing{conn, b})
	for {
		conn.SetReadDeadline(time.Now().Add(idleLimit))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		conn.SetReadDeadline(time.Time{})
		request, err := http.ReadRequest(reader)
		if err != nil {
			b.rig.Log("backend %s: a head could not be read: %v", b.Instance.ID, err)
			return
		}
		id := request.Header.Get("X-Correlation-Id")
		if b.Began != nil {
			b.Began(id)
		}
		length, err := io.Copy(io.Discard, request.Body)
		if err != nil {
			b.rig.Log("backend %s: %s broke after %d bytes of its body: %v", b.Instance.ID, id, length, err)
			return
		}
		class, _, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/"), "/")
		attempt := Attempt{Backend: b.Instance.ID, ID: id, Key: request.Header.Get("Idempotency-Key"), Class: class, Length: length, Received: time.Now()}
		b.mu.Lock()
		attempt.Life = b.life
		b.attempts = append(b.attempts, attempt)
		b.mu.Unlock()
		b.rig.LogRequest("backend %s: %s has come whole, body of %d bytes, %s ms left", b.Instance.ID, id, length, request.Header.Get("X-Time-Left-Ms"))
		if !b.Answer(conn, attempt) {
			return
		}
	}
}

// Attempts returns the requests that have come whole.
func (b *Backend) Attempts() []Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Attempt(nil), b.attempts...)
}

// AnswerShort answers an attempt with a short body that names it.
func AnswerShort(conn net.Conn, attempt Attempt) bool {
	body := ShortBody(attempt.ID)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// ShortBody is the body of AnswerShort.
func ShortBody(id string) string { return "answer to " + id }

// Reset closes a connection so that its peer gets a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}
