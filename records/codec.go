package records

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MaxMessageBytes bounds a message on the wire, before and after compression.
const MaxMessageBytes = 2 << 20

// ErrMessage is that a message is damaged, too large or contradicts itself.
var ErrMessage = errors.New("unusable message about records")

// validator is a message that can be held to its own rules.
type validator interface{ validate() error }

// EncodeChangesResponse returns the answer as it goes over the wire.
func EncodeChangesResponse(answer ChangesResponse) ([]byte, error) { return encode(answer) }

// DecodeChangesResponse reads what EncodeChangesResponse has written; the error wraps ErrMessage.
func DecodeChangesResponse(data []byte) (ChangesResponse, error) {
	return decode[ChangesResponse](data)
}

// EncodeRangeDigests returns the digests as they go over the wire.
func EncodeRangeDigests(digests RangeDigests) ([]byte, error) { return encode(digests) }

// DecodeRangeDigests reads what EncodeRangeDigests has written; the error wraps
// ErrMessage.
func DecodeRangeDigests(data []byte) (RangeDigests, error) { return decode[RangeDigests](data) }

// EncodeChunk returns the chunk as it goes over the wire.
func EncodeChunk(chunk Chunk) ([]byte, error) { return encode(chunk) }

// DecodeChunk reads what EncodeChunk has written; the error wraps ErrMessage.
func DecodeChunk(data []byte) (Chunk, error) { return decode[Chunk](data) }

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

func decode[Message validator](data []byte) (Message, error) {
	var message, none Message
	text, err := decompress(data, MaxMessageBytes)
	if err != nil {
		return none, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if err := decodeStrict(text, &message); err != nil {
		return none, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	if err := message.validate(); err != nil {
		return none, fmt.Errorf("%w: %w", ErrMessage, err)
	}
	return message, nil
}
