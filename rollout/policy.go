package rollout

import (
	"fmt"
	"time"
)

// Policy sets the limits of a rollout. Durations are measured on the machine's clock, see Machine.Handle.
type Policy struct {
	Canaries         int           // number of instances in the first wave
	Waves            []float64     // fraction of all instances assigned by the end of each further wave, rising to 1
	MaxUnavailable   int           // instances that may be unavailable at once, except those silent or past ReadyTimeout
	ReadyTimeout     time.Duration // from an assignment until the instance is ready; beyond it the rollout is rolled back
	SoakDuration     time.Duration // how long an instance must then stay ready without a crash
	SilenceTimeout   time.Duration // time since its last report after which an instance is silent
	MaxSilent        int           // assigned instances that may be silent before the rollout is rolled back
	MaxServiceDrop   float64       // fraction by which the service level may fall below that at the start; 0: not checked
	LowServiceWindow time.Duration // how long the service level may stay below that limit
	Timeout          time.Duration // from the start to the end, including pauses; beyond it the rollout is rolled back
	RollbackTimeout  time.Duration // from the start of a rollback until it ends without the missing instances
}

// Validate returns an error if a rollout with this policy could not start or could not end. The error is shown to
// operators, so it uses the words of the configuration file.
func (p *Policy) Validate() error {
	switch {
	case p.Canaries < 1:
		return fmt.Errorf("canaries: %d is below 1", p.Canaries)
	case p.MaxUnavailable < 1:
		return fmt.Errorf("most away: %d is below 1: nobody could ever be told", p.MaxUnavailable)
	case p.MaxSilent < 0:
		return fmt.Errorf("most silent: %d is below 0", p.MaxSilent)
	case p.ReadyTimeout <= 0 || p.SilenceTimeout <= 0 || p.Timeout <= 0 || p.RollbackTimeout <= 0:
		return fmt.Errorf("ready within, silent after, deadline and rollback within must be above 0")
	case p.SoakDuration < 0 || p.LowServiceWindow < 0:
		return fmt.Errorf("soak for and service for must not be below 0")
	case p.MaxServiceDrop < 0 || p.MaxServiceDrop >= 1:
		return fmt.Errorf("service fall: %g is not from 0 to below 1", p.MaxServiceDrop)
	}
	for i, fraction := range p.Waves {
		if fraction <= 0 || fraction > 1 || i > 0 && fraction <= p.Waves[i-1] {
			return fmt.Errorf("waves: %v do not rise to 1", p.Waves)
		}
	}
	if n := len(p.Waves); n == 0 || p.Waves[n-1] != 1 {
		return fmt.Errorf("waves: %v do not rise to 1", p.Waves)
	}
	return nil
}
