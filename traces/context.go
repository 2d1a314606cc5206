// Package traces makes one story of what happens to a request: spans for the
// request, its waits and its attempts, and which of them are worth keeping. It is pure: events
// in, spans and counts out, time handed in, no goroutine, no clock, no socket. How spans leave the
// process is package telemetry's matter.
package traces

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// TraceID names a story over all processes; it is never all zero.
type TraceID [16]byte

// SpanID names one span; it is never all zero.
type SpanID [8]byte

// Context is the trace context of W3C's recommendation: whose part a request is.
type Context struct {
	Trace   TraceID
	Span    SpanID
	Sampled bool
	State   string // tracestate, passed on as it came
}

// The bounds of W3C's recommendation, https://www.w3.org/TR/trace-context/.
const (
	parentLen    = 55
	mostParent   = 512 // bytes of a later version's header
	mostState    = 512 // bytes
	mostMembers  = 32
	mostStateKey = 256
	mostStateVal = 256
)

// ParseContext reads the headers traceparent and tracestate. Where there is not one
// valid traceparent it returns false, and the request begins a story of its own; a tracestate that
// is not valid is dropped alone, as the recommendation has it.
func ParseContext(parent, state []string) (Context, bool) {
	var c Context
	if len(parent) != 1 {
		return c, false
	}
	text := parent[0]
	if len(text) < parentLen || len(text) > mostParent || text[2] != '-' || text[35] != '-' || text[52] != '-' {
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
	c.State = parseState(state)
	return c, true
}

// lowerHex reads lower case digits alone.
func lowerHex(to []byte, text string) bool {
	for i := range len(text) {
		if c := text[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	n, err := hex.Decode(to, []byte(text))
	return err == nil && n == len(to)
}

// parseState joins the lines of a tracestate, or returns "" if it is not valid.
func parseState(lines []string) string {
	total := 0
	for _, l := range lines {
		if total += len(l) + 1; total > mostState+1 {
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
		if !ok || seen[key] || !stateKey(key) || !stateValue(value) || len(members) == mostMembers {
			return ""
		}
		seen[key] = true
		members = append(members, part)
	}
	return strings.Join(members, ",")
}

func stateKey(key string) bool {
	if key == "" || len(key) > mostStateKey {
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
	if value == "" || len(value) > mostStateVal || value[len(value)-1] == ' ' {
		return false
	}
	for i := range len(value) {
		if c := value[i]; c < 0x20 || c > 0x7e || c == ',' || c == '=' {
			return false
		}
	}
	return true
}

// Parent is the header traceparent for what a span sends on.
func (c Context) Parent() string {
	text := append(make([]byte, 0, parentLen), "00-"...)
	text = append(hex.AppendEncode(text, c.Trace[:]), '-')
	text = append(hex.AppendEncode(text, c.Span[:]), "-00"...)
	if c.Sampled {
		text[parentLen-1] = '1'
	}
	return string(text)
}

// KeyTrace is the story of a keyed request that brought no context. All gateways
// derive the same, so a booking that is tried again through another one is one story. The last eight bytes
// are as good as random, which shares of stories are cut by.
func KeyTrace(account uint64, key string) (t TraceID) {
	text := append(make([]byte, 0, 64), "elderyard story "...)
	text = append(binary.BigEndian.AppendUint64(text, account), key...)
	sum := sha256.Sum256(text)
	copy(t[:], sum[:])
	t[0] |= 1 // never all zero
	return t
}
