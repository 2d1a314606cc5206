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
	"elderyard/internal/leader"
	"elderyard/internal/process"
	"elderyard/internal/wait"
	"elderyard/revisions"
)

// buildReport is this agent's report.
func (a *Agent) buildReport() agentapi.Report {
	r := agentapi.Report{Agent: a.self, Records: a.recordsStatus()}
	if a.config.Roster {
		r.WantsRoster, r.RosterEpoch = true, a.rosterEpoch
	}
	for _, name := range a.self.Instances {
		s := a.processes[name].State()
		o := agentapi.Observed{Name: name, State: s.Status.State, Why: s.Status.Reason, Crashes: s.Status.Crashes, PID: s.PID}
		if s.Status.Running != nil && s.PID != 0 {
			o.Running, o.Content = s.Status.Running.Revision, s.Status.Running.Content
		}
		o.MembershipView, o.Unreachable = s.Membership.Line, s.Membership.Unreachable
		if s.Status.Desired != nil {
			o.Target = s.Status.Desired.Revision
		}
		a.mu.Lock()
		if f, found := a.rejected[name]; found {
			o.Refused, o.Refusal = f.revision, f.why
		}
		a.mu.Unlock()
		r.Instances = append(r.Instances, o)
	}
	return r
}

// runReports tells the leader what runs here and does what it orders, until ctx
// ends.
func (a *Agent) runReports(ctx context.Context) {
	if a.config.Roster {
		a.rosterEpoch = a.cachedRosterEpoch()
	}
	began := time.Now()
	started := false // the instances that did not run have been told to
	for ctx.Err() == nil {
		got, err := a.reportOnce(ctx)
		switch {
		case err == nil && !got.Wait:
			a.applyOrders(ctx, got)
			started = true
		case !started && time.Since(began) >= time.Duration(a.config.Timing.FetchTimeout):
			// Cut off, or the leader knows no more than this agent: what ran last serves.
			a.startLastRevisions(ctx)
			started = true
		}
		a.recordLeader(got, err)
		if err == nil {
			a.receiveRecordsHead(got.Records)
		}
		wait.For(ctx, time.Duration(a.config.Timing.Report))
	}
}

// recordLeader remembers who leads, or why nobody could be asked.
func (a *Agent) recordLeader(got *agentapi.Orders, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.leaderError
	if err != nil {
		a.leaderError = err.Error()
		if before == "" {
			a.log.Warn("no leader can be reached; gateways go on with the last committed revision", "error", err)
		}
		return
	}
	a.leaderError, a.leaderAddress = "", got.Address
	if before != "" {
		a.log.Info("a leader is reached again", "leader", got.Leader)
	}
}

func (a *Agent) reportOnce(ctx context.Context) (*agentapi.Orders, error) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r := a.buildReport()
	if a.leader != nil {
		got, err := a.leader.Report(ctx, &r)
		if err == nil || !errors.Is(err, leader.ErrNotLeading) {
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

// applyOrders does what the leader ordered.
func (a *Agent) applyOrders(ctx context.Context, got *agentapi.Orders) {
	if got.Roster != nil {
		a.cacheRoster(got.Roster)
	}
	if a.awaitsRoster() {
		return // the next report brings it, and the orders again
	}
	for name, o := range got.Orders {
		p := a.processes[name]
		if p == nil {
			continue
		}
		now := p.State().Status.Desired
		switch {
		case o.Drained || o.Revision == 0:
			if now != nil {
				p.SetDesired(ctx, nil)
			}
		case now == nil || now.Revision != o.Revision || now.Content != o.Checksum:
			a.applyOrder(ctx, p, o)
		default:
			a.clearRejection(name) // what was refused is not ordered any more
		}
	}
}

// applyOrder has an instance go to a revision, if its gateway's parsers take it.
func (a *Agent) applyOrder(ctx context.Context, proc *process.Process, order agentapi.Order) {
	name, number := proc.Name(), order.Revision
	a.mu.Lock()
	again := a.rejected[name].revision == number
	a.mu.Unlock()
	if again {
		return // it has been refused, and does not change
	}
	r, err := a.fetchRevision(ctx, order)
	if err != nil {
		a.log.Warn("a revision can't be fetched", "revision", number, "error", err)
		return // the next report brings the order again
	}
	rendered, err := a.render(r, proc)
	if err != nil {
		a.log.Error("a revision is refused", "instance", name, "revision", number, "error", err)
		a.mu.Lock()
		a.rejected[name] = rejectedRevision{number, fleet.Truncate(err.Error(), fleet.MaxTextBytes/2)}
		a.mu.Unlock()
		return
	}
	a.clearRejection(name)
	proc.SetDesired(ctx, rendered)
}

func (a *Agent) clearRejection(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.rejected, instance)
}

func (a *Agent) render(r revisions.Revision, p *process.Process) (*document.Rendered, error) {
	d, err := document.Parse(fmt.Sprintf("revision %d", r.Number), r.Content)
	if err != nil {
		return nil, err
	}
	return d.Render(r.Number, document.Instance{Name: p.Name(), Listen: p.Listen()})
}

// startLastRevisions starts what ran last.
func (a *Agent) startLastRevisions(ctx context.Context) {
	for _, p := range a.processes {
		last := p.LastSpec()
		if p.State().Status.Desired != nil || last == nil {
			continue
		}
		a.mu.Lock()
		r, found := a.cachedRevisions[last.Revision]
		a.mu.Unlock()
		if !found {
			a.log.Warn("what ran last is not known any more; the gateway waits for a leader", "instance", p.Name(), "revision", last.Revision)
			continue
		}
		rendered, err := a.render(r, p)
		if err != nil {
			a.log.Error("what ran last can't be started", "instance", p.Name(), "error", err)
			continue
		}
		a.log.Warn("no leader says what to run; what ran last is started", "instance", p.Name(), "revision", last.Revision)
		p.SetDesired(ctx, rendered)
	}
}
