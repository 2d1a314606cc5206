package peers

import (
	"fmt"

	"elderyard/members"
)

// startIncarnation starts an incarnation with a new machine. It must save the incarnation before anything is sent:
// otherwise a restart could use the same one again.
func (p *Peers) startIncarnation(incarnation members.Incarnation) (err error) {
	p.saved.Incarnation = incarnation
	if err := p.settings.store(p.saved); err != nil {
		return err
	}
	p.incarnationStarted = p.clock.now()
	p.machine, err = members.New(p.settings.machineSettings(incarnation), p.saved.Roster, p.incarnationStarted)
	return err
}

// connect opens the sockets and starts the failure detector of this incarnation. If that fails, p.detector stays the
// previous one: Run receives its events and closes it.
func (p *Peers) connect() error {
	sockets, err := listen(&p.settings, &p.traffic)
	if err != nil {
		return err
	}
	m, state := p.announcement()
	detector, err := startDetector(&p.settings, sockets, p.keyring, p.saved.Incarnation, m, state)
	if err != nil {
		return err
	}
	p.detector = detector
	p.contacts = members.NewContacts(p.settings.ProbeInterval, p.clock.now())
	return nil
}

// announcement returns the metadata of this process, which is part of each gossip message about it, and its state for
// push/pull exchanges.
func (p *Peers) announcement() (meta, message) {
	r := p.machine.Roster()
	return meta{Version: p.settings.protocolVersion, Epoch: r.Epoch, Sum: fmt.Sprintf("%016x", r.Sum()), AdminAddress: p.settings.AdminAddress},
		message{Version: p.settings.protocolVersion, From: p.settings.Self, Roster: r, Incarnations: p.machine.Incarnations()}
}

// resign handles a higher incarnation of this process's own name. A process that has just started is the later one,
// even if its clock is behind: it restarts with a still higher incarnation. Any other process closes its detector
// permanently.
func (p *Peers) resign(later members.Incarnation) {
	if !members.MayRaiseIncarnation(p.incarnationRaises, p.clock.now()-p.incarnationStarted, p.settings.ProbeInterval) {
		p.settings.Log.Warn("peers: superseded by a later incarnation; resigned", "name", p.settings.Self, "incarnation", p.saved.Incarnation, "later", later)
		p.resigned = true
		p.stopDetector(true)
		return
	}
	p.incarnationRaises++
	p.stopDetector(true)
	p.settings.Log.Info("peers: restarting with a higher incarnation", "name", p.settings.Self, "incarnation", p.saved.Incarnation, "later", later)
	p.saved.Roster = p.machine.Roster()
	err := p.startIncarnation(members.IncarnationAbove(later))
	if err == nil {
		err = p.connect()
	}
	if err != nil {
		p.settings.Log.Error("peers: restart with a higher incarnation failed; resigned", "error", err)
		p.resigned = true
	}
}
