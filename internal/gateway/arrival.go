package gateway

import (
	"sync"
	"time"

	"elderyard/internal/sockets"
)

const (
	arrivalSampleInterval = 100 * time.Millisecond
	openWindowBytes       = 16 << 10 // unread, below which a receive window is open and a client is not held back
)

// arrivalTracker estimates when a client has sent the last byte of a request whose body is streamed. Where a backend is
// slow to accept the body, the rest of it waits in the sockets, but the client has sent it and its time runs.
//
// The estimate is never late: it is the last time at which the gateway saw that the client had more to send. It is too
// early where a receive window was closed and the client could not send.
type arrivalTracker struct {
	conn *clientConn // nil if unknown: the body counts as sent when it has been forwarded

	mu         sync.Mutex
	reading    bool  // the body is being read
	waiting    bool  // and nothing had arrived when the read began
	arrived    int64 // bytes that had arrived on the connection at the last sample
	sampledAt  time.Time
	lastByteAt time.Time // the last byte was sent no earlier
}

func newArrivalTracker(conn *clientConn) *arrivalTracker {
	now := time.Now()
	return &arrivalTracker{conn: conn, sampledAt: now, lastByteAt: now}
}

// beginRead must be called before each read of the body.
func (t *arrivalTracker) beginRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reading, t.waiting = true, false
	if t.bodyReceived() {
		return
	}
	unread, known := t.unread()
	t.waiting = !known || unread == 0
}

// endRead must be called after each read of the body.
func (t *arrivalTracker) endRead() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.waiting {
		t.lastByteAt = time.Now() // when what the read returned had just arrived
	}
	t.reading, t.waiting = false, false
}

// sample updates the estimate while the body is not being read, because the backend accepts no more of it.
func (t *arrivalTracker) sample() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	switch unread, known := t.unread(); {
	case t.waiting || !known:
		t.lastByteAt = now
	case t.reading || t.bodyReceived():
		return
	case unread == 0:
		t.lastByteAt = now
	default:
		t.recordArrival(unread)
	}
	t.sampledAt = now
}

// recordArrival records how many bytes wait to be read. If more have arrived since the last sample, the client sent
// them since, unless they could not be sent earlier.
func (t *arrivalTracker) recordArrival(unread int) {
	arrived := t.conn.received.Load() + int64(unread)
	if arrived > t.arrived && unread < openWindowBytes && t.lastByteAt.Before(t.sampledAt) {
		t.lastByteAt = t.sampledAt
	}
	t.arrived = arrived
}

// estimate returns the time before which the last byte was not sent.
func (t *arrivalTracker) estimate() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastByteAt
}

// bodyReceived reports whether the whole body has been read from the socket, though perhaps not by the request's handler.
func (t *arrivalTracker) bodyReceived() bool { return t.conn != nil && t.conn.bodyReceived.Load() }

func (t *arrivalTracker) unread() (bytes int, known bool) {
	if t.conn == nil {
		return 0, false
	}
	return sockets.Unread(t.conn.TCPConn)
}
