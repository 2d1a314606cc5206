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

// buildReport returns a report on this agent and its instances.
func (a *Agent) buildReport() agentapi.Report {
	r := agentapi.Report{Agent: a.self, Records: a.recordsStatus()}
	if a.config.Roster {
		r.WantsRoster, r.RosterEpoch = true, a.rosterEpoch
	}
	for _, name := range a.self.Instances {
		s := a.processes[name].State()
		o := agentapi.Observed{Name: name, State: s.Status.State, Reason: s.Status.Reason, Crashes: s.Status.Crashes, PID: s.PID}
		if s.Status.Running != nil && s.PID != 0 {
			o.Running, o.ContentChecksum = s.Status.Running.Revision, s.Status.Running.ContentChecksum
		}
		o.MembershipView, o.Unreachable = s.Membership.Line, s.Membership.Unreachable
		if s.Status.Desired != nil {
			o.Target = s.Status.Desired.Revision
		}
		a.mu.Lock()
		if rejected, found := a.rejected[name]; found {
			o.Rejected, o.RejectionReason = rejected.revision, rejected.reason
		}
		a.mu.Unlock()
		r.Instances = append(r.Instances, o)
	}
	return r
}

// runReports sends reports to the leader and applies its orders until ctx ends. If it has
// received no orders within the fetch timeout after the start, it starts the last revisions.
func (a *Agent) runReports(ctx context.Context) {
	if a.config.Roster {
		a.rosterEpoch = a.cachedRosterEpoch()
	}
	startedAt := time.Now()
	started := false // orders have been applied, or the last revisions started
	for ctx.Err() == nil {
		got, err := a.sendReport(ctx)
		switch {
		case err == nil && !got.Wait:
			a.applyOrders(ctx, got)
			started = true
		case !started && time.Since(startedAt) >= time.Duration(a.config.Timing.FetchTimeout):
			// There is no leader, or it has no decision yet: start the last revisions.
			a.startLastRevisions(ctx)
			started = true
		}
		a.recordLeader(got, err)
		if err == nil {
			a.notifyRecordsHead(got.Records)
		}
		wait.For(ctx, time.Duration(a.config.Timing.Report))
	}
}

// recordLeader records the leader's address, or why no leader could be reached.
func (a *Agent) recordLeader(got *agentapi.Orders, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.leaderError
	if err != nil {
		a.leaderError = err.Error()
		if before == "" {
			a.log.Warn("no leader reachable; gateways keep the last committed revision", "error", err)
		}
		return
	}
	a.leaderError, a.leaderAddress = "", got.Address
	if before != "" {
		a.log.Info("leader reachable again", "leader", got.Leader)
	}
}

// sendReport sends one report and returns the leader's orders.
func (a *Agent) sendReport(ctx context.Context) (*agentapi.Orders, error) {
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

// applyOrders applies the leader's orders. If rosters are enabled, gateways do not start
// before the first roster has been received.
func (a *Agent) applyOrders(ctx context.Context, got *agentapi.Orders) {
	if got.Roster != nil {
		a.cacheRoster(got.Roster)
	}
	if a.waitingForRoster() {
		return // the response to the next report has the roster, and the orders again
	}
	for name, o := range got.Orders {
		p := a.processes[name]
		if p == nil {
			continue
		}
		desired := p.State().Status.Desired
		switch {
		case o.Drained || o.Revision == 0:
			if desired != nil {
				p.SetDesired(ctx, nil)
			}
		case desired == nil || desired.Revision != o.Revision || desired.ContentChecksum != o.Checksum:
			a.applyOrder(ctx, p, o)
		default:
			a.clearRejection(name) // the rejected revision is no longer ordered
		}
	}
}

// applyOrder sets an ordered revision as the desired state of an instance, if the gateway's
// parsers accept it.
func (a *Agent) applyOrder(ctx context.Context, proc *process.Process, order agentapi.Order) {
	name, number := proc.Name(), order.Revision
	a.mu.Lock()
	alreadyRejected := a.rejected[name].revision == number
	a.mu.Unlock()
	if alreadyRejected {
		return // a revision never changes, so it would be rejected again
	}
	r, err := a.fetchRevision(ctx, order)
	if err != nil {
		a.log.Warn("failed to fetch revision", "revision", number, "error", err)
		return // the response to the next report has the order again
	}
	rendered, err := a.render(r, proc)
	if err != nil {
		a.log.Error("rejected revision", "instance", name, "revision", number, "error", err)
		a.mu.Lock()
		a.rejected[name] = rejectedRevision{number, fleet.Truncate(err.Error(), fleet.MaxTextBytes/2)}
		a.mu.Unlock()
		return
	}
	a.clearRejection(name)
	proc.SetDesired(ctx, rendered)
}

// clearRejection removes the record of a revision that an instance rejected.
func (a *Agent) clearRejection(instance string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.rejected, instance)
}

// render renders the files of a revision for an instance.
func (a *Agent) render(r revisions.Revision, p *process.Process) (*document.Rendered, error) {
	d, err := document.Parse(fmt.Sprintf("revision %d", r.Number), r.Content)
	if err != nil {
		return nil, err
	}
	return d.Render(r.Number, document.Instance{Name: p.Name(), Listen: p.Listen()})
}

// startLastRevisions starts each instance without orders with the revision of its last run,
// if that is cached.
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
			a.log.Warn("last revision is not cached; the gateway waits for a leader", "instance", p.Name(), "revision", last.Revision)
			continue
		}
		rendered, err := a.render(r, p)
		if err != nil {
			a.log.Error("failed to render the last revision", "instance", p.Name(), "error", err)
			continue
		}
		a.log.Warn("no orders from a leader; starting the last revision", "instance", p.Name(), "revision", last.Revision)
		p.SetDesired(ctx, rendered)
	}
}
