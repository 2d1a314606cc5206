package lab

import (
	"context"
	"time"

	"elderyard/internal/standin/backend"
	"elderyard/internal/wait"
)

func nodeKill(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		n := l.nodes[t]
		n.Kill()
		l.runAfter(ctx, min(registryDetectsDeathAfter, f.For/2), func() { l.announceNode(n, registryGone) })
	}
	return l.restartNodes(targets), nil
}

// restartNodes returns a function that restarts nodes, cold.
func (l *Lab) restartNodes(targets []int) (restart func() error) {
	return func() error {
		for _, t := range targets {
			n := l.nodes[t]
			if err := n.Restart(); err != nil {
				return err
			}
			l.announceNode(n, registryReady)
		}
		return nil
	}
}

func nodeVanish(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		n := l.nodes[t]
		n.Cut()
		l.runAfter(ctx, min(registryDetectsSilenceAfter, f.For/2), func() { l.announceNode(n, registryGone) })
	}
	restart := l.restartNodes(targets)
	return func() error {
		for _, t := range targets {
			l.nodes[t].Kill() // resets open connections
		}
		return restart()
	}, nil
}

func nodeCut(_ context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		l.nodes[t].Cut()
	}
	return func() error {
		for _, t := range targets {
			l.nodes[t].Heal(false)
		}
		return nil
	}, nil
}

func nodeReset(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.runUntilUndone(ctx, func(ctx context.Context) {
		for ctx.Err() == nil {
			for _, t := range targets {
				l.nodes[t].Reset()
			}
			wait.For(ctx, time.Duration(float64(time.Second)/f.size()))
		}
	}), nil
}

func nodeMisbehave(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.injectNodeFault(targets, faultKindNamed(f.Kind).backendFault(f.size())), nil
}

// injectNodeFault adds a fault to nodes and returns the function that removes it.
func (l *Lab) injectNodeFault(targets []int, trouble backend.Faults) (undo func() error) {
	var undos []func() error
	for _, i := range targets {
		undos = append(undos, l.nodes[i].injectFault(trouble))
	}
	return undoAll(undos)
}

func nodePause(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	pause := milliseconds(f.size())
	return l.runUntilUndone(ctx, func(ctx context.Context) {
		for ctx.Err() == nil {
			resume := l.injectNodeFault(targets, backend.Faults{Stalled: true})
			wait.For(ctx, pause)
			resume()
			wait.For(ctx, pauseInterval-pause)
		}
	}), nil
}

func nodeDrain(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	for _, t := range targets {
		n := l.nodes[t]
		l.announceNode(n, registryDraining)
		n.Drain(true)
		l.runAfter(ctx, min(nodeDrainTime, f.For/2), func() {
			n.Kill()
			l.announceNode(n, registryGone)
		})
	}
	return l.restartNodes(targets), nil
}
