// Package wait provides sleeps that end early when a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ended first.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Until waits until t. It returns false if ctx ended first.
func Until(ctx context.Context, t time.Time) bool { return For(ctx, time.Until(t)) }
