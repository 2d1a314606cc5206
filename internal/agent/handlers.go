package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/document"
	"elderyard/internal/leader"
	"elderyard/internal/replica"
	"elderyard/revisions"
	"elderyard/rollout"
)

// handleReport records a report and returns orders. An agent may only report as itself.
func (a *Agent) handleReport(ctx context.Context, request *call) (any, error) {
	var r agentapi.Report
	if err := request.read(&r); err != nil {
		return nil, err
	}
	if request.name != r.Agent.Name && !a.config.Plain {
		return nil, &agentapi.Failure{Code: agentapi.CodeForbidden, Text: fmt.Sprintf("%s reports as %s", request.name, r.Agent.Name)}
	}
	return a.leader.Report(ctx, &r)
}

// handleStatus returns the state of the site as this leader sees it.
func (a *Agent) handleStatus(ctx context.Context, c *call) (any, error) {
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	s, err := a.leader.Status(ctx)
	if err := a.store.DiskError(); err != nil {
		s.Store = err.Error()
	}
	return s, err
}

// staleStatus returns the state that this agent knows without the leader: that of its store
// if it is a voter, and of its own instances.
func (a *Agent) staleStatus(why string) any {
	s := agentapi.Status{Agent: a.self.Name, Stale: why, At: time.Now().UTC(), Instances: []agentapi.InstanceStatus{}}
	if a.store != nil {
		a.store.View(s.SetDesired)
		if err := a.store.DiskError(); err != nil {
			s.Store = err.Error()
		}
	}
	for _, o := range a.buildReport().Instances {
		n := slices.IndexFunc(s.Instances, func(i agentapi.InstanceStatus) bool { return i.Name == o.Name })
		if n < 0 {
			n = len(s.Instances)
			s.Instances = append(s.Instances, agentapi.InstanceStatus{Name: o.Name, Agent: a.self.Name})
		}
		s.Instances[n].SetReport(&o, s.At)
		s.Instances[n].Assigned = o.Target
	}
	return s
}

// handleRevisions returns the list of revisions without their contents.
func (a *Agent) handleRevisions(_ context.Context, c *call) (any, error) {
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	return a.staleRevisions(""), nil
}

// staleRevisions returns the revisions of this voter's store, or else the cached ones.
func (a *Agent) staleRevisions(why string) any {
	list := agentapi.Revisions{Stale: why, Revisions: []revisions.Revision{}}
	if a.store == nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		for _, r := range a.cachedRevisions {
			r.Content = revisions.Content{}
			list.Revisions = append(list.Revisions, r)
		}
		return list
	}
	a.store.View(func(s *fleet.State) {
		list.Desired = s.Rollout().DesiredRevision()
		for _, r := range s.Revisions() {
			r.Content = revisions.Content{}
			list.Revisions = append(list.Revisions, r)
		}
	})
	return list
}

// handleRevision returns one revision with its content.
func (a *Agent) handleRevision(_ context.Context, request *call) (any, error) {
	n, err := strconv.ParseUint(request.r.PathValue("n"), 10, 64)
	if err != nil || n == 0 {
		return nil, &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: fmt.Sprintf("%q is no revision's number", request.r.PathValue("n"))}
	}
	// A revision never changes, so the leader does not have to confirm this voter's copy.
	var r revisions.Revision
	found := false
	a.store.View(func(s *fleet.State) { r, found = s.Revision(n) })
	if found {
		return r, nil
	}
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	return nil, &agentapi.Failure{Code: agentapi.CodeNotFound, Text: fmt.Sprintf("revision %d is not in the history", n)}
}

// handleMembers returns the voters and the agents.
func (a *Agent) handleMembers(_ context.Context, c *call) (any, error) {
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	m := a.staleMembers("").(agentapi.Members)
	return m, nil
}

// staleMembers returns the voters and agents of this voter's store, or else only this agent.
func (a *Agent) staleMembers(why string) any {
	m := agentapi.Members{Stale: why, Voters: []agentapi.Member{}, Agents: []fleet.Agent{}}
	if a.store == nil {
		m.Agents = append(m.Agents, a.self)
		return m
	}
	if list, err := a.store.Members(); err == nil {
		m.Voters = nil // encoded as null by a voter that has not joined yet and knows none
		for _, member := range list {
			m.Voters = append(m.Voters, agentapi.Member(member))
		}
	}
	a.store.View(func(s *fleet.State) { m.Agents = append(m.Agents, s.Agents()...) })
	return m
}

