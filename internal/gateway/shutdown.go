package gateway

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"elderyard/internal/config"
)

// After a stop request the platform waits for the longest deadline, but at most maxKillDeadline, plus
// killDelay. Then it kills the process, whatever that is still doing.
const (
	maxKillDeadline     = 3 * time.Second
	killDelay           = 700 * time.Millisecond
	finalResponseMargin = 300 * time.Millisecond // before the kill: all open requests get a response
	exitMargin          = 150 * time.Millisecond // before the kill: the process exits
)

const (
	acceptAfterStop = 600 * time.Millisecond // after a stop request, new connections are still accepted for this long

	drainPollInterval = 100 * time.Millisecond // between closing rounds while the gateway drains
	drainIdleTime     = 500 * time.Millisecond // idle connections are closed after this time; busy ones close with their next response

	shutdownPollInterval = 20 * time.Millisecond // between closing rounds while the gateway shuts down
	unlimited            = time.Duration(math.MaxInt64)
)

// closeWhileDraining closes idle client connections while an operator drains the gateway, until ctx ends.
// Connections that still arrive are served.
func (f *frontend) closeWhileDraining(ctx context.Context, clients *clientListener) {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if f.draining.Load() {
				clients.closeIdleConns(drainIdleTime, drainIdleTime)
			}
		}
	}
}

// shutdown accepts connections for a while longer, responds to open requests, and returns.
// acceptDone is closed when no more connections are accepted.
//
// A request may cross the closing of its idle connection; its client then retries on a new one. So idle
// connections are closed at once while new ones are still accepted, and the listener closes later. Where
// another process shares the socket, that process takes the new connections: this one accepts no more,
// busy connections close with their next response, which no request can cross, and idle ones close only
// after some idle time.
//
// Clients keep sending on open connections, and a request that is accepted late may have a deadline past
// the kill. So all open requests are answered by the time of the kill, whatever their deadlines.
func shutdown(c *config.Config, front *frontend, clients *clientListener, server *http.Server, acceptDone <-chan struct{}) error {
	start := time.Now()
	front.shuttingDown.Store(true)
	killTime := start.Add(minKillDelay(c))
	usedFor := time.Duration(0)
	if c.InheritedListener {
		usedFor = acceptAfterStop / 2
		clients.Close()
	}
	for end := start.Add(acceptAfterStop); time.Now().Before(end); time.Sleep(shutdownPollInterval) {
		clients.closeIdleConns(usedFor, unlimited)
	}
	if !c.InheritedListener {
		clients.drainBacklog()
	}
	<-acceptDone
	// A request may be in transit on a connection that was just accepted.
	unusedUntil := time.Now().Add(clients.firstRequestWait)
	responded := false
	for clients.openConns() > 0 && time.Now().Before(killTime.Add(-exitMargin)) {
		if !responded && !time.Now().Before(killTime.Add(-finalResponseMargin)) {
			responded = true
			front.loop.Post(processEnding{front.loop})
		}
		if time.Now().Before(unusedUntil) {
			clients.closeIdleConns(0, unlimited)
		} else {
			clients.closeIdleConns(0, 0)
		}
		time.Sleep(shutdownPollInterval)
	}
	left := clients.openConns()
	server.Close()
	if left > 0 {
		return fmt.Errorf("shutdown: %d client connections were still busy", left)
	}
	return nil
}

// longestDeadline returns the longest time that a client may wait for its response.
func longestDeadline(c *config.Config) time.Duration {
	longest := 0.0
	for _, class := range c.Classes {
		longest = max(longest, class.Timeout)
	}
	return seconds(longest)
}

// minKillDelay returns the shortest time from a stop request to the kill. The slack that responses have
// after their deadline does not postpone it.
func minKillDelay(c *config.Config) time.Duration {
	return min(longestDeadline(c), maxKillDeadline) + killDelay
}
