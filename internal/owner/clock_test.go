package owner

import (
	"testing"
	"time"

	"elderyard/internal/testpeer"
)

// The windows of leases are derived from the clock, so it must follow Unix time for gateways
// to agree on them.
func TestClock(t *testing.T) {
	c := NewClock()
	now := c.Now()
	if d := time.Since(c.At(now)); d < 0 || d > testpeer.Timeout || time.Since(time.Unix(int64(now), 0)) > testpeer.Timeout {
		t.Errorf("Now is %f and converts to a time %v ago", now, d)
	}
}
