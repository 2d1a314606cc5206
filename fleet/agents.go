package fleet

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Agent is an agent of the site with the instances that it runs.
type Agent struct {
	Name      string   `json:"name"`
	Address   string   `json:"address"`
	Instances []string `json:"instances"` // sorted, without duplicates
}

// Enroll adds an agent, or replaces its address and instances.
type Enroll struct {
	Agent Agent     `json:"agent"`
	At    time.Time `json:"at"`
}

// Remove removes an agent and its instances from the site.
type Remove struct {
	Agent string    `json:"agent"`
	By    string    `json:"by"`
	At    time.Time `json:"at"`
}

// Drain takes an instance out of service or, if Drained is false, puts it back into service.
type Drain struct {
	Instance string    `json:"instance"`
	Drained  bool      `json:"on"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
}

// Agents returns all agents, sorted by name.
func (s *State) Agents() (agents []Agent) {
	for _, name := range slices.Sorted(maps.Keys(s.agents)) {
		agents = append(agents, s.agents[name])
	}
	return agents
}

// AgentOf returns the agent that runs an instance, and false if no agent does.
func (s *State) AgentOf(instance string) (Agent, bool) {
	for _, agent := range s.agents {
		if _, found := slices.BinarySearch(agent.Instances, instance); found {
			return agent, true
		}
	}
	return Agent{}, false
}

// Drained reports whether an operator has taken an instance out of service.
func (s *State) Drained(instance string) bool { return s.drained[instance] }

func (e *Enroll) check() error {
	agent := &e.Agent
	if err := CheckName("agent", agent.Name); err != nil {
		return err
	}
	if len(agent.Address) > maxNameBytes {
		return fmt.Errorf("agent %s: its address is longer than %d bytes", agent.Name, maxNameBytes)
	}
	for i, name := range agent.Instances {
		if err := CheckName("instance", name); err != nil {
			return err
		}
		if i > 0 && agent.Instances[i-1] >= name {
			return fmt.Errorf("agent %s: instance %s is out of order or stands twice", agent.Name, name)
		}
	}
	return nil
}

func (s *State) applyEnroll(enroll *Enroll) Outcome {
	previous, known := s.agents[enroll.Agent.Name]
	if !known && len(s.agents) >= MaxAgents {
		return Outcome{Rejected: fmt.Sprintf("the site has %d agents, and no more may be", len(s.agents))}
	}
	if reason := s.instanceConflict(enroll.Agent); reason != "" {
		return Outcome{Rejected: reason}
	}
	if s.agents == nil {
		s.agents = map[string]Agent{}
	}
	s.agents[enroll.Agent.Name] = enroll.Agent
	for _, name := range previous.Instances {
		if _, found := slices.BinarySearch(enroll.Agent.Instances, name); !found {
			delete(s.drained, name)
		}
	}
	s.logEvent(enroll.At, enroll.Agent.Name, fmt.Sprintf("agent %s at %s has instances %v", enroll.Agent.Name, enroll.Agent.Address, enroll.Agent.Instances))
	return Outcome{}
}

// instanceConflict returns why an agent can't have its instances besides those of the other agents, or "" if it can.
func (s *State) instanceConflict(agent Agent) (reason string) {
	total := len(agent.Instances)
	for _, other := range s.agents {
		if other.Name == agent.Name {
			continue
		}
		total += len(other.Instances)
		for _, name := range agent.Instances {
			if _, found := slices.BinarySearch(other.Instances, name); found {
				return fmt.Sprintf("instance %s is agent %s's", name, other.Name)
			}
		}
	}
	if total > MaxInstances {
		return fmt.Sprintf("the site would have %d instances, and %d may be", total, MaxInstances)
	}
	return ""
}

func (s *State) applyRemove(remove *Remove) Outcome {
	agent, found := s.agents[remove.Agent]
	if !found {
		return Outcome{Rejected: fmt.Sprintf("there is no agent %s", remove.Agent)}
	}
	delete(s.agents, agent.Name)
	for _, name := range agent.Instances {
		delete(s.drained, name)
	}
	s.logEvent(remove.At, remove.By, fmt.Sprintf("agent %s was removed with its instances %v", agent.Name, agent.Instances))
	return Outcome{}
}

func (s *State) applyDrain(drain *Drain) Outcome {
	if _, found := s.AgentOf(drain.Instance); !found {
		return Outcome{Rejected: fmt.Sprintf("there is no instance %s", drain.Instance)}
	}
	if s.drained[drain.Instance] == drain.Drained {
		return Outcome{}
	}
	if s.drained == nil {
		s.drained = map[string]bool{}
	}
	what := "instance " + drain.Instance + " was drained"
	if s.drained[drain.Instance] = drain.Drained; !drain.Drained {
		delete(s.drained, drain.Instance)
		what = "instance " + drain.Instance + " was let back into service"
	}
	s.logEvent(drain.At, drain.By, what)
	return Outcome{}
}
