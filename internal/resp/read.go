// Package resp reads and writes RESP, versions 2 and 3, as published: commands on the
// server's side, replies on both sides. Everything that a peer can make grow is limited.
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

// Limits are the maximum sizes of one command or one reply.
type Limits struct {
	Args  int // arguments of a command, or values of a reply including the nested ones
	Bulk  int // bytes of one bulk string
	Total int // bytes of all arguments or values
	Depth int // nesting levels of a reply
}

// ErrProtocol means that the input is malformed and nothing after it can be parsed: the
// connection must be closed.
//
//lint:ignore ST1005 the text is the one that RESP servers send to their clients
var ErrProtocol = errors.New("Protocol error")

func protocolError(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, args...))
}

// Reader reads commands and replies.
type Reader struct {
	r      *bufio.Reader
	limits Limits
}

// NewReader returns a reader of r that rejects commands and replies beyond the limits.
func NewReader(r io.Reader, limits Limits) *Reader {
	return &Reader{bufio.NewReaderSize(r, 4<<10), limits}
}

// Reset discards what is buffered and switches to another source.
func (r *Reader) Reset(source io.Reader) { r.r.Reset(source) }

// Buffered returns the number of bytes that have been received and not yet been read.
func (r *Reader) Buffered() int { return r.r.Buffered() }

// Wait waits until input has been received, and consumes none. After a timeout it may be called again.
func (r *Reader) Wait() error {
	_, err := r.r.Peek(1)
	return err
}

