package lab

import (
	"context"
	"sync"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/wait"
)

func gatewayKill(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		g := l.gateways[t]
		end := l.excuseFromNow(g, "killed")
		if err := l.killGateway(g); err != nil {
			return nil, err
		}
		l.removeDeadFromFront(ctx, g)
		l.wg.Go(func() {
			if wait.For(ctx, f.For) {
				if err := l.startGateway(ctx, g); err != nil && ctx.Err() == nil {
					l.addError(err)
				}
			}
			end()
		})
	}
	return nil, nil
}

// removeDeadFromFront removes a dead gateway from the front, after the time that detecting it takes.
func (l *Lab) removeDeadFromFront(ctx context.Context, g *gatewayProcess) {
	l.runAfter(ctx, frontDetectsDeathAfter, func() {
		if g.pid() == 0 {
			l.leaveOut(g)
		}
	})
}

func gatewayStop(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	var undo []func() error
	for _, t := range targets {
		g := l.gateways[t]
		end := l.excuseFromNow(g, "stopped")
		if err := l.pause(g, true); err != nil {
			return nil, err
		}
		undo = append(undo, func() error {
			err := l.pause(g, false)
			// Requests that it held when it woke are excused; those after it has caught up are not.
			l.wg.Go(func() {
				wait.For(l.ctx, wakeGrace)
				end()
			})
			return err
		})
	}
	return undoAll(undo), nil
}

func gatewayRestart(ctx context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		g := l.gateways[t]
		l.runAfter(ctx, frontDetectsDrainAfter, func() { l.leaveOut(g) }) // until then it gets new connections
		killed, err := l.retireGateway(g)
		if err != nil {
			return nil, err
		}
		if killed {
			l.site.Log("%s did not end within %v of SIGTERM and was killed", g.name, killAfter)
		}
		if err := l.startGateway(ctx, g); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

func gatewayReload(ctx context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		if err := l.reloadGateway(ctx, l.gateways[t]); err != nil {
			return nil, err
		}
	}
	return nil, nil
}

// reloadGateway moves a gateway to its other addresses of counter and registry.
func (l *Lab) reloadGateway(ctx context.Context, g *gatewayProcess) error {
	g.mu.Lock()
	oldSide := g.side
	g.side = 1 - oldSide
	g.mu.Unlock()
	for _, k := range l.stateLinks(g, g.side) {
		if err := k.Up(); err != nil {
			return err
		}
	}
	if err := l.writeConfig(g); err != nil {
		return err
	}
	if err := g.signal(sigHup, ""); err != nil {
		return err
	}
	l.runAfter(ctx, oldAddressesKeptFor, func() {
		for _, k := range l.stateLinks(g, oldSide) {
			k.Down()
		}
	})
	return nil
}

func gatewayCut(_ context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	var undo []func() error
	for _, t := range targets {
		g := l.gateways[t]
		end := l.markDeaf(g)
		links := l.linksOf(g)
		inParallel(links, cuttable.Cut)
		undo = append(undo, func() error {
			inParallel(links, healKept)
			end()
			return nil
		})
	}
	return undoAll(undo), nil
}

// linksOf returns a gateway's links to nodes, counter and registry.
func (l *Lab) linksOf(g *gatewayProcess) (links []cuttable) {
	for _, n := range l.nodes {
		links = append(links, nodeLink{n, g.name})
	}
	for side := range sides {
		for _, k := range l.stateLinks(g, side) {
			links = append(links, k)
		}
	}
	return links
}

// gatewayStarve stops and continues processes in turns, so that they get a part of a core at best.
func gatewayStarve(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	stopped := time.Duration(f.size() * float64(starvePart))
	return l.runUntilUndone(ctx, func(ctx context.Context) {
		var starving sync.WaitGroup
		for _, t := range targets {
			starving.Go(func() { l.starve(ctx, l.gateways[t], stopped) })
		}
		starving.Wait()
	}), nil
}

// starve keeps a process stopped for a part of each starvePart until ctx ends.
func (l *Lab) starve(ctx context.Context, g *gatewayProcess, stopped time.Duration) {
	what := "starve " + g.name
	end := l.excuseFromNow(g, "starved")
	defer end()
	l.happened(audit.Troubled, what)
	for ctx.Err() == nil {
		if g.signal(sigStop, "") != nil {
			break // it has ended
		}
		wait.For(ctx, stopped)
		g.signal(sigCont, "")
		wait.For(ctx, starvePart-stopped)
	}
	l.happened(audit.Healed, what)
	wait.For(l.ctx, wakeGrace)
}
