package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"elderyard/internal/agentapi"
)

// errand is a call to another agent.
type errand struct {
	method, path string
	body         []byte
	hop          string  // see agentapi.HopHeader
	whose        *caller // for whom this agent speaks; nil: itself
	limit        time.Duration
}

// callLeader has the leader answer, by way of any voter that knows it.
func (a *Agent) callLeader(ctx context.Context, method, path string, body []byte, answer any) error {
	var first error
	for _, address := range a.voters() {
		e := errand{method: method, path: path, body: body, limit: voterLimit}
		if address != a.knownLeader() {
			e.hop = agentapi.HopMay // it may send this on
		}
		err := a.callOne(ctx, address, e, answer)
		if err == nil || answered(err) {
			return err
		}
		if first == nil {
			first = fmt.Errorf("%s: %w", address, err)
		}
	}
	if first == nil {
		first = errors.New("no voter is known")
	}
	return first
}

// answered tells whether an error is an agent's answer, and no other need be
// asked.
func answered(err error) bool {
	var f *Failure
	return errors.As(err, &f) && f.Code != codeUnreachable
}

// callOne asks one agent. Danger: one that is there and does nothing, as a
// stopped one, would take all the time that is meant for the others.
func (a *Agent) callOne(ctx context.Context, address string, e errand, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, e.limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, e.method, a.url(address, e.path), bytes.NewReader(e.body))
	if err != nil {
		return err
	}
	if e.hop != "" {
		req.Header.Set(agentapi.HopHeader, e.hop)
	}
	if e.whose != nil {
		req.Header.Set(forHeader, e.whose.name+";"+string(e.whose.role))
	}
	if err = a.exchange(req, answer); err != nil && !answered(err) {
		a.forget(address)
	}
	return err
}

// forget gives up a leader that did not answer.
func (a *Agent) forget(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leader == address {
		a.leader = ""
	}
}

func (a *Agent) knownLeader() string {
	if a.store != nil {
		_, address := a.store.Leader()
		return address
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leader
}

// voters are the addresses to ask, the likeliest first.
func (a *Agent) voters() (list []string) {
	add := func(address string) {
		if address != "" && address != a.self.Address && !slices.Contains(list, address) {
			list = append(list, address)
		}
	}
	add(a.knownLeader())
	for _, v := range a.config.Voters {
		add(v)
	}
	if a.store != nil {
		if members, err := a.store.Members(); err == nil {
			for _, m := range members {
				add(m.Address)
			}
		}
	}
	return list
}

func (a *Agent) url(address, path string) string {
	if a.config.Plain {
		return "http://" + address + path
	}
	return "https://" + address + path
}

func (a *Agent) transport() *http.Transport {
	t := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, ResponseHeaderTimeout: time.Minute}
	if a.port != nil {
		t.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return a.port.dial(ctx, address) }
		t.DialTLSContext = t.DialContext
	}
	return t
}

func (a *Agent) exchange(req *http.Request, answer any) error {
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.peers.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return readAnswer(resp, answer)
}
