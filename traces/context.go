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

// TraceID identifies a trace across processes; a valid one is never all zero.
type TraceID [16]byte

// SpanID identifies a span; a valid one is never all zero.
type SpanID [8]byte

// Context is a trace context of the W3C recommendation: the trace and span that a request belongs to.
type Context struct {
	Trace      TraceID
	Span       SpanID
	Sampled    bool
	TraceState string // tracestate, forwarded unchanged
}

// Limits of the W3C recommendation, https://www.w3.org/TR/trace-context/.
const (
	parentLen        = 55
	maxParentLen     = 512 // bytes, of a later version's header
	maxStateLen      = 512 // bytes
	maxStateMembers  = 32
	maxStateKeyLen   = 256
	maxStateValueLen = 256
)

// ParseContext parses the values of the headers traceparent and tracestate. It returns false unless there is
// exactly one valid traceparent; the request then starts a new trace. An invalid tracestate alone is dropped, as
// the recommendation demands.
func ParseContext(parent, state []string) (Context, bool) {
	var c Context
	if len(parent) != 1 {
		return c, false
	}
	text := parent[0]
	if len(text) < parentLen || len(text) > maxParentLen || text[2] != '-' || text[35] != '-' || text[52] != '-' {
		return c, false
	}
	var version, flags [1]byte
	if !lowerHex(version[:], text[:2]) || version[0] == 0xff || version[0] == 0 && len(text) != parentLen ||
		len(text) > parentLen && text[parentLen] != '-' {
		return c, false
	}
	if !lowerHex(c.Trace[:], text[3:35]) || !lowerHex(c.Span[:], text[36:52]) || !lowerHex(flags[:], text[53:55]) ||
		c.Trace == (TraceID{}) || c.Span == (SpanID{}) {
		return Context{}, false
	}
	c.Sampled = flags[0]&1 != 0
	c.TraceState = parseState(state)
	return c, true
}

// lowerHex decodes lower-case hexadecimal digits and reports whether they are valid and fill to.
func lowerHex(to []byte, text string) bool {
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	n, err := hex.Decode(to, []byte(text))
	return err == nil && n == len(to)
}

// parseState joins the lines of a tracestate; it returns "" if they are not valid.
func parseState(lines []string) string {
	total := 0
	for _, l := range lines {
		if total += len(l) + 1; total > maxStateLen+1 {
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
		if !ok || seen[key] || !stateKey(key) || !stateValue(value) || len(members) == maxStateMembers {
			return ""
		}
		seen[key] = true
		members = append(members, part)
	}
	return strings.Join(members, ",")
}

func stateKey(key string) bool {
	if key == "" || len(key) > maxStateKeyLen {
		return false
	}
	tenant, system, multi := strings.Cut(key, "@")
	if multi && (len(tenant) > 241 || len(system) > 14 || system == "" || system[0] < 'a' || system[0] > 'z') {
		return false
	}
	for i := range len(tenant + system) {
		c := (tenant + system)[i]
		switch {
		case c >= 'a' && c <= 'z':
		case c >= '0' && c <= '9':
			if i == 0 && !multi {
				return false
			}
		case strings.IndexByte("_-*/", c) >= 0 && i > 0:
		default:
			return false
		}
	}
	return tenant != ""
}

func stateValue(value string) bool {
	if value == "" || len(value) > maxStateValueLen || value[len(value)-1] == ' ' {
		return false
	}
	for i := range len(value) {
		if c := value[i]; c < 0x20 || c > 0x7e || c == ',' || c == '=' {
			return false
		}
	}
	return true
}

// Traceparent returns the value of the header traceparent for requests that the span sends.
func (c Context) Traceparent() string {
	text := append(make([]byte, 0, parentLen), "00-"...)
	text = append(hex.AppendEncode(text, c.Trace[:]), '-')
	text = append(hex.AppendEncode(text, c.Span[:]), "-00"...)
	if c.Sampled {
		text[parentLen-1] = '1'
	}
	return string(text)
}

// traceIDSeed is part of the derivation of trace IDs: gateways of all versions must agree on it.
const traceIDSeed = "elderyard story "

// TraceIDFromKey derives the trace ID of a request with an idempotency key but no trace context. All gateways
// derive the same ID, so retries through different gateways share one trace. The last eight bytes, which sampling
// uses, are uniformly distributed.
func TraceIDFromKey(account uint64, key string) (t TraceID) {
	text := append(make([]byte, 0, 64), traceIDSeed...)
	text = append(binary.BigEndian.AppendUint64(text, account), key...)
	sum := sha256.Sum256(text)
	copy(t[:], sum[:])
	t[0] |= 1 // never all zero
	return t
}
