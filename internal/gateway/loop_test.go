package gateway

import (
	"strconv"
	"testing"
)

// IDs are remembered for as long as a request may be open, but not forever.
func TestRecentIDs(t *testing.T) {
	const span = 4.0
	r := recentIDs{span: span}
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
	for i := range 3 * idsPerSpan {
		r.add(strconv.Itoa(i), 3*span)
	}
	if n := len(r.current) + len(r.previous); n > 2*idsPerSpan {
		t.Errorf("%d IDs are remembered", n)
	}
}
