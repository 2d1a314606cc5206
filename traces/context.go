// Package traces builds the trace of each request, with spans for the request, its waits and its attempts,
// decides which traces to sample, and counts requests for metrics. It is pure: events go in, spans and counts come
// out; it has no goroutine, clock or socket. Package telemetry exports the result.
package traces

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// TraceID identifies a trace across processes. A valid ID has a byte that is not 0.
type TraceID [16]byte

// SpanID identifies a span. A valid ID has a byte that is not 0.
type SpanID [8]byte

// Context is a W3C trace context: a trace, one of its spans and the sampling decision.
type Context struct {
	Trace      TraceID
	Span       SpanID
	Sampled    bool
	TraceState string // tracestate, forwarded unchanged
}

// Limits of the W3C recommendation, https://www.w3.org/TR/trace-context/.
const (
	traceparentLen        = 55
	maxTraceparentLen     = 512 // bytes; headers of later versions may be longer than traceparentLen
	maxTraceStateLen      = 512 // bytes
	maxTraceStateMembers  = 32
	maxTraceStateKeyLen   = 256
	maxTraceStateValueLen = 256
)

// ParseContext parses the values of the headers traceparent and tracestate. It returns false unless there is
// exactly one valid traceparent; the request then starts a new trace. If only the tracestate is invalid, it is
// dropped and the traceparent is used, as the recommendation requires.
func ParseContext(traceparent, tracestate []string) (Context, bool) {
	var c Context
	if len(traceparent) != 1 {
		return c, false
	}
	text := traceparent[0]
	if len(text) < traceparentLen || len(text) > maxTraceparentLen || text[2] != '-' || text[35] != '-' || text[52] != '-' {
		return c, false
	}
	var version, flags [1]byte
	if !decodeLowerHex(version[:], text[:2]) || version[0] == 0xff || version[0] == 0 && len(text) != traceparentLen ||
		len(text) > traceparentLen && text[traceparentLen] != '-' {
		return c, false
	}
	if !decodeLowerHex(c.Trace[:], text[3:35]) || !decodeLowerHex(c.Span[:], text[36:52]) || !decodeLowerHex(flags[:], text[53:55]) ||
		c.Trace == (TraceID{}) || c.Span == (SpanID{}) {
		return Context{}, false
	}
	c.Sampled = flags[0]&1 != 0
	c.TraceState = parseTraceState(tracestate)
	return c, true
}

// decodeLowerHex decodes lower-case hexadecimal digits and reports whether they are valid and fill dst exactly.
func decodeLowerHex(dst []byte, text string) bool {
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	n, err := hex.Decode(dst, []byte(text))
	return err == nil && n == len(dst)
}

// parseTraceState joins the lines of a tracestate into one list. It returns "" if they are invalid or too long.
func parseTraceState(lines []string) string {
	total := 0
	for _, line := range lines {
		if total += len(line) + 1; total > maxTraceStateLen+1 {
			return ""
		}
	}
	var members []string
	seen := map[string]bool{}
	for part := range strings.SplitSeq(strings.Join(lines, ","), ",") {
		part = strings.Trim(part, " \t")
		if part == "" {
			continue
		}
		key, value, ok := strings.Cut(part, "=")
		if !ok || seen[key] || !validTraceStateKey(key) || !validTraceStateValue(value) || len(members) == maxTraceStateMembers {
			return ""
		}
		seen[key] = true
		members = append(members, part)
	}
	return strings.Join(members, ",")
}

// validTraceStateKey reports whether key is a simple key or, with an @, a multi-tenant key of at most 241 bytes for
// the tenant and 14 for the system.
func validTraceStateKey(key string) bool {
	if key == "" || len(key) > maxTraceStateKeyLen {
		return false
	}
	tenant, system, multiTenant := strings.Cut(key, "@")
	if multiTenant && (len(tenant) > 241 || len(system) > 14 || system == "" || system[0] < 'a' || system[0] > 'z') {
		return false
	}
	for i := range len(tenant + system) {
		c := (tenant + system)[i]
		switch {
		case c >= 'a' && c <= 'z':
		case c >= '0' && c <= '9':
			if i == 0 && !multiTenant {
				return false
			}
		case strings.IndexByte("_-*/", c) >= 0 && i > 0:
		default:
			return false
		}
	}
	return tenant != ""
}

// validTraceStateValue reports whether value consists of printable ASCII without comma and equals sign, and does not
// end in a space.
func validTraceStateValue(value string) bool {
	if value == "" || len(value) > maxTraceStateValueLen || value[len(value)-1] == ' ' {
		return false
	}
	for i := range len(value) {
		if c := value[i]; c < 0x20 || c > 0x7e || c == ',' || c == '=' {
			return false
		}
	}
	return true
}

// Traceparent returns the value of the header traceparent for requests sent by the span.
func (c Context) Traceparent() string {
	text := append(make([]byte, 0, traceparentLen), "00-"...)
	text = append(hex.AppendEncode(text, c.Trace[:]), '-')
	text = append(hex.AppendEncode(text, c.Span[:]), "-00"...)
	if c.Sampled {
		text[traceparentLen-1] = '1'
	}
	return string(text)
}

// traceIDPrefix is hashed in front of the key. It must not change: gateways of all versions must derive the same IDs.
const traceIDPrefix = "elderyard story "

// TraceIDFromKey derives the trace ID of a request with an idempotency key but no trace context. All gateways
// derive the same ID, so retries through different gateways share one trace. Its last eight bytes, on which sampling
// depends, are uniformly distributed.
func TraceIDFromKey(account uint64, key string) (t TraceID) {
	text := append(make([]byte, 0, 64), traceIDPrefix...)
	text = append(binary.BigEndian.AppendUint64(text, account), key...)
	sum := sha256.Sum256(text)
	copy(t[:], sum[:])
	t[0] |= 1 // an all-zero ID is invalid
	return t
}
