package leader

import (
	"maps"
	"slices"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/records"
)

// recordsReport is the last report on an agent's copy of the records.
type recordsReport struct {
	status     *agentapi.RecordsStatus // nil: the agent has no copy
	receivedAt time.Time
}

// receiveRecords stores the report on an agent's copy and returns the head of the site's
// records, or nil if the agent has no copy.
func (t *term) receiveRecords(agent string, status *agentapi.RecordsStatus) *agentapi.RecordsHead {
	t.recordsReports[agent] = recordsReport{status: status, receivedAt: time.Now()}
	if status == nil {
		return nil
	}
	var head agentapi.RecordsHead
	t.store.ReadRecords(func(store *records.Store) { head.Version = store.Version() })
	return &head
}

// recordsLag compares the agents' reported copies with the site's records.
func (t *term) recordsLag() (lag agentapi.RecordsLag) {
	t.refresh()
	lag.Agents = []agentapi.AgentRecords{}
	t.store.ReadRecords(func(store *records.Store) {
		lag.Version, lag.Digest = store.Version(), store.Digest()
		history := store.History(0)
		for _, name := range slices.Sorted(maps.Keys(t.agents)) {
			perAgent := agentapi.AgentRecords{Agent: name}
			if report, found := t.recordsReports[name]; found {
				perAgent = compareRecords(name, report, store, history)
			} else {
				perAgent.State = agentapi.RecordsSilent
			}
			if perAgent.State == agentapi.RecordsUpToDate {
				lag.UpToDate++
			}
			lag.Agents = append(lag.Agents, perAgent)
		}
	})
	return lag
}

// compareRecords compares an agent's copy with the store. The history has the newest
// change first.
func compareRecords(name string, report recordsReport, store *records.Store, history []records.ChangeInfo) agentapi.AgentRecords {
	at := report.receivedAt.UTC()
	agent := agentapi.AgentRecords{Agent: name, ReportedAt: &at}
	if report.status == nil {
		agent.State = agentapi.RecordsNoReports
		return agent
	}
	agent.Status = *report.status
	digest, found := store.DigestAt(agent.Status.Version)
	switch {
	case time.Since(report.receivedAt) > silentAfter:
		agent.State = agentapi.RecordsSilent
	case agent.Status.Version > store.Version(), found && digest != agent.Status.Digest:
		agent.State = agentapi.RecordsDiverged
	case agent.Status.Version < store.Version():
		agent.State = agentapi.RecordsBehind
	default:
		agent.State = agentapi.RecordsUpToDate
	}
	agent.BehindSince = firstMissingAt(agent.Status.Version, history)
	return agent
}

// firstMissingAt returns when the oldest change above a version in the history, which has
// the newest change first, was accepted; nil if there is none.
func firstMissingAt(version uint64, history []records.ChangeInfo) *time.Time {
	n, _ := slices.BinarySearchFunc(history, version, func(info records.ChangeInfo, version uint64) int {
		if info.Version > version {
			return -1
		}
		return 1
	})
	if n == 0 {
		return nil
	}
	at := history[n-1].At
	return &at
}

// pruneRecordsReports drops the reports of agents that are no longer in the site.
func (t *term) pruneRecordsReports() {
	for name := range t.recordsReports {
		if _, inSite := t.agents[name]; !inSite {
			delete(t.recordsReports, name)
		}
	}
}
