// Package revisions is the desired state of a site: numbered, immutable revisions of the operator's file with the overlays
// of single instances, each with its parent, author, message and checksum. It is a pure state machine: commands go in, in
// the order of the replicated log, and every voter reaches the same History. It does no I/O and reads no clock.
//
// It does not interpret the file (package internal/site does) and does not decide when an instance gets a revision (package
// rollout does). The owner of a History is the state that embeds it, package fleet's State; a caller must not change what
// the accessors return, and must not apply a command outside the log's order.
package revisions

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// Bounds of what an operator may send, and of a History. They are part of the replicated state machine: voters with other
// values would reach another state.
const (
	MaxFileBytes    = 256 << 10 // of a file, or of an instance's overlay
	MaxOverlays     = 1000      // instances with an overlay
	MaxContentBytes = 4 << 20   // of file and overlays together
	MaxMessageBytes = 4 << 10   // of a message
	MaxNameBytes    = 256       // of the name of an author, an instance or a request
	MaxRevisions    = 200       // in the history
	MaxHistoryBytes = 64 << 20  // of their contents together; the oldest are dropped first
	MaxResults      = 1000      // whose results are remembered
)

// Content is the part of a revision that an operator writes.
type Content struct {
	File              string            `json:"file"`               // the operator's file, as text
	Overlays          map[string]string `json:"overlays,omitempty"` // by instance: keys that take precedence over the file's there
	RestartGeneration uint64            `json:"turn,omitempty"`     // a revision that differs in nothing else restarts every instance
}

// Revision is one desired state. It is immutable.
type Revision struct {
	Number   uint64    `json:"number"` // from 1
	Parent   uint64    `json:"parent"` // 0: none
	Content  Content   `json:"content"`
	Checksum string    `json:"checksum"` // of the content, SHA-256 in hex
	Author   string    `json:"author"`
	Message  string    `json:"message,omitempty"`
	At       time.Time `json:"at"` // by the clock of the voter that accepted it
}

// Checksum returns the checksum of a content. Every part is preceded by its length, so that no two contents hash the same bytes.
func (c *Content) Checksum() string {
	hash := sha256.New()
	fmt.Fprintf(hash, "%d:%s", len(c.File), c.File)
	for _, name := range slices.Sorted(maps.Keys(c.Overlays)) {
		fmt.Fprintf(hash, "%d:%s%d:%s", len(name), name, len(c.Overlays[name]), c.Overlays[name])
	}
	if c.RestartGeneration != 0 {
		fmt.Fprintf(hash, "turn:%d", c.RestartGeneration)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// size returns the number of bytes of a content.
func (c *Content) size() int {
	total := len(c.File)
	for name, text := range c.Overlays {
		total += len(name) + len(text)
	}
	return total
}

// FieldError reports that a field of a command, by its JSON key, has an invalid value.
type FieldError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func fieldErrorf(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

func (c *Content) check() error {
	switch {
	case len(c.File) > MaxFileBytes:
		return fieldErrorf("file", "%d bytes, and %d may be", len(c.File), MaxFileBytes)
	case !utf8.ValidString(c.File):
		return fieldErrorf("file", "it is not text in UTF-8")
	case len(c.Overlays) > MaxOverlays:
		return fieldErrorf("overlays", "%d, and %d may be", len(c.Overlays), MaxOverlays)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Overlays)) {
		text := c.Overlays[name]
		if !validName(name) {
			return fieldErrorf("overlays", "instance: "+nameRule, name, MaxNameBytes)
		}
		if len(text) > MaxFileBytes || !utf8.ValidString(text) {
			return fieldErrorf("overlays", "%s: it is not text in UTF-8 of at most %d bytes", name, MaxFileBytes)
		}
	}
	if total := c.size(); total > MaxContentBytes {
		return fieldErrorf("content", "%d bytes, and %d may be", total, MaxContentBytes)
	}
	return nil
}

// nameRule is the reason for the rejection of a name, with the name and its limit as arguments.
const nameRule = "%.40q is empty, longer than %d bytes or no plain text"

// validName reports whether a name is non-empty, short enough and without control characters.
func validName(name string) bool {
	return name != "" && len(name) <= MaxNameBytes && utf8.ValidString(name) &&
		!strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f })
}
