// Package agentapi holds the messages that agents exchange with the leader of
// a site, as JSON over HTTP: a report, posted to ReportPath, and the orders
// that answer it.
package agentapi

import (
	"elderyard/fleet"
	"elderyard/members"
	"elderyard/supervise"
)

// ReportPath is where a Report is posted.
const ReportPath = "/v1/report"

// HopHeader tells how often a call has been forwarded. A call that carries
// HopMayForward may be forwarded by a voter that does not lead; one without the
// header, or with another value, is answered where it arrives.
const (
	HopHeader     = "X-Elderyard-Hop"
	HopMayForward = "0"
)

// Report is what an agent tells the leader.
type Report struct {
	Agent       fleet.Agent `json:"agent"`
	Instances   []Observed  `json:"instances"`
	WantsRoster bool        `json:"belong,omitempty"` // the agent keeps the members' roster, as of Epoch
	RosterEpoch uint64      `json:"epoch,omitempty"`

	Records *RecordsStatus `json:"records,omitempty"` // nil: the agent keeps no copy of the records
}

// Observed is the state of one instance in a Report.
type Observed struct {
	Name    string          `json:"name"`
	Running uint64          `json:"running"`           // the revision; 0: none
	Content string          `json:"content,omitempty"` // checksum of the revision that runs
	Target  uint64          `json:"taking"`            // the revision that it is on its way to
	State   supervise.State `json:"state"`
	Why     string          `json:"why,omitempty"`
	Crashes int             `json:"crashes"`
	PID     int             `json:"pid,omitempty"`
	Refused uint64          `json:"refused,omitempty"` // a revision that the agent refuses to take; 0: none
	Refusal string          `json:"refusal,omitempty"` // why

	MembershipView string   `json:"believes,omitempty"` // what the instance says of the other members
	Unreachable    []string `json:"missing,omitempty"`  // instances that it does not hear
}

// Orders answer a Report.
type Orders struct {
	Leader  string           `json:"leader"`
	Address string           `json:"address"`
	Wait    bool             `json:"wait"` // the leader does not know yet
	Orders  map[string]Order `json:"orders"`
	Roster  *members.Roster  `json:"roster,omitempty"`  // set where it is newer than the agent's
	Records *RecordsHead     `json:"records,omitempty"` // set where the report tells of records
}

// Order is what one instance is to run.
type Order struct {
	Revision uint64 `json:"revision"`           // 0: nothing
	Checksum string `json:"checksum,omitempty"` // of its content: another site's revision may have its number
	Drained  bool   `json:"drained,omitempty"`
}
