package agent

import (
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/replica"
	"elderyard/revisions"
	"elderyard/rollout"
	"elderyard/supervise"
)

// Status is the whole site as the leader sees it, or, where that can't be
// reached, as the agent that was asked last knew it.
type Status struct {
	Agent     string           `json:"agent"` // that answers
	Leader    string           `json:"leader"`
	Stale     string           `json:"stale,omitempty"` // why this may be old; "": it is not
	At        time.Time        `json:"at"`              // of what is told
	Head      uint64           `json:"head"`
	Wanted    uint64           `json:"wanted"` // 0: nothing has been applied, or the first revision went back
	Rollout   fleet.Rollout    `json:"rollout"`
	Wave      int              `json:"wave"` // from 1; 0: the leader has yet to hear from the agents
	Waves     int              `json:"waves"`
	Instances []InstanceStatus `json:"instances"`
	Store     string           `json:"store,omitempty"` // what is wrong with the answering voter's disk
}

// InstanceStatus is one instance of a Status.
type InstanceStatus struct {
	Name       string          `json:"name"`
	Agent      string          `json:"agent"`
	Running    uint64          `json:"running"` // the revision; 0: none
	Assigned   uint64          `json:"told"`
	State      supervise.State `json:"state"`
	Ready      bool            `json:"ready"`
	Phase      rollout.Phase   `json:"phase,omitempty"`
	Why        string          `json:"why,omitempty"`
	Crashes    int             `json:"crashes"`
	PID        int             `json:"pid,omitempty"`
	Drained    bool            `json:"drained,omitempty"`
	Silent     bool            `json:"silent,omitempty"`
	ReportedAt time.Time       `json:"heard"` // zero: never by this leader

	MembershipView  string   `json:"believes,omitempty"`   // what it says of the others, where gateways know each other
	UnreachableFrom []string `json:"doubted_by,omitempty"` // instances that do not hear it: evidence, no proof
}

// setReport puts into a status what a report says.
func (i *InstanceStatus) setReport(o *agentapi.Observed, at time.Time) {
	i.Running, i.State, i.Ready, i.Why, i.Crashes, i.PID, i.ReportedAt = o.Running, o.State, o.State == supervise.Ready, o.Why, o.Crashes, o.PID, at.UTC()
	i.MembershipView = o.MembershipView
	if o.Refused != 0 {
		i.Why = o.Refusal
	}
}

// ApplyResult answers an apply.
type ApplyResult struct {
	Answer   revisions.Status   `json:"answer"`
	Revision revisions.Revision `json:"revision"`
	Why      string             `json:"why,omitempty"`
}

// Probe is what one instance would make of a content.
type Probe struct {
	Agent    string         `json:"agent"`
	Instance string         `json:"instance,omitempty"`
	Step     supervise.Step `json:"step,omitempty"`
	Error    string         `json:"error,omitempty"`
	Silent   bool           `json:"silent,omitempty"` // the agent could not be asked
}

// Revisions is the history, newest first, without the contents.
type Revisions struct {
	Stale     string               `json:"stale,omitempty"`
	Wanted    uint64               `json:"wanted"`
	Revisions []revisions.Revision `json:"revisions"`
}

// Members are the voters and the agents.
type Members struct {
	Stale  string           `json:"stale,omitempty"`
	Voters []replica.Member `json:"voters"`
	Agents []fleet.Agent    `json:"agents"`
}

// MemberChange is what a change of the voters has come to: a majority has agreed.
type MemberChange struct {
	Behind []string `json:"lacking,omitempty"` // voters that have yet to note it, by name
}

// Audit is the log of changes, and of what this agent refused.
type Audit struct {
	Stale   string        `json:"stale,omitempty"`
	Changes []fleet.Event `json:"changes"`
	Refused []fleet.Event `json:"refused"` // by the agent that was asked
}

// ChangeRequest is a call that changes one thing.
type ChangeRequest struct {
	Name    string `json:"name,omitempty"`
	Address string `json:"address,omitempty"`
}

// The codes of failures.
const (
	codeBadRequest     = "bad request"
	codeRefused        = "refused"
	codeForbidden      = "forbidden"
	codeNotFound       = "not found"
	codeUnreachable    = "unreachable"
	codeOutcomeUnknown = "in doubt"
)
