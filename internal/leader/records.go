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
	status     *agentapi.RecordsStatus // nil: the agent has none
	receivedAt time.Time
}

// receiveRecords records the report on an agent's copy and returns the head of the
// site's records; nil: the agent has no copy.
func (t *term) receiveRecords(agent string, status *agentapi.RecordsStatus) *agentapi.RecordsHead {
	t.recordsReports[agent] = recordsReport{status: status, receivedAt: time.Now()}
	if status == nil {
		return nil
	}
	var head agentapi.RecordsHead
	t.store.ReadRecords(func(store *records.Store) { head.Version = store.Version() })
	return &head
}

// recordsLag compares what the agents have reported with the site's records.
func (t *term) recordsLag() (lag agentapi.RecordsLag) {
	t.refresh()
	lag.Agents = []agentapi.AgentRecords{}
	t.store.ReadRecords(func(store *records.Store) {
		lag.Version, lag.Digest = store.Version(), store.Digest()
		history := store.History(0)
		for _, name := range slices.Sorted(maps.Keys(t.agents)) {
			one := agentapi.AgentRecords{Agent: name}
			if report, found := t.recordsReports[name]; found {
				one = compareRecords(name, report, store, history)
			} else {
				one.State = agentapi.RecordsSilent
			}
			if one.State == agentapi.RecordsUpToDate {
				lag.UpToDate++
			}
			lag.Agents = append(lag.Agents, one)
		}
	})
	return lag
}

// compareRecords compares an agent's copy with the store, whose history is the newest
// change first.
func compareRecords(name string, report recordsReport, store *records.Store, history []records.ChangeInfo) agentapi.AgentRecords {
	at := report.receivedAt.UTC()
	one := agentapi.AgentRecords{Agent: name, ReportedAt: &at}
	if report.status == nil {
		one.State = agentapi.RecordsNoReports
		return one
	}
	one.Status = *report.status
	digest, known := store.DigestAt(one.Status.Version)
	switch {
	case time.Since(report.receivedAt) > silentAfter:
		one.State = agentapi.RecordsSilent
	case one.Status.Version > store.Version(), known && digest != one.Status.Digest:
		one.State = agentapi.RecordsDiverged
	case one.Status.Version < store.Version():
		one.State = agentapi.RecordsBehind
	default:
		one.State = agentapi.RecordsUpToDate
	}
	one.BehindSince = firstMissingAt(one.Status.Version, history)
	return one
}

// firstMissingAt returns when the first change above a version was accepted, as far as
// the history, newest first, reaches; nil: there is none.
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

// dropRecords drops the reports of agents that are no longer in the site.
func (t *term) dropRecords() {
	for name := range t.recordsReports {
		if _, inSite := t.agents[name]; !inSite {
			delete(t.recordsReports, name)
		}
	}
}
