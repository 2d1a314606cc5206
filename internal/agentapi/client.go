package agentapi

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

const (
	dialTimeout      = 3 * time.Second
	idleTimeout      = 2 * time.Minute // of a connection
	callTimeout      = time.Minute     // of one call, without the dial
	retryInterval    = 200 * time.Millisecond
	maxResponseBytes = 1 << 30
)

// Target is the agent that a Client calls, by a local socket or by an address.
type Target struct {
	Socket  string    // path; used if Address is ""
	Address string    // host:port
	Plain   bool      // without TLS; for loopback addresses only
	Files   pki.Files // the caller's certificate for TLS
}

// Client calls one agent. Its methods return a *Failure if the agent did not execute the
// call. They are safe for concurrent use.
type Client struct {
	http *http.Client
	base string // URL without the path
	name string // the agent's, for errors
}

// NewClient returns a client of one agent. It does not connect yet. It returns an error if
// the certificate can't be read, or if Plain is set for an address other than loopback.
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
		config, err := target.Files.ClientConfig()
		if err != nil {
			return nil, err
		}
		c.base, transport.TLSClientConfig = "https://"+target.Address, config
	}
	return c, nil
}

// Close closes the client's idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call makes one call. A body of type []byte is sent unchanged, any other is encoded as
// JSON.
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
			return &Failure{CodeUnreachable, fmt.Sprintf("agent %s can't be reached: %v", c.name, inner.Err)}
		}
		if method != http.MethodGet {
			return &Failure{CodeOutcomeUnknown, fmt.Sprintf("agent %s did not answer: %v", c.name, err)}
		}
		return &Failure{CodeUnreachable, fmt.Sprintf("agent %s did not answer: %v", c.name, err)}
	}
	defer resp.Body.Close()
	return ReadResponse(resp, answer)
}

// ReadResponse decodes the response of an agent. It returns a *Failure if the response is
// one, or does not come from an agent. The caller closes the body.
func ReadResponse(resp *http.Response, answer any) error {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &Failure{CodeOutcomeUnknown, fmt.Sprintf("the answer was cut short: %v", err)}
	}
	if resp.StatusCode != http.StatusOK {
		var f Failure
		if json.Unmarshal(text, &f) != nil || f.Code == "" {
			return &Failure{CodeUnreachable, fmt.Sprintf("the answer is %s, and not an agent's", resp.Status)}
		}
		return &f
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return &Failure{CodeUnreachable, fmt.Sprintf("the answer is not an agent's: %v", err)}
	}
	return nil
}

// Status returns the state of the site.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// Revisions returns the list of revisions without their contents.
func (c *Client) Revisions(ctx context.Context) (l Revisions, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/revisions", nil, &l)
	return l, err
}

// Revision returns one revision with its content.
func (c *Client) Revision(ctx context.Context, n uint64) (r revisions.Revision, err error) {
	err = c.call(ctx, http.MethodGet, fmt.Sprintf("/v1/revisions/%d", n), nil, &r)
	return r, err
}

// Members returns the voters and the agents.
func (c *Client) Members(ctx context.Context) (m Members, err error) {
	err = c.call(ctx, http.MethodGet, "/v1/members", nil, &m)
	return m, err
}

// Audit returns the audit log and the calls that the called agent refused.
func (c *Client) Audit(ctx context.Context) (l Audit, err error) {
	if err := c.call(ctx, http.MethodGet, "/v1/audit", nil, &l); err != nil {
		return l, err
	}
	var fromAgent Audit
	err = c.call(ctx, http.MethodGet, "/v1/refused", nil, &fromAgent)
	l.Refused = fromAgent.Refused
	return l, err
}

// Apply applies a new content or that of an old revision. A call whose response is lost is
// retried with the same idempotency key until ctx ends.
func (c *Client) Apply(ctx context.Context, a ApplyRequest) (out ApplyResult, err error) {
	err = c.callUntilAnswered(ctx, "/v1/apply", a, &out)
	return out, err
}

// callUntilAnswered posts a call that has an idempotency key, and retries it while its
// outcome is unknown or no agent can be reached. It returns the last error when ctx ends.
func (c *Client) callUntilAnswered(ctx context.Context, path string, body, answer any) error {
	for {
		err := c.call(ctx, http.MethodPost, path, body, answer)
		var f *Failure
		if err == nil || !errors.As(err, &f) || f.Code != CodeOutcomeUnknown && f.Code != CodeUnreachable {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryInterval):
		}
	}
}

// DryRun lets all agents check a content, and returns what each instance would have to do
// to run it.
func (c *Client) DryRun(ctx context.Context, content revisions.Content) (l []DryRunResult, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/probe", content, &l)
	return l, err
}

// Do makes one change: pause, resume, abort, drain, undrain or agents/remove.
func (c *Client) Do(ctx context.Context, action string, change ChangeRequest) error {
	return c.call(ctx, http.MethodPost, "/v1/"+action, change, &struct{}{})
}

// AddMember makes an agent a voter, and returns the voters that have not applied the change
// yet.
func (c *Client) AddMember(ctx context.Context, v ChangeRequest) (m MemberChange, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/members/add", v, &m)
	return m, err
}

// AddNonVoter makes an agent a replica that serves reads and has no vote, and returns the
// replicas that have not applied the change yet.
func (c *Client) AddNonVoter(ctx context.Context, v ChangeRequest) (m MemberChange, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/replicas/add", v, &m)
	return m, err
}

// RemoveMember removes a voter, and returns the voters that have not applied the change yet.
func (c *Client) RemoveMember(ctx context.Context, v ChangeRequest) (m MemberChange, err error) {
	err = c.call(ctx, http.MethodPost, "/v1/members/remove", v, &m)
	return m, err
}

// Snapshot returns the site's state, encoded.
func (c *Client) Snapshot(ctx context.Context) ([]byte, error) {
	var text json.RawMessage
	err := c.call(ctx, http.MethodGet, "/v1/snapshot", nil, &text)
	return text, err
}

// Restore replaces the site's state with that of a snapshot.
func (c *Client) Restore(ctx context.Context, text []byte) error {
	return c.call(ctx, http.MethodPost, "/v1/snapshot", text, &struct{}{})
}
