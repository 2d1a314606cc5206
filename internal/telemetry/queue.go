package telemetry

import "sync"

// batch is one message that is ready to leave.
type batch struct {
	body  []byte // protobuf, packed
	items int    // spans, or points of metrics
}

// queue holds batches that wait for the collector, within a bound in bytes. At the
// bound the oldest go, and are counted.
type queue struct {
	most int
	wake chan struct{} // has room for one: something has come

	mu      sync.Mutex
	list    []batch
	bytes   int
	dropped uint64 // items
}

func newQueue(most int) *queue { return &queue{most: most, wake: make(chan struct{}, 1)} }

// add takes a batch in at the end.
func (q *queue) add(b batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append(q.list, b)
	q.bytes += len(b.body)
	q.trim()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// putBack takes in again, as the oldest, what could not be sent.
func (q *queue) putBack(b batch) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.list = append([]batch{b}, q.list...)
	q.bytes += len(b.body)
	q.trim()
}

func (q *queue) trim() {
	for len(q.list) > 0 && q.bytes > q.most {
		q.bytes -= len(q.list[0].body)
		q.dropped += uint64(q.list[0].items)
		q.list[0] = batch{}
		q.list = q.list[1:]
	}
}

// take takes the oldest off.
func (q *queue) take() (b batch, ok bool) {
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

// lose counts items that will not leave.
func (q *queue) lose(items int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped += uint64(items)
}

// state is how much waits, and how many items were dropped so far.
func (q *queue) state() (bytes int, dropped uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes, q.dropped
}

// clear drops all that waits.
func (q *queue) clear() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, b := range q.list {
		q.dropped += uint64(b.items)
	}
	q.list, q.bytes = nil, 0
}
