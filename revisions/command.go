package revisions

import (
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"
)

// Command is one change that an operator requests.
type Command struct {
	IdempotencyKey string    `json:"request"`           // idempotency key: the same for every repeat of the command
	Parent         uint64    `json:"parent"`            // the revision that it was made from; the command conflicts unless this is the head
	Restore        uint64    `json:"restore,omitempty"` // number of the revision whose content is restored; 0: Content is set
	Content        *Content  `json:"content,omitempty"`
	Author         string    `json:"author"`
	Message        string    `json:"message,omitempty"`
	At             time.Time `json:"at"`
}

// Status is the result of a command.
type Status string

// The results of a command.
const (
	Accepted        Status = "accepted"
	Unchanged       Status = "no change" // the head has this content already
	Conflict        Status = "conflict"  // the head is not the parent: nothing has changed
	UnknownRevision Status = "unknown"   // the revision to restore is not in the history
)

// Result is the result of a command with the revision that was created, or, unless Status is Accepted, the head.
type Result struct {
	Status   Status   `json:"answer"`
	Revision Revision `json:"revision"`
}

// Check returns a *FieldError for a command that is invalid in any state.
func (c *Command) Check() error {
	if !validName(c.IdempotencyKey) {
		return fieldErrorf("request", nameRule, c.IdempotencyKey, MaxNameBytes)
	}
	if !validName(c.Author) {
		return fieldErrorf("author", nameRule, c.Author, MaxNameBytes)
	}
	switch {
	case len(c.Message) > MaxMessageBytes || !utf8.ValidString(c.Message):
		return fieldErrorf("message", "it is not text in UTF-8 of at most %d bytes", MaxMessageBytes)
	case c.Content == nil && c.Restore == 0:
		return fieldErrorf("content", "is missing")
	case c.Content != nil && c.Restore != 0:
		return fieldErrorf("restore", "a content stands beside it")
	case c.At.IsZero():
		return fieldErrorf("at", "is missing")
	case c.Content != nil:
		return c.Content.check()
	}
	return nil
}

// Encode encodes a command for the replicated log. The error is that of Check.
func (c *Command) Encode() ([]byte, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return json.Marshal(c)
}

// Decode decodes the output of Encode and rejects anything else. An unknown key is an error: a voter that skipped it would
// reach another state than one that knows it. A command that was decoded but is invalid is a *FieldError.
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

// maxEncodedBytes bounds the input of Decode. JSON encodes one byte as six at most.
const maxEncodedBytes = 6*MaxContentBytes + 64<<10
