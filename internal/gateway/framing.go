package gateway

import (
	"bytes"
	"strings"
)

// framingScanner follows the framing of all requests on a connection. A Content-Length beside a chunked
// encoding may hide a request in the body, and net/http silently drops that length; forwarded, the hidden
// request would run at a backend. Framing that is ambiguous in this way, or that can't be parsed, is reported
// as such for good. All other validation is left to net/http, which closes the connection where it fails.
type framingScanner struct {
	ambiguous     bool
	tooManyFields bool // in the current header
	section       messageSection
	bodyLeft      int64 // bytes of the body, or of the current chunk, still to come

	// Of the current header:
	lines        int
	lengthLines  int  // Content-Length lines
	chunked      bool // has a Transfer-Encoding line
	foldable     bool // the last line was of either kind and may be folded
	state        scanState
	name         [maxNameLength]byte // the start of the header name, in lower case
	nameLength   int
	line         headerLine
	length       int64
	lengthDigits int
	lengthEnded  bool // after the last digit

	// Of the current chunk:
	chunkDigits  int  // of its length
	trailerBytes int  // of the current line of the trailer
	lastWasCR    bool // the last byte of the chunk's line was a carriage return
}

// messageSection is the section of a request that is being scanned.
type messageSection int

const (
	headerSection         messageSection = iota
	bodySection                          // as long as the Content-Length
	chunkSizeSection                     // the digits of a chunk's length
	chunkExtensionSection                // the rest of that line
	chunkDataSection
	chunkEndSection // the line end behind the data
	trailerSection
)

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
	maxHeaderFields = 100 // each costs many times its bytes once it is parsed
	maxNameLength   = len("transfer-encoding") + 1
	maxLengthDigits = 15 // of a Content-Length or of a chunk's length
	lengthName      = "content-length"
	encodingName    = "transfer-encoding"
)

// scan scans the next bytes of the connection.
func (s *framingScanner) scan(p []byte) {
	for len(p) > 0 && !s.ambiguous && !s.tooManyFields {
		p = p[s.scanSection(p):]
	}
}

// scanSection scans bytes of the current section, at least one, and returns how many it scanned.
func (s *framingScanner) scanSection(p []byte) int {
	switch s.section {
	case headerSection:
		return s.scanLine(p)
	case bodySection, chunkDataSection:
		return s.skipBody(p)
	case chunkSizeSection:
		s.scanChunkDigit(p[0])
	case chunkExtensionSection:
		s.scanChunkLine(p[0])
	case chunkEndSection:
		s.scanChunkEnd(p[0])
	case trailerSection:
		s.scanTrailer(p[0])
	}
	return 1
}

// skipBody skips the bytes of a body or chunk.
func (s *framingScanner) skipBody(p []byte) int {
	n := min(s.bodyLeft, int64(len(p)))
	if s.bodyLeft -= n; s.bodyLeft > 0 {
		return int(n)
	}
	if s.section == chunkDataSection {
		s.section = chunkEndSection
	} else {
		s.section = headerSection
	}
	return int(n)
}

