// Package revisions is the desired state of a site: numbered, immutable revisions of the site file with its
// overlays for individual instances, each with a parent, an author, a message and a checksum. It is a pure state
// machine: commands are applied in the order of the replicated log, and every voter reaches the same History. It does
// no I/O and reads no clock.
//
// The file is interpreted by package internal/site, and when an instance gets a revision is decided by package rollout.
// A History is owned by fleet.State, which contains it. Callers must not change what the accessors return, and must not
// apply a command out of the order of the log.
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

// Limits of what an operator may send, and of a History. They are part of the replicated state machine: voters with
// different limits would reach different states.
const (
	MaxFileBytes    = 256 << 10 // of a file, or of the overlay of an instance
	MaxOverlays     = 1000      // number of instances with an overlay
	MaxContentBytes = 4 << 20   // of the file and all overlays together
	MaxMessageBytes = 4 << 10   // of a message
	MaxNameBytes    = 256       // of an author, an instance name or an idempotency key
	MaxRevisions    = 200       // number of revisions in a History
	MaxHistoryBytes = 64 << 20  // of their contents together; the oldest revisions are dropped first
	MaxResults      = 1000      // number of commands whose results are stored
)

// Content is the part of a revision that an operator writes.
type Content struct {
	File              string            `json:"file"`               // the site file, as text
	Overlays          map[string]string `json:"overlays,omitempty"` // by instance; override keys of the file
	RestartGeneration uint64            `json:"turn,omitempty"`     // a new value alone restarts every instance
}

// Revision is one version of the desired state. It is immutable.
type Revision struct {
	Number   uint64    `json:"number"` // starting at 1
	Parent   uint64    `json:"parent"` // 0 for the first revision
	Content  Content   `json:"content"`
	Checksum string    `json:"checksum"` // of the content, SHA-256 in hex
	Author   string    `json:"author"`
	Message  string    `json:"message,omitempty"`
	At       time.Time `json:"at"` // on the clock of the voter that accepted it
}

// Checksum returns the checksum of the content. The length of each part is hashed before the part, so that no two
// contents hash the same bytes.
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

// size returns the size of the content in bytes.
func (c *Content) size() int {
	total := len(c.File)
	for name, text := range c.Overlays {
		total += len(name) + len(text)
	}
	return total
}

// FieldError reports an invalid value in a field of a command.
type FieldError struct {
	Field  string // the JSON key
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
			return fieldErrorf("overlays", "instance: "+invalidNameFormat, name, MaxNameBytes)
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

// invalidNameFormat is the reason why a name is rejected, with the name and MaxNameBytes as arguments.
const invalidNameFormat = "%.40q is empty, longer than %d bytes or no plain text"

// validName reports whether a name is non-empty, short enough and free of control characters.
func validName(name string) bool {
	return name != "" && len(name) <= MaxNameBytes && utf8.ValidString(name) &&
		!strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f })
}
