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

// peerCall is a call to another agent.
type peerCall struct {
	method, path string
	body         []byte
	hop          string  // see agentapi.HopHeader
	onBehalfOf   *caller // for whom this agent speaks; nil: itself
	timeout      time.Duration
}

// callLeader has the leader answer, by way of any voter that knows it.
func (a *Agent) callLeader(ctx context.Context, method, path string, body []byte, answer any) error {
	var first error
	for _, address := range a.voterAddresses() {
		e := peerCall{method: method, path: path, body: body, timeout: voterTimeout}
		if address != a.knownLeader() {
			e.hop = agentapi.HopMayForward // it may send this on
		}
		err := a.callAgent(ctx, address, e, answer)
		if err == nil || agentapi.IsAnswer(err) {
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

// callAgent asks one agent. Danger: one that is there and does nothing, as a
// stopped one, would take all the time that is meant for the others.
func (a *Agent) callAgent(ctx context.Context, address string, e peerCall, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, e.method, a.url(address, e.path), bytes.NewReader(e.body))
	if err != nil {
		return err
	}
	if e.hop != "" {
		req.Header.Set(agentapi.HopHeader, e.hop)
	}
	if e.onBehalfOf != nil {
		req.Header.Set(onBehalfHeader, e.onBehalfOf.name+";"+string(e.onBehalfOf.role))
	}
	if err = a.doPeer(req, answer); err != nil && !agentapi.IsAnswer(err) {
		a.forgetLeader(address)
	}
	return err
}

// forgetLeader gives up a leader that did not answer.
func (a *Agent) forgetLeader(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaderAddress == address {
		a.leaderAddress = ""
	}
}

func (a *Agent) knownLeader() string {
	if a.store != nil {
		_, address := a.store.Leader()
		return address
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaderAddress
}

// voterAddresses are the addresses to ask, the likeliest first.
func (a *Agent) voterAddresses() (list []string) {
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

func (a *Agent) doPeer(req *http.Request, answer any) error {
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.peerClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return agentapi.ReadResponse(resp, answer)
}
