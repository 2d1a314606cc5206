package lease

import (
	"errors"
	"math"
	"testing"
	"time"
)

var terms = Terms{Duration: 10 * time.Second, Drift: 0.05, Margin: 200 * time.Millisecond, RenewInterval: 2 * time.Second, MaxTickGap: time.Second}

func TestTermsCheck(t *testing.T) {
	for name, change := range map[string]func(*Terms){
		"negative drift":   func(t *Terms) { t.Drift = -1 },
		"drift is NaN":     func(t *Terms) { t.Drift = math.NaN() },
		"no duration":      func(t *Terms) { t.Duration = 0 },
		"too few renewals": func(t *Terms) { t.RenewInterval = 4 * time.Second },
		"margin too large": func(t *Terms) { t.Margin = 9 * time.Second },
		"no tick gap":      func(t *Terms) { t.MaxTickGap = 0 },
	} {
		invalid := terms
		change(&invalid)
		if _, err := NewGranter(invalid); !errors.Is(err, ErrInvalidTerms) {
			t.Errorf("%s: NewGranter returned %v", name, err)
		}
		if _, err := NewHolder(invalid, 1, 0, 0); !errors.Is(err, ErrInvalidTerms) {
			t.Errorf("%s: NewHolder returned %v", name, err)
		}
	}
}
