package agent

import (
	"context"
	"elderyard/internal/agentapi"
	"net/http"
	"sync"

	"elderyard/fleet"
	"elderyard/internal/document"
	"elderyard/revisions"
	"elderyard/supervise"
)

// handleProbe has all agents check a content and answers with what each instance would
// do. Nothing is applied. An agent that does not answer is part of the answer.
func (a *Agent) handleProbe(ctx context.Context, request *call) (any, error) {
	var content revisions.Content
	if err := request.read(&content); err != nil {
		return nil, err
	}
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	var agents []fleet.Agent
	a.store.View(func(s *fleet.State) { agents = s.Agents() })
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make([][]agentapi.DryRunResult, len(agents))
	slots := make(chan struct{}, maxConcurrentProbes)
	var wg sync.WaitGroup
	for n, g := range agents {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var err error
			if g.Name == a.self.Name {
				answers[n], err = a.probeAll(ctx, content)
			} else {
				err = a.callAgent(ctx, g.Address, peerCall{method: http.MethodPost, path: "/v1/probe-here", body: request.body, timeout: probeTimeout}, &answers[n])
			}
			if err != nil {
				answers[n] = []agentapi.DryRunResult{{Agent: g.Name, Error: err.Error(), Silent: true}}
			}
		})
	}
	wg.Wait()
	list := []agentapi.DryRunResult{}
	for _, probes := range answers {
		list = append(list, probes...)
	}
	return list, nil
}

// handleProbeHere answers for the instances of this agent.
func (a *Agent) handleProbeHere(ctx context.Context, c *call) (any, error) {
	var content revisions.Content
	if err := c.read(&content); err != nil {
		return nil, err
	}
	return a.probeAll(ctx, content)
}

// probeAll returns what the instances of this agent would do to run a content.
func (a *Agent) probeAll(ctx context.Context, content revisions.Content) ([]agentapi.DryRunResult, error) {
	if err := a.parse(ctx, "file", content); err != nil {
		return []agentapi.DryRunResult{{Agent: a.self.Name, Error: err.Error()}}, nil
	}
	d, err := document.Parse("file", content)
	if err != nil {
		return nil, err
	}
	list := []agentapi.DryRunResult{}
	for _, name := range a.self.Instances {
		p := a.processes[name]
		one := agentapi.DryRunResult{Agent: a.self.Name, Instance: name}
		if r, err := d.Render(0, document.Instance{Name: name, Listen: p.Listen()}); err != nil {
			one.Error = err.Error()
		} else {
			s := p.State()
			from := s.Status.Running
			if s.PID == 0 {
				from = nil
			}
			one.Step = supervise.StepBetween(from, &r.Spec)
		}
		list = append(list, one)
	}
	return list, nil
}
