package members

import "testing"

// A permission expires without further ticks, so that a process that was suspended cannot act on a permission that it
// obtained before.
func TestPermissionExpiresWithoutTick(t *testing.T) {
	m := completeMachine(t, 3)
	p := m.Permission()
	if allowed, reason := p.Allows(m.now+seconds(0.3), ExerciseLease); !allowed {
		t.Fatalf("lease forbidden right after a tick: %s", reason)
	}
	if allowed, _ := p.Allows(m.now+seconds(10), ExerciseLease); allowed {
		t.Error("lease allowed ten seconds after the last tick")
	}
	if allowed, _ := p.Allows(m.now+seconds(10), AnswerOperator); !allowed {
		t.Error("answering an operator is forbidden ten seconds after the last tick")
	}
}
