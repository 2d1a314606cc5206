package revisions

import (
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"
)

// Command is a change requested by an operator.
type Command struct {
	IdempotencyKey string    `json:"request"`           // the same for all repeats of the command
	Parent         uint64    `json:"parent"`            // the revision that it is based on, which must be the head
	Restore        uint64    `json:"restore,omitempty"` // the revision whose content to restore; 0 if Content is set
	Content        *Content  `json:"content,omitempty"`
	Author         string    `json:"author"`
	Message        string    `json:"message,omitempty"`
	At             time.Time `json:"at"`
}

// Status is the kind of a command's result.
type Status string

// The kinds of results.
const (
	Accepted        Status = "accepted"
	Unchanged       Status = "no change" // the head already has this content
	Conflict        Status = "conflict"  // the parent is not the head; nothing has changed
	UnknownRevision Status = "unknown"   // the revision to restore is not in the history
)

// Result is the result of a command. Revision is the new revision if Status is Accepted, otherwise the head.
type Result struct {
	Status   Status   `json:"answer"`
	Revision Revision `json:"revision"`
}

// Check returns a *FieldError for a command that is invalid regardless of the state.
func (c *Command) Check() error {
	if !validName(c.IdempotencyKey) {
		return fieldErrorf("request", invalidNameFormat, c.IdempotencyKey, MaxNameBytes)
	}
	if !validName(c.Author) {
		return fieldErrorf("author", invalidNameFormat, c.Author, MaxNameBytes)
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

// Decode decodes the output of Encode and rejects any other input. An unknown key is an error: a voter that ignored it
// would reach a different state than a voter that knows it. For a well-formed command that is invalid the error wraps a
// *FieldError.
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

// maxEncodedBytes limits the input of Decode. JSON encodes one byte of text as at most six bytes.
const maxEncodedBytes = 6*MaxContentBytes + 64<<10
