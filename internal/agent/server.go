package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/internal/leader"
	"elderyard/internal/pki"
	"elderyard/internal/replica"
	"elderyard/internal/wait"
	"elderyard/revisions"
	"elderyard/rollout"
)

const (
	callTimeout          = time.Minute
	idleTimeout          = 2 * time.Minute
	maxBodyBytes         = 32 << 20
	maxReportBytes       = 4 << 20
	maxSnapshotBytes     = 256 << 20
	leaderTimeout        = 10 * time.Second
	readTimeout          = 3 * time.Second // of one agent to which a read-only call is forwarded
	dryRunTimeout        = 10 * time.Second
	maxConcurrentDryRuns = 32

	electionTimeout      = 5 * time.Second // if there is no leader for this long, there is no majority
	electionPollInterval = 50 * time.Millisecond

	onBehalfHeader = "X-Elderyard-For" // caller of a forwarded call: name;role
)

// endpoint is one call of the agents' interface.
type endpoint struct {
	minRole pki.Role
	local   bool  // handled by the called agent, never forwarded to the leader
	maxBody int64 // bytes; 0: maxBodyBytes
	handle  func(context.Context, *call) (any, error)
	stale   func(why string) any // returns the response if no leader can be reached; nil: there is none
}

// call is one call that is being handled.
type call struct {
	caller
	body []byte
	r    *http.Request
}

// read decodes the body. An unknown key makes the call a bad request.
func (c *call) read(v any) error {
	if err := revisions.DecodeStrict(c.body, v); err != nil {
		return &agentapi.Failure{Code: agentapi.CodeBadRequest, Text: err.Error()}
	}
	return nil
}

// endpoints returns the calls that this agent serves, by method and path, except those of
// followerHandlers.
func (a *Agent) endpoints() map[string]endpoint {
	list := map[string]endpoint{
		"POST " + agentapi.ReportPath: {minRole: pki.Agent, maxBody: maxReportBytes, handle: a.handleReport},
		"GET /v1/status":              {minRole: pki.Viewer, handle: a.handleStatus, stale: a.staleStatus},
		"GET /v1/revisions":           {minRole: pki.Viewer, handle: a.handleRevisions, stale: a.staleRevisions},
		"GET /v1/revisions/{n}":       {minRole: pki.Viewer, handle: a.handleRevision},
		"GET /v1/members":             {minRole: pki.Viewer, handle: a.handleMembers, stale: a.staleMembers},
		"GET /v1/audit":               {minRole: pki.Viewer, handle: a.handleAudit, stale: a.staleAudit},
		"GET /v1/refused":             {minRole: pki.Viewer, local: true, handle: a.handleRefused},
		"GET /v1/snapshot":            {minRole: pki.Operator, handle: a.handleSaveSnapshot},
		"POST /v1/snapshot":           {minRole: pki.Operator, maxBody: maxSnapshotBytes, handle: a.handleRestoreSnapshot},
		"POST /v1/apply":              {minRole: pki.Operator, handle: a.handleApply},
		"POST /v1/probe":              {minRole: pki.Viewer, handle: a.handleDryRun},
		"POST /v1/probe-here":         {minRole: pki.Agent, local: true, handle: a.handleLocalDryRun},
		"POST /v1/pause":              {minRole: pki.Operator, handle: a.handleRolloutEvent(func(by string) rollout.Event { return rollout.Pause{By: by} })},
		"POST /v1/resume":             {minRole: pki.Operator, handle: a.handleRolloutEvent(func(by string) rollout.Event { return rollout.Resume{By: by} })},
		"POST /v1/abort":              {minRole: pki.Operator, handle: a.handleRolloutEvent(func(by string) rollout.Event { return rollout.Abort{By: by} })},
		"POST /v1/drain":              {minRole: pki.Operator, handle: a.handleDrain(true)},
		"POST /v1/undrain":            {minRole: pki.Operator, handle: a.handleDrain(false)},
		"POST /v1/members/add":        {minRole: pki.Operator, handle: a.handleAddMember(voter)},
		"POST /v1/replicas/add":       {minRole: pki.Operator, handle: a.handleAddMember(nonVoter)},
		"POST /v1/members/remove":     {minRole: pki.Operator, handle: a.handleRemoveMember},
		"POST /v1/agents/remove":      {minRole: pki.Operator, handle: a.handleRemoveAgent},
	}
	if a.config.Records {
		maps.Copy(list, a.recordsEndpoints())
	}
	return list
}

