package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"elderyard/fleet"
	"elderyard/internal/agentapi"
	"elderyard/internal/wait"
	"elderyard/revisions"
	"elderyard/supervise"
)

const (
	dialTimeout = 3 * time.Second
	// reportTimeout is the timeout of the agent for a report to one control machine.
	reportTimeout = 2 * time.Second
	// fetchTimeout is longer than the agent's 2 s because the simulated gateways share the cores of one process.
	fetchTimeout     = time.Minute
	maxResponseBytes = 64 << 20
)

// Gateway is a simulated gateway with its agent: it reports to the leader and applies the revision that it is ordered
// to run at once. Only the goroutine of run uses the report; the methods are safe for concurrent use.
type Gateway struct {
	Name    string
	Link    Link    // for reports and records
	Traffic Traffic // of reports only
	Records RecordsCopy

	fleet      *Fleet
	client     *http.Client
	messages   atomic.Int64
	report     agentapi.Report
	leader     string // address from the last response; "": unknown
	nextServer int    // index of the server to call first when the leader is unknown

	mu        sync.Mutex
	revision  uint64 // in force
	reportErr error  // error of the last report
}

func newGateway(f *Fleet, i int) *Gateway {
	name := fmt.Sprintf("g%04d", i)
	g := &Gateway{Name: name, fleet: f, nextServer: i}
	g.report = agentapi.Report{
		Agent:     fleet.Agent{Name: fmt.Sprintf("a%04d", i), Address: "127.0.0.1:1", Instances: []string{name}},
		Instances: []agentapi.Observed{{Name: name, State: supervise.Down}},
	}
	g.client = &http.Client{Transport: &http.Transport{DialContext: g.dialer(&g.Traffic).dial, MaxIdleConnsPerHost: 1}}
	g.Records.name = name
	g.Records.dialer = g.dialer(&g.Records.Traffic)
	g.Records.options = RecordsCopyOptions{Servers: f.options.Servers, Dir: f.copyDir(g), BytesPerSecond: f.options.RecordsBytesPerSecond}
	return g
}

func (g *Gateway) dialer(traffic *Traffic) *dialer {
	return &dialer{Dialer: net.Dialer{Timeout: dialTimeout}, link: &g.Link, traffic: traffic}
}

// Messages returns the number of calls with a successful response.
func (g *Gateway) Messages() int64 { return g.messages.Load() }

// Revision returns the revision in force, or 0 if there is none.
func (g *Gateway) Revision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.revision
}

// ReportError returns the error of the last report, or nil if it succeeded.
func (g *Gateway) ReportError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reportErr
}

// run reports until ctx ends. The first report is delayed, so that the reports of a fleet spread over the interval.
func (g *Gateway) run(ctx context.Context, initialDelay time.Duration) {
	defer g.client.CloseIdleConnections()
	wait.For(ctx, initialDelay)
	for ctx.Err() == nil {
		err := g.reportOnce(ctx)
		g.mu.Lock()
		g.reportErr = err
		g.mu.Unlock()
		wait.For(ctx, g.fleet.options.ReportInterval)
	}
}

func (g *Gateway) reportOnce(ctx context.Context) error {
	g.report.Records = g.Records.statusReport()
	body, err := json.Marshal(g.report)
	if err != nil {
		return err
	}
	var orders agentapi.Orders
	if err := g.call(ctx, reportTimeout, http.MethodPost, agentapi.ReportPath, body, &orders); err != nil {
		return err
	}
	g.leader = orders.Address
	if orders.Records != nil {
		g.Records.notifyHead(orders.Records.Version)
	}
	order, ordered := orders.Orders[g.Name]
	observed := &g.report.Instances[0]
	if !ordered || order.Revision == 0 || order.Revision == observed.Running && order.Checksum == observed.ContentChecksum {
		return nil
	}
	return g.applyOrder(ctx, order)
}

// applyOrder fetches a revision and puts it in force. It verifies the file against the checksum of the order; no
// gateway loads it.
func (g *Gateway) applyOrder(ctx context.Context, order agentapi.Order) error {
	if err := g.fetch(ctx, order); err != nil {
		return err
	}
	observed := &g.report.Instances[0]
	observed.Running, observed.Target, observed.ContentChecksum = order.Revision, order.Revision, order.Checksum
	observed.State = supervise.Ready
	g.mu.Lock()
	g.revision = order.Revision
	g.mu.Unlock()
	g.fleet.recordActivation(order.Revision)
	return nil
}

func (g *Gateway) fetch(ctx context.Context, order agentapi.Order) error {
	select { // limits the memory for files that are fetched concurrently
	case g.fleet.fetchSlots <- struct{}{}:
		defer func() { <-g.fleet.fetchSlots }()
	case <-ctx.Done():
		return ctx.Err()
	}
	var revision revisions.Revision
	if err := g.call(ctx, fetchTimeout, http.MethodGet, fmt.Sprintf("/v1/revisions/%d", order.Revision), nil, &revision); err != nil {
		return err
	}
	if revision.Number != order.Revision || revision.Checksum != order.Checksum || revision.Content.Checksum() != order.Checksum {
		return fmt.Errorf("%s: revision %d does not match its order", g.Name, order.Revision)
	}
	return nil
}

// errNoServer means that a gateway has no control machine configured.
var errNoServer = errors.New("no control machine configured")

// call sends a request to the leader. If the leader is unknown or fails, it tries the control machines in turn, which
// may forward the call. The timeout holds for each attempt.
func (g *Gateway) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, result any) error {
	lastErr := errNoServer
	if g.leader != "" {
		if lastErr = g.callServer(ctx, timeout, method, g.leader, path, "", body, result); lastErr == nil {
			return nil
		}
		g.leader = ""
	}
	servers := g.fleet.options.Servers
	for range servers {
		server := servers[g.nextServer%len(servers)]
		if lastErr = g.callServer(ctx, timeout, method, server, path, agentapi.HopMayForward, body, result); lastErr == nil {
			return nil
		}
		g.nextServer++
	}
	return lastErr
}

func (g *Gateway) callServer(ctx context.Context, timeout time.Duration, method, server, path, hop string, body []byte, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	if hop != "" {
		request.Header.Set(agentapi.HopHeader, hop)
	}
	response, err := g.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if response.StatusCode != http.StatusOK {
		const maxErrorBytes = 200
		return fmt.Errorf("%s %s: %s: %.*s", method, path, response.Status, maxErrorBytes, content)
	}
	if err := json.Unmarshal(content, result); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	g.messages.Add(1)
	return nil
}
