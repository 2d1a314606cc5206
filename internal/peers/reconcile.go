package peers

import (
	"fmt"

	"elderyard/members"
)

// reconcile compares with the library's whole list, and reads files that have changed.
func (p *Peers) reconcile() {
	if p.resigned {
		return
	}
	p.reconcileMembers()
	if p.keyFile.changed(p.settings.KeyFile) {
		keys, err := readKeys(p.settings.KeyFile)
		if err == nil {
			err = updateKeyring(p.keyring, keys)
		}
		p.keyFile.report(p.settings.Log, err, "the old keys stay")
		if err == nil {
			p.settings.Log("peers: %d keys from %s", len(keys), p.settings.KeyFile)
		}
	}
	if p.rosterFile.changed(p.settings.RosterFile) {
		r, err := readRoster(p.settings.RosterFile)
		if have := p.machine.Roster(); err == nil && r.Epoch < have.Epoch {
			err = fmt.Errorf("%s: epoch %d is older than %d, which this one has", p.settings.RosterFile, r.Epoch, have.Epoch)
		} else if err == nil && r.Epoch == have.Epoch && r.Sum() != have.Sum() {
			err = fmt.Errorf("%s: it differs from the roster of epoch %d that is in use; a change needs a higher epoch", p.settings.RosterFile, r.Epoch)
		}
		p.rosterFile.report(p.settings.Log, err, "the old roster stays")
		if err == nil {
			p.handle(members.RosterReceived{Roster: r, By: p.settings.RosterFile})
		}
	}
}

// reconcileMembers brings the machine to the library's list.
func (p *Peers) reconcileMembers() {
	incarnation, eventsDropped, alive := p.saved.Incarnation, p.detector.eventsDropped.Swap(false), p.detector.alive()
	for _, a := range alive {
		if a.Name != p.settings.Self || a.Incarnation != incarnation {
			p.sendRoster(a)
		}
	}
	for _, ev := range p.machine.Reconcile(alive, eventsDropped) {
		if p.handle(ev); p.resigned || p.saved.Incarnation != incarnation {
			return // what was compared is no more
		}
	}
}
