package members

import (
	"fmt"
	"time"
)

// Settings are the parameters of a machine.
type Settings struct {
	Self           string
	Incarnation    Incarnation
	TickInterval   time.Duration // interval of Tick events
	StallThreshold time.Duration // a tick that is later by this much shows that the process was suspended
	MinSettleTime  time.Duration // how long the evidence must support a better verdict before it is adopted
	MaxSettleTime  time.Duration // its maximum, reached if verdicts keep changing
	SilenceTimeout time.Duration // time without an answer after which the silence of others counts; also the longest suspicion
}

// Check returns an error if the settings are invalid.
func (s *Settings) Check() error {
	if err := CheckName(s.Self); err != nil {
		return fmt.Errorf("own name: %w", err)
	}
	switch {
	case s.Incarnation == 0:
		return fmt.Errorf("life: it is 0")
	case s.TickInterval <= 0 || s.StallThreshold < 2*s.TickInterval:
		return fmt.Errorf("stall: %v is less than two ticks of %v", s.StallThreshold, s.TickInterval)
	case s.MinSettleTime <= 0 || s.MaxSettleTime < s.MinSettleTime:
		return fmt.Errorf("settle: %v, at most %v, is not in order", s.MinSettleTime, s.MaxSettleTime)
	case s.SilenceTimeout < s.MinSettleTime:
		return fmt.Errorf("blind: %v is less than the %v of a verdict", s.SilenceTimeout, s.MinSettleTime)
	}
	return nil
}
