package agentapi

import (
	"slices"
	"strings"
	"time"

	"elderyard/fleet"
	"elderyard/rollout"
	"elderyard/supervise"
)

// Status is the state of the site from the leader or, if no leader can be reached, the
// last state that the queried agent knows.
type Status struct {
	Agent     string           `json:"agent"` // the responding agent
	Leader    string           `json:"leader"`
	Stale     string           `json:"stale,omitempty"` // why this may be out of date; "": it is the leader's response
	At        time.Time        `json:"at"`              // time of this state
	Head      uint64           `json:"head"`
	Desired   uint64           `json:"wanted"` // 0: nothing has been applied, or the first revision was rolled back
	Rollout   fleet.Rollout    `json:"rollout"`
	Wave      int              `json:"wave"` // from 1; 0: the leader still waits for reports
	Waves     int              `json:"waves"`
	Instances []InstanceStatus `json:"instances"`
	Store     string           `json:"store,omitempty"` // error of the responding voter's store; "": none
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
	Reason     string          `json:"why,omitempty"`
	Crashes    int             `json:"crashes"`
	PID        int             `json:"pid,omitempty"`
	Drained    bool            `json:"drained,omitempty"`
	Silent     bool            `json:"silent,omitempty"`
	ReportedAt time.Time       `json:"heard"` // zero: not yet to this leader

	MembershipView  string   `json:"believes,omitempty"`   // its view of the other members; "": no membership
	UnreachableFrom []string `json:"doubted_by,omitempty"` // instances that can't reach it: evidence of a fault, no proof
}

// SetReport sets the fields that come from the report of the instance, received at a time.
func (i *InstanceStatus) SetReport(o *Observed, at time.Time) {
	i.Running, i.State, i.Ready, i.Reason, i.Crashes, i.PID, i.ReportedAt = o.Running, o.State, o.State == supervise.Ready, o.Reason, o.Crashes, o.PID, at.UTC()
	i.MembershipView = o.MembershipView
	if o.Rejected != 0 {
		i.Reason = o.RejectionReason
	}
}

// SetDesired sets the rollout, the revision numbers and the instances, sorted by name, from
// the desired state of the site.
func (s *Status) SetDesired(state *fleet.State) {
	head, _ := state.Head()
	s.Rollout = state.Rollout()
	s.Head, s.Desired = head.Number, s.Rollout.DesiredRevision()
	for _, a := range state.Agents() {
		for _, name := range a.Instances {
			s.Instances = append(s.Instances, InstanceStatus{Name: name, Agent: a.Name, Drained: state.Drained(name)})
		}
	}
	slices.SortFunc(s.Instances, func(a, b InstanceStatus) int { return strings.Compare(a.Name, b.Name) })
}
