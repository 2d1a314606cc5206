// Package resp reads and writes RESP, versions 2 and 3, as published: commands as
// a server takes them, replies as either side writes and reads them. What a peer can
// make grow is bounded.
package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
)

// Limits are what one command, or one reply, may hold.
type Limits struct {
	Args  int // of a command, or values of a reply in all
	Bulk  int // bytes of one
	Total int // bytes of all
	Depth int // of a reply
}

// ErrProtocol is what can't be read on from: the connection ends with it.
//
//lint:ignore ST1005 the text is the one that RESP servers send to their clients
var ErrProtocol = errors.New("Protocol error")

func protocol(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, a...))
}

// Reader reads commands and replies.
type Reader struct {
	r      *bufio.Reader
	bounds Limits
}

// NewReader reads from r within bounds.
func NewReader(r io.Reader, b Limits) *Reader { return &Reader{bufio.NewReaderSize(r, 4<<10), b} }

// Reset reads from r from now on.
func (r *Reader) Reset(from io.Reader) { r.r.Reset(from) }

// Buffered is how many bytes have come and not been read.
func (r *Reader) Buffered() int { return r.r.Buffered() }

// line reads up to the end of a line, without it. It is good until the next read.
func (r *Reader) line() ([]byte, error) {
	text, err := r.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, protocol("too big a line")
	}
	if err != nil {
		if err == io.EOF && len(text) > 0 {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	text = text[:len(text)-1]
	if n := len(text); n > 0 && text[n-1] == '\r' {
		text = text[:n-1]
	}
	return text, nil
}

// integer reads a length as it stands: digits, and a minus.
func integer(text []byte) (int64, bool) {
	if len(text) == 0 || len(text) > 20 {
		return 0, false
	}
	neg := text[0] == '-'
	digits := text
	if neg || text[0] == '+' {
		digits = text[1:]
	}
	if len(digits) == 0 {
		return 0, false
	}
	var n uint64
	for _, b := range digits {
		if b < '0' || b > '9' || n > math.MaxInt64/10 {
			return 0, false
		}
		n = n*10 + uint64(b-'0')
	}
	if n > math.MaxInt64 {
		return 0, false
	}
	if neg {
		return -int64(n), true
	}
	return int64(n), true
}

// Command reads one command: an array of bulk strings, or a line of words. It
// appends its words to args and their bytes to text, and returns both. An empty line or array is no
// command: args comes back as it was. The words are good as long as text is.
func (r *Reader) Command(args [][]byte, text []byte) ([][]byte, []byte, error) {
	first, err := r.r.Peek(1)
	if err != nil {
		return args, text, err
	}
	if first[0] != '*' {
		return r.inline(args, text)
	}
	head, err := r.line()
	if err != nil {
		return args, text, err
	}
	n, ok := integer(head[1:])
	if !ok || n > int64(r.bounds.Args) {
		return args, text, protocol("invalid multibulk length")
	}
	type span struct{ from, to int }
	var few [16]span
	spans, total := few[:0], 0
	for range max(n, 0) {
		head, err := r.line()
		if err != nil {
			return args, text, ended(err)
		}
		if len(head) == 0 || head[0] != '$' {
			got := byte(' ')
			if len(head) > 0 {
				got = head[0]
			}
			return args, text, protocol("expected '$', got '%c'", got)
		}
		size, ok := integer(head[1:])
		if total += int(min(size, int64(r.bounds.Total)+1)); !ok || size < 0 || size > int64(r.bounds.Bulk) || total > r.bounds.Total {
			return args, text, protocol("invalid bulk length")
		}
		from := len(text)
		text = append(text, make([]byte, size)...)
		if _, err := io.ReadFull(r.r, text[from:]); err != nil {
			return args, text, ended(err)
		}
		if err := r.crlf(); err != nil {
			return args, text, err
		}
		spans = append(spans, span{from, len(text)})
	}
	for _, s := range spans {
		args = append(args, text[s.from:s.to:s.to])
	}
	return args, text, nil
}

// ended turns an end in the midst of something into an error that says so.
func ended(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

func (r *Reader) crlf() error {
	a, err := r.r.ReadByte()
	if err != nil {
		return ended(err)
	}
	b, err := r.r.ReadByte()
	if err != nil {
		return ended(err)
	}
	if a != '\r' || b != '\n' {
		return protocol("a bulk string without its end")
	}
	return nil
}

// inline reads a command that stands in one line, its words split at blanks, with
// quotes as the published form has them.
func (r *Reader) inline(args [][]byte, text []byte) ([][]byte, []byte, error) {
	line, err := r.line()
	if err != nil {
		return args, text, err
	}
	if len(line) > r.bounds.Total {
		return args, text, protocol("too big inline request")
	}
	type span struct{ from, to int }
	var spans []span
	for i := 0; ; {
		for i < len(line) && blank(line[i]) {
			i++
		}
		if i == len(line) {
			break
		}
		if len(spans) == r.bounds.Args {
			return args, text, protocol("too many words")
		}
		from := len(text)
		for i < len(line) && !blank(line[i]) {
			quote := line[i]
			if quote != '"' && quote != '\'' {
				text = append(text, quote)
				i++
				continue
			}
			var ok bool
			if text, i, ok = quoted(text, line, i); !ok || i < len(line) && !blank(line[i]) {
				return args, text, protocol("unbalanced quotes in request")
			}
		}
		spans = append(spans, span{from, len(text)})
	}
	for _, s := range spans {
		args = append(args, text[s.from:s.to:s.to])
	}
	return args, text, nil
}

func blank(b byte) bool {
	return b == ' ' || b == '\t' || b == '\r' || b == '\v' || b == '\f' || b == 0
}

// quoted reads what stands between the quote at i and its end.
func quoted(text, line []byte, i int) ([]byte, int, bool) {
	quote := line[i]
	for i++; i < len(line); i++ {
		b := line[i]
		switch {
		case b == quote:
			return text, i + 1, true
		case b != '\\' || i+1 == len(line):
		case quote == '\'':
			if line[i+1] == '\'' {
				i++
				b = '\''
			}
		case line[i+1] == 'x' && i+3 < len(line) && hex(line[i+2]) >= 0 && hex(line[i+3]) >= 0:
			b = byte(hex(line[i+2])<<4 | hex(line[i+3]))
			i += 3
		default:
			i++
			b = line[i]
			if at := bytes.IndexByte([]byte("nrtba"), b); at >= 0 {
				b = "\n\r\t\b\a"[at]
			}
		}
		text = append(text, b)
	}
	return text, i, false
}

func hex(b byte) int {
	switch {
	case '0' <= b && b <= '9':
		return int(b - '0')
	case 'a' <= b && b <= 'f':
		return int(b-'a') + 10
	case 'A' <= b && b <= 'F':
		return int(b-'A') + 10
	}
	return -1
}

// Kind is the type of a reply by its first byte.
type Kind byte

// The kinds. Text, whole numbers and so on come as Str; Null stands for all forms of it.
const (
	Simple Kind = '+'
	Error  Kind = '-'
	Int    Kind = ':'
	Bulk   Kind = '$'
	Array  Kind = '*'
	Null   Kind = '_'
	Double Kind = ','
	Bool   Kind = '#'
	BigNum Kind = '('
	Verb   Kind = '='
	Map    Kind = '%'
	Set    Kind = '~'
	Push   Kind = '>'
)

// Value is one reply.
type Value struct {
	Kind     Kind
	Str      string  // of Simple, Error, Bulk, BigNum, Verb
	Int      int64   // of Int; 1 for a true Bool
	Float    float64 // of Double
	Elements []Value // of Array, Map (names and values in turn), Set, Push
}

// Reply reads one reply.
func (r *Reader) Reply() (Value, error) {
	left, bytes := r.bounds.Args, r.bounds.Total
	return r.value(r.bounds.Depth, &left, &bytes)
}

func (r *Reader) value(depth int, left, bytes *int) (Value, error) {
	if *left--; *left < 0 || depth < 0 {
		return Value{}, protocol("too many values, or too deep")
	}
	head, err := r.line()
	if err != nil {
		return Value{}, err
	}
	if len(head) == 0 {
		return Value{}, protocol("an empty line")
	}
	v, rest := Value{Kind: Kind(head[0])}, head[1:]
	if *bytes -= len(rest); *bytes < 0 {
		return Value{}, protocol("too long")
	}
	n, number := integer(rest)
	switch v.Kind {
	case Simple, Error, BigNum:
		v.Str = string(rest)
	case Null:
		if len(rest) > 0 {
			return Value{}, protocol("a null with a value")
		}
	case Int:
		if v.Int = n; !number {
			return Value{}, protocol("a number that is none")
		}
	case Bool:
		if v.Int = 0; string(rest) == "t" {
			v.Int = 1
		} else if string(rest) != "f" {
			return Value{}, protocol("neither true nor false")
		}
	case Double:
		if v.Float, err = strconv.ParseFloat(string(rest), 64); err != nil {
			return Value{}, protocol("a number that is none")
		}
	case Bulk, Verb:
		if number && n == -1 && v.Kind == Bulk {
			return Value{Kind: Null}, nil
		}
		if !number || n < 0 || n > int64(r.bounds.Bulk) || n > int64(*bytes) {
			return Value{}, protocol("invalid bulk length")
		}
		*bytes -= int(n)
		text := make([]byte, n)
		if _, err := io.ReadFull(r.r, text); err != nil {
			return Value{}, ended(err)
		}
		if err := r.crlf(); err != nil {
			return Value{}, err
		}
		if v.Str = string(text); v.Kind == Verb {
			if len(text) < 4 || text[3] != ':' {
				return Value{}, protocol("a text without its kind")
			}
			v.Str = string(text[4:])
		}
	case Array, Set, Push, Map:
		if number && n == -1 && v.Kind == Array {
			return Value{Kind: Null}, nil
		}
		if v.Kind == Map {
			n *= 2
		}
		if !number || n < 0 || n > int64(*left) {
			return Value{}, protocol("invalid multibulk length")
		}
		for range n {
			e, err := r.value(depth-1, left, bytes)
			if err != nil {
				return Value{}, ended(err)
			}
			v.Elements = append(v.Elements, e)
		}
	default:
		return Value{}, protocol("unknown kind %q", head[0])
	}
	return v, nil
}

// Ready tells whether a whole command has come, so that Command would not wait. What
// can't be read counts as whole: its error needs no wait either.
func (r *Reader) Ready() bool {
	p, _ := r.r.Peek(r.r.Buffered())
	line := func() ([]byte, bool) {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			return nil, false
		}
		head := p[:i]
		p = p[i+1:]
		if i > 0 && head[i-1] == '\r' {
			head = head[:i-1]
		}
		return head, true
	}
	head, ok := line()
	if !ok || len(head) == 0 || head[0] != '*' {
		return ok
	}
	n, ok := integer(head[1:])
	if !ok || n > int64(r.bounds.Args) {
		return true
	}
	for range max(n, 0) {
		head, ok := line()
		if !ok {
			return false
		}
		if len(head) == 0 || head[0] != '$' {
			return true
		}
		size, ok := integer(head[1:])
		if !ok || size < 0 || size > int64(r.bounds.Bulk) {
			return true
		}
		if int64(len(p)) < size+2 {
			return false
		}
		p = p[size+2:]
	}
	return true
}
