package peers

import (
	"cmp"
	"context"

	"elderyard/members"
)

// join starts an attempt to join members that are not alive, unless one is running or none is due. Its goroutine is one
// of p.background and ends after all targets, or when cancelJoin is called and the detector is closed.
func (p *Peers) join() {
	if p.resigned || p.joinDone != nil {
		return
	}
	var seeds []string
	for _, seed := range p.settings.Seeds {
		if seed = cmp.Or(p.settings.AddressOverrides[seed], seed); seed != p.settings.Advertise {
			seeds = append(seeds, seed)
		}
	}
	now := p.clock.now()
	view := p.machine.View(now)
	addressOf := func(name string) string { return cmp.Or(p.settings.AddressOverrides[name], p.saved.Addresses[name]) }
	targets := p.contacts.JoinTargets(now, &view, addressOf, seeds, p.rng)
	if len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done, d := make(chan struct{}), p.detector
	p.joinDone, p.cancelJoin = done, cancel
	p.background.Go(func() { defer close(done); defer cancel(); d.join(ctx, targets) })
}

// sendRoster sends the roster to a member if that is due. Its goroutine is one of p.background and ends when the
// detector is closed, at the latest.
func (p *Peers) sendRoster(to members.Alive) {
	r := p.machine.Roster()
	if !p.contacts.ShouldSendRoster(p.clock.now(), r, to) {
		return
	}
	d, m := p.detector, message{Version: p.settings.protocolVersion, From: p.settings.Self, Roster: r}
	p.background.Go(func() { d.send(to, m) }) // if it fails, the next push/pull exchange transfers the roster
}
