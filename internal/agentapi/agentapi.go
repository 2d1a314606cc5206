// Package agentapi is the interface between agents, and between an agent and the
// operators' tool: its messages as JSON over HTTP, the failures by which a call ends,
// and a client of one agent.
//
// An agent posts a Report to ReportPath and the leader answers with Orders. The other
// messages are those of the tool. Agents of one site may run different releases, so a
// message's keys never change, and a receiver of an answer ignores keys that it does
// not know; a request with an unknown key is rejected. The package holds no state but
// a Client's idle connections. It does not serve calls: that is internal/agent's.
package agentapi

import (
	"elderyard/fleet"
	"elderyard/members"
	"elderyard/supervise"
)

// ReportPath is where a Report is posted.
const ReportPath = "/v1/report"

// HopHeader is the header that counts how often a call has been forwarded. A call that carries
// HopMayForward may be forwarded by a voter that does not lead; one without the
// header, or with another value, is answered where it arrives.
const (
	HopHeader     = "X-Elderyard-Hop"
	HopMayForward = "0"
)

// Report is the state of an agent and its instances, as it sends it to the leader.
type Report struct {
	Agent       fleet.Agent `json:"agent"`
	Instances   []Observed  `json:"instances"`
	WantsRoster bool        `json:"belong,omitempty"` // the agent caches the roster; RosterEpoch is that of its copy
	RosterEpoch uint64      `json:"epoch,omitempty"`

	Records *RecordsStatus `json:"records,omitempty"` // nil: the agent has no copy of the records
}

// Observed is the state of one instance in a Report.
type Observed struct {
	Name            string          `json:"name"`
	Running         uint64          `json:"running"`           // the revision; 0: none
	ContentChecksum string          `json:"content,omitempty"` // checksum of the revision that runs
	Target          uint64          `json:"taking"`            // the revision that it is changing to
	State           supervise.State `json:"state"`
	Reason          string          `json:"why,omitempty"`
	Crashes         int             `json:"crashes"`
	PID             int             `json:"pid,omitempty"`
	Rejected        uint64          `json:"refused,omitempty"` // a revision that the agent rejects; 0: none
	RejectionReason string          `json:"refusal,omitempty"` // why

	MembershipView string   `json:"believes,omitempty"` // the instance's view of the other members
	Unreachable    []string `json:"missing,omitempty"`  // instances that it does not reach
}

// Orders answer a Report.
type Orders struct {
	Leader  string           `json:"leader"`
	Address string           `json:"address"`
	Wait    bool             `json:"wait"` // the leader has no decision yet; Orders are not to be applied
	Orders  map[string]Order `json:"orders"`
	Roster  *members.Roster  `json:"roster,omitempty"`  // set where it is newer than the agent's
	Records *RecordsHead     `json:"records,omitempty"` // set where the report has records
}

// Order is what one instance is to run.
type Order struct {
	Revision uint64 `json:"revision"`           // 0: nothing
	Checksum string `json:"checksum,omitempty"` // of its content: another site's revision may have its number
	Drained  bool   `json:"drained,omitempty"`
}
