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

// guard is a client's connection that looks at the framing of what comes. Danger:
// a length beside chunks may hide a request in the body, and net/http drops that
// length unseen; passed on, the hidden request would run at a backend. Such a
// connection is tainted, and so is one whose lengths can't be followed. It stands
// for no check of the rest of a head; net/http does that.
//
// It also sees a client leave behind what that sent ahead, and is closed for being
// idle only where no request has begun on it.
type clientConn struct {
	*net.TCPConn
	ambiguous  atomic.Bool
	phase      atomic.Int32 // whose turn it is to speak
	peerClosed atomic.Bool  // the client's end was seen while it was the gateway's turn

	mu             sync.Mutex
	requestStarted bool // something has come since the last answer
	closedAsIdle   bool // closed as idle: what is read now is nobody's

	pipelined []byte // came behind the request that is being answered; the reader's own

	// The reader's own. After a chunked request it looks no further: the connection ends with its answer.
	scanDone     bool
	bodyLeft     int64 // bytes of it still to come
	lengthLines  int   // Content-Length lines of the head
	chunked      bool  // it has a Transfer-Encoding
	foldable     bool  // a line of either kind may go on in the next
	state        scanState
	name         [maxNameLength]byte // what came of the line's name, in lower case
	nameLength   int
	line         headerLine
	length       int64
	lengthDigits int
	lengthEnded  bool // the digits have
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
	maxLengthDigits = 15 // of a length
	lengthName      = "content-length"
	encodingName    = "transfer-encoding"
)

// Whose turn it is on a client's connection.
const (
	awaitingRequest int32 = iota
	requestOpen           // a request has come and has no answer yet
	responding            // its answer is on its way
)

const maxPipelined = 4 << 10 // bytes that a client may send behind an open request

var errPipelined = errors.New("the client sends on and waits for no answer")

// Read is called by the server alone. While a request is answered the server asks for
// one byte, to see the client leave.
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

// watch waits for the client's end and keeps what comes before it. Danger: with a byte
// behind its request the end of a client would go unseen, by end or reset alike, and work
// would be sent on for nobody. A client that sends on without an answer is taken for
// gone: its end might stand behind any number of bytes. One that has its answer may.
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
	if !errors.Is(err, os.ErrDeadlineExceeded) { // with that the server ends the watch
		cc.peerClosed.Store(true)
	}
	return 0, err
}

// deserted looks, without waiting, whether the client has gone.
func (cc *clientConn) clientDisconnected() bool {
	return cc.peerClosed.Load() || sockets.PeerClosed(cc.TCPConn)
}

// begin notes that something has come. It tells whether the connection still stands.
func (cc *clientConn) markStarted() bool {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.requestStarted = true
	return !cc.closedAsIdle
}

// follow takes in what the server does with the connection. What came ahead of an
// answer is the next request.
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

// answering notes that the request's answer is on its way.
func (cc *clientConn) markResponding() { cc.phase.Store(responding) }

// closeIdle closes the connection, unless a request has begun on it, read or not. Danger:
// the server takes a request for begun only when it has read its head. Closed in
// between, the request would still be carried out and its answer reach nobody.
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

// look follows what was read, in order.
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

// line takes in bytes of a head, to the end of the present line at most, and
// returns how many.
func (cc *clientConn) scanLine(p []byte) int {
	for i := 0; i < len(p); i++ {
		b := p[i]
		switch {
		case cc.state == lineValue && cc.line == otherLine && b != '\n':
			// Nothing of such a line matters but its end: most of all bytes are passed over here.
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
			// The line before goes on here.
			cc.state, cc.line = lineValue, otherLine
			if cc.foldable {
				cc.markAmbiguous()
			}
		case cc.state == lineStart && b == '\r':
		case cc.state == lineStart && b|0x20 != 'c' && b|0x20 != 't':
			cc.state, cc.line = lineValue, otherLine // neither of the two kinds begins so
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

// kindOf tells a line by its name. One with blanks about it is refused by
// net/http, but must not be missed here.
func headerLineOf(name string) headerLine {
	switch strings.TrimRight(name, " \t") {
	case lengthName:
		return lengthLine
	case encodingName:
		return encodingLine
	}
	return otherLine
}

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
