package records

import "time"

// Defaults of a follower's budget.
const (
	DefaultBytesPerSecond = 6000
	DefaultBurstBytes     = 4 * DefaultBytesPerSecond
)

// maxBudgetDebt is how much of the budget, in time, changes may be ahead of it.
const maxBudgetDebt = time.Minute

// budget is a token bucket of bytes that may go into debt: what has come has come,
// and is paid off afterwards.
type budget struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time // of the last refill
}

func newBudget(bytesPerSecond, burstBytes int, now time.Time) budget {
	if bytesPerSecond <= 0 {
		bytesPerSecond = DefaultBytesPerSecond
	}
	if burstBytes <= 0 {
		burstBytes = DefaultBurstBytes
	}
	return budget{perSecond: float64(bytesPerSecond), burst: float64(burstBytes), tokens: float64(burstBytes), refilledAt: now}
}

// refill adds what the time since the last refill is worth; a clock that goes back
// adds nothing.
func (b *budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.perSecond)
	}
	b.refilledAt = now
}

func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }

// readyAt returns when the budget is out of a debt of more than the given time.
func (b *budget) readyAt(debt time.Duration) time.Time {
	missing := -b.tokens - debt.Seconds()*b.perSecond
	if missing <= 0 {
		return b.refilledAt
	}
	return b.refilledAt.Add(time.Duration(missing/b.perSecond*float64(time.Second)) + time.Millisecond)
}
