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
type guard struct {
	*net.TCPConn
	tainted atomic.Bool
	turn    atomic.Int32 // whose turn it is to speak
	over    atomic.Bool  // the client's end was seen while it was the gateway's turn

	mu    sync.Mutex
	begun bool // something has come since the last answer
	shut  bool // closed as idle: what is read now is nobody's

	ahead []byte // came behind the request that is being answered; the reader's own

	// The reader's own. After a chunked request it looks no further: the connection ends with its answer.
	done    bool
	body    int64 // bytes of it still to come
	lengths int   // Content-Length lines of the head
	chunked bool  // it has a Transfer-Encoding
	folded  bool  // a line of either kind may go on in the next
	part    linePart
	name    [mostGuarded]byte // what came of the line's name, in lower case
	named   int
	kind    guardedLine
	length  int64
	digits  int
	ended   bool // the digits have
}

type linePart int

const (
	lineStart linePart = iota
	lineName
	lineValue
)

type guardedLine int

const (
	otherLine guardedLine = iota
	lengthLine
	encodingLine
)

const (
	mostGuarded  = len("transfer-encoding") + 1
	mostDigits   = 15 // of a length
	lengthName   = "content-length"
	encodingName = "transfer-encoding"
)

// Whose turn it is on a client's connection.
const (
	clientsTurn  int32 = iota
	gatewaysTurn       // a request has come and has no answer yet
	answersTurn        // its answer is on its way
)

const mostAhead = 4 << 10 // bytes that a client may send behind an open request

var errAhead = errors.New("the client sends on and waits for no answer")

// Read is called by the server alone. While a request is answered the server asks for
// one byte, to see the client leave.
func (g *guard) Read(p []byte) (int, error) {
	if len(p) == 1 && g.turn.Load() != clientsTurn {
		return g.watch(p)
	}
	var n int
	var err error
	if len(g.ahead) > 0 {
		if n = copy(p, g.ahead); n == len(g.ahead) {
			g.ahead = nil
		} else {
			g.ahead = g.ahead[n:]
		}
	} else {
		n, err = g.TCPConn.Read(p)
	}
	if n > 0 && !g.begin() {
		return 0, net.ErrClosed
	}
	g.look(p[:n])
	return n, err
}

// watch waits for the client's end and keeps what comes before it. Danger: with a byte
// behind its request the end of a client would go unseen, by end or reset alike, and work
// would be sent on for nobody. A client that sends on without an answer is taken for
// gone: its end might stand behind any number of bytes. One that has its answer may.
func (g *guard) watch(p []byte) (int, error) {
	n, err := g.TCPConn.Read(p)
	g.ahead = append(g.ahead, p[:n]...)
	for err == nil {
		room := mostAhead - len(g.ahead)
		switch {
		case room > 0:
			g.ahead = slices.Grow(g.ahead, room)
			n, err = g.TCPConn.Read(g.ahead[len(g.ahead) : len(g.ahead)+room])
			g.ahead = g.ahead[:len(g.ahead)+n]
		case g.turn.Load() == answersTurn:
			p[0], g.ahead = g.ahead[0], g.ahead[1:]
			g.look(p)
			return 1, nil
		default:
			g.over.Store(true)
			return 0, errAhead
		}
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) { // with that the server ends the watch
		g.over.Store(true)
	}
	return 0, err
}

// deserted looks, without waiting, whether the client has gone.
func (g *guard) deserted() bool { return g.over.Load() || sockets.PeerClosed(g.TCPConn) }

// begin notes that something has come. It tells whether the connection still stands.
func (g *guard) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.begun = true
	return !g.shut
}

// follow takes in what the server does with the connection. What came ahead of an
// answer is the next request.
func (g *guard) follow(s http.ConnState) {
	switch s {
	case http.StateActive:
		g.turn.Store(gatewaysTurn)
	case http.StateIdle:
		g.turn.Store(clientsTurn)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.begun = len(g.ahead) > 0
	}
}

// answering notes that the request's answer is on its way.
func (g *guard) answering() { g.turn.Store(answersTurn) }

// closeIdle closes the connection, unless a request has begun on it, read or not. Danger:
// the server takes a request for begun only when it has read its head. Closed in
// between, the request would still be carried out and its answer reach nobody.
func (g *guard) closeIdle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.begun || !sockets.Alive(g.TCPConn) {
		return false
	}
	g.shut = true
	g.Close()
	return true
}

// look follows what was read, in order.
func (g *guard) look(p []byte) {
	for len(p) > 0 && !g.done {
		if g.body > 0 {
			n := min(g.body, int64(len(p)))
			g.body -= n
			p = p[n:]
			continue
		}
		p = p[g.line(p):]
	}
}

// line takes in bytes of a head, to the end of the present line at most, and
// returns how many.
func (g *guard) line(p []byte) int {
	for i := 0; i < len(p); i++ {
		b := p[i]
		switch {
		case g.part == lineValue && g.kind == otherLine && b != '\n':
			// Nothing of such a line matters but its end: most of all bytes are passed over here.
			end := bytes.IndexByte(p[i:], '\n')
			if end < 0 {
				return len(p)
			}
			i += end - 1
		case b == '\n':
			if g.part == lineStart || g.part == lineName && g.named == 0 {
				g.headEnd()
			} else {
				g.lineEnd()
			}
			return i + 1
		case g.part == lineStart && (b == ' ' || b == '\t'):
			// The line before goes on here.
			g.part, g.kind = lineValue, otherLine
			if g.folded {
				g.taint()
			}
		case g.part == lineStart && b == '\r':
		case g.part == lineStart && b|0x20 != 'c' && b|0x20 != 't':
			g.part, g.kind = lineValue, otherLine // neither of the two kinds begins so
		case g.part == lineStart, g.part == lineName && b != ':':
			g.part = lineName
			if g.named < mostGuarded {
				if 'A' <= b && b <= 'Z' {
					b += 'a' - 'A'
				}
				g.name[g.named] = b
				g.named++
			}
		case g.part == lineName:
			g.part = lineValue
			g.kind = kindOf(string(g.name[:g.named]))
		case g.kind == lengthLine:
			g.digit(b)
		}
	}
	return len(p)
}

// kindOf tells a line by its name. One with blanks about it is refused by
// net/http, but must not be missed here.
func kindOf(name string) guardedLine {
	switch strings.TrimRight(name, " \t") {
	case lengthName:
		return lengthLine
	case encodingName:
		return encodingLine
	}
	return otherLine
}

func (g *guard) digit(b byte) {
	switch {
	case '0' <= b && b <= '9' && !g.ended && g.digits < mostDigits:
		g.length = g.length*10 + int64(b-'0')
		g.digits++
	case b == ' ' || b == '\t' || b == '\r':
		g.ended = g.digits > 0
	default:
		g.taint()
	}
}

func (g *guard) lineEnd() {
	g.folded = g.kind != otherLine
	switch g.kind {
	case lengthLine:
		if g.lengths++; g.lengths > 1 || g.digits == 0 {
			g.taint()
		}
	case encodingLine:
		g.chunked = true
	}
	g.part, g.named, g.kind, g.ended = lineStart, 0, otherLine, false
}

func (g *guard) headEnd() {
	if g.chunked && g.lengths > 0 {
		g.taint()
	}
	if g.chunked {
		g.done = true
	}
	g.body = g.length
	g.lengths, g.length, g.digits, g.chunked, g.folded = 0, 0, 0, false, false
	g.part, g.named, g.kind, g.ended = lineStart, 0, otherLine, false
}

func (g *guard) taint() {
	g.tainted.Store(true)
	g.done = true
}