// line reads one line and returns it without its end. It is valid until the next read.
func (r *Reader) line() ([]byte, error) {
	text, err := r.r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, protocolError("too big a line")
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

// parseInteger parses digits after an optional sign.
func parseInteger(text []byte) (int64, bool) {
	if len(text) == 0 || len(text) > 20 {
		return 0, false
	}
	negative := text[0] == '-'
	digits := text
	if negative || text[0] == '+' {
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
	if negative {
		return -int64(n), true
	}
	return int64(n), true
}

// Command reads one command: an array of bulk strings, or a line of words. It appends
// its arguments to args and their bytes to text, and returns both. An empty line or array
// is not a command: args is returned unchanged. The arguments are slices of text and
// valid as long as its bytes are not overwritten.
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
	n, ok := parseInteger(head[1:])
	if !ok || n > int64(r.limits.Args) {
		return args, text, protocolError("invalid multibulk length")
	}
	type span struct{ start, end int }
	var initial [16]span // saves an allocation for most commands
	spans, total := initial[:0], 0
	for range max(n, 0) {
		head, err := r.line()
		if err != nil {
			return args, text, unexpectedEOF(err)
		}
		if len(head) == 0 || head[0] != '$' {
			found := byte(' ')
			if len(head) > 0 {
				found = head[0]
			}
			return args, text, protocolError("expected '$', got '%c'", found)
		}
		size, ok := parseInteger(head[1:])
		if total += int(min(size, int64(r.limits.Total)+1)); !ok || size < 0 || size > int64(r.limits.Bulk) || total > r.limits.Total {
			return args, text, protocolError("invalid bulk length")
		}
		start := len(text)
		text = append(text, make([]byte, size)...)
		if _, err := io.ReadFull(r.r, text[start:]); err != nil {
			return args, text, unexpectedEOF(err)
		}
		if err := r.crlf(); err != nil {
			return args, text, err
		}
		spans = append(spans, span{start, len(text)})
	}
	for _, s := range spans {
		args = append(args, text[s.start:s.end:s.end])
	}
	return args, text, nil
}

// unexpectedEOF replaces io.EOF within a command or reply by io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// crlf reads the end of a bulk string.
func (r *Reader) crlf() error {
	first, err := r.r.ReadByte()
	if err != nil {
		return unexpectedEOF(err)
	}
	second, err := r.r.ReadByte()
	if err != nil {
		return unexpectedEOF(err)
	}
	if first != '\r' || second != '\n' {
		return protocolError("a bulk string without its end")
	}
	return nil
}

// inline reads an inline command: one line of words that are separated by white space
// and may be quoted.
func (r *Reader) inline(args [][]byte, text []byte) ([][]byte, []byte, error) {
	line, err := r.line()
	if err != nil {
		return args, text, err
	}
	if len(line) > r.limits.Total {
		return args, text, protocolError("too big inline request")
	}
	type span struct{ start, end int }
	var spans []span
	for i := 0; ; {
		for i < len(line) && isSpace(line[i]) {
			i++
		}
		if i == len(line) {
			break
		}
		if len(spans) == r.limits.Args {
			return args, text, protocolError("too many words")
		}
		start := len(text)
		for i < len(line) && !isSpace(line[i]) {
			char := line[i]
			if char != '"' && char != '\'' {
				text = append(text, char)
				i++
				continue
			}
			var ok bool
			if text, i, ok = unquote(text, line, i); !ok || i < len(line) && !isSpace(line[i]) {
				return args, text, protocolError("unbalanced quotes in request")
			}
		}
		spans = append(spans, span{start, len(text)})
	}
	for _, s := range spans {
		args = append(args, text[s.start:s.end:s.end])
	}
	return args, text, nil
}

func isSpace(b byte) bool {
	return b == ' ' || b == '\t' || b == '\r' || b == '\v' || b == '\f' || b == 0
}

// unquote appends the text of the quoted string that begins at line[i] to text. It
// returns the index after the closing quote, and false if there is none.
func unquote(text, line []byte, i int) ([]byte, int, bool) {
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
		case line[i+1] == 'x' && i+3 < len(line) && hexDigit(line[i+2]) >= 0 && hexDigit(line[i+3]) >= 0:
			b = byte(hexDigit(line[i+2])<<4 | hexDigit(line[i+3]))
			i += 3
		default:
			i++
			b = line[i]
			if n := bytes.IndexByte([]byte("nrtba"), b); n >= 0 {
				b = "\n\r\t\b\a"[n]
			}
		}
		text = append(text, b)
	}
	return text, i, false
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(b byte) int {
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

// Kind is the type of a value, by the first byte of its encoding.
type Kind byte

// The kinds. Null also stands for the null bulk string and the null array of version 2.
const (
	Simple    Kind = '+'
	Error     Kind = '-'
	Int       Kind = ':'
	Bulk      Kind = '$'
	Array     Kind = '*'
	Null      Kind = '_'
	Double    Kind = ','
	Bool      Kind = '#'
	BigNumber Kind = '('
	Verbatim  Kind = '='
	Map       Kind = '%'
	Set       Kind = '~'
	Push      Kind = '>'
)

// Value is one reply, or a value in it.
type Value struct {
	Kind     Kind
	Str      string  // of Simple, Error, Bulk, BigNumber and Verbatim, of that without its format
	Int      int64   // of Int; 1 for a true Bool
	Float    float64 // of Double
	Elements []Value // of Array, Set, Push, and Map with keys and values in turn
}

// Reply reads one reply.
func (r *Reader) Reply() (Value, error) {
	values, bytes := r.limits.Args, r.limits.Total
	return r.value(r.limits.Depth, &values, &bytes)
}

// value reads a value that may have depth levels of nesting. It counts down the values
// and bytes that remain of the limits.
func (r *Reader) value(depth int, values, bytes *int) (Value, error) {
	if *values--; *values < 0 || depth < 0 {
		return Value{}, protocolError("too many values, or too deep")
	}
	head, err := r.line()
	if err != nil {
		return Value{}, err
	}
	if len(head) == 0 {
		return Value{}, protocolError("an empty line")
	}
	v, payload := Value{Kind: Kind(head[0])}, head[1:]
	if *bytes -= len(payload); *bytes < 0 {
		return Value{}, protocolError("too long")
	}
	n, isInteger := parseInteger(payload)
	switch v.Kind {
	case Simple, Error, BigNumber:
		v.Str = string(payload)
	case Null:
		if len(payload) > 0 {
			return Value{}, protocolError("a null with a value")
		}
	case Int:
		if v.Int = n; !isInteger {
			return Value{}, protocolError("a number that is none")
		}
	case Bool:
		if v.Int = 0; string(payload) == "t" {
			v.Int = 1
		} else if string(payload) != "f" {
			return Value{}, protocolError("neither true nor false")
		}
	case Double:
		if v.Float, err = strconv.ParseFloat(string(payload), 64); err != nil {
			return Value{}, protocolError("a number that is none")
		}
	case Bulk, Verbatim:
		if isInteger && n == -1 && v.Kind == Bulk {
			return Value{Kind: Null}, nil
		}
		if !isInteger || n < 0 || n > int64(r.limits.Bulk) || n > int64(*bytes) {
			return Value{}, protocolError("invalid bulk length")
		}
		*bytes -= int(n)
		text := make([]byte, n)
		if _, err := io.ReadFull(r.r, text); err != nil {
			return Value{}, unexpectedEOF(err)
		}
		if err := r.crlf(); err != nil {
			return Value{}, err
		}
		if v.Str = string(text); v.Kind == Verbatim {
			if len(text) < 4 || text[3] != ':' {
				return Value{}, protocolError("a text without its kind")
			}
			v.Str = string(text[4:])
		}
	case Array, Set, Push, Map:
		if isInteger && n == -1 && v.Kind == Array {
			return Value{Kind: Null}, nil
		}
		if v.Kind == Map {
			n *= 2
		}
		if !isInteger || n < 0 || n > int64(*values) {
			return Value{}, protocolError("invalid multibulk length")
		}
		for range n {
			element, err := r.value(depth-1, values, bytes)
			if err != nil {
				return Value{}, unexpectedEOF(err)
			}
			v.Elements = append(v.Elements, element)
		}
	default:
		return Value{}, protocolError("unknown kind %q", head[0])
	}
	return v, nil
}

// Ready reports whether Command would return without waiting for input: a whole command
// has been received, or the part that has been received is malformed.
func (r *Reader) Ready() bool {
	rest, _ := r.r.Peek(r.r.Buffered())
	line := func() ([]byte, bool) {
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			return nil, false
		}
		head := rest[:i]
		rest = rest[i+1:]
		if i > 0 && head[i-1] == '\r' {
			head = head[:i-1]
		}
		return head, true
	}
	head, ok := line()
	if !ok || len(head) == 0 || head[0] != '*' {
		return ok
	}
	n, ok := parseInteger(head[1:])
	if !ok || n > int64(r.limits.Args) {
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
		size, ok := parseInteger(head[1:])
		if !ok || size < 0 || size > int64(r.limits.Bulk) {
			return true
		}
		if int64(len(rest)) < size+2 {
			return false
		}
		rest = rest[size+2:]
	}
	return true
}
