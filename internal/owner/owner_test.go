package owner

import (
	"math/rand/v2"
	"slices"
	"testing"

	"elderyard/rules"
)

// The module expects replies for a key in the order of the calls, so a later call that
// ends first must wait for the earlier one.
func TestRepliesInOrder(t *testing.T) {
	l := &EventLoop{pendingCalls: map[uint64][]*call{}, gateway: &rules.Gateway{}}
	l.events = []rules.Event{nil} // as within an outer call of Handle: replies are queued
	first, second, other := &call{}, &call{}, &call{}
	first.Key, second.Key, other.Key = 1, 1, 2
	l.pendingCalls[1], l.pendingCalls[2] = []*call{first, second}, []*call{other}
	l.endCall(second, rules.Overloaded, 0)
	l.endCall(other, rules.Served, 3)
	l.endCall(first, rules.Served, 5)
	l.endCall(first, rules.TimedOut, 0) // has ended already
	var got []rules.Outcome
	for _, ev := range l.events[1:] {
		got = append(got, ev.(rules.CounterReply).Outcome)
	}
	if want := []rules.Outcome{rules.Served, rules.Served, rules.Overloaded}; !slices.Equal(got, want) || len(l.pendingCalls) > 0 {
		t.Errorf("replies %v, want %v; %d keys with pending calls", got, want, len(l.pendingCalls))
	}
}

// Timers of finished operations must not wake the process, but no timer that something
// waits for may be dropped.
func TestObsoleteTimers(t *testing.T) {
	l := &EventLoop{checks: map[rules.RequestID]*Check{7: {}}}
	for _, c := range []struct {
		name  string
		timer timerEntry
		want  bool
	}{
		{"timer of the module without a request", timerEntry{}, false},
		{"timer of a pending check", timerEntry{request: 7}, false},
		{"timer of a finished request", timerEntry{request: 8}, true},
		{"timeout of a pending call", timerEntry{timeout: &call{}}, false},
		{"timeout of a finished call", timerEntry{timeout: &call{ended: true}}, true},
	} {
		if got := l.obsolete(c.timer); got != c.want {
			t.Errorf("%s: obsolete %t, want %t", c.name, got, c.want)
		}
	}
}

// Timers are removed in the order of their times, whatever the order of insertion.
func TestTimerHeapOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var h timerHeap
	for round := range 200 {
		var want []float64
		for _, e := range h {
			want = append(want, e.at)
		}
		for range r.IntN(20) {
			at := float64(r.IntN(30))
			h.push(timerEntry{at: at})
			want = append(want, at)
		}
		slices.Sort(want)
		for _, at := range want[:r.IntN(len(want)+1)] {
			if got := h.pop(); got.at != at {
				t.Fatalf("round %d: timer for %g removed before the one for %g", round, got.at, at)
			}
		}
	}
}

func BenchmarkTimerHeap(b *testing.B) {
	var h timerHeap
	for i := range 500 {
		h.push(timerEntry{at: float64(i * 7919 % 500)})
	}
	b.ReportAllocs()
	for b.Loop() {
		t := h.pop()
		t.at += 500
		h.push(t)
	}
}
