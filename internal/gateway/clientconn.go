package gateway

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"elderyard/internal/sockets"
)

// clientConn is a client's connection that checks the framing of its requests. A Content-Length beside a
// chunked encoding may hide a request in the body, and net/http silently drops that length; forwarded, the
// hidden request would run at a backend. Such a connection is marked as ambiguous, as is one whose lengths
// can't be parsed. All other validation is left to net/http.
//
// It also detects a disconnect behind pipelined bytes, and closes as idle only if no request has started.
type clientConn struct {
	*net.TCPConn
	ambiguous  atomic.Bool
	phase      atomic.Int32 // awaitingRequest, requestOpen or responding
	peerClosed atomic.Bool  // the client's disconnect was detected while a request was open

	mu             sync.Mutex
	requestStarted bool // bytes have arrived since the last response
	closedAsIdle   bool // later reads must not return a request

	pipelined []byte // bytes behind the open request; owned by the reader

	// Owned by the reader. The scan ends at a chunked request, as the connection closes after its response.
	scanDone     bool
	bodyLeft     int64 // bytes of the body still to come
	lengthLines  int   // Content-Length lines in the header
	chunked      bool  // has a Transfer-Encoding line
	foldable     bool  // the last line was of either kind and may be folded
	state        scanState
	name         [maxNameLength]byte // the start of the header name, in lower case
	nameLength   int
	line         headerLine
	length       int64
	lengthDigits int
	lengthEnded  bool // after the last digit
}

type scanState int

const (
	lineStart scanState = iota
	lineName
	lineValue
)

type headerLine int

const (
	otherLine headerLine = iota
	lengthLine
	encodingLine
)

const (
	maxNameLength   = len("transfer-encoding") + 1
	maxLengthDigits = 15 // of a Content-Length
	lengthName      = "content-length"
	encodingName    = "transfer-encoding"
)

// Phases of a client's connection.
const (
	awaitingRequest int32 = iota
	requestOpen           // a request has arrived and has no response yet
	responding            // its response is being written
)

const maxPipelined = 4 << 10 // bytes that a client may send behind an open request

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
	}
	if n > 0 && !cc.markStarted() {
		return 0, net.ErrClosed
	}
	cc.scan(p[:n])
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

// scan checks the bytes that were read, in order.
func (cc *clientConn) scan(p []byte) {
	for len(p) > 0 && !cc.scanDone {
		if cc.bodyLeft > 0 {
			n := min(cc.bodyLeft, int64(len(p)))
			cc.bodyLeft -= n
			p = p[n:]
			continue
		}
		p = p[cc.scanLine(p):]
	}
}

// scanLine scans bytes of a header up to the end of the current line, and returns how many it scanned.
func (cc *clientConn) scanLine(p []byte) int {
	for i := 0; i < len(p); i++ {
		b := p[i]
		switch {
		case cc.state == lineValue && cc.line == otherLine && b != '\n':
			// Only the end of other lines matters. This is the fast path for most bytes.
			end := bytes.IndexByte(p[i:], '\n')
			if end < 0 {
				return len(p)
			}
			i += end - 1
		case b == '\n':
			if cc.state == lineStart || cc.state == lineName && cc.nameLength == 0 {
				cc.endHead()
			} else {
				cc.endLine()
			}
			return i + 1
		case cc.state == lineStart && (b == ' ' || b == '\t'):
			// A folded line continues the one before.
			cc.state, cc.line = lineValue, otherLine
			if cc.foldable {
				cc.markAmbiguous()
			}
		case cc.state == lineStart && b == '\r':
		case cc.state == lineStart && b|0x20 != 'c' && b|0x20 != 't':
			cc.state, cc.line = lineValue, otherLine // neither kind of line starts with another letter
		case cc.state == lineStart, cc.state == lineName && b != ':':
			cc.state = lineName
			if cc.nameLength < maxNameLength {
				if 'A' <= b && b <= 'Z' {
					b += 'a' - 'A'
				}
				cc.name[cc.nameLength] = b
				cc.nameLength++
			}
		case cc.state == lineName:
			cc.state = lineValue
			cc.line = headerLineOf(string(cc.name[:cc.nameLength]))
		case cc.line == lengthLine:
			cc.scanDigit(b)
		}
	}
	return len(p)
}

// headerLineOf classifies a line by its name. net/http rejects a name with blanks around it, but such a
// line must not be missed here.
func headerLineOf(name string) headerLine {
	switch strings.TrimRight(name, " \t") {
	case lengthName:
		return lengthLine
	case encodingName:
		return encodingLine
	}
	return otherLine
}

// scanDigit scans a byte of a Content-Length.
func (cc *clientConn) scanDigit(b byte) {
	switch {
	case '0' <= b && b <= '9' && !cc.lengthEnded && cc.lengthDigits < maxLengthDigits:
		cc.length = cc.length*10 + int64(b-'0')
		cc.lengthDigits++
	case b == ' ' || b == '\t' || b == '\r':
		cc.lengthEnded = cc.lengthDigits > 0
	default:
		cc.markAmbiguous()
	}
}

func (cc *clientConn) endLine() {
	cc.foldable = cc.line != otherLine
	switch cc.line {
	case lengthLine:
		if cc.lengthLines++; cc.lengthLines > 1 || cc.lengthDigits == 0 {
			cc.markAmbiguous()
		}
	case encodingLine:
		cc.chunked = true
	}
	cc.state, cc.nameLength, cc.line, cc.lengthEnded = lineStart, 0, otherLine, false
}

// endHead checks a complete header, and resets the scan for the body and the next request.
func (cc *clientConn) endHead() {
	if cc.chunked && cc.lengthLines > 0 {
		cc.markAmbiguous()
	}
	if cc.chunked {
		cc.scanDone = true
	}
	cc.bodyLeft = cc.length
	cc.lengthLines, cc.length, cc.lengthDigits, cc.chunked, cc.foldable = 0, 0, 0, false, false
	cc.state, cc.nameLength, cc.line, cc.lengthEnded = lineStart, 0, otherLine, false
}

func (cc *clientConn) markAmbiguous() {
	cc.ambiguous.Store(true)
	cc.scanDone = true
}
