package owner

import "elderyard/rules"

// Timeout is what waits for a moment. Timers of what is over are most of all, and the
// process is not woken for them.
type Timeout interface {
	Finished() bool // nobody waits any more
	Expire()        // the moment has come
}

// timerEntry is a timer of the module's, or another's.
type timerEntry struct {
	at      float64
	token   uint64
	request rules.RequestID // 0: the timer belongs to none
	due     Timeout         // nil: it is the module's
}

// timerHeap has the earliest timer first. It is container/heap's algorithm
// without its interface: that took two allocations a timer, and a request has
// several.
type timerHeap []timerEntry

func (h *timerHeap) add(t timerEntry) {
	*h = append(*h, t)
	list := *h
	for i := len(list) - 1; i > 0; {
		up := (i - 1) / 2
		if list[up].at <= list[i].at {
			return
		}
		list[up], list[i] = list[i], list[up]
		i = up
	}
}

// next takes the earliest timer off. There must be one.
func (h *timerHeap) next() timerEntry {
	list := *h
	first, last := list[0], len(list)-1
	list[0], list[last] = list[last], timerEntry{}
	list = list[:last]
	*h = list
	for i := 0; ; {
		least := 2*i + 1
		if least >= last {
			return first
		}
		if right := least + 1; right < last && list[right].at < list[least].at {
			least = right
		}
		if list[i].at <= list[least].at {
			return first
		}
		list[i], list[least] = list[least], list[i]
		i = least
	}
}
