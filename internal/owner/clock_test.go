package owner

import (
	"testing"
	"time"

	"elderyard/internal/testpeer"
)

// The windows of leases are cut from the clock, so gateways must agree on it.
func TestClock(t *testing.T) {
	c := NewClock()
	at := c.Now()
	if d := time.Since(c.At(at)); d < 0 || d > testpeer.Patience || time.Since(time.Unix(int64(at), 0)) > testpeer.Patience {
		t.Errorf("now is %f, %v ago", at, d)
	}
}
