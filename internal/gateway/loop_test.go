package gateway

import (
	"testing"

	"linnetbend/rules"
)

// Timers of what is over wake nobody, but none that is waited for may be lost.
func TestVoidTimers(t *testing.T) {
	l := &Loop{live: map[rules.RequestID]*exchange{7: {}}}
	for _, c := range []struct {
		name string
		t    timerEntry
		want bool
	}{
		{"the module's own", timerEntry{}, false},
		{"of a live request", timerEntry{request: 7}, false},
		{"of a request that is over", timerEntry{request: 8}, true},
		{"of an attempt that is out", timerEntry{attempt: &attempt{}}, false},
		{"of an attempt that has ended", timerEntry{attempt: &attempt{ended: true}}, true},
		{"of a call that is out", timerEntry{call: &call{}}, false},
		{"of an answered call", timerEntry{call: &call{ended: true}}, true},
	} {
		if got := l.void(c.t); got != c.want {
			t.Errorf("%s: void %t", c.name, got)
		}
	}
}
