package owner

import (
	"math/rand/v2"
	"slices"
	"testing"

	"elderyard/rules"
)

// The module takes replies for one name in the order of the calls, so a later
// call that ends first waits for the earlier.
func TestRepliesInOrder(t *testing.T) {
	l := &EventLoop{calls: map[uint64][]*call{}, gateway: &rules.Gateway{}}
	l.pending = []rules.Event{nil} // an outer call is at it: replies are queued
	first, second, other := &call{}, &call{}, &call{}
	first.Key, second.Key, other.Key = 1, 1, 2
	l.calls[1], l.calls[2] = []*call{first, second}, []*call{other}
	l.endCall(second, rules.Overloaded, 0)
	l.endCall(other, rules.Served, 3)
	l.endCall(first, rules.Served, 5)
	l.endCall(first, rules.TimedOut, 0) // it has ended
	var got []rules.Outcome
	for _, ev := range l.pending[1:] {
		got = append(got, ev.(rules.CounterReply).Outcome)
	}
	if want := []rules.Outcome{rules.Served, rules.Served, rules.Overloaded}; !slices.Equal(got, want) || len(l.calls) > 0 {
		t.Errorf("replies %v, want %v; %d names left", got, want, len(l.calls))
	}
}

// Timers of what is over wake nobody, but none that is waited for may be lost.
func TestVoidTimers(t *testing.T) {
	l := &EventLoop{checks: map[rules.RequestID]*Check{7: {}}}
	for _, c := range []struct {
		name string
		t    timerEntry
		want bool
	}{
		{"the module's own", timerEntry{}, false},
		{"of one that is out", timerEntry{request: 7}, false},
		{"of a request that is over", timerEntry{request: 8}, true},
		{"of what is out", timerEntry{due: &call{}}, false},
		{"of what has ended", timerEntry{due: &call{ended: true}}, true},
	} {
		if got := l.void(c.t); got != c.want {
			t.Errorf("%s: void %t", c.name, got)
		}
	}
}

// Timers come off in the order of their times, whatever the order they went on.
func TestTimersComeInOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var h timerHeap
	for round := range 200 {
		var want []float64
		for _, e := range h {
			want = append(want, e.at)
		}
		for range r.IntN(20) {
			at := float64(r.IntN(30))
			h.add(timerEntry{at: at})
			want = append(want, at)
		}
		slices.Sort(want)
		for _, at := range want[:r.IntN(len(want)+1)] {
			if got := h.next(); got.at != at {
				t.Fatalf("round %d: %g came before %g", round, got.at, at)
			}
		}
	}
}

func BenchmarkTimers(b *testing.B) {
	var h timerHeap
	for i := range 500 {
		h.add(timerEntry{at: float64(i * 7919 % 500)})
	}
	b.ReportAllocs()
	for b.Loop() {
		t := h.next()
		t.at += 500
		h.add(t)
	}
}
