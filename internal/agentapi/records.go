package agentapi

import (
	"time"

	"elderyard/records"
)

// The paths of the calls on records, beside those that followers make.
const (
	RecordsPrefix       = "/v1/records/"
	RecordsChangePath   = RecordsPrefix + "change"
	RecordsGetPath      = RecordsPrefix + "get"
	RecordsListPath     = RecordsPrefix + "list"
	RecordsVersionsPath = RecordsPrefix + "versions"
	RecordsDiffPath     = RecordsPrefix + "diff"
	RecordsLagPath      = RecordsPrefix + "lag"
)

// RecordsChange is a change of records as an operator's tool sends it. A repeat
// under the same request key is answered as the first one was.
type RecordsChange struct {
	IdempotencyKey string              `json:"request"`
	Message        string              `json:"message,omitempty"`
	Operations     []records.Operation `json:"operations"`
}

// RecordsList is some records, as of a version.
type RecordsList struct {
	Version uint64           `json:"version"`
	Digest  records.Digest   `json:"digest"`
	Total   int              `json:"total"` // records of all kinds
	Records []records.Record `json:"records"`
}

// RecordsVersions is the newest accepted changes, newest first.
type RecordsVersions struct {
	Version uint64               `json:"version"`
	Digest  records.Digest       `json:"digest"`
	Changes []records.ChangeInfo `json:"changes"`
}

// RecordsDiff is which records changed between two versions.
type RecordsDiff struct {
	From    uint64              `json:"from"`
	To      uint64              `json:"to"`
	Changes []records.KeyChange `json:"changes"`
}

// RecordsStatus is what an agent reports of its copy of the records.
type RecordsStatus struct {
	State   records.FollowerState `json:"state"`
	Version uint64                `json:"version"`
	Digest  records.Digest        `json:"digest"`
	// AgeSeconds is for how long the copy has not been confirmed to be the newest;
	// nil: it never was.
	AgeSeconds *float64 `json:"age_s,omitempty"`
	Reason     string   `json:"why,omitempty"` // why it is not being confirmed, or not saved on disk
}

// RecordsHead is the version of the site's records, as the leader knows it.
type RecordsHead struct {
	Version uint64 `json:"version"`
}

// RecordsState is how an agent's copy stands to the site's records.
type RecordsState string

// The states of a copy.
const (
	RecordsUpToDate  RecordsState = "in force" // it has the newest version
	RecordsBehind    RecordsState = "behind"
	RecordsDiverged  RecordsState = "differs" // at a version whose content was another
	RecordsSilent    RecordsState = "silent"  // the leader has no recent report of the agent
	RecordsNoReports RecordsState = "off"     // the agent reports no records
	RecordsUnknown   RecordsState = "unknown" // there is no leader to compare it with
)

// RecordsLag is which agents have the newest records, and which have not, and why.
type RecordsLag struct {
	Stale    string         `json:"stale,omitempty"` // why this is the called agent's copy alone; "": it is the leader's answer
	Version  uint64         `json:"version"`
	Digest   records.Digest `json:"digest"`
	UpToDate int            `json:"in_force"` // agents
	Agents   []AgentRecords `json:"agents"`   // by name
}

// AllUpToDate reports whether all agents with a copy of the records have the newest.
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
	BehindSince *time.Time    `json:"since,omitempty"` // when the first change was accepted that it lacks; nil: none, or it is not known any more
	ReportedAt  *time.Time    `json:"heard,omitempty"` // nil: never by this leader
}
