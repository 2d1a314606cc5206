package records

import (
	"bytes"
	"fmt"
	"sync"

	"github.com/klauspost/compress/zstd"
)

// minCompressBytes is the smallest size of a message that is compressed.
const minCompressBytes = 512

// zstdMagic is the magic number of a Zstandard frame. No JSON text begins with it.
var zstdMagic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// encoderWindow is the encoder's window size in bytes, which limits its memory.
const encoderWindow = 1 << 20

// encoder is shared by all callers: its EncodeAll is safe for concurrent use.
var encoder = sync.OnceValue(func() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderLevel(zstd.SpeedBetterCompression),
		zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(encoderWindow),
		zstd.WithLowerEncoderMem(true))
	if err != nil {
		panic(err) // the options are constant
	}
	return encoder
})

// compress returns the data as a Zstandard frame if it is large enough, else unchanged.
func compress(data []byte) []byte {
	if len(data) < minCompressBytes {
		return data
	}
	return encoder().EncodeAll(data, nil)
}

// decompress reverses compress. It rejects data that expands to more than limit bytes before it allocates memory
// for them. Each call creates a decoder, since the limit is a setting of the decoder.
func decompress(data []byte, limit int) ([]byte, error) {
	if !bytes.HasPrefix(data, zstdMagic) {
		if len(data) > limit {
			return nil, fmt.Errorf("%d bytes, at most %d are allowed", len(data), limit)
		}
		return data, nil
	}
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(limit)))
	if err != nil {
		return nil, fmt.Errorf("zstd decoder: %w", err)
	}
	defer decoder.Close()
	expanded, err := decoder.DecodeAll(data, nil)
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(expanded) > limit {
		return nil, fmt.Errorf("%d bytes, at most %d are allowed", len(expanded), limit)
	}
	return expanded, nil
}
