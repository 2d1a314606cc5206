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
	hop          string  // value of agentapi.HopHeader; "": no header
	onBehalfOf   *caller // the caller whose call is forwarded; nil: this agent itself
	timeout      time.Duration
}

// callLeader calls the leader, directly or through a voter that forwards the call. If no
// voter responds, it returns the error of the first one.
func (a *Agent) callLeader(ctx context.Context, method, path string, body []byte, answer any) error {
	var first error
	for _, address := range a.voterAddresses() {
		callOut := peerCall{method: method, path: path, body: body, timeout: voterTimeout}
		if address != a.knownLeader() {
			callOut.hop = agentapi.HopMayForward // this voter may forward it
		}
		err := a.callAgent(ctx, address, callOut, answer)
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

// callAgent calls one agent within the call's own timeout: an agent that accepts
// connections and does not respond must not use up the time for the others.
func (a *Agent) callAgent(ctx context.Context, address string, outgoing peerCall, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, outgoing.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, outgoing.method, a.url(address, outgoing.path), bytes.NewReader(outgoing.body))
	if err != nil {
		return err
	}
	if outgoing.hop != "" {
		req.Header.Set(agentapi.HopHeader, outgoing.hop)
	}
	if outgoing.onBehalfOf != nil {
		req.Header.Set(onBehalfHeader, outgoing.onBehalfOf.name+";"+string(outgoing.onBehalfOf.role))
	}
	if err = a.sendRequest(req, answer); err != nil && !agentapi.IsAnswer(err) {
		a.forgetLeader(address)
	}
	return err
}

// forgetLeader clears the leader's address if it is this one, which did not respond.
func (a *Agent) forgetLeader(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaderAddress == address {
		a.leaderAddress = ""
	}
}

// knownLeader returns the last known address of the leader, or "" if it is unknown.
func (a *Agent) knownLeader() string {
	if a.store != nil {
		_, address := a.store.Leader()
		return address
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.leaderAddress
}

// voterAddresses returns the addresses at which to call the leader, the most likely first.
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

// url returns the URL of a path at another agent.
func (a *Agent) url(address, path string) string {
	if a.config.Plain {
		return "http://" + address + path
	}
	return "https://" + address + path
}

// transport returns the HTTP transport for calls to other agents.
func (a *Agent) transport() *http.Transport {
	t := &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute, ResponseHeaderTimeout: time.Minute}
	if a.port != nil {
		t.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return a.port.dial(ctx, address) }
		t.DialTLSContext = t.DialContext
	}
	return t
}

// sendRequest sends a request to another agent and decodes the response.
func (a *Agent) sendRequest(req *http.Request, answer any) error {
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.peerClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return agentapi.ReadResponse(resp, answer)
}
