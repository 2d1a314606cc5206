package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"elderyard/internal/pki"
	"elderyard/revisions"
)

// Failure is an agent's answer that it can't, or won't, do what it was asked.
type Failure struct {
	Code string `json:"code"`
	Text string `json:"error"`
}

func (f *Failure) Error() string { return f.Text }

// Refused tells whether nothing was changed, and asking again would not help.
func (f *Failure) Refused() bool {
	return f.Code == codeRefused || f.Code == codeForbidden || f.Code == codeNotFound
}

// BadRequest tells whether the call itself was wrong.
func (f *Failure) BadRequest() bool { return f.Code == codeBadRequest }

// Forbidden tells whether the caller's role does not allow it.
func (f *Failure) Forbidden() bool { return f.Code == codeForbidden }

// OutcomeUnknown tells whether a change may yet be carried out.
func (f *Failure) OutcomeUnknown() bool { return f.Code == codeOutcomeUnknown }

// Target is the agent that a Client asks: a local socket, or an address.
type Target struct {
	Socket  string
	Address string
	Plain   bool
	Files   pki.Files
}

// Client asks one agent.
type Client struct {
	http *http.Client
	base string
	name string
}

// NewClient makes a client of one agent. It does not connect yet.
func NewClient(target Target) (*Client, error) {
	d := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: idleTimeout}
	c := &Client{http: &http.Client{Transport: transport, Timeout: callTimeout + dialTimeout}, base: "http://agent", name: target.Address}
	switch {
	case target.Address == "":
		c.name = target.Socket
		transport.DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return d.DialContext(ctx, "unix", target.Socket)
		}
	case target.Plain:
		host, _, err := net.SplitHostPort(target.Address)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return nil, fmt.Errorf("%s: without TLS a loopback address alone is called", target.Address)
		}
		c.base = "http://" + target.Address
	default:
		config, err := target.Files.Client()
		if err != nil {
			return nil, err
		}
		c.base, transport.TLSClientConfig = "https://"+target.Address, config
	}
	return c, nil
}

// Close gives the client's connections back.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) call(ctx context.Context, method, path string, body, answer any) error {
	var text []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		text = b
	default:
		var err error
		if text, err = json.Marshal(b); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(text))
	if err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var inner *net.OpError
		if errors.As(err, &inner) && inner.Op == "dial" {
			return &Failure{codeUnreachable, fmt.Sprintf("agent %s can't be reached: %v", c.name, inner.Err)}
		}
		if method != http.MethodGet {
			return &Failure{codeOutcomeUnknown, fmt.Sprintf("agent %s did not answer: %v", c.name, err)}
		}
		return &Failure{codeUnreachable, fmt.Sprintf("agent %s did not answer: %v", c.name, err)}
	}
	defer resp.Body.Close()
	return readResponse(resp, answer)
}

func readResponse(resp *http.Response, answer any) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<30))
	if err != nil {
		return &Failure{codeOutcomeUnknown, fmt.Sprintf("the answer was cut short: %v", err)}
	}
	if resp.StatusCode != http.StatusOK {
		var f Failure
		if json.Unmarshal(text, &f) != nil || f.Code == "" {
			return &Failure{codeUnreachable, fmt.Sprintf("the answer is %s, and not an agent's", resp.Status)}
		}
		return &f
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return &Failure{codeUnreachable, fmt.Sprintf("the answer is not an agent's: %v", err)}
	}
	return nil
}

// Status tells how the site is.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// Revisions lists the history.
func (c *Client) Revisions(ctx context.Context) (l Revisions, err error) {
	return l, c.call(ctx, http.MethodGet, "/v1/revisions", nil, &l)
}

// Revision gets one revision whole.
func (c *Client) Revision(ctx context.Context, n uint64) (r revisions.Revision, err error) {
	return r, c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/revisions/%d", n), nil, &r)
}

// Members lists voters and agents.
func (c *Client) Members(ctx context.Context) (m Members, err error) {
	return m, c.call(ctx, http.MethodGet, "/v1/members", nil, &m)
}

// Audit reads the audit log, with the calls that the asked agent refused.
func (c *Client) Audit(ctx context.Context) (l Audit, err error) {
	if err := c.call(ctx, http.MethodGet, "/v1/audit", nil, &l); err != nil {
		return l, err
	}
	var here Audit
	err = c.call(ctx, http.MethodGet, "/v1/refused", nil, &here)
	l.Refused = here.Refused
	return l, err
}

// Apply applies a content or an old revision. A call whose answer is lost is
// repeated under its request's name for as long as ctx holds.
func (c *Client) Apply(ctx context.Context, a ApplyRequest) (out ApplyResult, err error) {
	for {
		err = c.call(ctx, http.MethodPost, "/v1/apply", a, &out)
		var f *Failure
		if err == nil || !errors.As(err, &f) || f.Code != codeOutcomeUnknown && f.Code != codeUnreachable {
			return out, err
		}
		select {
		case <-ctx.Done():
			return out, err
		case <-time.After(retryDelay):
		}
	}
}

const retryDelay = 200 * time.Millisecond

// Probe asks all agents what they would make of a content.
func (c *Client) Probe(ctx context.Context, content revisions.Content) (l []Probe, err error) {
	return l, c.call(ctx, http.MethodPost, "/v1/probe", content, &l)
}

// Do makes one change: pause, resume, abort, drain, undrain or agents/remove.
func (c *Client) Do(ctx context.Context, verb string, v ChangeRequest) error {
	return c.call(ctx, http.MethodPost, "/v1/"+verb, v, &struct{}{})
}

// AddMember makes an agent a voter, and tells which voters have yet to note it.
func (c *Client) AddMember(ctx context.Context, v ChangeRequest) (m MemberChange, err error) {
	return m, c.call(ctx, http.MethodPost, "/v1/members/add", v, &m)
}

// AddNonVoter makes an agent a replica that answers reads and has no vote, and tells which stores have yet to note it.
func (c *Client) AddNonVoter(ctx context.Context, v ChangeRequest) (m MemberChange, err error) {
	return m, c.call(ctx, http.MethodPost, "/v1/replicas/add", v, &m)
}

// RemoveMember takes a voter out, and tells the same.
func (c *Client) RemoveMember(ctx context.Context, v ChangeRequest) (m MemberChange, err error) {
	return m, c.call(ctx, http.MethodPost, "/v1/members/remove", v, &m)
}

// Snapshot saves the site's state.
func (c *Client) Snapshot(ctx context.Context) ([]byte, error) {
	var text json.RawMessage
	err := c.call(ctx, http.MethodGet, "/v1/snapshot", nil, &text)
	return text, err
}

// Restore puts a saved state in the place of the site's.
func (c *Client) Restore(ctx context.Context, text []byte) error {
	return c.call(ctx, http.MethodPost, "/v1/snapshot", text, &struct{}{})
}
