package peers

import (
	"fmt"

	"elderyard/members"
)

// startIncarnation starts a life. It is written down before anybody hears of it.
func (p *Peers) startIncarnation(incarnation members.Incarnation) (err error) {
	p.saved.Incarnation = incarnation
	if err := p.settings.store(p.saved); err != nil {
		return err
	}
	p.incarnationStarted = p.clock.now()
	p.machine, err = members.New(p.settings.machineSettings(incarnation), p.saved.Roster, p.incarnationStarted)
	return err
}

// connect opens the sockets of this life.
func (p *Peers) connect() error {
	t, err := listen(&p.settings, &p.traffic)
	if err != nil {
		return err
	}
	m, state := p.announcement()
	if p.detector, err = startDetector(&p.settings, t, p.keyring, p.saved.Incarnation, m, state); err != nil {
		return err
	}
	p.contacts = members.NewContacts(p.settings.ProbeInterval, p.clock.now())
	return nil
}

// announcement is what this process tells of itself.
func (p *Peers) announcement() (meta, message) {
	r := p.machine.Roster()
	return meta{Version: p.settings.protocolVersion, Epoch: r.Epoch, Sum: fmt.Sprintf("%016x", r.Sum()), AdminAddress: p.settings.AdminAddress},
		message{Version: p.settings.protocolVersion, From: p.settings.Self, Roster: r, Incarnations: p.machine.Incarnations()}
}

// resign gives way to a later life of this process's name. One that has only just
// begun is itself the later one, whatever its clock says: it takes a higher number.
func (p *Peers) resign(later members.Incarnation) {
	if !members.MayRaiseIncarnation(p.raises, p.clock.now()-p.incarnationStarted, p.settings.ProbeInterval) {
		p.settings.Log("peers: life %d of %s is there; this one, %d, takes no part any more", later, p.settings.Self, p.saved.Incarnation)
		p.resigned = true
		p.stopDetector(true)
		return
	}
	p.raises++
	p.stopDetector(true)
	p.settings.Log("peers: life %d of %s has been; this one begins again above it", later, p.settings.Self)
	p.saved.Roster = p.machine.Roster()
	err := p.startIncarnation(members.IncarnationAbove(later))
	if err == nil {
		err = p.connect()
	}
	if err != nil {
		p.settings.Log("peers: %v; this process takes no part any more", err)
		p.resigned = true
	}
}
