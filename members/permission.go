package members

// Permission states which operations a process may perform. It is an immutable copy that is safe for concurrent use. To
// check it, only a clock is needed.
type Permission struct {
	verdict    Verdict
	superseded bool
	validUntil Time // without a newer Permission by then, the process was suspended
}

// Permission returns the permission after the last event.
func (m *Machine) Permission() Permission {
	return Permission{m.verdict, m.supersededBy != 0, m.lastTick + m.settings.TickInterval + m.settings.StallThreshold}
}

// Allows reports whether an operation is allowed at now, and the reason. It must be called right before the effect:
// otherwise a process that was suspended in between could act on a lease or quota that it has lost.
func (p Permission) Allows(now Time, op Operation) (allowed bool, reason string) {
	v := p.verdict
	if now >= p.validUntil {
		v = Unsure
	}
	if p.superseded && op != AnswerOperator && op != CountPeerUsage {
		return false, "a later life of this name is there"
	}
	return Allows(op, v)
}

// Allows is like Permission.Allows, for the goroutine that owns the machine.
func (m *Machine) Allows(now Time, op Operation) (allowed bool, reason string) {
	return m.Permission().Allows(now, op)
}

// mayRaiseQuota reports whether the verdict allows a smaller divisor of quotas.
func (m *Machine) mayRaiseQuota() bool {
	allowed, _ := m.Allows(m.now, RaiseQuota)
	return allowed
}
