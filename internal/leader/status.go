package leader

import (
	"slices"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/rollout"
)

// status returns the site as this leader sees it.
func (t *term) status() agentapi.Status {
	s := agentapi.Status{Agent: t.name, Leader: t.name, At: time.Now().UTC()}
	t.store.View(s.SetDesired)
	phases := map[string]rollout.InstanceStatus{}
	if t.machine != nil {
		m := t.machine.Status()
		s.Wave, s.Waves = m.Wave, m.Waves
		for _, i := range m.Instances {
			phases[i.Name] = i
		}
	}
	unreachable := t.unreachable()
	for n := range s.Instances {
		i := &s.Instances[n]
		i.UnreachableFrom = unreachable[i.Name]
		if last := t.lastReports[i.Name]; last != nil {
			i.SetReport(&last.Observed, last.receivedAt)
		}
		if p, found := phases[i.Name]; found {
			i.Phase, i.Assigned, i.Silent = p.Phase, uint64(p.Assigned), p.Silent
		} else {
			i.Silent = time.Since(i.ReportedAt) > silentAfter
		}
	}
	return s
}

// unreachable returns, by instance, the names of the instances that can't reach it. This is
// evidence of a fault but no proof, and must not be used for decisions.
func (t *term) unreachable() map[string][]string {
	from := map[string][]string{}
	for name, last := range t.lastReports {
		if time.Since(last.receivedAt) >= silentAfter {
			continue
		}
		for _, other := range last.Unreachable {
			from[other] = append(from[other], name)
		}
	}
	for _, names := range from {
		slices.Sort(names)
	}
	return from
}
