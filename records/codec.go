package records

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MaxMessageBytes bounds a message on the wire, before and after compression.
const MaxMessageBytes = 8 << 20

// ErrMessage is that a message is damaged, too large or contradicts itself.
var ErrMessage = errors.New("unusable message about records")

// checker is a message that can be held to its own rules.
type checker interface{ check() error }

// EncodeAnswer returns the answer as it goes over the wire.
func EncodeAnswer(answer Answer) ([]byte, error) { return encode(answer) }

// DecodeAnswer reads what EncodeAnswer has written; the error wraps ErrMessage.
func DecodeAnswer(data []byte) (Answer, error) { return decode[Answer](data) }

func encode(message any) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode message about records: %w", err)
	}
	if len(text) > MaxMessageBytes {
		return nil, fmt.Errorf("encode message about records: %d bytes, at most %d are allowed", len(text), MaxMessageBytes)
	}
	return compress(text), nil
}

func decode[Message checker](data []byte) (Message, error) {
	var message, none Message
	text, err := expand(data, MaxMessageBytes)
	if err != nil {
		return none, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if err := decodeStrict(text, &message); err != nil {
		return none, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if err := message.check(); err != nil {
		return none, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return message, nil
}