// handleAudit returns the log of accepted changes.
func (a *Agent) handleAudit(_ context.Context, c *call) (any, error) {
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	return a.staleAudit(""), nil
}

// staleAudit returns the log of accepted changes of this voter's store.
func (a *Agent) staleAudit(why string) any {
	l := agentapi.Audit{Stale: why, Changes: []fleet.Event{}, Refused: []fleet.Event{}}
	if a.store != nil {
		a.store.View(func(s *fleet.State) { l.Changes = append(l.Changes, s.Events()...) })
	}
	return l
}

// handleRefused returns the calls that this agent refused.
func (a *Agent) handleRefused(context.Context, *call) (any, error) {
	list, err := a.refusals.list()
	return agentapi.Audit{Changes: []fleet.Event{}, Refused: list}, err
}

// handleSaveSnapshot returns the encoded state of the site.
func (a *Agent) handleSaveSnapshot(context.Context, *call) (any, error) {
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	var text []byte
	var err error
	a.store.View(func(s *fleet.State) { text, err = s.Snapshot() })
	return json.RawMessage(text), err
}

// handleRestoreSnapshot replaces the state of the site with that of a snapshot.
func (a *Agent) handleRestoreSnapshot(ctx context.Context, c *call) (any, error) {
	var decoded fleet.State // decoded only to validate the snapshot
	if err := decoded.Restore(c.body); err != nil {
		return nil, &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: err.Error()}
	}
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	if err := a.store.RestoreState(c.body); err != nil {
		return nil, err
	}
	_, err := a.propose(ctx, fleet.Entry{Audit: &fleet.Event{At: time.Now().UTC(), Who: c.name, What: "a saved state was restored"}})
	return struct{}{}, err
}

// propose proposes an entry to the voters. It returns a *leader.RejectedError if the site's
// state does not allow it.
func (a *Agent) propose(ctx context.Context, e fleet.Entry) (fleet.Outcome, error) {
	out, err := a.store.Propose(ctx, e)
	if err == nil && out.Rejected != "" {
		err = &leader.RejectedError{Reason: out.Rejected}
	}
	return out, err
}

// handleApply proposes a new revision to the voters and returns the outcome.
func (a *Agent) handleApply(ctx context.Context, request *call) (any, error) {
	var got agentapi.ApplyRequest
	if err := request.read(&got); err != nil {
		return nil, err
	}
	command := revisions.Command{IdempotencyKey: got.IdempotencyKey, Parent: got.Parent, Restore: got.Restore, Content: got.Content, Author: request.name,
		Message: got.Message, At: time.Now().UTC()}
	if err := command.Check(); err != nil {
		return nil, &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: err.Error()}
	}
	if !a.store.IsLeader() {
		return nil, leader.ErrNotLeading
	}
	if got.Content != nil {
		if err := a.checkContent(ctx, "file", *got.Content); err != nil {
			return nil, &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: err.Error()}
		}
	}
	out, err := a.propose(ctx, fleet.Entry{Command: &command})
	if err != nil {
		return nil, err
	}
	answer := agentapi.ApplyResult{Status: out.Result.Status, Revision: out.Result.Revision}
	if answer.Status == fleet.Busy {
		var current fleet.Rollout
		a.store.View(func(s *fleet.State) { current = s.Rollout() })
		answer.Reason = fmt.Sprintf("the rollout of revision %d, which %s began, is %s", current.New, current.By, current.State)
	}
	if answer.Status != revisions.Accepted {
		a.refusals.add(request.name, fmt.Sprintf("apply on revision %d: %s", got.Parent, answer.Status))
	}
	return answer, nil
}

