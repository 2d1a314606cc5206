package gateway

import (
	"errors"
	"sync/atomic"
)

const (
	bodyMemoryDivisor   = 8        // the heap divided by the memory for bodies that are being buffered
	uploadMemoryDivisor = 4        // and by that for streamed request bodies
	uploadMemory        = 32 << 10 // bytes that one of these needs beside its client's connection: stacks and buffers of both sides
)

var errNoUploadMemory = errors.New("too many long bodies at once")

// bodyBudget bounds the memory of all bodies that are being buffered. A body for which there is none left is streamed: it
// needs little memory, but can be sent only once. A nil budget has no bound.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve takes the given number of bytes from the budget, or nothing if there are fewer.
func (b *bodyBudget) reserve(bytes int) bool {
	if b == nil {
		return true
	}
	if b.used.Add(int64(bytes)) > b.limit {
		b.used.Add(-int64(bytes))
		return false
	}
	return true
}

// release gives bytes back.
func (b *bodyBudget) release(bytes int) {
	if b != nil {
		b.used.Add(-int64(bytes))
	}
}

// bodyBuffer is the buffer of one request body.
type bodyBuffer struct {
	budget   *bodyBudget
	reserved int
	bytes    []byte
}

// grow makes room for more bytes, up to limit in all. It reports false if the budget is used up. Buffers of up to
// maxPreallocatedBody don't count: every request may have one.
func (b *bodyBuffer) grow(limit int) bool {
	next := min(max(2*cap(b.bytes), maxPreallocatedBody), limit)
	if next > maxPreallocatedBody {
		if !b.budget.reserve(next - b.reserved) {
			return false
		}
		b.reserved = next
	}
	grown := make([]byte, len(b.bytes), next)
	copy(grown, b.bytes)
	b.bytes = grown
	return true
}

// free gives what the buffer has reserved back. Its bytes may still be in use for a moment, by an attempt that is not
// waited for.
func (b *bodyBuffer) free() {
	b.budget.release(b.reserved)
	b.reserved = 0
}
