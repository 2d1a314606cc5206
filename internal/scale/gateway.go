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
	dialWithin = 3 * time.Second
	// reportWithin is what the agent gives one control machine for a report.
	reportWithin = 2 * time.Second
	// fetchWithin is longer than the agent's 2 s: gateways of one process share its
	// cores.
	fetchWithin = time.Minute
	mostAnswer  = 64 << 20 // bytes
)

// Gateway is one hollow gateway with its agent: it reports to the leader, and
// takes at once what it is ordered. One goroutine, that of run, owns the report;
// the methods may be called by others.
type Gateway struct {
	Name    string
	Link    Link    // of reports and records
	Traffic Traffic // of reports
	Records Copy

	fleet    *Fleet
	client   *http.Client
	messages atomic.Int64
	report   agentapi.Report
	leader   string // address, as last heard; "": not known
	next     int    // of the servers, to be asked first where no leader is known

	mu       sync.Mutex
	revision uint64 // in force
	failure  error  // of the last report
}

func newGateway(f *Fleet, i int) *Gateway {
	name := fmt.Sprintf("g%04d", i)
	g := &Gateway{Name: name, fleet: f, next: i}
	g.report = agentapi.Report{
		Agent:     fleet.Agent{Name: fmt.Sprintf("a%04d", i), Address: "127.0.0.1:1", Instances: []string{name}},
		Instances: []agentapi.Observed{{Name: name, State: supervise.Down}},
	}
	g.client = &http.Client{Transport: &http.Transport{DialContext: g.dialer(&g.Traffic).dial, MaxIdleConnsPerHost: 1}}
	g.Records.name = name
	g.Records.dialer = g.dialer(&g.Records.Traffic)
	g.Records.options = CopyOptions{Servers: f.options.Servers, Dir: f.copyDir(g), BytesPerSecond: f.options.RecordBytes}
	return g
}

func (g *Gateway) dialer(traffic *Traffic) *dialer {
	return &dialer{Dialer: net.Dialer{Timeout: dialWithin}, link: &g.Link, traffic: traffic}
}

// Messages returns how many calls have been answered.
func (g *Gateway) Messages() int64 { return g.messages.Load() }

// Revision returns the revision in force; 0: none.
func (g *Gateway) Revision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.revision
}

// Failure returns why the last report failed; nil: it did not.
func (g *Gateway) Failure() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.failure
}

// run reports until ctx ends. The first report waits for the gateway's place in
// the interval, so that reports spread over it.
func (g *Gateway) run(ctx context.Context, first time.Duration) {
	defer g.client.CloseIdleConnections()
	wait.For(ctx, first)
	for ctx.Err() == nil {
		err := g.reportOnce(ctx)
		g.mu.Lock()
		g.failure = err
		g.mu.Unlock()
		wait.For(ctx, g.fleet.options.ReportEvery)
	}
}

func (g *Gateway) reportOnce(ctx context.Context) error {
	g.report.Records = g.Records.reported()
	body, err := json.Marshal(g.report)
	if err != nil {
		return err
	}
	var orders agentapi.Orders
	if err := g.call(ctx, reportWithin, http.MethodPost, agentapi.ReportPath, body, &orders); err != nil {
		return err
	}
	g.leader = orders.Address
	if orders.Records != nil {
		g.Records.tellHead(orders.Records.Version)
	}
	order, ordered := orders.Orders[g.Name]
	observed := &g.report.Instances[0]
	if !ordered || order.Revision == 0 || order.Revision == observed.Running && order.Checksum == observed.ContentChecksum {
		return nil
	}
	return g.take(ctx, order)
}

// take fetches a revision and puts it in force. Its file is checked against the
// order; no gateway reads it.
func (g *Gateway) take(ctx context.Context, order agentapi.Order) error {
	if err := g.fetch(ctx, order); err != nil {
		return err
	}
	observed := &g.report.Instances[0]
	observed.Running, observed.Target, observed.ContentChecksum = order.Revision, order.Revision, order.Checksum
	observed.State = supervise.Ready
	g.mu.Lock()
	g.revision = order.Revision
	g.mu.Unlock()
	g.fleet.noteInForce(order.Revision)
	return nil
}

func (g *Gateway) fetch(ctx context.Context, order agentapi.Order) error {
	select { // many whole files at once would not fit into one process
	case g.fleet.fetches <- struct{}{}:
		defer func() { <-g.fleet.fetches }()
	case <-ctx.Done():
		return ctx.Err()
	}
	var revision revisions.Revision
	if err := g.call(ctx, fetchWithin, http.MethodGet, fmt.Sprintf("/v1/revisions/%d", order.Revision), nil, &revision); err != nil {
		return err
	}
	if revision.Number != order.Revision || revision.Checksum != order.Checksum || revision.Content.Checksum() != order.Checksum {
		return fmt.Errorf("%s: revision %d came damaged", g.Name, order.Revision)
	}
	return nil
}

// errNoServer says that a gateway has been given no control machines.
var errNoServer = errors.New("no control machine is known")

// call asks the leader, or any control machine, which may forward the call. Each has
// so long to answer.
func (g *Gateway) call(ctx context.Context, within time.Duration, method, path string, body []byte, answer any) error {
	last := errNoServer
	if g.leader != "" {
		if last = g.callOne(ctx, within, method, g.leader, path, "", body, answer); last == nil {
			return nil
		}
		g.leader = ""
	}
	servers := g.fleet.options.Servers
	for range servers {
		server := servers[g.next%len(servers)]
		if last = g.callOne(ctx, within, method, server, path, agentapi.HopMayForward, body, answer); last == nil {
			return nil
		}
		g.next++
	}
	return last
}

func (g *Gateway) callOne(ctx context.Context, within time.Duration, method, server, path, hop string, body []byte, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, within)
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
	text, err := io.ReadAll(io.LimitReader(response.Body, mostAnswer))
	if err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	if response.StatusCode != http.StatusOK {
		const most = 200 // bytes
		return fmt.Errorf("%s %s: %s: %.*s", method, path, response.Status, most, text)
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return fmt.Errorf("%s %s: %w", method, path, err)
	}
	g.messages.Add(1)
	return nil
}
