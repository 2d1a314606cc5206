package process

import (
	"context"
	"net/http"
	"time"

	"elderyard/supervise"
)

const (
	readyPath             = "/health/ready"
	startingCheckInterval = 50 * time.Millisecond
	readyCheckInterval    = 500 * time.Millisecond
	healthCheckTimeout    = time.Second
)

// checkInterval returns the interval of health checks for the machine's state, and
// whether the process has to be checked at all.
func (p *Process) checkInterval() (interval time.Duration, due bool) {
	switch p.machine.Status().State {
	case supervise.Starting:
		return startingCheckInterval, p.pid != 0
	case supervise.Ready:
		return readyCheckInterval, p.pid != 0
	}
	return readyCheckInterval, false
}

// check makes one health check, sends its result to the goroutine of Run, and refreshes
// the membership view.
func (p *Process) check(ctx context.Context) {
	p.send(ctx, supervise.Health{Ready: p.checkReady(ctx)})
	if p.options.QueryMembership == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthCheckTimeout)
	defer cancel()
	if view := p.options.QueryMembership(ctx); view.Line != "" {
		p.mu.Lock()
		p.published.Membership = view
		p.mu.Unlock()
	}
}

// checkReady reports whether the gateway responds to its readiness check with 200.
func (p *Process) checkReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.options.Listen+readyPath, nil)
	if err != nil {
		return false
	}
	response, err := p.client.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
