package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"elderyard/internal/agentapi"
	"elderyard/internal/pki"
	"elderyard/internal/replica"
	"elderyard/internal/wait"
	"elderyard/revisions"
	"elderyard/rollout"
)

const (
	callLimit  = time.Minute
	idleLimit  = 2 * time.Minute
	mostBody   = 32 << 20
	mostReport = 4 << 20
	mostSaved  = 256 << 20
	leadLimit  = 10 * time.Second
	readLimit  = 3 * time.Second // of one agent that a reading call is sent on to
	probeLimit = 10 * time.Second
	probesOpen = 32

	electWithin = 5 * time.Second // an election is over by then, or there is no majority
	electLook   = 50 * time.Millisecond

	forHeader = "X-Elderyard-For" // for whom an agent speaks
)

// endpoint is one call of the agents' interface.
type endpoint struct {
	need pki.Role
	here bool // this agent answers itself, whoever leads
	most int64
	do   func(context.Context, *call) (any, error)
	old  func(why string) any // what this agent can tell without the leader; nil: nothing
}

// call is one call on its way.
type call struct {
	caller
	body []byte
	r    *http.Request
}

func (c *call) read(v any) error {
	if err := revisions.Strictly(c.body, v); err != nil {
		return &Failure{codeBad, err.Error()}
	}
	return nil
}

func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	add := func(pattern string, e endpoint) {
		if e.most == 0 {
			e.most = mostBody
		}
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, &e) })
	}
	for pattern, e := range map[string]endpoint{
		"POST " + agentapi.ReportPath: {need: pki.Agent, most: mostReport, do: a.takeReport},
		"GET /v1/status":              {need: pki.Viewer, do: a.tellStatus, old: a.oldStatus},
		"GET /v1/revisions":           {need: pki.Viewer, do: a.tellRevisions, old: a.oldRevisions},
		"GET /v1/revisions/{n}":       {need: pki.Viewer, do: a.tellRevision},
		"GET /v1/members":             {need: pki.Viewer, do: a.tellMembers, old: a.oldMembers},
		"GET /v1/audit":               {need: pki.Viewer, do: a.tellAudit, old: a.oldAudit},
		"GET /v1/refused":             {need: pki.Viewer, here: true, do: a.tellRefused},
		"GET /v1/snapshot":            {need: pki.Operator, do: a.saveSnapshot},
		"POST /v1/snapshot":           {need: pki.Operator, most: mostSaved, do: a.loadSnapshot},
		"POST /v1/apply":              {need: pki.Operator, do: a.apply},
		"POST /v1/probe":              {need: pki.Viewer, do: a.probe},
		"POST /v1/probe-here":         {need: pki.Agent, here: true, do: a.probeHere},
		"POST /v1/pause":              {need: pki.Operator, do: a.turn(func(by string) rollout.Event { return rollout.Pause{By: by} })},
		"POST /v1/resume":             {need: pki.Operator, do: a.turn(func(by string) rollout.Event { return rollout.Resume{By: by} })},
		"POST /v1/abort":              {need: pki.Operator, do: a.turn(func(by string) rollout.Event { return rollout.Abort{By: by} })},
		"POST /v1/drain":              {need: pki.Operator, do: a.drain(true)},
		"POST /v1/undrain":            {need: pki.Operator, do: a.drain(false)},
		"POST /v1/members/add":        {need: pki.Operator, do: a.addMember(voter)},
		"POST /v1/replicas/add":       {need: pki.Operator, do: a.addMember(nonVoter)},
		"POST /v1/members/remove":     {need: pki.Operator, do: a.removeMember},
		"POST /v1/agents/remove":      {need: pki.Operator, do: a.removeAgent},
	} {
		add(pattern, e)
	}
	a.handleRecords(mux, add)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		answerWith(w, http.StatusNotFound, Failure{codeUnknown, "there is no such call: " + r.Method + " " + r.URL.Path})
	})
	return mux
}

