package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/document"
	"elderyard/internal/wait"
	"elderyard/revisions"
)

// observe is this agent's report.
func (a *Agent) observe() agentapi.Report {
	r := agentapi.Report{Agent: a.self, Records: a.recordsStatus()}
	if a.config.Roster {
		r.Belong, r.Epoch = true, a.epoch
	}
	for _, name := range a.self.Instances {
		s := a.processes[name].peek()
		o := agentapi.Observed{Name: name, State: s.status.State, Why: s.status.Why, Crashes: s.status.Crashes, PID: s.pid}
		if s.status.Running != nil && s.pid != 0 {
			o.Running, o.Content = s.status.Running.Revision, s.status.Running.Content
		}
		o.Believes, o.Missing = s.belief.line, s.belief.missing
		if s.status.Wanted != nil {
			o.Taking = s.status.Wanted.Revision
		}
		a.mu.Lock()
		if f, found := a.refused[name]; found {
			o.Refused, o.Refusal = f.revision, f.why
		}
		a.mu.Unlock()
		r.Instances = append(r.Instances, o)
	}
	return r
}

// report tells the leader what runs here and does what it orders, until ctx
// ends.
func (a *Agent) report(ctx context.Context) {
	if a.config.Roster {
		a.epoch = a.keptRoster()
	}
	began := time.Now()
	started := false // the instances that did not run have been told to
	for ctx.Err() == nil {
		got, err := a.reportOnce(ctx)
		switch {
		case err == nil && !got.Wait:
			a.obey(ctx, got)
			started = true
		case !started && time.Since(began) >= time.Duration(a.config.Timing.FetchWithin):
			// Cut off, or the leader knows no more than this agent: what ran last serves.
			a.resume(ctx)
			started = true
		}
		a.note(got, err)
		if err == nil {
			a.hearHead(got.Records)
		}
		wait.For(ctx, time.Duration(a.config.Timing.Report))
	}
}

// note remembers who leads, or why nobody could be asked.
func (a *Agent) note(got *agentapi.Orders, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.cutOff
	if err != nil {
		a.cutOff = err.Error()
		if before == "" {
			a.log.Warn("no leader can be reached; gateways go on with the last committed revision", "error", err)
		}
		return
	}
	a.cutOff, a.leader = "", got.Address
	if before != "" {
		a.log.Info("a leader is reached again", "leader", got.Leader)
	}
}

func (a *Agent) reportOnce(ctx context.Context) (*agentapi.Orders, error) {
	ctx, cancel := context.WithTimeout(ctx, reportLimit)
	defer cancel()
	r := a.observe()
	if a.lead != nil {
		var got *agentapi.Orders
		err := a.lead.ask(ctx, func(t *term) (err error) {
			got, err = t.report(ctx, &r)
			return err
		})
		if err == nil || !errors.Is(err, errNotLeading) {
			return got, err
		}
	}
	text, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	var got agentapi.Orders
	if err := a.callLeader(ctx, http.MethodPost, agentapi.ReportPath, text, &got); err != nil {
		return nil, err
	}
	return &got, nil
}

// obey does what the leader ordered.
func (a *Agent) obey(ctx context.Context, got *agentapi.Orders) {
	if got.Roster != nil {
		a.keepRoster(got.Roster)
	}
	if a.awaitsRoster() {
		return // the next report brings it, and the orders again
	}
	for name, o := range got.Orders {
		p := a.processes[name]
		if p == nil {
			continue
		}
		now := p.peek().status.Wanted
		switch {
		case o.Drained || o.Revision == 0:
			if now != nil {
				p.set(ctx, nil)
			}
		case now == nil || now.Revision != o.Revision || now.Content != o.Checksum:
			a.take(ctx, p, o)
		default:
			a.forgive(name) // what was refused is not ordered any more
		}
	}
}

// take has an instance go to a revision, if its gateway's parsers take it.
func (a *Agent) take(ctx context.Context, p *process, o agentapi.Order) {
	name, number := p.entry.Name, o.Revision
	a.mu.Lock()
	again := a.refused[name].revision == number
	a.mu.Unlock()
	if again {
		return // it has been refused, and does not change
	}
	r, err := a.fetch(ctx, o)
	if err != nil {
		a.log.Warn("a revision can't be fetched", "revision", number, "error", err)
		return // the next report brings the order again
	}
	rendered, err := a.render(r, p)
	if err != nil {
		a.log.Error("a revision is refused", "instance", name, "revision", number, "error", err)
		a.mu.Lock()
		a.refused[name] = refusedRevision{number, fleet.Short(err.Error(), fleet.MostText/2)}
		a.mu.Unlock()
		return
	}
	a.forgive(name)
	p.set(ctx, rendered)
}

func (a *Agent) forgive(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.refused, instance)
}

func (a *Agent) render(r revisions.Revision, p *process) (*document.Rendered, error) {
	d, err := document.Parse(fmt.Sprintf("revision %d", r.Number), r.Content)
	if err != nil {
		return nil, err
	}
	return d.Render(r.Number, document.Instance{Name: p.entry.Name, Listen: p.entry.Listen})
}

// resume starts what ran last.
func (a *Agent) resume(ctx context.Context) {
	for _, p := range a.processes {
		last := p.last()
		if p.peek().status.Wanted != nil || last == nil {
			continue
		}
		a.mu.Lock()
		r, found := a.kept[last.Revision]
		a.mu.Unlock()
		if !found {
			a.log.Warn("what ran last is not known any more; the gateway waits for a leader", "instance", p.entry.Name, "revision", last.Revision)
			continue
		}
		rendered, err := a.render(r, p)
		if err != nil {
			a.log.Error("what ran last can't be started", "instance", p.entry.Name, "error", err)
			continue
		}
		a.log.Warn("no leader says what to run; what ran last is started", "instance", p.entry.Name, "revision", last.Revision)
		p.set(ctx, rendered)
	}
}
