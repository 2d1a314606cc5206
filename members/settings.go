package members

import (
	"fmt"
	"time"
)

// Settings are the parameters of a machine.
type Settings struct {
	Self       string
	Life       Life
	Tick       time.Duration // interval of Tick events
	StallAfter time.Duration // a tick that is later by this much shows that the process was suspended
	Settle     time.Duration // how long the evidence must support a better verdict before it is adopted
	SettleMost time.Duration // its maximum, reached if verdicts keep changing
	Blind      time.Duration // time without an answer after which the silence of others counts; also the longest suspicion
}

// Check returns an error if the settings are invalid.
func (s *Settings) Check() error {
	if err := CheckName(s.Self); err != nil {
		return fmt.Errorf("own name: %w", err)
	}
	switch {
	case s.Life == 0:
		return fmt.Errorf("life: it is 0")
	case s.Tick <= 0 || s.StallAfter < 2*s.Tick:
		return fmt.Errorf("stall: %v is less than two ticks of %v", s.StallAfter, s.Tick)
	case s.Settle <= 0 || s.SettleMost < s.Settle:
		return fmt.Errorf("settle: %v, at most %v, is not in order", s.Settle, s.SettleMost)
	case s.Blind < s.Settle:
		return fmt.Errorf("blind: %v is less than the %v of a verdict", s.Blind, s.Settle)
	}
	return nil
}