// serve finds out who calls and who answers.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request, e *endpoint) {
	c := &call{caller: callerOf(r.Context()), r: r}
	// An agent speaks for those whose calls it sends on, never for more than they may.
	if name, role, found := strings.Cut(r.Header.Get(forHeader), ";"); found && c.role.Covers(pki.Agent) {
		c.caller = caller{name, pki.Role(role)}
	}
	if !c.role.Covers(e.need) {
		a.refusals.add(c.name, fmt.Sprintf("%s %s, which the role %q may not", r.Method, r.URL.Path, c.role))
		answerWith(w, http.StatusForbidden, Failure{codeForbidden, fmt.Sprintf("%s has the role %q, and %s is needed", c.name, c.role, e.need)})
		return
	}
	var err error
	if c.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, e.most)); err != nil {
		answerWith(w, http.StatusRequestEntityTooLarge, Failure{codeBad, fmt.Sprintf("the call's body: %v", err)})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callLimit)
	defer cancel()
	var answer any
	switch {
	case e.here:
		answer, err = e.do(ctx, c)
	case a.store != nil:
		answer, err = a.whenLeading(ctx, e, c)
	default:
		err = errNotLeading
	}
	if errors.Is(err, errNotLeading) || errors.Is(err, replica.ErrNoLeader) {
		text, sent := a.sendOn(ctx, c)
		if sent == nil {
			w.Header().Set("Content-Type", "application/json")
			w.Write(text)
			return
		}
		err = sent
		if e.old != nil && !answered(sent) {
			answer, err = e.old(sent.Error()), nil
		}
	}
	if err == nil {
		answerWith(w, http.StatusOK, answer)
		return
	}
	f, status := asFailure(err)
	if f.Code == codeBad || f.Code == codeRefused || f.Code == codeForbidden {
		a.refusals.add(c.name, r.Method+" "+r.URL.Path+": "+f.Text)
	}
	answerWith(w, status, f)
}

// whenLeading does a call if this voter leads. Where it is only about to, as
// after a start or an election, that is waited for.
func (a *Agent) whenLeading(ctx context.Context, e *endpoint, c *call) (answer any, err error) {
	for limit := time.Now().Add(electWithin); ; wait.For(ctx, electLook) {
		answer, err = e.do(ctx, c)
		if !errors.Is(err, errNotLeading) && !errors.Is(err, replica.ErrNoLeader) || ctx.Err() != nil || time.Now().After(limit) {
			return answer, err
		}
		if _, address := a.store.Leader(); address != "" && address != a.self.Address {
			return answer, err
		}
	}
}

func asFailure(err error) (*Failure, int) {
	var f *Failure
	var r *refusal
	switch {
	case errors.As(err, &f):
		status := map[string]int{codeBad: http.StatusBadRequest, codeRefused: http.StatusConflict, codeForbidden: http.StatusForbidden,
			codeUnknown: http.StatusNotFound, codeDoubt: http.StatusGatewayTimeout}[f.Code]
		if status == 0 {
			status = http.StatusServiceUnavailable
		}
		return f, status
	case errors.As(err, &r):
		return &Failure{codeRefused, r.text}, http.StatusConflict
	case errors.Is(err, replica.ErrUnknown), errors.Is(err, context.DeadlineExceeded):
		return &Failure{codeDoubt, err.Error()}, http.StatusGatewayTimeout
	case errors.Is(err, errNotLeading), errors.Is(err, replica.ErrNoLeader):
		return &Failure{codeUnreachable, err.Error()}, http.StatusServiceUnavailable
	}
	return &Failure{codeRefused, err.Error()}, http.StatusConflict
}

func answerWith(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// sendOn has the leader answer a call in this agent's place.
func (a *Agent) sendOn(ctx context.Context, c *call) ([]byte, error) {
	hop := c.r.Header.Get(agentapi.HopHeader)
	if hop != "" && hop != agentapi.HopMay || hop == agentapi.HopMay && a.store == nil {
		return nil, &Failure{codeUnreachable, "this agent does not lead either"}
	}
	addresses := a.voters()
	if a.store != nil { // a voter knows the leader, or nobody does
		_, address := a.store.Leader()
		addresses = nil
		if address != "" && address != a.self.Address {
			addresses = []string{address}
		}
	}
	err := error(&Failure{codeUnreachable, "no leader is known"})
	for _, address := range addresses {
		e := errand{method: c.r.Method, path: c.r.URL.RequestURI(), body: c.body, hop: agentapi.HopMay, whose: &c.caller, limit: leadLimit}
		if c.r.Method == http.MethodGet {
			e.limit = readLimit
		}
		if a.store != nil || address == a.knownLeader() {
			e.hop = "1"
		}
		var text json.RawMessage
		if err = a.callOne(ctx, address, e, &text); err == nil || answered(err) {
			return text, err
		}
		var lost interface{ Timeout() bool }
		if c.r.Method != http.MethodGet && errors.As(err, &lost) && lost.Timeout() {
			return nil, &Failure{codeDoubt, fmt.Sprintf("%s did not answer: %v", address, err)}
		}
	}
	if f := (*Failure)(nil); !errors.As(err, &f) {
		err = &Failure{codeUnreachable, err.Error()}
	}
	return nil, err
}

// inTerm does something where this voter leads.
func (a *Agent) inTerm(ctx context.Context, do func(*term) error) error {
	ctx, cancel := context.WithTimeout(ctx, leadLimit)
	defer cancel()
	return a.lead.ask(ctx, do)
}
