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

// handleDryRun lets all agents check a content and returns what each instance would have to
// do to run it. It applies nothing. An agent that does not respond is listed as silent.
func (a *Agent) handleDryRun(ctx context.Context, request *call) (any, error) {
	var content revisions.Content
	if err := request.read(&content); err != nil {
		return nil, err
	}
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	var agents []fleet.Agent
	a.store.View(func(s *fleet.State) { agents = s.Agents() })
	ctx, cancel := context.WithTimeout(ctx, dryRunTimeout)
	defer cancel()
	answers := make([][]agentapi.DryRunResult, len(agents))
	slots := make(chan struct{}, maxConcurrentDryRuns)
	var wg sync.WaitGroup
	for n, fleetAgent := range agents {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			var err error
			if fleetAgent.Name == a.self.Name {
				answers[n], err = a.dryRunInstances(ctx, content)
			} else {
				err = a.callAgent(ctx, fleetAgent.Address, peerCall{method: http.MethodPost, path: "/v1/probe-here", body: request.body, timeout: dryRunTimeout}, &answers[n])
			}
			if err != nil {
				answers[n] = []agentapi.DryRunResult{{Agent: fleetAgent.Name, Error: err.Error(), Silent: true}}
			}
		})
	}
	wg.Wait()
	list := []agentapi.DryRunResult{}
	for _, outcomes := range answers {
		list = append(list, outcomes...)
	}
	return list, nil
}

// handleLocalDryRun returns the outcomes for the instances of this agent.
func (a *Agent) handleLocalDryRun(ctx context.Context, c *call) (any, error) {
	var content revisions.Content
	if err := c.read(&content); err != nil {
		return nil, err
	}
	return a.dryRunInstances(ctx, content)
}

// dryRunInstances returns what the instances of this agent would have to do to run a content.
func (a *Agent) dryRunInstances(ctx context.Context, content revisions.Content) ([]agentapi.DryRunResult, error) {
	if err := a.checkContent(ctx, "file", content); err != nil {
		return []agentapi.DryRunResult{{Agent: a.self.Name, Error: err.Error()}}, nil
	}
	d, err := document.Parse("file", content)
	if err != nil {
		return nil, err
	}
	list := []agentapi.DryRunResult{}
	for _, name := range a.self.Instances {
		p := a.processes[name]
		outcome := agentapi.DryRunResult{Agent: a.self.Name, Instance: name}
		if r, err := d.Render(0, document.Instance{Name: name, Listen: p.Listen()}); err != nil {
			outcome.Error = err.Error()
		} else {
			s := p.State()
			from := s.Status.Running
			if s.PID == 0 {
				from = nil
			}
			outcome.Step = supervise.StepBetween(from, &r.Spec)
		}
		list = append(list, outcome)
	}
	return list, nil
}
