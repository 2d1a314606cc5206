package resp

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Writer appends replies to a buffer, in the version of the protocol that the peer has
// chosen.
type Writer struct {
	Buf     []byte
	Version int // 2 or 3
}

// header writes the first line of a value with a length.
func (w *Writer) header(k Kind, n int) {
	if n >= 0 && n < 10 {
		w.Buf = append(w.Buf, byte(k), byte('0'+n), '\r', '\n')
		return
	}
	w.Buf = append(w.Buf, byte(k))
	w.Buf = strconv.AppendInt(w.Buf, int64(n), 10)
	w.Buf = append(w.Buf, '\r', '\n')
}

// line writes a value of one line. Line breaks in its text become spaces.
func (w *Writer) line(k Kind, text string) {
	if strings.ContainsAny(text, "\r\n") {
		text = strings.NewReplacer("\r", " ", "\n", " ").Replace(text)
	}
	w.Buf = append(w.Buf, byte(k))
	w.Buf = append(w.Buf, text...)
	w.Buf = append(w.Buf, '\r', '\n')
}

// Simple writes a simple string such as OK.
func (w *Writer) Simple(text string) { w.line(Simple, text) }

// Error writes an error; its first word is its code.
func (w *Writer) Error(text string) { w.line(Error, text) }

// Int writes an integer.
func (w *Writer) Int(n int64) {
	w.Buf = append(w.Buf, byte(Int))
	w.Buf = strconv.AppendInt(w.Buf, n, 10)
	w.Buf = append(w.Buf, '\r', '\n')
}

// Bulk writes a bulk string, which may have any bytes.
func (w *Writer) Bulk(text string) {
	w.header(Bulk, len(text))
	w.Buf = append(w.Buf, text...)
	w.Buf = append(w.Buf, '\r', '\n')
}

// Encoded writes a bulk string that has been encoded before.
func (w *Writer) Encoded(bulk EncodedBulk) { w.Buf = append(w.Buf, bulk...) }

// EncodedBulk is an encoded bulk string, for texts that many replies have.
type EncodedBulk string

// EncodeBulk encodes a bulk string for Writer.Encoded.
func EncodeBulk(text string) EncodedBulk {
	return EncodedBulk(fmt.Sprintf("$%d\r\n%s\r\n", len(text), text))
}

// Null writes a null.
func (w *Writer) Null() {
	if w.Version < 3 {
		w.Buf = append(w.Buf, "$-1\r\n"...)
		return
	}
	w.Buf = append(w.Buf, "_\r\n"...)
}

// Double writes a floating-point number, in version 2 as a bulk string.
func (w *Writer) Double(value float64) {
	if n := int64(value); float64(n) == value && n > -1e15 && n < 1e15 { // most are integers, which are cheaper to format
		var digits [20]byte
		text := strconv.AppendInt(digits[:0], n, 10)
		w.number(text)
		return
	}
	text := strconv.FormatFloat(value, 'g', -1, 64)
	switch {
	case math.IsInf(value, 1):
		text = "inf"
	case math.IsInf(value, -1):
		text = "-inf"
	case math.IsNaN(value):
		text = "nan"
	}
	if w.Version < 3 {
		w.Bulk(text)
		return
	}
	w.line(Double, text)
}

// Milli writes a number that is passed in thousandths as Double writes it.
func (w *Writer) Milli(n int64) {
	if n%1000 == 0 || n < 0 {
		w.Double(float64(n) / 1000) // integers take its fast path
		return
	}
	var digits [24]byte
	text := strconv.AppendInt(digits[:0], n/1000, 10)
	fraction := n % 1000
	text = append(text, '.', byte('0'+fraction/100), byte('0'+fraction/10%10), byte('0'+fraction%10))
	for text[len(text)-1] == '0' {
		text = text[:len(text)-1]
	}
	w.number(text)
}

// number writes a formatted floating-point number, in version 2 as a bulk string.
func (w *Writer) number(text []byte) {
	if w.Version < 3 {
		w.header(Bulk, len(text))
	} else {
		w.Buf = append(w.Buf, byte(Double))
	}
	w.Buf = append(w.Buf, text...)
	w.Buf = append(w.Buf, '\r', '\n')
}

// Bool writes a boolean, in version 2 as the integer 1 or 0.
func (w *Writer) Bool(value bool) {
	switch {
	case w.Version >= 3 && value:
		w.Buf = append(w.Buf, "#t\r\n"...)
	case w.Version >= 3:
		w.Buf = append(w.Buf, "#f\r\n"...)
	case value:
		w.Int(1)
	default:
		w.Int(0)
	}
}

// Array writes the header of an array of n values. The caller writes the values.
func (w *Writer) Array(n int) { w.header(Array, n) }

// Map writes the header of a map of n keys, in version 2 of an array. The caller writes
// keys and values in turn.
func (w *Writer) Map(n int) {
	if w.Version < 3 {
		w.header(Array, 2*n)
		return
	}
	w.header(Map, n)
}

// Set writes the header of a set of n values, in version 2 of an array.
func (w *Writer) Set(n int) {
	if w.Version < 3 {
		w.header(Array, n)
		return
	}
	w.header(Set, n)
}

// Push writes the header of n values that are not a reply to a command. Only version 3
// has it.
func (w *Writer) Push(n int) { w.header(Push, n) }

// Command writes a command as a client does.
func (w *Writer) Command(args ...string) {
	w.header(Array, len(args))
	for _, arg := range args {
		w.Bulk(arg)
	}
}
