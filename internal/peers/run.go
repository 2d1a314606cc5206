package peers

import (
	"context"
	"time"

	"elderyard/internal/wait"
	"elderyard/members"
)

// Intervals in units of Settings.ProbeInterval.
const (
	ticksPerInterval   = 4
	reconcileIntervals = 2 // between reconciliations
)

// Run runs the membership until ctx ends, then announces the graceful shutdown and closes the sockets. It must be
// called once. It calls divisorsChanged in its own goroutine with each new quota divisor and each new number of
// processes that send to a backend that is warming up. The function must not block.
func (p *Peers) Run(ctx context.Context, divisorsChanged func(quotaDivisor, senders int)) {
	defer close(p.done)
	if !p.connectWithRetry(ctx) {
		return
	}
	defer func() { p.stopDetector(!p.resigned) }()
	tick := time.NewTicker(p.settings.ProbeInterval / ticksPerInterval)
	defer tick.Stop()
	quotaDivisor, senders, lastReconcile := 0, 0, p.clock.now()
	for {
		select {
		case <-ctx.Done():
			return
		case ev := <-p.detector.events:
			p.handle(ev)
		case query := <-p.evidenceQueries:
			query.done <- p.machine.Evidence(query.name)
		case <-p.joinDone:
			p.joinDone = nil
		case <-tick.C:
			p.unpublished = true // each tick renews the published ages and the permission
			p.handle(members.Tick{})
			if now := p.clock.now(); now-lastReconcile >= reconcileIntervals*p.settings.ProbeInterval {
				lastReconcile = now
				p.reconcile()
			}
			p.join()
		}
		if !p.unpublished {
			continue // most events are acknowledged probes, which change nothing
		}
		p.unpublished = false
		p.publish()
		p.persist()
		if newDivisor, newSenders := p.machine.QuotaDivisor(), p.machine.Senders(); newDivisor != quotaDivisor || newSenders != senders {
			quotaDivisor, senders = newDivisor, newSenders
			divisorsChanged(quotaDivisor, senders)
		}
	}
}

// connectWithRetry opens the sockets if they are not open, and retries until that succeeds: during an upgrade, the
// previous process holds the address until it ends. It returns false if ctx ends first.
func (p *Peers) connectWithRetry(ctx context.Context) bool {
	for p.detector == nil && p.connect() != nil {
		if !wait.For(ctx, p.settings.ProbeInterval/ticksPerInterval) {
			return false
		}
	}
	return true
}

// handle applies an event to the machine, then announces and sends what has changed. A process that has resigned
// handles ticks alone.
func (p *Peers) handle(ev members.Event) {
	if p.resigned {
		if _, isTick := ev.(members.Tick); !isTick {
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
	if alive, ok := ev.(members.Alive); ok {
		p.sendRoster(alive)
	}
}

// stopDetector closes the failure detector and waits for the goroutines of p.background. If leave is set, it announces
// the graceful shutdown.
func (p *Peers) stopDetector(leave bool) {
	if p.cancelJoin != nil {
		p.cancelJoin()
	}
	p.detector.close(leave)
	p.background.Wait()
	p.joinDone = nil
}
