package resp

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Writer appends replies to a buffer, in the version that its peer asked for.
type Writer struct {
	Buf     []byte
	Version int // 2 or 3
}

func (w *Writer) head(k Kind, n int) {
	if n >= 0 && n < 10 {
		w.Buf = append(w.Buf, byte(k), byte('0'+n), '\r', '\n')
		return
	}
	w.Buf = append(w.Buf, byte(k))
	w.Buf = strconv.AppendInt(w.Buf, int64(n), 10)
	w.Buf = append(w.Buf, '\r', '\n')
}

// line writes text that may hold no end of a line; what would end it becomes a blank.
func (w *Writer) line(k Kind, text string) {
	if strings.ContainsAny(text, "\r\n") {
		text = strings.NewReplacer("\r", " ", "\n", " ").Replace(text)
	}
	w.Buf = append(w.Buf, byte(k))
	w.Buf = append(w.Buf, text...)
	w.Buf = append(w.Buf, '\r', '\n')
}

// Simple writes a word such as OK.
func (w *Writer) Simple(text string) { w.line(Simple, text) }

// Error writes an error; its first word is its code.
func (w *Writer) Error(text string) { w.line(Error, text) }

// Int writes a whole number.
func (w *Writer) Int(n int64) {
	w.Buf = append(w.Buf, byte(Int))
	w.Buf = strconv.AppendInt(w.Buf, n, 10)
	w.Buf = append(w.Buf, '\r', '\n')
}

// Bulk writes text of any bytes.
func (w *Writer) Bulk(text string) {
	w.head(Bulk, len(text))
	w.Buf = append(w.Buf, text...)
	w.Buf = append(w.Buf, '\r', '\n')
}

// Name writes text that Named has made ready, as a bulk.
func (w *Writer) Name(n Named) { w.Buf = append(w.Buf, n...) }

// Named is a bulk as it is written, for names that stand in many replies.
type Named string

// MakeNamed makes text ready for Name.
func MakeNamed(text string) Named { return Named(fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)) }

// Null writes nothing there.
func (w *Writer) Null() {
	if w.Version < 3 {
		w.Buf = append(w.Buf, "$-1\r\n"...)
		return
	}
	w.Buf = append(w.Buf, "_\r\n"...)
}

// Double writes a number, in version 2 as text.
func (w *Writer) Double(x float64) {
	if n := int64(x); float64(n) == x && n > -1e15 && n < 1e15 { // most are whole, and these cost less
		var digits [20]byte
		text := strconv.AppendInt(digits[:0], n, 10)
		w.digits(text)
		return
	}
	text := strconv.FormatFloat(x, 'g', -1, 64)
	switch {
	case math.IsInf(x, 1):
		text = "inf"
	case math.IsInf(x, -1):
		text = "-inf"
	case math.IsNaN(x):
		text = "nan"
	}
	if w.Version < 3 {
		w.Bulk(text)
		return
	}
	w.line(Double, text)
}

// Milli writes a number that is given in thousandths, as Double would.
func (w *Writer) Milli(n int64) {
	if n%1000 == 0 || n < 0 {
		w.Double(float64(n) / 1000) // its short way is for whole numbers
		return
	}
	var digits [24]byte
	text := strconv.AppendInt(digits[:0], n/1000, 10)
	rest := n % 1000
	text = append(text, '.', byte('0'+rest/100), byte('0'+rest/10%10), byte('0'+rest%10))
	for text[len(text)-1] == '0' {
		text = text[:len(text)-1]
	}
	w.digits(text)
}

// digits writes a number that is made out, in version 2 as text.
func (w *Writer) digits(text []byte) {
	if w.Version < 3 {
		w.head(Bulk, len(text))
	} else {
		w.Buf = append(w.Buf, byte(Double))
	}
	w.Buf = append(w.Buf, text...)
	w.Buf = append(w.Buf, '\r', '\n')
}

// Bool writes true or false, in version 2 as 1 or 0.
func (w *Writer) Bool(b bool) {
	switch {
	case w.Version >= 3 && b:
		w.Buf = append(w.Buf, "#t\r\n"...)
	case w.Version >= 3:
		w.Buf = append(w.Buf, "#f\r\n"...)
	case b:
		w.Int(1)
	default:
		w.Int(0)
	}
}

// Array begins a list of n values.
func (w *Writer) Array(n int) { w.head(Array, n) }

// Map begins n names with a value each, in version 2 a list.
func (w *Writer) Map(n int) {
	if w.Version < 3 {
		w.head(Array, 2*n)
		return
	}
	w.head(Map, n)
}

// Set begins n values without an order, in version 2 a list.
func (w *Writer) Set(n int) {
	if w.Version < 3 {
		w.head(Array, n)
		return
	}
	w.head(Set, n)
}

// Push begins n values that answer no command. Only version 3 has it.
func (w *Writer) Push(n int) { w.head(Push, n) }

// Command writes a command as a client does.
func (w *Writer) Command(words ...string) {
	w.head(Array, len(words))
	for _, word := range words {
		w.Bulk(word)
	}
}
