package members

import (
	"slices"
)

// Evidence is an observation of a name, stored so that operators can see the reasons of states and verdicts.
type Evidence struct {
	At          Time        `json:"at_ns"`
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"life,omitempty"`
	What        string      `json:"what"`
	By          string      `json:"by,omitempty"`
}

// Evidence returns the stored evidence of one name, or of all names for "", oldest first.
func (m *Machine) Evidence(name string) (list []Evidence) {
	for _, e := range m.evidence {
		if name == "" || e.Name == name {
			list = append(list, e)
		}
	}
	return list
}

// addEvidence records evidence and drops the oldest entries beyond maxEvidence.
func (m *Machine) addEvidence(name string, incarnation Incarnation, what, by string) {
	if len(m.evidence) >= maxEvidence {
		m.evidence = slices.Delete(m.evidence, 0, maxEvidence/8)
	}
	m.evidence = append(m.evidence, Evidence{At: m.now, Name: name, Incarnation: incarnation, What: what, By: by})
}
