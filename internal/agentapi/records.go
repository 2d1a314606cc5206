package agentapi

import (
	"time"

	"elderyard/records"
)

// The paths of the operators' calls on records. Those of followers are in recordsync.
const (
	RecordsPrefix       = "/v1/records/"
	RecordsChangePath   = RecordsPrefix + "change"
	RecordsGetPath      = RecordsPrefix + "get"
	RecordsListPath     = RecordsPrefix + "list"
	RecordsVersionsPath = RecordsPrefix + "versions"
	RecordsDiffPath     = RecordsPrefix + "diff"
	RecordsLagPath      = RecordsPrefix + "lag"
)

// RecordsChange is a change of records from the operators' tool. A repeat with the same
// idempotency key gets the result of the first call.
type RecordsChange struct {
	IdempotencyKey string              `json:"request"`
	Message        string              `json:"message,omitempty"`
	Operations     []records.Operation `json:"operations"`
}

// RecordsList is a list of records as of a version.
type RecordsList struct {
	Version uint64           `json:"version"`
	Digest  records.Digest   `json:"digest"`
	Total   int              `json:"total"` // records of all kinds
	Records []records.Record `json:"records"`
}

// RecordsVersions lists the most recent accepted changes, newest first.
type RecordsVersions struct {
	Version uint64               `json:"version"`
	Digest  records.Digest       `json:"digest"`
	Changes []records.ChangeInfo `json:"changes"`
}

// RecordsDiff lists the records that changed between two versions.
type RecordsDiff struct {
	From    uint64              `json:"from"`
	To      uint64              `json:"to"`
	Changes []records.KeyChange `json:"changes"`
}

// RecordsStatus is the state of an agent's copy of the records, as the agent reports it.
type RecordsStatus struct {
	State   records.FollowerState `json:"state"`
	Version uint64                `json:"version"`
	Digest  records.Digest        `json:"digest"`
	// AgeSeconds is the time since the copy was last confirmed to be up to date; nil: never.
	AgeSeconds *float64 `json:"age_s,omitempty"`
	Reason     string   `json:"why,omitempty"` // why it can't be confirmed, or saved to disk
}

// RecordsHead is the version of the site's records in the leader's store.
type RecordsHead struct {
	Version uint64 `json:"version"`
}

// RecordsState compares an agent's copy with the site's records.
type RecordsState string

// The states of a copy, with their values on the wire.
const (
	RecordsUpToDate  RecordsState = "in force" // it has the newest version
	RecordsBehind    RecordsState = "behind"
	RecordsDiverged  RecordsState = "differs" // newer than the site's records, or other content at the same version
	RecordsSilent    RecordsState = "silent"  // the leader has no recent report from the agent
	RecordsNoReports RecordsState = "off"     // the agent reports no records
	RecordsUnknown   RecordsState = "unknown" // no leader can be reached that would compare it
)

// RecordsLag lists the agents with the state of their copies of the records.
type RecordsLag struct {
	Stale    string         `json:"stale,omitempty"` // why only the called agent's copy is listed; "": this is the leader's response
	Version  uint64         `json:"version"`
	Digest   records.Digest `json:"digest"`
	UpToDate int            `json:"in_force"` // agents
	Agents   []AgentRecords `json:"agents"`   // by name
}

// AllUpToDate reports whether all agents with a copy of the records have the newest version.
func (l RecordsLag) AllUpToDate() bool {
	for _, a := range l.Agents {
		if a.State != RecordsUpToDate && a.State != RecordsNoReports {
			return false
		}
	}
	return true
}

// AgentRecords is one agent of a RecordsLag.
type AgentRecords struct {
	Agent       string        `json:"agent"`
	State       RecordsState  `json:"state"`
	Status      RecordsStatus `json:"status"`          // as last reported
	BehindSince *time.Time    `json:"since,omitempty"` // when the oldest missing change was accepted; nil: none is missing, or its time is no longer known
	ReportedAt  *time.Time    `json:"heard,omitempty"` // nil: not yet to this leader
}
