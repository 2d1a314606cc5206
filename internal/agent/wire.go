package agent

import (
	"time"

	"elderyard/fleet"
	"elderyard/internal/replica"
	"elderyard/members"
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
	Name    string          `json:"name"`
	Agent   string          `json:"agent"`
	Running uint64          `json:"running"` // the revision; 0: none
	Told    uint64          `json:"told"`
	State   supervise.State `json:"state"`
	Ready   bool            `json:"ready"`
	Phase   rollout.Phase   `json:"phase,omitempty"`
	Why     string          `json:"why,omitempty"`
	Crashes int             `json:"crashes"`
	PID     int             `json:"pid,omitempty"`
	Drained bool            `json:"drained,omitempty"`
	Silent  bool            `json:"silent,omitempty"`
	Heard   time.Time       `json:"heard"` // zero: never by this leader

	Believes  string   `json:"believes,omitempty"`   // what it says of the others, where gateways know each other
	DoubtedBy []string `json:"doubted_by,omitempty"` // instances that do not hear it: evidence, no proof
}

// show puts into a status what a report says.
func (i *InstanceStatus) show(o *observed, at time.Time) {
	i.Running, i.State, i.Ready, i.Why, i.Crashes, i.PID, i.Heard = o.Running, o.State, o.State == supervise.Ready, o.Why, o.Crashes, o.PID, at.UTC()
	i.Believes = o.Believes
	if o.Refused != 0 {
		i.Why = o.Refusal
	}
}

// report is what an agent tells the leader.
type report struct {
	Agent     fleet.Agent `json:"agent"`
	Instances []observed  `json:"instances"`
	Belong    bool        `json:"belong,omitempty"` // it keeps who belongs, as of Epoch
	Epoch     uint64      `json:"epoch,omitempty"`
}

// observed is one instance of a report.
type observed struct {
	Name    string          `json:"name"`
	Running uint64          `json:"running"`
	Content string          `json:"content,omitempty"` // the checksum of what runs
	Taking  uint64          `json:"taking"`            // that it is on its way to
	State   supervise.State `json:"state"`
	Why     string          `json:"why,omitempty"`
	Crashes int             `json:"crashes"`
	PID     int             `json:"pid,omitempty"`
	Refused uint64          `json:"refused,omitempty"`
	Refusal string          `json:"refusal,omitempty"`

	Believes string   `json:"believes,omitempty"`
	Missing  []string `json:"missing,omitempty"` // instances that it does not hear
}

// orders answer a report.
type orders struct {
	Leader  string           `json:"leader"`
	Address string           `json:"address"`
	Wait    bool             `json:"wait"` // the leader does not know yet
	Orders  map[string]order `json:"orders"`
	Roster  *members.Roster  `json:"roster,omitempty"` // newer than the agent's
}

// order is what one instance is to run.
type order struct {
	Revision uint64 `json:"revision"`           // 0: nothing
	Checksum string `json:"checksum,omitempty"` // of its content: another site's revision may have its number
	Drained  bool   `json:"drained,omitempty"`
}

// Applied answers an apply.
type Applied struct {
	Answer   revisions.Answer   `json:"answer"`
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
	Lacking []string `json:"lacking,omitempty"` // voters that have yet to note it, by name
}

// Audit is the log of changes, and of what this agent refused.
type Audit struct {
	Stale   string        `json:"stale,omitempty"`
	Changes []fleet.Event `json:"changes"`
	Refused []fleet.Event `json:"refused"` // by the agent that was asked
}

// Verb is a call that changes one thing.
type Verb struct {
	Name    string `json:"name,omitempty"`
	Address string `json:"address,omitempty"`
}

// The codes of failures.
const (
	codeBad         = "bad request"
	codeRefused     = "refused"
	codeForbidden   = "forbidden"
	codeUnknown     = "not found"
	codeUnreachable = "unreachable"
	codeDoubt       = "in doubt"
)
