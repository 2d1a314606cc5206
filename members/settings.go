package members

import (
	"errors"
	"fmt"
	"time"
)

// Settings are the parameters of a Machine. The driver derives all durations from its probe interval.
type Settings struct {
	Self           string        // name of this process
	Incarnation    Incarnation   // of this process, not 0
	TickInterval   time.Duration // between Tick events
	StallThreshold time.Duration // delay of a tick from which the process counts as suspended
	MinSettleTime  time.Duration // how long the evidence must support a better verdict before it is adopted
	MaxSettleTime  time.Duration // limit of the settle time, which doubles with each recent fall of the verdict
	SilenceTimeout time.Duration // time without any answer after which the verdict is Alone; also the longest suspicion
}

// Check returns an error that names the first invalid setting, nil if there is none.
func (s *Settings) Check() error {
	if err := CheckName(s.Self); err != nil {
		return fmt.Errorf("own name: %w", err)
	}
	switch {
	case s.Incarnation == 0:
		return errors.New("incarnation: it is 0")
	case s.TickInterval <= 0 || s.StallThreshold < 2*s.TickInterval:
		return fmt.Errorf("stall threshold: %v is less than two ticks of %v", s.StallThreshold, s.TickInterval)
	case s.MinSettleTime <= 0 || s.MaxSettleTime < s.MinSettleTime:
		return fmt.Errorf("settle time: the minimum %v and the maximum %v are not in order", s.MinSettleTime, s.MaxSettleTime)
	case s.SilenceTimeout < s.MinSettleTime:
		return fmt.Errorf("silence timeout: %v is less than the minimum settle time of %v", s.SilenceTimeout, s.MinSettleTime)
	}
	return nil
}
