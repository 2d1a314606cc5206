package lab

import (
	"context"
	"slices"
	"time"

	"elderyard/internal/lab/audit"
	"elderyard/internal/standin/faultproxy"
	"elderyard/internal/wait"
)

// setLinkFaults sets a fault on the directions that affected selects, by the gateways' indices, and returns the
// function that clears it.
func (l *Lab) setLinkFaults(what string, affected func(from, to int) bool, set, clear func(*faultproxy.Fault)) (undo func() error) {
	type direction struct{ from, to string }
	var directions []direction
	names := l.gatewayNames()
	for from := range names {
		for to := range names {
			if from != to && affected(from, to) {
				directions = append(directions, direction{names[from], names[to]})
			}
		}
	}
	l.happened(audit.Troubled, what)
	for _, d := range directions {
		l.peerNetwork.proxy.UpdateFault(d.from, d.to, set)
	}
	return func() error {
		for _, d := range directions {
			l.peerNetwork.proxy.UpdateFault(d.from, d.to, clear)
		}
		l.happened(audit.Healed, what)
		return nil
	}
}

// cutLinks cuts the directions that affected selects.
func (l *Lab) cutLinks(f *Fault, affected func(from, to int) bool) (undo func() error) {
	cut := func(f *faultproxy.Fault) { f.Cut = true }
	heal := func(f *faultproxy.Fault) { f.Cut = false }
	return l.setLinkFaults(f.Kind, affected, cut, heal)
}

// toOrFrom selects the directions to and from targets.
func toOrFrom(targets []int) func(from, to int) bool {
	return func(from, to int) bool { return slices.Contains(targets, from) || slices.Contains(targets, to) }
}

func peersCut(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.cutLinks(f, func(from, to int) bool { return slices.Contains(targets, from) != slices.Contains(targets, to) }), nil
}

func peersApart(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.cutLinks(f, toOrFrom(targets)), nil
}

func peersDeaf(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.cutLinks(f, func(_, to int) bool { return slices.Contains(targets, to) }), nil
}

func peersMute(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	return l.cutLinks(f, func(from, _ int) bool { return slices.Contains(targets, from) }), nil
}

func peersRing(_ context.Context, l *Lab, f *Fault, _ []int) (func() error, error) {
	n := len(l.gateways)
	return l.cutLinks(f, func(from, to int) bool {
		distance := (from - to + n) % n
		return distance != 1 && distance != n-1
	}), nil
}

func peersFlap(ctx context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	half := time.Duration(float64(time.Second) / f.size() / 2)
	return l.runUntilUndone(ctx, func(ctx context.Context) {
		for ctx.Err() == nil {
			undo, _ := peersCut(ctx, l, f, targets)
			wait.For(ctx, half)
			undo()
			wait.For(ctx, half)
		}
	}), nil
}

func peersDegrade(_ context.Context, l *Lab, f *Fault, targets []int) (func() error, error) {
	setSize := faultKindNamed(f.Kind).linkFault
	degrade := func(link *faultproxy.Fault) { setSize(link, f.size()) }
	restore := func(link *faultproxy.Fault) { setSize(link, 0) }
	return l.setLinkFaults(f.Kind, toOrFrom(targets), degrade, restore), nil
}
