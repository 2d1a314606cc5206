package gateway

import (
	"strconv"
	"testing"
)

// Ids are remembered for as long as a request may be open, and not for good.
func TestRecent(t *testing.T) {
	const span = 4.0
	r := recent{span: span}
	for _, c := range []struct {
		id   string
		at   float64
		want bool
	}{
		{"a", 0, true}, {"a", 1, false}, {"b", span + 1, true}, {"a", span + 2, false},
		{"b", 2*span + 2, false}, {"a", 2*span + 3, true},
	} {
		if got := r.add(c.id, c.at); got != c.want {
			t.Errorf("%s at %v: new %t", c.id, c.at, got)
		}
	}
	for i := range 3 * recentMost {
		r.add(strconv.Itoa(i), 3*span)
	}
	if n := len(r.now) + len(r.last); n > 2*recentMost {
		t.Errorf("%d ids are remembered", n)
	}
}
