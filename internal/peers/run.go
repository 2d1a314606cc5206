package peers

import (
	"context"
	"time"

	"elderyard/members"
)

const reconcileIntervals = 2 // intervals between looks at the files and the whole list

// Run takes part until ctx ends, then says good-bye. Told is called in Run's
// goroutine with each new number that quotas are divided by, and that of the
// senders to a cold backend; it must not wait.
func (p *Peers) Run(ctx context.Context, divisorsChanged func(quotaDivisor, senders int)) {
	defer close(p.done)
	for p.detector == nil {
		err := p.connect()
		if err == nil {
			break
		}
		// In an upgrade the process before has the address until it ends.
		select {
		case <-ctx.Done():
			return
		case <-time.After(p.settings.ProbeInterval / 4):
		}
	}
	defer func() { p.stopDetector(!p.resigned) }()
	tick := time.NewTicker(p.settings.ProbeInterval / 4)
	defer tick.Stop()
	quotaDivisor, senders, lastReconcile := 0, 0, p.clock.now()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-p.detector.events:
			p.handle(ev)
		case a := <-p.evidenceQueries:
			a.done <- p.machine.Evidence(a.name)
		case <-p.joinDone:
			p.joinDone = nil
		case <-tick.C:
			p.unpublished = true // with each tick all that is shown is, its age too
			p.handle(members.Tick{})
			if now := p.clock.now(); now-lastReconcile >= reconcileIntervals*p.settings.ProbeInterval {
				lastReconcile = now
				p.reconcile()
			}
			p.join()
		}
		if !p.unpublished {
			continue // an answer like those before it: most events are
		}
		p.unpublished = false
		p.publish()
		p.persist()
		if s, c := p.machine.QuotaDivisor(), p.machine.Senders(); s != quotaDivisor || c != senders {
			quotaDivisor, senders = s, c
			divisorsChanged(quotaDivisor, senders)
		}
	}
}

func (p *Peers) handle(ev members.Event) {
	if p.resigned {
		if _, tick := ev.(members.Tick); !tick {
			return
		}
	}
	if !p.machine.Handle(p.clock.now(), ev) {
		return
	}
	p.unpublished = true
	if later := p.machine.Superseded(); later != 0 && !p.resigned {
		p.resign(later)
		return
	}
	p.detector.announce(p.announcement())
	if a, is := ev.(members.Alive); is {
		p.sendRoster(a)
	}
}

// stopDetector ends the library.
func (p *Peers) stopDetector(leave bool) {
	if p.cancelJoin != nil {
		p.cancelJoin()
	}
	p.detector.close(leave)
	p.background.Wait()
	p.joinDone = nil
}
