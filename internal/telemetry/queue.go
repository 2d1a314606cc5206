package telemetry

import "sync"

// batch is one encoded OTLP message.
type batch struct {
	body  []byte // compressed protobuf
	items int    // spans or metric points
}

// queue holds the batches that wait for delivery, up to maxBytes. When the limit is exceeded, the oldest are dropped
// and their items counted.
type queue struct {
	maxBytes int
	added    chan struct{} // has a buffer of one; signals that a batch was added

	mu      sync.Mutex
	list    []batch
	bytes   int
	dropped uint64 // items
}

func newQueue(queueBytes int) *queue {
	return &queue{maxBytes: queueBytes, added: make(chan struct{}, 1)}
}

// add appends a batch.
func (q *queue) add(b batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append(q.list, b)
	q.bytes += len(b.body)
	q.trim()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// requeue puts back a batch that could not be delivered, as the oldest.
func (q *queue) requeue(b batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append([]batch{b}, q.list...)
	q.bytes += len(b.body)
	q.trim()
}

// trim drops the oldest batches until the limit is met. The caller must hold mu.
func (q *queue) trim() {
	for len(q.list) > 0 && q.bytes > q.maxBytes {
		q.bytes -= len(q.list[0].body)
		q.dropped += uint64(q.list[0].items)
		q.list[0] = batch{}
		q.list = q.list[1:]
	}
}

// pop removes and returns the oldest batch.
func (q *queue) pop() (b batch, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == 0 {
		return b, false
	}
	b = q.list[0]
	q.list[0] = batch{}
	q.list = q.list[1:]
	q.bytes -= len(b.body)
	return b, true
}

// countDropped counts items outside the queue that will not be delivered.
func (q *queue) countDropped(items int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped += uint64(items)
}

// stats returns the number of bytes queued and of items dropped so far.
func (q *queue) stats() (bytes int, dropped uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes, q.dropped
}

// clear drops all batches.
func (q *queue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, b := range q.list {
		q.dropped += uint64(b.items)
	}
	q.list, q.bytes = nil, 0
}
