package peers

// reconcile compares the machine with the complete list of the failure detector, and reloads changed files.
func (p *Peers) reconcile() {
	if p.resigned {
		return
	}
	p.reconcileMembers()
	p.reloadKeys()
	p.reloadRoster()
}

// reconcileMembers passes events to the machine for its differences from the complete list of the failure detector.
func (p *Peers) reconcileMembers() {
	incarnation, eventsDropped, alive := p.saved.Incarnation, p.detector.eventsDropped.Swap(false), p.detector.alive()
	for _, a := range alive {
		if a.Name != p.settings.Self || a.Incarnation != incarnation {
			p.sendRoster(a)
		}
	}
	for _, ev := range p.machine.Reconcile(alive, eventsDropped) {
		if p.handle(ev); p.resigned || p.saved.Incarnation != incarnation {
			return // the list was compared with the previous machine
		}
	}
}
