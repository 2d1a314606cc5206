// Package agentapi is the interface between agents, and between an agent and the
// operators' tool: the messages, which are sent as JSON over HTTP, the failures of calls,
// and a client of one agent.
//
// An agent posts a Report to ReportPath and the leader responds with Orders. The other
// messages are those of the tool. Agents of one site may run different releases, so the
// keys of a message never change, and unknown keys in a response are ignored. A request
// with an unknown key is rejected. The package holds no state except a Client's idle
// connections. It does not serve calls: internal/agent does.
package agentapi

import (
	"elderyard/fleet"
	"elderyard/members"
	"elderyard/supervise"
)

// ReportPath is the path to which a Report is posted.
const ReportPath = "/v1/report"

// HopHeader is the header that counts how often a call has been forwarded. A voter that
// does not lead may forward a call with the value HopMayForward, and any agent one without
// the header. A call with another value is never forwarded.
const (
	HopHeader     = "X-Elderyard-Hop"
	HopMayForward = "0"
)

// Report is the state of an agent and its instances, which it sends to the leader.
type Report struct {
	Agent       fleet.Agent `json:"agent"`
	Instances   []Observed  `json:"instances"`
	WantsRoster bool        `json:"belong,omitempty"` // the agent caches the roster
	RosterEpoch uint64      `json:"epoch,omitempty"`  // of the cached roster; 0: none

	Records *RecordsStatus `json:"records,omitempty"` // nil: the agent has no copy of the records
}

// Observed is the state of one instance in a Report.
type Observed struct {
	Name            string          `json:"name"`
	Running         uint64          `json:"running"`           // the revision; 0: none
	ContentChecksum string          `json:"content,omitempty"` // of the running revision
	Target          uint64          `json:"taking"`            // the desired revision; 0: none
	State           supervise.State `json:"state"`
	Reason          string          `json:"why,omitempty"`
	Crashes         int             `json:"crashes"`
	PID             int             `json:"pid,omitempty"`
	Rejected        uint64          `json:"refused,omitempty"` // a revision that the agent rejects; 0: none
	RejectionReason string          `json:"refusal,omitempty"`

	MembershipView string   `json:"believes,omitempty"` // the instance's view of the other members
	Unreachable    []string `json:"missing,omitempty"`  // instances that it can't reach
}

// Orders is the response to a Report.
type Orders struct {
	Leader  string           `json:"leader"`
	Address string           `json:"address"`
	Wait    bool             `json:"wait"` // the leader has no decision yet, and the orders must not be applied
	Orders  map[string]Order `json:"orders"`
	Roster  *members.Roster  `json:"roster,omitempty"`  // nil: the agent's is up to date
	Records *RecordsHead     `json:"records,omitempty"` // nil: the report has no records
}

// Order is the desired state of one instance.
type Order struct {
	Revision uint64 `json:"revision"`           // 0: none
	Checksum string `json:"checksum,omitempty"` // of the content; a revision of another site may have the same number
	Drained  bool   `json:"drained,omitempty"`
}
