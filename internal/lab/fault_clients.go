package lab

import (
	"context"

	"elderyard/internal/lab/load"
)

func badClients(ctx context.Context, l *Lab, f *Fault, _ []int) (func() error, error) {
	bad := &load.Bad{Seed: l.site.Seed, Count: int(f.size()), Gap: badClientInterval, Owed: badOwed, Front: l.front, Sink: l,
		Class: l.site.classes()[1], Plan: l.site.plans()[0]}
	return l.runUntilUndone(ctx, bad.Play), nil
}

// surges returns the site's surges, which are part of the load's timeline.
func (s *Site) surges() (list []load.Surge) {
	for i := range s.Faults {
		if f := &s.Faults[i]; f.Kind == "surge" {
			list = append(list, load.Surge{From: f.At, To: f.At + f.For, Plan: planIndex(f.Plan), Times: f.size()})
		}
	}
	return list
}
