package owner

import "elderyard/rules"

// Timeout is an operation with a time limit. Most operations finish before their limit, and
// the process is not woken for the timers of those.
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
	list = list[:last]
	*h = list
	for i := 0; ; {
		child := 2*i + 1
		if child >= last {
			return first
		}
		if right := child + 1; right < last && list[right].at < list[child].at {
			child = right
		}
		if list[i].at <= list[child].at {
			return first
		}
		list[i], list[child] = list[child], list[i]
		i = child
	}
}