// routes returns the handler of the agents' interface.
func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	for pattern, e := range a.endpoints() {
		if e.maxBody == 0 {
			e.maxBody = maxBodyBytes
		}
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { a.serveCall(w, r, &e) })
	}
	for pattern, handler := range a.followerHandlers() {
		mux.Handle(pattern, handler)
	}
	if !a.config.Records {
		mux.HandleFunc(agentapi.RecordsPrefix, func(w http.ResponseWriter, _ *http.Request) {
			writeJSON(w, http.StatusNotFound, agentapi.Failure{Code: agentapi.CodeNotFound, Text: fmt.Sprintf("agent %s keeps no records: set records = true in its file", a.self.Name)})
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusNotFound, agentapi.Failure{Code: agentapi.CodeNotFound, Text: "there is no such call: " + r.Method + " " + r.URL.Path})
	})
	return mux
}

// serveCall checks the caller's role, and handles the call here or forwards it to the
// leader. If no leader can be reached, it responds with stale state.
func (a *Agent) serveCall(response http.ResponseWriter, request *http.Request, target *endpoint) {
	c := &call{caller: callerOf(request.Context()), r: request}
	// A forwarded call has the identity, and so the role, of the original caller. Only agents may set them.
	if name, role, found := strings.Cut(request.Header.Get(onBehalfHeader), ";"); found && c.role.Covers(pki.Agent) {
		c.caller = caller{name, pki.Role(role)}
	}
	if !c.role.Covers(target.minRole) {
		a.refusals.add(c.name, fmt.Sprintf("%s %s, which the role %q may not", request.Method, request.URL.Path, c.role))
		writeJSON(response, http.StatusForbidden, agentapi.Failure{Code: agentapi.CodeForbidden, Text: fmt.Sprintf("%s has the role %q, and %s is needed", c.name, c.role, target.minRole)})
		return
	}
	var err error
	if c.body, err = io.ReadAll(http.MaxBytesReader(response, request.Body, target.maxBody)); err != nil {
		writeJSON(response, http.StatusRequestEntityTooLarge, agentapi.Failure{Code: agentapi.CodeBadRequest, Text: fmt.Sprintf("the call's body: %v", err)})
		return
	}
	ctx, cancel := context.WithTimeout(request.Context(), callTimeout)
	defer cancel()
	var answer any
	switch {
	case target.local:
		answer, err = target.handle(ctx, c)
	case a.store != nil:
		answer, err = a.handleAsLeader(ctx, target, c)
	default:
		err = leader.ErrNotLeading
	}
	if errors.Is(err, leader.ErrNotLeading) || errors.Is(err, replica.ErrNotLeader) {
		text, forwardErr := a.forward(ctx, c)
		if forwardErr == nil {
			response.Header().Set("Content-Type", "application/json")
			response.Write(text)
			return
		}
		err = forwardErr
		if target.stale != nil && !agentapi.IsAnswer(forwardErr) {
			answer, err = target.stale(forwardErr.Error()), nil
		}
	}
	if err == nil {
		writeJSON(response, http.StatusOK, answer)
		return
	}
	f, status := asFailure(err)
	if f.Code == agentapi.CodeBadRequest || f.Code == agentapi.CodeRefused || f.Code == agentapi.CodeForbidden {
		a.refusals.add(c.name, request.Method+" "+request.URL.Path+": "+f.Text)
	}
	writeJSON(response, status, f)
}

