package peers

import (
	"cmp"
	"context"

	"elderyard/members"
)

// join asks whom it does not hear to let it in again.
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
	targets := p.contacts.JoinTargets(now, &view, func(name string) string { return cmp.Or(p.settings.AddressOverrides[name], p.saved.Addresses[name]) }, seeds, p.rng)
	if len(targets) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	done, d := make(chan struct{}), p.detector
	p.joinDone, p.cancelJoin = done, cancel
	p.background.Go(func() { defer close(done); defer cancel(); d.join(ctx, targets) })
}

// sendRoster gives a member this process's roster, where it is to have it.
func (p *Peers) sendRoster(a members.Alive) {
	r := p.machine.Roster()
	if !p.contacts.ShouldSendRoster(p.clock.now(), r, a) {
		return
	}
	d, m := p.detector, message{Version: p.settings.protocolVersion, From: p.settings.Self, Roster: r}
	p.background.Go(func() { d.send(a, m) }) // what it misses, the next exchange of states brings
}
