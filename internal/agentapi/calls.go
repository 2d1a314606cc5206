package agentapi

import (
	"elderyard/fleet"
	"elderyard/revisions"
	"elderyard/supervise"
)

// ApplyRequest applies a new content or that of an old revision. A repeat with the same
// idempotency key gets the result of the first call.
type ApplyRequest struct {
	IdempotencyKey string             `json:"request"`
	Parent         uint64             `json:"parent"`            // the newest revision that the caller knows
	Restore        uint64             `json:"restore,omitempty"` // revision whose content is applied again; 0: Content is applied
	Content        *revisions.Content `json:"content,omitempty"`
	Message        string             `json:"message,omitempty"`
}

// ApplyResult is the response to an ApplyRequest.
type ApplyResult struct {
	Status   revisions.Status   `json:"answer"`
	Revision revisions.Revision `json:"revision"`
	Reason   string             `json:"why,omitempty"`
}

// DryRunResult is what one instance would have to do to run a content.
type DryRunResult struct {
	Agent    string         `json:"agent"`
	Instance string         `json:"instance,omitempty"`
	Step     supervise.Step `json:"step,omitempty"`
	Error    string         `json:"error,omitempty"`
	Silent   bool           `json:"silent,omitempty"` // the agent did not respond
}

// Revisions is the list of revisions, newest first, without their contents.
type Revisions struct {
	Stale     string               `json:"stale,omitempty"`
	Desired   uint64               `json:"wanted"` // number of the desired revision
	Revisions []revisions.Revision `json:"revisions"`
}

// Member is an agent that stores a replica of the site's desired state.
type Member struct {
	Name     string `json:"name"`
	Address  string `json:"address"`
	Leader   bool   `json:"leader"`
	NonVoter bool   `json:"non_voter,omitempty"`
}

// Members lists the voters and the agents of the site.
type Members struct {
	Stale  string        `json:"stale,omitempty"`
	Voters []Member      `json:"voters"`
	Agents []fleet.Agent `json:"agents"`
}

// MemberChange is the response to a change of the voters that a majority has accepted.
type MemberChange struct {
	Behind []string `json:"lacking,omitempty"` // names of voters that have not applied it yet
}

// Audit is the log of accepted changes and of the calls that one agent refused.
type Audit struct {
	Stale   string        `json:"stale,omitempty"`
	Changes []fleet.Event `json:"changes"`
	Refused []fleet.Event `json:"refused"` // by the queried agent
}

// ChangeRequest names the instance, agent or voter that a call changes.
type ChangeRequest struct {
	Name    string `json:"name,omitempty"`
	Address string `json:"address,omitempty"`
}
