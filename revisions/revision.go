// Package revisions holds the desired state of a site: numbered, immutable
// revisions of the operator's file with what differs from it at single
// instances, each with its parent, author, message and checksum. It is a pure
// state machine: commands go in, in the one order that all voters agree on, and
// every voter comes to the same revisions. It does no I/O and reads no clock.
package revisions

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode/utf8"
)

// Bounds of what an operator may send, and of what is kept.
const (
	MaxFileBytes    = 256 << 10 // bytes of a file, or of an instance's overlay
	MaxOverlays     = 1000      // instances with an overlay
	MaxContentBytes = 4 << 20   // bytes of file and overlays together
	MaxMessageBytes = 4 << 10   // bytes of a message
	MaxNameBytes    = 256       // bytes of an author, an instance or a request's name
	MaxRevisions    = 200       // revisions in the history
	MaxHistoryBytes = 64 << 20  // bytes of their contents; the oldest go
	MaxRequests     = 1000      // answered requests that are remembered
)

// Content is what a revision says.
type Content struct {
	File              string            `json:"file"`               // the operator's file, as text
	Overlays          map[string]string `json:"overlays,omitempty"` // by instance: keys that count for more there
	RestartGeneration uint64            `json:"turn,omitempty"`     // a revision that differs in nothing else has every instance start anew
}

// Revision is one desired state. It never changes.
type Revision struct {
	Number   uint64    `json:"number"` // from 1
	Parent   uint64    `json:"parent"` // 0: none
	Content  Content   `json:"content"`
	Checksum string    `json:"checksum"` // of the content, SHA-256 in hex
	Author   string    `json:"author"`
	Message  string    `json:"message,omitempty"`
	At       time.Time `json:"at"` // by the clock of the voter that took it in
}

// Command is one change that an operator asks for.
type Command struct {
	Request string    `json:"request"`           // its own name: the same for every repeat of one command
	Parent  uint64    `json:"parent"`            // the revision that it was made from; it must be the head
	Restore uint64    `json:"restore,omitempty"` // the content is that of this revision; else Content holds it
	Content *Content  `json:"content,omitempty"`
	Author  string    `json:"author"`
	Message string    `json:"message,omitempty"`
	At      time.Time `json:"at"`
}

// Status is what became of a command.
type Status string

// The answers.
const (
	Accepted        Status = "accepted"
	Unchanged       Status = "no change" // the head says this already
	Conflict        Status = "conflict"  // another revision was the head: nothing has changed
	UnknownRevision Status = "unknown"   // the revision to restore is not in the history
)

// Result is a command's answer and the revision it is about: the one that was
// made, or the head that stood in the way.
type Result struct {
	Status   Status   `json:"answer"`
	Revision Revision `json:"revision"`
}

// Sum returns the checksum of a content. Every part is preceded by its length,
// so no two contents are written alike.
func (c *Content) Sum() string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(c.File), c.File)
	for _, name := range slices.Sorted(maps.Keys(c.Overlays)) {
		fmt.Fprintf(h, "%d:%s%d:%s", len(name), name, len(c.Overlays[name]), c.Overlays[name])
	}
	if c.RestartGeneration != 0 {
		fmt.Fprintf(h, "turn:%d", c.RestartGeneration)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// size is how many bytes a content has.
func (c *Content) size() int {
	total := len(c.File)
	for name, text := range c.Overlays {
		total += len(name) + len(text)
	}
	return total
}

func (c *Content) check() error {
	switch {
	case len(c.File) > MaxFileBytes:
		return fmt.Errorf("file: %d bytes, and %d may be", len(c.File), MaxFileBytes)
	case !utf8.ValidString(c.File):
		return errors.New("file: it is not text in UTF-8")
	case len(c.Overlays) > MaxOverlays:
		return fmt.Errorf("overlays: %d, and %d may be", len(c.Overlays), MaxOverlays)
	}
	for _, name := range slices.Sorted(maps.Keys(c.Overlays)) {
		text := c.Overlays[name]
		if err := checkName("overlays: instance", name); err != nil {
			return err
		}
		if len(text) > MaxFileBytes || !utf8.ValidString(text) {
			return fmt.Errorf("overlays: %s: it is not text in UTF-8 of at most %d bytes", name, MaxFileBytes)
		}
	}
	if total := c.size(); total > MaxContentBytes {
		return fmt.Errorf("content: %d bytes, and %d may be", total, MaxContentBytes)
	}
	return nil
}

func checkName(what, name string) error {
	if name == "" || len(name) > MaxNameBytes || !utf8.ValidString(name) || strings.ContainsFunc(name, func(r rune) bool { return r < ' ' || r == 0x7f }) {
		return fmt.Errorf("%s: %.40q is empty, longer than %d bytes or no plain text", what, name, MaxNameBytes)
	}
	return nil
}

// Check finds what is wrong with a command, whatever the state is.
func (c *Command) Check() error {
	if err := checkName("request", c.Request); err != nil {
		return err
	}
	if err := checkName("author", c.Author); err != nil {
		return err
	}
	switch {
	case len(c.Message) > MaxMessageBytes || !utf8.ValidString(c.Message):
		return fmt.Errorf("message: it is not text in UTF-8 of at most %d bytes", MaxMessageBytes)
	case c.Content == nil && c.Restore == 0:
		return errors.New("content: is missing")
	case c.Content != nil && c.Restore != 0:
		return errors.New("restore: a content stands beside it")
	case c.At.IsZero():
		return errors.New("at: is missing")
	case c.Content != nil:
		return c.Content.check()
	}
	return nil
}

// Encode writes a command for the log that all voters share.
func (c *Command) Encode() ([]byte, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return json.Marshal(c)
}

// Decode reads what Encode wrote. It takes nothing else: an unknown key may be a
// meaning that is missed.
func Decode(text []byte) (Command, error) {
	var c Command
	if len(text) > maxEncodedBytes {
		return Command{}, fmt.Errorf("command: %d bytes, and %d may be", len(text), maxEncodedBytes)
	}
	if err := DecodeStrict(text, &c); err != nil {
		return Command{}, fmt.Errorf("command: %w", err)
	}
	if err := c.Check(); err != nil {
		return Command{}, fmt.Errorf("command: %w", err)
	}
	return c, nil
}

// maxEncodedBytes bounds what is read at all. JSON may take six bytes for one.
const maxEncodedBytes = 6*MaxContentBytes + 64<<10

// DecodeStrict reads one JSON value and nothing else: a key that v does not know, or
// anything behind the value, is an error.
func DecodeStrict(text []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("something follows it")
	}
	return nil
}