// scanLine scans bytes of a header up to the end of the current line, and returns how many it scanned.
func (s *framingScanner) scanLine(p []byte) int {
	for i := 0; i < len(p); i++ {
		b := p[i]
		switch {
		case s.state == lineValue && s.line == otherLine && b != '\n':
			// Only the end of other lines matters. This is the fast path for most bytes.
			end := bytes.IndexByte(p[i:], '\n')
			if end < 0 {
				return len(p)
			}
			i += end - 1
		case b == '\n':
			if s.state == lineStart || s.state == lineName && s.nameLength == 0 {
				s.endHeader()
			} else {
				s.endLine()
			}
			return i + 1
		case s.state == lineStart && (b == ' ' || b == '\t'):
			// A folded line continues the one before.
			s.state, s.line = lineValue, otherLine
			if s.foldable {
				s.ambiguous = true
			}
		case s.state == lineStart && b == '\r':
		case s.state == lineStart && b|0x20 != 'c' && b|0x20 != 't':
			s.state, s.line = lineValue, otherLine // neither kind of line starts with another letter
		case s.state == lineStart, s.state == lineName && b != ':':
			s.state = lineName
			if s.nameLength < maxNameLength {
				if 'A' <= b && b <= 'Z' {
					b += 'a' - 'A'
				}
				s.name[s.nameLength] = b
				s.nameLength++
			}
		case s.state == lineName:
			s.state = lineValue
			s.line = headerLineOf(string(s.name[:s.nameLength]))
		case s.line == lengthLine:
			s.scanDigit(b)
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
func (s *framingScanner) scanDigit(b byte) {
	switch {
	case '0' <= b && b <= '9' && !s.lengthEnded && s.lengthDigits < maxLengthDigits:
		s.length = s.length*10 + int64(b-'0')
		s.lengthDigits++
	case b == ' ' || b == '\t' || b == '\r':
		s.lengthEnded = s.lengthDigits > 0
	default:
		s.ambiguous = true
	}
}

func (s *framingScanner) endLine() {
	s.lines++
	s.tooManyFields = s.lines > maxHeaderFields+1 // the first line is none
	s.foldable = s.line != otherLine
	switch s.line {
	case lengthLine:
		if s.lengthLines++; s.lengthLines > 1 || s.lengthDigits == 0 {
			s.ambiguous = true
		}
	case encodingLine:
		s.chunked = true
	}
	s.state, s.nameLength, s.line, s.lengthEnded = lineStart, 0, otherLine, false
}

// endHeader checks a complete header, and resets the scan for the body and the next request.
func (s *framingScanner) endHeader() {
	s.bodyLeft = s.length
	switch {
	case s.chunked:
		s.ambiguous = s.ambiguous || s.lengthLines > 0
		s.beginChunk()
	case s.length > 0:
		s.section = bodySection
	}
	s.lines, s.lengthLines, s.length, s.lengthDigits, s.chunked, s.foldable = 0, 0, 0, 0, false, false
	s.state, s.nameLength, s.line, s.lengthEnded = lineStart, 0, otherLine, false
}

func (s *framingScanner) beginChunk() {
	s.section, s.bodyLeft, s.chunkDigits, s.lastWasCR = chunkSizeSection, 0, 0, false
}

// scanChunkDigit scans a byte of a chunk's length.
func (s *framingScanner) scanChunkDigit(b byte) {
	digit, ok := hexDigit(b)
	switch {
	case ok && s.chunkDigits < maxLengthDigits:
		s.bodyLeft = s.bodyLeft<<4 | digit
		s.chunkDigits++
	case !ok && s.chunkDigits > 0:
		s.section = chunkExtensionSection
		s.scanChunkLine(b)
	default:
		s.ambiguous = true
	}
}

func hexDigit(b byte) (digit int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10, true
	}
	return 0, false
}

// scanChunkLine scans a byte behind a chunk's length: of an extension, or of the line end, which must be
// CRLF.
func (s *framingScanner) scanChunkLine(b byte) {
	switch {
	case s.lastWasCR && b == '\n':
		s.trailerBytes = 0
		if s.section = trailerSection; s.bodyLeft > 0 {
			s.section, s.lastWasCR = chunkDataSection, false
		}
	case s.lastWasCR || b == '\n':
		s.ambiguous = true
	default:
		s.lastWasCR = b == '\r'
	}
}

// scanChunkEnd scans a byte of the line end behind a chunk's data.
func (s *framingScanner) scanChunkEnd(b byte) {
	switch {
	case !s.lastWasCR && b == '\r':
		s.lastWasCR = true
	case s.lastWasCR && b == '\n':
		s.beginChunk()
	default:
		s.ambiguous = true
	}
}

// scanTrailer scans a byte of the trailer, which ends with an empty line. Its fields are not forwarded.
func (s *framingScanner) scanTrailer(b byte) {
	switch {
	case b == '\n' && (s.trailerBytes == 0 || s.trailerBytes == 1 && s.lastWasCR):
		s.section = headerSection
	case b == '\n':
		s.trailerBytes = 0
	default:
		s.trailerBytes++
		s.lastWasCR = b == '\r'
	}
}
