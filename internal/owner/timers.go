package owner

import (
	"slices"

	"elderyard/rules"
)

const (
	sweepInterval  = 1.0 // seconds after which obsolete timers are removed
	minSweepLength = 64  // timers: with fewer, obsolete ones are not removed earlier than that
)

// Timeout is an operation with a time limit. Most operations finish before their limit, and
// the process is not woken for the timers of those, nor are they kept until the limit.
type Timeout interface {
	Finished() bool // nothing waits for the time limit any more
	Expire()        // the time limit has passed
}

// timerEntry is a timer of the module or a Timeout.
type timerEntry struct {
	at      float64
	token   uint64
	request rules.RequestID // 0: belongs to no request
	timeout Timeout         // nil: a timer of the module
}

// timerHeap is a binary heap with the earliest timer first. It implements the algorithm of
// container/heap without its interface, which cost two allocations per timer; a request
// has several timers.
type timerHeap []timerEntry

// push adds a timer.
func (h *timerHeap) push(t timerEntry) {
	*h = append(*h, t)
	list := *h
	for i := len(list) - 1; i > 0; {
		parent := (i - 1) / 2
		if list[parent].at <= list[i].at {
			return
		}
		list[parent], list[i] = list[i], list[parent]
		i = parent
	}
}

// pop removes and returns the earliest timer. The heap must not be empty.
func (h *timerHeap) pop() timerEntry {
	list := *h
	first, last := list[0], len(list)-1
	list[0], list[last] = list[last], timerEntry{}
	*h = list[:last]
	h.siftDown(0)
	return first
}

// removeFunc removes the timers for which remove returns true.
func (h *timerHeap) removeFunc(remove func(timerEntry) bool) {
	*h = slices.DeleteFunc(*h, remove)
	for i := len(*h)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}

// siftDown moves the timer at index i down until none below it is earlier.
func (h timerHeap) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if right := child + 1; right < len(h) && h[right].at < h[child].at {
			child = right
		}
		if h[i].at <= h[child].at {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}

// sweepTrigger decides when the obsolete timers of a heap are removed: after sweepInterval, or earlier if the number of
// timers has doubled. So an operation that has ended is soon released, and a timer is checked about twice on average.
type sweepTrigger struct {
	at     float64
	length int
}

// newSweepTrigger returns the trigger for the next removal after one at now that left length timers.
func newSweepTrigger(now float64, length int) sweepTrigger {
	return sweepTrigger{at: now + sweepInterval, length: max(2*length, minSweepLength)}
}

// isDue reports whether to remove the obsolete timers of a heap with length timers.
func (s sweepTrigger) isDue(now float64, length int) bool { return now >= s.at || length >= s.length }
