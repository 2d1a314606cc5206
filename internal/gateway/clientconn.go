package gateway

import (
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"

	"elderyard/internal/sockets"
)

// clientConn is a client's connection that checks the framing of its requests, and is marked if that is
// ambiguous. It also detects a disconnect behind pipelined bytes, and closes as idle only if no request has started.
type clientConn struct {
	*net.TCPConn
	ambiguous  atomic.Bool
	phase      atomic.Int32 // awaitingRequest, requestOpen or responding
	peerClosed atomic.Bool  // the client's disconnect was detected while a request was open

	received     atomic.Int64 // bytes that were read from the socket
	bodyReceived atomic.Bool  // the last request whose header has been read has been read to its end

	mu             sync.Mutex
	requestStarted bool // bytes have arrived since the last response
	closedAsIdle   bool // later reads must not return a request

	pipelined []byte // bytes behind the open request; owned by the reader

	framing framingScanner // owned by the reader
}

// Phases of a client's connection.
const (
	awaitingRequest int32 = iota
	requestOpen           // a request has arrived and has no response yet
	responding            // its response is being written
)

const maxPipelined = 4 << 10 // bytes that a client may send behind an open request

var errTooManyFields = errors.New("too many header fields")

var errPipelined = errors.New("client sent too much data without waiting for the response")

// Read is called only by the HTTP server. While a request is open, the server reads one byte to detect a
// disconnect.
func (cc *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && cc.phase.Load() != awaitingRequest {
		return cc.watchForClose(p)
	}
	var n int
	var err error
	if len(cc.pipelined) > 0 {
		if n = copy(p, cc.pipelined); n == len(cc.pipelined) {
			cc.pipelined = nil
		} else {
			cc.pipelined = cc.pipelined[n:]
		}
	} else {
		n, err = cc.TCPConn.Read(p)
		cc.received.Add(int64(n))
	}
	if n > 0 && !cc.markStarted() {
		return 0, net.ErrClosed
	}
	cc.scan(p[:n])
	if cc.framing.tooManyFields {
		return 0, errTooManyFields // before they are parsed; the server responds 400
	}
	return n, err
}

// watchForClose waits for a disconnect and keeps the bytes that arrive before it. A single byte behind the
// request would otherwise hide the disconnect, be it a close or a reset, and work would go on for nobody.
// A client that exceeds maxPipelined before its response counts as disconnected, as its disconnect could
// be behind any number of bytes. Once the response has started, it may send more.
func (cc *clientConn) watchForClose(p []byte) (int, error) {
	n, err := cc.TCPConn.Read(p)
	cc.pipelined = append(cc.pipelined, p[:n]...)
	for err == nil {
		space := maxPipelined - len(cc.pipelined)
		switch {
		case space > 0:
			cc.pipelined = slices.Grow(cc.pipelined, space)
			n, err = cc.TCPConn.Read(cc.pipelined[len(cc.pipelined) : len(cc.pipelined)+space])
			cc.pipelined = cc.pipelined[:len(cc.pipelined)+n]
		case cc.phase.Load() == responding:
			p[0], cc.pipelined = cc.pipelined[0], cc.pipelined[1:]
			cc.scan(p)
			return 1, nil
		default:
			cc.peerClosed.Store(true)
			return 0, errPipelined
		}
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) { // the server ends its read with this error
		cc.peerClosed.Store(true)
	}
	return 0, err
}

// clientDisconnected reports, without blocking, whether the client has disconnected.
func (cc *clientConn) clientDisconnected() bool {
	return cc.peerClosed.Load() || sockets.PeerClosed(cc.TCPConn)
}

// markStarted records that bytes have arrived, and reports whether the connection is still open.
func (cc *clientConn) markStarted() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.requestStarted = true
	return !cc.closedAsIdle
}

// onStateChange follows the connection's state in the HTTP server. Pipelined bytes start the next request.
func (cc *clientConn) onStateChange(state http.ConnState) {
	switch state {
	case http.StateActive:
		cc.phase.Store(requestOpen)
	case http.StateIdle:
		cc.phase.Store(awaitingRequest)
		cc.mu.Lock()
		defer cc.mu.Unlock()
		cc.requestStarted = len(cc.pipelined) > 0
	}
}

// markResponding records that the response is being written.
func (cc *clientConn) markResponding() { cc.phase.Store(responding) }

// closeIfIdle closes the connection unless bytes of a request have arrived, read or not. The server
// considers a request started only once it has read its header. If the connection were closed before
// that, the request would still run and nobody would get its response.
func (cc *clientConn) closeIfIdle() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.requestStarted || !sockets.Alive(cc.TCPConn) {
		return false
	}
	cc.closedAsIdle = true
	cc.Close()
	return true
}

// scan checks the framing of the bytes that were read, in order.
func (cc *clientConn) scan(p []byte) {
	cc.framing.scan(p)
	cc.bodyReceived.Store(cc.framing.section == headerSection)
	if cc.framing.ambiguous {
		cc.ambiguous.Store(true)
	}
}