// checkContent checks a content with the gateway's parsers. At most maxConcurrentChecks run
// at once, because a check costs much more than the call that requests it.
func (a *Agent) checkContent(ctx context.Context, name string, c revisions.Content) error {
	select {
	case a.checkSlots <- struct{}{}:
		defer func() { <-a.checkSlots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	return document.Check(name, c)
}

// handleRolloutEvent returns the handler that passes an operator's event to the rollout.
func (a *Agent) handleRolloutEvent(ev func(by string) rollout.Event) func(context.Context, *call) (any, error) {
	return func(ctx context.Context, c *call) (any, error) {
		return struct{}{}, a.leader.HandleRolloutEvent(ctx, ev(c.name), c.name)
	}
}

// handleDrain returns the handler that drains an instance, or ends its drain.
func (a *Agent) handleDrain(drained bool) func(context.Context, *call) (any, error) {
	return func(ctx context.Context, c *call) (any, error) {
		var v agentapi.ChangeRequest
		if err := c.read(&v); err != nil {
			return nil, err
		}
		_, err := a.propose(ctx, fleet.Entry{Drain: &fleet.Drain{Instance: v.Name, Drained: drained, By: c.name, At: time.Now().UTC()}})
		return struct{}{}, err
	}
}

// suffrage says in the audit log whether a replica of the site's state has a vote.
type suffrage string

const (
	voter    suffrage = "voter"
	nonVoter suffrage = "replica without a vote"
)

// handleAddMember returns the handler that adds a voter or a replica without a vote.
func (a *Agent) handleAddMember(vote suffrage) func(context.Context, *call) (any, error) {
	return func(ctx context.Context, c *call) (any, error) {
		var v agentapi.ChangeRequest
		if err := c.read(&v); err != nil {
			return nil, err
		}
		if err := fleet.CheckName("agent", v.Name); err != nil {
			return nil, &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: err.Error()}
		}
		if err := a.store.VerifyLeader(); err != nil {
			return nil, err
		}
		if a.port == nil {
			return nil, &agentapi.Failure{Code: agentapi.CodeRefused, Text: "this voter has no port: set listen in its file before others join"}
		}
		add := a.store.AddVoter
		if vote == nonVoter {
			add = a.store.AddNonVoter
		}
		change, err := add(v.Name, v.Address)
		if err != nil {
			return nil, err
		}
		_, err = a.propose(ctx, fleet.Entry{Audit: &fleet.Event{At: time.Now().UTC(), Who: c.name, What: fmt.Sprintf("%s %s at %s was added", vote, v.Name, v.Address)}})
		if err != nil {
			return nil, err
		}
		return a.memberChange(ctx, change)
	}
}

// memberChange returns the voters that have not applied an accepted change of the voters
// yet. Must return within leaderTimeout: otherwise an agent that has forwarded the call
// would report the outcome of an accepted change as unknown.
func (a *Agent) memberChange(ctx context.Context, change replica.ConfigurationChange) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout/2)
	defer cancel()
	behind, err := a.store.LaggingVoters(ctx, change)
	return agentapi.MemberChange{Behind: behind}, err
}

// handleRemoveMember removes a voter, or a replica without a vote, from the site.
func (a *Agent) handleRemoveMember(ctx context.Context, request *call) (any, error) {
	var v agentapi.ChangeRequest
	if err := request.read(&v); err != nil {
		return nil, err
	}
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	// The audit entry must come first: a leader that has removed itself can't propose any.
	if _, err := a.propose(ctx, fleet.Entry{Audit: &fleet.Event{At: time.Now().UTC(), Who: request.name, What: fmt.Sprintf("voter %s is to be removed", v.Name)}}); err != nil {
		return nil, err
	}
	change, err := a.store.Remove(v.Name)
	if err != nil {
		return nil, err
	}
	return a.memberChange(ctx, change)
}

// handleRemoveAgent removes an agent and its instances from the site.
func (a *Agent) handleRemoveAgent(ctx context.Context, c *call) (any, error) {
	var v agentapi.ChangeRequest
	if err := c.read(&v); err != nil {
		return nil, err
	}
	_, err := a.propose(ctx, fleet.Entry{Remove: &fleet.Remove{Agent: v.Name, By: c.name, At: time.Now().UTC()}})
	return struct{}{}, err
}
