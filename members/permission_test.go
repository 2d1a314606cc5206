package members

import "testing"

// A permission that a process obtained before it was suspended expires, so that the process notices before the effect.
func TestPermissionExpiresWithoutTick(t *testing.T) {
	m := completeMachine(t, 3)
	p := m.Permission()
	if allowed, reason := p.Allows(m.now+seconds(0.3), ExerciseLease); !allowed {
		t.Fatalf("forbidden right after a tick: %s", reason)
	}
	if allowed, _ := p.Allows(m.now+seconds(10), ExerciseLease); allowed {
		t.Error("ten seconds after the last tick it may still exercise a lease")
	}
	if allowed, _ := p.Allows(m.now+seconds(10), AnswerOperator); !allowed {
		t.Error("it may not answer an operator")
	}
}
