package lab

import (
	"context"

	"elderyard/internal/standin/collector"
	"elderyard/internal/standin/link"
)

func counterGone(_ context.Context, l *Lab, _ *Fault, _ []int) (func() error, error) {
	return takeDown(l.counter.Links()), nil
}

// takeDown makes links refuse connections and returns the function that undoes it.
func takeDown(links []*link.Link) (undo func() error) {
	for _, k := range links {
		k.Down()
	}
	return func() error {
		for _, k := range links {
			if err := k.Up(); err != nil {
				return err
			}
		}
		return nil
	}
}

func counterSilent(_ context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	var links []cuttable
	for _, k := range l.counter.Links() {
		for _, t := range targets {
			if k.Peer() == l.gateways[t].name {
				links = append(links, k)
			}
		}
	}
	inParallel(links, cuttable.Cut)
	return func() error {
		inParallel(links, healKept)
		return nil
	}, nil
}

func counterSplit(_ context.Context, l *Lab, _ *Fault, _ []int) (func() error, error) {
	half := map[string]int{}
	for i, g := range l.gateways {
		half[g.name] = i % 2
	}
	l.counter.Split(half)
	return func() error {
		l.counter.Heal(0)
		return nil
	}, nil
}

func counterEmpty(_ context.Context, l *Lab, _ *Fault, _ []int) (func() error, error) {
	l.counter.Reset()
	return nil, nil
}

func counterMisbehave(_ context.Context, l *Lab, f *Fault, _ []int) (func() error, error) {
	remove := l.counterFaults.add(faultKindNamed(f.Kind).counterFault(f.size()))
	l.counter.SetFaults(l.counterFaults.worst())
	return func() error {
		remove()
		l.counter.SetFaults(l.counterFaults.worst())
		return nil
	}, nil
}

func registrySilent(_ context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	return l.setRegistryFault(targets, l.registry.SetSilent), nil
}

func registryStale(_ context.Context, l *Lab, _ *Fault, targets []int) (func() error, error) {
	return l.setRegistryFault(targets, l.registry.SetStale), nil
}

// setRegistryFault turns a fault on for the targets and returns the function that turns it off.
func (l *Lab) setRegistryFault(targets []int, set func(gateway string, on bool)) (undo func() error) {
	for _, t := range targets {
		set(l.gateways[t].name, true)
	}
	return func() error {
		for _, t := range targets {
			set(l.gateways[t].name, false)
		}
		return nil
	}
}

func collectorGone(_ context.Context, l *Lab, _ *Fault, _ []int) (func() error, error) {
	return takeDown(l.collector.Links()), nil
}

func collectorSilent(_ context.Context, l *Lab, _ *Fault, _ []int) (func() error, error) {
	l.collector.SetFaults(collector.Faults{Silent: true})
	return func() error {
		l.collector.SetFaults(collector.Faults{})
		return nil
	}, nil
}
