package gateway

import (
	"elderyard/internal/discovery"
	"elderyard/rules"
)

// An address belongs to one process at a time. Backends are replaced by new ones at the address of one that has gone, and
// discovery may list both for a while: what is sent to the old one would run at the new one, against the wrong capacity
// and the wrong memory of keys. The one that has started last has the address.

// claimAddress assigns its address to a ready backend and removes the one that had it before. It reports false if a
// backend that started later has it: then this one has gone.
func (l *Loop) claimAddress(event *rules.Backends, backend rules.Backend, instance discovery.Instance) bool {
	holder, held := l.addresses[instance.HostPort]
	if !held || holder == backend.ID {
		return true
	}
	other := l.readyBackends[holder]
	switch {
	case other.startedAt > backend.StartedAt:
		l.pools.supersede(backend.ID, other.startedAt)
		return false
	case other.startedAt < backend.StartedAt:
		l.forgetReady(holder)
		l.pools.supersede(holder, backend.StartedAt)
		event.Entries = append(event.Entries, rules.Backend{ID: holder, State: rules.Removed})
	}
	return true
}

// setReady records a ready backend.
func (l *Loop) setReady(id rules.BackendID, ready readyBackend) {
	l.forgetReady(id)
	l.readyBackends[id], l.addresses[ready.address] = ready, id
}

// forgetReady forgets a backend that is no longer ready.
func (l *Loop) forgetReady(id rules.BackendID) {
	if ready, known := l.readyBackends[id]; known && l.addresses[ready.address] == id {
		delete(l.addresses, ready.address)
	}
	delete(l.readyBackends, id)
}

// supersede removes the endpoint of a backend whose process has gone. Its connections that were established before the
// given time, when another process had its address, will bring no more responses.
func (p *pools) supersede(id rules.BackendID, since float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.endpoints[id]; e != nil {
		e.restarted = restartTime(since)
		p.closeEarlierProcess(e)
		p.retire(e, false)
		delete(p.endpoints, id)
	}
}
