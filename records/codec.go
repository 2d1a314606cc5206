package records

import (
	"encoding/json"
	"errors"
	"fmt"
)

// MaxMessageBytes limits the size of a message on the wire, before and after compression.
const MaxMessageBytes = 2 << 20

// ErrMessage means that a message is malformed, too large or inconsistent.
var ErrMessage = errors.New("unusable message about records")

// validator is a message from another program.
type validator interface {
	// validate returns an error if the message is inconsistent.
	validate() error
}

// EncodeChangesResponse returns the response in its wire format. It fails if the message exceeds MaxMessageBytes.
func EncodeChangesResponse(response ChangesResponse) ([]byte, error) { return encode(response) }

// DecodeChangesResponse decodes and validates a response. The error wraps ErrMessage.
func DecodeChangesResponse(data []byte) (ChangesResponse, error) {
	return decode[ChangesResponse](data)
}

// EncodeRangeDigests returns the digests in their wire format.
func EncodeRangeDigests(digests RangeDigests) ([]byte, error) { return encode(digests) }

// DecodeRangeDigests decodes and validates digests. The error wraps ErrMessage.
func DecodeRangeDigests(data []byte) (RangeDigests, error) { return decode[RangeDigests](data) }

// EncodeChunk returns the chunk in its wire format. It fails if the message exceeds MaxMessageBytes.
func EncodeChunk(chunk Chunk) ([]byte, error) { return encode(chunk) }

// DecodeChunk decodes and validates a chunk. The error wraps ErrMessage.
func DecodeChunk(data []byte) (Chunk, error) { return decode[Chunk](data) }

// encode returns the message as JSON, compressed if it is large.
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

// decode decodes a message strictly, with bounded memory, and validates it. The error wraps
// ErrMessage.
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