// handleAsLeader handles a call if this voter leads. While no leader is known, as after a
// start or during an election, it retries for electionTimeout.
func (a *Agent) handleAsLeader(ctx context.Context, e *endpoint, c *call) (answer any, err error) {
	for deadline := time.Now().Add(electionTimeout); ; wait.For(ctx, electionPollInterval) {
		answer, err = e.handle(ctx, c)
		if !errors.Is(err, leader.ErrNotLeading) && !errors.Is(err, replica.ErrNotLeader) || ctx.Err() != nil || time.Now().After(deadline) {
			return answer, err
		}
		if _, address := a.store.Leader(); address != "" && address != a.self.Address {
			return answer, err
		}
	}
}

// asFailure returns the failure and the HTTP status with which to respond to an error.
func asFailure(err error) (*agentapi.Failure, int) {
	var f *agentapi.Failure
	var r *leader.RejectedError
	switch {
	case errors.As(err, &f):
		status := map[string]int{agentapi.CodeBadRequest: http.StatusBadRequest, agentapi.CodeRefused: http.StatusConflict, agentapi.CodeForbidden: http.StatusForbidden,
			agentapi.CodeNotFound: http.StatusNotFound, agentapi.CodeOutcomeUnknown: http.StatusGatewayTimeout}[f.Code]
		if status == 0 {
			status = http.StatusServiceUnavailable
		}
		return f, status
	case errors.As(err, &r):
		return &agentapi.Failure{Code: agentapi.CodeRefused, Text: r.Reason}, http.StatusConflict
	case errors.Is(err, replica.ErrOutcomeUnknown), errors.Is(err, context.DeadlineExceeded):
		return &agentapi.Failure{Code: agentapi.CodeOutcomeUnknown, Text: err.Error()}, http.StatusGatewayTimeout
	case errors.Is(err, leader.ErrNotLeading), errors.Is(err, replica.ErrNotLeader):
		return &agentapi.Failure{Code: agentapi.CodeUnreachable, Text: err.Error()}, http.StatusServiceUnavailable
	}
	return &agentapi.Failure{Code: agentapi.CodeRefused, Text: err.Error()}, http.StatusConflict
}

// writeJSON responds with a status and a value as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// forward forwards a call to the leader. A call is forwarded at most twice: to a voter, and
// by that voter to the leader.
func (a *Agent) forward(ctx context.Context, request *call) ([]byte, error) {
	hop := request.r.Header.Get(agentapi.HopHeader)
	if hop != "" && hop != agentapi.HopMayForward || hop == agentapi.HopMayForward && a.store == nil {
		return nil, &agentapi.Failure{Code: agentapi.CodeUnreachable, Text: "this agent does not lead either"}
	}
	addresses := a.voterAddresses()
	if a.store != nil { // if a voter does not know the leader, no other agent can
		_, address := a.store.Leader()
		addresses = nil
		if address != "" && address != a.self.Address {
			addresses = []string{address}
		}
	}
	err := error(&agentapi.Failure{Code: agentapi.CodeUnreachable, Text: "no leader is known"})
	for _, address := range addresses {
		callOut := peerCall{method: request.r.Method, path: request.r.URL.RequestURI(), body: request.body, hop: agentapi.HopMayForward, onBehalfOf: &request.caller, timeout: leaderTimeout}
		if request.r.Method == http.MethodGet {
			callOut.timeout = readTimeout
		}
		if a.store != nil || address == a.knownLeader() {
			callOut.hop = "1"
		}
		var text json.RawMessage
		if err = a.callAgent(ctx, address, callOut, &text); err == nil || agentapi.IsAnswer(err) {
			return text, err
		}
		var netError interface{ Timeout() bool }
		if request.r.Method != http.MethodGet && errors.As(err, &netError) && netError.Timeout() {
			return nil, &agentapi.Failure{Code: agentapi.CodeOutcomeUnknown, Text: fmt.Sprintf("%s did not answer: %v", address, err)}
		}
	}
	if f := (*agentapi.Failure)(nil); !errors.As(err, &f) {
		err = &agentapi.Failure{Code: agentapi.CodeUnreachable, Text: err.Error()}
	}
	return nil, err
}
