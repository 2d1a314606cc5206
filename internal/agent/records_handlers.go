package agent

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/pki"
	"elderyard/internal/recordsync"
	"elderyard/records"
)

const (
	maxRecordsChangeBytes = 2 * fleet.MaxRecordsChangeBytes // of a call's body
	maxRecordsListed      = 5000                            // in one response
)

// recordsEndpoints returns the operators' calls on the records, by method and path.
func (a *Agent) recordsEndpoints() map[string]endpoint {
	return map[string]endpoint{
		"POST " + agentapi.RecordsChangePath:  {minRole: pki.Operator, maxBody: maxRecordsChangeBytes, handle: a.handleChangeRecords},
		"GET " + agentapi.RecordsGetPath:      {minRole: pki.Viewer, handle: a.confirmed(a.getRecord)},
		"GET " + agentapi.RecordsListPath:     {minRole: pki.Viewer, handle: a.confirmed(a.listRecords)},
		"GET " + agentapi.RecordsVersionsPath: {minRole: pki.Viewer, handle: a.confirmed(a.listRecordsVersions)},
		"GET " + agentapi.RecordsDiffPath:     {minRole: pki.Viewer, handle: a.confirmed(a.diffRecords)},
		"GET " + agentapi.RecordsLagPath:      {minRole: pki.Viewer, handle: a.handleRecordsLag, stale: a.staleRecordsLag},
	}
}

// followerHandlers returns the handlers of the calls by which other agents' copies follow
// the records, by method and path. There are none if records are disabled.
func (a *Agent) followerHandlers() map[string]http.Handler {
	list := map[string]http.Handler{}
	if a.config.Records {
		for _, path := range []string{recordsync.ChangesPath, recordsync.RangesPath, recordsync.ContentPath} {
			list["GET "+path] = a.onlyAgents(a.recordsHandler)
		}
	}
	return list
}

// newRecordsHandler returns the handler of followers' calls. It serves them from this
// voter's store, or responds with a failure if this agent is not a voter.
func (a *Agent) newRecordsHandler() http.Handler {
	if a.store != nil {
		return recordsync.NewHandler(a.store)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusServiceUnavailable, agentapi.Failure{Code: agentapi.CodeUnreachable, Text: fmt.Sprintf("agent %s is no voter and answers no follower", a.self.Name)})
	})
}

// onlyAgents returns a handler that rejects callers without the role of an agent.
func (a *Agent) onlyAgents(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := callerOf(r.Context())
		if !c.role.Covers(pki.Agent) {
			a.refusals.add(c.name, fmt.Sprintf("%s %s, which the role %q may not", r.Method, r.URL.Path, c.role))
			writeJSON(w, http.StatusForbidden, agentapi.Failure{Code: agentapi.CodeForbidden, Text: fmt.Sprintf("%s has the role %q, and %s is needed", c.name, c.role, pki.Agent)})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// handleChangeRecords proposes a change of the records to the voters and returns the
// outcome, which may be a rejection.
func (a *Agent) handleChangeRecords(ctx context.Context, request *call) (any, error) {
	var got agentapi.RecordsChange
	if err := request.read(&got); err != nil {
		return nil, err
	}
	if got.IdempotencyKey == "" {
		return nil, &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: "request: a change needs a key, so that a repeat is known for one"}
	}
	change := &records.Change{IdempotencyKey: got.IdempotencyKey, Author: fleet.Truncate(request.name, records.MaxNameBytes), Message: got.Message,
		At: time.Now().UTC(), Operations: got.Operations}
	entry := fleet.Entry{Records: change}
	if _, err := entry.Encode(); err != nil {
		return nil, &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: err.Error()}
	}
	out, err := a.propose(ctx, entry)
	if err != nil {
		return nil, err
	}
	if out.Records == nil {
		return nil, errors.New("the voters did not judge the change of records")
	}
	if problem := out.Records.Problem; problem != nil {
		a.refusals.add(request.name, fmt.Sprintf("records change: %s: %v", out.Records.Status, problem))
	}
	return *out.Records, nil
}

// confirmed returns the handler of a read-only call. It reads this voter's records after
// verifying that they contain all changes that were committed before the call.
func (a *Agent) confirmed(read func(url.Values, *records.Store) (any, error)) func(context.Context, *call) (any, error) {
	return func(_ context.Context, c *call) (answer any, err error) {
		if err := a.store.VerifyLeader(); err != nil {
			return nil, err
		}
		a.store.ReadRecords(func(store *records.Store) { answer, err = read(c.r.URL.Query(), store) })
		return answer, err
	}
}

// newRecordsList returns an empty list as of the store's version.
func newRecordsList(store *records.Store) agentapi.RecordsList {
	return agentapi.RecordsList{Version: store.Version(), Digest: store.Digest(), Total: store.Len(), Records: []records.Record{}}
}

// getRecord returns a list with the record for the key in the query, if it exists.
func (a *Agent) getRecord(query url.Values, store *records.Store) (any, error) {
	key, err := records.ParseKey(query.Get("key"))
	if err != nil {
		return nil, &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: err.Error()}
	}
	list := newRecordsList(store)
	if record, found := store.Get(key); found {
		list.Records = append(list.Records, record)
	}
	return list, nil
}

// listRecords returns at most maxRecordsListed records by kind and prefix.
func (a *Agent) listRecords(query url.Values, store *records.Store) (any, error) {
	kind, err := records.ParseKind(query.Get("kind"))
	if err != nil {
		return nil, &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: err.Error()}
	}
	limit, err := queryNumber(query, "limit")
	if err != nil {
		return nil, err
	}
	if limit == 0 || limit > maxRecordsListed {
		limit = maxRecordsListed
	}
	list := newRecordsList(store)
	list.Records = append(list.Records, store.List(kind, query.Get("prefix"), int(limit))...)
	return list, nil
}

// listRecordsVersions returns the most recent accepted changes.
func (a *Agent) listRecordsVersions(query url.Values, store *records.Store) (any, error) {
	limit, err := queryNumber(query, "limit")
	if err != nil {
		return nil, err
	}
	limit = min(limit, records.MaxLogChanges)
	return agentapi.RecordsVersions{Version: store.Version(), Digest: store.Digest(), Changes: store.History(int(limit))}, nil
}

// diffRecords returns the records that changed between two versions.
func (a *Agent) diffRecords(query url.Values, store *records.Store) (any, error) {
	from, err := queryNumber(query, "from")
	if err != nil {
		return nil, err
	}
	to, err := queryNumber(query, "to")
	if err != nil {
		return nil, err
	}
	if to == 0 {
		to = store.Version()
	}
	changes, err := store.KeysChanged(from, to)
	if err != nil {
		return nil, &agentapi.Failure{Code: agentapi.CodeNotFound, Text: err.Error()}
	}
	return agentapi.RecordsDiff{From: from, To: to, Changes: changes}, nil
}

// queryNumber returns a number from a query, or 0 if it is missing.
func queryNumber(query url.Values, name string) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: fmt.Sprintf("%s: %.32q is no number", name, text)}
	}
	return n, nil
}

// handleRecordsLag compares the agents' copies with the site's records.
func (a *Agent) handleRecordsLag(ctx context.Context, _ *call) (any, error) {
	if err := a.store.VerifyLeader(); err != nil {
		return nil, err
	}
	return a.leader.RecordsLag(ctx)
}
