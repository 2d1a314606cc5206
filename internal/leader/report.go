package leader

import (
	"context"
	"fmt"
	"slices"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/rollout"
	"elderyard/supervise"
)

// report stores an agent's report and returns its orders.
func (t *term) report(ctx context.Context, report *agentapi.Report) (*agentapi.Orders, error) {
	t.refresh()
	if err := t.enroll(ctx, report.Agent); err != nil {
		return nil, err
	}
	orders := &agentapi.Orders{Leader: t.name, Address: t.address, Orders: map[string]agentapi.Order{}, Roster: t.newerRoster(report), Records: t.receiveRecords(report.Agent.Name, report.Records)}
	for _, o := range report.Instances {
		if _, found := slices.BinarySearch(report.Agent.Instances, o.Name); !found {
			return nil, &RejectedError{fmt.Sprintf("agent %s has no instance %s", report.Agent.Name, o.Name)}
		}
		t.lastReports[o.Name] = &instanceReport{o, time.Now()}
	}
	if err := t.applyCommittedState(ctx); err != nil {
		return nil, err
	}
	for _, o := range report.Instances {
		if err := t.handleInstanceReport(ctx, &o); err != nil {
			return nil, err
		}
	}
	if t.machine == nil {
		orders.Wait = t.currentRollout.New != 0
		return orders, nil
	}
	for _, o := range report.Instances {
		if order, ok := t.order(&o); ok {
			orders.Orders[o.Name] = order
		}
	}
	return orders, nil
}

// enroll commits an agent that is new, or whose address or instances have changed.
func (t *term) enroll(ctx context.Context, agent fleet.Agent) error {
	known := t.agents[agent.Name]
	if known.Name != "" && known.Address == agent.Address && slices.Equal(known.Instances, agent.Instances) {
		return nil
	}
	out, err := t.store.Propose(ctx, fleet.Entry{Enroll: &fleet.Enroll{Agent: agent, At: time.Now().UTC()}})
	if err != nil {
		return err
	}
	if out.Rejected != "" {
		return &RejectedError{out.Rejected}
	}
	return nil
}

// handleInstanceReport passes the report on an instance to the rollout machine. Drained
// instances are not part of a rollout.
func (t *term) handleInstanceReport(ctx context.Context, o *agentapi.Observed) error {
	if t.machine == nil || t.drained[o.Name] {
		return nil
	}
	if err := t.handleEvent(ctx, rollout.InstanceReported{Instance: o.Name, Observed: t.observed(o)}, ""); err != nil {
		return err
	}
	if o.Rejected == 0 {
		return nil
	}
	return t.handleEvent(ctx, rollout.Rejected{Instance: o.Name, Revision: rollout.Revision(o.Rejected), Reason: o.RejectionReason}, "")
}

// observed converts the report on an instance for the rollout machine. If the checksum of
// the content differs, the instance runs a revision of another site with the same number,
// which counts as no revision.
func (t *term) observed(o *agentapi.Observed) rollout.Observed {
	observed := rollout.Observed{Revision: rollout.Revision(o.Running), Ready: o.State == supervise.Ready, Crashes: o.Crashes}
	if o.ContentChecksum != t.checksum(o.Running) {
		observed.Revision = 0
	}
	return observed
}

// order returns the order for an instance, and whether there is one. An instance that the
// first rollout of a site has not reached gets no order and keeps running: an order with
// revision 0 would stop all gateways that were running when the site was recreated.
func (t *term) order(o *agentapi.Observed) (agentapi.Order, bool) {
	order := agentapi.Order{Revision: uint64(t.machine.InstanceRevision(o.Name)), Drained: t.drained[o.Name]}
	if order.Revision == 0 {
		rolledBack := t.machine.Status().State == rollout.RolledBack && o.Target == t.machineRevision
		return order, rolledBack || order.Drained
	}
	order.Checksum = t.checksum(order.Revision)
	return order, true
}

// checksum returns the checksum of a revision, or "" if there is no such revision.
func (t *term) checksum(revision uint64) string {
	sum, found := t.checksums[revision]
	if !found {
		t.store.View(func(s *fleet.State) {
			r, _ := s.Revision(revision)
			sum = r.Checksum
		})
		if len(t.checksums) < maxCachedChecksums {
			t.checksums[revision] = sum
		}
	}
	return sum
}
