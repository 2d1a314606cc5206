package records

import "time"

// Defaults of a follower's traffic budget.
const (
	DefaultBytesPerSecond = 6000
	DefaultBurstBytes     = 4 * DefaultBytesPerSecond
)

// maxBudgetDebt is the largest debt at which a follower still requests changes, expressed as the time that refills it.
const maxBudgetDebt = time.Minute

// budget is a token bucket of bytes. Its balance may become negative (a debt), since the size of a response is
// known only after it was received; the debt delays later requests.
type budget struct {
	perSecond  float64
	burst      float64
	tokens     float64
	refilledAt time.Time
}

// newBudget returns a full budget. Values of 0 or less mean the defaults.
func newBudget(bytesPerSecond, burstBytes int, now time.Time) budget {
	if bytesPerSecond <= 0 {
		bytesPerSecond = DefaultBytesPerSecond
	}
	if burstBytes <= 0 {
		burstBytes = DefaultBurstBytes
	}
	return budget{perSecond: float64(bytesPerSecond), burst: float64(burstBytes), tokens: float64(burstBytes), refilledAt: now}
}

// refill adds the tokens for the time since the last refill, and none if the clock went back.
func (b *budget) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+elapsed.Seconds()*b.perSecond)
	}
	b.refilledAt = now
}

// spend removes tokens; the balance may become negative.
func (b *budget) spend(bytes int) { b.tokens -= float64(bytes) }

// readyAt returns when the debt will be at most what refills within the given duration.
func (b *budget) readyAt(debt time.Duration) time.Time {
	excess := -b.tokens - debt.Seconds()*b.perSecond
	if excess <= 0 {
		return b.refilledAt
	}
	return b.refilledAt.Add(time.Duration(excess/b.perSecond*float64(time.Second)) + time.Millisecond)
}
